"""Limits on requests before their first attempt: rates with bursts, concurrency, shares kept free. No I/O.

A rate is kept by one figure per key, the theoretical arrival time of the next request if all came evenly
(generic cell rate algorithm, ITU-T I.371): nothing has to be refilled, and a key at rest needs no state.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from quartzrouter.config.model import Limit
from quartzrouter.pool_routing.shared_limits import budget_name
from quartzrouter.quota.client import QuotaClient
from quartzrouter.quota.local_quota import LocalQuota

MAX_KEYS = 4_096  # counters per limit (tenants or clients seen lately): 0.7 MB, which bounds memory
NANOSECONDS = 1_000  # per microsecond: intervals of high rates need the digits
COUNTS_REQUESTS = "reqs"  # values of a limit's key `counts` in the plan
COUNTS_RETRIES = "repeats"


class LimitExceeded(NamedTuple):
    """A request is not admitted.

    :param limit: its name.
    :param retry_after: microseconds after which to retry; 0: no time can be named.
    """

    limit: str
    retry_after: int


class LimitKey(NamedTuple):
    """A counter of a limit.

    :param limit: its name.
    :param counted: the tenant, client, route or pool that it counts apart; empty where it counts all.
    """

    limit: str
    counted: str


class SharedLimitKey(NamedTuple):
    """A limit that routers share.

    :param limit: of the plan.
    :param quotas: this router's parts in shared limits.
    :param budget: the name of the budget's part, as of ``QuotaClient.key``.
    """

    limit: Limit
    quotas: QuotaClient
    budget: str


@dataclass(slots=True)
class LimitCounter:
    """What one key of a limit has used.

    :param next_arrival: nanoseconds, when the next request would come if all came evenly.
    :param in_flight: requests.
    """

    next_arrival: int = 0
    in_flight: int = 0


class RateLimiter:
    """The limits at one router.

    :param limits: of the plan, by name.
    :param quota_client: this router's parts in shared limits; None: each router has all of each limit.
    :param home: this router's store.
    """

    def __init__(self, limits: dict[str, Limit], quota_client: QuotaClient | None = None, home: str = ""):
        self.limits = limits
        self.quota_client = quota_client
        self.home = home
        self.counters: dict[str, OrderedDict[str, LimitCounter]] = {}  # by limit and counted, last used last
        self.held_keys: dict[int, list[LimitKey]] = {}  # by request, what it counts in
        self.held_quotas: dict[int, list[LocalQuota]] = {}  # by request, the shared parts that it counts in

    def replace(self, limits: dict[str, Limit]) -> None:
        """Takes the limits of a new plan; counters stay with the name, and while requests hold them."""
        self.limits = limits
        in_use = {key.limit for keys in self.held_keys.values() for key in keys}
        for name in [name for name in self.counters if name not in limits and name not in in_use]:
            del self.counters[name]

    def admit(self, req: int, keys: list[LimitKey], value: float, now: int) -> LimitExceeded | None:
        """Counts a request in all its limits, or in none of them.

        :param req: its number.
        :param keys: one for each limit of the request's route.
        :param value: the priority weight of the request.
        :param now: microseconds.
        :returns: the limit that is exceeded; None where the request is admitted.
        """
        keys = self._counting(keys, COUNTS_REQUESTS)
        exceeded = self._first_exceeded(keys, value, now)
        if exceeded:
            return exceeded
        own, shared = self._split_shared(keys)
        for key in own:
            self._use(key, now).in_flight += 1
        if own:
            self.held_keys[req] = own
        if shared:
            self.held_quotas[req] = [shared_key.quotas.use(shared_key.budget) for shared_key in shared]
        return None

    def may_retry(self, keys: list[LimitKey], now: int) -> bool:
        """Whether the limits on retries admit one now; to be asked right before it."""
        return not self._first_exceeded(self._counting(keys, COUNTS_RETRIES), 0.0, now)

    def record_retry(self, keys: list[LimitKey], now: int) -> None:
        """Counts a retry that ``may_retry`` has just admitted."""
        own, shared = self._split_shared(self._counting(keys, COUNTS_RETRIES))
        for key in own:
            self._use(key, now)
        for shared_key in shared:
            shared_key.quotas.use(
                shared_key.budget
            ).release()  # limits on retries are rates: nothing stays in flight

    def release(self, req: int) -> None:
        """A request has had its final answer; a second call changes nothing."""
        for key in self.held_keys.pop(req, ()):
            counters = self.counters.get(key.limit)
            if counters and key.counted in counters:
                counters[key.counted].in_flight -= 1
        for quota in self.held_quotas.pop(req, ()):
            quota.release()

    def _counting(self, keys: list[LimitKey], what: str) -> list[LimitKey]:
        return [key for key in keys if self.limits[key.limit].counts == what]

    def _first_exceeded(self, keys: list[LimitKey], value: float, now: int) -> LimitExceeded | None:
        """The first limit that doesn't admit a request.

        The shared limits come last: a request that other limits deny is no demand for quota.
        """
        own, shared = self._split_shared(keys)
        for key in own:
            exceeded = _exceeded(self.limits[key.limit], self._counter(key, now), value, now)
            if exceeded:
                return exceeded
        for limit, quotas, budget in shared:
            kept_free = limit.keep_free if value < limit.below else 0.0
            retry_after = quotas.time_until_admitted(budget, kept_free)
            if retry_after:
                return LimitExceeded(limit.name, retry_after)
        return None

    def _split_shared(self, keys: list[LimitKey]) -> tuple[list[LimitKey], list[SharedLimitKey]]:
        """The keys that this router counts by itself, and those that it shares."""
        if self.quota_client is None:
            return keys, []
        own, shared = [], []
        for key in keys:
            limit = self.limits[key.limit]
            budget = budget_name(limit, self.home)
            if budget:
                shared.append(
                    SharedLimitKey(limit, self.quota_client, self.quota_client.key(budget, key.counted))
                )
            else:
                own.append(key)
        return own, shared

    def _use(self, key: LimitKey, now: int) -> LimitCounter:
        limit = self.limits[key.limit]
        counter = self._counter(key, now)
        if limit.rate:
            counter.next_arrival = max(counter.next_arrival, now * NANOSECONDS) + interval(limit)
        return counter

    def _counter(self, key: LimitKey, now: int) -> LimitCounter:
        counters = self.counters.setdefault(key.limit, OrderedDict())
        counter = counters.get(key.counted)
        if counter is None:
            if len(counters) >= MAX_KEYS:
                _evict(counters, now)
            counter = counters[key.counted] = LimitCounter()
        counters.move_to_end(key.counted)
        limit = self.limits[key.limit]
        if limit.rate:  # a new plan may have a smaller burst
            latest = now * NANOSECONDS + limit.burst * interval(limit)
            counter.next_arrival = min(counter.next_arrival, latest)
        return counter


def interval(limit: Limit) -> int:
    """Nanoseconds between two requests that come evenly."""
    return round(1e9 / limit.rate)


def _exceeded(limit: Limit, counter: LimitCounter, value: float, now: int) -> LimitExceeded | None:
    """Whether a limit that this router counts by itself denies a request."""
    usable = limit.concurrent
    if limit.keep_free and value < limit.below:
        usable = int(usable * (1 - limit.keep_free))
    if limit.concurrent and counter.in_flight >= usable:
        return LimitExceeded(limit.name, 0)
    if limit.rate:
        burst_tolerance = (limit.burst - 1) * interval(limit)
        too_early = counter.next_arrival - burst_tolerance - now * NANOSECONDS
        if too_early > 0:
            return LimitExceeded(limit.name, -(-too_early // NANOSECONDS))
    return None


def _evict(counters: OrderedDict[str, LimitCounter], now: int) -> None:
    """Forgets the least recently used counter at rest, else one with nothing in flight: it gains a burst."""
    idle = [counted for counted, counter in counters.items() if not counter.in_flight]
    at_rest = [counted for counted in idle if counters[counted].next_arrival <= now * NANOSECONDS]
    candidates = at_rest or idle
    if candidates:
        del counters[candidates[0]]
