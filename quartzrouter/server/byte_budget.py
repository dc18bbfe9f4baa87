"""A budget of bytes that tasks take from and give back to, in the order in which they asked."""

from collections import deque
from dataclasses import dataclass

import anyio


@dataclass(slots=True, eq=False)
class Waiter:
    """A task that waits for bytes."""

    count: int
    granted: "anyio.Event"  # quoted: the import of this module stays as lean as it is


class ByteBudget:
    """The bytes that responses may hold until their clients have them.

    Who finds no room waits, in order. Guards against starvation: out of order, small responses would take
    what is given back as it comes, and a large one would wait for ever.

    :param size: bytes in all.
    """

    def __init__(self, size: int):
        self.free = size
        self.waiters: deque[Waiter] = deque()  # one an attempt at most

    async def acquire(self, count: int) -> None:
        """Reserves bytes, once they are free and nobody waits before.

        :param count: at most the size of the budget, else it waits for ever.
        """
        if not self.waiters and count <= self.free:
            self.free -= count
            return
        waiter = Waiter(count, anyio.Event())
        self.waiters.append(waiter)
        try:
            await waiter.granted.wait()
        except BaseException:
            if waiter.granted.is_set():  # cancelled in the very iteration in which it was granted
                self.release(count)
            else:
                self.waiters.remove(waiter)
                self.release(0)  # those behind it may fit
            raise

    def release(self, count: int) -> None:
        """Gives bytes back, and grants what fits to those that wait."""
        self.free += count
        while self.waiters and self.waiters[0].count <= self.free:
            waiter = self.waiters.popleft()
            self.free -= waiter.count
            waiter.granted.set()
