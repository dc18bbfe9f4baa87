"""The values that go into and come out of the decisions in quartzrouter.routing.router.  No I/O.

All times and durations are whole microseconds on one clock that the caller hands in; sizes are KB.  Nothing
here knows a protocol: whatever front end speaks to clients or caches turns its own messages into these.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may be executed more than once.  The values are the configuration language's."""

    IDEMPOTENT = "replayable"  # it may
    IDEMPOTENT_WITH_KEY = "uniqued"  # it carries a key by which a repeat is recognised and discarded
    NON_IDEMPOTENT = "non-replayable"  # it must never be


class Tier(Enum):
    """What an endpoint is: a cache fills its misses from a parent or the origin, a parent from the origin."""

    CACHE = "cache"
    PARENT = "parent"
    ORIGIN = "origin"


class EndpointState(Enum):
    """What the endpoint list says of an endpoint; only those that are up are sent new requests."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class AttemptStatus(Enum):
    """How an attempt ended: its name in traces, and whether it proves that nothing was executed."""

    SUCCEEDED = ("succeeded", False)
    ERROR = ("error", False)  # an answer that says so, breaks off or can't be read
    OVERLOADED = ("overloaded", True)  # rejected for capacity
    TIMED_OUT = ("timed out", False)
    CONNECTION_REFUSED = ("connection refused", True)
    CONNECTION_LOST = ("connection lost", False)
    CANCELLED = ("cancelled", False)
    NOT_SENT = ("not sent", True)  # the router itself gave it up before it was sent
    NOT_CONNECTED = ("not connected", True)  # no connection within its time, or one that broke off at once
    NOT_FOUND = ("not found", True)  # the endpoint holds no copy and was told not to fill

    @property
    def never_ran(self) -> bool:
        """Whether the request was certainly not executed."""
        return self.value[1]


class FillStatus(IntEnum):
    """What an answer says of where it came from, or of which side failed."""

    UNKNOWN = 0  # it says nothing
    HIT = 1
    FROM_PARENT = 2
    FROM_ORIGIN = 3
    COLLAPSED = 4  # it waited for the fill of another request
    STALE = 5
    SOURCE_OVERLOADED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_NOT_FOUND = 8
    NO_FILL_SLOT = 9
    ORIGIN_UNREACHABLE = 10


# -- set at start ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """What requests of one class may do, and what their answers are worth.

    :ivar name: by which requests name it.
    :ivar idempotency: whether they may be executed more than once.
    :ivar priority_weight: the value of an answer in time, beside other classes.
    :ivar latency_objective: time within which an answer without a body is worth its full value.
    :ivar objective_stretch: the objective grows by this many times the answer's own sending time.
    :ivar client_timeout: time after which the client has gone.
    :ivar late_value_share: share of its value that an answer after the objective has.
    :ivar deduplication_scope: IDEMPOTENT_WITH_KEY: among whom repeats are discarded: "all", "zone" (endpoints
        of one location) or "cell" (of one cell of a location).
    :ivar deduplication_window: IDEMPOTENT_WITH_KEY: for how long a key is remembered.
    :ivar max_age: age up to which a copy is fresh; 0: until it is purged.
    :ivar stale_grace: time beyond ``max_age`` for which an old copy is better than none.
    :ivar stale_value_share: share of its value that a stale answer has.
    :ivar uncacheable: whether caches keep no copies.
    """

    name: str
    idempotency: Idempotency
    priority_weight: float
    latency_objective: int
    objective_stretch: float
    client_timeout: int
    late_value_share: float
    deduplication_scope: str
    deduplication_window: int
    max_age: int
    stale_grace: int
    stale_value_share: float
    uncacheable: bool


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How an endpoint of one tier warms up, and what overloads it meanwhile.

    :ivar initial_share: share of its capacity right after its start, from 0 to 1.
    :ivar ramp_time: time after which it has all of it; in between, the share grows evenly.
    :ivar overload_factor: it falls over when sent more than this multiple of what it can do ...
    :ivar window: ... for this time.
    :ivar routers: how many reach it and share what it can do.
    """

    initial_share: float
    ramp_time: int
    overload_factor: float
    window: int
    routers: int


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What the deployment lets a router do.

    :ivar max_attempts: of each request.
    :ivar pass_through: whether requests may be sent to parents and origins, past the caches.
    :ivar request_collapsing: whether a cache may answer several requests with one fill.
    :ivar siblings: whether caches may fill from one another.
    :ivar health_checks: whether endpoints may be checked.
    :ivar cancellation: whether an attempt can be called off.
    :ivar max_retry_after: the longest Retry-After time that a client may be told; 0: none may be.
    :ivar discovery_on_request: whether the endpoint list has to be asked for; else it comes by itself.
    :ivar load_in_responses: whether answers say how busy their endpoint is, in place of health checks.
    """

    max_attempts: int
    pass_through: bool
    request_collapsing: bool
    siblings: bool
    health_checks: bool
    cancellation: bool
    max_retry_after: int
    discovery_on_request: bool
    load_in_responses: bool = False


# -- told while running ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    :ivar name: unique in the list.
    :ivar location: where it stands.
    :ivar tier: what it is.
    :ivar machine_type: endpoints of one type have links of one capacity.
    :ivar cell: of its location; see ``TrafficClass.deduplication_scope``.
    :ivar state: whether it may be sent requests.
    :ivar capacity_rating: the transfers that its link carries at once at full rate, where the list is rated.
    :ivar started_at: clock time of its last start; 0: long ago.
    """

    name: str
    location: str
    tier: Tier
    machine_type: str
    cell: int
    state: EndpointState
    capacity_rating: float
    started_at: int


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request.

    :ivar id: unique among the requests of a router.
    :ivar traffic_class: the name of its class.
    :ivar object_key: the object that it asks for; objects are placed as a whole.
    :ivar tag: by which the object may be purged with others; None: it has none.
    :ivar chunk: the part of the object that it asks for.
    :ivar size_kb: of the answer; 0: not known.
    :ivar timeout: time from its arrival after which the client has gone.
    :ivar tenant: on whose account it is; None: nobody's.
    :ivar max_attempts: where fewer are allowed than the deployment does; 0: as the deployment does.
    :ivar queueing_time: time of its timeout that had gone before the router looked at it.
    """

    id: int
    traffic_class: str
    object_key: str
    tag: int | None
    chunk: int
    size_kb: float
    timeout: int
    tenant: str | None = None
    max_attempts: int = 0
    queueing_time: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an answer says of load, where answers carry it; None: it doesn't say.

    :ivar time_to_first_byte: the wait for the first byte of the fill source, or for its failure.
    :ivar utilization: the share of its capacity that the endpoint says is in use.
    :ivar link_utilization: a cache's: transfers on its location's link over those that fit.
    """

    time_to_first_byte: int | None = None
    utilization: float | None = None
    link_utilization: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    :ivar attempt_number: as in ``Forward``.
    :ivar status: how it ended.
    :ivar elapsed: time since it was decided.
    :ivar fill_status: what its answer says of where it came from.
    :ivar final: whether the request has its final answer.
    :ivar load_report: what its answer says of load.
    """

    attempt_number: int
    status: AttemptStatus
    elapsed: int
    fill_status: FillStatus = FillStatus.UNKNOWN
    final: bool = False
    load_report: LoadReport = LoadReport()


@dataclass(frozen=True, slots=True)
class HealthObservation:
    """What a router has seen of one cache by itself.

    :ivar cache: its name.
    :ivar ejected: whether the router has ejected it.
    :ivar completed: requests that it served in all.
    :ivar failed: requests that it failed in all.
    :ivar in_flight: requests of the router that it has now.
    """

    cache: str
    ejected: bool
    completed: int
    failed: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class SlowStartDemand:
    """An endpoint that is warming up, as one router sees it.

    :ivar endpoint: its name.
    :ivar tier: what it is.
    :ivar limit: sending time that all routers may spend on it in a window.
    :ivar demand: sending time that this router spent, or would have spent, since it was last asked.
    :ivar largest_request: the most sending time that one of these requests takes.
    """

    endpoint: str
    tier: Tier
    limit: int
    demand: int
    largest_request: int


# -- the answers ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Forward:
    """Send the request to an endpoint.

    :ivar attempt_number: from 0; names the attempt in its result.
    :ivar endpoint: its name.
    :ivar fill_source: the name of the endpoint that a miss is filled from; the same as ``endpoint``: no fill.
    :ivar cache_priority: how much a cache should want to keep the object; 0: it doesn't keep it.
    :ivar max_age: the age of the oldest copy that will do; 0: the traffic class's.
    :ivar allow_collapsing: whether the cache may let the request wait for the fill of another one.
    :ivar revalidate_in_background: whether the cache may serve a copy while it fetches a newer one.
    :ivar timeout: time after which the attempt is given up.
    :ivar send_by: time by which it has to be sent, or it is not: connections may come up late.
    """

    attempt_number: int
    endpoint: str
    fill_source: str
    cache_priority: int
    max_age: int
    allow_collapsing: bool
    revalidate_in_background: bool
    timeout: int
    send_by: int


@dataclass(frozen=True, slots=True)
class Defer:
    """Ask again after a time.

    :ivar delay: the time.
    """

    delay: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Tell the client that it was not served and may come again.

    :ivar retry_after: time to name; 0: none.
    """

    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Tell the client that it was not served, and must not take it that nothing was executed."""


Decision = Forward | Defer | Reject | Fail


class CacheCount(NamedTuple):
    """The caches that a router may use.

    :ivar available: those that requests may be sent to now.
    :ivar listed: those listed, also if they are draining, ejected or at another location.
    """

    available: int
    listed: int


@dataclass(frozen=True, slots=True)
class MaintenanceActions:
    """What falls due between requests.

    :ivar delay: time until ``Router.maintenance()`` wants to be asked again.
    :ivar health_checks: the names of endpoints whose health is to be checked.
    :ivar health_check_timeout: time after which a health check has failed.
    :ivar needs_discovery: whether to ask for the endpoint list now.
    """

    delay: int
    health_checks: tuple[str, ...]
    health_check_timeout: int
    needs_discovery: bool
