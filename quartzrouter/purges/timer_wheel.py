"""A timer wheel: items are grouped into time slots and removed with their slot, in constant time each."""

from collections import deque
from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

NEVER = 1 << 62  # microseconds, later than any clock reading
Item = TypeVar("Item")


class TimerSlot(NamedTuple):
    """The items of one time slot.

    :param number: the slot begins at this multiple of the slot width.
    """

    number: int
    items: list


class TimerWheel(Generic[Item]):
    """Items with a time; adding one is fast if items come almost in the order of their times.

    :param slot_width: microseconds; an item is removed at most this late.
    """

    def __init__(self, slot_width: int):
        self.slot_width = slot_width
        self.slots: deque[TimerSlot] = deque()
        self.count = 0  # items in all slots

    @property
    def oldest_slot_end(self) -> int:
        """The end of the oldest slot in microseconds; NEVER if the wheel is empty."""
        if not self.slots:
            return NEVER
        return (self.slots[0].number + 1) * self.slot_width

    def put(self, time: int, item: Item) -> None:
        """Adds an item.

        :param time: microseconds.
        """
        self._slot(time // self.slot_width).items.append(item)
        self.count += 1

    def _slot(self, number: int) -> TimerSlot:
        """Returns the slot with a number, and adds it if necessary.

        The search starts at the newest slot, which is usually the right one.
        """
        index = len(self.slots)
        while index > 0 and self.slots[index - 1].number > number:
            index -= 1
        if index > 0 and self.slots[index - 1].number == number:
            return self.slots[index - 1]
        slot = TimerSlot(number, [])
        self.slots.insert(index, slot)
        return slot

    def pop_ended(self, time: int) -> Iterator[Item]:
        """Removes and yields the items of every slot that has ended by a time.

        :param time: microseconds.
        """
        while self.oldest_slot_end <= time:
            yield from self.pop_oldest_slot()

    def pop_oldest_slot(self) -> list[Item]:
        """Removes and returns the items of the oldest slot."""
        items = self.slots.popleft().items
        self.count -= len(items)
        return items
