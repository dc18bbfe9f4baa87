"""Scenario: limits that a whole fleet shares, under faults of all kinds that are drawn from a seed.

Routers and purge logs are processes on loopback; they are cut off, killed and stopped, and their clocks are
wrong.
"""

import random
from collections.abc import Sequence
from pathlib import Path

from quartzrouter.fault_harness import fault_schedule, history_checks
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.fault_scenarios.quota_fleet import RATE_LIMIT, RATE_PATH, SLOTS_LIMIT, ScenarioSize
from quartzrouter.fault_scenarios.quota_play import MAX_ANSWER_TIME, ScenarioResult, play
from quartzrouter.quota.budget import SECOND

DEFAULT_SIZE = ScenarioSize()
FAULTS = 24  # drawn, of routers
MAX_SHRINK_PLAYS = 16  # in which a schedule is cut down, half a minute each
SETTLING_TIME = 2_000  # milliseconds of the time without faults, until grants have followed the demand
FAULT_FREE_END = 1_500  # milliseconds at the end
MIN_REQUEST_RATE = 20  # per second: fewer prove nothing
MIN_RATE_USE = 0.6  # of the shared rate in the time without faults: less proves nothing


def fault_kinds(size: ScenarioSize) -> dict[str, tuple[Sequence[str], tuple[int, int], Sequence[float]]]:
    """What a drawn schedule is made of, as of ``fault_schedule.draw``."""
    routers = [f"r{index}" for index in range(size.routers)]
    pairs = [f"{first} {second}" for first in routers[:4] for second in routers[2:5] if first != second]
    return {
        "cut": (routers, (600, 4_000), (0, 0, 1, 2)),
        "late": (routers, (1_000, 4_000), (0.05, 0.2, 0.5)),
        "spoil": (routers, (1_000, 5_000), (0.3, 0.6)),
        "reset": (routers, (0, 0), (0,)),
        "stop": (routers, (300, 2_500), (0,)),
        "kill": (routers, (50, 1_000), (0,)),
        "only": ([*pairs, "all"], (0, 0), (0,)),
        "jump": ([*routers, "ledger0", "ledger1"], (500, 3_000), (-10, -1, 1)),
    }


def draw_schedule(chance: random.Random, size: ScenarioSize, faults: int) -> list[Fault]:
    """Draws faults of routers, and three of the purge logs, each by itself: one of them grants at times.

    :param faults: how many of routers.
    """
    duration = round(size.seconds * 1000) - FAULT_FREE_END - size.fault_free_time
    found = fault_schedule.draw(chance, fault_kinds(size), faults, duration)
    third = duration // 3
    of_purge_logs = [
        Fault(0, "kill", "ledger0", 300),
        Fault(0, "stop", "ledger0", 2_500),
        Fault(0, "kill", "ledger0", 100, 1.0),
        Fault(0, "kill", "ledger1", 300),
    ]
    for index, fault in enumerate(chance.sample(of_purge_logs, 3)):
        found.append(_delayed(fault, index * third + chance.randint(0, third // 2)))
    return sorted((_delayed(fault, size.fault_free_time) for fault in found), key=lambda fault: fault.at_ms)


def _delayed(fault: Fault, delay: int) -> Fault:
    """:param delay: milliseconds."""
    return Fault(fault.at_ms + delay, fault.kind, fault.target, fault.duration_ms, fault.amount)


def rehearse(
    seed: int,
    report: ScenarioReport,
    mutations: Sequence[str] = (),
    size: ScenarioSize = DEFAULT_SIZE,
    path: str | None = None,
    shrink: bool = False,
) -> None:
    """Plays one schedule, and reports whether the budgets were kept and how far they were used.

    :param mutations: names of guards that are taken out in all processes.
    :param path: a schedule to play instead of a drawn one.
    :param shrink: cut down a schedule that breaks a budget; it is written to a file either way.
    """
    chance = random.Random(seed)
    faults = fault_schedule.read(Path(path)) if path else draw_schedule(chance, size, FAULTS)
    result = play(chance, size, faults, mutations)
    if result.broken:
        if shrink:
            faults = _shrunk(seed, size, faults, mutations)
        kept = Path(f"schedule-{seed}.jsonl")
        fault_schedule.write(kept, faults)
        report.figures["schedule, in faults"] = f"{kept}, {len(faults)}"
    _report_bounds(result, report)
    _report_use(result, report)


def _shrunk(
    seed: int, size: ScenarioSize, faults: Sequence[Fault], mutations: Sequence[str]
) -> Sequence[Fault]:
    """A shorter schedule that breaks a budget still."""

    def fails(some: Sequence[Fault]) -> bool:
        return play(random.Random(seed), size, some, mutations).broken

    return fault_schedule.shrink(faults, fails, MAX_SHRINK_PLAYS)


def _report_bounds(result: ScenarioResult, report: ScenarioReport) -> None:
    """Whether the budgets were kept, and requests answered."""
    slots = result.fleet.budgets[SLOTS_LIMIT].slots
    report.expect(
        result.over_rate <= 0, f"calls: {result.over_rate:.1f} reqs more than the bound in a window"
    )
    report.expect(result.over_slots <= 0, f"crowd: {result.peak_in_flight} reqs in hand of {slots}")
    within = f"{MAX_ANSWER_TIME / SECOND:.0f} s"
    report.expect(not result.lost, f"{result.lost} reqs without an answer within {within}")
    report.expect(not result.faults, f"faults: {result.faults[:1]}")


def _report_use(result: ScenarioResult, report: ScenarioReport) -> None:
    """How far the budgets were used; where that is little, nothing is proven."""
    history = result.fleet.history
    size = result.fleet.size
    budget = result.fleet.budgets[RATE_LIMIT]
    slots = result.fleet.budgets[SLOTS_LIMIT].slots
    for what in ("fault", "send"):
        report.figures[f"{what}s"] = sum(1 for _ in history.events_of(what))
    sent = report.figures["sends"]
    report.expect(sent > MIN_REQUEST_RATE * size.seconds, f"only {sent} reqs were sent")
    settled = result.began + SETTLING_TIME * 1000
    first_fault = result.began + size.fault_free_time * 1000
    end = result.began + round(size.seconds * SECOND)
    admitted = history_checks.admission_intervals(history, RATE_PATH)
    used = history_checks.arrival_rate(admitted, settled, first_fault) / budget.rate
    without_sharing = _rate_without_sharing(size) / budget.rate
    report.figures["use of the rate in quiet, with static parts"] = f"{used:.2f}, {without_sharing:.2f}"
    used_in_all = history_checks.arrival_rate(admitted, settled, end) / budget.rate
    report.figures["use of the rate in all"] = f"{used_in_all:.2f}"
    answers = history_checks.count_by_status(history, RATE_PATH, settled, end)
    report.figures["reqs of the rate: done, denied, aborted"] = [
        answers.get(status, 0) for status in ("200", "503", "502")
    ]
    report.figures["reqs below the bound in the worst window"] = f"{-result.over_rate:.1f}"
    report.figures["most reqs in hand, of"] = f"{result.peak_in_flight}, {slots}"
    were_used = used > MIN_RATE_USE and result.peak_in_flight > slots / 2
    report.expect(were_used, "the budgets were hardly used: nothing is shown")
    report.figures["budgets exceeded"] = int(result.over_rate > 0) + int(result.over_slots > 0)


def _rate_without_sharing(size: ScenarioSize) -> float:
    """Requests per second where each router has an equal part of the rate, by the demand at each."""
    part = size.rate / size.routers
    first_router = min(part, size.first_router_share * size.demand)
    other_demand = (1 - size.first_router_share) * size.demand / (size.routers - 1)
    return first_router + (size.routers - 1) * min(part, other_demand)
