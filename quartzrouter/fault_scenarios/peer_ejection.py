"""Scenario: a cache fails, or most routers can not reach it.

It compares how many requests that costs if each router ejects caches by itself, and if routers use each
other's reports.
"""

import random
from dataclasses import replace

from quartzrouter.fault_harness import history_checks
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.fault_scenarios.quota_fleet import RATE_PATH, ScenarioSize
from quartzrouter.fault_scenarios.quota_play import MAX_ANSWER_TIME, ScenarioResult, play
from quartzrouter.quota.budget import SECOND

FAULT_AT_MS = 2_500
FAULT_DURATION_MS = 4_000
FAULTY_CACHE = "n0"
CUT_OFF_ROUTER = "r0"
CUT_OFF_CASE = "a router that reaches no cache"
SIZE = ScenarioSize(
    routers=8,
    rate=4_000,
    burst=4_000,
    rate_guarantee="100%",
    slots=4_000,
    slots_guarantee="100%",
    demand=240.0,
    first_router_share=1 / 8,
    slot_clients=0,
    seconds=7.0,
    line_fault_rate=0.0,
    caches=8,
    cache_links=True,
)
CASES = {
    "a cache that always fails": [Fault(FAULT_AT_MS, "bad", FAULTY_CACHE, FAULT_DURATION_MS, 1.0)],
    "a cache that fails six of ten": [Fault(FAULT_AT_MS, "bad", FAULTY_CACHE, FAULT_DURATION_MS, 0.6)],
    "a cache that is gone": [Fault(FAULT_AT_MS, "lost", FAULTY_CACHE, FAULT_DURATION_MS)],
    "a cache that all but one can't reach": [
        Fault(FAULT_AT_MS, "part", f"r{router}/0", FAULT_DURATION_MS) for router in range(1, 8)
    ],
    CUT_OFF_CASE: [Fault(FAULT_AT_MS, "part", CUT_OFF_ROUTER, FAULT_DURATION_MS)],
}


def rehearse(seed: int, report: ScenarioReport) -> None:
    """Plays each case without ejection by peers, and with it."""
    for case, faults in CASES.items():
        alone = _play(seed, report, case, faults, peer_ejection="false")
        together = _play(seed, report, case, faults, peer_ejection="true")
        reached = (
            f"{_arrival_count(alone, FAULTY_CACHE)} and {_arrival_count(together, FAULTY_CACHE)} reqs on n0"
        )
        report.figures[case] = f"{reached}, {_success_count(alone)} and {_success_count(together)} done"


def _play(
    seed: int, report: ScenarioReport, case: str, faults: list[Fault], peer_ejection: str
) -> ScenarioResult:
    result = play(random.Random(seed), replace(SIZE, peer_ejection=peer_ejection), faults)
    within = f"{MAX_ANSWER_TIME / SECOND} s"
    report.expect(not result.lost, f"{case}: {result.lost} requests without a response within {within}")
    report.expect(not result.faults, f"{case}: faults: {result.faults[:1]}")
    if case == CUT_OFF_CASE:
        caches = [f"n{index}" for index in range(SIZE.caches)]
        unused = [
            cache for cache in caches if not _arrival_count(result, cache, except_router=CUT_OFF_ROUTER)
        ]
        report.expect(not unused, f"{case}: the other routers did not use {unused}")
    return result


def _fault_span(result: ScenarioResult) -> tuple[int, int]:
    """Returns when the fault began and ended, in microseconds."""
    begin = result.began + FAULT_AT_MS * 1000
    return begin, begin + FAULT_DURATION_MS * 1000


def _arrival_count(result: ScenarioResult, cache: str, except_router: str = "") -> int:
    """Returns how many requests reached a cache during the fault.

    :param except_router: a router whose requests do not count; empty counts all.
    """
    begin, end = _fault_span(result)
    return sum(
        event.actor == cache
        and begin <= event.time < end
        and not event.details["path"].startswith(f"{RATE_PATH}{except_router}.")
        for event in result.fleet.history.events_of("arrive")
    )


def _success_count(result: ScenarioResult) -> int:
    """Returns how many requests that were sent during the fault succeeded."""
    return history_checks.count_by_status(result.fleet.history, RATE_PATH, *_fault_span(result)).get("200", 0)
