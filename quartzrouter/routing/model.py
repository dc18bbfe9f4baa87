"""The plain values that go into and come out of the decisions in quartzrouter.routing.router.

Times are whole microseconds on one clock that the caller hands in, sizes are KB.  Nothing here
knows a protocol: whatever front end speaks to clients or caches turns its own messages into these.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    IDEMPOTENT = "replayable"  # may run again
    IDEMPOTENT_WITH_KEY = "uniqued"  # carries a key by which a repeat is recognised
    NON_IDEMPOTENT = "non-replayable"  # must never run twice


class Tier(Enum):
    CACHE = "cache"
    PARENT = "parent"
    ORIGIN = "origin"


class EndpointState(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class AttemptStatus(Enum):
    """How a dispatch ended, and whether that proves that it never ran."""

    SUCCEEDED = ("done", False)
    ERROR = ("error", False)
    OVERLOADED = ("full", True)
    TIMED_OUT = ("late", False)
    CONNECTION_REFUSED = ("no connection", True)
    CONNECTION_LOST = ("cut", False)
    CANCELLED = ("called off", False)
    NOT_SENT = ("unsent", True)
    NOT_CONNECTED = ("not up", True)  # no connection yet when its time was out, or one that broke off at once
    NOT_FOUND = ("lacking", True)

    @property
    def never_ran(self) -> bool:
        return self.value[1]


class FillStatus(IntEnum):
    """What an answer says of where it came from, or of which side failed; NOTHING where it is silent."""

    UNKNOWN = 0
    HIT = 1
    FROM_PARENT = 2
    FROM_ORIGIN = 3
    COLLAPSED = 4
    STALE = 5
    SOURCE_OVERLOADED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_NOT_FOUND = 8
    NO_FILL_SLOT = 9
    ORIGIN_UNREACHABLE = 10


# -- told at start ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class TrafficClass:
    name: str
    idempotency: Idempotency
    priority_weight: float
    latency_objective: int
    objective_stretch: float  # the target grows by this many times the req's own sending time
    client_timeout: int
    late_value_share: float
    deduplication_scope: str  # uniqued: who discards repeats: "all", "zone" or "cell"
    deduplication_window: int  # uniqued: for how long
    max_age: int  # 0: until purged
    stale_grace: int
    stale_value_share: float
    uncacheable: bool


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How a server of one tier warms up, and what pushes it over."""

    initial_share: float  # share of its capacity at the start
    ramp_time: int  # all of it after this time
    overload_factor: float  # falls over when sent more than this multiple of what it can do ...
    window: int  # ... for this time
    routers: int  # that can reach it


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What the deployment lets a router do."""

    max_attempts: int
    pass_through: bool
    request_collapsing: bool
    siblings: bool
    health_checks: bool
    cancellation: bool
    max_retry_after: int  # the longest time to come back that may be named; 0: none may be
    discovery_on_request: bool  # the cache list has to be asked for
    load_in_responses: bool = False  # answers say how busy their server is, which stands in for probes


# -- told as it goes -------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of the cache list."""

    name: str
    location: str
    tier: Tier
    machine_type: str
    cell: int
    state: EndpointState
    capacity_rating: float
    started_at: int  # clock time of its last start; 0: long ago


@dataclass(frozen=True, slots=True)
class Request:
    id: int
    traffic_class: str
    object_key: str
    tag: int | None
    chunk: int
    size_kb: float  # 0: not told
    timeout: int
    tenant: str | None = None
    max_attempts: int = 0  # at most, where fewer than permitted; 0: as permitted
    queueing_time: int = 0  # of its timeout, gone before the router looked at it


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an answer says besides, where answers carry it."""

    time_to_first_byte: int | None = None  # for the source's first byte, or its failure
    utilization: float | None = None  # the share of its capacity that the server says is in use
    link_utilization: float | None = None  # a cache's: transfers on its location's link over those that fit


@dataclass(frozen=True, slots=True)
class AttemptResult:
    attempt_number: int
    status: AttemptStatus
    elapsed: int
    fill_status: FillStatus = FillStatus.UNKNOWN
    final: bool = False  # the req has its final answer
    load_report: LoadReport = LoadReport()


@dataclass(frozen=True, slots=True)
class HealthObservation:
    """What a router has seen of one cache by itself."""

    cache: str
    ejected: bool  # it has put it out
    completed: int  # reqs in all
    failed: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class SlowStartDemand:
    """A server that has started lately, as one router sees it."""

    endpoint: str
    tier: Tier
    limit: int  # us of sending time that all routers may spend on it in a window
    demand: int  # that this router spent, or would have spent, since it was last asked
    largest_request: int  # the most that one of these reqs takes


# -- the answers -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Forward:
    attempt_number: int
    endpoint: str
    fill_source: str  # where a miss is filled from; the cache itself: nowhere
    cache_priority: int  # 0: not kept
    max_age: int  # the oldest copy that will do; 0: the vhost's fresh time
    allow_collapsing: bool
    revalidate_in_background: bool
    timeout: int
    send_by: int  # the time by which it has gone out, or it isn't sent: connections come up late


@dataclass(frozen=True, slots=True)
class Defer:
    delay: int  # after this time


@dataclass(frozen=True, slots=True)
class Reject:
    retry_after: int  # 0: no time named


@dataclass(frozen=True, slots=True)
class Fail:
    pass


Decision = Forward | Defer | Reject | Fail


@dataclass(frozen=True, slots=True)
class MaintenanceActions:
    time: int  # until wait() wants to be asked again
    probes: tuple[str, ...]
    probe_timeout: int  # what has not answered by then hangs
    subscribe: bool  # ask for the cache list now
