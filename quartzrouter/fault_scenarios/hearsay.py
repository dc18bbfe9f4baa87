"""A cache goes bad, or out of reach of most: how many reqs it costs, by each router alone and together."""

import random
from dataclasses import replace

from quartzrouter.fault_harness import history_checks
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.fault_scenarios.sharing import ANSWER_WITHIN, RATE, ScenarioResult, ScenarioSize, play

AT, LASTS = 2_500, 4_000  # ms of the trouble
SHAPE = ScenarioSize(
    routers=8,
    rate=4_000,
    burst=4_000,
    floors="100%",
    slots=4_000,
    slot_floors="100%",
    demand=240.0,
    uneven=1 / 8,
    askers=0,
    seconds=7.0,
    spoil=0.0,
    caches=8,
    cache_links=True,
)
CASES = {
    "a cache that always fails": [Fault(AT, "bad", "n0", LASTS, 1.0)],
    "a cache that fails six of ten": [Fault(AT, "bad", "n0", LASTS, 0.6)],
    "a cache that is gone": [Fault(AT, "lost", "n0", LASTS)],
    "a cache that all but one can't reach": [Fault(AT, "part", f"r{n}/0", LASTS) for n in range(1, 8)],
    "a router that reaches no cache": [Fault(AT, "part", "r0", LASTS)],
}


def rehearse(seed: int, tally: ScenarioReport) -> None:
    for case, faults in CASES.items():
        told = []
        for hearsay in ("false", "true"):
            seen = play(random.Random(seed), replace(SHAPE, hearsay=hearsay), faults)
            tally.expect(
                not seen.lost, f"{case}: {seen.lost} reqs without an answer in {ANSWER_WITHIN / 1e6} s"
            )
            tally.expect(not seen.faults, f"{case}: {seen.faults[:1]}")
            told.append((_on(seen, "n0"), _done(seen)))
            if case == "a router that reaches no cache":
                left = [f"n{n}" for n in range(SHAPE.caches) if not _on(seen, f"n{n}", but="r0")]
                tally.expect(not left, f"{case}: {left} were left by the others")
        (alone, done), (together, more) = told
        tally.figures[case] = f"{alone} and {together} reqs on n0, {done} and {more} done"


def _span(seen: ScenarioResult) -> tuple[int, int]:
    return seen.began + AT * 1000, seen.began + (AT + LASTS) * 1000


def _on(seen: ScenarioResult, cache: str, but: str = "") -> int:
    """Reqs that reached a cache while the trouble lasted, but those of one router."""
    since, until = _span(seen)
    return sum(
        event.who == cache
        and since <= event.at < until
        and not event.told["path"].startswith(f"{RATE}{but}.")
        for event in seen.fleet.history.of("arrive")
    )


def _done(seen: ScenarioResult) -> int:
    return history_checks.answers(seen.fleet.history, RATE, *_span(seen)).get("200", 0)
