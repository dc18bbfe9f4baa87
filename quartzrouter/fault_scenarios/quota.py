"""Scenario: limits that a whole fleet shares, under faults of all kinds that are drawn from a seed.

Routers and purge logs are processes on loopback. They are cut off, killed and suspended, and their clocks are
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
ROUTER_FAULTS = 24  # that are drawn
MAX_SHRINK_PLAYS = 16  # to shorten a schedule; each takes half a minute
SETTLING_TIME_MS = 2_000  # from the start, until grants have followed the demand
FAULT_FREE_END_MS = 1_500  # at the end of the play
MIN_REQUEST_RATE = 20  # per second; with fewer the play shows nothing
MIN_RATE_USE = 0.6  # of the shared rate in the time without faults; with less the play shows nothing


def fault_kinds(size: ScenarioSize) -> dict[str, tuple[Sequence[str], tuple[int, int], Sequence[float]]]:
    """Returns the kinds of faults of a drawn schedule, in the form of ``fault_schedule.draw``."""
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
    """Draws faults of routers, and three of the purge logs, one after the other, so that one log can grant.

    :param faults: how many faults of routers.
    """
    duration = round(size.seconds * 1000) - FAULT_FREE_END_MS - size.fault_free_time
    schedule = fault_schedule.draw(chance, fault_kinds(size), faults, duration)
    third = duration // 3
    of_purge_logs = [
        Fault(0, "kill", "ledger0", 300),
        Fault(0, "stop", "ledger0", 2_500),
        Fault(0, "kill", "ledger0", 100, 1.0),
        Fault(0, "kill", "ledger1", 300),
    ]
    for index, fault in enumerate(chance.sample(of_purge_logs, 3)):
        schedule.append(_delayed(fault, index * third + chance.randint(0, third // 2)))
    return sorted(
        (_delayed(fault, size.fault_free_time) for fault in schedule), key=lambda fault: fault.at_ms
    )


def _delayed(fault: Fault, delay: int) -> Fault:
    """Returns the same fault at a later time.

    :param delay: milliseconds.
    """
    return Fault(fault.at_ms + delay, fault.kind, fault.target, fault.duration_ms, fault.amount)


def rehearse(
    seed: int,
    report: ScenarioReport,
    mutations: Sequence[str] = (),
    size: ScenarioSize = DEFAULT_SIZE,
    path: str | None = None,
    shrink: bool = False,
) -> None:
    """Plays one schedule, and reports whether the budgets were kept and how much of them was used.

    :param mutations: names of guards that are removed from all processes.
    :param path: a file with the schedule to play; None draws one.
    :param shrink: True to shorten a schedule that exceeds a budget; it is written to a file in either case.
    """
    chance = random.Random(seed)
    faults = fault_schedule.read(Path(path)) if path else draw_schedule(chance, size, ROUTER_FAULTS)
    result = play(chance, size, faults, mutations)
    if result.broken:
        if shrink:
            faults = _shrunk(seed, size, faults, mutations)
        schedule_path = Path(f"schedule-{seed}.jsonl")
        fault_schedule.write(schedule_path, faults)
        report.figures["schedule, in faults"] = f"{schedule_path}, {len(faults)}"
    _report_bounds(result, report)
    _report_use(result, report)


def _shrunk(
    seed: int, size: ScenarioSize, faults: Sequence[Fault], mutations: Sequence[str]
) -> Sequence[Fault]:
    """Returns a shorter schedule that still exceeds a budget."""

    def fails(some: Sequence[Fault]) -> bool:
        return play(random.Random(seed), size, some, mutations).broken

    return fault_schedule.shrink(faults, fails, MAX_SHRINK_PLAYS)


def _report_bounds(result: ScenarioResult, report: ScenarioReport) -> None:
    """Reports whether the budgets were kept and the requests answered."""
    slots = result.fleet.budgets[SLOTS_LIMIT].slots
    report.expect(
        result.over_rate <= 0, f"calls: {result.over_rate:.1f} requests above the bound in a window"
    )
    report.expect(
        result.over_slots <= 0, f"crowd: {result.peak_in_flight} requests in flight, but the limit is {slots}"
    )
    within = f"{MAX_ANSWER_TIME / SECOND:.0f} s"
    report.expect(not result.lost, f"{result.lost} requests without a response within {within}")
    report.expect(not result.faults, f"faults: {result.faults[:1]}")


def _report_use(result: ScenarioResult, report: ScenarioReport) -> None:
    """Reports how much of the budgets was used; if that is little, the play shows nothing."""
    history = result.fleet.history
    size = result.fleet.size
    budget = result.fleet.budgets[RATE_LIMIT]
    slots = result.fleet.budgets[SLOTS_LIMIT].slots
    for kind in ("fault", "send"):
        report.figures[f"{kind}s"] = sum(1 for _ in history.events_of(kind))
    sent = report.figures["sends"]
    report.expect(sent > MIN_REQUEST_RATE * size.seconds, f"only {sent} requests were sent")
    settled_at = result.began + SETTLING_TIME_MS * 1000
    first_fault = result.began + size.fault_free_time * 1000
    end = result.began + round(size.seconds * SECOND)
    admitted = history_checks.admission_intervals(history, RATE_PATH)
    used = history_checks.arrival_rate(admitted, settled_at, first_fault) / budget.rate
    without_sharing = _rate_without_sharing(size) / budget.rate
    report.figures["use of the rate in quiet, with static parts"] = f"{used:.2f}, {without_sharing:.2f}"
    used_in_all = history_checks.arrival_rate(admitted, settled_at, end) / budget.rate
    report.figures["use of the rate in all"] = f"{used_in_all:.2f}"
    answers = history_checks.count_by_status(history, RATE_PATH, settled_at, end)
    report.figures["reqs of the rate: done, denied, aborted"] = [
        answers.get(status, 0) for status in ("200", "503", "502")
    ]
    report.figures["reqs below the bound in the worst window"] = f"{-result.over_rate:.1f}"
    report.figures["most reqs in hand, of"] = f"{result.peak_in_flight}, {slots}"
    were_budgets_used = used > MIN_RATE_USE and result.peak_in_flight > slots / 2
    report.expect(were_budgets_used, "the budgets were hardly used, so the play shows nothing")
    report.figures["budgets exceeded"] = int(result.over_rate > 0) + int(result.over_slots > 0)


def _rate_without_sharing(size: ScenarioSize) -> float:
    """Returns the requests per second, of the demand, if each router has an equal part of the rate."""
    part = size.rate / size.routers
    first_router = min(part, size.first_router_share * size.demand)
    other_demand = (1 - size.first_router_share) * size.demand / (size.routers - 1)
    return first_router + (size.routers - 1) * min(part, other_demand)
