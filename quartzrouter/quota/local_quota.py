"""One budget at one router: what it may use now by its own clock, and what it requests. No I/O."""

from collections import deque
from typing import NamedTuple

from quartzrouter.quota.budget import SECOND, Budget
from quartzrouter.quota.messages import QuotaGrant, QuotaRequest

# Unanswered requests for quota that are kept; the grant of an older one has expired.
MAX_PENDING_REQUESTS = 64
# Requests between two requests for quota; a rate measured from fewer is not representative.
MIN_RATE_SAMPLE = 4


class TokenGrant(NamedTuple):
    """The unused tokens of one grant.

    :param expires_at: expiry in microseconds of this router's clock.
    :param tokens: tokens that are not used yet.
    """

    expires_at: int
    tokens: float


class DemandSample(NamedTuple):
    """The demand beyond the guaranteed minimum between two requests for quota.

    :param since: start of the sample, in microseconds of this router's clock.
    :param requests: number of requests for which the guaranteed minimum did not suffice.
    """

    since: int
    requests: int


class LocalQuota:
    """A router's share of one budget.

    :param budget: the budget in the plan; its name includes the partition.
    :param name: the router's name.
    :param process_token: identifies the router's process.
    :param now: current time in microseconds of this router's monotonic clock, as are all times.
    :param guaranteed_since: time from which guaranteed tokens accrue, if that is earlier than ``now``.
    """

    def __init__(
        self, budget: Budget, name: str, process_token: str, now: int, guaranteed_since: int | None = None
    ):
        self.budget = budget
        self.name = name
        self.process_token = process_token
        self.last_sequence_number = 0
        self.pending_requests: dict[int, int] = {}  # time of each unanswered request, by sequence number
        self.token_grants: deque[TokenGrant] = deque()  # ordered by expiry, earliest first
        guaranteed_since = now if guaranteed_since is None else guaranteed_since
        # The bucket starts empty, so that a restart does not provide the guaranteed burst again.
        self.guaranteed_tokens = 0.0
        self.guaranteed_refilled_at = guaranteed_since
        # Until then, requests of a former process may be in flight in the same guaranteed slots.
        self.guaranteed_slots_from = guaranteed_since + budget.max_request_time
        self.granted_slots = 0
        self.granted_slots_expire_at = now
        self.in_use = 0  # requests in flight
        self.peak_in_use = 0  # since the last request for quota
        self.denied_for_slots = 0  # since the last request for quota
        self.wanted_rate = 0.0  # tokens per second beyond the guaranteed minimum
        self.demand_since = now
        self.demand = 0  # requests since demand_since for which the guaranteed minimum did not suffice
        self.recent_demand: deque[DemandSample] = deque()
        self.last_grant_at = now
        self.grant_delay = 0  # microseconds between the last answered request for quota and its grant
        self.admitted_by_guarantee = 0
        self.denied = 0
        self.invalid_grants = 0
        self.late_grants = 0

    # -- use -------------------------------------------------------------------------------------------

    def time_until_admitted(self, now: int, kept_free: float = 0.0) -> int:
        """Returns 0 if a request may begin now, otherwise the time until a retry; counts it as demand.

        :param now: current time in microseconds, read right before the call, as a process that was suspended
            may resume after a grant has expired.
        :param kept_free: share of the slots, from 0 to 1, that a low-priority request leaves to others.
        :returns: 0 if the request may begin; otherwise the microseconds after which to retry, as more may be
            granted by then.
        """
        usable_slots = int(self._usable_slots(now) * (1 - kept_free))
        if self.budget.slots and self.in_use >= usable_slots:
            self.denied += 1
            self.denied_for_slots += 1
            return self.budget.request_interval
        if self.budget.rate and not self._has_token(now):
            self.denied += 1
            return self.budget.request_interval
        return 0

    def try_use(self, now: int, kept_free: float = 0.0) -> int:
        """Begins a request if it is admitted; parameters and result are those of ``time_until_admitted``."""
        retry_after = self.time_until_admitted(now, kept_free)
        if not retry_after:
            self.use()
        return retry_after

    def use(self) -> None:
        """Begins a request that ``time_until_admitted`` has just admitted.

        Uses a slot and a token.  Guaranteed tokens are used first, as no other router can use them.
        """
        if self.budget.rate and self.guaranteed_tokens >= 1:
            self.guaranteed_tokens -= 1
            self.admitted_by_guarantee += 1
        elif self.budget.rate:
            next_to_expire = self.token_grants[0]
            self.token_grants[0] = next_to_expire._replace(tokens=next_to_expire.tokens - 1)
        self.in_use += 1
        self.peak_in_use = max(self.peak_in_use, self.in_use)

    def release(self) -> None:
        """Ends a request, once its final response has been sent."""
        self.in_use -= 1

    def _has_token(self, now: int) -> bool:
        """Returns True if a token is available, and counts demand beyond the guaranteed tokens.

        Fractions of two grants are added up and expire with the earlier grant.
        """
        while self.token_grants and (
            self.token_grants[0].expires_at <= now or self.token_grants[0].tokens < 1
        ):
            used_up = self.token_grants.popleft()
            has_fraction = used_up.expires_at > now and used_up.tokens > 0
            if has_fraction and self.token_grants:
                tokens = self.token_grants[0].tokens + used_up.tokens
                self.token_grants[0] = TokenGrant(used_up.expires_at, tokens)
        self._refill_guaranteed_tokens(now)
        if self.guaranteed_tokens >= 1:
            return True
        self.demand += 1
        return bool(self.token_grants)

    def _refill_guaranteed_tokens(self, now: int) -> None:
        if now <= self.guaranteed_refilled_at:
            return
        due = self.budget.guaranteed_rate * (now - self.guaranteed_refilled_at) / SECOND
        self.guaranteed_tokens = min(self.budget.guaranteed_burst, self.guaranteed_tokens + due)
        self.guaranteed_refilled_at = now

    def _guaranteed_slots(self, now: int) -> int:
        return self.budget.guaranteed_slots if now >= self.guaranteed_slots_from else 0

    def _usable_slots(self, now: int) -> int:
        granted = self.granted_slots if now < self.granted_slots_expire_at else 0
        return self._guaranteed_slots(now) + granted

    def tokens_left(self, now: int) -> float:
        """Returns the tokens that are granted and neither used nor expired."""
        return sum(grant.tokens for grant in self.token_grants if grant.expires_at > now)

    def is_in_initial_state(self, now: int) -> bool:
        """Returns True if a new quota would have the same state.

        That is the case if nothing is in flight or granted and all guaranteed tokens and slots are available.
        """
        self._refill_guaranteed_tokens(now)
        is_full = not self.budget.rate or self.guaranteed_tokens >= self.budget.guaranteed_burst
        has_grant = self.has_grant(now)
        return is_full and not self.in_use and not has_grant and now >= self.guaranteed_slots_from

    def replace(self, budget: Budget, now: int) -> None:
        """Applies new terms: drops grants under the old ones, but still counts requests in flight."""
        self._refill_guaranteed_tokens(now)
        self.guaranteed_tokens = min(self.guaranteed_tokens, budget.guaranteed_burst)
        self.budget = budget
        self.granted_slots = 0
        self.granted_slots_expire_at = now
        self.token_grants.clear()
        self.pending_requests.clear()

    def has_grant(self, now: int) -> bool:
        """Returns True if a granted token is left or granted slots have not expired."""
        has_slots = self.granted_slots > 0 and now < self.granted_slots_expire_at
        return self.tokens_left(now) >= 1 or has_slots

    def is_cut_off(self, now: int) -> bool:
        """Returns True if no grant arrived in time for one TTL, so only the guaranteed minimum is left."""
        return now - self.last_grant_at > self.budget.grant_ttl

    # -- requests for quota ----------------------------------------------------------------------------

    def next_request(self, now: int) -> QuotaRequest:
        """Returns the next request for quota.

        Prevents a slot from being used at two routers: from now on this router uses no more slots than the
        request reports as kept, so the allocator may grant the others to another router.
        """
        self._measure_demand(now)
        guaranteed_slots = self._guaranteed_slots(now)
        slots_wanted = self._wanted_slots(guaranteed_slots)
        self.denied_for_slots = 0
        self.granted_slots = min(self.granted_slots, max(self.in_use - guaranteed_slots, slots_wanted))
        self.peak_in_use = self.in_use
        self.last_sequence_number += 1
        self.pending_requests[self.last_sequence_number] = now
        while len(self.pending_requests) > MAX_PENDING_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        # Slots in use count even if fewer are granted by now.
        slots_kept = max(self.granted_slots, self.in_use - guaranteed_slots)
        return QuotaRequest(
            budget=self.budget.name,
            name=self.name,
            process_token=self.process_token,
            sequence_number=self.last_sequence_number,
            wanted_rate=self.wanted_rate,
            tokens_left=self.tokens_left(now),
            slots_kept=slots_kept,
            slots_wanted=slots_wanted if self.budget.slots else 0,
            terms_checksum=self.budget.terms_checksum,
        )

    def _wanted_slots(self, guaranteed_slots: int) -> int:
        """Returns the slots to request: 25% more than were in use, up to 100% more if some were denied."""
        peak = self.peak_in_use
        headroom = max(peak // 4 + 1, min(self.denied_for_slots, peak))
        return max(0, peak + headroom - guaranteed_slots)

    def _measure_demand(self, now: int) -> None:
        """Sets the wanted rate to the average over a grant's TTL, or to the latest rate if that is higher."""
        latest_rate = self.demand / max(1, now - self.demand_since) * SECOND
        self.recent_demand.append(DemandSample(self.demand_since, self.demand))
        oldest_allowed = now - self.budget.grant_ttl
        while self.recent_demand[0].since < oldest_allowed and len(self.recent_demand) > 1:
            self.recent_demand.popleft()
        requests = sum(sample.requests for sample in self.recent_demand)
        usual_rate = requests / max(1, now - self.recent_demand[0].since) * SECOND
        is_representative = self.demand >= MIN_RATE_SAMPLE
        self.wanted_rate = max(usual_rate, latest_rate) if is_representative else usual_rate
        self.demand = 0
        self.demand_since = now

    def apply_grant(self, grant: QuotaGrant, now: int) -> bool:
        """Applies the grant that answers a pending request, once.

        Duplicated, reordered and foreign grants are ignored: a grant counts only if its request is pending.
        Its slots count only if it answers the last request, which may have confined this router to fewer.

        :returns: True if the grant was applied. An implausible grant, or one that answers no pending request,
            counts as invalid.
        """
        requested_at = None
        if self._is_plausible(grant):
            requested_at = self.pending_requests.pop(grant.sequence_number, None)
        if requested_at is None:
            self.invalid_grants += 1
            return False
        self.grant_delay = now - requested_at
        self._forget_requests_before(grant.sequence_number)
        expires_at = self.budget.grant_expiry(requested_at)
        if expires_at <= now:
            self.late_grants += 1
            return False
        self.last_grant_at = now
        if grant.tokens:
            self.token_grants.append(TokenGrant(expires_at, grant.tokens))
        if grant.sequence_number == self.last_sequence_number:
            self.granted_slots = grant.slots
            self.granted_slots_expire_at = expires_at
        return True

    def _is_plausible(self, grant: QuotaGrant) -> bool:
        """Returns True if a grant is for this process and budget and within the budget; False for NaN."""
        budget = self.budget
        max_tokens = budget.shared_rate * budget.grant_ttl / SECOND + budget.shared_burst
        is_ours = grant.budget == budget.name and grant.process_token == self.process_token
        has_amounts = 0 <= grant.tokens <= max_tokens and 0 <= grant.slots <= budget.shared_slots
        return is_ours and has_amounts

    def _forget_requests_before(self, sequence_number: int) -> None:
        """Removes earlier pending requests: as answers arrive in order, theirs are lost."""
        earlier = [number for number in self.pending_requests if number < sequence_number]
        for number in earlier:
            del self.pending_requests[number]
