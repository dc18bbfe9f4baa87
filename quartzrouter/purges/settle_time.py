"""The time after a purge during which a fill can still bring an older copy into a cache.

A fill at a parent that began before the purge may be joined by fills of caches that have already purged. As
these fills began after the purge, the caches keep what they bring, which is the old copy.
"""

from collections.abc import Iterable

FILLS_IN_SEQUENCE = 2  # a parent's from the origin, and a cache's that joined it just before its end


def settle_time(grace: int, client_timeouts: Iterable[int]) -> int:
    """Returns the microseconds after which no fill can bring a copy that a purge makes stale.

    The time counts from when the cache and its parents have purged. Until the grace ends, routers that don't
    know the purge yet ask for copies of any age. A fill is aborted together with the request that it is made
    for.

    :param grace: microseconds within which a purge must take effect at every router.
    :param client_timeouts: microseconds, for each traffic class whose responses are cached.
    """
    return grace + FILLS_IN_SEQUENCE * max(client_timeouts, default=0)
