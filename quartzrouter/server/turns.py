"""Turns of connections that send more than can be handled at once, so that others are not kept waiting.

The event loop serves each connection that has data in turn, and knows nothing of what a turn costs.  A
connection that sends small messages at full speed brings thousands of them in one read, and hundreds of
connections that each bring a large message make one iteration of the loop last for a second.  A connection
that needs several iterations for its request is then answered late or never.
"""

import time

import anyio

MAX_TURN = 0.001  # seconds of CPU time after which a connection that still has data waits for its next turn
# Seconds between the starts of two such turns: they leave as much time to other connections as they take.
TURN_INTERVAL = 2 * MAX_TURN


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


class TurnQueue:
    """The connections that wait for their next turn, in the order in which they came.

    All connections of a process share it.  A connection whose data fits in one turn never waits here.
    """

    def __init__(self) -> None:
        self._lock = anyio.Lock()  # wakes tasks in the order in which they came
        self._next_start = 0.0  # s of the loop's clock

    async def wait(self) -> Turn:
        """Waits for the connection's next turn."""
        async with self._lock:
            await anyio.sleep(max(0.0, self._next_start - anyio.current_time()))
            self._next_start = anyio.current_time() + TURN_INTERVAL
        return Turn()
