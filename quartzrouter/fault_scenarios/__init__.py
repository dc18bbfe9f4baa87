"""Scenarios with injected faults: each plays the hard cases of one part and reports what broke."""

import json
import time
from importlib import import_module
from typing import NamedTuple


class Scenario(NamedTuple):
    """A scenario of `quartzrouter rehearse`.

    :param module: of this package, with a function ``rehearse(seed, report, **options)``.
    :param summary: what it plays.
    """

    module: str
    summary: str


SCENARIOS = {
    "purges": Scenario(
        "purges", "a fleet with a ledger: partitions, kills, storms, old caches; every answer is looked at"
    ),
    "sharing": Scenario(
        "quota", "limits that a fleet shares: routers and ledgers cut off, killed, stopped, with clocks off"
    ),
    "hearsay": Scenario(
        "peer_ejection",
        "a cache goes bad, or out of reach of most: each router alone, and together; 100 s",
    ),
    "leases": Scenario(
        "leases", "one holder at a time: keepers and claimants cut off, killed, stopped, without folders"
    ),
    "warming": Scenario(
        "slow_start",
        "a cache comes back cold: equal parts of what it may be sent, or parts as wanted; 30 s",
    ),
    "guards": Scenario(
        "mutations",
        "each guard of shared limits, cold servers and leases taken out, by processes; eight minutes",
    ),
    "plan": Scenario(
        "plan",
        "broken plans, shadowing and diff against brute force, limits, fallbacks and reloads on loopback",
    ),
}


class ScenarioReport:
    """Figures by name, and what broke; both are printed, and keys of ``--json``."""

    def __init__(self) -> None:
        self.figures: dict[str, object] = {}
        self.broken: list[str] = []

    def expect(self, holds: bool, otherwise: str) -> None:
        """Notes what broke, unless the condition holds."""
        if not holds:
            self.broken.append(otherwise)


def play(name: str, seed: int, as_json: bool, **options) -> int:
    """Plays a scenario and prints its report.

    :param name: of ``SCENARIOS``.
    :param seed: for all that is random.
    :param options: of this scenario.
    :returns: the exit status: 1 if anything broke.
    """
    report = ScenarioReport()
    began = time.monotonic()
    module = import_module(f"quartzrouter.fault_scenarios.{SCENARIOS[name].module}")
    module.rehearse(seed, report, **options)
    seconds = round(time.monotonic() - began, 1)
    if as_json:
        found = {
            "name": name,
            "seed": seed,
            "seconds": seconds,
            "figures": report.figures,
            "broken": report.broken,
        }
        print(json.dumps(found, indent=2))
        return bool(report.broken)
    for what, figure in report.figures.items():
        print(f"{what:46} {figure}")
    for broken in report.broken:
        print(f"broken: {broken}")
    print(f"{name}, seed {seed}: {len(report.broken)} broken, {seconds} s")
    return bool(report.broken)
