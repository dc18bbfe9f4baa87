"""All mutations: each takes one guard out, and a checker must notice that.

A guard that no fault finds missing is not proven, so tests and scenarios take each out once. A mutation is
an attribute to replace, as for ``setattr``: its owner, its name and the replacement that guards nothing. The
names are those that operators' reports show.
"""

from quartzrouter.fault_harness.quota_mutations import QUOTA, SLOW_START
from quartzrouter.lease_service.client import ClusterLeaseClient
from quartzrouter.leases.acceptor import Acceptor
from quartzrouter.leases.proposer import Proposer
from quartzrouter.leases.terms import LeaseTerms, VoteReply
from quartzrouter.purges.fleet_purges import FleetPurges
from quartzrouter.purges.freshness_lease import FreshnessLease
from quartzrouter.purges.purge_index import PurgeIndex

# -- purges ----------------------------------------------------------------------------------------------

PURGES = {
    "lease": (FreshnessLease, "max_age", lambda self, now: 0),
    "judge": (FleetPurges, "accepts", lambda self, *arguments: True),
    "marks": (PurgeIndex, "newest", lambda self, lookup, tags, store, newer_than=0: newer_than),
    "trust": (FleetPurges, "have_caught_up", lambda self, held_by: True),
    "bound": (FleetPurges, "max_age", lambda self, lookup, store, held_by, usual_max_age, now: usual_max_age),
}

# -- leases ------------------------------------------------------------------------------------------------

_start_acceptor = Acceptor.__init__
_vote = Acceptor.vote
_acquire = Proposer._acquire
_start_lease_client = ClusterLeaseClient.__init__


def votes_at_once(acceptor, terms, name, now, highest_tokens=None):
    """Replaces ``Acceptor.__init__``: it votes right after a restart, though it may have voted before."""
    _start_acceptor(acceptor, terms, name, now, highest_tokens)
    acceptor.voting_starts_at = now


def lease_counts_from_reply(proposer, now):
    """Replaces ``Proposer._acquire``: the lease lasts longer the later its replies come."""
    requested_at, proposer.requested_at = proposer.requested_at, now
    effects = _acquire(proposer, now)
    proposer.requested_at = requested_at
    return effects


def votes_for_all(acceptor, request, now):
    """Replaces ``Acceptor.vote``: votes for other proposers expire as soon as one requests a vote."""
    for vote in acceptor.votes.values():
        vote.expires_at = min(vote.expires_at, now)
    return _vote(acceptor, request, now)


def votes_for_names(acceptor, request, now):
    """Replaces ``Acceptor.vote``: two processes with the same name count as one."""
    reply = _vote(acceptor, request._replace(process_token="same"), now)
    return reply._replace(process_token=request.process_token) if isinstance(reply, VoteReply) else reply


def expires_by_wall_clock(client, terms, addresses, name, report, steady, wall):
    """Replaces ``ClusterLeaseClient.__init__``: the clock may be set back."""
    _start_lease_client(client, terms, addresses, name, report, wall, wall)


LEASES = {
    "a keeper votes right after its start": (Acceptor, "__init__", votes_at_once),
    "a lease counts from its answers": (Proposer, "_acquire", lease_counts_from_reply),
    "the drift is left out": (LeaseTerms, "clock_slack", lambda self, duration: 0),
    "half of the keepers will do": (LeaseTerms, "majority", property(lambda self: len(self.acceptors) // 2)),
    "a keeper votes for all": (Acceptor, "vote", votes_for_all),
    "a name is enough": (Acceptor, "vote", votes_for_names),
    "leases end by the wall clock": (ClusterLeaseClient, "__init__", expires_by_wall_clock),
}
MUTATIONS = PURGES | QUOTA | SLOW_START | LEASES
