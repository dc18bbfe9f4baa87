"""Rehearsals: each plays a direction's hard cases, prints its figures, and counts what broke."""

import json
import time
from importlib import import_module

NAMES = {
    "purges": "a fleet with a ledger: partitions, kills, storms, old caches; every answer is looked at",
    "sharing": "limits that a fleet shares: routers and ledgers cut off, killed, stopped, with clocks off",
    "hearsay": "a cache goes bad, or out of reach of most: each router alone, and together; 100 s",
    "leases": "one holder at a time: keepers and claimants cut off, killed, stopped, without folders",
    "warming": "a cache comes back cold: equal parts of what it may be sent, or parts as wanted; 30 s",
    "guards": "each guard of shared limits, cold servers and leases taken out, by processes; eight minutes",
    "plan": "broken plans, shadowing and diff against brute force, limits, fallbacks and reloads on loopback",
}


class ScenarioReport:
    """Figures by name, and what broke."""

    def __init__(self) -> None:
        self.figures: dict[str, object] = {}
        self.broken: list[str] = []

    def expect(self, good: bool, what: str) -> None:
        if not good:
            self.broken.append(what)


def play(name: str, seed: int, as_json: bool, **more) -> int:
    """The exit status: 1 if anything broke.

    :param more: what this rehearsal takes besides.
    """
    tally, began = ScenarioReport(), time.monotonic()
    import_module(f"quartzrouter.fault_scenarios.{name}").rehearse(seed, tally, **more)
    took = round(time.monotonic() - began, 1)
    if as_json:
        told = {"name": name, "seed": seed, "seconds": took, "figures": tally.figures, "broken": tally.broken}
        print(json.dumps(told, indent=2))
        return bool(tally.broken)
    for what, figure in tally.figures.items():
        print(f"{what:46} {figure}")
    for broken in tally.broken:
        print(f"broken: {broken}")
    print(f"{name}, seed {seed}: {len(tally.broken)} broken, {took} s")
    return bool(tally.broken)
