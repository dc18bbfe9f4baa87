"""A guard against turns of the loop that repeat without progress, whatever makes them.

A router that spins burns the CPU its reqs need, and nothing else shows it: it is alive and answers, late.
Progress is an event of a req or of the lists that the reducer has played; a turn is anything that the loop
runs.  Nothing here decides about reqs.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from quartzrouter.server.rate_limited_log import RateLimitedLog

LOOK_EVERY = 0.25  # s between looks: a few lost to a spin harm no req
CPU_LEAST = 25_000_000  # ns of CPU between two looks: under a tenth of them, a spin isn't worth a word
CPU_EACH = 1_500_000  # ns of CPU for a step of progress that arouse suspicion; about 250,000 are usual
WATCHED = 0.03  # s of a close look: some hundreds of turns of a spin, a few of a router that works
WATCH_MOST = 16.0  # s until the next close look where the last ones found nothing: a slow machine is no spin
TURNS_LEAST = 60  # turns of one thing in a close look, and ...
TURNS_EACH = 25  # ... for a step of progress: a req's tasks take a handful of each kind
FLOOR = 0.001  # s that a turn then takes at the least, for as long as there is no progress ...
FLOOR_MOST = 0.008  # ... doubling to this: a final answer comes no later than that
BRAKED = 1.0  # s for which a brake stays on before the next look, at first ...
BRAKED_MOST = 16.0  # ... doubling to this while the same is found again
BARREN = 32  # ticks in a row without an effect until the time between two of them doubles


class TickGuard:
    """The time between two ticks: a timer that is always due, or a decision that always says now, waits."""

    def __init__(self, report: RateLimitedLog):
        self.report, self.floor, self.barren = report, FLOOR, 0

    def played(self, progress: bool, again: str | None) -> None:
        """Notes a tick.

        :param progress: it had effects, or another event has come since the last one.
        :param again: the timer that is due at once, if there is one.
        """
        if progress or again is None:
            self.floor, self.barren = FLOOR, 0
            return
        self.barren += 1
        if self.barren % BARREN == 0:
            self.floor = min(2 * self.floor, FLOOR_MOST)
        if self.barren >= 2 * BARREN and not self.barren & (self.barren - 1):  # 64, 128, 256 ...
            told = f"{self.barren} ticks in a row with nothing done; due again: {again}"
            self.report.say("turns", f"{told}; {1e3 * self.floor:.0f} ms between two now")


class SpinGuard:
    """Looks at CPU against progress, closely where they don't fit, and brakes what spins.

    :param progress: how many events have been played so far, ticks without effects left out.
    """

    def __init__(self, progress: Callable[[], int], report: RateLimitedLog):
        self.progress, self.report = progress, report
        self.every, self.braked_for = LOOK_EVERY, BRAKED
        self._seen: Counter[str] = Counter()
        self._last, self._floor, self._until = 0, FLOOR, 0.0

    def start(self) -> None:
        """Looks from now on, within the running loop."""
        self.loop = asyncio.get_running_loop()
        self._begin(self.every)

    def _begin(self, after: float) -> None:
        self._cpu, self._done = time.thread_time_ns(), self.progress()
        self.loop.call_later(after, self._look)

    def _look(self) -> None:
        cpu, done = time.thread_time_ns() - self._cpu, self.progress() - self._done
        if cpu < CPU_LEAST or cpu < CPU_EACH * (done + 1):
            self.every = LOOK_EVERY
            self._begin(self.every)
            return
        self._seen.clear()
        self._done = self.progress()
        self.loop.watch(self._seen)
        self.loop.call_later(WATCHED, self._judge, cpu, done)

    def _judge(self, cpu: int, done: int) -> None:
        self.loop.unwatch()
        did, (what, times) = self.progress() - self._done, (self._seen.most_common(1) or [("", 0)])[0]
        if times < TURNS_LEAST or times < TURNS_EACH * (did + 1):
            self.every, self.braked_for = min(2 * self.every, WATCH_MOST), BRAKED
            self._begin(self.every)
            return
        repeats = f"{what} {times} times in {1e3 * WATCHED:.0f} ms for {did}"
        brake = f"a turn takes {1e3 * FLOOR:.0f} to {1e3 * FLOOR_MOST:.0f} ms for {self.braked_for:.0f} s now"
        self.report.say("turns", f"{cpu / 1e6:.0f} ms of CPU for {done} events; {repeats}; {brake}")
        self._until = self.loop.time() + self.braked_for
        self.braked_for = min(2 * self.braked_for, BRAKED_MOST)
        self._last, self._floor = self.progress(), FLOOR
        self.loop.call_soon(self._brake)

    def _brake(self) -> None:
        if self.loop.time() >= self._until:
            self.every = LOOK_EVERY
            self._begin(self.every)
            return
        self._floor = min(2 * self._floor, FLOOR_MOST) if self.progress() == self._last else FLOOR
        self._last = self.progress()
        time.sleep(self._floor)
        self.loop.call_soon(self._brake)
