"""Limits on admission and retries: rates with bursts, concurrency, and reserved shares.  Does no I/O.

A rate limit stores one value per key, the theoretical arrival time of the next request at an even rate
(generic cell rate algorithm, ITU-T I.371).  So no bucket has to be refilled, and an idle key needs no state.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from quartzrouter.config.model import Limit
from quartzrouter.pool_routing.shared_limits import budget_name
from quartzrouter.quota.client import QuotaClient
from quartzrouter.quota.local_quota import LocalQuota

MAX_KEYS = 4_096  # counters per limit, of recent tenants or clients; bounds memory to 0.7 MB
NANOSECONDS_PER_MICROSECOND = 1_000  # intervals of high rates need the precision of nanoseconds
# Values of the key `counts` of a limit in the plan.
COUNTS_REQUESTS = "reqs"
COUNTS_RETRIES = "repeats"


class LimitExceeded(NamedTuple):
    """The limit that denies a request.

    :param limit: the name of the limit.
    :param retry_after: microseconds after which to retry; 0 if no time is known.
    """

    limit: str
    retry_after: int


class LimitKey(NamedTuple):
    """The key of a counter of a limit.

    :param limit: the name of the limit.
    :param subject: the tenant, client, route or pool whose requests are counted; empty if all are counted.
    """

    limit: str
    subject: str


class SharedLimitKey(NamedTuple):
    """The key of a counter of a limit that routers share.

    :param limit: the limit, from the plan.
    :param quotas: this router's quotas of shared limits.
    :param budget: the name of the quota's budget, from ``QuotaClient.key``.
    """

    limit: Limit
    quotas: QuotaClient
    budget: str


@dataclass(slots=True)
class LimitCounter:
    """The use of a limit under one key.

    :param next_arrival: when the next request would arrive at an even rate, in nanoseconds.
    :param in_flight: the number of requests in flight.
    """

    next_arrival: int = 0
    in_flight: int = 0


class RateLimiter:
    """The limits that one router enforces.

    :param limits: the limits of the plan, by name.
    :param quota_client: this router's quotas of shared limits; None: the router applies each limit by itself.
    :param home: the name of this router's store.
    """

    def __init__(self, limits: dict[str, Limit], quota_client: QuotaClient | None = None, home: str = ""):
        self.limits = limits
        self.quota_client = quota_client
        self.home = home
        # By limit and subject, in order of last use.
        self.counters: dict[str, OrderedDict[str, LimitCounter]] = {}
        self.held_keys: dict[int, list[LimitKey]] = {}  # by request id, the counters that it is counted in
        self.held_quotas: dict[int, list[LocalQuota]] = {}  # by request id, the quotas that it uses

    def replace(self, limits: dict[str, Limit]) -> None:
        """Applies the limits of a new plan; counters stay with their names, and while requests hold them."""
        self.limits = limits
        in_use = {key.limit for keys in self.held_keys.values() for key in keys}
        for name in [name for name in self.counters if name not in limits and name not in in_use]:
            del self.counters[name]

    def admit(
        self, request_id: int, keys: list[LimitKey], priority_weight: float, now: int
    ) -> LimitExceeded | None:
        """Counts a request in all its limits, or in none of them.

        :param request_id: the id of the request.
        :param keys: one key for each limit of the request's route.
        :param priority_weight: the priority weight of the request.
        :param now: the time in microseconds.
        :returns: the limit that is exceeded; None if the request is admitted.
        """
        keys = self._keys_that_count(keys, COUNTS_REQUESTS)
        exceeded = self._first_exceeded(keys, priority_weight, now)
        if exceeded:
            return exceeded
        own, shared = self._split_shared(keys)
        for key in own:
            self._record_use(key, now).in_flight += 1
        if own:
            self.held_keys[request_id] = own
        if shared:
            self.held_quotas[request_id] = [shared_key.quotas.use(shared_key.budget) for shared_key in shared]
        return None

    def may_retry(self, keys: list[LimitKey], now: int) -> bool:
        """Returns True if the limits on retries admit one now; call it right before the retry."""
        return not self._first_exceeded(self._keys_that_count(keys, COUNTS_RETRIES), 0.0, now)

    def record_retry(self, keys: list[LimitKey], now: int) -> None:
        """Counts a retry that ``may_retry`` has just admitted."""
        own, shared = self._split_shared(self._keys_that_count(keys, COUNTS_RETRIES))
        for key in own:
            self._record_use(key, now)
        for shared_key in shared:
            # Limits on retries are rates, so nothing stays in flight.
            shared_key.quotas.use(shared_key.budget).release()

    def release(self, request_id: int) -> None:
        """Releases a request's limits after its final response; a second call has no effect."""
        for key in self.held_keys.pop(request_id, ()):
            counters = self.counters.get(key.limit)
            if counters and key.subject in counters:
                counters[key.subject].in_flight -= 1
        for quota in self.held_quotas.pop(request_id, ()):
            quota.release()

    def _keys_that_count(self, keys: list[LimitKey], event: str) -> list[LimitKey]:
        return [key for key in keys if self.limits[key.limit].counts == event]

    def _first_exceeded(self, keys: list[LimitKey], priority_weight: float, now: int) -> LimitExceeded | None:
        """Returns the first limit that denies a request, or None.

        Shared limits are checked last: a request that another limit denies is no demand for quota.
        """
        own, shared = self._split_shared(keys)
        for key in own:
            exceeded = _check_limit(self.limits[key.limit], self._counter(key, now), priority_weight, now)
            if exceeded:
                return exceeded
        for limit, quotas, budget in shared:
            kept_free = limit.keep_free if priority_weight < limit.below else 0.0
            retry_after = quotas.time_until_admitted(budget, kept_free)
            if retry_after:
                return LimitExceeded(limit.name, retry_after)
        return None

    def _split_shared(self, keys: list[LimitKey]) -> tuple[list[LimitKey], list[SharedLimitKey]]:
        """Splits keys into those that this router counts by itself and those that routers share."""
        if self.quota_client is None:
            return keys, []
        own, shared = [], []
        for key in keys:
            limit = self.limits[key.limit]
            budget = budget_name(limit, self.home)
            if budget:
                shared.append(
                    SharedLimitKey(limit, self.quota_client, self.quota_client.key(budget, key.subject))
                )
            else:
                own.append(key)
        return own, shared

    def _record_use(self, key: LimitKey, now: int) -> LimitCounter:
        limit = self.limits[key.limit]
        counter = self._counter(key, now)
        if limit.rate:
            counter.next_arrival = max(counter.next_arrival, now * NANOSECONDS_PER_MICROSECOND) + interval(
                limit
            )
        return counter

    def _counter(self, key: LimitKey, now: int) -> LimitCounter:
        counters = self.counters.setdefault(key.limit, OrderedDict())
        counter = counters.get(key.subject)
        if counter is None:
            if len(counters) >= MAX_KEYS:
                _evict(counters, now)
            counter = counters[key.subject] = LimitCounter()
        counters.move_to_end(key.subject)
        limit = self.limits[key.limit]
        if limit.rate:  # a new plan may have a smaller burst
            latest = now * NANOSECONDS_PER_MICROSECOND + limit.burst * interval(limit)
            counter.next_arrival = min(counter.next_arrival, latest)
        return counter


def interval(limit: Limit) -> int:
    """Returns the nanoseconds between two requests at an even rate."""
    return round(1e9 / limit.rate)


def _check_limit(
    limit: Limit, counter: LimitCounter, priority_weight: float, now: int
) -> LimitExceeded | None:
    """Returns the limit, which this router counts by itself, if it denies a request, else None."""
    usable = limit.concurrent
    if limit.keep_free and priority_weight < limit.below:
        usable = int(usable * (1 - limit.keep_free))
    if limit.concurrent and counter.in_flight >= usable:
        return LimitExceeded(limit.name, 0)
    if limit.rate:
        burst_tolerance = (limit.burst - 1) * interval(limit)
        too_early = counter.next_arrival - burst_tolerance - now * NANOSECONDS_PER_MICROSECOND
        if too_early > 0:
            return LimitExceeded(limit.name, -(-too_early // NANOSECONDS_PER_MICROSECOND))
    return None


def _evict(counters: OrderedDict[str, LimitCounter], now: int) -> None:
    """Drops the least recently used idle counter, else one without requests, whose key regains its burst."""
    without_requests = [subject for subject, counter in counters.items() if not counter.in_flight]
    idle = [
        subject
        for subject in without_requests
        if counters[subject].next_arrival <= now * NANOSECONDS_PER_MICROSECOND
    ]
    candidates = idle or without_requests
    if candidates:
        del counters[candidates[0]]
