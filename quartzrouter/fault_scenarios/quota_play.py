"""Plays a schedule of faults to a fleet that shares limits, and has the checkers read its history.

Checkers read what reached the caches and what clients were answered, never what a process believes.
"""

import os
import random
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import anyio

from quartzrouter.fault_harness import fault_schedule, history_checks
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios.quota_fleet import (
    RATE_LIMIT,
    RATE_PATH,
    SLOTS_LIMIT,
    SLOTS_PATH,
    QuotaFleet,
    ScenarioSize,
)
from quartzrouter.quota.budget import SECOND
from quartzrouter.server import process

MAX_ANSWER_TIME = 4 * SECOND  # beyond it a request counts as lost
MAX_OVERHEAD = 60  # seconds beyond the load, in which a play must have ended


@dataclass
class ScenarioResult:
    """What the checkers found in one play.

    :param fleet: that was played.
    :param began: when the load began, microseconds.
    :param over_rate: requests beyond the bound in the worst window; negative: so many were left.
    :param over_slots: requests in flight beyond the bound; negative: so many slots were left.
    :param peak_in_flight: requests counted in slots.
    :param lost: requests without an answer.
    :param faults: of the program itself, as its log shows them.
    """

    fleet: QuotaFleet
    began: int
    over_rate: float
    over_slots: int
    peak_in_flight: int
    lost: int
    faults: tuple[str, ...]

    @property
    def broken(self) -> bool:
        """Whether a budget was exceeded."""
        return self.over_rate > 0 or self.over_slots > 0


def play(
    chance: random.Random, size: ScenarioSize, faults: Sequence[Fault], mutations: Sequence[str] = ()
) -> ScenarioResult:
    """Plays a schedule once.

    :param mutations: names of guards that are taken out in all processes.
    """
    return anyio.run(partial(_play, chance, size, faults, mutations), backend_options=process.BACKEND_OPTIONS)


async def _play(
    chance: random.Random, size: ScenarioSize, faults: Sequence[Fault], mutations: Sequence[str]
) -> ScenarioResult:
    with tempfile.TemporaryDirectory() as folder, anyio.fail_after(size.seconds + MAX_OVERHEAD):
        fleet = QuotaFleet(Path(folder), chance, size, mutations)
        try:
            async with anyio.create_task_group() as tasks:
                await fleet.start(tasks)
                await fleet.wait_until_all_joined()
                began = process.steady_clock()
                async with anyio.create_task_group() as load_tasks:
                    fleet.start_load(load_tasks)
                    load_tasks.start_soon(fault_schedule.play, faults, fleet.inject)
                    await anyio.sleep(size.seconds)
                    fleet.end_load()
                tasks.cancel_scope.cancel()
        finally:
            fleet.close()
            _write_trace(fleet, faults)
        return _check(fleet, began)


def _write_trace(fleet: QuotaFleet, faults: Sequence[Fault]) -> None:
    """Writes history, schedule and log into the working directory, where the environment asks for it."""
    suffix = os.environ.get("QUARTZROUTER_TRACE")
    if suffix:
        fleet.history.write(Path(f"history-{suffix}.jsonl"))
        fault_schedule.write(Path(f"schedule-{suffix}.jsonl"), faults)
        Path(f"log-{suffix}").write_text(fleet.read_log())


def _check(fleet: QuotaFleet, began: int) -> ScenarioResult:
    history = fleet.history
    admitted = history_checks.admission_intervals(history, RATE_PATH)
    over_rate, *_ = history_checks.max_budget_excess(admitted, fleet.budgets[RATE_LIMIT])
    checked_from = began + fleet.size.slots_checked_from * 1000
    peak_in_flight, _ = history_checks.peak_in_flight(history, SLOTS_PATH, checked_from)
    return ScenarioResult(
        fleet=fleet,
        began=began,
        over_rate=over_rate,
        over_slots=peak_in_flight - fleet.budgets[SLOTS_LIMIT].slots,
        peak_in_flight=peak_in_flight,
        lost=len(history_checks.unanswered(history, MAX_ANSWER_TIME)),
        faults=tuple(fleet.fault_log_lines()),
    )
