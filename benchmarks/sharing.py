"""What shared state costs a ledger, and how soon limits are used in full again after a cut: tables.

python benchmarks/sharing.py [words] [cuts]
"""

import random
import sys
import time
from dataclasses import replace
from functools import partial

from quartzrouter.fault_harness import history_checks
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios.sharing import FEW, RATE, play
from quartzrouter.fleet_health.aggregator import HealthAggregator
from quartzrouter.fleet_health.messages import CacheObservation
from quartzrouter.fleet_health.reports import REPORT_INTERVAL
from quartzrouter.purges import messages as lines
from quartzrouter.purges.messages import EjectionVerdicts, HealthReport, QuotaGrants, QuotaRequests
from quartzrouter.quota.allocator import QuotaAllocator
from quartzrouter.quota.budget import Budget
from quartzrouter.quota.messages import QuotaRequest
from quartzrouter.quota.slow_start_allocator import SlowStartAllocator
from quartzrouter.quota.slow_start_messages import SlowStartRequest, SlowStartTerms

S = 1_000_000
SECONDS = 4
BUDGETS = [
    Budget(f"b{n}", rate=100.0, burst=20.0, slots=40, max_request_time=S, routers=200) for n in range(4)
]
TERMS = SlowStartTerms(S, 0.2, 200, 500_000)
CACHES, BUSY, COLD = 40, 10, 2  # of a store, in use at one router, cold
SHAPE = replace(FEW, rate=80, burst=16, demand=120.0, uneven=1 / 6, slots=4_000, slot_floors="100%", askers=0)


def words() -> None:
    """A ledger's work for N routers in a second: lines read, decided and written, in one process."""
    print("members  lines/s in, out  ms of CPU a second: read, decide, write")
    for members in (12, 24, 200):
        granter, warming, council = (
            QuotaAllocator(BUDGETS, 0, first_allocator=True),
            SlowStartAllocator({"cache": TERMS}, 0),
            HealthAggregator(),
        )
        spent, counted, now, numbers = [0.0, 0.0, 0.0], [0, 0], 100 * S, 0
        for tick in range(SECONDS * 20):
            now += 50_000
            for n in range(members):
                said = []
                if tick % 5 == n % 5:  # four asks a second, for four budgets
                    numbers += 1
                    told = (f"r{n}", "t", numbers, 20.0, 1.0, 2, 5)
                    asks = tuple(QuotaRequest(b.name, *told, b.figures) for b in BUDGETS)
                    cold = (S, S, 0, 50_000, TERMS.figures)
                    colds = tuple(SlowStartRequest(f"n{c}", "cache", numbers, *cold) for c in range(COLD))
                    said.append(lines.encode_line(QuotaRequests(asks, colds)))
                if tick % 4 == n % 4:
                    sights = tuple(
                        CacheObservation(f"n{(n + c) % CACHES}", False, 4, 0, 1, 4) for c in range(BUSY)
                    )
                    said.append(lines.encode_line(HealthReport("north", sights, CACHES, True)))
                for line in said:
                    counted[0] += 1
                    began = time.process_time()
                    heard = lines.decode_to_purge_log(line)
                    read = time.process_time()
                    answer = None
                    if isinstance(heard, QuotaRequests):
                        given = tuple(granter.ask(each, now) for each in heard.asks)
                        parts = tuple(warming.ask(each, f"r{n}", "t", now) for each in heard.colds)
                        answer = QuotaGrants(given, {}, parts)
                    else:
                        council.record_report(f"r{n}", "t", heard.store, heard.sights, now, heard.caches)
                    decided = time.process_time()
                    if answer:
                        counted[1] += 1
                        lines.encode_line(answer)
                    spent[0] += read - began
                    spent[1] += decided - read
                    spent[2] += time.process_time() - decided
            if now % REPORT_INTERVAL == 0:
                began = time.process_time()
                judged = council.verdicts("north", now)
                loads = {each.cache: each.in_flight for each in council.loads("north", now)}
                decided = time.process_time()
                for _ in range(members):
                    counted[1] += 1
                    lines.encode_line(EjectionVerdicts(judged, loads))
                spent[1] += decided - began
                spent[2] += time.process_time() - decided
        ms = [each / SECONDS * 1000 for each in spent]
        rates = [each / SECONDS for each in counted]
        print(f"{members:7} {rates[0]:8.0f} {rates[1]:8.0f}   {ms[0]:.1f}, {ms[1]:.1f}, {ms[2]:.1f}")


def cuts() -> None:
    """Six routers cut off from both ledgers, both ways: the rate used before, in the cut, and after it."""
    print("cut s   used before, in it, in the second after, in the next; s until nine tenths of before")
    for lasts in (1, 10, 60):
        shape = replace(SHAPE, seconds=lasts + 12.0)
        faults = [Fault(5_000, "cut", f"r{n}", lasts * 1000) for n in range(6)]
        seen = play(random.Random(1), shape, faults)
        reqs, at = history_checks.let_through(seen.fleet.history, RATE), seen.began + 5 * S
        heals = at + lasts * S
        used = partial(history_checks.rate, reqs)
        before = used(at - 2 * S, at)
        steps = range(0, 6 * S, 50_000)
        back = next((n for n in steps if used(heals + n, heals + n + S) >= 0.9 * before), None)
        told = (before, used(at + S // 2, heals), used(heals, heals + S), used(heals + S, heals + 2 * S))
        shown = " ".join(f"{each:6.1f}" for each in told)
        print(f"{lasts:5}   {shown}   {'none' if back is None else back / S}")


if __name__ == "__main__":
    for what in sys.argv[1:] or ("words", "cuts"):
        {"words": words, "cuts": cuts}[what]()
