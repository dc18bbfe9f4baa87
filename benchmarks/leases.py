"""What leases cost, and for how long a task has no holder: tables on standard output.

python benchmarks/leases.py [words] [gaps]
"""

import random
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from quartzrouter.fault_harness import history_checks
from quartzrouter.fault_scenarios.leases import Fault, ScenarioSize, play
from quartzrouter.leases.acceptor import Acceptor
from quartzrouter.leases.proposer import Proposer, SendToAcceptors
from quartzrouter.leases.terms import LeaseTerms, VoteRelease, VoteReply

S = 1_000_000
STEP = 5_000  # us
SECONDS = 20
PLAYS = 3  # of each kind
FAULTS = 5  # in one play
SHAPE = ScenarioSize(
    keepers=5, claimants=4, length="1s", drift=200, line_fault_rate=0.0, seconds=5.0 * FAULTS
)
KINDS = {
    "killed": ("kill", 500),
    "stopped": ("stop", 2_500),
    "cut off": ("cut", 2_500),
    "told to stop": ("end", 100),
}


def words() -> None:
    """Five keepers, 20 tasks, 200 claimants that all want all: decisions alone, at true time."""
    terms = LeaseTerms(tuple(f"k{n}" for n in range(5)), tasks=tuple((f"t{n}", ()) for n in range(20)))
    now, said = 10 * S, 0
    keepers = [Acceptor(terms, name, 0) for name in terms.acceptors]
    claims = [Proposer(terms, task, f"c{n}", f"x{n}", now) for n in range(200) for task, _ in terms.tasks]
    began, cpu = now, time.process_time()
    held = 0
    while now < began + SECONDS * S:
        now += STEP
        for claim in claims:
            if claim.time_until_due(now) > 0:
                continue
            todo = list(claim.tick(now, now // 1000))
            while todo:
                effect = todo.pop(0)
                if not isinstance(effect, SendToAcceptors):
                    continue
                for keeper in keepers:
                    said += 1
                    if isinstance(effect.message, VoteRelease):
                        for name in keeper.release(effect.message, now):
                            next(
                                c for c in claims if (c.name, c.task) == (name, effect.message.task)
                            ).handle_vote_available(now)
                    elif isinstance(answer := keeper.vote(effect.message, now), VoteReply):
                        todo += claim.handle_reply(answer, now)
    held = sum(claim.may_act(now) for claim in claims)
    took = time.process_time() - cpu
    rate, each = said / SECONDS, took / said * 1e6
    print(f"5 keepers, 20 tasks, 200 claimants, leases of 3 s: {held} held")
    print(f"{rate:.0f} words a second to all keepers, a line carries many; {each:.1f} us of CPU a word")


def gaps() -> None:
    """Processes: from the fault until the next lease acts; for a hand-over from the last act."""
    print(f"{'holder':14} {'times':>6} {'median':>9} {'p99':>9} {'worst':>9}   s, lease {SHAPE.length}")
    with ProcessPoolExecutor(len(KINDS), mp_context=get_context("spawn")) as pool:
        for name, found in zip(KINDS, pool.map(_gaps, KINDS.values()), strict=True):
            p99 = found[min(len(found) - 1, int(0.99 * len(found)))]
            told = (statistics.median(found) / S, p99 / S, found[-1] / S)
            print(f"{name:14} {len(found):6} " + " ".join(f"{figure:9.3f}" for figure in told))


def _gaps(of: tuple[str, int]) -> list[int]:
    kind, lasts = of
    found: list[int] = []
    for seed in range(PLAYS):
        faults = [Fault(1_500 + 5_000 * n, "holder", kind, lasts) for n in range(FAULTS)]
        seen = play(random.Random(seed), SHAPE, faults)
        acts = history_checks.actions(seen.fleet.history)
        for each in (one for one in seen.fleet.history.events_of("fault") if one.details["kind"] == kind):
            before = [act for act in acts if act.actor == each.actor and act.began_at < each.time + 200_000]
            number = before[-1].fencing_token if before else 0
            after = [act.began_at for act in acts if act.fencing_token > number and act.began_at > each.time]
            if before and after:
                last = max(each.time, before[-1].began_at) if kind == "end" else each.time
                found.append(min(after) - last)
    return sorted(found)


if __name__ == "__main__":
    for what in sys.argv[1:] or ("words", "gaps"):
        {"words": words, "gaps": gaps}[what]()
