"""A plan in force: one router for each pool, and each request handed to its pool's.  No I/O.

A new plan takes over at once.  Routers of pools whose name stays keep what they have learnt, those of pools
that are gone live until their last request has ended, and each request ends under the plan it came with.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from quartzrouter.config.matcher import Matcher
from quartzrouter.config.model import Plan, Pool
from quartzrouter.config.request_sets import RouteQuery
from quartzrouter.pool_routing.fleet_reports import merge_demand, merge_observations
from quartzrouter.pool_routing.policy_budgets import PolicyBudgets
from quartzrouter.pool_routing.policy_classes import effective_traffic_classes
from quartzrouter.pool_routing.pool_router import PoolRouter
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
from quartzrouter.routing.freshness import Freshness
from quartzrouter.routing.model import (
    AttemptResult,
    AttemptStatus,
    CacheCount,
    Decision,
    Endpoint,
    EndpointState,
    Forward,
    HealthObservation,
    MaintenanceActions,
    Reject,
    Request,
    SlowStart,
    SlowStartDemand,
    Tier,
)
from quartzrouter.routing.router import Router
from quartzrouter.routing.units import MILLISECOND, NEVER

MIN_MAINTENANCE_INTERVAL = 1 * MILLISECOND  # so that a timer that is due at once doesn't spin


class MultiPoolRouter:
    """Stands where one ``Router`` stands, and decides under a plan.

    :ivar pool_routers: by pool.
    :ivar draining_pool_routers: routers of pools that are gone, with requests in flight.
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
        """:param router_arguments: those of a ``Router``, for the deployment as a whole.
        :param fleet_purges: the fleet's purges, where there is a purge log.
        :param quota_client: what this router has of limits that routers share.
        :param slow_start_client: what it has of slow-start budgets that routers share.
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
        self.freshness = Freshness(router_arguments["purge_lifetime"])  # for routers that are made later
        self.endpoints: dict[str, Endpoint] = {}
        self.pool_routers: dict[str, PoolRouter] = {}
        self.draining_pool_routers: list[PoolRouter] = []
        self.routers_by_request: dict[int, PoolRouter] = {}
        self.selections_by_request: dict[int, RouteSelection] = {}
        self.needs_maintenance: set[PoolRouter] = set()
        self._take_in(plan)
        self._assign_routers(0)

    # -- the plan --------------------------------------------------------------------------------------

    def replace(self, plan: Plan, now: int) -> None:
        """Puts a new plan in force."""
        self.limits.replace(plan.limits)
        if self.quota_client:
            self.quota_client.replace(shared_budgets(plan, (self.home_location,)))
        self.pools.replace(plan.pools, plan.splits)
        self.policy_budgets.keep_only(plan.policies)
        self._take_in(plan)
        self._assign_routers(now)

    def _take_in(self, plan: Plan) -> None:
        self.plan = plan
        self.matcher = Matcher(plan.routes)
        self.longest_in_flight = max_request_times(plan)
        self.limits_on_retries = retry_limits_by_route(plan)
        self.traffic_classes = effective_traffic_classes(plan)

    def _assign_routers(self, now: int) -> None:
        """Gives each pool the router of that name, or a new one that knows the endpoints and the purges."""
        before = self.pool_routers
        self._retire(pool_router for name, pool_router in before.items() if name not in self.plan.pools)
        self.pool_routers = {}
        for name, pool in self.plan.pools.items():
            is_new = name not in before
            pool_router = PoolRouter(pool, self._new_router()) if is_new else before[name]
            pool_router.pool = pool
            pool_router.router.set_locations(self._locations(pool))
            pool_router.router.add_traffic_classes(self.traffic_classes)
            if self.endpoints:
                pool_router.update_endpoints(self.endpoints.values(), True, now)
                if is_new:
                    pool_router.router.exhaust_slow_start(now)
            self.pool_routers[name] = pool_router
        for pool_router in self._all():
            self._share_budgets(pool_router, len(self._all()))
        self.needs_maintenance.update(self.pool_routers.values())

    def _retire(self, gone: Iterable[PoolRouter]) -> None:
        candidates = [*self.draining_pool_routers, *gone]
        self.draining_pool_routers = [
            pool_router for pool_router in candidates if pool_router.router.has_requests()
        ]

    def _new_router(self) -> Router:
        arguments = self.router_arguments | {"traffic_classes": list(self.traffic_classes.values())}
        router = Router(**arguments)
        router.copy_purges_from(self.freshness)
        if self.slow_start_client:
            router.share_slow_start_grants(self.slow_start_client.sending_time_left)
        return router

    def _share_budgets(self, pool_router: PoolRouter, pools: int) -> None:
        """Divides slow-start budgets and limits of fill sources by all routers, and by the pools of each."""
        everyone = self.router_arguments["parent_slow_start"].routers
        for key, tier in (("cache_slow_start", Tier.CACHE), ("parent_slow_start", Tier.PARENT)):
            slow_start: SlowStart = self.router_arguments[key]
            is_at_home = pool_router.pool.stores == (self.home_location,)
            routers = slow_start.routers if is_at_home else everyone
            terms = self.slow_start_client.terms.get(tier.value) if self.slow_start_client else None
            guaranteed_share = terms.guaranteed_share if terms else 1.0
            pool_router.router.share_slow_start(tier, routers * pools, guaranteed_share)
        pool_router.router.share_fill_limits(everyone * pools)

    def _locations(self, pool: Pool) -> tuple[str, ...]:
        """Where a pool's caches stand; one that names caches only has them wherever they are."""
        return pool.stores or tuple({self.plan.caches[name]["at"] for name in pool.caches})

    def _all(self) -> list[PoolRouter]:
        return [*self.pool_routers.values(), *self.draining_pool_routers]

    # -- before a request is taken in --------------------------------------------------------------------

    def select_route(self, asked: RouteQuery, client: str) -> RouteSelection | None:
        """:returns: the route of a request; None where no route takes it."""
        return select_route(self.plan, self.matcher, asked, client)

    def admit(self, request_id: int, selection: RouteSelection, now: int) -> LimitExceeded | None:
        """Finds the pool of a request, and takes the request into its limits.

        :returns: the limit that turns it away; no limit by name where its policy rejects all.
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
        self.routers_by_request[request_id] = self.pool_routers[pool]
        return None

    def _count_caches(self, pool: str, now: int) -> CacheCount:
        return self.pool_routers[pool].count_caches(now)

    def client_timeout(self, selection: RouteSelection, requested: int) -> int:
        """The time until the client of a request no longer waits.

        Guards against more requests in flight than a shared limit allows: a slot is given to another router
        once a request that was let through in it must be over, so none may be in flight for longer.

        :param requested: by the client; 0: it named no time.
        """
        timeout = requested or selection.traffic_class.client_timeout
        for name in selection.route.limits if self.longest_in_flight else ():
            timeout = min(timeout, self.longest_in_flight.get(name, timeout))
        return timeout

    def retry_after(self, selection: RouteSelection, time: int) -> int:
        """:returns: the time that a rejection names: the policy's or the given one, as far as allowed."""
        max_retry_after: int = self.router_arguments["capabilities"].max_retry_after
        return min(selection.policy.come_back or time, max_retry_after)

    def max_attempts(self, selection: RouteSelection) -> int:
        """:returns: how many attempts a request may have; 0: as many as the deployment allows."""
        return self.policy_budgets.max_attempts(selection)

    def release(self, request_id: int) -> None:
        """Takes a request out of its limits: it has its final answer."""
        self.limits.release(request_id)

    def forget(self, request_id: int) -> None:
        """Drops a request that was admitted, and refused before any router heard of it."""
        self.release(request_id)
        self.routers_by_request.pop(request_id, None)
        self.selections_by_request.pop(request_id, None)

    # -- requests, as with a Router ------------------------------------------------------------------------

    def route(self, request: Request, now: int) -> Decision | None:
        """Decides on a request that was admitted; see ``Router.route()``."""
        was_deferred = self.routers_by_request[request.id].router.is_in_flight(request.id)
        answer = self._ask(request.id, was_deferred, lambda router: router.route(request, now), now)
        answer = self._apply_plan(request.id, answer, False, now)
        self._forget_if_over(request.id)
        return answer

    def attempt_finished(self, request_id: int, result: AttemptResult, now: int) -> Decision | None:
        """Takes in the result of an attempt; see ``Router.attempt_finished()``."""
        if request_id not in self.routers_by_request:
            return None
        may_retry = not result.final and result.status is not AttemptStatus.SUCCEEDED
        answer = self._ask(
            request_id, may_retry, lambda router: router.attempt_finished(request_id, result, now), now
        )
        answer = self._apply_plan(request_id, answer, True, now)
        self._forget_if_over(request_id)
        return answer

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

    def _ask(
        self, request_id: int, may_retry: bool, ask: Callable[[Router], Decision | None], now: int
    ) -> Decision | None:
        """Asks a request's router, with what others leave to this one as it stands right now."""
        router, selection = self.routers_by_request[request_id].router, self.selections_by_request[request_id]
        if self.slow_start_client:
            self.slow_start_client.refresh()
        limits = self.limits_on_retries.get(selection.route.name) if may_retry else None
        if not limits:
            return ask(router)
        keys = limit_keys(self.plan, selection, self.routers_by_request[request_id].pool.name, limits)
        spent_before = router.retries_spent
        router.set_retries_allowed(self.limits.may_retry(keys, now))
        answer = ask(router)
        router.set_retries_allowed(True)
        if router.retries_spent > spent_before:
            self.limits.record_retry(keys, now)
        return answer

    def _apply_plan(
        self, request_id: int, answer: Decision | None, is_retry: bool, now: int
    ) -> Decision | None:
        """Bounds a router's answer by the request's policy and by the fleet's purges."""
        selection = self.selections_by_request[request_id]
        if isinstance(answer, Reject):
            return replace(answer, retry_after=self.retry_after(selection, answer.retry_after))
        if not isinstance(answer, Forward):
            return answer
        if is_retry:
            self.policy_budgets.spend(selection)
        if self.purge_bounds.applies_to(selection):
            max_age = self.purge_bounds.max_age(selection, answer, now)
            # What a retry waits for together with others may be as old as what the attempt before it got.
            is_bound_anew = is_retry and max_age != answer.max_age
            allow_collapsing = answer.allow_collapsing and not is_bound_anew
            answer = replace(answer, max_age=max_age, allow_collapsing=allow_collapsing)
        max_priority = selection.policy.rank
        if max_priority is not None and answer.cache_priority > max_priority:
            answer = replace(answer, cache_priority=max_priority)
        return answer

    def _forget_if_over(self, request_id: int) -> None:
        """Drops a request that its router has ended, and a leaving router with its last request."""
        pool_router = self.routers_by_request[request_id]
        self.needs_maintenance.add(pool_router)
        if pool_router.router.is_in_flight(request_id):
            return
        del self.routers_by_request[request_id]
        del self.selections_by_request[request_id]
        if pool_router in self.draining_pool_routers and not pool_router.router.has_requests():
            self.draining_pool_routers.remove(pool_router)

    def is_outdated(self, selection: RouteSelection, answer: Forward, now: int) -> bool:
        """:returns: whether an attempt would now be sent with a lower maximal age, by the fleet's purges."""
        return self.purge_bounds.is_outdated(selection, answer, now)

    def may_serve(
        self, selection: RouteSelection, answer: Forward, copy: CachedCopy | None, written: int
    ) -> bool:
        """:returns: whether a copy that came may be passed on, by the fleet's purges."""
        return self.purge_bounds.may_serve(selection, answer, copy, written, self.traffic_classes)

    # -- endpoints, purges, health checks, as with a Router --------------------------------------------------

    def update_endpoints(self, endpoints: Iterable[Endpoint], is_snapshot: bool, now: int) -> None:
        """See ``Router.update_endpoints()``."""
        named = {endpoint.name: endpoint for endpoint in endpoints}
        merged = named if is_snapshot else self.endpoints | named
        self.endpoints = {
            name: endpoint for name, endpoint in merged.items() if endpoint.state is not EndpointState.GONE
        }
        self.purge_bounds.endpoints = self.endpoints
        for pool_router in self._all():
            pool_router.update_endpoints(named.values(), is_snapshot, now)
        self.needs_maintenance.update(self._all())

    def record_purge(self, tag: int | None, object_key: str | None, age: int, now: int) -> None:
        """See ``Router.record_purge()``."""
        self.freshness.record(tag, object_key, now - age, now)
        for pool_router in self._all():
            pool_router.router.record_purge(tag, object_key, age, now)

    def record_health_check(self, name: str, status: AttemptStatus, now: int) -> None:
        """See ``Router.record_health_check()``."""
        for pool_router in self._all():
            pool_router.router.record_health_check(name, status, now)
        self.needs_maintenance.update(self._all())

    def maintenance(self, now: int) -> MaintenanceActions:
        """Asks those routers that something has happened to, or whose time has come."""
        health_checks: dict[str, None] = {}
        timeout = 0
        needs_discovery = False
        due = NEVER
        for pool_router in self._all():
            if pool_router in self.needs_maintenance or pool_router.next_maintenance_at <= now:
                actions = pool_router.maintenance(now)
                health_checks |= dict.fromkeys(actions.health_checks)
                timeout = actions.health_check_timeout
                needs_discovery = needs_discovery or actions.needs_discovery
            due = min(due, pool_router.next_maintenance_at)
        self.needs_maintenance.clear()
        delay = max(MIN_MAINTENANCE_INTERVAL, due - now)
        return MaintenanceActions(delay, tuple(health_checks), timeout, needs_discovery)

    # -- what routers of a fleet tell one another ----------------------------------------------------------

    def health_observations(self, now: int) -> dict[str, HealthObservation]:
        """:returns: what the routers of all pools have seen of each cache, by its name."""
        return merge_observations(
            each for pool_router in self._all() for each in pool_router.router.health_observations(now)
        )

    def slow_start_demand(self, now: int) -> list[SlowStartDemand]:
        """:returns: the endpoints that are warming up, and what the routers of all pools would send them."""
        return merge_demand(
            each for pool_router in self._all() for each in pool_router.router.slow_start_demand(now)
        )

    def set_fleet_load(self, in_flight: Mapping[str, int], own: Mapping[str, int], now: int) -> None:
        """Takes in the requests that all routers have in flight at each cache.

        :param in_flight: by cache; below 0: not known.
        :param own: this process's part of them, as it told the fleet.
        """
        elsewhere = {
            name: -1 if count < 0 else max(0, count - own.get(name, 0)) for name, count in in_flight.items()
        }
        for pool_router in self._all():
            pool_router.router.set_fleet_load(elsewhere, now)

    def set_ejected_by_peers(self, ejected_until: Mapping[str, int], now: int) -> None:
        """See ``Router.set_ejected_by_peers()``."""
        for pool_router in self._all():
            pool_router.router.set_ejected_by_peers(ejected_until, now)
            pool_router.endpoints_changed()
        self.needs_maintenance.update(self._all())
