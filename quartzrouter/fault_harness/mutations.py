"""What stands in each guard's place when it is taken out: whose method, its name, one that guards nothing.

A guard that no fault finds missing is not proven, so each is taken out once, in tests and in rehearsals.
"""

from quartzrouter.lease_service.client import ClusterLeaseClient
from quartzrouter.leases.acceptor import Acceptor
from quartzrouter.leases.proposer import Proposer
from quartzrouter.leases.terms import LeaseTerms, VoteReply
from quartzrouter.purge_log.log import PurgeLog
from quartzrouter.purge_log.quota_service import QuotaService
from quartzrouter.purges.fleet_purges import FleetPurges
from quartzrouter.purges.freshness_lease import FreshnessLease
from quartzrouter.purges.purge_index import PurgeIndex
from quartzrouter.quota.allocator import QuotaAllocator
from quartzrouter.quota.budget import Budget, S
from quartzrouter.quota.client import QuotaClient
from quartzrouter.quota.local_quota import LocalQuota
from quartzrouter.quota.slow_start import EndpointAccount, SlowStartAllocator, SlowStartClient
from quartzrouter.server.clock import wall_clock

# -- of purges -------------------------------------------------------------------------------------------

PURGES = {
    "lease": (FreshnessLease, "max_age", lambda self, now: 0),
    "judge": (FleetPurges, "accepts", lambda self, *arguments: True),
    "marks": (PurgeIndex, "newest", lambda self, lookup, tags, store, newer_than=0: newer_than),
    "trust": (FleetPurges, "have_caught_up", lambda self, held_by: True),
    "bound": (FleetPurges, "max_age", lambda self, lookup, store, held_by, usual_max_age, now: usual_max_age),
}

# -- of shares -------------------------------------------------------------------------------------------

TAKE_GRANT, ASK, START, SHARES = (
    LocalQuota.take_grant,
    LocalQuota.ask,
    LocalQuota.__init__,
    QuotaClient.__init__,
)
BEGIN, REFUSAL, HOLDER, GRANTED = (
    QuotaAllocator.__init__,
    QuotaAllocator._refusal,
    QuotaAllocator._holder,
    QuotaService._grant_one,
)


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


clock_of_the_process = wall_clock  # the child puts its own in place


def anybody(self, ask, member):
    return GRANTED(self, ask._replace(name=member.name, token=member.token), member)


SHARED = {
    "a share doesn't end": (Budget, "ends", endless),
    "a share counts from its answer": (LocalQuota, "take_grant", late),
    "a doubled grant counts twice": (LocalQuota, "take_grant", twice),
    "an answer to an older ask counts": (LocalQuota, "take_grant", older),
    "a router isn't confined by its own word": (LocalQuota, "ask", unconfined),
    "a router doesn't look at the clock for a req": (QuotaClient, "__init__", blind),
    "shares end by the wall clock": (QuotaClient, "__init__", by_the_wall),
    "a restarted router has its floor's burst again": (LocalQuota, "__init__", two_bursts),
    "a restarted router has its floor's slots at once": (LocalQuota, "__init__", floor_at_once),
    "a slot's req is over with its share": (Budget, "gone", lambda self, at: at + self.life),
    "a granter starts with a full bucket": (QuotaAllocator, "__init__", full),
    "a granter grants slots at once": (QuotaAllocator, "__init__", at_once),
    "a granter obeys a late ask": (QuotaAllocator, "_refusal", any_number),
    "a granter doesn't compare figures": (QuotaAllocator, "_refusal", any_figures),
    "a restarted router's slots are forgotten": (QuotaAllocator, "_holder", forgets),
    "a granter doesn't look whether another has begun": (PurgeLog, "check_epoch", lambda self: None),
}
# -- of what cold servers may be sent ----------------------------------------------------------------------

GRANTED_COLD, WARM = SlowStartClient.granted, SlowStartAllocator.__init__


def cold_twice(self, grants):
    for grant in grants:
        part = self.parts.get(grant.server)
        asked = part.asked.get(grant.number) if part else None
        GRANTED_COLD(self, [grant])
        if asked is not None:
            part.asked[grant.number] = asked


def warm_at_once(self, terms, now):
    WARM(self, terms, now)
    self.from_ = dict.fromkeys(self.from_, now)


COLD = {
    "a cold server's granter grants at once": (SlowStartAllocator, "__init__", warm_at_once),
    "a doubled part of a cold server counts twice": (SlowStartClient, "granted", cold_twice),
    "a cold server's granter forgets what it granted": (EndpointAccount, "lately", lambda self, since: 0),
}
# -- of leases ---------------------------------------------------------------------------------------------

KEEPER, VOTE, GAINED, CLAIMS = Acceptor.__init__, Acceptor.vote, Proposer._gained, ClusterLeaseClient.__init__


def votes_at_once(self, terms, name, now, highest=None):
    KEEPER(self, terms, name, now, highest)
    self.from_ = now


def from_the_answer(self, now):
    asked, self.asked = self.asked, now
    effects = GAINED(self, now)
    self.asked = asked
    return effects


def votes_for_all(self, said, now):
    for ballot in self.ballots.values():
        ballot.until = min(ballot.until, now)
    return VOTE(self, said, now)


def votes_for_names(self, said, now):
    given = VOTE(self, said._replace(token="same"), now)
    return given._replace(token=said.token) if isinstance(given, VoteReply) else given


def claims_by_the_wall(self, terms, addresses, name, report, steady, clock):
    CLAIMS(self, terms, addresses, name, report, clock, clock)


LEASES = {
    "a keeper votes right after its start": (Acceptor, "__init__", votes_at_once),
    "a lease counts from its answers": (Proposer, "_gained", from_the_answer),
    "the drift is left out": (LeaseTerms, "slack", lambda self, time: 0),
    "half of the keepers will do": (LeaseTerms, "majority", property(lambda self: len(self.keepers) // 2)),
    "a keeper votes for all": (Acceptor, "vote", votes_for_all),
    "a name is enough": (Acceptor, "vote", votes_for_names),
    "leases end by the wall clock": (ClusterLeaseClient, "__init__", claims_by_the_wall),
}
MUTATIONS = PURGES | SHARED | COLD | LEASES
