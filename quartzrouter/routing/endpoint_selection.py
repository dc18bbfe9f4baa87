"""Selection of the endpoint for an attempt.  No I/O."""

from quartzrouter.routing.admission import Admission
from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.fill_source import MAX_LOOKUPS
from quartzrouter.routing.in_flight import InFlightRequest
from quartzrouter.routing.load import LoadEstimator
from quartzrouter.routing.model import Capabilities, Tier
from quartzrouter.routing.outlier_detection import OutlierDetector
from quartzrouter.routing.placement import Placement
from quartzrouter.routing.retries import RetryPolicy
from quartzrouter.routing.slow_start import SlowStartLimiter


class EndpointSelector:
    """Filters the caches to those that may receive a request, and selects one of them.

    Uncacheable requests, and those that no cache may receive, bypass the caches if the deployment allows it.
    """

    def __init__(
        self,
        capabilities: Capabilities,
        endpoints: EndpointList,
        placement: Placement,
        health: OutlierDetector,
        load: LoadEstimator,
        admission: Admission,
        retries: RetryPolicy,
        slow_start: SlowStartLimiter,
    ) -> None:
        self.capabilities = capabilities
        self.endpoints = endpoints
        self.placement = placement
        self.health = health
        self.load = load
        self.admission = admission
        self.retries = retries
        self.slow_start = slow_start

    def _bypasses_caches(self, in_flight: InFlightRequest) -> bool:
        return in_flight.traffic_class.uncacheable and self.capabilities.pass_through

    def eligible_caches(self, in_flight: InFlightRequest, sending_time: int, now: int) -> list[int]:
        """Returns the caches that may receive a request, in its object's rendezvous order."""
        if self._bypasses_caches(in_flight):
            return []
        endpoints = self.endpoints
        order = self.placement.rendezvous_order(in_flight.request.object_key, Tier.CACHE, endpoints)
        allowed = [
            index for index in order if self.retries.allows_endpoint(in_flight, endpoints.by_index[index])
        ]
        healthy = [
            index for index in allowed if self.health.is_usable(index, self.load.in_flight[index], now)
        ]
        # Fails open: if every allowed cache is ejected, all of them are candidates.  The ejection may be out
        # of date, and an ejected cache may still serve the request.
        candidates = healthy or allowed
        untried = [index for index in candidates if index not in in_flight.failed_endpoints]
        # For the same reason, a cache that has already failed this request is better than none.
        candidates = untried or candidates
        self.slow_start.record_unmet_demand(Tier.CACHE, candidates, sending_time, now)
        return [index for index in candidates if self.slow_start.allows(index, sending_time, now)]

    def choose(
        self, in_flight: InFlightRequest, caches: list[int], source: int | None, now: int
    ) -> int | None:
        """Selects a cache for a request, or its fill source if no cache is to serve it.

        :param caches: the result of ``eligible_caches()``.
        :param source: the fill source that was selected for the request.
        :returns: an index; None if no endpoint is available.
        """
        if self._bypasses_caches(in_flight):
            return source if self._allows_source(in_flight, source) else None
        if caches:
            return self.placement.pick(
                in_flight.request.object_key,
                caches,
                lambda index: self.load.estimate(index, now),
                lambda index: self.admission.is_saturated(in_flight, index, now),
                now,
            )
        if self.capabilities.pass_through and in_flight.possible_execution is None:
            return source
        return None

    def _allows_source(self, in_flight: InFlightRequest, source: int | None) -> bool:
        if source is None:
            return False
        return self.retries.allows_endpoint(in_flight, self.endpoints.by_index[source])

    def choose_for_lookup(self, in_flight: InFlightRequest, endpoint: int, caches: list[int]) -> int | None:
        """Selects a cache for a lookup, which asks only for a copy that the cache already holds.

        While fills are late, this avoids fills of objects that another cache of the location holds.

        :param endpoint: the cache that ``choose()`` returned; it comes first unless it was already asked.
        :returns: an index; None if the object is to be filled instead.
        """
        has_used_all_lookups = len(in_flight.caches_without_copy) >= MAX_LOOKUPS
        leaves_attempt_for_fill = in_flight.attempts_started + 2 <= self.capabilities.max_attempts
        if has_used_all_lookups or not leaves_attempt_for_fill:
            return None
        unasked = [index for index in caches if index not in in_flight.caches_without_copy]
        if endpoint in unasked:
            return endpoint
        return unasked[0] if unasked else None
