"""For how long a member may trust that it has heard of all purges, and what it may serve afterwards.

A lease begins when an acknowledgement is sent that the ledger later echoes: whatever was taken before that
moment stands at or below the head that comes with the echo.  So no clock but the member's own is read.
"""

SHARE = 0.5  # of the grace: the other half is for the way of an answer, and for a late wake of the process
BEATS = 4  # in a lease: two may be lost or late


def lease(grace: int) -> int:
    """us, of the grace within which a purge must hold."""
    return max(1, int(grace * SHARE))


def beat_every(grace: int) -> int:
    """us between the ledger's beats."""
    return max(1, lease(grace) // BEATS)


class FreshnessLease:
    """:param length: us."""

    def __init__(self, length: int):
        self.length = length
        self.heard: int | None = None  # us; all purges taken before it are in force here

    def renew(self, at: int) -> None:
        self.heard = at if self.heard is None else max(at, self.heard)

    def drop(self) -> None:
        """What was heard is not all, after all."""
        self.heard = None

    def holds(self, now: int) -> bool:
        return self.heard is not None and now - self.heard <= self.length

    def bound(self, now: int) -> int:
        """us, the oldest copy that will do; 0: any, by what was heard.

        Cut off, a purge may have come that nobody here knows of.  It must hold one grace after it was taken,
        so copies no older than a lease will do: they were made after all that must already hold.
        """
        return 0 if self.holds(now) else self.length
