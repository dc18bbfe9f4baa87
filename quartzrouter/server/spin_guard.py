"""A guard against an event loop that spins: iterations that repeat without progress, whatever makes them.

A router that spins burns the CPU that its requests need, and nothing else shows it: it is alive and
responds, late. Progress is an event of a request or of the endpoint list that the state machine has
handled. Nothing here decides about requests: a spin is named in the log and slowed down.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from quartzrouter.server.event_loop import EventLoop
from quartzrouter.server.rate_limited_log import RateLimitedLog

MIN_PAUSE = 0.001  # s that an iteration takes at least while it is slowed down ...
MAX_PAUSE = 0.008  # ... doubling to this without progress: a final response comes no later than that

IDLE_TICKS_PER_STEP = 32  # timer ticks in a row without an effect until the pause between two doubles

CHECK_INTERVAL = 0.25  # s between two checks: a few lost to a spin harm no request
MIN_CPU = 25_000_000  # ns of CPU between two checks: under a tenth of them, a spin isn't worth a line
MAX_CPU_PER_EVENT = 1_500_000  # ns of CPU for an event that arouse suspicion; about 250,000 are usual
SAMPLE_DURATION = 0.03  # s of counted callbacks: hundreds of a spin, a few of a router that works
MAX_CHECK_INTERVAL = 16.0  # s, where the last samples found nothing: a slow machine is no spin
MIN_REPEATS = 60  # runs of one callback in a sample that make a spin, and ...
MIN_REPEATS_PER_EVENT = 25  # ... for each event: a request's tasks take a handful of each kind
SLOWDOWN = 1.0  # s for which iterations are slowed down until the next check, at first ...
MAX_SLOWDOWN = 16.0  # ... doubling to this while the same is found again


class TickGuard:
    """The least time between two timer ticks of the state machine.

    Guards against a timer that is always due and against a decision that always says "now": both would
    have the loop run ticks without end. Each tick that does nothing, with the next due at once, counts;
    many of them in a row lengthen the pause.

    :param log: is told which timer it is.
    """

    def __init__(self, log: RateLimitedLog):
        self.log = log
        self.pause = MIN_PAUSE  # s
        self._idle_ticks = 0  # in a row

    def record_tick(self, made_progress: bool, due_again: str | None) -> None:
        """Notes that a tick was played.

        :param made_progress: it had effects, or another event has come since the last tick.
        :param due_again: what the timer is for that is due at once again, if there is one.
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
            what = f"{self._idle_ticks} timer ticks in a row without effect; due again: {due_again}"
            self.log.say("event loop", f"{what}; ticks now {1e3 * self.pause:.0f} ms apart")


class SpinGuard:
    """Compares CPU time with progress, samples callbacks where they don't fit, and slows down what spins.

    A check costs two reads of a clock; only suspicion starts a sample, which counts every callback for
    ``SAMPLE_DURATION``. Its loop is an ``EventLoop``.

    :param event_count: how many events were handled so far, ticks without effects left out.
    :param log: is told what spins.
    """

    loop: EventLoop

    def __init__(self, event_count: Callable[[], int], log: RateLimitedLog):
        self._event_count = event_count
        self._log = log
        self._check_interval = CHECK_INTERVAL
        self._slowdown = SLOWDOWN
        self._callback_counts: Counter[str] = Counter()
        self._cpu_at_check = 0  # ns
        self._events_at_check = 0  # also at the start of a sample
        self._events_at_pause = 0
        self._pause = MIN_PAUSE
        self._slow_until = 0.0  # s of the loop's clock

    def start(self) -> None:
        """Checks from now on, within the running loop."""
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
        self.loop.call_later(SAMPLE_DURATION, self._judge_sample, cpu, events)

    def _judge_sample(self, cpu: int, events: int) -> None:
        """Decides by a sample whether the loop spins; if so, says it in one line and slows the loop down.

        The line's figures are of two intervals. "ms of CPU for ... events" is of the check interval
        before the sample: CPU time of the loop's thread, and events that the state machine
        handled. "ran ... times in ... ms for ..." is of the sample: runs of the callback that ran most
        often, the length of the sample, and events handled during it. The rest is the remedy: the shortest
        and the longest pause of an iteration, and for how long the loop is slowed down.

        :param cpu: ns of CPU time in the check interval.
        :param events: handled in the check interval, ticks without effects left out.
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
        """Sleeps once in each iteration until the slowdown is over; shorter where there is progress."""
        if self.loop.time() >= self._slow_until:
            self._check_interval = CHECK_INTERVAL
            self._schedule_check()
            return
        made_progress = self._event_count() != self._events_at_pause
        self._pause = MIN_PAUSE if made_progress else min(2 * self._pause, MAX_PAUSE)
        self._events_at_pause = self._event_count()
        time.sleep(self._pause)
        self.loop.call_soon(self._pause_iteration)
