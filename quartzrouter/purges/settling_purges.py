"""Purges that were delivered to a cache once, and are delivered again once no fill can bring older copies.

Guards against a fill that crosses a purge: it began at a parent before the purge, a cache that has already
purged joins it, and keeps the old copy because its own fill began after the purge. Once the purge has
expired from the routers' indexes, nothing marks that copy as stale any more.
"""

from collections import deque
from typing import NamedTuple

from quartzrouter.purges.purge import Purge

MIN_CHECKPOINT_INTERVAL = 50_000  # microseconds between two checkpoints; a purge settles at most this late
MAX_CHECKPOINTS = 128  # within one settle time; a long settle time has a longer interval


class Checkpoint(NamedTuple):
    """The time at which all purges up to a sequence number settle.

    :param due_at: microseconds.
    """

    up_to: int
    due_at: int


def replace_oldest_with_full_purge(purges: deque[Purge], count: int) -> None:
    """Replaces the oldest purges with one full purge, which removes at least the same copies.

    :param purges: purges in the order of their sequence numbers.
    :param count: how many are replaced, at least one.
    """
    for _ in range(count):
        newest_replaced = purges.popleft()
    purges.appendleft(Purge(newest_replaced.sequence_number, newest_replaced.purged_at, "all"))


class SettlingPurges:
    """Purges of one cache that wait for their second delivery. All times are microseconds of one wall clock.

    :param settle_time: microseconds, counted from when a purge was delivered to the cache and its parents.
    :param max_waiting: the maximum number of purges; beyond it, the older half becomes one full purge.
    """

    def __init__(self, settle_time: int, max_waiting: int):
        self.settle_time = settle_time
        self.max_waiting = max_waiting
        self.waiting: deque[Purge] = deque()  # in the order of their sequence numbers
        self.checkpoints: deque[Checkpoint] = deque()
        self.checkpoint_interval = max(MIN_CHECKPOINT_INTERVAL, settle_time // MAX_CHECKPOINTS)
        self.checkpointed_up_to = 0
        self.next_checkpoint_at = 0

    def add(self, purge: Purge) -> None:
        """Adds a purge after its first delivery."""
        later = []
        while self.waiting and self.waiting[-1].sequence_number > purge.sequence_number:
            later.append(self.waiting.pop())
        self.waiting.append(purge)
        self.waiting.extend(reversed(later))
        if len(self.waiting) > self.max_waiting:
            replace_oldest_with_full_purge(self.waiting, self.max_waiting // 2)

    def record_delivered_everywhere(self, up_to: int, now: int) -> None:
        """Records the sequence number up to which every purge was delivered to the cache and its parents."""
        if up_to > self.checkpointed_up_to and now >= self.next_checkpoint_at:
            self.checkpoints.append(Checkpoint(up_to, now + self.settle_time))
            self.checkpointed_up_to = up_to
            self.next_checkpoint_at = now + self.checkpoint_interval

    def pop_settled(self, now: int) -> list[Purge]:
        """Removes and returns the purges that are due for their second delivery, in order."""
        settled_up_to = 0
        while self.checkpoints and self.checkpoints[0].due_at <= now:
            settled_up_to = self.checkpoints.popleft().up_to
        settled = []
        while self.waiting and self.waiting[0].sequence_number <= settled_up_to:
            settled.append(self.waiting.popleft())
        return settled

    def pop_all(self) -> list[Purge]:
        """Removes and returns all purges in order, as the cache may have lost what was delivered to it."""
        waiting = list(self.waiting)
        self.waiting.clear()
        self.checkpoints.clear()
        self.checkpointed_up_to = 0
        return waiting

    def next_due_at(self, otherwise: int) -> int:
        """Returns when the next purges settle, in microseconds.

        :param otherwise: the time to return if no purge is due to settle.
        """
        return self.checkpoints[0].due_at if self.checkpoints else otherwise
