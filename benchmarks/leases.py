"""Measures what leases cost and for how long a task has no holder; prints tables.

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

SECOND = 1_000_000
STEP = 5_000  # microseconds
SIMULATED_SECONDS = 20
PLAYS = 3  # of each kind of fault
FAULTS = 5  # in one play
SIZE = ScenarioSize(keepers=5, claimants=4, length="1s", drift=200, line_fault_rate=0.0, seconds=5.0 * FAULTS)
KINDS = {
    "killed": ("kill", 500),
    "stopped": ("stop", 2_500),
    "cut off": ("cut", 2_500),
    "told to stop": ("end", 100),
}


def measure_decisions() -> None:
    """Measures decisions alone, on one clock: five keepers, 200 claimants that all want each of 20 tasks."""
    terms = LeaseTerms(tuple(f"k{n}" for n in range(5)), tasks=tuple((f"t{n}", ()) for n in range(20)))
    now, message_count = 10 * SECOND, 0
    keepers = [Acceptor(terms, name, 0) for name in terms.acceptors]
    claims = [Proposer(terms, task, f"c{n}", f"x{n}", now) for n in range(200) for task, _ in terms.tasks]
    start, start_cpu = now, time.process_time()
    held = 0
    while now < start + SIMULATED_SECONDS * SECOND:
        now += STEP
        for claim in claims:
            if claim.time_until_due(now) > 0:
                continue
            effects = list(claim.tick(now, now // 1000))
            while effects:
                effect = effects.pop(0)
                if not isinstance(effect, SendToAcceptors):
                    continue
                for keeper in keepers:
                    message_count += 1
                    if isinstance(effect.message, VoteRelease):
                        for name in keeper.release(effect.message, now):
                            next(
                                each
                                for each in claims
                                if (each.name, each.task) == (name, effect.message.task)
                            ).handle_vote_available(now)
                    elif isinstance(answer := keeper.vote(effect.message, now), VoteReply):
                        effects += claim.handle_reply(answer, now)
    held = sum(claim.may_act(now) for claim in claims)
    cpu_seconds = time.process_time() - start_cpu
    rate, cpu_us = message_count / SIMULATED_SECONDS, cpu_seconds / message_count * 1e6
    print(f"5 keepers, 20 tasks, 200 claimants, leases of 3 s: {held} held")
    print(f"{rate:.0f} messages/s to all keepers, many in a line; {cpu_us:.1f} us of CPU per message")


def measure_gaps() -> None:
    """Measures, with processes, the time from a fault until the next lease acts.

    For a handover it starts at the last act.
    """
    print(f"{'holder':14} {'times':>6} {'median':>9} {'p99':>9} {'worst':>9}   s, lease {SIZE.length}")
    with ProcessPoolExecutor(len(KINDS), mp_context=get_context("spawn")) as pool:
        for name, durations in zip(KINDS, pool.map(_gaps, KINDS.values()), strict=True):
            p99 = durations[min(len(durations) - 1, int(0.99 * len(durations)))]
            figures = (statistics.median(durations) / SECOND, p99 / SECOND, durations[-1] / SECOND)
            print(f"{name:14} {len(durations):6} " + " ".join(f"{figure:9.3f}" for figure in figures))


def _gaps(fault_kind: tuple[str, int]) -> list[int]:
    """Returns the measured times in microseconds, in rising order.

    :param fault_kind: the kind of fault, and its duration in milliseconds.
    """
    kind, duration_ms = fault_kind
    durations: list[int] = []
    for seed in range(PLAYS):
        faults = [Fault(1_500 + 5_000 * n, "holder", kind, duration_ms) for n in range(FAULTS)]
        result = play(random.Random(seed), SIZE, faults)
        acts = history_checks.actions(result.fleet.history)
        for fault in (
            event for event in result.fleet.history.events_of("fault") if event.details["kind"] == kind
        ):
            before = [act for act in acts if act.actor == fault.actor and act.began_at < fault.time + 200_000]
            token = before[-1].fencing_token if before else 0
            after = [act.began_at for act in acts if act.fencing_token > token and act.began_at > fault.time]
            if before and after:
                since = max(fault.time, before[-1].began_at) if kind == "end" else fault.time
                durations.append(min(after) - since)
    return sorted(durations)


if __name__ == "__main__":
    for what in sys.argv[1:] or ("words", "gaps"):
        {"words": measure_decisions, "gaps": measure_gaps}[what]()
