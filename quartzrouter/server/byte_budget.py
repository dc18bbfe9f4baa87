"""A budget of bytes from which tasks reserve in the order of their requests."""

from collections import deque
from dataclasses import dataclass

import anyio


@dataclass(slots=True, eq=False)
class Waiter:
    """A task that waits for bytes."""

    count: int
    granted: "anyio.Event"  # quoted, so that the import of this module loads no more than before


class ByteBudget:
    """The bytes that responses may hold until their clients have received them.

    Tasks that don't fit wait in a queue. Guards against starvation: without the order, small responses would
    take released bytes at once, and a large response would wait forever.

    :param size: the total number of bytes.
    """

    def __init__(self, size: int):
        self.free = size
        self.waiters: deque[Waiter] = deque()  # at most one for each attempt

    async def acquire(self, count: int) -> None:
        """Reserves bytes once they are free and no earlier task waits.

        :param count: at most the size of the budget; a greater count waits forever.
        """
        if not self.waiters and count <= self.free:
            self.free -= count
            return
        waiter = Waiter(count, anyio.Event())
        self.waiters.append(waiter)
        try:
            await waiter.granted.wait()
        except BaseException:
            if waiter.granted.is_set():  # cancelled in the loop iteration that granted it
                self.release(count)
            else:
                self.waiters.remove(waiter)
                self.release(0)  # those behind it in the queue may fit
            raise

    def release(self, count: int) -> None:
        """Returns bytes to the budget, and grants waiting requests that fit."""
        self.free += count
        while self.waiters and self.waiters[0].count <= self.free:
            waiter = self.waiters.popleft()
            self.free -= waiter.count
            waiter.granted.set()
