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

ACCEPTOR_INIT = Acceptor.__init__
VOTE = Acceptor.vote
ACQUIRE = Proposer._acquire
LEASE_CLIENT_INIT = ClusterLeaseClient.__init__


def votes_at_once(self, terms, name, now, highest_tokens=None):
    """An acceptor that forgets, in a restart, that it may have voted."""
    ACCEPTOR_INIT(self, terms, name, now, highest_tokens)
    self.voting_starts_at = now


def from_the_answer(self, now):
    """A lease that lasts longer the later its replies come."""
    requested_at, self.requested_at = self.requested_at, now
    effects = ACQUIRE(self, now)
    self.requested_at = requested_at
    return effects


def votes_for_all(self, request, now):
    """An acceptor whose votes for other proposers are over as soon as one asks."""
    for vote in self.votes.values():
        vote.expires_at = min(vote.expires_at, now)
    return VOTE(self, request, now)


def votes_for_names(self, request, now):
    """An acceptor that doesn't tell two processes of one name apart."""
    reply = VOTE(self, request._replace(process_token="same"), now)
    return reply._replace(process_token=request.process_token) if isinstance(reply, VoteReply) else reply


def leases_by_the_wall_clock(self, terms, addresses, name, report, steady, wall):
    LEASE_CLIENT_INIT(self, terms, addresses, name, report, wall, wall)


LEASES = {
    "a keeper votes right after its start": (Acceptor, "__init__", votes_at_once),
    "a lease counts from its answers": (Proposer, "_acquire", from_the_answer),
    "the drift is left out": (LeaseTerms, "clock_slack", lambda self, duration: 0),
    "half of the keepers will do": (LeaseTerms, "majority", property(lambda self: len(self.acceptors) // 2)),
    "a keeper votes for all": (Acceptor, "vote", votes_for_all),
    "a name is enough": (Acceptor, "vote", votes_for_names),
    "leases end by the wall clock": (ClusterLeaseClient, "__init__", leases_by_the_wall_clock),
}
MUTATIONS = PURGES | QUOTA | SLOW_START | LEASES
