"""Bringing purges to one cache: in order for each object, paced, again after failures and absences."""

import zlib
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from quartzrouter.purges.words import Purge

S = 1_000_000
WINDOW = 8  # purges on their way to one cache: its worker threads
RATE = 500.0  # purges a second to one cache: a twentieth of what it serves
COLD_SHARE, COLD_FOR = 0.25, 10 * S  # of the rate, after it came back, growing over this time
PAUSE, PAUSE_MOST = 100_000, 5 * S  # us after a failure, doubled each time
TIMEOUT = S  # us for one purge
ASK_EVERY = S  # us between questions what it holds
COARSE = 20_000  # purges that it lacks; beyond, one of all in their place: 40 s at the rate


class Delivery(NamedTuple):
    """Send this to the cache.

    :param age: us; copies that are older are to go.
    """

    purge: Purge
    age: int


class Box:
    """What one cache has been told.

    :param name: for chance.
    :param rate: purges a second.
    """

    def __init__(self, name: str, rate: float = RATE, window: int = WINDOW):
        self.name, self.rate, self.window = name, rate, window
        self.pending: deque[Purge] = deque()
        self.out: dict[int, Purge] = {}
        self.done: set[int] = set()  # beyond `reached`, out of order
        self.reached = 0  # all up to it are in force there
        self.offset = 0  # us to add to the ledger's clock
        self.up = False  # it has said what it holds, and nothing failed since
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

    # -- what the cache says -----------------------------------------------------------------------------

    def stands(self, held: int, now: int) -> bool:
        """It answers, and holds all up to a number; False where that is less than it had been told.

        What lies between must be told again: it has come back with an older disk.
        """
        whole = held >= self.reached
        if not self.up:
            self.since = now
        if not whole:
            self.pending.clear()
        self.reached = held
        self.up, self.strikes, self.next_at = True, 0, now
        self.out.clear()
        self.done.clear()
        self._forget()
        return whole

    def ended(self, number: int, good: bool, now: int) -> None:
        """How a delivery ended."""
        purge = self.out.pop(number, None)
        if purge is None:
            return
        if not good:
            self.pending.appendleft(purge)
            self.pending = deque(sorted(self.pending, key=lambda purge: purge.number))
            self.lost(now)
            return
        self.done.add(number)
        if purge.kind == "all" and not (purge.vhost or purge.store):  # which stands for all before it
            self.reached = max(self.reached, number)
            self.done = {each for each in self.done if each > number}
        while self.reached + 1 in self.done:
            self.reached += 1
            self.done.remove(self.reached)

    def lost(self, now: int) -> None:
        """It doesn't answer: from now on nobody may trust it, until it has said what it holds."""
        self.up = False
        self.strikes += 1
        pause = min(PAUSE_MOST, PAUSE << min(self.strikes - 1, 8))
        luck = zlib.crc32(f"{self.name} {self.strikes}".encode()) / 2**32
        self.next_at = now + int(pause * (0.5 + luck / 2))
        for purge in sorted(self.out.values(), key=lambda purge: purge.number, reverse=True):
            self.pending.appendleft(purge)
        self.out.clear()

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
        held = {key for purge in self.out.values() for key in _keys(purge)}
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
        if not self.up or not self.pending or len(self.out) >= self.window:
            return now + ASK_EVERY
        return max(self.next_at, now + max(1_000, int((1 - self.tokens) / self.rate * S)))

    def _forget(self) -> None:
        while self.pending and self.pending[0].number <= self.reached:
            self.pending.popleft()


def _keys(purge: Purge) -> set[tuple[str, str, str, str]]:
    return {(purge.kind, value, purge.vhost, purge.store) for value in purge.values or ("",)}
