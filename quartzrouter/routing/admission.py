"""Admission control: whether a request can be served in time, and which caches are saturated.  No I/O."""

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

# Requests in flight at a cache, divided by the transfers that its link carries, from which it is saturated.
# Up to this load, latency objectives can be met.
SATURATED_LOAD = 2.5
# Requests in flight at a cache, per router, below which they don't saturate it.  A single one says nothing
# about load.
MIN_SATURATED_LOAD = 2
# Requests in flight, divided by the transfers that all caches' links carry, below which the location has
# spare capacity.  Above it, further copies only move the load.
SPARE_LOAD = 0.9
# Factor on the expected time to send a response, as more requests will arrive while it is sent.
SLOWDOWN_MARGIN = 1.4
# Longest time, in microseconds, until a deferred request is decided again.  It is short compared with any
# latency objective.
DEFER_TIME = 50 * MILLISECOND


class Admission:
    """Sheds requests that can't be served in time, and determines which caches are saturated."""

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
        """Returns True if an endpoint is expected to respond within the latency objective.

        Prevents overload by bursts, retries and slow caches: requests that can't be served in time would only
        delay others.  The estimate is not applied to an idle cache, so that a wrong estimate of its link's
        capacity gets corrected, nor to parents and origins, as nothing is known of them.
        """
        expected_time = 0.0
        if self.endpoints.by_index[index].tier is Tier.CACHE and self.load.estimate(index, now):
            slowdown = max(1.0, self.load.contention(index, now)) * SLOWDOWN_MARGIN
            expected_time = self.sending_times.expected(in_flight) * slowdown
        return now + expected_time <= self._objective_time(in_flight)

    def is_saturated(self, in_flight: InFlightRequest, index: int, now: int) -> bool:
        """Returns True if a cache should not receive this request, so that the replica set grows.

        A cache at which the request can't meet its objective counts as saturated only while the location has
        spare capacity; otherwise a further copy would cost a fill and only move the load.
        """
        routers = self.load.cache_budget.terms.routers
        limit = max(MIN_SATURATED_LOAD * routers, SATURATED_LOAD * self.capacity.of(index))
        if self.load.estimate(index, now) >= limit or self.health.by_index[index].saturated_until > now:
            return True
        if self.fills.are_fills_late(now) or self.can_meet_objective(in_flight, index, now):
            return False
        return self._location_has_spare_capacity(now)

    def _location_has_spare_capacity(self, now: int) -> bool:
        caches = self.endpoints.by_tier[Tier.CACHE]
        excess = sum(
            self.load.estimate(index, now) - SPARE_LOAD * self.capacity.of(index) for index in caches
        )
        return excess < 0

    def defer(self, in_flight: InFlightRequest, now: int) -> Defer | None:
        """Defers a request for which no endpoint is available.

        :returns: None if the request could no longer be served in time afterwards.
        """
        if now + DEFER_TIME >= min(in_flight.deadline, self._objective_time(in_flight)):
            return None
        return Defer(DEFER_TIME - self.jitter.below(DEFER_TIME // 2))

    def _objective_time(self, in_flight: InFlightRequest) -> int:
        return in_flight.arrived_at + self.sending_times.latency_objective(in_flight)
