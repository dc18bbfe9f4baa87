"""The start of an attempt: it charges budgets, updates counts and builds the request to send.  No I/O."""

from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.fill_limits import FillLimiter
from quartzrouter.routing.freshness import Freshness
from quartzrouter.routing.in_flight import Attempt, InFlightRequest
from quartzrouter.routing.load import LoadEstimator
from quartzrouter.routing.model import Capabilities, Forward, Tier
from quartzrouter.routing.retries import RetryPolicy
from quartzrouter.routing.slow_start import Charge, SlowStartLimiter
from quartzrouter.routing.timeouts import Timeouts


class AttemptStarter:
    """Starts attempts whose endpoint and fill source have been selected."""

    def __init__(
        self,
        capabilities: Capabilities,
        endpoints: EndpointList,
        load: LoadEstimator,
        fills: FillLimiter,
        slow_start: SlowStartLimiter,
        freshness: Freshness,
        timeouts: Timeouts,
        retries: RetryPolicy,
    ) -> None:
        self.capabilities = capabilities
        self.endpoints = endpoints
        self.load = load
        self.fills = fills
        self.slow_start = slow_start
        self.freshness = freshness
        self.timeouts = timeouts
        self.retries = retries

    def start(
        self, in_flight: InFlightRequest, endpoint: int, source: int, sending_time: int, now: int
    ) -> Forward:
        """Charges slow-start budgets, counts the attempt as in flight, and returns what to send.

        :param endpoint: the index of the endpoint.
        :param source: the index of the fill source.  If it equals ``endpoint``, a parent fills from the
            origin, and other endpoints don't fill.
        :param sending_time: the sending time to charge to slow-start budgets.
        """
        parent_charge = self._charge_slow_start(endpoint, source, sending_time, now)
        origins = self.endpoints.by_tier[Tier.ORIGIN]
        if source == endpoint and self.endpoints.by_index[endpoint].tier is Tier.PARENT and origins:
            source = origins[0]
        is_known_miss = endpoint in in_flight.caches_without_copy
        contention = self.load.contention(endpoint, now)
        attempt = Attempt(endpoint, source, now, parent_charge, contention, is_known_miss)
        attempt_number = in_flight.attempts_started
        in_flight.attempts_started += 1
        in_flight.attempts[attempt_number] = attempt
        self.fills.in_flight[source] += is_known_miss
        self.load.attempt_started(endpoint, source)
        return Forward(
            attempt_number=attempt_number,
            endpoint=self.endpoints.by_index[endpoint].name,
            fill_source=self.endpoints.by_index[source].name,
            cache_priority=in_flight.cache_priority,
            max_age=self._max_age(in_flight, now),
            allow_collapsing=self.capabilities.request_collapsing,
            revalidate_in_background=bool(in_flight.traffic_class.max_age),
            timeout=max(1, self.timeouts.attempt_deadline(in_flight) - now),
            send_by=self.retries.send_by(in_flight),
        )

    def _charge_slow_start(self, endpoint: int, source: int, sending_time: int, now: int) -> Charge | None:
        """Charges a cache, and a parent that may have to fill; returns the charge to the parent."""
        if self.endpoints.by_index[endpoint].tier is Tier.CACHE:
            self.slow_start.charge(endpoint, sending_time, now)
        if self.endpoints.by_index[source].tier is Tier.PARENT:
            return self.slow_start.charge(source, sending_time, now)
        return None

    def _max_age(self, in_flight: InFlightRequest, now: int) -> int:
        """Returns the highest age at which a copy may be served.

        After a failure, or while fills are late, a stale copy is better than none.
        """
        request, traffic_class = in_flight.request, in_flight.traffic_class
        usual_max_age = traffic_class.max_age
        if usual_max_age and (in_flight.failed_endpoints or self.fills.are_fills_late(now)):
            usual_max_age += traffic_class.stale_grace
        return self.freshness.max_age(request.tag, request.object_key, usual_max_age, now)
