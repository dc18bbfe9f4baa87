"""The freshness lease: for how long a member may rely on having received every purge.

A lease starts when the member sends an acknowledgement that the purge log later echoes. Every purge that
was accepted before that moment is at or below the head that comes with the echo. So only the member's own
clock is read, and no two clocks are compared.
"""

LEASE_SHARE_OF_GRACE = 0.5  # the other half is for a response in transit and for a process that wakes late
HEARTBEATS_PER_LEASE = 4  # two may be lost or late before a lease ends


def lease_length(grace: int) -> int:
    """Returns the length of a lease in microseconds.

    :param grace: microseconds within which a purge must hold at every router.
    """
    return max(1, int(grace * LEASE_SHARE_OF_GRACE))


def heartbeat_interval(grace: int) -> int:
    """Returns the time between two heartbeats of the purge log in microseconds.

    :param grace: microseconds within which a purge must hold at every router.
    """
    return max(1, lease_length(grace) // HEARTBEATS_PER_LEASE)


class FreshnessLease:
    """A member's lease.

    :param length: microseconds.
    """

    def __init__(self, length: int):
        self.length = length
        self.started_at: int | None = None  # us; every purge accepted before it is applied here

    def renew(self, started_at: int) -> None:
        """Starts the lease again; a late echo never moves it back.

        :param started_at: microseconds of the member's clock, when the echoed acknowledgement was sent.
        """
        self.started_at = started_at if self.started_at is None else max(started_at, self.started_at)

    def revoke(self) -> None:
        """Ends the lease: the purge log lacks purges that are applied here, so its echo proves nothing."""
        self.started_at = None

    def is_held(self, now: int) -> bool:
        """Tells whether every purge that must hold by now has been received."""
        return self.started_at is not None and now - self.started_at <= self.length

    def max_age(self, now: int) -> int:
        """Returns the age in microseconds that a copy may have at most; 0 for no limit.

        Guards a router that is cut off against purges that it can't know of. Such a purge must hold one
        grace after it was accepted, so a copy no older than a lease was made after every purge that must
        already hold. Without the guard the router goes on to serve purged copies for as long as it is cut
        off.
        """
        return 0 if self.is_held(now) else self.length
