"""A cache comes into service cold: what routers send it, by equal parts and by parts that are granted.

What it may be sent in a window is counted at the cache, by when routers were first told of it: each takes it
for started when it hears of it, and so for colder.
"""

import random
from dataclasses import replace

from quartzrouter.fault_harness import history_checks
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.fault_scenarios.sharing import ANSWER_WITHIN, S, ScenarioResult, ScenarioSize, play
from quartzrouter.routing.slow_start import BUDGET_SHARE

AT = 2_500  # ms: when routers are told of the cache
FLOOR, RAMP, MULTIPLE, WINDOW = 0.25, 16 * S, 2.0, S  # the plan's defaults
UNIT = 50_000  # us of a req's sending time, as routers reckon where nothing is measured: its target
ONE = 1  # a req on its way from one window into the next
SHAPE = ScenarioSize(
    routers=12,
    rate=4_000,
    burst=4_000,
    floors="100%",
    slots=4_000,
    slot_floors="100%",
    demand=120.0,
    uneven=0.5,
    askers=0,
    seconds=10.0,
    spoil=0.0,
    weight=1,
    target=f"first_byte_target: {UNIT // 1000}ms",
    drift=100,
    unlisted=1,
)
ALL = 'cold: { across: "all", share_life: 300ms },'
LONG = 4 * S
ALL_LONG = 'cold: { across: "all", share_life: 300ms, window: 4s },'
LISTED = [Fault(AT, "list", "all")]


def most(since: int, window: int = WINDOW):
    """Reqs that all routers may send it in a window that ends at a time, started at `since` (us)."""

    def at(end: int) -> float:
        age = max(0, end - since - window)
        can = SHAPE.weight * (FLOOR + (1 - FLOOR) * min(1.0, age / RAMP))
        return can * MULTIPLE * window * BUDGET_SHARE / UNIT + ONE

    return at


def arrivals(seen: ScenarioResult) -> list[int]:
    """us of the reqs that reached the cache."""
    return [each.at for each in seen.fleet.history.of("arrive") if each.who == "n0"]


def listed(seen: ScenarioResult) -> int:
    """us when the first router may have been told of it."""
    return next(each.at for each in seen.fleet.history.of("fault") if each.told["kind"] == "list")


def over(seen: ScenarioResult) -> float:
    """Reqs beyond what the cache may be sent, in the worst window."""
    window = LONG if seen.fleet.shape.more == ALL_LONG else WINDOW
    return history_checks.pushed(arrivals(seen), window, most(listed(seen), window))[0]


SCENES: dict[str, tuple[ScenarioSize, list[Fault]]] = {
    "a cold server's granter grants at once": (
        replace(SHAPE, more=ALL_LONG, demand=300.0),
        [*LISTED, *(Fault(4_000 + 1_200 * n, "kill", f"ledger{n % 2}", 0) for n in range(5))],
    ),
    "a doubled part of a cold server counts twice": (
        replace(SHAPE, more=ALL, demand=300.0, spoil=0.9, only=("double",)),
        LISTED,
    ),
    "a cold server's granter forgets what it granted": (replace(SHAPE, more=ALL, demand=300.0), LISTED),
}


def killed(seed: int, guard: str) -> tuple[float, float]:
    """By how many reqs the cache got more than it may be sent, with a guard and without it."""
    shape, faults = SCENES[guard]
    return tuple(over(play(random.Random(seed), shape, faults, out)) for out in ((), (guard,)))


def rehearse(seed: int, tally: ScenarioReport) -> None:
    for name, more in (("equal parts", ""), ("parts as wanted", ALL)):
        seen = play(random.Random(seed), replace(SHAPE, more=more), LISTED)
        times, since = arrivals(seen), listed(seen)
        by_second = [sum(since + n * S <= at < since + (n + 1) * S for at in times) for n in range(7)]
        may = [int(most(since)(since + (n + 1) * S)) for n in range(7)]
        done = history_checks.answers(seen.fleet.history, "/calls/", since, since + 7 * S).get("200", 0)
        tally.figures[f"{name}: reqs by second, of"] = f"{by_second}, {may}; {done} done in all"
        tally.expect(over(seen) <= 0, f"{name}: {over(seen):.1f} reqs more than the cache may be sent")
        tally.expect(not seen.lost, f"{name}: {seen.lost} reqs without an answer in {ANSWER_WITHIN / S} s")
        tally.expect(not seen.faults, f"{name}: {seen.faults[:1]}")
