"""Tests of limits, pools and plans, without I/O and with the time as an argument."""

import random
from dataclasses import replace

import pytest
from conftest import MS, S
from hypothesis import given, settings
from hypothesis import strategies as st

from quartzrouter.config.loader import load
from quartzrouter.config.model import Amount, Limit, Pool, Split
from quartzrouter.config.platform_json import platform_configuration
from quartzrouter.config.request_sets import RouteQuery
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.pool_routing.pools import PoolSelector
from quartzrouter.pool_routing.rate_limits import MAX_KEYS, LimitKey, RateLimiter
from quartzrouter.routing.model import (
    AttemptResult,
    AttemptStatus,
    CacheCount,
    Endpoint,
    EndpointState,
    Fail,
    Forward,
    Reject,
    Request,
    Tier,
)


def test_a_rate_limit_admits_its_burst_and_then_its_rate():
    limits = RateLimiter({"r": Limit("r", "all", rate=10.0, burst=5)})
    admitted = [n for n in range(100) if limits.admit(n, [LimitKey("r", "")], 1.0, n * 10 * MS) is None]
    assert admitted[:5] == [0, 1, 2, 3, 4]
    assert len(admitted) == 5 + 9  # the burst, and 10 per second for 0.99 s
    denied = limits.admit(200, [LimitKey("r", "")], 1.0, 990 * MS)
    assert denied.limit == "r" and 0 < denied.retry_after <= 100 * MS
    assert limits.admit(201, [LimitKey("r", "")], 1.0, 990 * MS + denied.retry_after) is None


@settings(max_examples=100)
@given(st.integers(1, 50), st.integers(1, 20), st.lists(st.integers(0, 200), min_size=1, max_size=80))
def test_no_interval_admits_more_than_the_burst_and_the_rate(rate, burst, gaps):
    limits, now, admitted_at = RateLimiter({"r": Limit("r", "all", rate=float(rate), burst=burst)}), 0, []
    for n, gap in enumerate(gaps):
        now += gap * MS
        if limits.admit(n, [LimitKey("r", "")], 1.0, now) is None:
            admitted_at.append(now)
    for first, since in enumerate(admitted_at):
        for count, until in enumerate(admitted_at[first:], 1):
            assert count <= burst + rate * (until - since) / S + 1e-6


def test_a_request_counts_in_all_its_limits_or_none_and_releases_them_once():
    limits = RateLimiter({"a": Limit("a", "all", concurrent=3), "b": Limit("b", "all", concurrent=1)})
    both = [LimitKey("a", ""), LimitKey("b", "")]
    assert limits.admit(1, both, 1.0, 0) is None
    assert [limits.admit(n, both, 1.0, 0).limit for n in (2, 3, 4, 5)] == ["b"] * 4
    assert limits.admit(6, [LimitKey("a", "")], 1.0, 0) is None  # the denied requests hold nothing of limit a
    for _ in range(3):
        limits.release(1)
    assert [limits.admit(n, [LimitKey("a", "")], 1.0, 0) for n in (7, 8)] == [None, None]
    assert limits.admit(9, [LimitKey("a", "")], 1.0, 0).limit == "a"


def test_a_share_of_a_limit_is_reserved_for_requests_of_higher_priority():
    limits = RateLimiter({"a": Limit("a", "all", concurrent=10, keep_free=0.3, below=5.0)})
    low_priority = sum(limits.admit(n, [LimitKey("a", "")], 1.0, 0) is None for n in range(20))
    high_priority = sum(limits.admit(100 + n, [LimitKey("a", "")], 5.0, 0) is None for n in range(20))
    assert (low_priority, high_priority) == (7, 3)


def test_counters_are_bounded_and_those_in_use_are_kept(monkeypatch):
    # Each new key beyond the maximum scans all keys, so a lower maximum keeps the test fast.
    monkeypatch.setattr("quartzrouter.pool_routing.rate_limits.MAX_KEYS", MAX_KEYS // 16)
    limits = RateLimiter({"c": Limit("c", "client", rate=1.0, burst=1, concurrent=2)})
    assert limits.admit(0, [LimitKey("c", "first")], 1.0, 0) is None  # stays in flight
    for n in range(1, 3 * MAX_KEYS // 16):
        limits.admit(n, [LimitKey("c", f"{n}")], 1.0, n)
        limits.release(n)
    assert len(limits.counters["c"]) <= MAX_KEYS // 16
    assert limits.counters["c"]["first"].in_flight == 1


def test_a_new_plan_keeps_the_counters_of_a_saturated_limit():
    old, new = Limit("a", "all", concurrent=4), Limit("a", "all", concurrent=2)
    limits = RateLimiter({"a": old, "gone": old})
    for n in range(4):
        assert limits.admit(n, [LimitKey("a", ""), LimitKey("gone", "")], 1.0, 0) is None
    limits.replace({"a": new})
    assert limits.admit(10, [LimitKey("a", "")], 1.0, 0)
    for n in range(3):
        limits.release(n)
    assert limits.admit(11, [LimitKey("a", "")], 1.0, 0) is None
    assert limits.admit(12, [LimitKey("a", "")], 1.0, 0)
    limits.release(3)
    limits.replace({"a": new})
    assert "gone" not in limits.counters


def selector_with_fallback(back_after=S):
    first = Pool(
        "first", ("north",), fallback="second", at_least=Amount(2), back_at=Amount(3), back_after=back_after
    )
    return PoolSelector({"first": first, "second": Pool("second", ("south",))}, {})


def test_a_pool_near_its_threshold_changes_few_times():
    pools, generator, available, now = selector_with_fallback(), random.Random(3), 4, 0
    selected = []
    for _ in range(2_000):
        now += 20 * MS
        available = generator.choice([1, 2, 2, 3])  # near at_least all the time
        selected.append(
            pools.select_serving_pool(
                "first",
                lambda name, available=available: (
                    CacheCount(available, 4) if name == "first" else CacheCount(3, 3)
                ),
                now,
            )
        )
    assert pools.states["first"].changes == 1 and selected[-1] == "second"
    for _ in range(40):
        now += 50 * MS
        selected.append(pools.select_serving_pool("first", lambda name: CacheCount(4, 4), now))
    assert pools.states["first"].changes == 2 and selected[-1] == "first"
    returned_after = selected.index("first", selected.index("second")) - 2_000
    assert returned_after * 50 * MS >= S - 50 * MS


def test_the_first_pool_with_any_cache_serves_if_all_have_too_few():
    pools = selector_with_fallback()
    assert (
        pools.select_serving_pool(
            "first", lambda name: {"first": CacheCount(1, 4), "second": CacheCount(0, 3)}[name], 0
        )
        == "first"
    )
    assert pools.select_serving_pool(
        "first", lambda name: {"first": CacheCount(0, 4), "second": CacheCount(0, 3)}[name], 0
    ) in (
        "first",
        "second",
    )
    assert (
        pools.select_serving_pool(
            "first", lambda name: {"first": CacheCount(0, 4), "second": CacheCount(1, 3)}[name], 0
        )
        == "second"
    )


def test_a_changed_split_moves_only_the_objects_that_must_move():
    def selector(*shares):
        return PoolSelector({}, {"s": Split("s", "object", tuple(zip("abc", shares, strict=False)))})

    objects = [f"obj-{n}" for n in range(10_000)]
    before = {obj: selector(0.7, 0.3).resolve_split("s", obj, "") for obj in objects}
    assert abs(sum(pool == "a" for pool in before.values()) / 10_000 - 0.7) < 0.02
    after = {obj: selector(0.6, 0.4).resolve_split("s", obj, "") for obj in objects}
    moved = [obj for obj in objects if before[obj] != after[obj]]
    assert 0.08 < len(moved) / 10_000 < 0.12 and all(after[obj] == "b" for obj in moved)
    by_client = PoolSelector({}, {"s": Split("s", "client", (("a", 0.5), ("b", 0.5)))})
    assert len({by_client.resolve_split("s", obj, "10.0.0.7") for obj in objects}) == 1


# -- complete plans ------------------------------------------------------------------------------------------

PLAN = """{
  deployment: { name: "t", home: "north", dispatches: 3 },
  stores: { north: { hub: "h" }, south: { hub: "h" } }, hubs: { h: {} },
  caches: {
    ["n${n}"]: { address: "127.0.0.1:${n}", at: "north", weight: 6 } for n in range(1, 4)
  } + {
    ["s${n}"]: { address: "127.0.1.1:${n}", at: "south", weight: 6 } for n in range(1, 3)
  } + {
    p: { address: "127.0.2.1:1", at: "h", tier: "parent", weight: 20 },
    o: { address: "127.0.3.1:1", at: "h", tier: "origin", weight: 8 },
  },
  vhosts: {
    page: { effect: "replayable", client_timeout: 3s, first_byte_target: 400ms, fresh_for: 8s },
    sale: { effect: "uniqued", client_timeout: 3s, kept: false, repeats_within: "all", repeats_for: 3s },
  },
  policies: {
    once: { dispatches: 1, rank: 0, come_back: 700ms },
    poor: { budget: 10% },
    shut: { deny: true, come_back: 9s },
  },
  pools: {
    near: { fallback: "far", at_least: 2, back_after: 1s },
    far: { stores: "south" },
  },
  limits: { few: { concurrent: 2 }, slow: { per: "client", rate: 2/s, burst: 1 } },
  routes: {
    once: { match: { path: "/once/**" }, vhost: "page", pool: "near", policy: "once" },
    poor: { match: { path: "/poor/**" }, vhost: "page", pool: "near", policy: "poor" },
    shut: { match: { path: "/shut/**" }, vhost: "page", pool: "near", policy: "shut" },
    few: { match: { path: "/few/**" }, vhost: "page", pool: "near", limits: "few" },
    slow: { match: { path: "/slow/**" }, vhost: "page", pool: "near", limits: "slow" },
    far: { match: { path: "/far/**" }, vhost: "page", pool: "far" },
    rest: { match: {}, vhost: "page", pool: "near" },
  },
}"""


class PlanScenario:
    """Drives a MultiPoolRouter under a plan step by step."""

    def __init__(self, text=PLAN):
        from quartzrouter.configuration import Configuration

        self.plan = self.load(text)
        configuration = Configuration(platform_configuration(self.plan), {}, needs_discovery=False)
        self.router = MultiPoolRouter(self.plan, configuration.settings.router_arguments)
        self.now = 10 * S
        self.last_id = 0
        self.attempt_numbers = {}  # by request id, of its last attempt
        self.update_endpoints(self.plan)

    @staticmethod
    def load(text):
        loaded = load("main", lambda path: text)
        assert loaded.plan, [fault.shown() for fault in loaded.faults.errors]
        return loaded.plan

    def update_endpoints(self, plan, **states):
        endpoints = [
            Endpoint(
                name,
                cache["at"],
                Tier(cache["tier"]),
                cache["kind"],
                0,
                EndpointState(states.get(name, "up")),
                cache["weight"],
                0,
            )
            for name, cache in plan.caches.items()
        ]
        self.router.update_endpoints(endpoints, True, self.now)

    def request(self, path, client="c"):
        self.last_id += 1
        selection = self.router.select_route(RouteQuery("north", "", path, "GET", {}, {}), client)
        denied = self.router.admit(self.last_id, selection, self.now)
        if denied:
            return Reject(denied.retry_after)
        from quartzrouter.pool_routing.route_selection import traffic_class_name

        request = Request(
            self.last_id,
            traffic_class_name(selection.route),
            selection.object_key,
            selection.tag,
            selection.chunk,
            0.0,
            3 * S,
            max_attempts=self.router.max_attempts(selection),
        )
        return self._record(self.router.route(request, self.now))

    def _record(self, decision, request_id=None):
        request_id = request_id or self.last_id
        if isinstance(decision, Forward):
            self.attempt_numbers[request_id] = decision.attempt_number
        elif isinstance(decision, Reject | Fail) or decision is None:
            self.router.release(request_id)
        return decision

    def finish(self, status, request_id=None):
        request_id = request_id or self.last_id
        result = AttemptResult(
            self.attempt_numbers[request_id], status, 50 * MS, final=status is AttemptStatus.SUCCEEDED
        )
        return self._record(self.router.attempt_finished(request_id, result, self.now), request_id)


@pytest.fixture
def scenario():
    return PlanScenario()


def test_a_route_goes_to_its_pool_under_its_policy(scenario):
    assert scenario.request("/far/a").endpoint.startswith("s")
    assert scenario.request("/a").endpoint.startswith("n")
    assert scenario.request("/shut/a") == Reject(2 * S)  # the policy asks for 9 s, the maximum is 2 s
    decision = scenario.request("/once/a")
    assert decision.endpoint.startswith("n") and decision.cache_priority == 0
    # The policy permits no second attempt.
    assert not isinstance(scenario.finish(AttemptStatus.CONNECTION_LOST), Forward)
    other = scenario.request("/a")
    assert isinstance(other, Forward) and isinstance(scenario.finish(AttemptStatus.CONNECTION_LOST), Forward)


def test_a_retry_budget_allows_few_retries(scenario):
    retries = 0
    for n in range(300):
        scenario.now += 5 * MS
        scenario.request(f"/poor/{n}")
        decision = scenario.finish(AttemptStatus.CONNECTION_LOST if n % 2 else AttemptStatus.SUCCEEDED)
        if isinstance(decision, Forward):
            retries += 1
            scenario.finish(AttemptStatus.SUCCEEDED)
    assert 10 <= retries <= 10 + 300 * 0.1 + 1


def test_limits_reject_before_an_attempt_and_are_released(scenario):
    decisions = [scenario.request("/few/a"), scenario.request("/few/b"), scenario.request("/few/c")]
    assert [type(decision) for decision in decisions] == [Forward, Forward, Reject]
    scenario.finish(AttemptStatus.SUCCEEDED, 1)
    scenario.router.release(1)
    assert isinstance(scenario.request("/few/d"), Forward)
    assert isinstance(scenario.request("/slow/a", "x"), Forward)
    assert scenario.request("/slow/b", "x") == Reject(500 * MS)
    assert isinstance(scenario.request("/slow/b", "y"), Forward)


def test_the_fallback_serves_until_the_pool_has_recovered(scenario):
    scenario.update_endpoints(scenario.plan, n1="draining", n2="draining")
    assert scenario.request("/a").endpoint.startswith("s")
    scenario.update_endpoints(scenario.plan)
    scenario.now += 100 * MS
    assert scenario.request("/a").endpoint.startswith("s")
    scenario.now += 900 * MS
    assert scenario.request("/a").endpoint.startswith("s")
    scenario.now += 200 * MS
    assert scenario.request("/a").endpoint.startswith("n")


def test_a_new_plan_keeps_the_state_of_routers_and_finishes_requests_in_flight(scenario):
    decision = scenario.request("/a")
    router = scenario.router.pool_routers.by_pool["near"].router
    scenario.router.record_purge(None, "00" * 8, 0, scenario.now)
    text = PLAN.replace("pools: {", 'pools: { third: { stores: ["north", "south"] },')
    text = text.replace(
        'path: "/few/**" }, vhost: "page", pool: "near"', 'path: "/few/**" }, vhost: "page", pool: "third"'
    )
    scenario.router.replace(scenario.load(text), scenario.now)
    assert scenario.router.pool_routers.by_pool["near"].router is router
    third = scenario.router.pool_routers.by_pool["third"].router
    assert third.freshness.purged_at == router.freshness.purged_at and third.endpoints.locations == (
        "north",
        "south",
    )
    assert isinstance(scenario.finish(AttemptStatus.CONNECTION_LOST, 1), Forward)
    assert scenario.finish(AttemptStatus.SUCCEEDED, 1) is None and not scenario.router.routers_by_request
    assert decision.endpoint.startswith("n")


def test_a_plan_without_a_pool_finishes_the_requests_of_that_pool(scenario):
    scenario.request("/far/a")
    far = scenario.router.pool_routers.by_pool["far"]
    text = PLAN.replace('far: { stores: "south" },', "").replace(
        'near: { fallback: "far", at_least: 2, back_after: 1s },', "near: {},"
    )
    text = text.replace('pool: "far"', 'pool: "near"')
    for _ in range(2):  # two new plans within a second
        scenario.router.replace(scenario.load(text), scenario.now)
    assert scenario.router.pool_routers.draining == [far]
    assert isinstance(scenario.finish(AttemptStatus.CONNECTION_LOST, 1), Forward)
    assert scenario.finish(AttemptStatus.SUCCEEDED, 1) is None
    assert (
        scenario.router.pool_routers.draining == []
        and not scenario.router.routers_by_request
        and not scenario.router.selections_by_request
    )
    assert scenario.request("/far/a").endpoint.startswith("n")


def count_attempts_in_slow_start(scenario, change_plan):
    """Returns the attempts at a cache in slow start within a window, if the plan changes in its middle."""
    scenario.update_endpoints(scenario.plan)
    for name, endpoint in list(scenario.router.pool_routers.endpoints.items()):
        if name == "n1":
            scenario.router.update_endpoints(
                [replace(endpoint, started_at=scenario.now)], False, scenario.now
            )
    sent = 0
    for n in range(400):
        if n == 200:
            change_plan()
        scenario.now += 2 * MS
        decision = scenario.request(f"/{n}")
        sent += isinstance(decision, Forward) and decision.endpoint == "n1"
        if isinstance(decision, Forward):
            scenario.finish(AttemptStatus.SUCCEEDED)
    return sent


def test_a_cache_in_slow_start_is_not_overloaded_by_new_pools():
    pools = "".join(f'm{n}: {{ stores: "north" }}, ' for n in range(4))
    routes = "".join(
        f'm{n}: {{ match: {{ path: "/*{n}" }}, vhost: "page", pool: "m{n}" }}, ' for n in range(4)
    )
    text = PLAN.replace("pools: {", "pools: { " + pools).replace("routes: {", "routes: { " + routes)
    unchanged, changed = PlanScenario(), PlanScenario()
    before = count_attempts_in_slow_start(unchanged, lambda: None)
    after = count_attempts_in_slow_start(
        changed, lambda: changed.router.replace(changed.load(text), changed.now)
    )
    assert 0 < after <= before
    routers = {
        pool_router.router.slow_start.budgets[Tier.CACHE].terms.routers
        for pool_router in changed.router.pool_routers.by_pool.values()
    }
    assert routers == {6}  # one router, six pools
    assert {
        pool_router.router.fills.routers for pool_router in changed.router.pool_routers.by_pool.values()
    } == {6}


def test_the_router_of_a_removed_pool_without_requests_leaves_at_once(scenario):
    text = PLAN.replace('far: { stores: "south" },', 'other: { stores: "south" },')
    text = text.replace('"far"', '"other"')
    scenario.router.replace(scenario.load(text), scenario.now)
    assert scenario.router.pool_routers.draining == [] and set(scenario.router.pool_routers.by_pool) == {
        "near",
        "other",
    }
