"""A wheel of time slots: items come out once their slot has passed, in constant time each."""

from collections import deque
from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

NEVER = 1 << 62  # us, later than any clock
Item = TypeVar("Item")


class TimerSlot(NamedTuple):
    """The items of one slot.

    :param number: of the slot; it begins at this many slot widths.
    """

    number: int
    items: list


class TimerWheel(Generic[Item]):
    """Items with a time, which are put in almost in the order of their times.

    :param slot_width: microseconds; an item comes out at most this late.
    """

    def __init__(self, slot_width: int):
        self.slot_width = slot_width
        self.slots: deque[TimerSlot] = deque()
        self.count = 0  # items in all slots

    @property
    def oldest_slot_end(self) -> int:
        """Microseconds; NEVER where the wheel is empty."""
        if not self.slots:
            return NEVER
        return (self.slots[0].number + 1) * self.slot_width

    def put(self, time: int, item: Item) -> None:
        """Puts an item in.

        :param time: microseconds.
        """
        self._slot(time // self.slot_width).items.append(item)
        self.count += 1

    def _slot(self, number: int) -> TimerSlot:
        """The slot with a number, added where there is none; most times it is the newest."""
        index = len(self.slots)
        while index > 0 and self.slots[index - 1].number > number:
            index -= 1
        if index > 0 and self.slots[index - 1].number == number:
            return self.slots[index - 1]
        slot = TimerSlot(number, [])
        self.slots.insert(index, slot)
        return slot

    def pop_ended(self, time: int) -> Iterator[Item]:
        """Removes and returns the items of every slot that has ended at a time.

        :param time: microseconds.
        """
        while self.oldest_slot_end <= time:
            yield from self.pop_oldest_slot()

    def pop_oldest_slot(self) -> list[Item]:
        """Removes and returns the items of the oldest slot."""
        items = self.slots.popleft().items
        self.count -= len(items)
        return items
