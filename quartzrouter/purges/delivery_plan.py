"""Bringing purges to one cache: in order for each object, paced, again after failures and absences."""

import heapq
import zlib
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from quartzrouter.purges.messages import Purge

S = 1_000_000
WINDOW = 8  # purges on their way to one cache: its worker threads
RATE = 500.0  # purges a second to one cache: a twentieth of what it serves
COLD_SHARE, COLD_FOR = 0.25, 10 * S  # of the rate, after it came back, growing over this time
PAUSE, PAUSE_MOST = 100_000, 5 * S  # us after a failure, doubled each time
SOON = 1_000  # us: nothing is looked at more often
TIMEOUT = S  # us for one purge
ASK_EVERY = S  # us between questions what it holds
CAUGHT = 64  # purges that it may lack and be trusted again: an eighth of a second's
COARSE = 20_000  # purges that it lacks; beyond, one of all in their place: 40 s at the rate


class Delivery(NamedTuple):
    """Send this to the cache.

    :param age: us; copies that are older are to go.
    """

    purge: Purge
    age: int


class DeliveryQueue:
    """What one cache has been told.

    :param name: for chance.
    :param rate: purges a second.
    """

    def __init__(self, name: str, rate: float = RATE, window: int = WINDOW):
        self.name, self.rate, self.window = name, rate, window
        self.pending: deque[Purge] = deque()
        self.out: dict[int, Purge] = {}
        self.later: list[tuple[int, int, Purge]] = []  # refused: us when to try again, its number
        self.tries: dict[int, int] = {}  # of those
        self.done: set[int] = set()  # beyond `reached`, out of order
        self.reached = 0  # all up to it are in force there
        self.offset = 0  # us to add to the ledger's clock
        self.up = False  # it has said what it holds, and nothing failed since
        self.caught = False  # it lacks but what is on its way
        self.since = self.next_at = 0  # us, when it came back; before which nothing is tried
        self.tokens, self.filled = 1.0, 0
        self.strikes = 0
        self.coarse = 0  # purges of all that stood in for many

    # -- what is to be told ------------------------------------------------------------------------------

    def heard(self, purges: Iterable[Purge], offset: int) -> None:
        self.offset = offset
        self.pending += purges
        if len(self.pending) > COARSE:
            self._coarse(len(self.pending) - COARSE // 2)

    def floor(self, number: int, when: int) -> None:
        """Up to a number some purges are not told any more: all copies made before are to go."""
        if number > self.reached:
            self.pending.appendleft(Purge(number, when, "all"))
            self.coarse += 1

    def _coarse(self, many: int) -> None:
        for _ in range(many):
            last = self.pending.popleft()
        self.pending.appendleft(Purge(last.number, last.when, "all"))
        self.coarse += 1

    def level(self, head: int) -> None:
        """All up to the head has been heard: whether the cache has caught up, after an absence."""
        self.caught |= self.up and self.reached + CAUGHT >= head

    # -- what the cache says -----------------------------------------------------------------------------

    def stands(self, held: int, heard: int, now: int) -> bool:
        """It answers, and holds all up to a number; False where what lies behind that must be heard anew.

        It may have come back with an older disk, and then it may lack what it had taken out of order as well.

        :param heard: the number up to which purges were heard for it.
        """
        if self.up and held == self.reached:
            return True
        whole = self.reached <= held <= heard and not self.done
        if not self.up:
            self.since, self.caught = now, False
        self.reached = held
        self.up, self.strikes, self.next_at = True, 0, now
        self._take_back()
        self.done.clear()
        while self.pending and (not whole or self.pending[0].number <= self.reached):
            self.pending.popleft()
        return whole

    def refused(self, number: int, now: int) -> None:
        """It answered, and did not take a purge: that one is tried again after a while, the others go on."""
        purge = self.out.pop(number, None)
        if purge is not None:
            tries = self.tries[number] = self.tries.get(number, 0) + 1
            heapq.heappush(self.later, (now + self._pause(tries, number), number, purge))

    def taken(self, number: int) -> None:
        """It has purged."""
        purge = self.out.pop(number, None)
        if purge is None:
            return
        self.tries.pop(number, None)
        self.done.add(number)
        if purge.kind == "all" and not (purge.vhost or purge.store):  # which stands for all before it
            self.reached = max(self.reached, number)
            self.done = {each for each in self.done if each > number}
        while self.reached + 1 in self.done:
            self.reached += 1
            self.done.remove(self.reached)

    def lost(self, now: int) -> None:
        """It doesn't answer: from now on nobody may trust it, until it has said what it holds."""
        self.up = self.caught = False
        self.strikes += 1
        self.next_at = now + self._pause(self.strikes, 0)
        self._take_back()

    def _pause(self, tries: int, number: int) -> int:
        """us; doubled each time, and spread so that caches that failed together don't come back together."""
        luck = zlib.crc32(f"{self.name} {number} {tries}".encode()) / 2**32
        return int(min(PAUSE_MOST, PAUSE << min(tries - 1, 8)) * (0.5 + luck / 2))

    def _take_back(self) -> None:
        """What was on its way or waited for another try is to be told again, in its place."""
        back = [*self.out.values(), *(purge for _, _, purge in self.later)]
        self.pending.extendleft(sorted(back, key=lambda purge: purge.number, reverse=True))
        self.out.clear()
        self.later.clear()
        self.tries.clear()

    # -- what to do --------------------------------------------------------------------------------------

    def next(self, now: int) -> list[Delivery]:
        """What to send now, as pace and window allow; none before the cache has said what it holds."""
        if not self.up or now < self.next_at:
            return []
        share = min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (now - self.since) / COLD_FOR)
        rate = self.rate * share
        self.tokens = min(float(self.window), self.tokens + max(0, now - self.filled) * rate / S)
        self.filled = now
        found, kept = [], []
        while self.later and self.later[0][0] <= now:
            self.pending.appendleft(heapq.heappop(self.later)[2])
        waiting = [*self.out.values(), *(purge for _, _, purge in self.later)]
        held = {key for purge in waiting for key in _keys(purge)}
        while self.pending and len(self.out) < self.window and self.tokens >= 1 and len(kept) < self.window:
            purge = self.pending.popleft()
            if not held.isdisjoint(keys := _keys(purge)):
                kept.append(purge)  # the one before it for the same is on its way
                held |= keys
                continue
            held |= keys
            self.tokens -= 1
            self.out[purge.number] = purge
            found.append(Delivery(purge, max(0, now - (purge.when + self.offset))))
        self.pending.extendleft(reversed(kept))
        return found

    def due(self, now: int) -> int:
        """us, when next() may have more, as far as time alone decides it."""
        if not self.up or len(self.out) >= self.window:
            return now + ASK_EVERY
        again = self.later[0][0] if self.later else now + ASK_EVERY
        if not self.pending:
            return max(again, now + SOON)
        return min(again, max(self.next_at, now + max(SOON, int((1 - self.tokens) / self.rate * S))))


def _keys(purge: Purge) -> set[tuple[str, str, str, str]]:
    return {(purge.kind, value, purge.vhost, purge.store) for value in purge.values or ("",)}
