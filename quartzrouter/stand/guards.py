"""What stands in each guard's place when it is taken out: whose method, its name, one that guards nothing.

A guard that no fault finds missing is not proven, so each is taken out once, in tests and in rehearsals.
"""

from quartzrouter.ledger.log import Log
from quartzrouter.ledger.serve import Ledger
from quartzrouter.net.clock import clock
from quartzrouter.purges.fleet import Fleet
from quartzrouter.purges.lease import Lease
from quartzrouter.purges.marks import Marks
from quartzrouter.sharing.budget import Budget, S
from quartzrouter.sharing.granter import Granter
from quartzrouter.sharing.share import Share
from quartzrouter.sharing.shares import Shares

# -- of purges -------------------------------------------------------------------------------------------

PURGES = {
    "lease": (Lease, "bound", lambda self, now: 0),
    "judge": (Fleet, "good", lambda self, *arguments: True),
    "marks": (Marks, "newest", lambda self, asked, tags, store, above=0: above),
    "trust": (Fleet, "trusted", lambda self, held_by: True),
    "bound": (Fleet, "oldest", lambda self, asked, store, held_by, usual, now: usual),
}

# -- of shares -------------------------------------------------------------------------------------------

TAKE_GRANT, ASK, START, SHARES = Share.take_grant, Share.ask, Share.__init__, Shares.__init__
BEGIN, REFUSAL, HOLDER, GRANTED = Granter.__init__, Granter._refusal, Granter._holder, Ledger._granted


def late(self, said, now):
    self.asked = {number: now for number in self.asked}  # as if the share began with its answer
    return TAKE_GRANT(self, said, now)


def twice(self, said, now):
    asked = self.asked.get(said.number)
    taken = TAKE_GRANT(self, said, now)
    if asked is not None:
        self.asked[said.number] = asked
    return taken


def older(self, said, now):
    numbers, self.numbers = self.numbers, said.number
    taken = TAKE_GRANT(self, said, now)
    self.numbers = numbers
    return taken


def unconfined(self, now):
    slots = self.slots
    said = ASK(self, now)
    self.slots = slots
    return said


def full(self, budgets, now, alone=False):
    BEGIN(self, budgets, now, alone)
    for pot in self.pots.values():
        pot.tokens = pot.budget.shared_burst


def at_once(self, budgets, now, alone=False):
    BEGIN(self, budgets, now, True)


def any_number(self, said, now):
    pot = self.pots[said.budget]
    known = pot.holders.get(said.name)
    return REFUSAL(self, said, now) if not known or said.number > known.number else None


def any_figures(self, said, now):
    base = self.budgets.get(said.budget.partition("/")[0])
    return REFUSAL(self, said._replace(figures=base.figures) if base else said, now)


def forgets(self, pot, said, now):
    if said.name in pot.holders and pot.holders[said.name].token != said.token:
        del pot.holders[said.name]
    return HOLDER(self, pot, said, now)


def two_bursts(self, budget, name, token, now, since=None):
    START(self, budget, name, token, now, since)
    self.floor = budget.floor_burst


def floor_at_once(self, budget, name, token, now, since=None):
    START(self, budget, name, token, now, since)
    self.floor_from = now


def endless(self, asked):
    return asked + 100 * S


def blind(self, budgets, name, token, steady):
    """Reads the clock when it asks, and at no req."""
    seen, asks = [steady()], self.asks
    SHARES(self, budgets, name, token, lambda: seen[0])

    def ask():
        seen[0] = steady()
        return asks()

    self.asks = ask


def by_the_wall(self, budgets, name, token, steady):
    SHARES(self, budgets, name, token, clock_of_the_process)


clock_of_the_process = clock  # the child puts its own in place


def anybody(self, ask, member):
    return GRANTED(self, ask._replace(name=member.name, token=member.token), member)


SHARED = {
    "a share doesn't end": (Budget, "ends", endless),
    "a share counts from its answer": (Share, "take_grant", late),
    "a doubled grant counts twice": (Share, "take_grant", twice),
    "an answer to an older ask counts": (Share, "take_grant", older),
    "a router isn't confined by its own word": (Share, "ask", unconfined),
    "a router doesn't look at the clock for a req": (Shares, "__init__", blind),
    "shares end by the wall clock": (Shares, "__init__", by_the_wall),
    "a restarted router has its floor's burst again": (Share, "__init__", two_bursts),
    "a restarted router has its floor's slots at once": (Share, "__init__", floor_at_once),
    "a slot's req is over with its share": (Budget, "gone", lambda self, at: at + self.life),
    "a granter starts with a full bucket": (Granter, "__init__", full),
    "a granter grants slots at once": (Granter, "__init__", at_once),
    "a granter obeys a late ask": (Granter, "_refusal", any_number),
    "a granter doesn't compare figures": (Granter, "_refusal", any_figures),
    "a restarted router's slots are forgotten": (Granter, "_holder", forgets),
    "a granter doesn't look whether another has begun": (Log, "check", lambda self: None),
}
GUARDS = PURGES | SHARED
