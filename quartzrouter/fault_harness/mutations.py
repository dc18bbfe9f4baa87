"""What stands in each guard's place when it is taken out: whose method, its name, one that guards nothing.

A guard that no fault finds missing is not proven, so each is taken out once, in tests and in rehearsals.
"""

from quartzrouter.fault_harness.quota_mutations import QUOTA, SLOW_START
from quartzrouter.lease_service.client import ClusterLeaseClient
from quartzrouter.leases.acceptor import Acceptor
from quartzrouter.leases.proposer import Proposer
from quartzrouter.leases.terms import LeaseTerms, VoteReply
from quartzrouter.purges.fleet_purges import FleetPurges
from quartzrouter.purges.freshness_lease import FreshnessLease
from quartzrouter.purges.purge_index import PurgeIndex

# -- of purges -------------------------------------------------------------------------------------------

PURGES = {
    "lease": (FreshnessLease, "max_age", lambda self, now: 0),
    "judge": (FleetPurges, "accepts", lambda self, *arguments: True),
    "marks": (PurgeIndex, "newest", lambda self, lookup, tags, store, newer_than=0: newer_than),
    "trust": (FleetPurges, "have_caught_up", lambda self, held_by: True),
    "bound": (FleetPurges, "max_age", lambda self, lookup, store, held_by, usual_max_age, now: usual_max_age),
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
MUTATIONS = PURGES | QUOTA | SLOW_START | LEASES
