"""Each guard of shared limits taken out in a scene of processes made for it: the checkers must see it."""

from quartzrouter.rehearse import Tally
from quartzrouter.rehearse.sharing import SCENES, killed


def rehearse(seed: int, tally: Tally) -> None:
    for guard in SCENES:
        there, out = killed(seed, guard)
        tally.figures[guard] = f"over the bound by {_over(there)}; taken out by {_over(out)}"
        tally.expect(not there.broken, f"{guard}: broken with all guards in place")
        tally.expect(out.broken, f"{guard}: taken out, and no checker sees it")


def _over(seen) -> str:
    return f"{seen.over_slots} in hand, {seen.over_rate:.0f} in a window"
