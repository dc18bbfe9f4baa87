"""The inputs and results of the decisions in quartzrouter.routing.router.  No I/O.

All times and durations are whole microseconds on one clock, whose time the caller passes in; sizes are KB.
These types are independent of any protocol: each front end converts its own messages to them.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple


class Idempotency(Enum):
    """Says whether a request may be executed more than once.  The configuration language uses the values."""

    IDEMPOTENT = "replayable"  # it may be executed any number of times
    IDEMPOTENT_WITH_KEY = "uniqued"  # it has a key by which duplicates are detected and discarded
    NON_IDEMPOTENT = "non-replayable"  # it must be executed at most once


class Tier(Enum):
    """The role of an endpoint: caches fill misses from a parent or the origin, parents from the origin."""

    CACHE = "cache"
    PARENT = "parent"
    ORIGIN = "origin"


class EndpointState(Enum):
    """The state of an endpoint in the endpoint list; only endpoints that are up receive new requests."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class AttemptStatus(Enum):
    """How an attempt ended.  A value is a name for traces, and whether the request surely wasn't executed."""

    SUCCEEDED = ("succeeded", False)
    ERROR = ("error", False)  # the response reports an error, is truncated or can't be parsed
    OVERLOADED = ("overloaded", True)  # rejected for lack of capacity
    TIMED_OUT = ("timed out", False)
    CONNECTION_REFUSED = ("connection refused", True)
    CONNECTION_LOST = ("connection lost", False)
    CANCELLED = ("cancelled", False)
    NOT_SENT = ("not sent", True)  # the router gave the attempt up before it sent the request
    NOT_CONNECTED = ("not connected", True)  # no connection in time, or one that was closed at once
    NOT_FOUND = ("not found", True)  # the endpoint has no copy and was told not to fill

    @property
    def never_ran(self) -> bool:
        """Returns True if the request was certainly not executed."""
        return self.value[1]


class FillStatus(IntEnum):
    """What a response says about its source, or about which side failed."""

    UNKNOWN = 0  # the response doesn't say
    HIT = 1
    FROM_PARENT = 2
    FROM_ORIGIN = 3
    COLLAPSED = 4  # the request waited for the fill of another one
    STALE = 5
    SOURCE_OVERLOADED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_NOT_FOUND = 8
    NO_FILL_SLOT = 9
    ORIGIN_UNREACHABLE = 10


# -- settings -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """The constraints on requests of one class, and the value of their responses.

    :ivar name: the name that requests refer to.
    :ivar idempotency: whether the requests may be executed more than once.
    :ivar priority_weight: the value of a response in time, relative to other classes.
    :ivar latency_objective: time within which a response without a body has its full value.
    :ivar objective_stretch: the objective grows by the response's sending time times this factor.
    :ivar client_timeout: time after which the client no longer waits.
    :ivar late_value_share: share of its value that a response after the objective keeps.
    :ivar deduplication_scope: for IDEMPOTENT_WITH_KEY, the endpoints that share their keys: "all", "zone"
        (those of one location) or "cell" (those of one cell of a location).
    :ivar deduplication_window: for IDEMPOTENT_WITH_KEY, how long endpoints remember a key.
    :ivar max_age: age up to which a copy is fresh; 0: it is fresh until it is purged.
    :ivar stale_grace: time beyond ``max_age`` for which a stale copy is better than none.
    :ivar stale_value_share: share of its value that a stale response keeps.
    :ivar uncacheable: whether caches keep no copies of the responses.
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
    """How the capacity of a tier's endpoints grows after a start, and which load they fail under meanwhile.

    :ivar initial_share: share of the capacity that is available right after a start, from 0 to 1.
    :ivar ramp_time: time after which all of it is available; the share grows linearly until then.
    :ivar overload_factor: an endpoint fails if the load exceeds its capacity by this factor ...
    :ivar window: ... for this time.
    :ivar routers: how many routers send to an endpoint and share its capacity.
    """

    initial_share: float
    ramp_time: int
    overload_factor: float
    window: int
    routers: int


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What the deployment allows a router to do.

    :ivar max_attempts: the most attempts of one request.
    :ivar pass_through: whether requests may bypass the caches and go to parents and origins.
    :ivar request_collapsing: whether a cache may serve several requests with one fill.
    :ivar siblings: whether caches may fill from one another.
    :ivar health_checks: whether endpoints may be checked.
    :ivar cancellation: whether an attempt can be cancelled.
    :ivar max_retry_after: the longest Retry-After time that a rejection may name; 0: it may name none.
    :ivar discovery_on_request: whether the endpoint list must be requested; otherwise it is pushed.
    :ivar load_in_responses: whether responses carry load reports, which take the place of health checks.
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


# -- input at run time ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    :ivar name: its name, which is unique in the list.
    :ivar location: the location that it belongs to.
    :ivar tier: its role.
    :ivar machine_type: endpoints of the same type have links of the same capacity.
    :ivar cell: its cell of the location; see ``TrafficClass.deduplication_scope``.
    :ivar state: whether it may receive requests.
    :ivar capacity_rating: the concurrent transfers that its link carries at full rate, if the list
        has ratings.
    :ivar started_at: clock time of its last start; 0: it started long ago.
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
    :ivar object_key: the requested object; all chunks of an object have the same placement.
    :ivar tag: the tag by which the object can be purged together with others; None: it has none.
    :ivar chunk: the requested part of the object.
    :ivar size_kb: size of the response; 0: unknown.
    :ivar timeout: time from its arrival after which the client no longer waits.
    :ivar tenant: the tenant that it is accounted to; None: it is accounted to none.
    :ivar max_attempts: a limit below that of the deployment; 0: the deployment's limit applies.
    :ivar queueing_time: the part of its timeout that had passed before the router read it.
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
    """What a response reports about load; None for each value that it doesn't report.

    :ivar time_to_first_byte: the wait for the fill source's first byte, or for its failure.
    :ivar utilization: the share of the endpoint's capacity that is in use.
    :ivar link_utilization: from a cache: the transfers on its location's link divided by those that fit.
    """

    time_to_first_byte: int | None = None
    utilization: float | None = None
    link_utilization: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    :ivar attempt_number: the number from its ``Forward``.
    :ivar status: how it ended.
    :ivar elapsed: time since it was decided.
    :ivar fill_status: what its response says about its source.
    :ivar final: whether the request has its final response.
    :ivar load_report: what its response reports about load.
    """

    attempt_number: int
    status: AttemptStatus
    elapsed: int
    fill_status: FillStatus = FillStatus.UNKNOWN
    final: bool = False
    load_report: LoadReport = LoadReport()


@dataclass(frozen=True, slots=True)
class HealthObservation:
    """What a router's own requests show about one cache.

    :ivar cache: the cache's name.
    :ivar ejected: whether the router has ejected it.
    :ivar completed: total of requests that it served.
    :ivar failed: total of requests that it failed.
    :ivar in_flight: the router's requests that are in flight at it.
    """

    cache: str
    ejected: bool
    completed: int
    failed: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class SlowStartDemand:
    """One router's demand for an endpoint in slow start.

    :ivar endpoint: the endpoint's name.
    :ivar tier: its role.
    :ivar limit: sending time that all routers together may spend on it in a window.
    :ivar demand: sending time that this router spent, or would have spent, since its last report.
    :ivar largest_request: the longest sending time of one of these requests.
    """

    endpoint: str
    tier: Tier
    limit: int
    demand: int
    largest_request: int


@dataclass(frozen=True, slots=True)
class GrantCharge:
    """Sending time that a request has used of what was granted to its router at an endpoint in slow start.

    :ivar endpoint: the endpoint's name.
    :ivar sending_time: the request's sending time, in microseconds.
    """

    endpoint: str
    sending_time: int


# -- decisions ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Forward:
    """Tells the caller to send the request to an endpoint.

    :ivar attempt_number: counts from 0 and identifies the attempt in its result.
    :ivar endpoint: the endpoint's name.
    :ivar fill_source: the name of the endpoint that a miss is filled from; the same as ``endpoint``: no fill.
    :ivar cache_priority: the priority with which a cache retains the object; 0: it keeps no copy.
    :ivar max_age: the highest age at which a copy may be served; 0: the traffic class's.
    :ivar allow_collapsing: whether the cache may let the request wait for the fill of another one.
    :ivar revalidate_in_background: whether the cache may serve a copy while it fetches a newer one.
    :ivar timeout: time after which the attempt is given up.
    :ivar send_by: time after which the request must not be sent, as its connection may be established late.
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
    """Tells the caller to ask again later.

    :ivar delay: time after which to ask.
    """

    delay: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Tells the client that it was not served and may retry.

    :ivar retry_after: the Retry-After time to send; 0: none is sent.
    """

    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Tells the client that the request failed, and may have been executed nevertheless."""


Decision = Forward | Defer | Reject | Fail


class CacheCount(NamedTuple):
    """How many caches a router may use.

    :ivar available: caches that may receive requests now.
    :ivar listed: all caches in the list, also those that are draining, ejected or at another location.
    """

    available: int
    listed: int


@dataclass(frozen=True, slots=True)
class MaintenanceActions:
    """The work that is due independently of requests.

    :ivar delay: time until the next call of ``Router.maintenance()`` is due.
    :ivar health_checks: the names of the endpoints to health-check.
    :ivar health_check_timeout: time after which a health check has failed.
    :ivar needs_discovery: whether to request the endpoint list now.
    """

    delay: int
    health_checks: tuple[str, ...]
    health_check_timeout: int
    needs_discovery: bool
