"""Each guard of what a fleet shares and of leases taken out, by processes: the checkers must see it."""

from quartzrouter.fault_scenarios import ScenarioReport, leases, sharing, warming


def rehearse(seed: int, tally: ScenarioReport) -> None:
    for guard in sharing.SCENES:
        there, out = sharing.killed(seed, guard)
        _told(tally, guard, there.broken, out.broken, f"{_over(there)}; taken out by {_over(out)}")
    for guard in warming.SCENES:
        there, out = warming.killed(seed, guard)
        _told(tally, guard, there > 0, out > 0, f"over by {there:.0f}; taken out by {out:.0f}")
    for guard in leases.SCENES:
        there, out = leases.killed(seed, guard)
        _told(tally, guard, there.broken, out.broken, f"{_acts(there)}; taken out {_acts(out)}")


def _told(tally: ScenarioReport, guard: str, there: bool, out: bool, figures: str) -> None:
    tally.figures[guard] = figures
    tally.expect(not there, f"{guard}: broken with all guards in place")
    tally.expect(out, f"{guard}: taken out, and no checker sees it")


def _over(seen) -> str:
    return f"over the bound by {seen.over_slots} in hand, {seen.over_rate:.0f} in a window"


def _acts(seen) -> str:
    return f"{len(seen.overlaps)} acts at the same moment, {len(seen.falls)} of a lower number"
