"""Grants sending time at endpoints that have just started, to all routers. No I/O.

The allocator knows no endpoint by itself: each request tells how much all routers may send to one now, and
the least that any router tells counts.
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

MAX_ENDPOINTS = 4_096  # with an account: beyond it one without grants is forgotten, which bounds memory
MAX_ROUTERS = 4_096  # per account: beyond it the one silent for longest is forgotten
EVICTION_CANDIDATES = (
    16  # accounts, the least recently requested, among which one without grants is looked for
)
MAX_NAME_LENGTH = 64  # characters of an endpoint's name
DEMAND_MAX_AGE = 1 * SECOND  # microseconds for which a router's last request counts


@dataclass(slots=True)
class GrantedTime:
    """Sending time granted to one process of a router.

    :param granted_at: microseconds.
    :param router: its name.
    :param process_token: of its process.
    :param sending_time: microseconds, less what it has returned unused.
    """

    granted_at: int
    router: str
    process_token: str
    sending_time: int


@dataclass(frozen=True, slots=True)
class RouterDemand:
    """The last request of one router.

    :param process_token: of the router's process.
    :param sequence_number: of the request.
    :param received_at: microseconds.
    :param wanted: microseconds of sending time in a window.
    :param limit: microseconds that all routers may spend in a window, as this router reckons.
    """

    process_token: str
    sequence_number: int
    received_at: int
    wanted: int
    limit: int


@dataclass(slots=True)
class EndpointAccount:
    """What was granted of one endpoint, and who asks for it.

    :param grants: within an accounting period, oldest first.
    :param demands: by router, the one silent for longest first.
    """

    grants: deque[GrantedTime] = field(default_factory=deque)
    demands: dict[str, RouterDemand] = field(default_factory=dict)

    def granted_since(self, since: int) -> int:
        """Sending time granted after a time, microseconds; older grants are removed."""
        while self.grants and self.grants[0].granted_at <= since:
            self.grants.popleft()
        return sum(grant.sending_time for grant in self.grants)

    def take_back(self, router: str, process_token: str, sending_time: int) -> None:
        """Subtracts sending time that expired unused from the process's oldest grants.

        Which grants were used isn't known. With the oldest reduced, what was used counts as of the newest, so
        for longer, and nothing is granted that may still be in use.

        :param sending_time: microseconds.
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
        """Records a router's last request; the router that is silent for longest makes room for it."""
        self.demands.pop(router, None)
        if len(self.demands) >= MAX_ROUTERS:
            del self.demands[next(iter(self.demands))]
        self.demands[router] = demand

    def recent_demands(self, now: int) -> list[RouterDemand]:
        """The demands that count."""
        return [demand for demand in self.demands.values() if now - demand.received_at <= DEMAND_MAX_AGE]


class SlowStartAllocator:
    """Grants sending time, as much as each endpoint may be sent and as is wanted.

    Guards against an endpoint that falls over after a takeover: grants of an earlier allocator may be in
    use for their time to live, and count in windows that end later, so nothing is granted until then.

    :param terms: by tier.
    :param now: microseconds of the allocator's monotonic clock, at which it begins; so are all times.
    """

    def __init__(self, terms: dict[str, SlowStartTerms], now: int):
        self.terms = dict(terms)
        self.accounts: dict[str, EndpointAccount] = {}  # by endpoint, the least recently requested first
        # by tier: no sending time is granted before
        self.grants_blocked_until = {tier: now + each.accounting_period for tier, each in terms.items()}
        self.refused = 0  # number of requests

    def replace(self, terms: dict[str, SlowStartTerms], now: int) -> None:
        """Applies a new plan's terms: a changed tier grants nothing until its old grants are over."""
        for tier, new in terms.items():
            old = self.terms.get(tier)
            if old != new:
                longest = max(new.accounting_period, old.accounting_period if old else 0)
                self.grants_blocked_until[tier] = max(self.grants_blocked_until.get(tier, 0), now + longest)
        self.terms = dict(terms)

    def handle_request(
        self, request: SlowStartRequest, router: str, process_token: str, now: int
    ) -> SlowStartGrant | QuotaRefusal:
        """Grants what is free for one request.

        :param router: its name, as its connection shows.
        :param process_token: of its process, as its connection shows.
        :param now: microseconds; the caller has just made sure that no other allocator has begun.
        """
        refusal = self._refusal(request)
        if refusal:
            self.refused += 1
            return refusal
        account = self._account(request.endpoint, now)
        if account is None:
            self.refused += 1
            reason = f"{MAX_ENDPOINTS} servers are cold"
            return QuotaRefusal(RefusedSlowStartField.ENDPOINT, reason, "nothing: they get warm")
        known = account.demands.get(router)
        if (
            known is not None
            and known.process_token == process_token
            and request.sequence_number <= known.sequence_number
        ):
            account.demands[router] = account.demands.pop(router)  # late or doubled, but it isn't silent
            self.refused += 1
            reason = f"ask {request.sequence_number} after {known.sequence_number}"
            return QuotaRefusal(RefusedSlowStartField.SEQUENCE_NUMBER, reason, "nothing: a late word")
        account.take_back(router, process_token, request.returned)
        account.record_demand(
            router,
            RouterDemand(process_token, request.sequence_number, now, request.wanted, request.limit),
        )
        sending_time = self._sending_time(account, request, router, now)
        if sending_time:
            account.grants.append(GrantedTime(now, router, process_token, sending_time))
        return SlowStartGrant(request.endpoint, request.sequence_number, sending_time)

    def _refusal(self, request: SlowStartRequest) -> QuotaRefusal | None:
        """Why a request can't be granted, by its fields."""
        terms = self.terms.get(request.tier)
        if terms is None:
            reason = f"no part of cold {request.tier!r:.20}s is shared"
            return QuotaRefusal(RefusedSlowStartField.TIER, reason, "read the plan anew")
        if request.terms_checksum != terms.terms_checksum:
            reason = f"cold {request.tier}s have others here"
            return QuotaRefusal(RefusedSlowStartField.TERMS_CHECKSUM, reason, "give both the same plan")
        if not 0 < len(request.endpoint) <= MAX_NAME_LENGTH:
            reason = f"{request.endpoint!r:.60} is no name"
            return QuotaRefusal(RefusedSlowStartField.ENDPOINT, reason, "mend the sender")
        durations = (
            (RefusedSlowStartField.LIMIT, request.limit),
            (RefusedSlowStartField.WANTED, request.wanted),
            (RefusedSlowStartField.SENDING_TIME_LEFT, request.sending_time_left),
            (RefusedSlowStartField.REQUEST_TIME, request.request_time),
            (RefusedSlowStartField.RETURNED, request.returned),
        )
        for place, duration in durations:
            if not 0 <= duration <= MAX_SENDING_TIME:
                return QuotaRefusal(place, f"{duration} is no time in us", "mend the sender")
        return None

    def _account(self, endpoint: str, now: int) -> EndpointAccount | None:
        """The account of an endpoint, moved to the end; None where there is no room for a new one."""
        account = self.accounts.pop(endpoint, None)
        if account is None:
            if len(self.accounts) >= MAX_ENDPOINTS and not self._make_room(now):
                return None
            account = EndpointAccount()
        self.accounts[endpoint] = account
        return account

    def _make_room(self, now: int) -> bool:
        """Evicts an account of which nothing is granted."""
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
        """Microseconds for one router: its fair share, or one request's time where shares are less than that.

        Less than one request's time is of no use, so nothing is granted then.
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
        """Each endpoint that was asked for lately, for operators' commands."""
        since = now - self._longest_accounting_period()
        states = []
        for endpoint, account in self.accounts.items():
            demands = account.recent_demands(now)
            if demands:
                limit = min(demand.limit for demand in demands)
                states.append(SlowStartState(endpoint, account.granted_since(since), limit, len(demands)))
        return states
