"""Messages on the health of caches, between routers and the aggregator. No I/O.

The named tuples are encoded as arrays: the order and the types of their fields are the wire format, while the
names are not sent.
"""

from typing import NamedTuple


class CacheObservation(NamedTuple):
    """One router's observations of one cache, from its own requests and health checks.

    It is sent only if there is something to report.

    :param cache: the cache's name.
    :param ejected: True if the router has ejected the cache by its own decision.
    :param succeeded: attempts that succeeded since the last report.
    :param failed: attempts that failed since the last report.
    :param in_flight: attempts in flight.
    :param started: attempts started since the last report.
    """

    cache: str
    ejected: bool
    succeeded: int = 0
    failed: int = 0
    in_flight: int = 0
    started: int = 0


class EjectionVerdict(NamedTuple):
    """A cache that all routers of a store are to eject.

    :param cache: the cache's name.
    :param expires_in: microseconds from when the verdict is sent; a router counts them from its receipt.
    :param reported_by: routers that have reported failures.
    :param contradicted_by: routers that the cache serves well.
    :param failures: failed attempts that were reported.
    """

    cache: str
    expires_in: int
    reported_by: tuple[str, ...]
    contradicted_by: tuple[str, ...]
    failures: int


class CacheLoad(NamedTuple):
    """The load of a cache, as reported by all routers of its store.

    :param cache: the cache's name.
    :param in_flight: attempts in flight; ``LOAD_UNKNOWN`` if a router that may use the cache is silent.
    :param age: age of the oldest report included, in microseconds.
    :param error_bound: number of attempts by which ``in_flight`` may be wrong: those that may have been
        started since the reports, at the last rate.
    :param routers: number of routers that report on the cache.
    """

    cache: str
    in_flight: int
    age: int
    error_bound: int
    routers: int


LOAD_UNKNOWN = -1
