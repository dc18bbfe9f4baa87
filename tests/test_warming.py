"""Slow start and ejection by peers at the routing decisions, with what is granted and told by others."""

from conftest import RouterScenario

from quartzrouter.routing.model import Forward, Tier

MS, S = 1_000, 1_000_000


def scenario_without_parents(router_number=0):
    scenario = RouterScenario([], router_number=router_number)
    scenario.update_endpoints(
        is_snapshot=True, c1="up", c2="up", c3="up", o="up"
    )  # no parents: budgets of caches only
    return scenario


def test_a_granted_part_goes_to_a_cold_cache_beyond_the_routers_own():
    # Own parts of a fifth of the budget of thirty routers bear no req; what is granted does, once.
    def sent(granted):
        scenario = scenario_without_parents()
        router = scenario.router
        router.share_slow_start(Tier.CACHE, routers=30, guaranteed_share=0.2)
        for index in router.endpoints.by_tier[Tier.CACHE]:
            router.endpoints.started_at[index] = scenario.now
        router.share_slow_start_grants(dict(granted))
        router.set_fleet_load({}, scenario.now)  # nobody else has anything out
        found = [scenario.request(n, "page", f"obj-{n}", quiet=True) for n in range(8)]
        return [
            each.endpoint for each in found if isinstance(each, Forward) and each.endpoint[0] == "c"
        ], router

    assert sent({})[0] == []
    found, router = sent({"c1": 900 * MS})
    assert (
        set(found) == {"c1"} and len(found) == 2 and router.slow_start.granted["c1"] == 100 * MS
    )  # 400 ms each
    told = {each.endpoint: each for each in router.slow_start_demand(10 * S)}
    assert set(told) == {"c1", "c2", "c3"} and any(
        each.demand >= each.largest_request > 0 for each in told.values()
    )
    assert all(each.demand == 0 for each in router.slow_start_demand(10 * S))  # since it was last asked
    assert router.slow_start_demand(100 * S) == []  # they are warm


def test_loads_that_are_told_stand_in_for_own_reqs_times_routers():
    scenario = scenario_without_parents()
    router = scenario.router
    router.share_slow_start(Tier.CACHE, routers=8, guaranteed_share=1.0)
    one, two = router.endpoints.index_of["c1"], router.endpoints.index_of["c2"]
    router.load.in_flight[one], router.load.in_flight[two] = 2, 1
    assert router.load.estimate(one, scenario.now) == 16
    router.set_fleet_load({"c1": 3, "c2": -1, "gone": 4}, scenario.now)
    assert router.load.estimate(one, scenario.now) == 5
    assert router.load.estimate(two, scenario.now) == 8  # not known isn't none
    assert router.load.estimate(one, scenario.now + S) == 16  # too old


def test_routers_try_a_cache_again_one_after_the_other():
    turns = set()
    for router_number in range(12):
        scenario = scenario_without_parents(router_number)
        router, now = scenario.router, scenario.now
        router.set_ejected_by_peers({"c1": now + S}, now)
        health = router.health.by_index[router.endpoints.index_of["c1"]]
        turns.add(health.ejected_by_peers_until - now - S)
        router.set_ejected_by_peers({}, now + S)  # it has ended: this one's turn is still to come
        assert health.ejected_by_peers_until > now + S
        router.set_ejected_by_peers({}, now + 3 * S)
        assert health.ejected_by_peers_until == 0
    assert len(turns) > 8 and max(turns) < S


def test_few_servers_wait_for_their_turn():
    scenario = scenario_without_parents()
    router, now = scenario.router, scenario.now
    router.set_ejected_by_peers({"c1": now + 10 * MS}, now)
    router.set_ejected_by_peers({"c2": now + S}, now + 10 * MS)  # two of four would be out by others' word
    health = {name: router.health.by_index[router.endpoints.index_of[name]] for name in ("c1", "c2")}
    assert health["c1"].ejected_by_peers_until == 0 and health["c2"].ejected_by_peers_until > now
