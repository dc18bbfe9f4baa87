"""Who grants: one bucket a budget, and how it is divided among those who ask.

The bucket bounds what is granted, whatever the dividing does.  It starts empty, so that a granter that
restarts, or takes over from one that has stopped, grants nothing that the other may have granted too.
"""

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from quartzrouter.quota.budget import (
    ASKS,
    OF,
    Budget,
    BudgetState,
    QuotaGrant,
    QuotaHolding,
    QuotaRefusal,
    QuotaRequest,
    S,
)

HEARD_LIVES = 1  # lives since a router's last ask for which its wants still count
HOLDERS_MOST = 4_096  # names a budget: those unheard for longest go first
POTS_MOST = 4_096  # budgets, each tenant's counted: those unasked for longest go first
NAME_MOST = 256  # characters of a budget's name
POTS_LOOKED_AT = 16  # for one whose slots are all over
ASIDE = "\n"  # between a name and the token of a process that another has followed: in no name
WANT_MOST = 1e9  # tokens a second: what is more is no figure


@dataclass(slots=True)
class QuotaHolder:
    """What the granter knows of one router."""

    token: str
    number: int = 0  # of its last ask
    heard: int = 0
    want: float = 0.0
    owed: float = 0.0  # parts of a token that it hasn't been granted: less than one lets no req through
    slots_wanted: int = 0
    slots: int = 0  # that it may have in use, until `gone`
    gone: int = 0


@dataclass(slots=True)
class BudgetAccount:
    """One budget's bucket and holders."""

    budget: Budget
    since: int  # when the bucket was last filled
    wait_until: int  # slots that an earlier granter gave may be in use until then
    tokens: float = 0.0
    granted: float = 0.0  # in all
    holders: dict[str, QuotaHolder] = field(default_factory=dict)

    def known(self, said: QuotaRequest) -> QuotaHolder | None:
        """What is known of the process that says it."""
        now = self.holders.get(said.name)
        return now if now and now.token == said.token else self.holders.get(said.name + ASIDE + said.token)

    def heard(self, now: int) -> list[QuotaHolder]:
        """Those whose wants count."""
        return [each for each in self.holders.values() if now - each.heard <= HEARD_LIVES * self.budget.life]

    def fill(self, now: int) -> None:
        if now > self.since:  # a clock that was set back fills nothing
            more = self.budget.shared_rate * (now - self.since) / S
            self.tokens, self.since = min(self.budget.shared_burst, self.tokens + more), now


class QuotaAllocator:
    """:param budgets: in force.  One that counts many by themselves has a pot for each, made when asked for.
    :param now: us, of its monotonic clock.
    :param alone: no granter was there before; else what it may have granted is waited for.
    """

    def __init__(self, budgets: list[Budget], now: int, alone: bool = False):
        self.budgets = {each.name: each for each in budgets}
        self.pots: OrderedDict[str, BudgetAccount] = OrderedDict()  # the one asked for last at the end
        self.empty_at = dict.fromkeys(self.budgets, now)  # pots that are not there yet fill from then on
        self.free_at = {each.name: now if alone else each.gone(now) for each in budgets}
        self.refused = 0  # asks that were not obeyed
        for name in self.budgets:
            self._pot(name, now)

    def replace(self, budgets: list[Budget], now: int) -> None:
        """A new plan: shares that are out run on, so a smaller budget is kept once they have ended."""
        before, self.budgets = self.budgets, {each.name: each for each in budgets}
        empty, self.empty_at = self.empty_at, dict.fromkeys(self.budgets, now)
        free, self.free_at = self.free_at, {}
        for name, budget in self.budgets.items():
            old = before.get(name)
            self.empty_at[name] = empty[name] if old == budget else now
            self.free_at[name] = max(free[name], old.gone(now)) if old else budget.gone(now)
            if old == budget:
                self.free_at[name] = free[name]
        for name, pot in list(self.pots.items()):
            budget = self.budgets.get(name.partition(OF)[0])
            if budget is None:
                del self.pots[name]
                continue
            pot.fill(now)
            if budget.hold < pot.budget.hold or budget.life < pot.budget.life:
                pot.wait_until = max(pot.wait_until, pot.budget.gone(now))
            pot.budget = replace(budget, name=name)
            pot.tokens = min(pot.tokens, budget.shared_burst)
        for name in self.budgets:
            self._pot(name, now)

    def _pot(self, name: str, now: int) -> BudgetAccount | None:
        """The pot of that name; a new one is as if it had been there all the time, unasked."""
        if (pot := self.pots.get(name)) is not None:
            self.pots.move_to_end(name)
            return pot
        base = name.partition(OF)[0]
        if base not in self.budgets or not self._room(now):
            return None
        made = BudgetAccount(replace(self.budgets[base], name=name), self.empty_at[base], self.free_at[base])
        self.pots[name] = made
        return made

    def _room(self, now: int) -> bool:
        """Makes room for a pot, where there is none: one with nothing in use goes, forgotten as empty."""
        if len(self.pots) < POTS_MOST:
            return True
        for name in list(self.pots)[:POTS_LOOKED_AT]:
            pot = self.pots[name]
            if now >= pot.wait_until and all(each.gone <= now for each in pot.holders.values()):
                del self.pots[name]
                self.empty_at[name.partition(OF)[0]] = now
                return True
        return False

    def told(self, now: int) -> list[BudgetState]:
        """Each budget as it stands."""
        states = []
        for name, pot in self.pots.items():
            pot.fill(now)
            held = [
                QuotaHolding(who, each.want, each.slots if each.gone > now else 0, now - each.heard)
                for who, each in pot.holders.items()
                if ASIDE not in who
            ]
            budget, waits = pot.budget, max(0, pot.wait_until - now)
            states.append(
                BudgetState(name, budget.rate, budget.slots, pot.tokens, pot.granted, waits, tuple(held))
            )
        return states

    def ask(self, said: QuotaRequest, now: int) -> QuotaGrant | QuotaRefusal:
        """Grants what the budget has for one ask.

        :param now: us; the caller has just made sure that no other granter has begun.
        """
        found = self._refusal(said, now)
        if found:
            self.refused += 1
            return found
        pot = self.pots[said.budget]
        holder = self._holder(pot, said, now)
        pot.fill(now)
        due = now - holder.heard if holder.heard else pot.budget.life // ASKS
        holder.number, holder.heard = said.number, now
        holder.want, holder.slots_wanted = said.want, said.slots
        tokens = self._tokens(pot, holder, said, min(due, pot.budget.life), now)
        pot.tokens -= tokens
        pot.granted += tokens
        return QuotaGrant(said.budget, said.token, said.number, tokens, self._slots(pot, holder, said, now))

    def _refusal(self, said: QuotaRequest, now: int) -> QuotaRefusal | None:
        base = self.budgets.get(said.budget.partition(OF)[0])
        if base is None or len(said.budget) > NAME_MOST:
            return QuotaRefusal("budget", f"there is no budget {said.budget!r:.60}", "read the plan anew")
        if said.figures != base.figures:
            return QuotaRefusal("figures", f"{base.name} has other figures here", "give both the same plan")
        for place, figure in (("want", said.want), ("left", said.left)):
            if not 0 <= figure <= WANT_MOST:  # what is no number is refused too
                return QuotaRefusal(place, f"{figure} is no figure of tokens", "mend the sender")
        for place, figure in (("keep", said.keep), ("slots", said.slots)):
            if not 0 <= figure <= WANT_MOST:
                return QuotaRefusal(place, f"{figure} is no number of slots", "mend the sender")
        pot = self._pot(said.budget, now)
        if pot is None:
            return QuotaRefusal("budget", f"{POTS_MOST} budgets are in use", "count fewer by themselves")
        known = pot.known(said)
        if known and said.number <= known.number:
            return QuotaRefusal("number", f"ask {said.number} after {known.number}", "nothing: a late word")
        return None

    def _holder(self, pot: BudgetAccount, said: QuotaRequest, now: int) -> QuotaHolder:
        known = pot.holders.get(said.name)
        if known and known.token == said.token:
            return known
        made = pot.known(said) or QuotaHolder(said.token)  # a late word of a process before this one, say
        pot.holders.pop(said.name + ASIDE + said.token, None)
        if known is None and len(pot.holders) >= HOLDERS_MOST:
            rest = {name: each.heard for name, each in pot.holders.items() if each.gone <= now}
            if rest:
                del pot.holders[min(rest, key=rest.get)]
        if known:  # another process under its name: what the first may have in use is still out
            pot.holders[said.name + ASIDE + known.token] = known
        pot.holders[said.name] = made
        return made

    def _tokens(
        self, pot: BudgetAccount, holder: QuotaHolder, said: QuotaRequest, due: int, now: int
    ) -> float:
        """Its part of the rate for as long as it hasn't been granted, out of what the bucket has."""
        wants = [each.want for each in pot.heard(now)]
        soon = pot.tokens * S / pot.budget.life  # what lies in the bucket is handed out within a life
        part = min(holder.want, level(wants, pot.budget.shared_rate + soon))
        spare = max(0.0, pot.budget.shared_rate - sum(wants)) / len(wants)
        ahead = (part + spare) * (due + pot.budget.life // ASKS) / S  # until its next ask is answered
        if ahead < 1:
            holder.owed += (part + spare) * due / S
            if holder.owed < 1 or said.left >= 1:
                holder.owed = min(1.0, holder.owed)
                return 0.0
            ahead, holder.owed = 1 + said.left, 0.0
        return max(0.0, min(pot.tokens, ahead - said.left))

    def _slots(self, pot: BudgetAccount, holder: QuotaHolder, said: QuotaRequest, now: int) -> int:
        """Slots in all: its part, of those that nobody else may have in use.

        Where it gets fewer than it has, they still count as its own until a later ask says that they are not
        in use; so a router that holds all makes room for others, and nobody has them twice.
        """
        budget = pot.budget
        if holder.gone <= now:
            holder.slots = 0
        holder.slots = min(holder.slots, said.keep)  # it has said so: no more can be in use
        if now < pot.wait_until or not budget.slots:
            return holder.slots
        for name in [name for name, each in pot.holders.items() if ASIDE in name and each.gone <= now]:
            del pot.holders[name]
        out = sum(each.slots for each in pot.holders.values() if each is not holder and each.gone > now)
        wants = [float(each.slots_wanted) for each in pot.heard(now)]
        part = min(said.slots, max(1, int(level(wants, float(budget.shared_slots)))))
        given = max(0, min(part, budget.shared_slots - out))
        holder.slots, holder.gone = max(holder.slots, given), budget.gone(now)
        return given


def level(wants: list[float], whole: float) -> float:
    """The part up to which each want is met, so that all together get the whole (max-min fairness)."""
    left = whole
    for n, want in enumerate(sorted(wants)):
        part = left / (len(wants) - n)
        if want > part:
            return part
        left -= want
    return max(wants, default=0.0)
