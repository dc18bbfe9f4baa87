"""The event loop under every process of the program: uvloop, with deadlines that it can keep."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from typing import Any

import uvloop

CLOCK_RESOLUTION = 1_000  # ticks a second: uvloop's clock and its timers go by whole milliseconds
LATE_AFTER = 0.02  # s behind its time at which a timer counts as late: usual iterations take a few ms
# Iterations that a late timer lets pass: what has arrived is read, its task runs, and its event is handled.
LATE_TIMER_ITERATIONS = 6
# Methods that have a callback run, with the position of the callback among their arguments.
SCHEDULING_METHODS = {"call_soon": 0, "call_at": 1, "call_later": 1}


class EventLoop(uvloop.Loop):
    """A uvloop whose timers never fire ahead of their time.

    uvloop rounds a timer to the nearest millisecond of a clock that goes by milliseconds. One set for
    12.3 ms fires at 12 ms of that clock; a cancel scope then finds its deadline still ahead and sets its
    timer anew, which for less than half a millisecond means at once, and so spins until the clock has gone
    on. Rounded up to a whole millisecond, a deadline has passed when its timer fires.

    Callbacks can be counted for a while (``start_counting``), which costs too much to do all the time.
    """

    callback_counts: Counter[str] | None = None

    def call_at(
        self, when: float, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Schedules a callback, as asyncio's loop does.

        :param when: s of this loop's clock; the callback runs up to a millisecond later.
        """
        timer = PendingTimer(self, math.ceil(when * CLOCK_RESOLUTION) / CLOCK_RESOLUTION, callback, args)
        timer.handle = super().call_at(timer.when, timer, context=context)
        return timer.handle

    def add_reader(self, fd: Any, callback: Callable[..., object], *args: Any) -> None:
        """Watches a descriptor for bytes to read, as asyncio's loop does."""
        super().add_reader(fd, self._run_reader, callback, args)

    def _run_reader(self, callback: Callable[..., object], args: tuple) -> None:
        if self.callback_counts is not None:
            self.callback_counts[callback_name(callback)] += 1
        callback(*args)

    def start_counting(self, counts: Counter[str]) -> None:
        """Counts what is scheduled from now on, until ``stop_counting``.

        :param counts: filled by name of the callback.
        """
        self.callback_counts = counts
        for method_name, callback_position in SCHEDULING_METHODS.items():
            method = getattr(self, method_name)
            setattr(self, method_name, self._counting(method, callback_position))

    def stop_counting(self) -> None:
        """Ends the counting; scheduling costs what it did before."""
        self.callback_counts = None
        for method_name in SCHEDULING_METHODS:
            delattr(self, method_name)

    def _counting(self, method: Callable[..., Any], callback_position: int) -> Callable[..., Any]:
        def counted(*arguments: Any, **keywords: Any) -> Any:
            self.callback_counts[callback_name(arguments[callback_position])] += 1
            return method(*arguments, **keywords)

        return counted


class PendingTimer:
    """What a timer runs at its time.

    Guards against timeouts that go ahead of responses: a loop that has stood still (the process was
    stopped, or got no CPU) runs its timers before it looks at what has arrived meanwhile, so requests
    whose responses are there would time out. A late timer therefore lets some iterations go first.

    :param when: s of the loop's clock.
    """

    __slots__ = ("args", "callback", "handle", "iterations_left", "loop", "when")

    def __init__(self, loop: EventLoop, when: float, callback: Callable[..., object], args: tuple):
        self.loop = loop
        self.when = when
        self.callback = callback
        self.args = args
        self.iterations_left = LATE_TIMER_ITERATIONS
        self.handle: asyncio.TimerHandle | None = None

    def __call__(self) -> None:
        """Runs the callback, or comes back at the next iteration where the loop is late."""
        if self.iterations_left and self.loop.time() - self.when > LATE_AFTER:
            self.iterations_left -= 1
            self.loop.call_soon(self)
        elif not self.handle.cancelled():
            self.callback(*self.args)


def callback_name(callback: Any) -> str:
    """Names what a callback of the loop does: the task whose step it is, else the function."""
    callback = getattr(callback, "callback", callback)
    task = getattr(callback, "__self__", None)
    if isinstance(task, asyncio.Task):
        return task.get_name()
    return getattr(callback, "__qualname__", None) or type(callback).__name__


BACKEND_OPTIONS = {"loop_factory": EventLoop}  # ``backend_options`` of anyio.run
