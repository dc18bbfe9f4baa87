"""Scenario: a cache comes into service, and must not be sent more than it can do while it is warming up.

Compared is what routers send it with equal parts for each, and with parts that are granted.  What it may be
sent in a window is counted at the cache, by when the first router was told of it: each router takes it for
started when it is told of it, and so for colder than it is.
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
LISTED_AT = 2_500  # milliseconds, when routers are told of the cache
INITIAL_SHARE = 0.25  # the plan's defaults of slow start: of the capacity, at the start
RAMP_TIME = 16 * SECOND
OVERLOAD_FACTOR = 2.0
WINDOW = 1 * SECOND
LONG_WINDOW = 4 * SECOND
REQUEST_TIME = 50_000  # microseconds of sending time, as routers reckon without measurements: their objective
IN_TRANSIT = 1  # requests on their way from one window into the next
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
LISTED = [Fault(LISTED_AT, "list", "all")]


class MutationExcess(NamedTuple):
    """One scene, played twice: requests beyond what the cache may be sent.

    :param guarded: with all guards.
    :param mutated: with one of them taken out.
    """

    guarded: float
    mutated: float


def max_requests(started_at: int, window: int = WINDOW) -> Callable[[int], float]:
    """The requests that all routers may send the cache in a window, by the end of the window.

    :param started_at: microseconds.
    :param window: microseconds.
    """

    def at(end: int) -> float:
        age = max(0, end - started_at - window)
        share = INITIAL_SHARE + (1 - INITIAL_SHARE) * min(1.0, age / RAMP_TIME)
        capacity = SIZE.cache_weight * share
        return capacity * OVERLOAD_FACTOR * window * BUDGET_SHARE / REQUEST_TIME + IN_TRANSIT

    return at


def arrivals(result: ScenarioResult) -> list[int]:
    """When requests reached the cache, microseconds."""
    return [event.time for event in result.fleet.history.events_of("arrive") if event.actor == NEW_CACHE]


def listed_at(result: ScenarioResult) -> int:
    """When the first router may have been told of the cache, microseconds."""
    return next(
        event.time for event in result.fleet.history.events_of("fault") if event.details["kind"] == "list"
    )


def excess(result: ScenarioResult) -> float:
    """Requests beyond what the cache may be sent, in the worst window."""
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
    """Plays a guard's scene with it, and without it."""
    size, faults = SCENES[mutation]
    guarded = play(random.Random(seed), size, faults)
    mutated = play(random.Random(seed), size, faults, (mutation,))
    return MutationExcess(excess(guarded), excess(mutated))


def rehearse(seed: int, report: ScenarioReport) -> None:
    """Plays the start of a cache with equal parts, and with parts that are granted."""
    for name, deployment_keys in (("equal parts", ""), ("parts as wanted", GRANTED)):
        result = play(random.Random(seed), replace(SIZE, deployment_keys=deployment_keys), LISTED)
        _report_requests(result, report, name)
        over = excess(result)
        within = f"{MAX_ANSWER_TIME / SECOND} s"
        report.expect(over <= 0, f"{name}: {over:.1f} reqs more than the cache may be sent")
        report.expect(not result.lost, f"{name}: {result.lost} reqs without an answer in {within}")
        report.expect(not result.faults, f"{name}: {result.faults[:1]}")


def _report_requests(result: ScenarioResult, report: ScenarioReport, name: str) -> None:
    """Requests in each second after the start, and how many there might be."""
    times = arrivals(result)
    started_at = listed_at(result)
    allowed = max_requests(started_at)
    ends = [started_at + (second + 1) * SECOND for second in range(REPORTED_SECONDS)]
    by_second = [sum(end - SECOND <= at < end for at in times) for end in ends]
    allowed_by_second = [int(allowed(end)) for end in ends]
    answers = history_checks.count_by_status(result.fleet.history, RATE_PATH, started_at, ends[-1])
    answered = answers.get("200", 0)
    report.figures[f"{name}: reqs by second, of"] = (
        f"{by_second}, {allowed_by_second}; {answered} done in all"
    )
