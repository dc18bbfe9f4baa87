"""The router, which decides on each request in a fixed order of steps.  No I/O.

There is one ``Router`` per router instance, or one per pool under a plan.  No two routers share an object
that can change, also in one process: they get values and return values.

A router's driver calls ``route()`` for each new and each deferred request, ``attempt_finished()`` after each
attempt, and ``maintenance()`` periodically.  It carries out the decisions that these return, and reports
endpoint lists, purges, health checks and clients that have left.
Each rule is in a module of its own; see docs/design.md.
"""

from collections.abc import Iterable, Mapping

from quartzrouter.routing.admission import Admission
from quartzrouter.routing.attempts import AttemptStarter
from quartzrouter.routing.cache_priority import UNCACHEABLE, CachePriority
from quartzrouter.routing.capacity import TransferCapacity
from quartzrouter.routing.endpoint_selection import EndpointSelector
from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.failure_attribution import FailureAttribution
from quartzrouter.routing.fill_limits import FillLimiter
from quartzrouter.routing.fill_source import FillSourceSelector
from quartzrouter.routing.freshness import Freshness
from quartzrouter.routing.in_flight import Attempt, InFlightRequest, PossibleExecution
from quartzrouter.routing.jitter import Jitter
from quartzrouter.routing.load import LoadEstimator, LocationLink
from quartzrouter.routing.measurements import Measurements
from quartzrouter.routing.model import (
    AttemptResult,
    AttemptStatus,
    CacheCount,
    Capabilities,
    Decision,
    Endpoint,
    Fail,
    GrantCharge,
    HealthObservation,
    LoadReport,
    MaintenanceActions,
    Reject,
    Request,
    SlowStart,
    SlowStartDemand,
    Tier,
    TrafficClass,
)
from quartzrouter.routing.outlier_detection import FIRST_EJECTION, HEALTH_CHECK_INTERVAL, OutlierDetector
from quartzrouter.routing.placement import Placement
from quartzrouter.routing.retries import RetryPolicy, retry_after
from quartzrouter.routing.sending_times import SendingTimes
from quartzrouter.routing.slow_start import SlowStartBudget, SlowStartLimiter
from quartzrouter.routing.timeouts import Timeouts
from quartzrouter.routing.units import NEVER, SECOND

# Time, in microseconds, until the endpoint list is requested again after a failure.  A random delay of up to
# the same length is added.
DISCOVERY_RETRY = 1 * SECOND
# Time between calls of ``maintenance()``, in microseconds.  Health checks start late by at most this.
MAINTENANCE_INTERVAL = HEALTH_CHECK_INTERVAL // 2
# Timeout of a health check, in microseconds.  It ends before the next check is due.
HEALTH_CHECK_TIMEOUT = HEALTH_CHECK_INTERVAL // 2

RESPONDED = frozenset({AttemptStatus.SUCCEEDED, AttemptStatus.OVERLOADED, AttemptStatus.NOT_FOUND})


class Router:
    """Decides where each request goes, for one router instance.

    :ivar traffic_classes: by name.
    :ivar in_flight: requests in flight, by id.
    """

    def __init__(
        self,
        router_number: int,
        seed: int,
        home_location: str,
        traffic_classes: Iterable[TrafficClass],
        capabilities: Capabilities,
        cache_slow_start: SlowStart,
        parent_slow_start: SlowStart,
        purge_lifetime: int,
        transfer_rate: float,
        has_capacity_ratings: bool,
    ) -> None:
        """:param router_number: the number of this router in its fleet.
        :param seed: seed of the random delays, any integer; equal seeds give equal delays.
        :param home_location: the location whose caches are used.
        :param traffic_classes: the known classes; a request of any other class is rejected.
        :param capabilities: what the deployment allows a router to do.
        :param cache_slow_start: slow start of caches, and how many routers send to them.
        :param parent_slow_start: the same for parents.
        :param purge_lifetime: microseconds after which no cache holds a purged copy any more.
        :param transfer_rate: rate of one transfer in KB/s; 0: unknown.
        :param has_capacity_ratings: whether the endpoint list has capacity ratings; if not, capacities are
            estimated.
        """
        self.capabilities = capabilities
        self.traffic_classes = {traffic_class.name: traffic_class for traffic_class in traffic_classes}
        self.in_flight: dict[int, InFlightRequest] = {}
        self.jitter = Jitter(router_number, seed)
        self.endpoints = EndpointList(home_location)
        self.placement = Placement()
        self.freshness = Freshness(purge_lifetime)
        self.cache_priority = CachePriority()
        self.sending_times = SendingTimes(self.traffic_classes.values(), transfer_rate)
        self.retries = RetryPolicy(capabilities.max_attempts)
        self.fills = FillLimiter(parent_slow_start.routers)
        self.health = OutlierDetector(self.endpoints, self.jitter)
        self.location_link = LocationLink()
        self.capacity = TransferCapacity(self.endpoints, has_capacity_ratings)
        cache_budget = SlowStartBudget(cache_slow_start, router_number)
        parent_budget = SlowStartBudget(parent_slow_start, router_number)
        self.slow_start = SlowStartLimiter(self.endpoints, self.capacity, cache_budget, parent_budget)
        self.load = LoadEstimator(self.endpoints, self.capacity, cache_budget)
        self.discovery_due_at = 0 if capabilities.discovery_on_request else NEVER
        self._create_components()

    def _create_components(self) -> None:
        """Creates the components that depend on other ones."""
        load_in_responses = self.capabilities.load_in_responses
        endpoints, health, load, fills = self.endpoints, self.health, self.load, self.fills
        placement, slow_start, retries = self.placement, self.slow_start, self.retries
        capacity, sending_times, location_link = self.capacity, self.sending_times, self.location_link
        self.timeouts = Timeouts(sending_times, load_in_responses)
        self.failures = FailureAttribution(endpoints, health, retries, load_in_responses)
        self.measurements = Measurements(
            endpoints, capacity, sending_times, location_link, fills, load_in_responses
        )
        self.fill_sources = FillSourceSelector(
            endpoints, placement, health, load, location_link, fills, slow_start
        )
        self.admission = Admission(endpoints, capacity, load, sending_times, health, fills, self.jitter)
        self.selector = EndpointSelector(
            self.capabilities, endpoints, placement, health, load, self.admission, retries, slow_start
        )
        self.attempts = AttemptStarter(
            self.capabilities, endpoints, load, fills, slow_start, self.freshness, self.timeouts, retries
        )

    # -- requests ------------------------------------------------------------------------------------------

    def route(self, request: Request, now: int) -> Decision | None:
        """Decides on a new request, or again on a deferred one.

        :returns: None if there is nothing to do: an attempt is in flight, or the request has ended.
        """
        in_flight = self.in_flight.get(request.id)
        if in_flight is None:
            traffic_class = self.traffic_classes.get(request.traffic_class)
            if traffic_class is None:
                return Reject(retry_after(self.capabilities))
            in_flight = self._accept(request, traffic_class, now)
        if in_flight.is_finished or in_flight.attempts:
            return None
        return self._decide(in_flight, now)

    def _accept(self, request: Request, traffic_class: TrafficClass, now: int) -> InFlightRequest:
        in_flight = InFlightRequest(request, traffic_class, now)
        self.in_flight[request.id] = in_flight
        is_cacheable = not traffic_class.uncacheable
        in_flight.cache_priority = self.cache_priority.of(request) if is_cacheable else UNCACHEABLE
        self.sending_times.record_request(request)
        return in_flight

    def attempt_finished(self, request_id: int, result: AttemptResult, now: int) -> Decision | None:
        """Records the result of an attempt, and decides what to do next.

        :returns: None if there is nothing to do: the request has its response, or its client has left.
        """
        in_flight = self.in_flight.get(request_id)
        if in_flight is None or result.attempt_number not in in_flight.attempts:
            return None
        attempt = in_flight.attempts.pop(result.attempt_number)
        self.load.attempt_finished(attempt.endpoint, attempt.fill_source)
        self.fills.in_flight[attempt.fill_source] -= attempt.is_known_miss
        self._record_load_report(attempt, result, now)
        self.measurements.record(in_flight, attempt, result, now)
        self.failures.record(in_flight, attempt, result, now)
        if not result.status.never_ran and in_flight.possible_execution is None:
            endpoint = self.endpoints.by_index[attempt.endpoint]
            in_flight.possible_execution = PossibleExecution(attempt.started_at, endpoint)
        has_response = result.final or result.status is AttemptStatus.SUCCEEDED
        if not in_flight.is_finished and not has_response:
            return self._decide(in_flight, now)
        self._finish(in_flight)
        return None

    def _record_load_report(self, attempt: Attempt, result: AttemptResult, now: int) -> None:
        has_reports = self.capabilities.load_in_responses
        report = result.load_report if has_reports else LoadReport()
        if report.utilization is not None:
            self.load.record_utilization(attempt.endpoint, report.utilization, now)
        if has_reports:
            failed_at = self.health.by_index[attempt.endpoint].connection_failed_at
            if failed_at and result.status in RESPONDED:
                # Nothing is health-checked, so the endpoint may have started only now.
                self.health.endpoint_recovered(attempt.endpoint, max(failed_at, now - FIRST_EJECTION))
        is_cache = self.endpoints.by_index[attempt.endpoint].tier is Tier.CACHE
        if report.link_utilization is not None and is_cache:
            self.location_link.record_report(report.link_utilization, now)

    def response_started(self, request_id: int) -> None:
        """Records that a response is being passed on to the client, so no other attempt may follow."""
        in_flight = self.in_flight.get(request_id)
        if in_flight is not None:
            in_flight.is_streaming = True

    def response_deadline(self, request_id: int, size_kb: float) -> int:
        """Returns the time at which a response of this size that has started is given up."""
        return self.timeouts.response_deadline(self.in_flight[request_id], size_kb)

    def cancel_request(self, request_id: int) -> int | None:
        """Ends a request whose client has left.

        :returns: the number of the attempt to cancel; None if there is none, or it can't be cancelled.
        """
        in_flight = self.in_flight.get(request_id)
        if in_flight is None or in_flight.is_finished:
            return None
        self._finish(in_flight)
        return next(iter(in_flight.attempts), None) if self.capabilities.cancellation else None

    def is_in_flight(self, request_id: int) -> bool:
        """Returns True if a request has no final response yet, or has attempts that have not ended."""
        return request_id in self.in_flight

    def has_requests(self) -> bool:
        """Returns True if any request is in flight."""
        return bool(self.in_flight)

    # -- the steps of a decision ---------------------------------------------------------------------------

    def _decide(self, in_flight: InFlightRequest, now: int) -> Decision:
        """Applies, in this order: retry rules, fill source, placement, admission, lookup, retry budget."""
        if not self.retries.allows_attempt(in_flight, now):
            return self._give_up(in_flight)
        is_cacheable = not in_flight.traffic_class.uncacheable
        sending_time = self.sending_times.class_mean(in_flight.traffic_class)
        conditions = self.fill_sources.conditions(now)
        source = self.fill_sources.select(in_flight, sending_time, conditions, now)
        caches = self.selector.eligible_caches(in_flight, sending_time, now)
        endpoint = self.selector.choose(in_flight, caches, source, now)
        if endpoint is None or (source is None and not is_cacheable):
            return self._defer(in_flight, now)
        if not self.admission.can_meet_objective(in_flight, endpoint, now):
            return self._give_up(in_flight)
        if is_cacheable and conditions.needs_lookup and endpoint in caches:
            lookup = self.selector.choose_for_lookup(in_flight, endpoint, caches)
            if lookup is not None:
                endpoint = source = lookup
        if source is None and endpoint in in_flight.caches_without_copy:
            return self._defer(in_flight, now)
        # A lookup asks a cache only for a copy that it holds, as with ``Cache-Control: only-if-cached``.
        # The attempt after a lookup without a copy is not a retry: nothing has failed, so it costs no retry
        # token.  This applies to all later attempts of the request; ``max_attempts`` bounds their number.
        is_after_lookup = bool(in_flight.caches_without_copy)
        if not is_after_lookup and not self.retries.try_spend(in_flight):
            return self._give_up(in_flight)
        if source is None:
            source = endpoint
        return self.attempts.start(in_flight, endpoint, source, sending_time, now)

    def _defer(self, in_flight: InFlightRequest, now: int) -> Decision:
        return self.admission.defer(in_flight, now) or self._give_up(in_flight)

    def _give_up(self, in_flight: InFlightRequest) -> Reject | Fail:
        self._finish(in_flight)
        if self.retries.allows_rejection(in_flight):
            return Reject(retry_after(self.capabilities))
        return Fail()

    def _finish(self, in_flight: InFlightRequest) -> None:
        """Ends a request, and removes it unless it has attempts in flight."""
        in_flight.is_finished = True
        if not in_flight.attempts:
            self.in_flight.pop(in_flight.request.id, None)

    # -- endpoints, purges, health checks ------------------------------------------------------------------

    def update_endpoints(
        self,
        endpoints: Iterable[Endpoint],
        is_snapshot: bool,
        now: int,  # noqa: ARG002  the methods that report events all take the time
    ) -> None:
        """Applies a full endpoint list or changes to it, and removes the state of endpoints that are gone.

        :param is_snapshot: whether endpoints that are not included are gone.
        """
        for index in self.endpoints.update(endpoints, is_snapshot):
            self.health.endpoint_restarted(index)
        for index in self.endpoints.gone():
            if self.load.is_idle(index):
                self._forget(index)
        self.placement.endpoints_changed()

    def _forget(self, index: int) -> None:
        self.endpoints.forget(index)
        self.load.forget(index)
        self.health.forget(index)
        self.fills.forget(index)
        self.slow_start.forget(index)

    def endpoint_list_failed(self, now: int) -> None:
        """Schedules another request for the endpoint list after one has failed."""
        if self.capabilities.discovery_on_request:
            self.discovery_due_at = now + DISCOVERY_RETRY + self.jitter.below(DISCOVERY_RETRY)

    def record_purge(self, tag: int | None, object_key: str | None, age: int, now: int) -> None:
        """Records a purge, so that older copies are no longer served.

        :param tag: the tag to purge, if no object is given.
        :param object_key: the object to purge.
        :param age: time since the purge was made.
        """
        self.freshness.record(tag, object_key, now - age, now)

    def record_health_check(self, name: str, status: AttemptStatus, now: int) -> None:
        """Records the result of a health check, if the endpoint is still listed as up.

        :param name: the name of the endpoint.
        """
        index = self.endpoints.index_of.get(name)
        if index is not None and self.endpoints.is_up(index):
            self.health.record_health_check(index, status, now)

    def maintenance(self, now: int) -> MaintenanceActions:
        """Returns the work that is due: health checks, an endpoint list request and the next call of this."""
        due = self.health.health_checks_due(now) if self.capabilities.health_checks else []
        listed = (index for index in due if index in self.endpoints.by_index)
        checks = tuple(self.endpoints.by_index[index].name for index in listed if self.endpoints.is_up(index))
        needs_discovery = self.discovery_due_at <= now
        if needs_discovery:
            self.discovery_due_at = NEVER
        return MaintenanceActions(MAINTENANCE_INTERVAL, checks, HEALTH_CHECK_TIMEOUT, needs_discovery)

    # -- reports between routers ---------------------------------------------------------------------------

    def set_ejected_by_peers(self, ejected_until: Mapping[str, int], now: int) -> None:
        """Records until when other routers have ejected endpoints, so that this router avoids them too."""
        self.health.set_ejected_by_peers(ejected_until, now)

    def set_fleet_load(self, in_flight_elsewhere: Mapping[str, int], now: int) -> None:
        """Records how many requests other routers have in flight at each cache; below 0: unknown."""
        self.load.set_fleet_load(in_flight_elsewhere, now)

    def slow_start_demand(self, now: int) -> list[SlowStartDemand]:
        """Returns the endpoints in slow start, with this router's demand for each since the last call."""
        return self.slow_start.take_demand(now)

    def health_observations(self, now: int) -> list[HealthObservation]:
        """Returns what this router's own requests show about each cache."""
        return self.health.observations(self.load.in_flight, now)

    # -- the router of one pool, beside those of other pools -----------------------------------------------

    def set_locations(self, locations: tuple[str, ...]) -> None:
        """Sets the locations whose caches are used, effective from the next endpoint list."""
        self.endpoints.locations = locations

    def add_traffic_classes(self, traffic_classes: Mapping[str, TrafficClass]) -> None:
        """Adds or replaces traffic classes; requests in flight keep the ones they have."""
        self.traffic_classes.update(traffic_classes)
        self.sending_times.add_classes(traffic_classes)

    def copy_purges_from(self, freshness: Freshness) -> None:
        """Replaces the recorded purges with a copy of those made before this router was created."""
        self.freshness.copy_from(freshness)

    def count_caches(self, now: int) -> CacheCount:
        """Returns how many caches are listed, and how many of them may receive requests."""
        caches = self.endpoints.listed_caches()
        available = [
            index
            for index in caches
            if self.endpoints.is_up(index) and not self.health.by_index[index].is_ejected(now)
        ]
        return CacheCount(len(available), len(caches))

    def share_slow_start(self, tier: Tier, routers: int, guaranteed_share: float) -> None:
        """Sets how many routers share the slow-start budgets of a tier.

        :param guaranteed_share: share of a budget that is divided evenly; the rest is granted as needed.
        """
        self.slow_start.budgets[tier].share(routers, guaranteed_share)

    def set_slow_start_grants(self, granted: Mapping[str, int]) -> None:
        """Sets the sending time that requests may use beyond this router's own part of the budgets.

        :param granted: microseconds by endpoint name, which are copied.
        """
        self.slow_start.set_grants(granted)

    def return_slow_start_grants(self) -> tuple[GrantCharge, ...]:
        """Gives up the granted sending time, so that another router may use the rest of it.

        :returns: what requests have used of it; empty if none has used any.
        """
        return self.slow_start.return_grants()

    def exhaust_slow_start(self, now: int) -> None:
        """Treats all slow-start budgets as spent for one window."""
        self.slow_start.exhaust(now)

    def share_fill_limits(self, routers: int) -> None:
        """Sets how many routers share the limits of fill sources."""
        self.fills.routers = routers

    def set_retries_allowed(self, allowed: bool) -> None:
        """Sets whether limits that are shared with other routers allow a retry."""
        self.retries.shared_limits_allow = allowed

    @property
    def retries_spent(self) -> int:
        """The number of retries made so far."""
        return self.retries.retries_spent
