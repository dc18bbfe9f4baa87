"""For each guard of quota, a scene in which the checkers must notice that the guard is removed.

Scenes have the names of the mutations, see ``fault_harness.quota_mutations``.
"""

import random
from dataclasses import replace
from typing import NamedTuple

from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios.quota_fleet import ScenarioSize
from quartzrouter.fault_scenarios.quota_play import ScenarioResult, play

SMALL = ScenarioSize(
    routers=6,
    rate=40,
    slots=12,
    first_router_share=0.5,
    demand=20.0,
    slot_clients=10,
    seconds=7.0,
    line_fault_rate=0.0,
    timeout="500ms",
    response_time=(0.15, 0.3),
)
# Requests outlive grants and routers; slots are guaranteed once the requests of a former process have ended.
LONG_REQUESTS = replace(SMALL, timeout="4s", response_time=(3.4, 3.8), cancels_abandoned=False, seconds=11.0)
LARGE_BURST = replace(
    SMALL, rate=5, burst=80, rate_guarantee="50%", demand=160.0, first_router_share=1 / 6, slot_clients=0
)


def _demand_only_at(at_ms: int, routers: str) -> Fault:
    """Returns a fault that limits the demand for slots to these routers.

    :param at_ms: milliseconds after the start.
    """
    return Fault(at_ms, "only", routers)


SCENES: dict[str, tuple[ScenarioSize, list[Fault]]] = {
    "a share doesn't end": (
        SMALL,
        [_demand_only_at(0, "r0"), Fault(2000, "cut", "r0", 4000), _demand_only_at(2100, "r0 r1")],
    ),
    "a share counts from its answer": (
        replace(SMALL, purge_grace="2s", demand=160.0, first_router_share=1 / 6, slot_clients=0),
        [Fault(2000, "cut", f"r{n}", 3000, 2.0) for n in range(6)],
    ),
    "a doubled grant counts twice": (
        replace(
            SMALL, rate=60, demand=200.0, line_fault_rate=0.9, line_fault_kinds=("double",), slot_clients=0
        ),
        [],
    ),
    "a router isn't confined by its own word": (
        replace(SMALL, purge_grace="2s", grant_ttl="2s", seconds=8.0),
        [
            _demand_only_at(0, "r0"),
            Fault(4450, "cut", "r0", 3000, 2.0),
            _demand_only_at(4500, "r1 r2 r3 r4 r5"),
            _demand_only_at(5700, "all"),
        ],
    ),
    "shares end by the wall clock": (
        SMALL,
        [
            _demand_only_at(0, "r0"),
            Fault(2000, "jump", "r0", 4000, -10.0),
            Fault(2000, "cut", "r0", 4000),
            _demand_only_at(2100, "r0 r1"),
        ],
    ),
    "a restarted router has its floor's burst again": (
        replace(LARGE_BURST, seconds=12.0),
        [Fault(at, "kill", f"r{n}", 50) for at in (500, 3000, 5500, 8000) for n in range(6)],
    ),
    "a restarted router has its floor's slots at once": (
        replace(LONG_REQUESTS, slots_guarantee="100%"),
        [Fault(6000, "kill", f"r{n}", 50) for n in range(3)],
    ),
    "a slot's req is over with its share": (
        LONG_REQUESTS,
        [_demand_only_at(0, "r0"), Fault(6000, "cut", "r0", 4000), _demand_only_at(6100, "r0 r1")],
    ),
    "a granter starts with a full bucket": (
        replace(LARGE_BURST, rate_guarantee="10%", seconds=9.0),
        [Fault(at, "kill", "ledger0", 50) for at in (1000, 3000, 5000, 7000)],
    ),
    "a granter grants slots at once": (
        replace(SMALL, grant_ttl="4s", seconds=10.0),
        [
            _demand_only_at(0, "r0"),
            Fault(5000, "kill", "ledger0", 50),
            Fault(5000, "cut", "r0", 4500),
            _demand_only_at(5100, "r0 r1"),
        ],
    ),
    "a granter doesn't compare figures": (
        replace(SMALL, slots_checked_from=3000),
        [Fault(1000, "reload", f"r{n}", 0, 24.0) for n in range(6)],
    ),
    "a restarted router's slots are forgotten": (
        LONG_REQUESTS,
        [_demand_only_at(0, "r0"), Fault(6000, "kill", "r0", 50), _demand_only_at(6100, "r0 r1")],
    ),
    "a granter doesn't look whether another has begun": (
        replace(SMALL, seconds=11.0),
        [_demand_only_at(0, "r0 r1"), Fault(0, "cut", "r0/1", 11_000), Fault(2000, "stop", "ledger0", 4500)],
    ),
}


class MutationResult(NamedTuple):
    """The results of one scene that was played twice.

    :param guarded: the result with all guards.
    :param mutated: the result with one of them removed.
    """

    guarded: ScenarioResult
    mutated: ScenarioResult


def play_with_and_without(seed: int, mutation: str) -> MutationResult:
    """Plays a guard's scene with the guard, and without it."""
    size, faults = SCENES[mutation]
    return MutationResult(
        play(random.Random(seed), size, faults), play(random.Random(seed), size, faults, (mutation,))
    )
