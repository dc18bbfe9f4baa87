"""The freshness lease: while it is valid, a member may rely on having received every purge.

A lease starts when the member sends an acknowledgement that the purge log later echoes. Every purge that
was accepted before that time has a sequence number up to the head in the same heartbeat. So only the
member's own clock is read, and no two clocks are compared.
"""

LEASE_SHARE_OF_GRACE = 0.5  # the other half covers a response in transit and a process that wakes late
HEARTBEATS_PER_LEASE = 4  # two may be lost or late before a lease expires


def lease_length(grace: int) -> int:
    """Returns the length of a lease in microseconds.

    :param grace: microseconds within which a purge must take effect at every router.
    """
    return max(1, int(grace * LEASE_SHARE_OF_GRACE))


def heartbeat_interval(grace: int) -> int:
    """Returns the time between two heartbeats of the purge log in microseconds.

    :param grace: microseconds within which a purge must take effect at every router.
    """
    return max(1, lease_length(grace) // HEARTBEATS_PER_LEASE)


class FreshnessLease:
    """The freshness lease of one member.

    :param length: microseconds.
    """

    def __init__(self, length: int):
        self.length = length
        self.started_at: int | None = None  # in microseconds; purges accepted before it are applied here

    def renew(self, started_at: int) -> None:
        """Restarts the lease; a late echo never shortens it.

        :param started_at: when the echoed acknowledgement was sent, in microseconds of the member's clock.
        """
        self.started_at = started_at if self.started_at is None else max(started_at, self.started_at)

    def revoke(self) -> None:
        """Ends the lease: the purge log lacks purges that are applied here, so its echoes prove nothing."""
        self.started_at = None

    def is_held(self, now: int) -> bool:
        """Returns True if every purge that must have taken effect by now has been received."""
        return self.started_at is not None and now - self.started_at <= self.length

    def max_age(self, now: int) -> int:
        """Returns the maximum age of a copy in microseconds; 0 for no limit.

        Guards against purges that a router can't receive while it is cut off. Such a purge must take effect
        one grace after it was accepted, so a copy no older than a lease was made after every purge that must
        already have taken effect. Without this limit the router would serve purged copies for as long as it
        is cut off.
        """
        return 0 if self.is_held(now) else self.length
