"""Purges that a cache has taken once, and that are delivered again when older copies can't come in any more.

Guards against a fill that crosses a purge: it began at a parent before the purge, a cache that has purged
joins it, and keeps the old copy as one of a fill that it began itself after the purge. Nothing names that
copy any more once the purge has left the routers' indexes.
"""

from collections import deque
from typing import NamedTuple

from quartzrouter.purges.purge import Purge

MIN_CHECKPOINT_INTERVAL = 50_000  # us between two checkpoints; a purge settles an interval late at most
MAX_CHECKPOINTS = 128  # within a settle time; where that is long, the interval is longer


class Checkpoint(NamedTuple):
    """Purges up to a sequence number settle at a time.

    :param due_at: microseconds.
    """

    up_to: int
    due_at: int


def replace_oldest_with_full_purge(purges: deque[Purge], count: int) -> None:
    """Replaces the oldest of some purges by one purge of everything, which removes no fewer copies.

    :param purges: in their order.
    :param count: how many are replaced, at least one.
    """
    for _ in range(count):
        newest_replaced = purges.popleft()
    purges.appendleft(Purge(newest_replaced.sequence_number, newest_replaced.purged_at, "all"))


class SettlingPurges:
    """Purges of one cache that wait for their last delivery. All times are microseconds of one wall clock.

    :param settle_time: from when the cache and its parents have taken a purge.
    :param max_waiting: purges; beyond, the older half becomes one of everything.
    """

    def __init__(self, settle_time: int, max_waiting: int):
        self.settle_time = settle_time
        self.max_waiting = max_waiting
        self.waiting: deque[Purge] = deque()  # in their order
        self.checkpoints: deque[Checkpoint] = deque()
        self.checkpoint_interval = max(MIN_CHECKPOINT_INTERVAL, settle_time // MAX_CHECKPOINTS)
        self.checkpointed_up_to = 0
        self.next_checkpoint_at = 0

    def add(self, purge: Purge) -> None:
        """Adds a purge that the cache has taken for the first time."""
        later = []
        while self.waiting and self.waiting[-1].sequence_number > purge.sequence_number:
            later.append(self.waiting.pop())
        self.waiting.append(purge)
        self.waiting.extend(reversed(later))
        if len(self.waiting) > self.max_waiting:
            replace_oldest_with_full_purge(self.waiting, self.max_waiting // 2)

    def record_delivered_everywhere(self, up_to: int, now: int) -> None:
        """Records up to which sequence number the cache and its parents have taken every purge."""
        if up_to > self.checkpointed_up_to and now >= self.next_checkpoint_at:
            self.checkpoints.append(Checkpoint(up_to, now + self.settle_time))
            self.checkpointed_up_to = up_to
            self.next_checkpoint_at = now + self.checkpoint_interval

    def pop_settled(self, now: int) -> list[Purge]:
        """Removes and returns the purges to be delivered again now, in their order."""
        settled_up_to = 0
        while self.checkpoints and self.checkpoints[0].due_at <= now:
            settled_up_to = self.checkpoints.popleft().up_to
        settled = []
        while self.waiting and self.waiting[0].sequence_number <= settled_up_to:
            settled.append(self.waiting.popleft())
        return settled

    def pop_all(self) -> list[Purge]:
        """Removes and returns all, in their order: the cache may have lost what it had taken."""
        waiting = list(self.waiting)
        self.waiting.clear()
        self.checkpoints.clear()
        self.checkpointed_up_to = 0
        return waiting

    def next_due_at(self, otherwise: int) -> int:
        """Returns when the next purges settle, or a given time where none do, in microseconds."""
        return self.checkpoints[0].due_at if self.checkpoints else otherwise
