"""The state of a request until it has its final response.  No I/O."""

from typing import NamedTuple

from quartzrouter.routing.model import Endpoint, Request, TrafficClass
from quartzrouter.routing.slow_start import Charge
from quartzrouter.routing.units import MILLISECOND

# Time, in microseconds, between the latest final response and the client's timeout.  It allows for a few
# batches of events.
RESPONSE_MARGIN = 6 * MILLISECOND


class Attempt(NamedTuple):
    """An attempt that has not ended.

    :ivar endpoint: the index of the endpoint that it was sent to.
    :ivar fill_source: the index of the endpoint that a miss is filled from; the same as ``endpoint``: no
        fill.
    :ivar started_at: time at which it was decided.
    :ivar parent_charge: its charge to the slow-start budget of a parent, if any.
    :ivar contention: transfers that were expected on the endpoint's link, including this one, divided by the
        number that it carries at full rate.
    :ivar is_known_miss: whether the endpoint is known to hold no copy of the object.
    """

    endpoint: int
    fill_source: int
    started_at: int
    parent_charge: Charge | None
    contention: float
    is_known_miss: bool

    @property
    def may_fill(self) -> bool:
        """Returns True if the endpoint may fill a miss from another one."""
        return self.fill_source != self.endpoint


class PossibleExecution(NamedTuple):
    """The first attempt of a request that may have been executed.

    :ivar started_at: time at which it was decided.
    :ivar endpoint: the endpoint that it was sent to.
    """

    started_at: int
    endpoint: Endpoint


class InFlightRequest:
    """A request without a final response, or with attempts that have not ended.

    :ivar arrived_at: time at which the last byte of the request arrived.
    :ivar deadline: time by which the final response must be sent.
    :ivar attempts_started: how many attempts were started so far; also the next attempt's number.
    :ivar cache_priority: see ``Forward.cache_priority``.
    :ivar is_finished: whether it has its final response, or its client has left.
    :ivar is_streaming: whether part of a response has been sent to the client; no other attempt may follow.
    :ivar attempts: attempts that have not ended, by attempt number.
    :ivar caches_without_copy: caches in which a lookup for this request found no copy.
    :ivar failed_endpoints: endpoints that have failed this request.
    :ivar unexplained_errors: for each error of unknown cause, the endpoints that may have caused it.
    :ivar possible_execution: the first attempt that may have been executed.
    """

    def __init__(self, request: Request, traffic_class: TrafficClass, now: int) -> None:
        self.request = request
        self.traffic_class = traffic_class
        self.arrived_at = now - request.queueing_time
        self.deadline = self.arrived_at + request.timeout - RESPONSE_MARGIN
        self.attempts_started = 0
        self.cache_priority = 0
        self.is_finished = False
        self.is_streaming = False
        self.attempts: dict[int, Attempt] = {}
        self.caches_without_copy: set[int] = set()
        self.failed_endpoints: set[int] = set()
        self.unexplained_errors: list[set[int]] = []
        self.possible_execution: PossibleExecution | None = None
