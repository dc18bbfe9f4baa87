"""What routers tell each other of caches: who is a witness, what is left out, what is unknown."""

import random
from collections import Counter
from dataclasses import replace

import pytest
from test_force import Played

from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios.quota_mutation_scenes import SMALL
from quartzrouter.fault_scenarios.quota_play import play
from quartzrouter.fleet_health import ejection, reports
from quartzrouter.fleet_health.aggregator import HealthAggregator
from quartzrouter.fleet_health.ejection import BASE_EJECTION_TIME, EJECTION_MEMORY
from quartzrouter.fleet_health.messages import CacheObservation, EjectionVerdict
from quartzrouter.fleet_health.reports import REPORT_TTL, REPORT_INTERVAL, RouterReport
from quartzrouter.routing.model import AttemptStatus

S = 1_000_000
CACHES = [f"n{n}" for n in range(9)]


class Store:
    """Routers that tell in turn of nine caches; `fails` gives those that fail each."""

    def __init__(self, routers=6):
        self.council, self.now, self.routers = HealthAggregator(), 100 * S, routers
        self.fails = {n: set() for n in range(routers)}
        self.tokens = dict.fromkeys(range(routers), "t")
        self.silent = set()

    def play(self, rounds):
        for _ in range(rounds):
            self.now += REPORT_INTERVAL
            for n in set(range(self.routers)) - self.silent:
                sights = [
                    CacheObservation(cache, False, 0, 2, 1, 2)
                    if cache in self.fails[n]
                    else CacheObservation(cache, False, 3, 0, 2, 3)
                    for cache in CACHES
                ]
                assert self.council.record_report(
                    f"r{n}", self.tokens[n], "north", tuple(sights), self.now, len(CACHES)
                )
        return [each.cache for each in self.council.verdicts("north", self.now)]

    def fail(self, cache, routers):
        for n in routers:
            self.fails[n].add(cache)


def test_a_cache_that_fails_most_is_left_out_and_comes_back_by_itself():
    store = Store()
    store.fail("n3", range(5))
    assert store.play(5) == ["n3"]
    (judgement,) = store.council.verdicts("north", store.now)
    assert judgement.reported_by == ("r0", "r1", "r2", "r3", "r4") and judgement.contradicted_by == ("r5",)
    assert 0 < judgement.expires_in <= BASE_EJECTION_TIME and judgement.failures > 10
    store.silent = set(range(6))  # nobody sends there any more, or nobody is heard
    assert store.play(12) == []  # it has ended


@pytest.mark.parametrize("routers", [(0,), (0, 1, 2)])
def test_few_take_no_cache_from_the_others(routers):
    store = Store()
    store.fail("n3", routers)
    assert store.play(10) == []


def test_a_router_that_is_cut_off_itself_is_no_witness(monkeypatch):
    def played():
        store = Store(3)
        for cache in CACHES[:6]:
            store.fail(cache, (0,))
        store.fail("n1", (1,))
        return store.play(10)

    assert played() == []
    monkeypatch.setattr(RouterReport, "is_cut_off", property(lambda report: False))
    assert played() == ["n1"]  # by its word and one more's


def test_few_caches_are_ever_left_out(monkeypatch):
    def played():
        store = Store()
        for cache in CACHES[:4]:  # fewer than half, so that nobody is taken for cut off
            store.fail(cache, range(6))
        return store.play(10)

    assert len(played()) == 3
    monkeypatch.setattr(ejection, "MAX_EJECTED_SHARE", 1.0)
    assert len(played()) == 4


def test_errors_that_all_caches_show_take_none():
    store = Store()
    for now in range(10):
        store.now += REPORT_INTERVAL
        for n in range(6):
            sights = tuple(
                CacheObservation(cache, False, 1, 1 + (cache == "n0") * (now % 2)) for cache in CACHES
            )
            store.council.record_report(f"r{n}", "t", "north", sights, store.now, len(CACHES))
    assert store.council.verdicts("north", store.now) == ()


def test_a_cache_that_flaps_is_left_out_for_longer_each_time():
    store, spans = Store(), []
    for _ in range(5):
        store.fail("n3", range(6))
        assert store.play(8) == ["n3"]
        store.fails = {n: set() for n in range(6)}
        left = 0
        while store.play(1):
            left += 1
        spans.append(left * REPORT_INTERVAL)
    assert (
        spans == sorted(spans)
        and spans[-1] >= 4 * spans[0]
        and spans[-1] <= ejection.MAX_EJECTION_TIME + REPORT_TTL
    )
    store.now += EJECTION_MEMORY + S
    store.fail("n3", range(6))
    store.play(8)
    assert store.council.verdicts("north", store.now)[0].expires_in <= BASE_EJECTION_TIME  # the first again


def test_two_halves_that_judge_differently_agree_once_they_meet():
    halves = Store(), Store()
    halves[0].fail("n3", range(6))
    assert halves[0].play(6) == ["n3"] and halves[1].play(6) == []
    one = Store()  # where all meet, half of them hurt: no more for than against
    one.fail("n3", range(3))
    assert one.play(1) == one.play(15) == []


def test_counts_tell_what_is_out_with_age_and_error_and_unknown_where_one_is_silent():
    store = Store(3)
    store.play(6)
    count = {each.cache: each for each in store.council.loads("north", store.now)}["n0"]
    assert count == ("n0", 6, 0, 0, 3)
    later = store.now + REPORT_INTERVAL
    assert store.council.loads("north", later)[0] == ("n0", 6, REPORT_INTERVAL, 9, 3)
    store.silent = {2}
    store.play(7)
    assert store.council.loads("north", store.now)[0].in_flight == -1  # never less by one who isn't heard
    store.tokens[2] = "again"
    store.silent = set()
    assert not store.play(1) and store.council.loads("north", store.now)[0].in_flight == 6
    store.silent = {2}
    store.play(6)
    store.council.remove_router("r2")
    assert store.council.loads("north", store.now)[0].in_flight == 4
    store.silent = {0, 1, 2}
    store.now += EJECTION_MEMORY + S
    store.council.expire(store.now)
    assert store.council.loads("north", store.now) == () and not store.council.reports


@pytest.mark.parametrize(
    "sight",
    [
        CacheObservation("", False),
        CacheObservation("n" * 65, False),
        CacheObservation("n", False, -1),
        CacheObservation("n", False, 0, 0, 10**9),
    ],
)
def test_words_that_a_council_does_not_obey(sight):
    council = HealthAggregator()
    assert (
        not council.record_report("r", "t", "north", (sight,), S, 9)
        and council.invalid_reports == 1
        and not council.reports
    )
    assert not council.record_report(
        "r", "t", "north", (CacheObservation("n", True),) * (reports.MAX_OBSERVATIONS + 1), S, 9
    )
    assert not council.record_report("r", "t", "north", (), S, -1)


def test_what_is_not_told_of_has_nothing_out_and_fades():
    council, now = HealthAggregator(), 100 * S
    council.record_report(
        "r",
        "t",
        "north",
        (CacheObservation("n1", True, 0, 4, 2, 2), CacheObservation("n2", False, 4, 0, 1, 4)),
        now,
        9,
    )
    assert set(council.reports["r"].outcomes) == {"n1", "n2"} and len(council.loads("north", now)) == 2
    council.record_report("r", "t", "north", (), now + REPORT_INTERVAL, 9)
    tally = council.reports["r"].outcomes["n1"]
    assert not tally.ejected and 2 < tally.failed < 4 and council.loads("north", now + REPORT_INTERVAL) == ()
    council.record_report("r", "t", "north", (), now + 10 * S, 9)
    assert not council.reports["r"].outcomes


def test_a_router_heeds_few_judgements_and_none_for_long():
    told = tuple(EjectionVerdict(f"n{n}", 100 * S * (n < 3), (), (), 0) for n in range(6))
    assert ejection.accepted_ejections(told, 9, 5) == {
        f"n{n}": 5 + ejection.MAX_EJECTION_TIME for n in range(3)
    }
    assert ejection.accepted_ejections(told[3:], 9, 5) == {} and ejection.accepted_ejections(told, 2, 5) == {}


# -- at a router, and between processes ----------------------------------------------------------------------


def asked(played, reqs):
    """Which caches some reqs go to, all answered well or not, by cache."""
    found = Counter()
    for n in range(reqs):
        played.now += 10_000
        answer = played.req(f"/x{n}")
        found[answer.endpoint] += 1
        played.end(AttemptStatus.SUCCEEDED)
    return found


def test_hearsay_leaves_a_cache_out_until_it_ends():
    played = Played()
    caches = {
        sight.cache
        for sight in played.force.health_observations(played.now).values()
        if sight.cache.startswith("n")
    }
    bad = sorted(caches)[0]
    assert set(asked(played, 80)) == caches
    played.now += S
    played.force.set_ejected_by_peers({bad: played.now + 5 * S}, played.now)
    assert set(asked(played, 80)) == caches - {bad}
    played.now += 5 * S
    assert bad in asked(played, 80)
    played.now += S
    played.force.set_ejected_by_peers({bad: played.now + 5 * S}, played.now)
    played.force.set_ejected_by_peers({}, played.now)  # others have nothing against it any more
    assert bad in asked(played, 80)


def test_what_a_router_saw_itself_lately_goes_first():
    played = Played()
    bad = sorted(asked(played, 80))[0]
    played.force.set_ejected_by_peers({bad: played.now + 5 * S}, played.now)  # it served well a moment ago
    assert bad in asked(played, 80)
    assert played.force.health_observations(played.now)[bad].completed > 0


def test_all_caches_left_out_is_as_none():
    played = Played()
    names = set(asked(played, 80))
    played.now += S
    played.force.set_ejected_by_peers(dict.fromkeys(names, played.now + 5 * S), played.now)
    assert asked(played, 40)


SHAPE = replace(
    SMALL,
    rate=4_000,
    burst=4_000,
    rate_guarantee="100%",
    demand=150.0,
    first_router_share=1 / 6,
    slot_clients=0,
    caches=6,
    cache_links=True,
    timeout="1s",
    seconds=5.0,
    peer_ejection="true",
)


def test_processes_leave_a_cache_that_all_but_one_can_not_reach():
    """Alone, three in ten reqs wait for it again and again; together, seven in a hundred."""
    parted = [Fault(1500, "part", f"r{n}/0", 4000) for n in range(1, 6)]
    seen = play(random.Random(1), SHAPE, parted)
    ends = {event.told["path"]: event.at for event in seen.fleet.history.of("end")}
    waits = [
        ends.get(event.told["path"], event.at + S) - event.at
        for event in seen.fleet.history.of("send")
        if event.at > seen.began + 2.5 * S and "/r0." not in event.told["path"]
    ]
    print(len(waits), sum(wait > S // 4 for wait in waits))
    assert sum(wait > S // 4 for wait in waits) < 0.2 * len(waits) and not (seen.lost or seen.faults)


def test_processes_leave_no_cache_by_the_word_of_one_that_is_cut_off_itself():
    seen = play(random.Random(1), SHAPE, [Fault(1500, "part", "r0", 4000)])
    reached = Counter(
        event.who
        for event in seen.fleet.history.of("arrive")
        if event.at > seen.began + 2.5 * S and "/r0." not in event.told["path"]
    )
    assert len(reached) == 6 and min(reached.values()) > 10, reached
    assert not (seen.lost or seen.faults)
