"""Scenario: a cache starts, and must not be sent more requests than it can handle while it is warming up.

The scenario compares the requests that routers send with an equal part of its capacity for each router, and
with parts that are granted by demand. Requests are counted at the cache. The number allowed in a window
depends on when the first router read of the cache: each router assumes that the cache started when it read of
it, and so takes it for colder than it is.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from quartzrouter.fault_harness import history_checks
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.fault_scenarios.quota_fleet import RATE_PATH, ScenarioSize
from quartzrouter.fault_scenarios.quota_play import MAX_ANSWER_TIME, ScenarioResult, play
from quartzrouter.quota.budget import SECOND
from quartzrouter.routing.slow_start import BUDGET_SHARE

NEW_CACHE = "n0"
LISTED_AT_MS = 2_500  # when routers read a plan with the cache
INITIAL_SHARE = 0.25  # of the capacity, at the start; the plan's default, as the settings below
RAMP_TIME = 16 * SECOND
OVERLOAD_FACTOR = 2.0
WINDOW = 1 * SECOND
LONG_WINDOW = 4 * SECOND
REQUEST_TIME = 50_000  # microseconds of transfer that routers assume until they measure: the objective
IN_TRANSIT = 1  # requests that are sent in one window and arrive in the next
REPORTED_SECONDS = 7
SIZE = ScenarioSize(
    routers=12,
    rate=4_000,
    burst=4_000,
    rate_guarantee="100%",
    slots=4_000,
    slots_guarantee="100%",
    demand=120.0,
    first_router_share=0.5,
    slot_clients=0,
    seconds=10.0,
    line_fault_rate=0.0,
    cache_weight=1,
    traffic_class_keys=f"first_byte_target: {REQUEST_TIME // 1000}ms",
    max_clock_drift=100,
    unlisted_caches=1,
)
GRANTED = 'cold: { across: "all", share_life: 300ms },'  # keys of the deployment
GRANTED_WITH_LONG_WINDOW = 'cold: { across: "all", share_life: 300ms, window: 4s },'
LISTED = [Fault(LISTED_AT_MS, "list", "all")]


class MutationExcess(NamedTuple):
    """Requests above what the cache may be sent, in one scene that was played twice.

    :param guarded: the excess with all guards.
    :param mutated: the excess with one of them removed.
    """

    guarded: float
    mutated: float


def max_requests(started_at: int, window: int = WINDOW) -> Callable[[int], float]:
    """Returns a function that gives the most requests in a window, at all routers, by the window's end.

    :param started_at: when the cache started, in microseconds.
    :param window: the length of the window in microseconds.
    """

    def at(end: int) -> float:
        age = max(0, end - started_at - window)
        share = INITIAL_SHARE + (1 - INITIAL_SHARE) * min(1.0, age / RAMP_TIME)
        capacity = SIZE.cache_weight * share
        return capacity * OVERLOAD_FACTOR * window * BUDGET_SHARE / REQUEST_TIME + IN_TRANSIT

    return at


def arrivals(result: ScenarioResult) -> list[int]:
    """Returns when requests reached the cache, in microseconds."""
    return [event.time for event in result.fleet.history.events_of("arrive") if event.actor == NEW_CACHE]


def listed_at(result: ScenarioResult) -> int:
    """Returns the earliest time at which a router may have read of the cache, in microseconds."""
    return next(
        event.time for event in result.fleet.history.events_of("fault") if event.details["kind"] == "list"
    )


def excess(result: ScenarioResult) -> float:
    """Returns the requests above what the cache may be sent, in the worst window."""
    has_long_window = result.fleet.size.deployment_keys == GRANTED_WITH_LONG_WINDOW
    window = LONG_WINDOW if has_long_window else WINDOW
    allowed = max_requests(listed_at(result), window)
    return history_checks.max_window_excess(arrivals(result), window, allowed)[0]


SCENES: dict[str, tuple[ScenarioSize, list[Fault]]] = {
    "a cold server's granter grants at once": (
        replace(SIZE, deployment_keys=GRANTED_WITH_LONG_WINDOW, demand=300.0),
        [*LISTED, *(Fault(4_000 + 1_200 * n, "kill", f"ledger{n % 2}", 0) for n in range(5))],
    ),
    "a doubled part of a cold server counts twice": (
        replace(
            SIZE, deployment_keys=GRANTED, demand=300.0, line_fault_rate=0.9, line_fault_kinds=("double",)
        ),
        LISTED,
    ),
    "a cold server's granter forgets what it granted": (
        replace(SIZE, deployment_keys=GRANTED, demand=300.0),
        LISTED,
    ),
}


def play_with_and_without(seed: int, mutation: str) -> MutationExcess:
    """Plays a guard's scene with the guard, and without it."""
    size, faults = SCENES[mutation]
    guarded = play(random.Random(seed), size, faults)
    mutated = play(random.Random(seed), size, faults, (mutation,))
    return MutationExcess(excess(guarded), excess(mutated))


def rehearse(seed: int, report: ScenarioReport) -> None:
    """Plays the start of a cache with equal parts, and with granted parts."""
    for name, deployment_keys in (("equal parts", ""), ("parts as wanted", GRANTED)):
        result = play(random.Random(seed), replace(SIZE, deployment_keys=deployment_keys), LISTED)
        _report_requests(result, report, name)
        over = excess(result)
        within = f"{MAX_ANSWER_TIME / SECOND} s"
        report.expect(over <= 0, f"{name}: {over:.1f} requests more than the cache may be sent")
        report.expect(not result.lost, f"{name}: {result.lost} requests without a response within {within}")
        report.expect(not result.faults, f"{name}: faults: {result.faults[:1]}")


def _report_requests(result: ScenarioResult, report: ScenarioReport, name: str) -> None:
    """Reports the requests in each second after the start, and how many are allowed."""
    times = arrivals(result)
    started_at = listed_at(result)
    allowed = max_requests(started_at)
    ends = [started_at + (second + 1) * SECOND for second in range(REPORTED_SECONDS)]
    by_second = [sum(end - SECOND <= time < end for time in times) for end in ends]
    allowed_by_second = [int(allowed(end)) for end in ends]
    answers = history_checks.count_by_status(result.fleet.history, RATE_PATH, started_at, ends[-1])
    answered = answers.get("200", 0)
    report.figures[f"{name}: reqs by second, of"] = (
        f"{by_second}, {allowed_by_second}; {answered} done in all"
    )
