"""Scenarios with injected faults: each plays the difficult cases of one part and reports violations."""

import json
import time
from importlib import import_module
from typing import NamedTuple


class Scenario(NamedTuple):
    """A scenario of `quartzrouter rehearse`.

    :param module: the module of this package that has its function ``rehearse(seed, report, **options)``.
    :param summary: what it plays, as the command shows it.
    """

    module: str
    summary: str


SCENARIOS = {
    "purges": Scenario(
        "purges", "a fleet with a ledger: partitions, kills, bursts, old caches; every response is checked"
    ),
    "sharing": Scenario(
        "quota", "limits that a fleet shares: routers and ledgers cut off, killed, stopped, with wrong clocks"
    ),
    "hearsay": Scenario(
        "peer_ejection",
        "a cache fails, or most routers can't reach it: each router alone, and together; 100 s",
    ),
    "leases": Scenario(
        "leases", "one holder at a time: keepers and claimants cut off, killed, stopped, their folders lost"
    ),
    "warming": Scenario(
        "slow_start",
        "a cache comes back cold: equal parts of its capacity, or parts by demand; 30 s",
    ),
    "guards": Scenario(
        "mutations",
        "each guard of shared limits, cold servers and leases removed from processes; eight minutes",
    ),
    "plan": Scenario(
        "plan",
        "faulty plans, hidden routes and diff against brute force, limits, fallbacks, reloads on loopback",
    ),
}


class ScenarioReport:
    """Figures by name, and violations; both are printed, and are keys of ``--json``."""

    def __init__(self) -> None:
        self.figures: dict[str, object] = {}
        self.broken: list[str] = []

    def expect(self, holds: bool, violation: str) -> None:
        """Records a violation unless the condition holds."""
        if not holds:
            self.broken.append(violation)


def play(name: str, seed: int, as_json: bool, **options) -> int:
    """Plays a scenario and prints its report.

    :param name: the scenario's key in ``SCENARIOS``.
    :param seed: the seed of everything random.
    :param as_json: prints JSON in place of lines.
    :param options: more arguments of the scenario's function.
    :returns: the exit status: 1 if there was a violation.
    """
    report = ScenarioReport()
    started_at = time.monotonic()
    module = import_module(f"quartzrouter.fault_scenarios.{SCENARIOS[name].module}")
    module.rehearse(seed, report, **options)
    seconds = round(time.monotonic() - started_at, 1)
    if as_json:
        output = {
            "name": name,
            "seed": seed,
            "seconds": seconds,
            "figures": report.figures,
            "broken": report.broken,
        }
        print(json.dumps(output, indent=2))
        return bool(report.broken)
    for key, figure in report.figures.items():
        print(f"{key:46} {figure}")
    for violation in report.broken:
        print(f"broken: {violation}")
    print(f"{name}, seed {seed}: {len(report.broken)} broken, {seconds} s")
    return bool(report.broken)
