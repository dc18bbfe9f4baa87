"""Scenario: guards of quota, slow start and leases are removed one by one; checkers must notice it."""

from quartzrouter.fault_scenarios import ScenarioReport, leases, quota_mutation_scenes, slow_start
from quartzrouter.fault_scenarios.quota_play import ScenarioResult


def rehearse(seed: int, report: ScenarioReport) -> None:
    """Plays each guard's scene with the guard and without it, which takes some minutes."""
    for mutation in quota_mutation_scenes.SCENES:
        guarded, mutated = quota_mutation_scenes.play_with_and_without(seed, mutation)
        figures = f"{_excess(guarded)}; taken out by {_excess(mutated)}"
        _report(report, mutation, guarded.broken, mutated.broken, figures)
    for mutation in slow_start.SCENES:
        guarded_excess, mutated_excess = slow_start.play_with_and_without(seed, mutation)
        figures = f"over by {guarded_excess:.0f}; taken out by {mutated_excess:.0f}"
        _report(report, mutation, guarded_excess > 0, mutated_excess > 0, figures)
    for mutation in leases.SCENES:
        guarded, mutated = leases.play_with_and_without(seed, mutation)
        figures = f"{_acts(guarded)}; taken out {_acts(mutated)}"
        _report(report, mutation, guarded.broken, mutated.broken, figures)


def _report(
    report: ScenarioReport, mutation: str, guarded_broke: bool, mutated_broke: bool, figures: str
) -> None:
    report.figures[mutation] = figures
    report.expect(not guarded_broke, f"{mutation}: violations with all guards in place")
    report.expect(mutated_broke, f"{mutation}: removed, and no checker notices it")


def _excess(result: ScenarioResult) -> str:
    return f"over the bound by {result.over_slots} in hand, {result.over_rate:.0f} in a window"


def _acts(result) -> str:
    return (
        f"{len(result.overlapping_actions)} acts at the same moment, "
        f"{len(result.decreasing_tokens)} of a lower number"
    )
