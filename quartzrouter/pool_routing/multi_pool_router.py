"""Applies a plan: has one router for each pool, and passes each request to its pool's router.  Does no I/O.

A new plan applies at once.  Routers of pools whose names stay keep their state.  Routers of pools that are
gone are kept until their last request has ended.  A new plan doesn't change the route, policy and pool of
requests that arrived before it.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from quartzrouter.config.matcher import Matcher
from quartzrouter.config.model import Plan
from quartzrouter.config.request_sets import RouteQuery
from quartzrouter.pool_routing.policy_budgets import PolicyBudgets
from quartzrouter.pool_routing.policy_classes import effective_traffic_classes
from quartzrouter.pool_routing.pool_router import PoolRouter
from quartzrouter.pool_routing.pool_router_set import PoolRouterSet
from quartzrouter.pool_routing.pools import PoolSelector
from quartzrouter.pool_routing.purge_bounds import PurgeBounds
from quartzrouter.pool_routing.rate_limits import LimitExceeded, RateLimiter
from quartzrouter.pool_routing.route_selection import (
    RouteSelection,
    limit_keys,
    retry_limits_by_route,
    select_route,
    traffic_class_name,
)
from quartzrouter.pool_routing.shared_limits import max_request_times, shared_budgets
from quartzrouter.purges.fleet_purges import CachedCopy, FleetPurges
from quartzrouter.quota.client import QuotaClient
from quartzrouter.quota.slow_start_client import SlowStartClient
from quartzrouter.routing.model import (
    AttemptResult,
    AttemptStatus,
    CacheCount,
    Decision,
    Endpoint,
    Forward,
    MaintenanceActions,
    Reject,
    Request,
)
from quartzrouter.routing.router import Router


class MultiPoolRouter:
    """Has the interface of a ``Router``, and decides by a plan.

    :ivar pool_routers: the routers of the pools, and of pools that are gone.
    :ivar routers_by_request: the router of each request in flight, by request id.
    :ivar selections_by_request: the route of each request in flight, by request id.
    """

    def __init__(
        self,
        plan: Plan,
        router_arguments: Mapping[str, Any],
        fleet_purges: FleetPurges | None = None,
        quota_client: QuotaClient | None = None,
        slow_start_client: SlowStartClient | None = None,
    ) -> None:
        """Creates the routers of a plan's pools.

        :param router_arguments: the arguments of a ``Router``, for the whole deployment.
        :param fleet_purges: the fleet's purges, if there is a purge log.
        :param quota_client: this router's quotas of shared limits.
        :param slow_start_client: this router's part of shared slow-start budgets.
        """
        self.router_arguments = dict(router_arguments)
        self.home_location: str = router_arguments["home_location"]
        self.fleet_purges = fleet_purges
        self.quota_client = quota_client
        self.slow_start_client = slow_start_client
        self.limits = RateLimiter(plan.limits, quota_client, self.home_location)
        self.pools = PoolSelector(plan.pools, plan.splits)
        self.policy_budgets = PolicyBudgets()
        self.purge_bounds = PurgeBounds(fleet_purges)
        slow_start_terms = slow_start_client.terms if slow_start_client else {}
        self.pool_routers = PoolRouterSet(router_arguments, slow_start_terms)
        self.routers_by_request: dict[int, PoolRouter] = {}
        self.selections_by_request: dict[int, RouteSelection] = {}
        self._load_plan(plan)
        self.pool_routers.assign(plan, self.traffic_classes, 0)

    # -- the plan --------------------------------------------------------------------------------------

    def replace(self, plan: Plan, now: int) -> None:
        """Applies a new plan."""
        self.limits.replace(plan.limits)
        if self.quota_client:
            self.quota_client.replace(shared_budgets(plan, (self.home_location,)))
        self.pools.replace(plan.pools, plan.splits)
        self.policy_budgets.keep_only(plan.policies)
        self._load_plan(plan)
        self.pool_routers.assign(plan, self.traffic_classes, now)

    def _load_plan(self, plan: Plan) -> None:
        self.plan = plan
        self.matcher = Matcher(plan.routes)
        self.longest_in_flight = max_request_times(plan)
        self.retry_limits = retry_limits_by_route(plan)
        self.traffic_classes = effective_traffic_classes(plan)

    # -- admission ---------------------------------------------------------------------------------------

    def select_route(self, asked: RouteQuery, client: str) -> RouteSelection | None:
        """Returns the route of a request, or None if no route matches."""
        return select_route(self.plan, self.matcher, asked, client)

    def admit(self, request_id: int, selection: RouteSelection, now: int) -> LimitExceeded | None:
        """Selects the pool of a request, and counts the request in its limits.

        :returns: the limit that denies the request, with an empty name if its policy denies all requests;
            None if the request is admitted.
        """
        if selection.policy.deny:
            return LimitExceeded("", self.retry_after(selection, 0))
        wanted = self.pools.resolve_split(selection.route.pool, selection.object_key, selection.client)
        pool = self.pools.select_serving_pool(wanted, lambda name: self._count_caches(name, now), now)
        weight = self.traffic_classes[traffic_class_name(selection.route)].priority_weight
        exceeded = self.limits.admit(request_id, limit_keys(self.plan, selection, pool), weight, now)
        if exceeded:
            return LimitExceeded(exceeded.limit, self.retry_after(selection, exceeded.retry_after))
        self.selections_by_request[request_id] = selection
        self.routers_by_request[request_id] = self.pool_routers.by_pool[pool]
        return None

    def _count_caches(self, pool: str, now: int) -> CacheCount:
        return self.pool_routers.by_pool[pool].count_caches(now)

    def client_timeout(self, selection: RouteSelection, requested: int) -> int:
        """Returns the time until the client of a request no longer waits.

        Guards against more requests in flight than a shared limit allows: a slot is granted to another router
        once the request that was admitted with it must have ended, so no request may be in flight for longer.

        :param requested: the timeout that the client requested; 0 if none.
        """
        timeout = requested or selection.traffic_class.client_timeout
        for name in selection.route.limits if self.longest_in_flight else ():
            timeout = min(timeout, self.longest_in_flight.get(name, timeout))
        return timeout

    def retry_after(self, selection: RouteSelection, time: int) -> int:
        """Returns the retry-after time of a rejection: the policy's or the given one, up to the maximum."""
        max_retry_after: int = self.router_arguments["capabilities"].max_retry_after
        return min(selection.policy.come_back or time, max_retry_after)

    def max_attempts(self, selection: RouteSelection) -> int:
        """Returns how many attempts a request may have; 0 for as many as the deployment allows."""
        return self.policy_budgets.max_attempts(selection)

    def release(self, request_id: int) -> None:
        """Releases a request's limits, after its final response."""
        self.limits.release(request_id)

    def forget(self, request_id: int) -> None:
        """Drops a request that was admitted but rejected before any router received it."""
        self.release(request_id)
        self.routers_by_request.pop(request_id, None)
        self.selections_by_request.pop(request_id, None)

    # -- requests, with the interface of Router ------------------------------------------------------------

    def route(self, request: Request, now: int) -> Decision | None:
        """Decides on a request that was admitted; see ``Router.route()``."""
        was_deferred = self.routers_by_request[request.id].router.is_in_flight(request.id)
        decision = self._decide(request.id, was_deferred, lambda router: router.route(request, now), now)
        decision = self._apply_plan(request.id, decision, False, now)
        self._forget_if_over(request.id)
        return decision

    def attempt_finished(self, request_id: int, result: AttemptResult, now: int) -> Decision | None:
        """Handles the result of an attempt; see ``Router.attempt_finished()``."""
        if request_id not in self.routers_by_request:
            return None
        may_retry = not result.final and result.status is not AttemptStatus.SUCCEEDED
        decision = self._decide(
            request_id, may_retry, lambda router: router.attempt_finished(request_id, result, now), now
        )
        decision = self._apply_plan(request_id, decision, True, now)
        self._forget_if_over(request_id)
        return decision

    def response_deadline(self, request_id: int, size_kb: float) -> int:
        """See ``Router.response_deadline()``."""
        return self.routers_by_request[request_id].router.response_deadline(request_id, size_kb)

    def cancel_request(self, request_id: int) -> int | None:
        """See ``Router.cancel_request()``."""
        pool_router = self.routers_by_request.get(request_id)
        if pool_router is None:
            return None
        attempt_number = pool_router.router.cancel_request(request_id)
        self._forget_if_over(request_id)
        return attempt_number

    def _decide(
        self, request_id: int, may_retry: bool, call_router: Callable[[Router], Decision | None], now: int
    ) -> Decision | None:
        """Asks a request's router for a decision, with the sending time that is granted to this process.

        Guards against sending more than was granted to an endpoint in slow start: the routers of all pools
        use the same grants, so each has them for the time of its decision only.
        """
        client = self.slow_start_client
        granted = client.sending_time_left() if client else {}
        if client is None or not granted:
            return self._decide_within_limits(request_id, may_retry, call_router, now)
        router = self.routers_by_request[request_id].router
        router.set_slow_start_grants(granted)
        try:
            return self._decide_within_limits(request_id, may_retry, call_router, now)
        finally:
            client.spend(router.return_slow_start_grants())

    def _decide_within_limits(
        self, request_id: int, may_retry: bool, call_router: Callable[[Router], Decision | None], now: int
    ) -> Decision | None:
        """Asks a request's router for a decision, with the current limits on retries."""
        router, selection = self.routers_by_request[request_id].router, self.selections_by_request[request_id]
        limits = self.retry_limits.get(selection.route.name) if may_retry else None
        if not limits:
            return call_router(router)
        keys = limit_keys(self.plan, selection, self.routers_by_request[request_id].pool.name, limits)
        spent_before = router.retries_spent
        router.set_retries_allowed(self.limits.may_retry(keys, now))
        decision = call_router(router)
        router.set_retries_allowed(True)
        if router.retries_spent > spent_before:
            self.limits.record_retry(keys, now)
        return decision

    def _apply_plan(
        self, request_id: int, decision: Decision | None, is_retry: bool, now: int
    ) -> Decision | None:
        """Applies the request's policy and the fleet's purges to a router's decision."""
        selection = self.selections_by_request[request_id]
        if isinstance(decision, Reject):
            return replace(decision, retry_after=self.retry_after(selection, decision.retry_after))
        if not isinstance(decision, Forward):
            return decision
        if is_retry:
            self.policy_budgets.spend(selection)
        if self.purge_bounds.applies_to(selection):
            max_age = self.purge_bounds.max_age(selection, decision, now)
            # A collapsed retry may get a copy that is as old as the copy of the previous attempt.
            has_new_bound = is_retry and max_age != decision.max_age
            allow_collapsing = decision.allow_collapsing and not has_new_bound
            decision = replace(decision, max_age=max_age, allow_collapsing=allow_collapsing)
        max_priority = selection.policy.rank
        if max_priority is not None and decision.cache_priority > max_priority:
            decision = replace(decision, cache_priority=max_priority)
        return decision

    def _forget_if_over(self, request_id: int) -> None:
        """Drops a request that has ended at its router, and a draining router after its last request."""
        pool_router = self.routers_by_request[request_id]
        self.pool_routers.needs_maintenance.add(pool_router)
        if pool_router.router.is_in_flight(request_id):
            return
        del self.routers_by_request[request_id]
        del self.selections_by_request[request_id]
        self.pool_routers.remove_if_drained(pool_router)

    def is_outdated(self, selection: RouteSelection, decision: Forward, now: int) -> bool:
        """Returns True if an attempt would now be sent with a lower maximal age, by the fleet's purges."""
        return self.purge_bounds.is_outdated(selection, decision, now)

    def may_serve(
        self, selection: RouteSelection, decision: Forward, copy: CachedCopy | None, written: int
    ) -> bool:
        """Returns True if a received copy may be passed on to the client, by the fleet's purges."""
        return self.purge_bounds.may_serve(selection, decision, copy, written, self.traffic_classes)

    # -- endpoints, purges and health checks, with the interface of Router -----------------------------------

    def update_endpoints(self, endpoints: Iterable[Endpoint], is_snapshot: bool, now: int) -> None:
        """See ``Router.update_endpoints()``."""
        self.pool_routers.update_endpoints(endpoints, is_snapshot, now)
        self.purge_bounds.endpoints = self.pool_routers.endpoints

    def record_purge(self, tag: int | None, object_key: str | None, age: int, now: int) -> None:
        """See ``Router.record_purge()``."""
        self.pool_routers.record_purge(tag, object_key, age, now)

    def record_health_check(self, name: str, status: AttemptStatus, now: int) -> None:
        """See ``Router.record_health_check()``."""
        self.pool_routers.record_health_check(name, status, now)

    def maintenance(self, now: int) -> MaintenanceActions:
        """See ``Router.maintenance()``."""
        return self.pool_routers.maintenance(now)
