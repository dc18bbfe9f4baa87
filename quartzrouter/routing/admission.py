"""Whether a request is sent now, deferred or refused.  No I/O."""

from quartzrouter.routing.capacity import TransferCapacity
from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.fill_limits import FillLimiter
from quartzrouter.routing.in_flight import InFlightRequest
from quartzrouter.routing.jitter import Jitter
from quartzrouter.routing.load import LoadEstimator
from quartzrouter.routing.model import Defer, Tier
from quartzrouter.routing.outlier_detection import OutlierDetector
from quartzrouter.routing.sending_times import SendingTimes
from quartzrouter.routing.units import MILLISECOND

# Requests in flight at a cache, over the transfers that its link carries, from which it is saturated.
# Latency objectives leave room for so many.
SATURATED_LOAD = 2.5
# Requests in flight, for each router, below which a cache isn't saturated by them.  One alone says nothing of
# load.
MIN_SATURATED_LOAD = 2
# Requests in flight, over the transfers of all links of the location, below which its caches have room.
# Above it further copies only move the load.
SPARE_LOAD = 0.9
# Factor on the expected time to send an answer, as more requests will come while it is sent.
SLOWDOWN_MARGIN = 1.4
# Longest time, in microseconds, until a deferred request is decided again.  It is short beside any latency
# objective.
DEFER_TIME = 50 * MILLISECOND


class Admission:
    """Sheds what can't be served in time, and tells when a cache should get no further request."""

    def __init__(
        self,
        endpoints: EndpointList,
        capacity: TransferCapacity,
        load: LoadEstimator,
        sending_times: SendingTimes,
        health: OutlierDetector,
        fills: FillLimiter,
        jitter: Jitter,
    ) -> None:
        self.endpoints = endpoints
        self.capacity = capacity
        self.load = load
        self.sending_times = sending_times
        self.health = health
        self.fills = fills
        self.jitter = jitter

    def can_meet_objective(self, in_flight: InFlightRequest, index: int, now: int) -> bool:
        """Whether an endpoint can be expected to answer within the latency objective.

        Guards against overload by bursts, retries and slow caches: work that can't be done in time would
        only make other work late as well.  An idle cache is always tried, so that a wrong estimate of its
        link is corrected; of parents and origins nothing is known.
        """
        takes = 0.0
        if self.endpoints.by_index[index].tier is Tier.CACHE and self.load.estimate(index, now):
            slowdown = max(1.0, self.load.contention(index, now)) * SLOWDOWN_MARGIN
            takes = self.sending_times.expected(in_flight) * slowdown
        return now + takes <= self._objective_time(in_flight)

    def is_saturated(self, in_flight: InFlightRequest, index: int, now: int) -> bool:
        """Whether a cache should not get this request, so that the replica set grows.

        A cache at which the request can't meet its objective counts as saturated as long as other links of
        the location have room; else a further copy would cost a fill and only move the load.
        """
        routers = self.load.cache_budget.terms.routers
        limit = max(MIN_SATURATED_LOAD * routers, SATURATED_LOAD * self.capacity.of(index))
        if self.load.estimate(index, now) >= limit or self.health.by_index[index].saturated_until > now:
            return True
        if self.fills.are_fills_late(now) or self.can_meet_objective(in_flight, index, now):
            return False
        return self._location_has_room(now)

    def _location_has_room(self, now: int) -> bool:
        caches = self.endpoints.by_tier[Tier.CACHE]
        excess = sum(
            self.load.estimate(index, now) - SPARE_LOAD * self.capacity.of(index) for index in caches
        )
        return excess < 0

    def defer(self, in_flight: InFlightRequest, now: int) -> Defer | None:
        """Defers a request for which no endpoint is free.

        :returns: None where it could not be served in time any more.
        """
        if now + DEFER_TIME >= min(in_flight.deadline, self._objective_time(in_flight)):
            return None
        return Defer(DEFER_TIME - self.jitter.below(DEFER_TIME // 2))

    def _objective_time(self, in_flight: InFlightRequest) -> int:
        return in_flight.arrived_at + self.sending_times.latency_objective(in_flight)
