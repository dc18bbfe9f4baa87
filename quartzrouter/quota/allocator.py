"""Grants quota to routers, from one token bucket and one set of slots per budget. No I/O.

The bucket limits the sum of all grants.  It starts empty, so an allocator that restarts or takes over grants
no tokens that its predecessor may have granted already.
"""

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from quartzrouter.quota.budget import REQUESTS_PER_TTL, SECOND, Budget, base_name
from quartzrouter.quota.fairness import max_min_fair_share
from quartzrouter.quota.messages import (
    BudgetState,
    HolderState,
    QuotaGrant,
    QuotaRefusal,
    QuotaRequest,
    RefusedField,
)

# A router's demand counts for this many grant TTLs after its last request.
DEMAND_TTLS = 1
# Holders per budget, to bound memory; the one without slots that has been silent for longest is evicted.
MAX_HOLDERS = 4_096
# Accounts of budgets and their partitions, to bound memory; an unused one is evicted.
MAX_ACCOUNTS = 4_096
# Number of least recently used accounts that are searched for an unused one.
EVICTION_CANDIDATES = 16
# Characters in a budget's name, including its partition.
MAX_NAME_LENGTH = 256
# Separates a router's name from the token of its former process; no router's name contains it.
FORMER_PROCESS = "\n"
# Tokens per second, tokens or slots in one request; a larger value is invalid.
MAX_AMOUNT = 1e9


@dataclass(slots=True)
class QuotaHolder:
    """The allocator's record of one router process.

    :param process_token: identifies the process.
    :param sequence_number: sequence number of its last request.
    :param last_request_at: time of its last request, in microseconds; 0 before the first.
    :param wanted_rate: tokens per second that it would use.
    :param token_debt: fraction of a token that is due to it and not granted yet, as a request needs a whole
        token.
    :param slots_wanted: slots that it would use.
    :param slots: slots that it may have in use until ``slots_free_at``.
    :param slots_free_at: time from which none of its slots is in use, in microseconds.
    """

    process_token: str
    sequence_number: int = 0
    last_request_at: int = 0
    wanted_rate: float = 0.0
    token_debt: float = 0.0
    slots_wanted: int = 0
    slots: int = 0
    slots_free_at: int = 0


@dataclass(slots=True)
class BudgetAccount:
    """One budget's token bucket and its holders.

    :param budget: the budget; its name includes the partition.
    :param refilled_at: time at which the bucket was last refilled, in microseconds.
    :param slots_blocked_until: time until which slots that an earlier allocator granted may be in use, in
        microseconds; no slot is granted before.
    :param tokens: tokens in the bucket.
    :param tokens_granted: sum of all tokens granted.
    :param holders: current processes by the router's name, former ones by ``former_process_key``.
    """

    budget: Budget
    refilled_at: int
    slots_blocked_until: int
    tokens: float = 0.0
    tokens_granted: float = 0.0
    holders: dict[str, QuotaHolder] = field(default_factory=dict)

    def find_holder(self, request: QuotaRequest) -> QuotaHolder | None:
        """Returns the process that sent a request, even if a later process has taken over its name."""
        current = self.holders.get(request.name)
        if current and current.process_token == request.process_token:
            return current
        return self.holders.get(former_process_key(request.name, request.process_token))

    def recent_holders(self, now: int) -> list[QuotaHolder]:
        """Returns the holders whose demand counts."""
        max_age = DEMAND_TTLS * self.budget.grant_ttl
        return [holder for holder in self.holders.values() if now - holder.last_request_at <= max_age]

    def refill(self, now: int) -> None:
        """Adds the tokens due since the last refill; adds none if the clock has been set back."""
        if now <= self.refilled_at:
            return
        due = self.budget.shared_rate * (now - self.refilled_at) / SECOND
        self.tokens = min(self.budget.shared_burst, self.tokens + due)
        self.refilled_at = now

    def is_unused(self, now: int) -> bool:
        """Returns True if none of its slots can be in use, so that the account may be evicted."""
        return now >= self.slots_blocked_until and all(
            holder.slots_free_at <= now for holder in self.holders.values()
        )


class QuotaAllocator:
    """Grants tokens and slots from a set of budgets.

    A partitioned budget has an account per partition, created by the first request for it.

    :param budgets: the budgets of the plan.
    :param now: current time in microseconds of the allocator's monotonic clock, as are all times.
    :param first_allocator: True if no other allocator has granted from these budgets before. Otherwise no
        slot is granted until all slots that an earlier allocator may have granted are free.
    """

    def __init__(self, budgets: list[Budget], now: int, first_allocator: bool = False):
        self.budgets = {budget.name: budget for budget in budgets}
        self.accounts: OrderedDict[str, BudgetAccount] = OrderedDict()  # least recently requested first
        self.bucket_empty_at = dict.fromkeys(self.budgets, now)  # start of refilling for a new account
        self.slots_blocked_until = {
            budget.name: now if first_allocator else budget.slots_free_at(now) for budget in budgets
        }
        self.refused = 0  # number of refused requests
        for name in self.budgets:
            self._get_or_create_account(name, now)

    def replace(self, budgets: list[Budget], now: int) -> None:
        """Applies the budgets of a new plan.

        Earlier grants keep their terms, so a reduced budget is respected once they have expired.
        """
        previous = self.budgets
        self.budgets = {budget.name: budget for budget in budgets}
        self._block_changed_budgets(previous, now)
        for name, account in list(self.accounts.items()):
            budget = self.budgets.get(base_name(name))
            if budget is None:
                del self.accounts[name]
            else:
                self._change_terms(account, replace(budget, name=name), now)
        for name in self.budgets:
            self._get_or_create_account(name, now)

    def _block_changed_budgets(self, previous: dict[str, Budget], now: int) -> None:
        """Makes new accounts of a changed budget start empty, and without slots until old grants are over."""
        empty_before, blocked_before = self.bucket_empty_at, self.slots_blocked_until
        self.bucket_empty_at, self.slots_blocked_until = {}, {}
        for name, budget in self.budgets.items():
            old = previous.get(name)
            if old == budget:
                self.bucket_empty_at[name] = empty_before[name]
                self.slots_blocked_until[name] = blocked_before[name]
                continue
            self.bucket_empty_at[name] = now
            self.slots_blocked_until[name] = (
                max(blocked_before[name], old.slots_free_at(now)) if old else budget.slots_free_at(now)
            )

    @staticmethod
    def _change_terms(account: BudgetAccount, budget: Budget, now: int) -> None:
        """Changes an account's budget.

        If slots would count as free sooner under the new terms than under those of their grants, no slot is
        granted until those grants are over.
        """
        account.refill(now)
        old = account.budget
        frees_slots_sooner = (
            budget.max_request_time < old.max_request_time or budget.grant_ttl < old.grant_ttl
        )
        if frees_slots_sooner:
            account.slots_blocked_until = max(account.slots_blocked_until, old.slots_free_at(now))
        account.budget = budget
        account.tokens = min(account.tokens, budget.shared_burst)

    def _get_or_create_account(self, name: str, now: int) -> BudgetAccount | None:
        """Returns the account of a budget or partition, creating it if necessary.

        :returns: the account, or None if there is no such budget or no room for another account.
        """
        account = self.accounts.get(name)
        if account is not None:
            self.accounts.move_to_end(name)
            return account
        base = base_name(name)
        if base not in self.budgets or not self._evict_if_full(now):
            return None
        budget = replace(self.budgets[base], name=name)
        account = BudgetAccount(budget, self.bucket_empty_at[base], self.slots_blocked_until[base])
        self.accounts[name] = account
        return account

    def _evict_if_full(self, now: int) -> bool:
        """Evicts an unused account if the maximum is reached.

        From now on, the bucket of an account of the same budget that is created later counts as empty.
        Otherwise a partition that is evicted and created again would have its burst twice.

        :returns: True if there is room for another account.
        """
        if len(self.accounts) < MAX_ACCOUNTS:
            return True
        for name in list(self.accounts)[:EVICTION_CANDIDATES]:
            if self.accounts[name].is_unused(now):
                del self.accounts[name]
                self.bucket_empty_at[base_name(name)] = now
                return True
        return False

    def states(self, now: int) -> list[BudgetState]:
        """Returns the state of each account, for operators' commands."""
        states = []
        for name, account in self.accounts.items():
            account.refill(now)
            holders = tuple(
                HolderState(
                    router,
                    holder.wanted_rate,
                    holder.slots if holder.slots_free_at > now else 0,
                    now - holder.last_request_at,
                )
                for router, holder in account.holders.items()
                if FORMER_PROCESS not in router
            )
            budget = account.budget
            slots_wait = max(0, account.slots_blocked_until - now)
            states.append(
                BudgetState(
                    name,
                    budget.rate,
                    budget.slots,
                    account.tokens,
                    account.tokens_granted,
                    slots_wait,
                    holders,
                )
            )
        return states

    def handle_request(self, request: QuotaRequest, now: int) -> QuotaGrant | QuotaRefusal:
        """Grants what the budget allows for one request, or refuses the request.

        :param now: current time in microseconds; the caller has just checked that no other allocator has
            taken over.
        """
        refusal = self._check_request(request, now)
        if refusal:
            self.refused += 1
            return refusal
        account = self.accounts[request.budget]
        holder = self._get_or_create_holder(account, request, now)
        account.refill(now)
        budget = account.budget
        is_first_request = not holder.last_request_at
        since_last = (
            budget.grant_ttl // REQUESTS_PER_TTL if is_first_request else now - holder.last_request_at
        )
        holder.sequence_number = request.sequence_number
        holder.last_request_at = now
        holder.wanted_rate = request.wanted_rate
        holder.slots_wanted = request.slots_wanted
        tokens = self._tokens_to_grant(account, holder, request, min(since_last, budget.grant_ttl), now)
        account.tokens -= tokens
        account.tokens_granted += tokens
        slots = self._slots_to_grant(account, holder, request, now)
        return QuotaGrant(request.budget, request.process_token, request.sequence_number, tokens, slots)

    def _check_request(self, request: QuotaRequest, now: int) -> QuotaRefusal | None:
        """Returns a refusal if the request is invalid, late or a duplicate, otherwise None.

        A late or duplicated request would overwrite the slots in use that a newer request has reported.
        """
        budget = self.budgets.get(base_name(request.budget))
        if budget is None or len(request.budget) > MAX_NAME_LENGTH:
            reason = f"there is no budget {request.budget!r:.60}"
            return QuotaRefusal(RefusedField.BUDGET, reason, "reload the plan")
        if request.terms_checksum != budget.terms_checksum:
            reason = f"{budget.name} has other terms in the ledger's plan"
            return QuotaRefusal(
                RefusedField.TERMS_CHECKSUM, reason, "load the same plan in the router and the ledger"
            )
        if refusal := _check_amounts(request):
            return refusal
        account = self._get_or_create_account(request.budget, now)
        if account is None:
            reason = f"{MAX_ACCOUNTS} budgets and partitions are in use"
            return QuotaRefusal(RefusedField.BUDGET, reason, "reduce the number of partitions")
        known = account.find_holder(request)
        if known and request.sequence_number <= known.sequence_number:
            reason = f"request {request.sequence_number} arrived after request {known.sequence_number}"
            return QuotaRefusal(
                RefusedField.SEQUENCE_NUMBER, reason, "none needed: the request was late or duplicated"
            )
        return None

    def _get_or_create_holder(self, account: BudgetAccount, request: QuotaRequest, now: int) -> QuotaHolder:
        """Returns the record of the requesting process and stores it under its router's name.

        Prevents slots from being granted twice after a router's restart: requests of the former process may
        still be in flight, so its record is kept under another key until its slots are free.
        """
        current = account.holders.get(request.name)
        if current and current.process_token == request.process_token:
            return current
        holder = account.find_holder(request) or QuotaHolder(request.process_token)
        account.holders.pop(former_process_key(request.name, request.process_token), None)
        if current is None and len(account.holders) >= MAX_HOLDERS:
            self._evict_holder(account, now)
        if current:
            account.holders[former_process_key(request.name, current.process_token)] = current
        account.holders[request.name] = holder
        return holder

    @staticmethod
    def _evict_holder(account: BudgetAccount, now: int) -> None:
        """Evicts the holder that has been silent for longest among those without slots, if there is one."""
        last_requests = {
            name: holder.last_request_at
            for name, holder in account.holders.items()
            if holder.slots_free_at <= now
        }
        if last_requests:
            del account.holders[min(last_requests, key=last_requests.__getitem__)]

    def _tokens_to_grant(
        self, account: BudgetAccount, holder: QuotaHolder, request: QuotaRequest, since_last: int, now: int
    ) -> float:
        """Returns the tokens to grant to a holder: its share of the rate until its next request is answered.

        The share is its max-min fair share of what routers want, plus an equal part of what no router wants.

        :param since_last: microseconds since its last request, for which its share is due.
        """
        budget = account.budget
        demands = [each.wanted_rate for each in account.recent_holders(now)]
        bucket_rate = account.tokens * SECOND / budget.grant_ttl  # the bucket is granted within one TTL
        fair_rate = min(holder.wanted_rate, max_min_fair_share(demands, budget.shared_rate + bucket_rate))
        spare_rate = max(0.0, budget.shared_rate - sum(demands)) / len(demands)
        rate = fair_rate + spare_rate
        needed = rate * (since_last + budget.grant_ttl // REQUESTS_PER_TTL) / SECOND
        if needed < 1:  # a request needs a whole token, so fractions accumulate until they make one
            holder.token_debt += rate * since_last / SECOND
            if holder.token_debt < 1 or request.tokens_left >= 1:
                holder.token_debt = min(1.0, holder.token_debt)
                return 0.0
            holder.token_debt = 0.0
            needed = 1 + request.tokens_left
        return max(0.0, min(account.tokens, needed - request.tokens_left))

    def _slots_to_grant(
        self, account: BudgetAccount, holder: QuotaHolder, request: QuotaRequest, now: int
    ) -> int:
        """Returns the total slots to grant to one holder: its share of those that no other may have in use.

        Prevents one slot from being used at two routers: if a holder is granted fewer slots than it has, the
        difference counts as its own until a later request reports it as not in use.  This way a router that
        holds all slots makes room for others.
        """
        budget = account.budget
        if holder.slots_free_at <= now:
            holder.slots = 0
        holder.slots = min(holder.slots, request.slots_kept)
        if now < account.slots_blocked_until or not budget.slots:
            return holder.slots
        self._forget_former_processes(account, now)
        used_by_others = sum(
            other.slots
            for other in account.holders.values()
            if other is not holder and other.slots_free_at > now
        )
        demands = [float(each.slots_wanted) for each in account.recent_holders(now)]
        fair_slots = max(1, int(max_min_fair_share(demands, float(budget.shared_slots))))
        granted = max(0, min(request.slots_wanted, fair_slots, budget.shared_slots - used_by_others))
        holder.slots = max(holder.slots, granted)
        holder.slots_free_at = budget.slots_free_at(now)
        return granted

    @staticmethod
    def _forget_former_processes(account: BudgetAccount, now: int) -> None:
        """Removes the records of former processes whose slots are free."""
        finished = [
            name
            for name, holder in account.holders.items()
            if FORMER_PROCESS in name and holder.slots_free_at <= now
        ]
        for name in finished:
            del account.holders[name]


def former_process_key(router: str, process_token: str) -> str:
    """Returns the key for a process whose name another process has taken over."""
    return router + FORMER_PROCESS + process_token


def _check_amounts(request: QuotaRequest) -> QuotaRefusal | None:
    """Returns a refusal if an amount is negative, too large or not a number, otherwise None."""
    amounts = (
        (RefusedField.WANTED_RATE, request.wanted_rate, "token rate"),
        (RefusedField.TOKENS_LEFT, request.tokens_left, "number of tokens"),
        (RefusedField.SLOTS_KEPT, request.slots_kept, "number of slots"),
        (RefusedField.SLOTS_WANTED, request.slots_wanted, "number of slots"),
    )
    for place, amount, kind in amounts:
        is_valid = 0 <= amount <= MAX_AMOUNT  # false for NaN too
        if not is_valid:
            return QuotaRefusal(place, f"{amount} is not a valid {kind}", "fix the sender")
    return None
