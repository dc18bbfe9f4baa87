"""The loop under every process of the program: uvloop, told only deadlines that it can keep."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from typing import Any

import uvloop

TICKS = 1_000  # a second: uvloop's clock and its timers go by whole milliseconds
LATE = 0.02  # s behind its time at which a timer counts as late: usual turns take a few ms
TURNS = 6  # of the loop that it then waits: what has come is read, taken up by its task, and fed
# to have a callback run: which argument it is
WAYS = {"call_soon": 0, "call_at": 1, "call_later": 1}


class EventLoop(uvloop.Loop):
    """A uvloop whose timers never fire ahead of their time.

    uvloop rounds a timer to the nearest millisecond of a clock that goes by milliseconds. One set for
    12.3 ms fires at 12 ms of that clock; a cancel scope then finds its deadline still ahead and sets its
    timer anew, which for less than half a millisecond means at once, and so spins until the clock has gone
    on. Put up to a whole millisecond, a deadline has passed when its timer fires.

    What it runs can be counted for a while (`watch`), which costs too much to do all the time.
    """

    seen: Counter[str] | None = None

    def call_at(
        self, when: float, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """As asyncio's.

        :param when: s of this loop's clock; up to a millisecond later is the callback's time.
        """
        due = PendingTimer(self, math.ceil(when * TICKS) / TICKS, callback, args)
        due.handle = super().call_at(due.when, due, context=context)
        return due.handle

    def add_reader(self, fd: Any, callback: Callable[..., object], *args: Any) -> None:
        """As asyncio's."""
        super().add_reader(fd, self._readable, callback, args)

    def _readable(self, callback: Callable[..., object], args: tuple) -> None:
        if self.seen is not None:
            self.seen[named(callback)] += 1
        callback(*args)

    def watch(self, seen: Counter[str]) -> None:
        """Counts by name what is set going from now on, until `unwatch`."""
        self.seen = seen
        for way, at in WAYS.items():
            setattr(self, way, self._counted(getattr(self, way), at))

    def unwatch(self) -> None:
        self.seen = None
        for way in WAYS:
            delattr(self, way)

    def _counted(self, way: Callable[..., Any], at: int) -> Callable[..., Any]:
        def counted(*arguments: Any, **more: Any) -> Any:
            self.seen[named(arguments[at])] += 1
            return way(*arguments, **more)

        return counted


class PendingTimer:
    """What a timer does at its time.

    A loop that has stood still runs its timers before it looks at what has come meanwhile, so that answers
    that are there would run out of time.  A late timer therefore lets some turns go first.
    """

    __slots__ = ("args", "callback", "handle", "loop", "turns", "when")

    def __init__(self, loop: EventLoop, when: float, callback: Callable[..., object], args: tuple):
        self.loop, self.when, self.callback, self.args = loop, when, callback, args
        self.turns, self.handle = TURNS, None

    def __call__(self) -> None:
        if self.turns and self.loop.time() - self.when > LATE:
            self.turns -= 1
            self.loop.call_soon(self)
        elif not self.handle.cancelled():
            self.callback(*self.args)


def named(callback: Any) -> str:
    """What a callback of the loop does: the task of a step, else the function."""
    callback = getattr(callback, "callback", callback)
    task = getattr(callback, "__self__", None)
    if isinstance(task, asyncio.Task):
        return task.get_name()
    return getattr(callback, "__qualname__", None) or type(callback).__name__


LOOP = {"loop_factory": EventLoop}  # as backend_options of anyio.run
