"""A guard against an event loop that spins: iterations that repeat without progress, whatever the cause.

A router that spins uses up the CPU that its requests need, and nothing else shows it: it is alive and
responds, but late. Progress is an event of a request or of the endpoint list that the state machine has
handled. This module makes no decisions about requests: it logs a spin and slows it down.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from quartzrouter.server.event_loop import EventLoop
from quartzrouter.server.rate_limited_log import RateLimitedLog

MIN_PAUSE = 0.001  # seconds; the minimum pause of an iteration that is slowed down, doubled without progress
MAX_PAUSE = 0.008  # seconds; the limit of the doubling: a final response is delayed by no more

IDLE_TICKS_PER_STEP = 32  # successive timer ticks without an effect after which the pause is doubled

CHECK_INTERVAL = 0.25  # seconds between two checks; a spin that lasts for a few of them harms no request
# Nanoseconds of CPU time between two checks; a spin that uses less than a tenth of a core isn't logged.
MIN_CPU = 25_000_000
# Nanoseconds of CPU time for an event above which a sample is taken; about 250,000 are usual.
MAX_CPU_PER_EVENT = 1_500_000
# Seconds for which callbacks are counted: there are hundreds of them in a spin, a few in a working router.
SAMPLE_DURATION = 0.03
# Seconds between two checks if the last samples found nothing, as on a slow machine that doesn't spin.
MAX_CHECK_INTERVAL = 16.0
MIN_REPEATS = 60  # runs of one callback in a sample that count as a spin
# Runs of one callback for each event that count as a spin; a request's tasks need a handful of each kind.
MIN_REPEATS_PER_EVENT = 25
# Seconds for which iterations are slowed down before the next check, doubled while the spin goes on.
SLOWDOWN = 1.0
MAX_SLOWDOWN = 16.0  # seconds; the limit of the doubling


class TickGuard:
    """Determines the minimum time between two timer ticks of the state machine.

    Guards against a timer that is always due, and against a decision that always defers by no time: both
    would make the loop run ticks endlessly. Ticks without an effect whose next tick is due at once are
    counted; many of them in a row lengthen the pause.

    :param log: receives a line that names the timer.
    """

    def __init__(self, log: RateLimitedLog):
        self.log = log
        self.pause = MIN_PAUSE  # seconds
        self._idle_ticks = 0  # in a row

    def record_tick(self, made_progress: bool, due_again: str | None) -> None:
        """Records a timer tick.

        :param made_progress: the tick had effects, or another event was handled since the last tick.
        :param due_again: description of the timer that is due at once again, if there is one.
        """
        if made_progress or due_again is None:
            self.pause = MIN_PAUSE
            self._idle_ticks = 0
            return
        self._idle_ticks += 1
        if self._idle_ticks % IDLE_TICKS_PER_STEP == 0:
            self.pause = min(2 * self.pause, MAX_PAUSE)
        is_power_of_two = not self._idle_ticks & (self._idle_ticks - 1)
        if self._idle_ticks >= 2 * IDLE_TICKS_PER_STEP and is_power_of_two:  # 64, 128, 256 ...
            found = f"{self._idle_ticks} timer ticks in a row without effect; due again: {due_again}"
            self.log.say("event loop", f"{found}; ticks now {1e3 * self.pause:.0f} ms apart")


class SpinGuard:
    """Compares CPU time with progress, samples callbacks if they don't match, and slows down a spin.

    A check costs two reads of a clock. Only if it finds too much CPU time for the events does it start a
    sample, which counts every callback for ``SAMPLE_DURATION``. The loop has to be an ``EventLoop``.

    :param event_count: returns how many events were handled so far, except for ticks without effects.
    :param log: receives a line that names what spins.
    """

    loop: EventLoop

    def __init__(self, event_count: Callable[[], int], log: RateLimitedLog):
        self._event_count = event_count
        self._log = log
        self._check_interval = CHECK_INTERVAL
        self._slowdown = SLOWDOWN
        self._callback_counts: Counter[str] = Counter()
        self._cpu_at_check = 0  # nanoseconds of CPU time at the last check
        self._events_at_check = 0  # event count at the last check or at the start of the sample
        self._events_at_pause = 0
        self._pause = MIN_PAUSE
        self._slow_until = 0.0  # seconds of the loop's clock

    def start(self) -> None:
        """Starts the checks in the running loop."""
        self.loop = asyncio.get_running_loop()
        self._schedule_check()

    def _schedule_check(self) -> None:
        self._cpu_at_check = time.thread_time_ns()
        self._events_at_check = self._event_count()
        self.loop.call_later(self._check_interval, self._check)

    def _check(self) -> None:
        cpu = time.thread_time_ns() - self._cpu_at_check
        events = self._event_count() - self._events_at_check
        if cpu < MIN_CPU or cpu < MAX_CPU_PER_EVENT * (events + 1):
            self._check_interval = CHECK_INTERVAL
            self._schedule_check()
            return
        self._callback_counts.clear()
        self._events_at_check = self._event_count()
        self.loop.start_counting(self._callback_counts)
        self.loop.call_later(SAMPLE_DURATION, self._evaluate_sample, cpu, events)

    def _evaluate_sample(self, cpu: int, events: int) -> None:
        """Decides by a sample if the loop spins; if so, logs one line and slows the loop down.

        The figures of the line concern two intervals. "ms of CPU for ... events" concerns the check interval
        before the sample: the CPU time of the loop's thread, and the events that the state machine handled.
        "ran ... times in ... ms for ..." concerns the sample: the runs of the most frequent callback, the
        length of the sample, and the events handled during it. The rest is the remedy: the shortest and the
        longest pause of an iteration, and for how long the loop is slowed down.

        :param cpu: nanoseconds of CPU time in the check interval.
        :param events: number of events handled in the check interval, except for ticks without effects.
        """
        self.loop.stop_counting()
        events_in_sample = self._event_count() - self._events_at_check
        most_common = self._callback_counts.most_common(1) or [("", 0)]
        callback, repeats = most_common[0]
        if repeats < MIN_REPEATS or repeats < MIN_REPEATS_PER_EVENT * (events_in_sample + 1):
            self._check_interval = min(2 * self._check_interval, MAX_CHECK_INTERVAL)
            self._slowdown = SLOWDOWN
            self._schedule_check()
            return
        found = f"{cpu / 1e6:.0f} ms of CPU for {events} events"
        sample = f"{callback} ran {repeats} times in {1e3 * SAMPLE_DURATION:.0f} ms for {events_in_sample}"
        pauses = f"{1e3 * MIN_PAUSE:.0f} to {1e3 * MAX_PAUSE:.0f} ms"
        remedy = f"each iteration pauses {pauses} for the next {self._slowdown:.0f} s"
        self._log.say("event loop", f"spinning: {found}; {sample}; {remedy}")
        self._slow_down()

    def _slow_down(self) -> None:
        self._slow_until = self.loop.time() + self._slowdown
        self._slowdown = min(2 * self._slowdown, MAX_SLOWDOWN)
        self._events_at_pause = self._event_count()
        self._pause = MIN_PAUSE
        self.loop.call_soon(self._pause_iteration)

    def _pause_iteration(self) -> None:
        """Sleeps once in each iteration until the slowdown is over; sleeps shorter if there is progress."""
        if self.loop.time() >= self._slow_until:
            self._check_interval = CHECK_INTERVAL
            self._schedule_check()
            return
        made_progress = self._event_count() != self._events_at_pause
        self._pause = MIN_PAUSE if made_progress else min(2 * self._pause, MAX_PAUSE)
        self._events_at_pause = self._event_count()
        time.sleep(self._pause)
        self.loop.call_soon(self._pause_iteration)
