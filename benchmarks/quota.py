"""Measures what shared state costs a purge log, and how soon limits are used in full after a cut.

python benchmarks/quota.py [words] [cuts]
"""

import random
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from functools import partial

from quartzrouter.fault_harness import history_checks
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_scenarios.quota_fleet import RATE_PATH
from quartzrouter.fault_scenarios.quota_mutation_scenes import SMALL
from quartzrouter.fault_scenarios.quota_play import play
from quartzrouter.fleet_health.aggregator import HealthAggregator
from quartzrouter.fleet_health.messages import CacheObservation
from quartzrouter.fleet_health.reports import REPORT_INTERVAL
from quartzrouter.purges.messages import (
    EjectionVerdicts,
    HealthReport,
    QuotaGrants,
    QuotaRequests,
    decode_to_purge_log,
    encode_line,
)
from quartzrouter.quota.allocator import QuotaAllocator
from quartzrouter.quota.budget import SECOND, Budget
from quartzrouter.quota.messages import QuotaRequest
from quartzrouter.quota.slow_start_allocator import SlowStartAllocator
from quartzrouter.quota.slow_start_messages import SlowStartRequest, SlowStartTerms

SIMULATED_SECONDS = 4
TICK = 50_000  # microseconds
TICKS_PER_SECOND = SECOND // TICK
QUOTA_TICKS = 5  # between two quota requests of a router: four per second
HEALTH_TICKS = 4  # between two health reports of a router: five per second
BUDGETS = [
    Budget(f"b{index}", rate=100.0, burst=20.0, slots=40, max_request_time=SECOND, routers=200)
    for index in range(4)
]
TERMS = SlowStartTerms(window=SECOND, guaranteed_share=0.2, routers=200, grant_ttl=500_000)
CACHES = 40  # of the store
USED_CACHES = 10  # that one router uses
STARTING_CACHES = 2  # that are warming up
SIZE = replace(
    SMALL,
    rate=80,
    burst=16,
    demand=120.0,
    first_router_share=1 / 6,
    slots=4_000,
    slots_guarantee="100%",
    slot_clients=0,
)


@dataclass
class Stopwatch:
    """Sums up the processor time of blocks, in seconds."""

    seconds: float = 0.0

    @contextmanager
    def running(self) -> Iterator[None]:
        """Adds the processor time of the block."""
        began = time.process_time()
        yield
        self.seconds += time.process_time() - began


class PurgeLogWork:
    """The work of a purge log for some routers: it reads their lines, decides, and writes its answers."""

    def __init__(self, routers: int):
        self.routers = routers
        self.quota = QuotaAllocator(BUDGETS, 0, first_allocator=True)
        self.slow_start = SlowStartAllocator({"cache": TERMS}, 0)
        self.health = HealthAggregator()
        self.now = 100 * SECOND
        self.last_sequence_number = 0
        self.lines_in = 0
        self.lines_out = 0
        self.reading = Stopwatch()
        self.deciding = Stopwatch()
        self.writing = Stopwatch()

    def run(self) -> None:
        """Runs all ticks."""
        for tick in range(SIMULATED_SECONDS * TICKS_PER_SECOND):
            self.now += TICK
            for router in range(self.routers):
                if tick % QUOTA_TICKS == router % QUOTA_TICKS:
                    self._receive(router, self._quota_requests(router))
                if tick % HEALTH_TICKS == router % HEALTH_TICKS:
                    self._receive(router, self._health_report(router))
            if self.now % REPORT_INTERVAL == 0:
                self._send_verdicts()

    def _quota_requests(self, router: int) -> bytes:
        self.last_sequence_number += 1
        number = self.last_sequence_number
        requests = tuple(
            QuotaRequest(budget.name, f"r{router}", "t", number, 20.0, 1.0, 2, 5, budget.terms_checksum)
            for budget in BUDGETS
        )
        slow_start = tuple(
            SlowStartRequest(f"n{cache}", "cache", number, SECOND, SECOND, 0, 50_000, TERMS.terms_checksum)
            for cache in range(STARTING_CACHES)
        )
        return encode_line(QuotaRequests(requests, slow_start))

    def _health_report(self, router: int) -> bytes:
        observations = tuple(
            CacheObservation(f"n{(router + cache) % CACHES}", False, 4, 0, 1, 4)
            for cache in range(USED_CACHES)
        )
        return encode_line(HealthReport("north", observations, CACHES, True))

    def _receive(self, router: int, line: bytes) -> None:
        self.lines_in += 1
        with self.reading.running():
            message = decode_to_purge_log(line)
        answer = None
        with self.deciding.running():
            if isinstance(message, QuotaRequests):
                answer = self._grants(router, message)
            else:
                self.health.record_report(
                    f"r{router}", "t", message.store, message.observations, self.now, message.cache_count
                )
        if answer:
            self.lines_out += 1
            with self.writing.running():
                encode_line(answer)

    def _grants(self, router: int, message: QuotaRequests) -> QuotaGrants:
        grants = tuple(self.quota.handle_request(request, self.now) for request in message.requests)
        slow_start = tuple(
            self.slow_start.handle_request(request, f"r{router}", "t", self.now)
            for request in message.slow_start_requests
        )
        return QuotaGrants(grants, {}, slow_start)

    def _send_verdicts(self) -> None:
        with self.deciding.running():
            verdicts = self.health.verdicts("north", self.now)
            loads = {load.cache: load.in_flight for load in self.health.loads("north", self.now)}
        with self.writing.running():
            for _ in range(self.routers):
                self.lines_out += 1
                encode_line(EjectionVerdicts(verdicts, loads))


def measure_work() -> None:
    """Prints a purge log's work per second, by the number of routers, in one process."""
    print("members  lines/s in, out  ms of CPU a second: read, decide, write")
    for routers in (12, 24, 200):
        work = PurgeLogWork(routers)
        work.run()
        lines = f"{work.lines_in / SIMULATED_SECONDS:8.0f} {work.lines_out / SIMULATED_SECONDS:8.0f}"
        stopwatches = (work.reading, work.deciding, work.writing)
        milliseconds = ", ".join(f"{each.seconds / SIMULATED_SECONDS * 1000:.1f}" for each in stopwatches)
        print(f"{routers:7} {lines}   {milliseconds}")


def measure_cuts() -> None:
    """Prints the rate used before, during and after a cut.

    Six routers are cut off from both purge logs in both directions.
    """
    print("cut s   used before, in it, in the second after, in the next; s until nine tenths of before")
    for cut_seconds in (1, 10, 60):
        size = replace(SIZE, seconds=cut_seconds + 12.0)
        faults = [Fault(5_000, "cut", f"r{router}", cut_seconds * 1000) for router in range(6)]
        result = play(random.Random(1), size, faults)
        admitted = history_checks.admission_intervals(result.fleet.history, RATE_PATH)
        used = partial(history_checks.arrival_rate, admitted)
        cut_at = result.began + 5 * SECOND
        healed_at = cut_at + cut_seconds * SECOND
        before = used(cut_at - 2 * SECOND, cut_at)
        recovery = next(
            (
                delay
                for delay in range(0, 6 * SECOND, TICK)
                if used(healed_at + delay, healed_at + delay + SECOND) >= 0.9 * before
            ),
            None,
        )
        rates = (
            before,
            used(cut_at + SECOND // 2, healed_at),
            used(healed_at, healed_at + SECOND),
            used(healed_at + SECOND, healed_at + 2 * SECOND),
        )
        shown = " ".join(f"{rate:6.1f}" for rate in rates)
        print(f"{cut_seconds:5}   {shown}   {'none' if recovery is None else recovery / SECOND}")


if __name__ == "__main__":
    for what in sys.argv[1:] or ("words", "cuts"):
        {"words": measure_work, "cuts": measure_cuts}[what]()
