"""The queue of purges for one cache: ordered for each object, rate limited, retried after failures.

A cache that fills from parents gets each purge twice, see ``settling_purges.py``; only the second delivery
counts.
"""

import heapq
import zlib
from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from quartzrouter.purges.messages import Purge
from quartzrouter.purges.sequence_progress import SequenceProgress
from quartzrouter.purges.settling_purges import SettlingPurges, replace_oldest_with_full_purge

SECOND = 1_000_000  # in microseconds, as are all times here
MAX_IN_FLIGHT = 8  # purges to one cache at a time: the number of its worker threads
RATE = 500.0  # purges per second to one cache: a twentieth of the requests that it serves
SLOW_START_SHARE = 0.25  # of the rate, applied right after a cache came back
SLOW_START_TIME = 10 * SECOND  # during which the share grows to 1
FIRST_BACKOFF = 100_000  # microseconds after the first failure; doubled with each further one
MAX_BACKOFF = 5 * SECOND
MAX_DOUBLINGS = 8  # of the backoff; further ones would exceed MAX_BACKOFF anyway
MIN_WAIT = 1_000  # microseconds between two passes over the queue
DELIVERY_TIMEOUT = SECOND  # for one purge
POLL_INTERVAL = SECOND  # between queries for the sequence number up to which a cache has purged
MAX_LAG_CAUGHT_UP = 64  # purges that a caught-up cache may lack: an eighth of a second at RATE
MAX_PENDING = 20_000  # purges for one cache, 40 s at RATE; more are merged into a full purge


class Delivery(NamedTuple):
    """One purge to send to the cache now.

    :param age: microseconds; the cache removes copies that are older.
    :param is_final: True if the cache may record the purge as applied, because it will not be sent again.
    """

    purge: Purge
    age: int
    is_final: bool = True


class ValueKey(NamedTuple):
    """The value that a purge names; purges with the same key are delivered one after the other."""

    kind: str
    value: str
    vhost: str
    store: str


class Retry(NamedTuple):
    """A purge that the cache refused, ordered by the time of its next attempt.

    :param due_at: microseconds of the delivery process's wall clock.
    """

    due_at: int
    sequence_number: int
    purge: Purge


class DeliveryQueue:
    """The purges for one cache. All times are microseconds of the delivery process's wall clock.

    :param name: name of the cache; seeds the jitter of its backoff.
    :param rate: purges per second.
    :param max_in_flight: the maximum number of purges that are sent and not yet answered.
    :param settle_time: microseconds between the two deliveries of a purge; 0 for a single delivery, which is
        enough for a cache that fills from the origin only.
    :param parents: the queues of the caches that it fills from.
    """

    def __init__(
        self,
        name: str,
        rate: float = RATE,
        max_in_flight: int = MAX_IN_FLIGHT,
        settle_time: int = 0,
        parents: "Sequence[DeliveryQueue]" = (),
    ):
        self.name = name
        self.rate = rate
        self.max_in_flight = max_in_flight
        self.settle_time = settle_time
        self.parents = parents
        self.settling = SettlingPurges(settle_time, MAX_PENDING)
        self.delivered = SequenceProgress()  # purges that the cache has confirmed once or twice
        self.purged = SequenceProgress()  # purges after which the cache neither holds nor gets stale copies
        self.pending: deque[Purge] = deque()
        self.settled: deque[Purge] = deque()  # due for the second delivery, after the pending ones
        self.in_flight: dict[int, Purge] = {}  # by sequence number
        self.retries: list[Retry] = []  # a heap
        self.failed_attempts: dict[int, int] = {}  # of refused purges, by sequence number
        self.clock_offset = 0  # microseconds to add to a time of the purge log's clock
        self.is_up = False  # True if the cache has reported its position and nothing has failed since
        self.is_caught_up = False  # set once the cache lacks at most MAX_LAG_CAUGHT_UP purges
        self.up_since = 0
        self.not_before = 0  # time before which no delivery is attempted
        self.tokens = 1.0  # in the token bucket that limits the rate of deliveries
        self.tokens_at = 0  # when the token bucket was last filled
        self.consecutive_failures = 0
        self.full_purge_count = 0  # full purges that were queued in place of many purges

    @property
    def delivered_up_to(self) -> int:
        """The sequence number up to which every purge was delivered at least once.

        Fills may still bring copies that the last of these purges make stale.
        """
        return self.delivered.up_to

    @property
    def purged_up_to(self) -> int:
        """The sequence number up to which the cache neither holds nor gets copies that purges make stale."""
        return self.purged.up_to

    # -- purges to deliver ---------------------------------------------------------------------------------

    def add(self, purges: Iterable[Purge], clock_offset: int) -> None:
        """Adds purges in the order of their sequence numbers.

        :param clock_offset: microseconds to add to a time of the purge log's clock to get this process's.
        """
        self.clock_offset = clock_offset
        self.pending += purges
        if len(self.pending) > MAX_PENDING:
            self._replace_oldest_with_full_purge(self.pending)

    def add_full_purge(self, sequence_number: int, purged_at: int) -> None:
        """Queues a purge of all copies made before a time, in place of purges that are no longer retained.

        :param sequence_number: the last purge that it replaces.
        :param purged_at: microseconds of the purge log's clock.
        """
        if sequence_number > self.purged_up_to:
            self.pending.appendleft(Purge(sequence_number, purged_at, "all"))
            self.full_purge_count += 1

    def _replace_oldest_with_full_purge(self, purges: deque[Purge]) -> None:
        """Replaces the oldest of too many purges with one full purge.

        A cache that lacks more than ``MAX_PENDING`` purges would take too long to catch up one by one.
        """
        replace_oldest_with_full_purge(purges, len(purges) - MAX_PENDING // 2)
        self.full_purge_count += 1

    def record_head(self, head: int) -> None:
        """Records that every purge up to the head has been added, so the cache may have caught up."""
        if self.is_up and self.delivered_up_to + MAX_LAG_CAUGHT_UP >= head:
            self.is_caught_up = True

    # -- answers of the cache ------------------------------------------------------------------------------

    def record_purged_up_to(self, purged_up_to: int, received_up_to: int, now: int) -> bool:
        """Records the sequence number up to which the cache reports that it has purged without a gap.

        Guards against a cache that came back with an older disk: it lacks purges that it had confirmed,
        including some that it had confirmed out of order. They are received and delivered again.

        :param received_up_to: the sequence number up to which purges were added.
        :returns: False if every purge after ``purged_up_to`` must be received again.
        """
        if self.is_up and purged_up_to == self.purged_up_to:
            return True
        is_in_known_range = self.purged_up_to <= purged_up_to <= received_up_to
        lacks_nothing = is_in_known_range and not self.purged.out_of_order
        if not self.is_up:
            self.up_since = now
            self.is_caught_up = False
        self.is_up = True
        self.consecutive_failures = 0
        self.not_before = now
        self._requeue_unconfirmed()
        self.purged.restart_from(purged_up_to)
        self.delivered.restart_from(purged_up_to)
        if lacks_nothing:
            while self.pending and self.pending[0].sequence_number <= purged_up_to:
                self.pending.popleft()
        else:
            self.pending.clear()
        return lacks_nothing

    def record_refusal(self, sequence_number: int, now: int) -> None:
        """Records that the cache answered but did not purge: this purge is retried, others go on."""
        purge = self.in_flight.pop(sequence_number, None)
        if purge is None:
            return
        attempts = self.failed_attempts.get(sequence_number, 0) + 1
        self.failed_attempts[sequence_number] = attempts
        due_at = now + self._backoff(attempts, sequence_number)
        heapq.heappush(self.retries, Retry(due_at, sequence_number, purge))

    def record_confirmation(self, sequence_number: int) -> None:
        """Records that the cache has confirmed a purge."""
        purge = self.in_flight.pop(sequence_number, None)
        if purge is None:
            return
        self.failed_attempts.pop(sequence_number, None)
        is_full_purge = purge.kind == "all" and not (purge.vhost or purge.store)
        if self._is_final_delivery(purge):
            self.purged.add(sequence_number, covers_all_before=is_full_purge)
        else:
            self.settling.add(purge)
        self.delivered.add(sequence_number, covers_all_before=is_full_purge)

    def _is_final_delivery(self, purge: Purge) -> bool:
        """Returns True if the next delivery of a purge is its last."""
        return not self.settle_time or self.delivered.includes(purge.sequence_number)

    def record_unreachable(self, now: int) -> None:
        """Records that the cache doesn't answer; it counts as up again once it reports what it has purged."""
        self.is_up = False
        self.is_caught_up = False
        self.consecutive_failures += 1
        self.not_before = now + self._backoff(self.consecutive_failures, 0)
        self._requeue_unconfirmed()

    def _backoff(self, attempts: int, sequence_number: int) -> int:
        """Returns the backoff in microseconds.

        The jitter spreads the retries of caches that failed at the same time.
        """
        jitter = zlib.crc32(f"{self.name} {sequence_number} {attempts}".encode()) / 2**32
        backoff = min(MAX_BACKOFF, FIRST_BACKOFF << min(attempts - 1, MAX_DOUBLINGS))
        return int(backoff * (0.5 + jitter / 2))

    def _requeue_unconfirmed(self) -> None:
        """Moves every purge without a final confirmation back to the pending ones; its deliveries start over.

        The cache may have lost purges that were delivered only once.
        """
        purges = [*self._unconfirmed(), *self.settled, *self.settling.pop_all(), *self.pending]
        self.settled.clear()
        self.pending = deque(sorted(purges, key=lambda purge: purge.sequence_number))
        self.in_flight.clear()
        self.retries.clear()
        self.failed_attempts.clear()
        self.delivered.restart_from(self.purged_up_to)

    def _unconfirmed(self) -> list[Purge]:
        return [*self.in_flight.values(), *(retry.purge for retry in self.retries)]

    # -- deliveries ----------------------------------------------------------------------------------------

    def next_deliveries(self, now: int) -> list[Delivery]:
        """Returns the purges to send now.

        Purges of the same value are sent one after the other; a purge that waits for an earlier one is
        skipped for now. Nothing is sent before the cache has reported what it has purged.
        """
        if not self.is_up or now < self.not_before:
            return []
        self._fill_tokens(now)
        self._settle(now)
        while self.retries and self.retries[0].due_at <= now:
            self.pending.appendleft(heapq.heappop(self.retries).purge)
        blocked = {key for purge in self._unconfirmed() for key in _value_keys(purge)}
        return self._start(self.pending, blocked, now) + self._start(self.settled, blocked, now)

    def _start(self, purges: deque[Purge], blocked: set[ValueKey], now: int) -> list[Delivery]:
        """Moves the purges that may be sent now from a queue to those in flight.

        :param blocked: keys of the purges ahead of them; the keys of the inspected purges are added.
        """
        deliveries: list[Delivery] = []
        skipped: list[Purge] = []
        while purges and self._may_send() and len(skipped) < self.max_in_flight:
            purge = purges.popleft()
            keys = _value_keys(purge)
            is_blocked = not blocked.isdisjoint(keys)
            blocked |= keys
            if is_blocked:
                skipped.append(purge)
                continue
            self.tokens -= 1
            self.in_flight[purge.sequence_number] = purge
            age = max(0, now - (purge.purged_at + self.clock_offset))
            deliveries.append(Delivery(purge, age, self._is_final_delivery(purge)))
        purges.extendleft(reversed(skipped))
        return deliveries

    def _settle(self, now: int) -> None:
        """Moves the purges that have settled to the queue for the second delivery.

        It doesn't wait for a parent that is unreachable or catching up: routers don't trust its old copies.
        """
        delivered_to_parents = [parent.delivered_up_to for parent in self.parents if parent.is_caught_up]
        self.settling.record_delivered_everywhere(min([self.delivered_up_to, *delivered_to_parents]), now)
        self.settled += self.settling.pop_settled(now)
        if len(self.settled) > MAX_PENDING:
            self._replace_oldest_with_full_purge(self.settled)

    def _fill_tokens(self, now: int) -> None:
        """Refills the token bucket at the rate, which is lower right after the cache came back."""
        slow_start_progress = (now - self.up_since) / SLOW_START_TIME
        share = min(1.0, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * slow_start_progress)
        rate = self.rate * share
        new_tokens = max(0, now - self.tokens_at) * rate / SECOND
        self.tokens = min(float(self.max_in_flight), self.tokens + new_tokens)
        self.tokens_at = now

    def _may_send(self) -> bool:
        return len(self.in_flight) < self.max_in_flight and self.tokens >= 1

    def next_due_at(self, now: int) -> int:
        """Returns when to call next_deliveries() again if no event occurs before, in microseconds."""
        if not self.is_up or len(self.in_flight) >= self.max_in_flight:
            return now + POLL_INTERVAL
        retry_due_at = self.retries[0].due_at if self.retries else now + POLL_INTERVAL
        retry_due_at = min(retry_due_at, self.settling.next_due_at(otherwise=retry_due_at))
        if not self.pending and not self.settled:
            return max(retry_due_at, now + MIN_WAIT)
        until_next_token = int((1 - self.tokens) / self.rate * SECOND)
        return min(retry_due_at, max(self.not_before, now + max(MIN_WAIT, until_next_token)))


def _value_keys(purge: Purge) -> set[ValueKey]:
    return {ValueKey(purge.kind, value, purge.vhost, purge.store) for value in purge.values or ("",)}
