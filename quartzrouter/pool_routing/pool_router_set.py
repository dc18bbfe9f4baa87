"""The routers of a plan's pools: their creation, budgets, events and maintenance.  Does no I/O."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from quartzrouter.config.model import Plan, Pool
from quartzrouter.pool_routing.fleet_reports import merge_demand, merge_observations
from quartzrouter.pool_routing.pool_router import PoolRouter
from quartzrouter.quota.slow_start_messages import SlowStartTerms
from quartzrouter.routing.freshness import Freshness
from quartzrouter.routing.model import (
    AttemptStatus,
    Endpoint,
    EndpointState,
    HealthObservation,
    MaintenanceActions,
    SlowStart,
    SlowStartDemand,
    Tier,
    TrafficClass,
)
from quartzrouter.routing.router import Router
from quartzrouter.routing.units import MILLISECOND, NEVER

MIN_MAINTENANCE_INTERVAL = 1 * MILLISECOND  # prevents a busy loop if maintenance is always due


class PoolRouterSet:
    """The routers of a plan's pools, and those of gone pools until their last request has ended.

    :param router_arguments: the arguments of a ``Router``, for the whole deployment.
    :param slow_start_terms: the terms of slow start, by tier, for the tiers whose budgets routers share.
    :ivar by_pool: the router of each pool, by the pool's name.
    :ivar draining: routers of pools that are gone, which still have requests in flight.
    :ivar endpoints: the endpoint list, by name.
    """

    def __init__(
        self, router_arguments: Mapping[str, Any], slow_start_terms: Mapping[str, SlowStartTerms]
    ) -> None:
        self.router_arguments = dict(router_arguments)
        self.slow_start_terms = dict(slow_start_terms)
        self.freshness = Freshness(router_arguments["purge_lifetime"])  # for routers that are created later
        self.endpoints: dict[str, Endpoint] = {}
        self.by_pool: dict[str, PoolRouter] = {}
        self.draining: list[PoolRouter] = []
        self.needs_maintenance: set[PoolRouter] = set()

    def __iter__(self) -> Iterator[PoolRouter]:
        """Iterates over all routers, those of gone pools last."""
        return iter([*self.by_pool.values(), *self.draining])

    # -- the plan ------------------------------------------------------------------------------------------

    def assign(self, plan: Plan, traffic_classes: Mapping[str, TrafficClass], now: int) -> None:
        """Assigns each pool the router of its name, or a new one with the current endpoints and purges."""
        before = self.by_pool
        self._retire(pool_router for name, pool_router in before.items() if name not in plan.pools)
        self.by_pool = {}
        for name, pool in plan.pools.items():
            is_new = name not in before
            pool_router = PoolRouter(pool, self._new_router(traffic_classes)) if is_new else before[name]
            pool_router.pool = pool
            pool_router.router.set_locations(_locations(plan, pool))
            pool_router.router.add_traffic_classes(traffic_classes)
            if self.endpoints:
                pool_router.update_endpoints(self.endpoints.values(), True, now)
                if is_new:
                    pool_router.router.exhaust_slow_start(now)
            self.by_pool[name] = pool_router
        pool_count = len(list(self))
        for pool_router in self:
            self._share_budgets(pool_router, pool_count)
        self.needs_maintenance.update(self.by_pool.values())

    def _retire(self, gone: Iterable[PoolRouter]) -> None:
        candidates = [*self.draining, *gone]
        self.draining = [pool_router for pool_router in candidates if pool_router.router.has_requests()]

    def _new_router(self, traffic_classes: Mapping[str, TrafficClass]) -> Router:
        arguments = self.router_arguments | {"traffic_classes": list(traffic_classes.values())}
        router = Router(**arguments)
        router.copy_purges_from(self.freshness)
        return router

    def _share_budgets(self, pool_router: PoolRouter, pool_count: int) -> None:
        """Sets how many pools, over all routers, share the slow-start budgets and the fill limits.

        :param pool_count: the pools of this router, including those that drain; each other router is assumed
            to have as many.
        """
        all_routers = self.router_arguments["parent_slow_start"].routers
        home_location = self.router_arguments["home_location"]
        for key, tier in (("cache_slow_start", Tier.CACHE), ("parent_slow_start", Tier.PARENT)):
            slow_start: SlowStart = self.router_arguments[key]
            is_at_home = pool_router.pool.stores == (home_location,)
            routers = slow_start.routers if is_at_home else all_routers
            terms = self.slow_start_terms.get(tier.value)
            guaranteed_share = terms.guaranteed_share if terms else 1.0
            pool_router.router.share_slow_start(tier, routers * pool_count, guaranteed_share)
        pool_router.router.share_fill_limits(all_routers * pool_count)

    def remove_if_drained(self, pool_router: PoolRouter) -> None:
        """Removes the router of a gone pool after its last request."""
        if pool_router in self.draining and not pool_router.router.has_requests():
            self.draining.remove(pool_router)

    # -- endpoints, purges and health checks, with the interface of Router -----------------------------------

    def update_endpoints(self, endpoints: Iterable[Endpoint], is_snapshot: bool, now: int) -> None:
        """See ``Router.update_endpoints()``."""
        endpoints_by_name = {endpoint.name: endpoint for endpoint in endpoints}
        merged = endpoints_by_name if is_snapshot else self.endpoints | endpoints_by_name
        self.endpoints = {
            name: endpoint for name, endpoint in merged.items() if endpoint.state is not EndpointState.GONE
        }
        for pool_router in self:
            pool_router.update_endpoints(endpoints_by_name.values(), is_snapshot, now)
        self.needs_maintenance.update(self)

    def record_purge(self, tag: int | None, object_key: str | None, age: int, now: int) -> None:
        """See ``Router.record_purge()``."""
        self.freshness.record(tag, object_key, now - age, now)
        for pool_router in self:
            pool_router.router.record_purge(tag, object_key, age, now)

    def record_health_check(self, name: str, status: AttemptStatus, now: int) -> None:
        """See ``Router.record_health_check()``."""
        for pool_router in self:
            pool_router.router.record_health_check(name, status, now)
        self.needs_maintenance.update(self)

    def maintenance(self, now: int) -> MaintenanceActions:
        """Runs the maintenance of routers that have changed or whose maintenance is due."""
        health_checks: dict[str, None] = {}
        timeout = 0
        needs_discovery = False
        due = NEVER
        for pool_router in self:
            if pool_router in self.needs_maintenance or pool_router.next_maintenance_at <= now:
                actions = pool_router.maintenance(now)
                health_checks |= dict.fromkeys(actions.health_checks)
                timeout = actions.health_check_timeout
                needs_discovery = needs_discovery or actions.needs_discovery
            due = min(due, pool_router.next_maintenance_at)
        self.needs_maintenance.clear()
        delay = max(MIN_MAINTENANCE_INTERVAL, due - now)
        return MaintenanceActions(delay, tuple(health_checks), timeout, needs_discovery)

    # -- exchange with the other routers of the fleet --------------------------------------------------------

    def health_observations(self, now: int) -> dict[str, HealthObservation]:
        """Returns the observations of each cache by the routers of all pools, by the cache's name."""
        return merge_observations(
            each for pool_router in self for each in pool_router.router.health_observations(now)
        )

    def slow_start_demand(self, now: int) -> list[SlowStartDemand]:
        """Returns the demand of the routers of all pools for each endpoint in slow start."""
        return merge_demand(
            each for pool_router in self for each in pool_router.router.slow_start_demand(now)
        )

    def set_fleet_load(self, in_flight: Mapping[str, int], own: Mapping[str, int], now: int) -> None:
        """Applies the number of requests that all routers have in flight at each cache.

        :param in_flight: the number by cache; below 0 if unknown.
        :param own: this process's part of it, as it reported to the fleet.
        """
        elsewhere = {
            name: -1 if count < 0 else max(0, count - own.get(name, 0)) for name, count in in_flight.items()
        }
        for pool_router in self:
            pool_router.router.set_fleet_load(elsewhere, now)

    def set_ejected_by_peers(self, ejected_until: Mapping[str, int], now: int) -> None:
        """See ``Router.set_ejected_by_peers()``."""
        for pool_router in self:
            pool_router.router.set_ejected_by_peers(ejected_until, now)
            pool_router.endpoints_changed()
        self.needs_maintenance.update(self)


def _locations(plan: Plan, pool: Pool) -> tuple[str, ...]:
    """Returns the pool's stores, or those of its listed caches if it names no stores."""
    return pool.stores or tuple({plan.caches[name]["at"] for name in pool.caches})
