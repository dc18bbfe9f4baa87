"""Grants quota to routers: one token bucket and one count of slots per budget. No I/O.

The bucket bounds what is granted, however it is divided.  It starts empty, so that an allocator that
restarts, or takes over from another one, grants nothing that the other may have granted too.
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

DEMAND_TTLS = 1  # grant TTLs after a router's last request, for which its demand counts
MAX_HOLDERS = (
    4_096  # routers per budget: beyond it the one silent for longest is forgotten, which bounds memory
)
MAX_ACCOUNTS = 4_096  # budgets with their partitions: beyond it one that is unused is forgotten
EVICTION_CANDIDATES = 16  # accounts, the least recently used, among which an unused one is looked for
MAX_NAME_LENGTH = 256  # characters of a budget's name with its partition
FORMER_PROCESS = "\n"  # between a router's name and the token of its former process; in no name
MAX_AMOUNT = 1e9  # tokens per second, tokens or slots in a request: more can't be meant


@dataclass(slots=True)
class QuotaHolder:
    """What the allocator knows of one process of a router.

    :param process_token: of the process.
    :param sequence_number: of its last request.
    :param last_request_at: microseconds; 0 before the first.
    :param wanted_rate: tokens per second.
    :param token_debt: fractions of a token due to it and not granted yet: less than one admits no request.
    :param slots_wanted: that it would use.
    :param slots: that it may have in use, until ``slots_free_at``.
    :param slots_free_at: microseconds, from which none of them is in use.
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

    :param budget: named with its partition.
    :param refilled_at: when the bucket was last refilled, microseconds.
    :param slots_blocked_until: microseconds; slots that an earlier allocator granted may be in use until
        then.
    :param tokens: in the bucket.
    :param tokens_granted: in all.
    :param holders: by the router's name, former processes by ``former_process_key``.
    """

    budget: Budget
    refilled_at: int
    slots_blocked_until: int
    tokens: float = 0.0
    tokens_granted: float = 0.0
    holders: dict[str, QuotaHolder] = field(default_factory=dict)

    def find_holder(self, request: QuotaRequest) -> QuotaHolder | None:
        """The process that sent a request, also where another one has followed it under its name."""
        current = self.holders.get(request.name)
        if current and current.process_token == request.process_token:
            return current
        return self.holders.get(former_process_key(request.name, request.process_token))

    def recent_holders(self, now: int) -> list[QuotaHolder]:
        """Those whose demand counts."""
        max_age = DEMAND_TTLS * self.budget.grant_ttl
        return [holder for holder in self.holders.values() if now - holder.last_request_at <= max_age]

    def refill(self, now: int) -> None:
        """Adds the tokens that are due since the last refill; a clock that was set back adds none."""
        if now <= self.refilled_at:
            return
        due = self.budget.shared_rate * (now - self.refilled_at) / SECOND
        self.tokens = min(self.budget.shared_burst, self.tokens + due)
        self.refilled_at = now

    def is_unused(self, now: int) -> bool:
        """Whether no slot of it can be in use, so that it can be forgotten."""
        return now >= self.slots_blocked_until and all(
            holder.slots_free_at <= now for holder in self.holders.values()
        )


class QuotaAllocator:
    """Grants out of a set of budgets.

    A partitioned budget has an account per partition, made at the first request for it.

    :param budgets: of the plan.
    :param now: microseconds of the allocator's monotonic clock; so are all times.
    :param first_allocator: no other allocator has granted from these budgets before. Otherwise no slot is
        granted until all that an earlier one may have granted are free.
    """

    def __init__(self, budgets: list[Budget], now: int, first_allocator: bool = False):
        self.budgets = {budget.name: budget for budget in budgets}
        self.accounts: OrderedDict[str, BudgetAccount] = OrderedDict()  # least recently requested first
        self.bucket_empty_at = dict.fromkeys(self.budgets, now)  # new accounts fill from then on
        self.slots_blocked_until = {
            budget.name: now if first_allocator else budget.slots_free_at(now) for budget in budgets
        }
        self.refused = 0  # number of requests
        for name in self.budgets:
            self._account(name, now)

    def replace(self, budgets: list[Budget], now: int) -> None:
        """Applies the budgets of a new plan.

        Earlier grants keep their terms, so a budget made smaller is respected once they have expired.
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
            self._account(name, now)

    def _block_changed_budgets(self, previous: dict[str, Budget], now: int) -> None:
        """New accounts of a changed budget start empty, and without slots until the old grants are over."""
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

        Where slots would now count as free sooner than their grants said, none is granted until those are
        over.
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

    def _account(self, name: str, now: int) -> BudgetAccount | None:
        """The account of a budget or partition; made at the first request for it.

        :returns: None where there is no such budget, or no room for an account.
        """
        account = self.accounts.get(name)
        if account is not None:
            self.accounts.move_to_end(name)
            return account
        base = base_name(name)
        if base not in self.budgets or not self._make_room(now):
            return None
        budget = replace(self.budgets[base], name=name)
        account = BudgetAccount(budget, self.bucket_empty_at[base], self.slots_blocked_until[base])
        self.accounts[name] = account
        return account

    def _make_room(self, now: int) -> bool:
        """Evicts an unused account where there are too many.

        Its bucket counts as empty from now on, or a partition that is evicted and made again would have its
        burst again.
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
        """Each account as it stands, for operators' commands."""
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
        """Grants what the budget has for one request.

        :param now: microseconds; the caller has just made sure that no other allocator has begun.
        """
        refusal = self._refusal(request, now)
        if refusal:
            self.refused += 1
            return refusal
        account = self.accounts[request.budget]
        holder = self._holder(account, request, now)
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
        tokens = self._tokens(account, holder, request, min(since_last, budget.grant_ttl), now)
        account.tokens -= tokens
        account.tokens_granted += tokens
        slots = self._slots(account, holder, request, now)
        return QuotaGrant(request.budget, request.process_token, request.sequence_number, tokens, slots)

    def _refusal(self, request: QuotaRequest, now: int) -> QuotaRefusal | None:
        """Why a request can't be granted, if it can't.

        Guards against requests that are late or doubled on their way: an old request would take back what a
        newer one said of the slots in use.
        """
        budget = self.budgets.get(base_name(request.budget))
        if budget is None or len(request.budget) > MAX_NAME_LENGTH:
            reason = f"there is no budget {request.budget!r:.60}"
            return QuotaRefusal(RefusedField.BUDGET, reason, "read the plan anew")
        if request.terms_checksum != budget.terms_checksum:
            reason = f"{budget.name} has other figures here"
            return QuotaRefusal(RefusedField.TERMS_CHECKSUM, reason, "give both the same plan")
        if refusal := _amount_refusal(request):
            return refusal
        account = self._account(request.budget, now)
        if account is None:
            reason = f"{MAX_ACCOUNTS} budgets are in use"
            return QuotaRefusal(RefusedField.BUDGET, reason, "count fewer by themselves")
        known = account.find_holder(request)
        if known and request.sequence_number <= known.sequence_number:
            reason = f"ask {request.sequence_number} after {known.sequence_number}"
            return QuotaRefusal(RefusedField.SEQUENCE_NUMBER, reason, "nothing: a late word")
        return None

    def _holder(self, account: BudgetAccount, request: QuotaRequest, now: int) -> QuotaHolder:
        """The record of the process that asks, under its router's name.

        Guards against slots granted twice after a router's restart: requests of the former process may still
        be in flight, so its record is kept under another key until its slots are free.
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
        """Forgets the holder without slots that has been silent for longest, if there is one."""
        last_requests = {
            name: holder.last_request_at
            for name, holder in account.holders.items()
            if holder.slots_free_at <= now
        }
        if last_requests:
            del account.holders[min(last_requests, key=last_requests.__getitem__)]

    def _tokens(
        self, account: BudgetAccount, holder: QuotaHolder, request: QuotaRequest, since_last: int, now: int
    ) -> float:
        """Tokens for one holder: its share of the rate until its next request is answered.

        The share is its max-min fair part of what routers want, and an equal part of what nobody wants.

        :param since_last: microseconds since its last request, the time for which it is due its share.
        """
        budget = account.budget
        demands = [each.wanted_rate for each in account.recent_holders(now)]
        bucket_rate = account.tokens * SECOND / budget.grant_ttl  # the bucket is handed out within a TTL
        fair_rate = min(holder.wanted_rate, max_min_fair_share(demands, budget.shared_rate + bucket_rate))
        spare_rate = max(0.0, budget.shared_rate - sum(demands)) / len(demands)
        rate = fair_rate + spare_rate
        needed = rate * (since_last + budget.grant_ttl // REQUESTS_PER_TTL) / SECOND
        if needed < 1:  # less than a token admits no request: it is saved up until it is one
            holder.token_debt += rate * since_last / SECOND
            if holder.token_debt < 1 or request.tokens_left >= 1:
                holder.token_debt = min(1.0, holder.token_debt)
                return 0.0
            holder.token_debt = 0.0
            needed = 1 + request.tokens_left
        return max(0.0, min(account.tokens, needed - request.tokens_left))

    def _slots(self, account: BudgetAccount, holder: QuotaHolder, request: QuotaRequest, now: int) -> int:
        """Slots in all for one holder: its share, of those that nobody else may have in use.

        Guards against one slot in use at two routers: where a holder is granted fewer than it has, they count
        as its own until a later request says that they are not in use.  So a router that holds all of them
        makes room for others.
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
    """The key of a process that another one has followed under its name."""
    return router + FORMER_PROCESS + process_token


def _amount_refusal(request: QuotaRequest) -> QuotaRefusal | None:
    """Refuses an amount that is negative, too large or not a number."""
    amounts = (
        (RefusedField.WANTED_RATE, request.wanted_rate, "figure of tokens"),
        (RefusedField.TOKENS_LEFT, request.tokens_left, "figure of tokens"),
        (RefusedField.SLOTS_KEPT, request.slots_kept, "number of slots"),
        (RefusedField.SLOTS_WANTED, request.slots_wanted, "number of slots"),
    )
    for place, amount, kind in amounts:
        is_valid = 0 <= amount <= MAX_AMOUNT  # false for NaN too
        if not is_valid:
            return QuotaRefusal(place, f"{amount} is no {kind}", "mend the sender")
    return None
