"""A wheel of slots by time: what was put in comes out once its slot has passed, in constant time for each."""

from collections import deque
from collections.abc import Iterator
from typing import Any

NEVER = 1 << 62  # us


class TimerWheel:
    """Things with a time that only grows a little out of order.

    :param width: us of one slot; a thing comes out at most this much late.
    """

    def __init__(self, width: int):
        self.width = width
        self.slots: deque[tuple[int, list[Any]]] = deque()  # number of the slot, what is in it
        self.count = 0

    @property
    def ends(self) -> int:
        """us, when the oldest slot ends; far off where there is none."""
        return (self.slots[0][0] + 1) * self.width if self.slots else NEVER

    def put(self, when: int, thing: Any) -> None:
        number = when // self.width
        if not self.slots or number > self.slots[-1][0]:
            self.slots.append((number, [thing]))
        else:  # out of order: into the newest slot not later, so that nothing comes out too soon
            for at in range(len(self.slots) - 1, -1, -1):
                if self.slots[at][0] == number:
                    self.slots[at][1].append(thing)
                    break
                if self.slots[at][0] < number:
                    self.slots.insert(at + 1, (number, [thing]))
                    break
            else:
                self.slots.appendleft((number, [thing]))
        self.count += 1

    def due(self, before: int) -> Iterator[Any]:
        """Takes out what stands in slots that end before that time."""
        while self.ends <= before:
            yield from self.oldest()

    def oldest(self) -> list[Any]:
        """Takes out the oldest slot."""
        _, things = self.slots.popleft()
        self.count -= len(things)
        return things
