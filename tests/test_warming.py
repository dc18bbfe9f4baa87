"""Slow start and ejection by peers at the routing decisions, with what is granted and told by others."""

from dataclasses import replace

from conftest import Drive

from quartzrouter.routing.model import Forward, Tier

MS, S = 1_000, 1_000_000


# -- in the decisions ----------------------------------------------------------------------------------------


def driven():
    played = Drive([])
    played.list(whole=True, c1="up", c2="up", c3="up", o="up")  # no parents: budgets of caches only
    return played


def test_a_granted_part_goes_to_a_cold_cache_beyond_the_routers_own():
    # Own parts of a fifth of the budget of thirty routers bear no req; what is granted does, once.
    def sent(granted):
        played = driven()
        router = played.router
        warm = router.warm[Tier.CACHE]
        warm.cold, warm.own = replace(warm.cold, routers=30), 0.2
        for at in router.roster.peers[Tier.CACHE]:
            router.roster.started[at] = played.now
        router.granted = dict(granted)
        router.set_fleet_load({}, played.now)  # nobody else has anything out
        found = [played.req(n, "page", f"obj-{n}", quiet=True) for n in range(8)]
        return [
            each.endpoint for each in found if isinstance(each, Forward) and each.endpoint[0] == "c"
        ], router

    assert sent({})[0] == []
    found, router = sent({"c1": 900 * MS})
    assert set(found) == {"c1"} and len(found) == 2 and router.granted["c1"] == 100 * MS  # 400 ms each
    told = {each.endpoint: each for each in router.slow_start_demand(10 * S)}
    assert set(told) == {"c1", "c2", "c3"} and any(
        each.demand >= each.largest_request > 0 for each in told.values()
    )
    assert all(each.demand == 0 for each in router.slow_start_demand(10 * S))  # since it was last asked
    assert router.slow_start_demand(100 * S) == []  # they are warm


def test_loads_that_are_told_stand_in_for_own_reqs_times_routers():
    played = driven()
    router = played.router
    router.warm[Tier.CACHE].cold = replace(router.warm[Tier.CACHE].cold, routers=8)
    one, two = router.roster.index["c1"], router.roster.index["c2"]
    router.load[one], router.load[two] = 2, 1
    assert router._load(one, played.now) == 16
    router.set_fleet_load({"c1": 3, "c2": -1, "gone": 4}, played.now)
    assert router._load(one, played.now) == 5
    assert router._load(two, played.now) == 8  # not known isn't none
    assert router._load(one, played.now + S) == 16  # too old


def test_routers_try_a_cache_again_one_after_the_other():
    turns = set()
    for me in range(12):
        played = driven()
        router, now = played.router, played.now
        router.me = me
        router.set_ejected_by_peers({"c1": now + S}, now)
        mark = router.health.of[router.roster.index["c1"]]
        turns.add(mark.told - now - S)
        router.set_ejected_by_peers({}, now + S)  # it has ended: this one's turn is still to come
        assert mark.told > now + S
        router.set_ejected_by_peers({}, now + 3 * S)
        assert mark.told == 0
    assert len(turns) > 8 and max(turns) < S


def test_few_servers_wait_for_their_turn():
    played = driven()
    router, now = played.router, played.now
    router.set_ejected_by_peers({"c1": now + 10 * MS}, now)
    router.set_ejected_by_peers({"c2": now + S}, now + 10 * MS)  # two of four would be out by others' word
    marks = {name: router.health.of[router.roster.index[name]] for name in ("c1", "c2")}
    assert marks["c1"].told == 0 and marks["c2"].told > now
