"""All shared budgets at one router: which of them it uses, and when to request quota. No I/O."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from quartzrouter.quota.budget import PARTITION_SEPARATOR, Budget, base_name
from quartzrouter.quota.local_quota import LocalQuota
from quartzrouter.quota.messages import QuotaGrant, QuotaRequest

# Budgets and partitions (such as recently seen tenants) that are kept; they take 6 MB.
MAX_QUOTAS = 4_096
# Number of least recently used quotas that are searched for one in its initial state.
EVICTION_CANDIDATES = 16
# Limits a message to 70 KB; further requests are sent with the next message.
MAX_REQUESTS_PER_MESSAGE = 512
# Grant TTLs without use after which no quota is requested for a budget.
IDLE_TTLS = 3
# Microseconds until the next check for due requests while no budget is in use.
IDLE_INTERVAL = 250_000
# Minimum microseconds between two checks for due requests.
MIN_INTERVAL = 5_000
MICROSECONDS_PER_MILLISECOND = 1_000
# Characters in a partition's name; a longer one is hashed to limit the size of messages.
MAX_PLAIN_PARTITION = 64


@dataclass(frozen=True, slots=True)
class QuotaCounters:
    """Counters since the start, over all partitions of a budget.

    :param admitted_by_guarantee: requests admitted by the guaranteed minimum.
    :param denied: requests denied.
    :param invalid_grants: grants that were ignored as invalid.
    :param cut_off: partitions in use for which no grant arrives in time.
    :param late_grants: grants that arrived after they had expired.
    :param grant_delay: microseconds between the last answered request for quota and its grant, the longest
        of all partitions.
    """

    admitted_by_guarantee: int = 0
    denied: int = 0
    invalid_grants: int = 0
    cut_off: int = 0
    late_grants: int = 0
    grant_delay: int = 0


def describe_changes(now: QuotaCounters, before: QuotaCounters) -> str:
    """Returns a log line on what has changed between two readings; empty if there is nothing to report."""
    admitted = now.admitted_by_guarantee - before.admitted_by_guarantee
    denied = now.denied - before.denied
    invalid_grants = now.invalid_grants - before.invalid_grants
    late_grants = now.late_grants - before.late_grants
    parts = []
    if now.cut_off and admitted:
        parts.append(f"no grants arrive in time: {admitted} requests admitted by the guaranteed minimum")
    if before.cut_off and not now.cut_off:
        parts.append("grants arrive in time again")
    if parts and denied:
        parts.append(f"{denied} denied")
    if late_grants:
        delay_ms = now.grant_delay // MICROSECONDS_PER_MILLISECOND
        parts.append(
            f"{late_grants} grants arrived after they had expired, the last grant took {delay_ms} ms"
        )
    if invalid_grants:
        parts.append(f"{invalid_grants} invalid grants ignored")
    return ", ".join(parts)


class QuotaClient:
    """A router's shares of all shared budgets.

    :param budgets: the budgets of the plan.
    :param name: the router's name.
    :param process_token: identifies the router's process.
    :param steady_clock: returns the time of this machine's monotonic clock in microseconds. It is read for
        each request, as a process that is suspended may resume after all its grants have expired.
    """

    def __init__(
        self, budgets: Sequence[Budget], name: str, process_token: str, steady_clock: Callable[[], int]
    ):
        self.name = name
        self.process_token = process_token
        self.steady_clock = steady_clock
        self.budgets = {budget.name: budget for budget in budgets}
        self.quotas: OrderedDict[str, LocalQuota] = OrderedDict()  # least recently used first
        # Time of the last use, by the keys for which quota is requested.
        self.last_used: dict[str, int] = {}
        self.next_request_at: dict[str, int] = {}
        # A quota that is evicted and created again must not gain guaranteed tokens by it.
        self.guaranteed_since = steady_clock()
        # The highest of all removed quotas: a quota that is created later must not count from 1 again.
        self.last_sequence_number = 0
        self.has_new_demand = False  # True if quota should be requested at once for a budget newly in use
        self.unknown_grants = 0  # grants for budgets that are not in use at this router

    def replace(self, budgets: Sequence[Budget]) -> None:
        """Applies a new plan: unchanged budgets keep grants, changed ones drop to the guaranteed minimum."""
        previous = self.budgets
        self.budgets = {budget.name: budget for budget in budgets}
        now = self.steady_clock()
        for key, quota in list(self.quotas.items()):
            budget = self.budgets.get(base_name(key))
            if budget is None:
                self._forget(key)
            elif previous[budget.name] != budget:
                quota.replace(replace(budget, name=key), now)

    def key(self, budget: str, partition: str) -> str:
        """Returns the name of a budget's partition for one tenant, route, pool or client.

        :param partition: what is counted separately; empty if the budget is not partitioned.
        """
        if not partition:
            return budget
        is_plain = (
            len(partition) <= MAX_PLAIN_PARTITION
            and partition.isascii()
            and partition.isprintable()
            and PARTITION_SEPARATOR not in partition
        )
        if is_plain:
            return f"{budget}{PARTITION_SEPARATOR}{partition}"
        digest = hashlib.blake2b(partition.encode(), digest_size=8).hexdigest()
        return f"{budget}{PARTITION_SEPARATOR}#{digest}"

    def time_until_admitted(self, key: str, kept_free: float = 0.0) -> int:
        """Returns 0 if a request may begin now; see ``LocalQuota.time_until_admitted``.

        :returns: 0 if the request may begin, otherwise the microseconds after which to retry.
        """
        now = self.steady_clock()
        is_new_demand = key not in self.last_used and self.next_request_at.get(key, 0) <= now
        self.has_new_demand = self.has_new_demand or is_new_demand
        self.last_used[key] = now
        return self._quota(key, now).time_until_admitted(now, kept_free)

    def use(self, key: str) -> LocalQuota:
        """Begins a request that ``time_until_admitted`` has just admitted.

        :returns: the quota, whose ``release`` is to be called when the request ends.
        """
        quota = self.quotas[key]
        quota.use()
        return quota

    def _quota(self, key: str, now: int) -> LocalQuota:
        quota = self.quotas.get(key)
        if quota is not None:
            self.quotas.move_to_end(key)
            return quota
        if len(self.quotas) >= MAX_QUOTAS:
            self._evict(now)
        budget = replace(self.budgets[base_name(key)], name=key)
        quota = LocalQuota(budget, self.name, self.process_token, now, self.guaranteed_since)
        quota.last_sequence_number = self.last_sequence_number
        self.quotas[key] = quota
        return quota

    def _evict(self, now: int) -> None:
        """Evicts a quota in its initial state if there is one, otherwise one without requests in flight.

        Prevents guaranteed tokens from being used twice: a quota that is not in its initial state may have
        used its tokens a moment ago, so the guaranteed tokens of quotas created later accrue from now on.
        """
        candidates = list(self.quotas)[:EVICTION_CANDIDATES]
        in_initial_state = [key for key in candidates if self.quotas[key].is_in_initial_state(now)]
        without_requests = [key for key in candidates if not self.quotas[key].in_use]
        if not in_initial_state:
            self.guaranteed_since = now
        if in_initial_state or without_requests:
            self._forget((in_initial_state or without_requests)[0])

    def _forget(self, key: str) -> None:
        quota = self.quotas.pop(key)
        self.last_sequence_number = max(self.last_sequence_number, quota.last_sequence_number)
        self.last_used.pop(key, None)
        self.next_request_at.pop(key, None)

    # -- requests for quota ----------------------------------------------------------------------------

    def due_requests(self) -> tuple[QuotaRequest, ...]:
        """Returns the requests for quota that are due, for budgets in use; the longest overdue come first."""
        now = self.steady_clock()
        self.has_new_demand = False
        self._stop_requesting_idle(now)
        due = sorted((self.next_request_at.get(key, 0), key) for key in self.last_used)
        requests = []
        for due_at, key in due[:MAX_REQUESTS_PER_MESSAGE]:
            if due_at <= now:
                quota = self.quotas[key]
                self.next_request_at[key] = now + quota.budget.request_interval
                requests.append(quota.next_request(now))
        return tuple(requests)

    def _stop_requesting_idle(self, now: int) -> None:
        """Stops requesting quota for budgets that are idle and have no request in flight."""
        for key, last_used in list(self.last_used.items()):
            quota = self.quotas[key]
            is_idle = now - last_used > IDLE_TTLS * quota.budget.grant_ttl
            if is_idle and not quota.in_use:
                del self.last_used[key]

    def time_until_next_request(self) -> int:
        """Returns the microseconds until a request is due, unless another budget comes into use before."""
        due_at = min((self.next_request_at.get(key, 0) for key in self.last_used), default=None)
        if due_at is None:
            return IDLE_INTERVAL
        return max(MIN_INTERVAL, due_at - self.steady_clock())

    def apply_grants(self, grants: Sequence[QuotaGrant]) -> None:
        """Applies the allocator's grants."""
        now = self.steady_clock()
        for grant in grants:
            quota = self.quotas.get(grant.budget)
            if quota is None:
                self.unknown_grants += 1
            else:
                quota.apply_grant(grant, now)

    # -- reports ---------------------------------------------------------------------------------------

    def counters(self) -> dict[str, QuotaCounters]:
        """Returns the counters of each budget in the plan, over all of its partitions."""
        now = self.steady_clock()
        counters_by_budget = {}
        for name in self.budgets:
            quotas = {key: quota for key, quota in self.quotas.items() if base_name(key) == name}
            counters_by_budget[name] = QuotaCounters(
                sum(quota.admitted_by_guarantee for quota in quotas.values()),
                sum(quota.denied for quota in quotas.values()),
                sum(quota.invalid_grants for quota in quotas.values()),
                sum(key in self.last_used and quota.is_cut_off(now) for key, quota in quotas.items()),
                sum(quota.late_grants for quota in quotas.values()),
                max((quota.grant_delay for quota in quotas.values()), default=0),
            )
        return counters_by_budget
