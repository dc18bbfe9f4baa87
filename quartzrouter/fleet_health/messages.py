"""Messages on the health of caches, between routers and the aggregator. No I/O.

These named tuples travel as arrays: the order and the types of the fields are the format on the wire, the
names are not.
"""

from typing import NamedTuple


class CacheObservation(NamedTuple):
    """What one router knows of one cache, by its own requests and health checks; without news none is sent.

    :param cache: its name.
    :param ejected: the router has ejected it by itself.
    :param succeeded: attempts since the last report.
    :param failed: attempts since the last report.
    :param in_flight: attempts.
    :param started: attempts since the last report.
    """

    cache: str
    ejected: bool
    succeeded: int = 0
    failed: int = 0
    in_flight: int = 0
    started: int = 0


class EjectionVerdict(NamedTuple):
    """A cache that all routers of a store are to eject.

    :param cache: its name.
    :param expires_in: microseconds from the sending; a router counts them from when it receives the verdict.
    :param reported_by: routers that it fails.
    :param contradicted_by: routers that it serves well.
    :param failures: attempts that the reporters have told of.
    """

    cache: str
    expires_in: int
    reported_by: tuple[str, ...]
    contradicted_by: tuple[str, ...]
    failures: int


class CacheLoad(NamedTuple):
    """How busy a cache is, by all routers of its store.

    :param cache: its name.
    :param in_flight: attempts; ``LOAD_UNKNOWN`` where a router that may use the cache has been silent.
    :param age: microseconds of the oldest figure in it.
    :param error_bound: attempts by which it may be off: those started since the figures, at the last pace.
    :param routers: that report on it.
    """

    cache: str
    in_flight: int
    age: int
    error_bound: int
    routers: int


LOAD_UNKNOWN = -1
