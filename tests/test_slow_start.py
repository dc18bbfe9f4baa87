"""Slow start, load estimates and ejections at one router, with grants and reports from other routers."""

from conftest import RouterScenario

from quartzrouter.routing.model import Forward, GrantCharge, Tier

MS, S = 1_000, 1_000_000


def scenario_without_parents(router_number=0):
    scenario = RouterScenario([], router_number=router_number)
    # Without parents, only caches have slow-start budgets.
    scenario.update_endpoints(is_snapshot=True, c1="up", c2="up", c3="up", o="up")
    return scenario


def test_a_grant_allows_requests_to_a_cache_in_slow_start_beyond_the_routers_part():
    # A thirtieth of a fifth of the budget allows no request; a grant allows requests until it is used up.
    def sent_with(granted):
        scenario = scenario_without_parents()
        router = scenario.router
        router.share_slow_start(Tier.CACHE, routers=30, guaranteed_share=0.2)
        for index in router.endpoints.by_tier[Tier.CACHE]:
            router.endpoints.started_at[index] = scenario.now
        router.set_slow_start_grants(granted)
        router.set_fleet_load({}, scenario.now)  # other routers have no requests in flight
        decisions = [scenario.request(n, "page", f"obj-{n}", quiet=True) for n in range(8)]
        return [
            each.endpoint for each in decisions if isinstance(each, Forward) and each.endpoint[0] == "c"
        ], router

    assert sent_with({})[0] == []
    caches, router = sent_with({"c1": 900 * MS})
    # Each request is charged with 400 ms.
    assert set(caches) == {"c1"} and len(caches) == 2 and router.slow_start.granted["c1"] == 100 * MS
    assert router.return_slow_start_grants() == (GrantCharge("c1", 400 * MS),) * 2
    assert router.slow_start.granted == {} and router.return_slow_start_grants() == ()
    demands = {each.endpoint: each for each in router.slow_start_demand(10 * S)}
    assert set(demands) == {"c1", "c2", "c3"} and any(
        each.demand >= each.largest_request > 0 for each in demands.values()
    )
    assert all(each.demand == 0 for each in router.slow_start_demand(10 * S))  # since the last call
    assert router.slow_start_demand(100 * S) == []  # their slow start is over


def test_reported_fleet_load_replaces_own_requests_times_routers():
    scenario = scenario_without_parents()
    router = scenario.router
    router.share_slow_start(Tier.CACHE, routers=8, guaranteed_share=1.0)
    first, second = router.endpoints.index_of["c1"], router.endpoints.index_of["c2"]
    router.load.in_flight[first], router.load.in_flight[second] = 2, 1
    assert router.load.estimate(first, scenario.now) == 16
    router.set_fleet_load({"c1": 3, "c2": -1, "gone": 4}, scenario.now)
    assert router.load.estimate(first, scenario.now) == 5
    assert router.load.estimate(second, scenario.now) == 8  # an unknown count is not 0
    assert router.load.estimate(first, scenario.now + S) == 16  # the report is too old


def test_routers_try_a_cache_again_one_after_the_other():
    turns = set()
    for router_number in range(12):
        scenario = scenario_without_parents(router_number)
        router, now = scenario.router, scenario.now
        router.set_ejected_by_peers({"c1": now + S}, now)
        health = router.health.by_index[router.endpoints.index_of["c1"]]
        turns.add(health.ejected_by_peers_until - now - S)
        # The ejection has ended, but it is not this router's turn yet.
        router.set_ejected_by_peers({}, now + S)
        assert health.ejected_by_peers_until > now + S
        router.set_ejected_by_peers({}, now + 3 * S)
        assert health.ejected_by_peers_until == 0
    assert len(turns) > 8 and max(turns) < S


def test_at_most_a_third_of_the_endpoints_wait_for_their_turn():
    scenario = scenario_without_parents()
    router, now = scenario.router, scenario.now
    router.set_ejected_by_peers({"c1": now + 10 * MS}, now)
    # By other routers' reports, two of the four endpoints would be unavailable.
    router.set_ejected_by_peers({"c2": now + S}, now + 10 * MS)
    health = {name: router.health.by_index[router.endpoints.index_of[name]] for name in ("c1", "c2")}
    assert health["c1"].ejected_by_peers_until == 0 and health["c2"].ejected_by_peers_until > now
