"""Injects a schedule of faults into a fleet that shares limits, and checks the fleet's history.

The checkers read which requests reached the caches and which responses the clients received, never the state
of a process.
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

MAX_ANSWER_TIME = 4 * SECOND  # after which a request counts as lost
MAX_OVERHEAD_SECONDS = 60  # for start and end of a play, beside its load


@dataclass
class ScenarioResult:
    """What the checkers found in one play.

    :param fleet: the fleet, with its history.
    :param began: when the load began, in microseconds.
    :param over_rate: requests above the bound in the worst window; negative if the window had room for more.
    :param over_slots: requests in flight above the bound; negative if slots were free at all times.
    :param peak_in_flight: the most requests in flight that count in slots.
    :param lost: how many requests got no response within ``MAX_ANSWER_TIME``.
    :param faults: faults of the program itself, as its log shows them.
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
        """Returns True if a budget was exceeded."""
        return self.over_rate > 0 or self.over_slots > 0


def play(
    chance: random.Random, size: ScenarioSize, faults: Sequence[Fault], mutations: Sequence[str] = ()
) -> ScenarioResult:
    """Plays a schedule once.

    :param mutations: names of guards that are removed from all processes.
    """
    return anyio.run(partial(_play, chance, size, faults, mutations), backend_options=process.BACKEND_OPTIONS)


async def _play(
    chance: random.Random, size: ScenarioSize, faults: Sequence[Fault], mutations: Sequence[str]
) -> ScenarioResult:
    with tempfile.TemporaryDirectory() as folder, anyio.fail_after(size.seconds + MAX_OVERHEAD_SECONDS):
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
    """Writes history, schedule and log into the working directory if QUARTZROUTER_TRACE is set."""
    suffix = os.environ.get("QUARTZROUTER_TRACE")
    if suffix:
        fleet.history.write(Path(f"history-{suffix}.jsonl"))
        fault_schedule.write(Path(f"schedule-{suffix}.jsonl"), faults)
        Path(f"log-{suffix}").write_text(fleet.read_log())


def _check(fleet: QuotaFleet, began: int) -> ScenarioResult:
    """Returns what the checkers find in the history of a play."""
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
