"""What is known of a request until it has its final answer.  No I/O."""

from typing import NamedTuple

from quartzrouter.routing.model import Endpoint, Request, TrafficClass
from quartzrouter.routing.slow_start import Charge
from quartzrouter.routing.units import MILLISECOND

# Time, in microseconds, by which the final answer comes before the client's timeout.  It is worth a few
# batches.
ANSWER_MARGIN = 6 * MILLISECOND


class Attempt(NamedTuple):
    """An attempt that has not ended.

    :ivar endpoint: the index of the endpoint that it was sent to.
    :ivar fill_source: the index of the endpoint that a miss is filled from; the same as ``endpoint``: none.
    :ivar started_at: time at which it was decided.
    :ivar parent_charge: what it was charged to the slow-start budget of a parent, if anything.
    :ivar contention: transfers that were expected on the endpoint's link, over those that it carries at full
        rate, this one included.
    :ivar is_known_miss: whether the endpoint is known to lack the object.
    """

    endpoint: int
    fill_source: int
    started_at: int
    parent_charge: Charge | None
    contention: float
    is_known_miss: bool

    @property
    def may_fill(self) -> bool:
        """Whether the endpoint was given another one to fill a miss from."""
        return self.fill_source != self.endpoint


class PossibleExecution(NamedTuple):
    """The first attempt of a request that may have been executed.

    :ivar started_at: time at which it was sent.
    :ivar endpoint: where to.
    """

    started_at: int
    endpoint: Endpoint


class InFlightRequest:
    """A request without a final answer, or with attempts that have not ended.

    :ivar arrived_at: time at which the client's last byte had come.
    :ivar deadline: time by which the final answer has to leave.
    :ivar attempts_started: how many attempts were made so far; also the next attempt's number.
    :ivar cache_priority: see ``Forward.cache_priority``.
    :ivar is_over: whether it has its final answer, or nobody waits for one.
    :ivar is_streaming: whether bytes of an answer have gone to the client; no other attempt may follow.
    :ivar attempts: attempts that have not ended, by attempt number.
    :ivar caches_without_copy: caches that were looked into for this request and hold no copy.
    :ivar failed_endpoints: endpoints that have failed this request.
    :ivar unexplained_errors: per error that doesn't tell its cause, the endpoints it may be due to.
    :ivar possible_execution: the first attempt that may have been executed.
    """

    def __init__(self, request: Request, traffic_class: TrafficClass, now: int) -> None:
        self.request = request
        self.traffic_class = traffic_class
        self.arrived_at = now - request.queueing_time
        self.deadline = self.arrived_at + request.timeout - ANSWER_MARGIN
        self.attempts_started = 0
        self.cache_priority = 0
        self.is_over = False
        self.is_streaming = False
        self.attempts: dict[int, Attempt] = {}
        self.caches_without_copy: set[int] = set()
        self.failed_endpoints: set[int] = set()
        self.unexplained_errors: list[set[int]] = []
        self.possible_execution: PossibleExecution | None = None
