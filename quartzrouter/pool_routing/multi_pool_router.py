"""A plan in force, standing where one Router stands: a Router a pool, each req handed to its pool's.

A new plan takes over at once: routers of pools whose name stays go on with what they have learnt, those of
pools that are gone live until their last req has ended, and every req ends under the plan it came with.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from quartzrouter.config.matcher import Matcher
from quartzrouter.config.model import POLICY_OVERRIDES, TRAFFIC_CLASS_FIELDS, Plan, Pool, belongs
from quartzrouter.config.request_sets import Asked
from quartzrouter.pool_routing.pools import PoolSelector
from quartzrouter.pool_routing.rate_limits import LimitExceeded, RateLimiter
from quartzrouter.pool_routing.route_selection import (
    RouteSelection,
    keys,
    marked,
    repeats,
    select_route,
    vhost_name,
)
from quartzrouter.pool_routing.shared_limits import budgets, holds
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
    TrafficClass,
)
from quartzrouter.routing.router import Router

MS = 1_000
LOOK_EVERY = 50 * MS  # us between counts of a pool's caches: a cache that fails is out within 50 ms anyway
BUDGET_MOST = 10.0  # further dispatches that a policy may save up
NEVER = 1 << 62  # us


class PoolRouter:
    """A pool's Router, and when it wants to be asked again."""

    def __init__(self, pool: Pool, router: Router):
        self.pool, self.router = pool, router
        self.due = 0
        self.caches = CacheCount(0, 0)
        self.counted = -NEVER

    def takes(self, line: Endpoint) -> bool:
        told = {"tier": "cache", "at": line.location, "kind": line.machine_type, "cell": line.cell}
        return line.tier is not Tier.CACHE or belongs(self.pool, line.name, told)

    def hear(self, lines: list[Endpoint], whole: bool, now: int) -> None:
        self.router.update_endpoints([line for line in lines if self.takes(line)], whole, now)
        self.due, self.counted = 0, -NEVER

    def count(self, now: int) -> CacheCount:
        if not 0 <= now - self.counted < LOOK_EVERY:
            self.caches, self.counted = self.router.count_caches(now), now
        return self.caches


class MultiPoolRouter:
    """Speaks like a Router to the host of the decisions.

    :param arguments: those of a Router, for the deployment as a whole.
    :param fleet: the fleet's purges, where there is a ledger of them.
    :param shares: what this router has of limits that it shares.
    :param parts: what it has of what cold servers may be sent, where routers share that.
    """

    def __init__(
        self,
        plan: Plan,
        arguments: Mapping[str, Any],
        fleet: FleetPurges | None = None,
        shares: QuotaClient | None = None,
        parts: SlowStartClient | None = None,
    ):
        self.arguments, self.fleet, self.shares, self.parts = dict(arguments), fleet, shares, parts
        self.plan, self.matcher, self.holds = plan, Matcher(plan.routes), holds(plan)
        self.repeats = repeats(plan)
        self.limits = RateLimiter(plan.limits, shares, arguments["home_location"])
        self.pools = PoolSelector(plan.pools, plan.splits)
        self.purges = Freshness(arguments["purge_lifetime"])  # for routers that come later
        self.lines: dict[str, Endpoint] = {}
        self.pool_routers: dict[str, PoolRouter] = {}
        self.leaving: list[PoolRouter] = []  # of pools that are gone
        self.where: dict[int, PoolRouter] = {}  # by req
        self.rulings: dict[int, RouteSelection] = {}
        self.budgets: dict[str, float] = {}  # by policy: further dispatches saved up
        self.touched: set[PoolRouter] = set()
        self.traffic_classes = self._traffic_classes()
        self._assign(0)

    # -- the plan --------------------------------------------------------------------------------------

    def replace(self, plan: Plan, now: int) -> None:
        """The new plan, from this moment on."""
        self.plan, self.matcher, self.holds = plan, Matcher(plan.routes), holds(plan)
        self.repeats = repeats(plan)
        self.limits.replace(plan.limits)
        if self.shares:
            self.shares.replace(budgets(plan, (self.arguments["home_location"],)))
        self.pools.replace(plan.pools, plan.splits)
        self.budgets = {name: kept for name, kept in self.budgets.items() if name in plan.policies}
        self.traffic_classes = self._traffic_classes()
        self._assign(now)

    def _traffic_classes(self) -> dict[str, TrafficClass]:
        """Each vhost, and each as the policies of its routes change it."""
        found = dict(self.plan.vhosts)
        for route in self.plan.routes:
            if route.policy:
                policy, base = self.plan.policies[route.policy], self.plan.vhosts[route.vhost]
                told = {key: getattr(policy, key) for key in POLICY_OVERRIDES}
                changes = {
                    TRAFFIC_CLASS_FIELDS[key]: value for key, value in told.items() if value is not None
                }
                found[vhost_name(route)] = replace(base, name=vhost_name(route), **changes)
        return found

    def _assign(self, now: int) -> None:
        """A Router for each pool: the one of that name, or a new one that knows the list and the purges."""
        before, self.pool_routers = self.pool_routers, {}
        gone = [pool_router for name, pool_router in before.items() if name not in self.plan.pools]
        self.leaving = [
            pool_router for pool_router in (*self.leaving, *gone) if pool_router.router.has_requests()
        ]
        for name, pool in self.plan.pools.items():
            known = before.get(name)
            pool_router = known or PoolRouter(pool, self._router())
            pool_router.pool = pool
            pool_router.router.set_locations(self._homes(pool))
            pool_router.router.add_traffic_classes(self.traffic_classes)
            if self.lines:
                pool_router.hear(list(self.lines.values()), True, now)
                if not known:
                    pool_router.router.exhaust_slow_start(now)
            self.pool_routers[name] = pool_router
        for pool_router in self._all():
            self._share(pool_router, len(self._all()))
        self.touched.update(self.pool_routers.values())

    def _router(self) -> Router:
        router = Router(**(self.arguments | {"traffic_classes": list(self.traffic_classes.values())}))
        router.set_purges(self.purges)
        if self.parts:
            router.share_slow_start_grants(
                self.parts.left
            )  # one for all pools: what one has used, another has not
        return router

    def _share(self, pool_router: PoolRouter, pools: int) -> None:
        """Cold servers' budgets and sources' limits are shared by all routers, and by all pools of each."""
        everyone, home = self.arguments["parent_slow_start"].routers, (self.arguments["home_location"],)
        for key, tier in (("cache_slow_start", Tier.CACHE), ("parent_slow_start", Tier.PARENT)):
            cold: SlowStart = self.arguments[key]
            reach = cold.routers if pool_router.pool.stores == home else everyone
            shared = self.parts.terms.get(tier.value) if self.parts else None
            own_share = shared.guaranteed_share if shared else 1.0
            pool_router.router.share_slow_start(tier, reach * pools, own_share)
        pool_router.router.share_fill_limits(everyone * pools)

    def _homes(self, pool: Pool) -> tuple[str, ...]:
        """Where a pool's caches stand; one that names caches only has them wherever they are."""
        return pool.stores or tuple({self.plan.caches[name]["at"] for name in pool.caches})

    # -- one req -----------------------------------------------------------------------------------------

    def rule(self, asked: Asked, client: str) -> RouteSelection | None:
        return select_route(self.plan, self.matcher, asked, client)

    def admit(self, req_id: int, ruling: RouteSelection, now: int) -> LimitExceeded | None:
        """Finds the pool, and takes the req into its limits; what is denied is denied at once."""
        if ruling.policy.deny:
            return LimitExceeded("", self.come_back(ruling, 0))
        wanted = self.pools.of(ruling.route.pool, ruling.obj, ruling.client)
        pool = self.pools.serving(wanted, lambda name: self.pool_routers[name].count(now), now)
        value = self.traffic_classes[vhost_name(ruling.route)].priority_weight
        denied = self.limits.admit(req_id, keys(self.plan, ruling, pool), value, now)
        if denied:
            return LimitExceeded(denied.limit, self.come_back(ruling, denied.come_back))
        self.rulings[req_id], self.where[req_id] = ruling, self.pool_routers[pool]
        return None

    def timeout(self, ruling: RouteSelection, told: int) -> int:
        """us until the client no longer waits.  Where reqs in hand are shared, no longer than is reckoned
        with: a slot is given to another router once a req that was let through in it must be over.

        :param told: us, by the client; 0: it told none.
        """
        timeout = told or ruling.vhost.client_timeout
        for name in ruling.route.limits if self.holds else ():
            timeout = min(timeout, self.holds.get(name, timeout))
        return timeout

    def release(self, req_id: int) -> None:
        """The req has had its final answer."""
        self.limits.release(req_id)

    def forget(self, req_id: int) -> None:
        """The req was admitted and refused for another reason before any Router heard of it."""
        self.release(req_id)
        self.where.pop(req_id, None)
        self.rulings.pop(req_id, None)

    def come_back(self, ruling: RouteSelection, time: int) -> int:
        """The time that a denial names: the policy's or the limit's, within what may be named."""
        return min(ruling.policy.come_back or time, self.arguments["capabilities"].max_retry_after)

    def dispatches(self, ruling: RouteSelection) -> int:
        """How many the req may have; one only where its policy's budget is used up."""
        policy = ruling.policy
        if policy.budget is None or not ruling.route.policy:
            return policy.dispatches or 0
        saved = self.budgets.get(ruling.route.policy, BUDGET_MOST)
        self.budgets[ruling.route.policy] = min(BUDGET_MOST, saved + policy.budget)
        return (policy.dispatches or 0) if saved >= 1 else 1

    def _told(self, req_id: int, answer: Decision | None, further: bool, now: int) -> Decision | None:
        ruling = self.rulings[req_id]
        policy = ruling.policy
        if isinstance(answer, Forward):
            if self.fleet and not ruling.vhost.uncacheable:
                oldest = self._oldest(ruling, answer, now)
                again = further and oldest != answer.max_age  # what is joined may be as old as the last
                joins = answer.allow_collapsing and not again
                answer = replace(answer, max_age=oldest, allow_collapsing=joins)
            if further and policy.budget is not None and ruling.route.policy:
                saved = self.budgets.get(ruling.route.policy, BUDGET_MOST)
                self.budgets[ruling.route.policy] = max(0.0, saved - 1)
            if policy.rank is not None and answer.cache_priority > policy.rank:
                return replace(answer, cache_priority=policy.rank)
        elif isinstance(answer, Reject):
            return replace(answer, retry_after=self.come_back(ruling, answer.retry_after))
        return answer

    def _oldest(self, ruling: RouteSelection, answer: Forward, now: int) -> int:
        """How old a copy may be by the fleet's purges as well."""
        held_by = [
            name for name in (answer.endpoint, answer.fill_source) if not self._origin(name)
        ]  # which makes copies
        return self.fleet.max_age(marked(ruling), self._store(answer.endpoint), held_by, answer.max_age, now)

    def bound_now(self, ruling: RouteSelection, answer: Forward, now: int) -> bool:
        """Whether a dispatch would now be decided with a lower age."""
        bound = self._oldest(ruling, answer, now)
        return bool(bound) and (not answer.max_age or bound < answer.max_age)

    def _origin(self, name: str) -> bool:
        return name in self.lines and self.lines[name].tier is Tier.ORIGIN

    def _store(self, name: str) -> str:
        """Where a cache stands; one that is gone may have stood anywhere."""
        return self.lines[name].location if name in self.lines else "*"

    def good(self, ruling: RouteSelection, answer: Forward, copy: CachedCopy | None, written: int) -> bool:
        """Whether a copy that came may be passed on, by the fleet's purges."""
        if self.fleet is None or ruling.vhost.uncacheable or copy is None:
            return True
        usual = self.traffic_classes.get(vhost_name(ruling.route), ruling.vhost).max_age
        bound = answer.max_age if not usual or answer.max_age < usual else 0
        return self.fleet.accepts(marked(ruling), self._store(answer.endpoint), copy, written, bound)

    def _done(self, req_id: int) -> None:
        """Forgets a req that its Router has ended."""
        pool_router = self.where[req_id]
        self.touched.add(pool_router)
        if not pool_router.router.is_in_flight(req_id):
            del self.where[req_id], self.rulings[req_id]
            if pool_router in self.leaving and not pool_router.router.has_requests():
                self.leaving.remove(pool_router)

    # -- as a Router ---------------------------------------------------------------------------------------

    def _asked(self, req_id: int, further: bool, ask: Callable[[Router], Decision | None], now: int):
        """Asks a req's Router, with what others leave to this one as it stands right now."""
        router, ruling = self.where[req_id].router, self.rulings[req_id]
        if self.parts:
            self.parts.refresh()
        counted = self.repeats.get(ruling.route.name) if further else None
        if counted:
            keys_ = keys(self.plan, ruling, self.where[req_id].pool.name, counted)
            router.allow_retries(self.limits.may_repeat(keys_, now))
            spent_before = router.retries_spent
        answer = ask(router)
        if counted:
            router.allow_retries(True)
            if router.retries_spent > spent_before:
                self.limits.repeated(keys_, now)
        return answer

    def route(self, req: Request, now: int) -> Decision | None:
        further = self.where[req.id].router.is_in_flight(req.id)  # it was on hold
        answer = self._asked(req.id, further, lambda router: router.route(req, now), now)
        answer = self._told(req.id, answer, False, now)
        self._done(req.id)
        return answer

    def attempt_finished(self, req_id: int, outcome: AttemptResult, now: int) -> Decision | None:
        pool_router = self.where.get(req_id)
        if pool_router is None:
            return None
        further = not outcome.final and outcome.status is not AttemptStatus.SUCCEEDED
        answer = self._asked(
            req_id, further, lambda router: router.attempt_finished(req_id, outcome, now), now
        )
        answer = self._told(req_id, answer, True, now)
        self._done(req_id)
        return answer

    def response_deadline(self, req_id: int, size_kb: float) -> int:
        return self.where[req_id].router.response_deadline(req_id, size_kb)

    def cancel_request(self, req_id: int) -> int | None:
        pool_router = self.where.get(req_id)
        if pool_router is None:
            return None
        hop = pool_router.router.cancel_request(req_id)
        self._done(req_id)
        return hop

    def update_endpoints(self, lines: list[Endpoint], whole: bool, now: int) -> None:
        named = {line.name: line for line in lines}
        self.lines = named if whole else self.lines | named
        self.lines = {name: line for name, line in self.lines.items() if line.state is not EndpointState.GONE}
        for pool_router in self._all():
            pool_router.hear(lines, whole, now)
        self.touched.update(self._all())

    def record_purge(self, group: int | None, obj: str | None, age: int, now: int) -> None:
        self.purges.record(group, obj, now - age, now)
        for pool_router in self._all():
            pool_router.router.record_purge(group, obj, age, now)

    def record_health_check(self, name: str, ending: AttemptStatus, now: int) -> None:
        for pool_router in self._all():
            pool_router.router.record_health_check(name, ending, now)
        self.touched.update(self._all())

    def health_observations(self, now: int) -> dict[str, HealthObservation]:
        """What all pools' routers together have seen of each cache."""
        found: dict[str, HealthObservation] = {}
        for pool_router in self._all():
            for new in pool_router.router.health_observations(now):
                old = found.get(new.cache, HealthObservation(new.cache, False, 0, 0, 0))
                done, failed = old.completed + new.completed, old.failed + new.failed
                in_hand = old.in_flight + new.in_flight
                found[new.cache] = HealthObservation(
                    new.cache, old.ejected or new.ejected, done, failed, in_hand
                )
        return found

    def slow_start_demand(self, now: int) -> list[SlowStartDemand]:
        """Servers that have started lately, and what all pools' routers together would send them."""
        found: dict[str, SlowStartDemand] = {}
        for pool_router in self._all():
            for new in pool_router.router.slow_start_demand(now):
                old = found.get(new.endpoint, replace(new, demand=0, largest_request=0))
                most, unit = min(old.limit, new.limit), max(old.largest_request, new.largest_request)
                found[new.endpoint] = SlowStartDemand(
                    new.endpoint, new.tier, most, old.demand + new.demand, unit
                )
        return list(found.values())

    def set_fleet_load(self, in_hand: dict[str, int], own: dict[str, int], now: int) -> None:
        """Reqs that all routers have out at each cache, -1 where that isn't known.

        :param own: of them, this one's, as it had told.
        """
        others = {name: -1 if said < 0 else max(0, said - own.get(name, 0)) for name, said in in_hand.items()}
        for pool_router in self._all():
            pool_router.router.set_fleet_load(others, now)

    def set_ejected_by_peers(self, until: dict[str, int], now: int) -> None:
        """What other routers have found bad, and until when (us)."""
        for pool_router in self._all():
            pool_router.router.set_ejected_by_peers(until, now)
            pool_router.counted = -NEVER
        self.touched.update(self._all())

    def maintenance(self, now: int) -> MaintenanceActions:
        """Asks those routers that something happened to, or whose time has come."""
        probes: dict[str, None] = {}
        timeout, subscribe, due = 0, False, NEVER
        for pool_router in self._all():
            if pool_router in self.touched or pool_router.due <= now:
                told = pool_router.router.maintenance(now)
                pool_router.due = now + told.time
                probes |= dict.fromkeys(told.probes)
                timeout, subscribe = told.probe_timeout, subscribe or told.subscribe
            due = min(due, pool_router.due)
        self.touched.clear()
        return MaintenanceActions(max(MS, due - now), tuple(probes), timeout, subscribe)

    def _all(self) -> list[PoolRouter]:
        return [*self.pool_routers.values(), *self.leaving]
