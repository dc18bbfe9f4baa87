"""Turns of connections that send more than can be handled at once, so that others are not kept waiting.

The event loop serves each connection that has data in turn, and knows nothing of what a turn costs.  A
connection that sends small messages at full speed brings thousands of them in one read, and hundreds of
connections that each bring a large message make one iteration of the loop last for a second.  A connection
that needs several iterations for its request is then answered late or never.
"""

import time

import anyio

MAX_TURN = 0.001  # seconds of CPU time after which a connection that still has data waits for its next turn
MIN_TURN_COST = 0.0001  # seconds; what it takes to wake up a connection's task is not measured
MAX_TURN_COST = 0.02  # seconds; bounds the rest after a turn in which a single message took very long


class Turn:
    """The part of a connection's data that is handled without a pause.

    CPU time is measured, so that a process that is stopped or gets no CPU doesn't end a turn.
    """

    __slots__ = ("_started_at",)

    def __init__(self) -> None:
        self._started_at = time.thread_time()

    @property
    def is_over(self) -> bool:
        """Returns True once the connection has to wait for its next turn."""
        return time.thread_time() - self._started_at > MAX_TURN

    @property
    def cost(self) -> float:
        """The seconds of CPU time since its start, within bounds."""
        return min(max(time.thread_time() - self._started_at, MIN_TURN_COST), MAX_TURN_COST)


class TurnQueue:
    """The connections that wait for their next turn, in the order in which they came.

    All connections of a process share it.  Their turns together leave as much time to other connections as
    they take.  A connection whose data fits in one turn never waits here.
    """

    def __init__(self) -> None:
        self._lock = anyio.Lock()  # wakes tasks in the order in which they came
        self._next_start = 0.0  # s of the loop's clock

    async def wait(self, cost: float) -> Turn:
        """Waits for a connection's next turn.

        :param cost: seconds of CPU time that it will probably take: what the connection's last turn took.
        """
        async with self._lock:
            rest = self._next_start - anyio.current_time()
            if rest > MAX_TURN:  # short rests are added up, as the loop's timers count milliseconds
                await anyio.sleep(rest)
            self._next_start = max(anyio.current_time(), self._next_start) + 2 * cost
        return Turn()
