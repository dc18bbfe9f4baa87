"""Health of caches by the reports of all routers: which routers count, what is ejected and unknown."""

import random
from collections import Counter
from dataclasses import replace

import pytest
from test_pool_routing import PlanScenario

from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios.quota_mutation_scenes import SMALL
from quartzrouter.fault_scenarios.quota_play import play
from quartzrouter.fleet_health import ejection, reports
from quartzrouter.fleet_health.aggregator import HealthAggregator
from quartzrouter.fleet_health.ejection import (
    BASE_EJECTION_TIME,
    EJECTION_MEMORY,
    MAX_EJECTION_TIME,
    accepted_ejections,
)
from quartzrouter.fleet_health.messages import LOAD_UNKNOWN, CacheLoad, CacheObservation, EjectionVerdict
from quartzrouter.fleet_health.reports import REPORT_INTERVAL, REPORT_TTL, RouterReport
from quartzrouter.quota.budget import SECOND
from quartzrouter.routing.model import AttemptStatus

STORE = "north"
CACHES = [f"n{index}" for index in range(9)]


class ReportingStore:
    """A store whose routers report on nine caches in each interval.

    ``failing`` holds the caches that fail for each router.
    """

    def __init__(self, routers=6):
        self.aggregator = HealthAggregator()
        self.now = 100 * SECOND
        self.routers = routers
        self.failing = {router: set() for router in range(routers)}
        self.process_tokens = dict.fromkeys(range(routers), "t")
        self.silent = set()

    def play(self, intervals):
        """Advances time by report intervals and returns the caches that are ejected at the end."""
        for _ in range(intervals):
            self.now += REPORT_INTERVAL
            for router in set(range(self.routers)) - self.silent:
                self._report(router)
        return [verdict.cache for verdict in self.verdicts()]

    def _report(self, router):
        observations = tuple(
            CacheObservation(cache, False, succeeded=0, failed=2, in_flight=1, started=2)
            if cache in self.failing[router]
            else CacheObservation(cache, False, succeeded=3, failed=0, in_flight=2, started=3)
            for cache in CACHES
        )
        token = self.process_tokens[router]
        assert self.aggregator.record_report(f"r{router}", token, STORE, observations, self.now, len(CACHES))

    def verdicts(self):
        return self.aggregator.verdicts(STORE, self.now)

    def loads(self):
        return self.aggregator.loads(STORE, self.now)

    def fail(self, cache, routers):
        """Makes a cache fail for these routers from now on."""
        for router in routers:
            self.failing[router].add(cache)

    def heal(self):
        """Makes all caches succeed for all routers from now on."""
        self.failing = {router: set() for router in range(self.routers)}


# -- verdicts ----------------------------------------------------------------------------------------------


def test_a_cache_that_fails_most_is_ejected_and_comes_back_by_itself():
    """A cache fails for five of six routers; then no router reports on it, and the ejection expires."""
    store = ReportingStore()
    store.fail("n3", range(5))
    assert store.play(5) == ["n3"]
    (verdict,) = store.verdicts()
    assert verdict.reported_by == ("r0", "r1", "r2", "r3", "r4") and verdict.contradicted_by == ("r5",)
    assert 0 < verdict.expires_in <= BASE_EJECTION_TIME and verdict.failures > 10
    store.silent = set(range(6))
    assert store.play(12) == []


@pytest.mark.parametrize("routers", [(0,), (0, 1, 2)])
def test_a_minority_or_half_of_the_routers_ejects_no_cache(routers):
    """A cache fails for one router, or for half of them, and serves the others well."""
    store = ReportingStore()
    store.fail("n3", routers)
    assert store.play(10) == []


def test_reports_of_a_router_that_is_cut_off_do_not_count(monkeypatch):
    """Most caches fail for one router, and one of them also fails for another router."""

    def scenario():
        store = ReportingStore(3)
        for cache in CACHES[:6]:
            store.fail(cache, (0,))
        store.fail("n1", (1,))
        return store.play(10)

    assert scenario() == []
    monkeypatch.setattr(RouterReport, "is_cut_off", property(lambda _report: False))
    assert scenario() == ["n1"]


def test_the_share_of_ejected_caches_is_limited(monkeypatch):
    """Four of nine caches fail for all routers: less than half, so no router is considered cut off."""

    def scenario():
        store = ReportingStore()
        for cache in CACHES[:4]:
            store.fail(cache, range(6))
        return store.play(10)

    assert len(scenario()) == 3
    monkeypatch.setattr(ejection, "MAX_EJECTED_SHARE", 1.0)
    assert len(scenario()) == 4


def test_errors_at_all_caches_eject_none():
    """The origin fails every second request at all caches; one cache has slightly more errors."""
    store = ReportingStore()
    for interval in range(10):
        store.now += REPORT_INTERVAL
        for router in range(6):
            observations = tuple(
                CacheObservation(cache, False, succeeded=1, failed=1 + (cache == "n0") * (interval % 2))
                for cache in CACHES
            )
            store.aggregator.record_report(f"r{router}", "t", STORE, observations, store.now, len(CACHES))
    assert store.verdicts() == ()


def test_a_cache_that_flaps_is_ejected_for_longer_each_time():
    """It fails and recovers five times; after a long quiet time the base duration applies again."""
    store = ReportingStore()
    durations = []
    for _ in range(5):
        store.fail("n3", range(6))
        assert store.play(8) == ["n3"]
        store.heal()
        intervals = 0
        while store.play(1):
            intervals += 1
        durations.append(intervals * REPORT_INTERVAL)
    assert durations == sorted(durations)
    assert 4 * durations[0] <= durations[-1] <= MAX_EJECTION_TIME + REPORT_TTL
    store.now += EJECTION_MEMORY + SECOND
    store.fail("n3", range(6))
    store.play(8)
    assert store.verdicts()[0].expires_in <= BASE_EJECTION_TIME


def test_a_cache_that_fails_for_half_of_the_routers_is_not_ejected_after_a_partition():
    """In a partition of the aggregators, one half ejects a cache and the other does not.

    Once all routers report to one aggregator, the cache fails for as many as it serves well, and it is not
    ejected.
    """
    failing_half, healthy_half = ReportingStore(), ReportingStore()
    failing_half.fail("n3", range(6))
    assert failing_half.play(6) == ["n3"] and healthy_half.play(6) == []
    together = ReportingStore()
    together.fail("n3", range(3))
    assert together.play(1) == together.play(15) == []


# -- loads -------------------------------------------------------------------------------------------------


def test_loads_have_an_age_and_an_error_bound():
    store = ReportingStore(3)
    store.play(6)
    assert store.loads()[0] == CacheLoad("n0", in_flight=6, age=0, error_bound=0, routers=3)
    later = store.aggregator.loads(STORE, store.now + REPORT_INTERVAL)
    assert later[0] == CacheLoad("n0", in_flight=6, age=REPORT_INTERVAL, error_bound=9, routers=3)


def test_loads_are_unknown_while_a_router_is_silent():
    """A silent router's attempts may still be in flight, so the load must not be reported without them.

    The load is known again with the router's next report, from another process, or once the router has left
    or has been silent for long.
    """
    store = ReportingStore(3)
    store.play(6)
    store.silent = {2}
    store.play(7)
    assert store.loads()[0].in_flight == LOAD_UNKNOWN
    store.process_tokens[2] = "again"
    store.silent = set()
    assert not store.play(1) and store.loads()[0].in_flight == 6
    store.silent = {2}
    store.play(6)
    store.aggregator.remove_router("r2")
    assert store.loads()[0].in_flight == 4
    store.silent = {0, 1, 2}
    store.now += reports.SILENCE_LIMIT + SECOND
    store.aggregator.expire(store.now)
    assert store.loads() == () and not store.aggregator.reports


# -- reports -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "observation",
    [
        CacheObservation("", False),
        CacheObservation("n" * 65, False),
        CacheObservation("n", False, succeeded=-1),
        CacheObservation("n", False, in_flight=10**9),
    ],
)
def test_invalid_reports_are_ignored(observation):
    aggregator = HealthAggregator()
    assert not aggregator.record_report("r", "t", STORE, (observation,), SECOND, 9)
    assert aggregator.invalid_reports == 1 and not aggregator.reports
    too_many = (CacheObservation("n", True),) * (reports.MAX_OBSERVATIONS + 1)
    assert not aggregator.record_report("r", "t", STORE, too_many, SECOND, 9)
    assert not aggregator.record_report("r", "t", STORE, (), SECOND, -1)


def test_a_cache_that_is_not_mentioned_is_not_ejected_and_its_outcomes_decay():
    """A router reports on two caches, then on none; after ten seconds the earlier outcomes are removed."""
    aggregator = HealthAggregator()
    now = 100 * SECOND
    first = (
        CacheObservation("n1", True, succeeded=0, failed=4, in_flight=2, started=2),
        CacheObservation("n2", False, succeeded=4, failed=0, in_flight=1, started=4),
    )
    aggregator.record_report("r", "t", STORE, first, now, 9)
    assert set(aggregator.reports["r"].outcomes) == {"n1", "n2"} and len(aggregator.loads(STORE, now)) == 2
    now += REPORT_INTERVAL
    aggregator.record_report("r", "t", STORE, (), now, 9)
    outcomes = aggregator.reports["r"].outcomes["n1"]
    assert not outcomes.ejected and 2 < outcomes.failed < 4 and aggregator.loads(STORE, now) == ()
    aggregator.record_report("r", "t", STORE, (), now + 10 * SECOND, 9)
    assert not aggregator.reports["r"].outcomes


def test_a_router_limits_the_number_and_duration_of_ejections():
    """A faulty aggregator ejects six of nine caches, half of them for 100 s."""
    verdicts = tuple(
        EjectionVerdict(f"n{index}", 100 * SECOND * (index < 3), (), (), 0) for index in range(6)
    )
    until = {f"n{index}": 5 + MAX_EJECTION_TIME for index in range(3)}
    assert accepted_ejections(verdicts, 9, 5) == until
    assert accepted_ejections(verdicts[3:], 9, 5) == {} and accepted_ejections(verdicts, 2, 5) == {}


# -- at a router -------------------------------------------------------------------------------------------


def requests_by_cache(scenario, requests):
    """Returns the number of requests sent to each cache; all of them succeed."""
    counts = Counter()
    for number in range(requests):
        scenario.now += 10_000
        answer = scenario.request(f"/x{number}")
        counts[answer.endpoint] += 1
        scenario.finish(AttemptStatus.SUCCEEDED)
    return counts


def test_a_cache_ejected_by_peers_gets_no_requests_until_that_ends():
    """The ejection expires, or ends with verdicts that do not name the cache any more."""
    scenario = PlanScenario()
    caches = {
        observation.cache
        for observation in scenario.router.pool_routers.health_observations(scenario.now).values()
        if observation.cache.startswith("n")
    }
    bad = sorted(caches)[0]
    assert set(requests_by_cache(scenario, 80)) == caches
    scenario.now += SECOND
    scenario.router.pool_routers.set_ejected_by_peers({bad: scenario.now + 5 * SECOND}, scenario.now)
    assert set(requests_by_cache(scenario, 80)) == caches - {bad}
    scenario.now += 5 * SECOND
    assert bad in requests_by_cache(scenario, 80)
    scenario.now += SECOND
    scenario.router.pool_routers.set_ejected_by_peers({bad: scenario.now + 5 * SECOND}, scenario.now)
    scenario.router.pool_routers.set_ejected_by_peers({}, scenario.now)
    assert bad in requests_by_cache(scenario, 80)


def test_a_routers_own_recent_success_overrides_verdicts():
    """Peers eject a cache that served this router well a moment ago; the router continues to use it."""
    scenario = PlanScenario()
    bad = sorted(requests_by_cache(scenario, 80))[0]
    scenario.router.pool_routers.set_ejected_by_peers({bad: scenario.now + 5 * SECOND}, scenario.now)
    assert bad in requests_by_cache(scenario, 80)
    assert scenario.router.pool_routers.health_observations(scenario.now)[bad].completed > 0


def test_ejecting_all_caches_ejects_none():
    scenario = PlanScenario()
    names = set(requests_by_cache(scenario, 80))
    scenario.now += SECOND
    scenario.router.pool_routers.set_ejected_by_peers(
        dict.fromkeys(names, scenario.now + 5 * SECOND), scenario.now
    )
    assert requests_by_cache(scenario, 40)


# -- between processes -------------------------------------------------------------------------------------

SIZE = replace(
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


def is_of_reachable_router(event, result):
    """Returns True if an event is of another router than the first, once the routers had time to agree."""
    return event.time > result.began + 2.5 * SECOND and "/r0." not in event.details["path"]


def test_processes_leave_a_cache_that_all_but_one_can_not_reach():
    """All routers but the first are cut off from one cache, and their requests to it are not answered.

    If each router decides alone, three in ten requests wait for the cache repeatedly; if the routers eject it
    together, seven in a hundred do.
    """
    faults = [Fault(1500, "part", f"r{router}/0", 4000) for router in range(1, 6)]
    result = play(random.Random(1), SIZE, faults)
    ends = {event.details["path"]: event.time for event in result.fleet.history.events_of("end")}
    waits = [
        ends.get(event.details["path"], event.time + SECOND) - event.time
        for event in result.fleet.history.events_of("send")
        if is_of_reachable_router(event, result)
    ]
    long_waits = sum(wait > SECOND // 4 for wait in waits)
    print(len(waits), long_waits)
    assert long_waits < 0.2 * len(waits) and not (result.lost or result.faults)


def test_processes_eject_no_cache_by_the_reports_of_one_that_is_cut_off_itself():
    """One router reaches no cache; for the others, all six caches must continue to serve."""
    result = play(random.Random(1), SIZE, [Fault(1500, "part", "r0", 4000)])
    reached = Counter(
        event.actor
        for event in result.fleet.history.events_of("arrive")
        if is_of_reachable_router(event, result)
    )
    assert len(reached) == 6 and min(reached.values()) > 10, reached
    assert not (result.lost or result.faults)


# Guards against verdicts that take ever longer while one router reports caches under ever new names.
def test_the_caches_that_one_router_reports_under_new_names_are_bounded():
    aggregator = HealthAggregator()
    for number in range(40):
        observations = tuple(
            CacheObservation(f"n{number}-{index}", False, succeeded=0, failed=1, in_flight=0, started=1)
            for index in range(reports.MAX_OBSERVATIONS)
        )
        assert aggregator.record_report("r", "t", STORE, observations, 100 * SECOND + number, len(CACHES))
    outcomes = aggregator.reports["r"].outcomes
    assert len(outcomes) == reports.MAX_OUTCOMES
    assert all(name.partition("-")[0] in ("n38", "n39") for name in outcomes)  # the latest
