"""Grants routers sending time at endpoints that have just started. No I/O.

The allocator has no information on endpoints of its own: each request states the sending time that all
routers together may spend at an endpoint now, and the lowest limit that any router states applies.
"""

from collections import deque
from dataclasses import dataclass, field

from quartzrouter.quota.budget import SECOND
from quartzrouter.quota.fairness import max_min_fair_share
from quartzrouter.quota.messages import QuotaRefusal
from quartzrouter.quota.slow_start_messages import (
    MAX_SENDING_TIME,
    RefusedSlowStartField,
    SlowStartGrant,
    SlowStartRequest,
    SlowStartState,
    SlowStartTerms,
)

# Endpoints with an account, to bound memory; an account without grants is evicted.
MAX_ENDPOINTS = 4_096
# Routers per account, to bound memory; the one that has been silent for longest is evicted.
MAX_ROUTERS = 4_096
# Number of least recently requested accounts that are searched for one without grants.
EVICTION_CANDIDATES = 16
# Characters in an endpoint's name.
MAX_NAME_LENGTH = 64
# Microseconds for which a router's last request counts as demand.
DEMAND_MAX_AGE = 1 * SECOND


@dataclass(slots=True)
class GrantedTime:
    """Sending time granted to one process of a router.

    :param granted_at: time of the grant, in microseconds.
    :param router: the router's name.
    :param process_token: identifies the router's process.
    :param sending_time: microseconds granted, less those returned unused.
    """

    granted_at: int
    router: str
    process_token: str
    sending_time: int


@dataclass(frozen=True, slots=True)
class RouterDemand:
    """The last request of one router.

    :param process_token: identifies the router's process.
    :param sequence_number: the request's sequence number.
    :param received_at: time of receipt, in microseconds.
    :param wanted: wanted sending time in a window, in microseconds.
    :param limit: sending time that all routers may spend in a window according to this router, in
        microseconds.
    """

    process_token: str
    sequence_number: int
    received_at: int
    wanted: int
    limit: int


@dataclass(slots=True)
class EndpointAccount:
    """The sending time granted at one endpoint, and the routers that request it.

    :param grants: grants within an accounting period, oldest first.
    :param demands: last requests by router, the router that has been silent for longest first.
    """

    grants: deque[GrantedTime] = field(default_factory=deque)
    demands: dict[str, RouterDemand] = field(default_factory=dict)

    def granted_since(self, since: int) -> int:
        """Returns the microseconds of sending time granted after a time, and removes older grants."""
        while self.grants and self.grants[0].granted_at <= since:
            self.grants.popleft()
        return sum(grant.sending_time for grant in self.grants)

    def subtract_unused(self, router: str, process_token: str, sending_time: int) -> None:
        """Subtracts sending time that expired unused from the process's oldest grants.

        It is not known which grants were used. If the oldest are reduced, the time used is attributed to the
        newest grants and counts for longer, so nothing is granted that may still be in use.

        :param sending_time: unused time in microseconds.
        """
        remaining = sending_time
        for grant in self.grants:
            if not remaining:
                return
            if (grant.router, grant.process_token) == (router, process_token):
                returned = min(remaining, grant.sending_time)
                grant.sending_time -= returned
                remaining -= returned

    def record_demand(self, router: str, demand: RouterDemand) -> None:
        """Records a router's last request, and evicts the longest silent router if there are too many."""
        self.demands.pop(router, None)
        if len(self.demands) >= MAX_ROUTERS:
            del self.demands[next(iter(self.demands))]
        self.demands[router] = demand

    def recent_demands(self, now: int) -> list[RouterDemand]:
        """Returns the last requests that are recent enough to count as demand."""
        return [demand for demand in self.demands.values() if now - demand.received_at <= DEMAND_MAX_AGE]


class SlowStartAllocator:
    """Grants the wanted sending time within the limit of each endpoint.

    Prevents an endpoint from being overloaded after a takeover: grants of an earlier allocator may be used
    for their time to live and count in windows that end later, so nothing is granted for one accounting
    period.

    :param terms: terms by tier.
    :param now: start time in microseconds of the allocator's monotonic clock, as are all times.
    """

    def __init__(self, terms: dict[str, SlowStartTerms], now: int):
        self.terms = dict(terms)
        self.accounts: dict[str, EndpointAccount] = {}  # by endpoint, least recently requested first
        # By tier: no sending time is granted before that time.
        self.grants_blocked_until = {tier: now + each.accounting_period for tier, each in terms.items()}
        self.refused = 0  # number of refused requests

    def replace(self, terms: dict[str, SlowStartTerms], now: int) -> None:
        """Applies a new plan's terms: nothing is granted for a changed tier until its old grants are over."""
        for tier, new in terms.items():
            old = self.terms.get(tier)
            if old != new:
                longest = max(new.accounting_period, old.accounting_period if old else 0)
                self.grants_blocked_until[tier] = max(self.grants_blocked_until.get(tier, 0), now + longest)
        self.terms = dict(terms)

    def handle_request(
        self, request: SlowStartRequest, router: str, process_token: str, now: int
    ) -> SlowStartGrant | QuotaRefusal:
        """Grants the available sending time for one request, or refuses the request.

        :param router: the router's name, as known from its connection.
        :param process_token: identifies the router's process, as known from its connection.
        :param now: current time in microseconds; the caller has just checked that no other allocator has
            taken over.
        """
        refusal = self._check_request(request)
        if refusal:
            self.refused += 1
            return refusal
        account = self._get_or_create_account(request.endpoint, now)
        if account is None:
            self.refused += 1
            reason = f"{MAX_ENDPOINTS} endpoints are in slow start"
            return QuotaRefusal(
                RefusedSlowStartField.ENDPOINT, reason, "none needed: slow start ends by itself"
            )
        known = account.demands.get(router)
        if (
            known is not None
            and known.process_token == process_token
            and request.sequence_number <= known.sequence_number
        ):
            account.demands[router] = account.demands.pop(router)  # late or duplicated, but not silent
            self.refused += 1
            reason = f"request {request.sequence_number} arrived after request {known.sequence_number}"
            return QuotaRefusal(
                RefusedSlowStartField.SEQUENCE_NUMBER,
                reason,
                "none needed: the request was late or duplicated",
            )
        account.subtract_unused(router, process_token, request.returned)
        account.record_demand(
            router,
            RouterDemand(process_token, request.sequence_number, now, request.wanted, request.limit),
        )
        sending_time = self._sending_time(account, request, router, now)
        if sending_time:
            account.grants.append(GrantedTime(now, router, process_token, sending_time))
        return SlowStartGrant(request.endpoint, request.sequence_number, sending_time)

    def _check_request(self, request: SlowStartRequest) -> QuotaRefusal | None:
        """Returns a refusal if a field of the request is invalid, otherwise None."""
        terms = self.terms.get(request.tier)
        if terms is None:
            reason = f"slow start of tier {request.tier!r:.20} is not shared"
            return QuotaRefusal(RefusedSlowStartField.TIER, reason, "reload the plan")
        if request.terms_checksum != terms.terms_checksum:
            reason = f"slow start of tier {request.tier} has other terms in the ledger's plan"
            return QuotaRefusal(
                RefusedSlowStartField.TERMS_CHECKSUM,
                reason,
                "load the same plan in the router and the ledger",
            )
        if not 0 < len(request.endpoint) <= MAX_NAME_LENGTH:
            reason = f"{request.endpoint!r:.60} is not a valid endpoint name"
            return QuotaRefusal(RefusedSlowStartField.ENDPOINT, reason, "fix the sender")
        durations = (
            (RefusedSlowStartField.LIMIT, request.limit),
            (RefusedSlowStartField.WANTED, request.wanted),
            (RefusedSlowStartField.SENDING_TIME_LEFT, request.sending_time_left),
            (RefusedSlowStartField.REQUEST_TIME, request.request_time),
            (RefusedSlowStartField.RETURNED, request.returned),
        )
        for place, duration in durations:
            if not 0 <= duration <= MAX_SENDING_TIME:
                return QuotaRefusal(place, f"{duration} is not a valid duration in us", "fix the sender")
        return None

    def _get_or_create_account(self, endpoint: str, now: int) -> EndpointAccount | None:
        """Returns the account of an endpoint, creating it if necessary, as the most recently requested one.

        :returns: the account, or None if there is no room for another one.
        """
        account = self.accounts.pop(endpoint, None)
        if account is None:
            if len(self.accounts) >= MAX_ENDPOINTS and not self._evict_unused(now):
                return None
            account = EndpointAccount()
        self.accounts[endpoint] = account
        return account

    def _evict_unused(self, now: int) -> bool:
        """Evicts an account without current grants and returns True, if there is one."""
        since = now - self._longest_accounting_period()
        for endpoint in list(self.accounts)[:EVICTION_CANDIDATES]:
            if not self.accounts[endpoint].granted_since(since):
                del self.accounts[endpoint]
                return True
        return False

    def _longest_accounting_period(self) -> int:
        return max((terms.accounting_period for terms in self.terms.values()), default=0)

    def _sending_time(
        self, account: EndpointAccount, request: SlowStartRequest, router: str, now: int
    ) -> int:
        """Returns the microseconds to grant a router: its fair share, or one request's time if that is more.

        Less than one request's time is of no use, so nothing is granted if less is available.
        """
        terms = self.terms[request.tier]
        if now < self.grants_blocked_until[request.tier]:
            return 0
        demands = account.recent_demands(now)
        grantable = (1 - terms.guaranteed_share) * min(demand.limit for demand in demands)
        free = grantable - account.granted_since(now - terms.accounting_period)
        already_granted = sum(grant.sending_time for grant in account.grants if grant.router == router)
        fair_share = max_min_fair_share([float(demand.wanted) for demand in demands], grantable)
        share = (
            fair_share - already_granted if already_granted else max(float(request.request_time), fair_share)
        )
        granted = int(min(share, free, request.wanted - request.sending_time_left))
        return granted if granted >= max(1, request.request_time) else 0

    def states(self, now: int) -> list[SlowStartState]:
        """Returns the state of each recently requested endpoint, for operators' commands."""
        since = now - self._longest_accounting_period()
        states = []
        for endpoint, account in self.accounts.items():
            demands = account.recent_demands(now)
            if demands:
                limit = min(demand.limit for demand in demands)
                states.append(SlowStartState(endpoint, account.granted_since(since), limit, len(demands)))
        return states
