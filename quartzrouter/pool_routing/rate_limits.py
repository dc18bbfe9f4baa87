"""What is turned away before a dispatch: rates with bursts, reqs in hand, a share kept free for more value.

A rate is held by one figure a key, the time at which the next req would be due if all came evenly (the
generic cell rate algorithm, ITU-T I.371): nothing has to be topped up, and a key at rest says nothing.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from quartzrouter.config.model import Limit
from quartzrouter.pool_routing.shared_limits import budget_of
from quartzrouter.quota.client import QuotaClient
from quartzrouter.quota.local_quota import LocalQuota

KEYS_MOST = 4_096  # kept of one limit: tenants or clients seen lately, 0.7 MB each limit
NS = 1_000  # in a us: intervals of high rates need the places


class LimitExceeded(NamedTuple):
    limit: str
    come_back: int  # us; 0: no time can be named


class LimitKey(NamedTuple):
    limit: str
    of: str


@dataclass(slots=True)
class LimitCounter:
    due: int = 0  # ns: when a req would be due if all came evenly
    in_hand: int = 0


class RateLimiter:
    """:param shares: what limits that routers share leave to this one; None: each router has all of each.
    :param home: its store.
    """

    def __init__(self, limits: dict[str, Limit], shares: QuotaClient | None = None, home: str = ""):
        self.limits, self.shares, self.home = limits, shares, home
        self.counts: dict[str, OrderedDict[str, LimitCounter]] = {}
        self.held: dict[int, list[LimitKey]] = {}  # by req: what it counts in
        self.taken: dict[int, list[LocalQuota]] = {}  # by req: the shares it counts in

    def replace(self, limits: dict[str, Limit]) -> None:
        """Counts stay where the name stays; reqs in hand are given back wherever they count."""
        self.limits = limits
        in_use = {key.limit for keys in self.held.values() for key in keys}
        for name in [name for name in self.counts if name not in limits and name not in in_use]:
            del self.counts[name]

    def admit(self, req: int, keys: list[LimitKey], value: float, now: int) -> LimitExceeded | None:
        """Takes the req into all its limits, or into none and says which turned it away.

        :param keys: a limit's name and whom it counts, for each limit of the req's route.
        :param now: us.
        """
        keys = [key for key in keys if self.limits[key.limit].counts == "reqs"]
        if denied := self._look(keys, value, now):
            return denied
        keys, shared = self._parted(keys)
        for key in keys:
            self._take(key, now).in_hand += 1
        if keys:
            self.held[req] = keys
        if shared:
            self.taken[req] = [self.shares.take(name) for _, name in shared]
        return None

    def may_repeat(self, keys: list[LimitKey], now: int) -> bool:
        """Whether a further dispatch may go by the limits that count them; look right before it."""
        keys = [key for key in keys if self.limits[key.limit].counts == "repeats"]
        return not self._look(keys, 0.0, now)

    def repeated(self, keys: list[LimitKey], now: int) -> None:
        """Counts a further dispatch in that was found free."""
        own, shared = self._parted([key for key in keys if self.limits[key.limit].counts == "repeats"])
        for key in own:
            self._take(key, now)
        for _, name in shared:
            self.shares.take(name).ended()  # a repeat is over time: nothing of it stays in hand

    def _look(self, keys: list[LimitKey], value: float, now: int) -> LimitExceeded | None:
        own, shared = self._parted(keys)
        for key in own:
            if denied := self._full(self.limits[key.limit], self._count(key, now), value, now):
                return denied
        for limit, name in shared:  # last: what others turn away is no demand for a share
            if come_back := self.shares.may(name, limit.keep_free if value < limit.below else 0.0):
                return LimitExceeded(limit.name, come_back)
        return None

    def _take(self, key: LimitKey, now: int) -> LimitCounter:
        limit, count = self.limits[key.limit], self._count(key, now)
        if limit.rate:
            count.due = max(count.due, now * NS) + interval(limit)
        return count

    def _parted(self, keys: list[LimitKey]) -> tuple[list[LimitKey], list[tuple[Limit, str]]]:
        """Those that this router counts by itself, and those it shares, with the names of their budgets."""
        if self.shares is None:
            return keys, []
        own, shared = [], []
        for key in keys:
            limit = self.limits[key.limit]
            if budget := budget_of(limit, self.home):
                shared.append((limit, self.shares.key(budget, key.of)))
            else:
                own.append(key)
        return own, shared

    def release(self, req: int) -> None:
        """The req has had its final answer; a second call changes nothing."""
        for key in self.held.pop(req, ()):
            if (count := self.counts.get(key.limit, {}).get(key.of)) is not None:
                count.in_hand -= 1
        for share in self.taken.pop(req, ()):
            share.ended()

    def _full(self, limit: Limit, count: LimitCounter, value: float, now: int) -> LimitExceeded | None:
        room = limit.concurrent
        if limit.keep_free and value < limit.below:
            room = int(room * (1 - limit.keep_free))
        if limit.concurrent and count.in_hand >= room:
            return LimitExceeded(limit.name, 0)
        if limit.rate:
            early = count.due - (limit.burst - 1) * interval(limit) - now * NS
            if early > 0:
                return LimitExceeded(limit.name, -(-early // NS))
        return None

    def _count(self, key: LimitKey, now: int) -> LimitCounter:
        known = self.counts.setdefault(key.limit, OrderedDict())
        count = known.get(key.of)
        if count is None:
            if len(known) >= KEYS_MOST:
                self._forget(known, now)
            count = known[key.of] = LimitCounter()
        known.move_to_end(key.of)
        limit = self.limits[key.limit]
        if limit.rate:  # a plan may have made it shorter
            count.due = min(count.due, now * NS + limit.burst * interval(limit))
        return count

    @staticmethod
    def _forget(known: OrderedDict[str, LimitCounter], now: int) -> None:
        """The least lately used at rest, else that with nothing in hand: it gains a burst."""
        idle = [of for of, count in known.items() if not count.in_hand]
        rest = next((of for of in idle if known[of].due <= now * NS), None)
        gone = rest if rest is not None else (idle[0] if idle else None)
        if gone is not None:
            del known[gone]


def interval(limit: Limit) -> int:
    """ns between two reqs that come evenly."""
    return round(1e9 / limit.rate)
