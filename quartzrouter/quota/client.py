"""All budgets at one router: made when a req first counts in them, asked for while they are used."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import NamedTuple

from quartzrouter.quota.budget import OF, Budget, QuotaGrant, QuotaRequest
from quartzrouter.quota.local_quota import LocalQuota

SHARES_MOST = 4_096  # kept: tenants seen lately; 6 MB
LOOKED_AT = 16  # for one that rests, where there is no room
ASKS_AT_ONCE = 512  # in one line, 70 KB; the rest goes with the next
IDLE_LIVES = 3  # without a req, after which a budget is asked for no more
IDLE = 250_000  # us until the next look, where nothing is in use
LEAST_WAIT = 5_000  # us between two looks
PLAIN = 64  # characters of a tenant's name that are said as they are


class QuotaCounters(NamedTuple):
    """What became of reqs since the start, in all budgets that a limit's name stands for."""

    on_floor: int  # let through by the floor
    denied: int
    odd: int  # words that were not obeyed
    cut_off: int  # budgets in use of which no share comes


NOTHING = QuotaCounters(0, 0, 0, 0)


def shown(now: QuotaCounters, before: QuotaCounters) -> str:
    """What has happened since, as a line says it; nothing where there is nothing to say."""
    floor, denied, odd = (now[at] - before[at] for at in range(3))
    said = []
    if now.cut_off and floor:
        said.append(f"on its floor: {floor} reqs let through by it")
    if before.cut_off and not now.cut_off:
        said.append("shares come again")
    if said and denied:
        said.append(f"{denied} denied")
    if odd:
        said.append(f"{odd} grants not obeyed")
    return ", ".join(said)


class QuotaClient:
    """:param budgets: of the plan.
    :param name: of the router.
    :param token: of its process.
    :param steady: reads this machine's monotonic clock, us.  It is read for each look: whoever is stopped
        between two of them may wake behind the end of all it held.
    """

    def __init__(self, budgets: Sequence[Budget], name: str, token: str, steady: Callable[[], int]):
        self.name, self.token, self.steady = name, token, steady
        self.budgets = {each.name: each for each in budgets}
        self.shares: OrderedDict[str, LocalQuota] = OrderedDict()  # the one used last at the end
        self.used: dict[str, int] = {}  # when a req last counted in it: those that are asked for
        self.due: dict[str, int] = {}  # when to ask for it next
        self.since = steady()  # floors fill from then on; what is forgotten may not gain by it
        self.numbers = 0  # of asks, of what is forgotten: one made anew may not count from 1 again
        self.fresh = False  # a budget has come into use that is to be asked for at once
        self.odd = 0  # words on no budget that is in use here

    def replace(self, budgets: Sequence[Budget]) -> None:
        """A new plan: what stays the same keeps its shares, what changes starts on its floor."""
        before, self.budgets = self.budgets, {each.name: each for each in budgets}
        now = self.steady()
        for key, share in list(self.shares.items()):
            budget = self.budgets.get(key.partition(OF)[0])
            if budget is None:
                self._forget(key)
            elif before[budget.name] != budget:
                share.replace(replace(budget, name=key), now)

    def key(self, budget: str, of: str) -> str:
        """What a budget's part for one tenant, route or pool is called; of: nothing where it counts all."""
        if not of:
            return budget
        plain = len(of) <= PLAIN and of.isascii() and of.isprintable() and OF not in of
        return f"{budget}{OF}{of if plain else '#' + hashlib.blake2b(of.encode(), digest_size=8).hexdigest()}"

    def may(self, key: str, kept_free: float = 0.0) -> int:
        """As a share's: 0 where a req may go, else us after which to come back."""
        now = self.steady()
        self.fresh |= key not in self.used and self.due.get(key, 0) <= now
        self.used[key] = now
        return self._share(key, now).may(now, kept_free)

    def take(self, key: str) -> LocalQuota:
        """Counts a req in that may go, by the look just taken; its share is told of the req's end."""
        share = self.shares[key]
        share.use()
        return share

    def _share(self, key: str, now: int) -> LocalQuota:
        if (share := self.shares.get(key)) is not None:
            self.shares.move_to_end(key)
            return share
        if len(self.shares) >= SHARES_MOST:
            oldest = list(self.shares)[:LOOKED_AT]
            resting = [each for each in oldest if self.shares[each].rests(now)]
            idle = [each for each in oldest if not self.shares[each].in_use]
            if not resting:
                self.since = now  # it may have used its floor a moment ago
            if resting or idle:
                self._forget((resting or idle)[0])
        budget = replace(self.budgets[key.partition(OF)[0]], name=key)
        share = self.shares[key] = LocalQuota(budget, self.name, self.token, now, self.since)
        share.numbers = self.numbers
        return share

    def _forget(self, key: str) -> None:
        self.numbers = max(self.numbers, self.shares.pop(key).numbers)
        self.used.pop(key, None)
        self.due.pop(key, None)

    # -- asking ----------------------------------------------------------------------------------------

    def asks(self) -> tuple[QuotaRequest, ...]:
        """What to say now: for each budget in use whose time has come, oldest first."""
        now, self.fresh = self.steady(), False
        idle = [key for key, at in self.used.items() if now - at > IDLE_LIVES * self.shares[key].budget.life]
        for key in idle:
            if not self.shares[key].in_use:
                del self.used[key]
        due = sorted((self.due.get(key, 0), key) for key in self.used)
        said = []
        for at, key in due[:ASKS_AT_ONCE]:
            if at <= now:
                share = self.shares[key]
                self.due[key] = now + share.budget.every
                said.append(share.ask(now))
        return tuple(said)

    def wait(self) -> int:
        """us until something is due to be asked for; what comes into use meanwhile is asked for at once."""
        due = min((self.due.get(key, 0) for key in self.used), default=None)
        return IDLE if due is None else max(LEAST_WAIT, due - self.steady())

    def granted(self, grants: Sequence[QuotaGrant]) -> None:
        now = self.steady()
        for grant in grants:
            share = self.shares.get(grant.budget)
            if share is None:
                self.odd += 1
            else:
                share.take_grant(grant, now)

    # -- telling ---------------------------------------------------------------------------------------

    def told(self) -> dict[str, QuotaCounters]:
        """By budget of the plan."""
        now, found = self.steady(), {}
        for name in self.budgets:
            of = {key: share for key, share in self.shares.items() if key.partition(OF)[0] == name}
            found[name] = QuotaCounters(
                sum(each.on_floor for each in of.values()),
                sum(each.denied for each in of.values()),
                sum(each.odd for each in of.values()),
                sum(key in self.used and each.cut_off(now) for key, each in of.items()),
            )
        return found
