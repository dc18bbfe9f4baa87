"""All shared budgets at one router: which it uses, and when to ask for quota. No I/O."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from quartzrouter.quota.budget import PARTITION_SEPARATOR, Budget, base_name
from quartzrouter.quota.local_quota import LocalQuota
from quartzrouter.quota.messages import QuotaGrant, QuotaRequest

MAX_QUOTAS = 4_096  # budgets with their partitions (tenants seen lately) that are kept: 6 MB
EVICTION_CANDIDATES = 16  # quotas, the least recently used, among which one at rest is looked for
MAX_REQUESTS_PER_MESSAGE = 512  # 70 KB; the others go with the next message
IDLE_TTLS = 3  # times to live without a request after which a budget is asked for no more
IDLE_INTERVAL = 250_000  # microseconds until the next look where no budget is in use
MIN_INTERVAL = 5_000  # microseconds between two looks
MICROSECONDS_PER_MILLISECOND = 1_000
MAX_PLAIN_PARTITION = 64  # characters; longer names of tenants are hashed, which bounds the messages


@dataclass(frozen=True, slots=True)
class QuotaCounters:
    """What became of the requests since the start, over all partitions of a budget.

    :param admitted_by_guarantee: requests that the guaranteed minimum admitted.
    :param denied: requests.
    :param invalid_grants: messages that were not obeyed.
    :param cut_off: partitions in use for which no grant comes in time.
    :param late_grants: messages that came after what they grant had expired.
    :param answer_delay: microseconds from the last answered request to its grant, the longest of the
        partitions'.
    """

    admitted_by_guarantee: int = 0
    denied: int = 0
    invalid_grants: int = 0
    cut_off: int = 0
    late_grants: int = 0
    answer_delay: int = 0


def describe_changes(now: QuotaCounters, before: QuotaCounters) -> str:
    """A log line on what has happened since; empty where there is nothing to say."""
    admitted = now.admitted_by_guarantee - before.admitted_by_guarantee
    denied = now.denied - before.denied
    invalid_grants = now.invalid_grants - before.invalid_grants
    late_grants = now.late_grants - before.late_grants
    parts = []
    if now.cut_off and admitted:
        parts.append(f"no grants come: {admitted} requests admitted by the guaranteed minimum")
    if before.cut_off and not now.cut_off:
        parts.append("grants come again")
    if parts and denied:
        parts.append(f"{denied} denied")
    if late_grants:
        delay_ms = now.answer_delay // MICROSECONDS_PER_MILLISECOND
        parts.append(f"{late_grants} grants came after their end, the last grant after {delay_ms} ms")
    if invalid_grants:
        parts.append(f"{invalid_grants} invalid grants ignored")
    return ", ".join(parts)


class QuotaClient:
    """A router's parts in the shared budgets.

    :param budgets: of the plan.
    :param name: of the router.
    :param process_token: of its process.
    :param steady_clock: reads this machine's monotonic clock, microseconds.  It is read for each request: a
        process that is stopped between two of them may wake after the end of all its grants.
    """

    def __init__(
        self, budgets: Sequence[Budget], name: str, process_token: str, steady_clock: Callable[[], int]
    ):
        self.name = name
        self.process_token = process_token
        self.steady_clock = steady_clock
        self.budgets = {budget.name: budget for budget in budgets}
        self.quotas: OrderedDict[str, LocalQuota] = OrderedDict()  # the least recently used first
        self.last_used: dict[
            str, int
        ] = {}  # when a request last counted in it; only of those to be asked for
        self.next_request_at: dict[str, int] = {}
        self.guaranteed_since = steady_clock()  # what is forgotten must not gain guaranteed tokens by it
        self.last_sequence_number = 0  # of forgotten quotas: one made later must not count from 1 again
        self.has_new_demand = False  # a budget has come into use that should be asked for at once
        self.unknown_grants = 0  # of budgets that are not in use here

    def replace(self, budgets: Sequence[Budget]) -> None:
        """Applies a new plan: what stays the same keeps its grants, what changes starts at its guarantee."""
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
        """The name of a budget's part for one tenant, route, pool or client.

        :param partition: whom it counts apart; empty where the budget counts all together.
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
        """Whether a request may begin now, as of ``LocalQuota.time_until_admitted``.

        :returns: 0 where it may begin; else microseconds after which to retry.
        """
        now = self.steady_clock()
        is_new_demand = key not in self.last_used and self.next_request_at.get(key, 0) <= now
        self.has_new_demand = self.has_new_demand or is_new_demand
        self.last_used[key] = now
        return self._quota(key, now).time_until_admitted(now, kept_free)

    def use(self, key: str) -> LocalQuota:
        """Begins a request that ``time_until_admitted`` has just admitted.

        :returns: the quota to release once the request is over.
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
        """Forgets a quota: best one at rest, else one without requests in flight.

        Guards against guaranteed tokens used twice: where none is at rest, the forgotten one may have used
        its tokens a moment ago, so those of all quotas made from now on accrue from now.
        """
        candidates = list(self.quotas)[:EVICTION_CANDIDATES]
        at_rest = [key for key in candidates if self.quotas[key].is_at_rest(now)]
        not_in_use = [key for key in candidates if not self.quotas[key].in_use]
        if not at_rest:
            self.guaranteed_since = now
        if at_rest or not_in_use:
            self._forget((at_rest or not_in_use)[0])

    def _forget(self, key: str) -> None:
        quota = self.quotas.pop(key)
        self.last_sequence_number = max(self.last_sequence_number, quota.last_sequence_number)
        self.last_used.pop(key, None)
        self.next_request_at.pop(key, None)

    # -- requests for quota ----------------------------------------------------------------------------

    def due_requests(self) -> tuple[QuotaRequest, ...]:
        """The requests to send now: for each budget in use whose time has come, the longest due first."""
        now = self.steady_clock()
        self.has_new_demand = False
        self._drop_idle(now)
        due = sorted((self.next_request_at.get(key, 0), key) for key in self.last_used)
        requests = []
        for due_at, key in due[:MAX_REQUESTS_PER_MESSAGE]:
            if due_at <= now:
                quota = self.quotas[key]
                self.next_request_at[key] = now + quota.budget.request_interval
                requests.append(quota.next_request(now))
        return tuple(requests)

    def _drop_idle(self, now: int) -> None:
        """Budgets without a request for a while, and with none in flight, are asked for no more."""
        for key, last_used in list(self.last_used.items()):
            quota = self.quotas[key]
            is_idle = now - last_used > IDLE_TTLS * quota.budget.grant_ttl
            if is_idle and not quota.in_use:
                del self.last_used[key]

    def time_until_next_request(self) -> int:
        """Microseconds until a request is due, where no other budget comes into use meanwhile."""
        due_at = min((self.next_request_at.get(key, 0) for key in self.last_used), default=None)
        if due_at is None:
            return IDLE_INTERVAL
        return max(MIN_INTERVAL, due_at - self.steady_clock())

    def apply_grants(self, grants: Sequence[QuotaGrant]) -> None:
        """Applies grants of the allocator."""
        now = self.steady_clock()
        for grant in grants:
            quota = self.quotas.get(grant.budget)
            if quota is None:
                self.unknown_grants += 1
            else:
                quota.apply_grant(grant, now)

    # -- reports ---------------------------------------------------------------------------------------

    def counters(self) -> dict[str, QuotaCounters]:
        """Counters by the budgets of the plan, over their partitions."""
        now = self.steady_clock()
        found = {}
        for name in self.budgets:
            quotas = {key: quota for key, quota in self.quotas.items() if base_name(key) == name}
            found[name] = QuotaCounters(
                sum(quota.admitted_by_guarantee for quota in quotas.values()),
                sum(quota.denied for quota in quotas.values()),
                sum(quota.invalid_grants for quota in quotas.values()),
                sum(key in self.last_used and quota.is_cut_off(now) for key, quota in quotas.items()),
                sum(quota.late_grants for quota in quotas.values()),
                max((quota.answer_delay for quota in quotas.values()), default=0),
            )
        return found
