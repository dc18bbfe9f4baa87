"""The event loop of all processes of the program: uvloop with timers that never fire early."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from typing import Any

import uvloop

CLOCK_RESOLUTION = 1_000  # ticks a second: uvloop's clock and its timers use whole milliseconds
# Seconds behind its due time after which a timer counts as late; usual iterations take a few milliseconds.
LATE_AFTER = 0.02
# Iterations by which a late timer is deferred, so that arrived data is read, its task runs, and its event is
# handled.
LATE_TIMER_ITERATIONS = 6
# Methods that schedule a callback, with the position of the callback among their arguments.
SCHEDULING_METHODS = {"call_soon": 0, "call_at": 1, "call_later": 1}


class EventLoop(uvloop.Loop):
    """A uvloop event loop whose timers never fire early.

    uvloop rounds a timer to the nearest millisecond of a clock that counts milliseconds. A timer set for
    12.3 ms fires at 12 ms of that clock. A cancel scope then finds its deadline still ahead and sets its
    timer again, which for less than half a millisecond means at once, so it spins until the clock has
    advanced. Rounded up to a whole millisecond, a deadline has passed when its timer fires.

    Callbacks can be counted for a limited time (``start_counting``); counting always would cost too much.
    """

    callback_counts: Counter[str] | None = None

    def call_at(
        self, when: float, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Schedules a callback, as asyncio's loop does.

        :param when: seconds of this loop's clock; the callback runs up to a millisecond later.
        """
        timer = PendingTimer(self, math.ceil(when * CLOCK_RESOLUTION) / CLOCK_RESOLUTION, callback, args)
        timer.handle = super().call_at(timer.when, timer, context=context)
        return timer.handle

    def add_reader(self, fd: Any, callback: Callable[..., object], *args: Any) -> None:
        """Watches a descriptor until it is readable, as asyncio's loop does."""
        super().add_reader(fd, self._run_reader, callback, args)

    def _run_reader(self, callback: Callable[..., object], args: tuple) -> None:
        if self.callback_counts is not None:
            self.callback_counts[callback_name(callback)] += 1
        callback(*args)

    def start_counting(self, counts: Counter[str]) -> None:
        """Starts to count scheduled callbacks, until ``stop_counting``.

        :param counts: filled with the number of callbacks by their name.
        """
        self.callback_counts = counts
        for method_name, callback_position in SCHEDULING_METHODS.items():
            method = getattr(self, method_name)
            setattr(self, method_name, self._counting_method(method, callback_position))

    def stop_counting(self) -> None:
        """Stops the counting and its overhead."""
        self.callback_counts = None
        for method_name in SCHEDULING_METHODS:
            delattr(self, method_name)

    def _counting_method(self, method: Callable[..., Any], callback_position: int) -> Callable[..., Any]:
        def counted(*arguments: Any, **keywords: Any) -> Any:
            self.callback_counts[callback_name(arguments[callback_position])] += 1
            return method(*arguments, **keywords)

        return counted


class PendingTimer:
    """The callback of a timer, which is deferred if the timer fires late.

    Guards against timeouts that precede responses: a loop that was blocked (the process was stopped, or got
    no CPU) runs its timers before it reads what has arrived meanwhile, so requests whose responses have
    arrived would time out. A late timer therefore lets some iterations run first.

    :param when: seconds of the loop's clock.
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
        """Runs the callback, or defers it to the next iteration if the loop is late."""
        if self.iterations_left and self.loop.time() - self.when > LATE_AFTER:
            self.iterations_left -= 1
            self.loop.call_soon(self)
        elif not self.handle.cancelled():
            self.callback(*self.args)


def callback_name(callback: Any) -> str:
    """Returns the name of the task whose step a callback is, or else of the function."""
    callback = getattr(callback, "callback", callback)
    task = getattr(callback, "__self__", None)
    if isinstance(task, asyncio.Task):
        return task.get_name()
    return getattr(callback, "__qualname__", None) or type(callback).__name__


BACKEND_OPTIONS = {"loop_factory": EventLoop}  # for the parameter ``backend_options`` of anyio.run
