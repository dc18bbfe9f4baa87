"""How long after a purge an older copy can still come into a cache by way of a fill.

A fill that began before the purge may be joined at a parent by fills of caches that have purged already: what
they began after the purge they keep, and it brings the old copy.
"""

from collections.abc import Iterable

FILLS_IN_SEQUENCE = 2  # a parent's from the origin, and a cache's that joined it when it was about to end


def settle_time(grace: int, client_timeouts: Iterable[int]) -> int:
    """Returns the microseconds after which no fill can bring a copy that a purge makes stale.

    They count from when the cache and its parents have purged. Routers that don't know the purge yet ask for
    any copy, which ends with the grace; a fill is given up with the request that it is made for.

    :param grace: microseconds within which a purge must hold at every router.
    :param client_timeouts: microseconds, of the traffic classes whose responses caches keep.
    """
    return grace + FILLS_IN_SEQUENCE * max(client_timeouts, default=0)
