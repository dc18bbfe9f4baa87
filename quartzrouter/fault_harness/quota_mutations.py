"""Mutations of quota and of slow start: each takes one guard out, and a checker must notice that.

A guard that no test finds missing is not proven.  A mutation is an attribute to replace, as for
``setattr``: its owner, its name and the replacement that guards nothing.  The names are those that
operators' reports show.
"""

from quartzrouter.purge_log.log import PurgeLog
from quartzrouter.quota.allocator import QuotaAllocator
from quartzrouter.quota.budget import SECOND, Budget, base_name
from quartzrouter.quota.client import QuotaClient
from quartzrouter.quota.local_quota import LocalQuota
from quartzrouter.quota.slow_start_allocator import EndpointAccount, SlowStartAllocator
from quartzrouter.quota.slow_start_client import SlowStartClient
from quartzrouter.server.clock import wall_clock

process_wall_clock = wall_clock  # a child process of the harness puts its own skewed clock in place

_apply_grant = LocalQuota.apply_grant
_next_request = LocalQuota.next_request
_start_local_quota = LocalQuota.__init__
_start_client = QuotaClient.__init__
_start_allocator = QuotaAllocator.__init__
_check_request = QuotaAllocator._check_request
_get_or_create_holder = QuotaAllocator._get_or_create_holder
_apply_slow_start_grants = SlowStartClient.apply_grants
_start_slow_start_allocator = SlowStartAllocator.__init__

# -- at a router -------------------------------------------------------------------------------------------


def grant_never_expires(_budget, requested_at):
    """Replaces ``Budget.grant_expiry``."""
    return requested_at + 100 * SECOND


def slots_free_at_expiry(budget, granted_at):
    """Replaces ``Budget.slots_free_at``: as if no request were in flight when its grant expires."""
    return granted_at + budget.grant_ttl


def grant_counts_from_answer(quota, grant, now):
    """Replaces ``LocalQuota.apply_grant``: as if each request had been made when its answer came."""
    quota.pending_requests = dict.fromkeys(quota.pending_requests, now)
    return _apply_grant(quota, grant, now)


def doubled_grant_counts_twice(quota, grant, now):
    """Replaces ``LocalQuota.apply_grant``: an answered request stays pending."""
    requested_at = quota.pending_requests.get(grant.sequence_number)
    is_applied = _apply_grant(quota, grant, now)
    if requested_at is not None:
        quota.pending_requests[grant.sequence_number] = requested_at
    return is_applied


def older_grant_sets_slots(quota, grant, now):
    """Replaces ``LocalQuota.apply_grant``: each answer counts as the one to the last request."""
    last_sequence_number = quota.last_sequence_number
    quota.last_sequence_number = grant.sequence_number
    is_applied = _apply_grant(quota, grant, now)
    quota.last_sequence_number = last_sequence_number
    return is_applied


def request_does_not_confine(quota, now):
    """Replaces ``LocalQuota.next_request``: the router goes on with slots that it has said it gives up."""
    granted_slots = quota.granted_slots
    request = _next_request(quota, now)
    quota.granted_slots = granted_slots
    return request


def restart_has_burst(quota, budget, name, process_token, now, guaranteed_since=None):
    """Replaces ``LocalQuota.__init__``: the bucket of guaranteed tokens begins full."""
    _start_local_quota(quota, budget, name, process_token, now, guaranteed_since)
    quota.guaranteed_tokens = budget.guaranteed_burst


def restart_has_slots_at_once(quota, budget, name, process_token, now, guaranteed_since=None):
    """Replaces ``LocalQuota.__init__``: guaranteed slots don't wait for a former process's requests."""
    _start_local_quota(quota, budget, name, process_token, now, guaranteed_since)
    quota.guaranteed_slots_from = now


def clock_read_at_requests_only(client, budgets, name, process_token, steady_clock):
    """Replaces ``QuotaClient.__init__``: the clock is read for requests for quota only."""
    last_reading = [steady_clock()]
    due_requests = client.due_requests
    _start_client(client, budgets, name, process_token, lambda: last_reading[0])

    def read_clock_and_request():
        last_reading[0] = steady_clock()
        return due_requests()

    client.due_requests = read_clock_and_request


def expires_by_wall_clock(client, budgets, name, process_token, _steady_clock):
    """Replaces ``QuotaClient.__init__``: the clock may be set back."""
    _start_client(client, budgets, name, process_token, process_wall_clock)


# -- at the allocator --------------------------------------------------------------------------------------


def bucket_begins_full(allocator, budgets, now, first_allocator=False):
    """Replaces ``QuotaAllocator.__init__``."""
    _start_allocator(allocator, budgets, now, first_allocator)
    for account in allocator.accounts.values():
        account.tokens = account.budget.shared_burst


def slots_granted_at_once(allocator, budgets, now, first_allocator=False):  # noqa: ARG001 - as replaced
    """Replaces ``QuotaAllocator.__init__``: an earlier allocator's grants are not waited for."""
    _start_allocator(allocator, budgets, now, True)


def late_request_is_granted(allocator, request, now):
    """Replaces ``QuotaAllocator._check_request``: only a doubled request is refused by its number."""
    known = allocator.accounts[request.budget].holders.get(request.name)
    if known and request.sequence_number <= known.sequence_number:
        return None
    return _check_request(allocator, request, now)


def terms_not_compared(allocator, request, now):
    """Replaces ``QuotaAllocator._check_request``: a router may have another plan."""
    budget = allocator.budgets.get(base_name(request.budget))
    if budget:
        request = request._replace(terms_checksum=budget.terms_checksum)
    return _check_request(allocator, request, now)


def former_process_forgotten(allocator, account, request, now):
    """Replaces ``QuotaAllocator._get_or_create_holder``: slots of a former process count as free."""
    known = account.holders.get(request.name)
    if known and known.process_token != request.process_token:
        del account.holders[request.name]
    return _get_or_create_holder(allocator, account, request, now)


QUOTA = {
    "a share doesn't end": (Budget, "grant_expiry", grant_never_expires),
    "a share counts from its answer": (LocalQuota, "apply_grant", grant_counts_from_answer),
    "a doubled grant counts twice": (LocalQuota, "apply_grant", doubled_grant_counts_twice),
    "an answer to an older ask counts": (LocalQuota, "apply_grant", older_grant_sets_slots),
    "a router isn't confined by its own word": (LocalQuota, "next_request", request_does_not_confine),
    "a router doesn't look at the clock for a req": (QuotaClient, "__init__", clock_read_at_requests_only),
    "shares end by the wall clock": (QuotaClient, "__init__", expires_by_wall_clock),
    "a restarted router has its floor's burst again": (LocalQuota, "__init__", restart_has_burst),
    "a restarted router has its floor's slots at once": (LocalQuota, "__init__", restart_has_slots_at_once),
    "a slot's req is over with its share": (Budget, "slots_free_at", slots_free_at_expiry),
    "a granter starts with a full bucket": (QuotaAllocator, "__init__", bucket_begins_full),
    "a granter grants slots at once": (QuotaAllocator, "__init__", slots_granted_at_once),
    "a granter obeys a late ask": (QuotaAllocator, "_check_request", late_request_is_granted),
    "a granter doesn't compare figures": (QuotaAllocator, "_check_request", terms_not_compared),
    "a restarted router's slots are forgotten": (
        QuotaAllocator,
        "_get_or_create_holder",
        former_process_forgotten,
    ),
    "a granter doesn't look whether another has begun": (PurgeLog, "check_epoch", lambda _self: None),
}

# -- slow start --------------------------------------------------------------------------------------------


def doubled_slow_start_grant_counts_twice(client, grants):
    """Replaces ``SlowStartClient.apply_grants``: an answered request stays pending."""
    for grant in grants:
        allowance = client.allowances.get(grant.endpoint)
        requested_at = allowance.pending_requests.get(grant.sequence_number) if allowance else None
        _apply_slow_start_grants(client, [grant])
        if requested_at is not None:
            allowance.pending_requests[grant.sequence_number] = requested_at


def slow_start_granted_at_once(allocator, terms, now):
    """Replaces ``SlowStartAllocator.__init__``: an earlier allocator's grants are not waited for."""
    _start_slow_start_allocator(allocator, terms, now)
    allocator.grants_blocked_until = dict.fromkeys(allocator.grants_blocked_until, now)


def granted_time_forgotten(_account, _since):
    """Replaces ``EndpointAccount.granted_since``."""
    return 0


SLOW_START = {
    "a cold server's granter grants at once": (SlowStartAllocator, "__init__", slow_start_granted_at_once),
    "a doubled part of a cold server counts twice": (
        SlowStartClient,
        "apply_grants",
        doubled_slow_start_grant_counts_twice,
    ),
    "a cold server's granter forgets what it granted": (
        EndpointAccount,
        "granted_since",
        granted_time_forgotten,
    ),
}
