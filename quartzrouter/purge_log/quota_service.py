"""Grants members shares of the fleet's budgets, in the process that leads the purge log."""

from collections.abc import Callable

from quartzrouter.purges.members import Member
from quartzrouter.purges.messages import (
    MAX_PURGES_PER_LINE,
    MAX_QUOTA_REQUESTS,
    QuotaGrants,
    QuotaRequests,
    QuotaStatus,
)
from quartzrouter.quota.allocator import QuotaAllocator
from quartzrouter.quota.budget import Budget
from quartzrouter.quota.messages import QuotaGrant, QuotaRefusal, QuotaRequest, RefusedField
from quartzrouter.quota.slow_start_allocator import SlowStartAllocator
from quartzrouter.quota.slow_start_messages import (
    MAX_REQUESTS_PER_MESSAGE,
    RefusedSlowStartField,
    SlowStartGrant,
    SlowStartTerms,
)
from quartzrouter.server.rate_limited_log import RateLimitedLog

WITHOUT_LEASE = 1  # stands for a fencing token if a single process grants quota, without a lease
NOT_HELD = 0  # stands for a fencing token while another process may hold the lease


class QuotaService:
    """The allocators of a process that may grant quota.

    :param budgets: the budgets of which shares are granted; None if this process has no plan and grants none.
    :param slow_start_terms: the terms of slow start by tier.
    :param steady_clock: returns microseconds of the monotonic clock.
    :param lease_token: returns the fencing token of the lease under which quota is granted, or NOT_HELD;
        called right before each grant.
    """

    def __init__(
        self,
        budgets: list[Budget] | None,
        slow_start_terms: dict[str, SlowStartTerms],
        steady_clock: Callable[[], int],
        lease_token: Callable[[], int],
        report: RateLimitedLog,
    ):
        self.steady_clock = steady_clock
        self.lease_token = lease_token
        self.report = report
        self.allocator = QuotaAllocator(budgets, steady_clock()) if budgets is not None else None
        self.slow_start = SlowStartAllocator(slow_start_terms, steady_clock())
        self.last_lease_token = WITHOUT_LEASE
        self.impersonations = 0  # requests under a name or process token that is not the member's

    @property
    def is_enabled(self) -> bool:
        """Returns True if this process has budgets to grant."""
        return self.allocator is not None

    def grant(self, requests: QuotaRequests, member: Member) -> QuotaGrants | None:
        """Grants what a member requests; returns None if this process doesn't hold the lease."""
        if not self._holds_lease():
            return None
        refused: dict[str, QuotaRefusal] = {}
        grants: list[QuotaGrant] = []
        for request in requests.requests[:MAX_QUOTA_REQUESTS]:
            reply = self._grant_one(request, member)
            if not isinstance(reply, QuotaRefusal):
                grants.append(reply)
            elif reply.place != RefusedField.SEQUENCE_NUMBER:  # not reported: the request was merely late
                refused[request.budget] = reply
                self._report_refusal(member, request.budget, reply)
        slow_start_grants: list[SlowStartGrant] = []
        for slow_start_request in requests.slow_start_requests[:MAX_REQUESTS_PER_MESSAGE]:
            slow_start_reply = self.slow_start.handle_request(
                slow_start_request, member.name, member.token, self.steady_clock()
            )
            if not isinstance(slow_start_reply, QuotaRefusal):
                slow_start_grants.append(slow_start_reply)
            elif slow_start_reply.place != RefusedSlowStartField.SEQUENCE_NUMBER:
                refused[slow_start_request.endpoint[:60]] = slow_start_reply
                self._report_refusal(member, slow_start_request.endpoint, slow_start_reply)
        return QuotaGrants(tuple(grants), refused, tuple(slow_start_grants))

    def _holds_lease(self) -> bool:
        """Returns True if this process may grant now; resets the allocators under a new lease.

        Under a new lease, this process doesn't know what others have granted in the meantime. It would grant
        the same quota twice, so it starts with new allocators as after a takeover.
        """
        token = self.lease_token()
        if self.allocator and token and token != self.last_lease_token:
            now = self.steady_clock()
            self.allocator = QuotaAllocator(list(self.allocator.budgets.values()), now)
            self.slow_start = SlowStartAllocator(self.slow_start.terms, now)
            self.last_lease_token = token
        return token != NOT_HELD

    def _grant_one(self, request: QuotaRequest, member: Member) -> QuotaGrant | QuotaRefusal:
        """Grants one request; refuses it under another member's name, as the grant would not be counted."""
        if (request.name, request.process_token) != (member.name, member.token):
            self.impersonations += 1
            return QuotaRefusal(
                "name", f"name {request.name!r:.40} and its token are not this connection's", "fix the sender"
            )
        assert self.allocator is not None  # the caller checked is_enabled
        return self.allocator.handle_request(request, self.steady_clock())

    def _report_refusal(self, member: Member, requested: str, refusal: QuotaRefusal) -> None:
        self.report.say("shares", f"{member.name}: {requested:.60}: {refusal.place}: {refusal.reason}")

    def status(self, epoch: int) -> QuotaStatus:
        """Returns the state of the budgets and of slow start."""
        if self.allocator is None:
            return QuotaStatus(epoch, (), 0)
        now = self.steady_clock()
        budgets = self.allocator.states(now)[-MAX_PURGES_PER_LINE:]
        slow_starts = self.slow_start.states(now)[-MAX_PURGES_PER_LINE:]
        refused = self.allocator.refused + self.slow_start.refused + self.impersonations
        return QuotaStatus(epoch, tuple(budgets), refused, tuple(slow_starts))

    def replace(self, budgets: list[Budget], slow_start_terms: dict[str, SlowStartTerms]) -> None:
        """Applies the budgets and slow start terms of a reloaded plan."""
        if self.allocator:
            self.allocator.replace(budgets, self.steady_clock())
            self.slow_start.replace(slow_start_terms, self.steady_clock())
