"""What to send to one cache, and when: in order for each object, paced, again after failures and absences.

A cache that fills from parents gets each purge twice, see ``settling_purges.py``; only the second counts.
"""

import heapq
import zlib
from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from quartzrouter.purges.messages import Purge
from quartzrouter.purges.sequence_progress import SequenceProgress
from quartzrouter.purges.settling_purges import SettlingPurges, replace_oldest_with_full_purge

SECOND = 1_000_000  # us
MAX_IN_FLIGHT = 8  # purges to one cache: its worker threads
RATE = 500.0  # purges a second to one cache: a twentieth of the requests that it serves
SLOW_START_SHARE = 0.25  # of the rate, right after a cache came back
SLOW_START_TIME = 10 * SECOND  # us, over which the share grows to the whole
FIRST_BACKOFF = 100_000  # us after a failure, doubled with each further one
MAX_BACKOFF = 5 * SECOND  # us
MAX_DOUBLINGS = 8  # of the backoff; beyond them MAX_BACKOFF holds anyway
MIN_WAIT = 1_000  # us between two looks at the queue
DELIVERY_TIMEOUT = SECOND  # us for one purge
POLL_INTERVAL = SECOND  # us between queries to a cache up to what it has purged
MAX_LAG_CAUGHT_UP = 64  # purges that a cache may lack and count as caught up: an eighth of a second's
MAX_PENDING = 20_000  # purges that a cache lacks; beyond, one of everything: 40 s at the rate


class Delivery(NamedTuple):
    """Send this purge to the cache.

    :param age: microseconds; copies that are older are to go.
    :param is_final: whether the cache may count it as purged: it will not be delivered again.
    """

    purge: Purge
    age: int
    is_final: bool = True


class ValueKey(NamedTuple):
    """What two purges have in common whose order matters."""

    kind: str
    value: str
    vhost: str
    store: str


class Retry(NamedTuple):
    """A purge that the cache refused; the one that is due first sorts first.

    :param due_at: microseconds.
    """

    due_at: int
    sequence_number: int
    purge: Purge


class DeliveryQueue:
    """The purges for one cache. All times are microseconds of the delivery process's wall clock.

    :param name: of the cache; seeds the jitter of its backoff.
    :param rate: purges a second.
    :param max_in_flight: purges at once.
    :param settle_time: microseconds between the two deliveries of a purge; 0: one delivery does, as for a
        cache that fills from the origin only.
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
        self.delivered = SequenceProgress()  # the cache has taken each of them once or twice
        self.purged = SequenceProgress()  # and holds no copy that they make stale, nor will
        self.pending: deque[Purge] = deque()
        self.settled: deque[Purge] = deque()  # to be delivered again, behind those that are pending
        self.in_flight: dict[int, Purge] = {}  # by sequence number
        self.retries: list[Retry] = []  # a heap
        self.failed_attempts: dict[int, int] = {}  # by sequence number, of refused purges
        self.clock_offset = 0  # us to add to the purge log's clock for this process's
        self.is_up = False  # it has told what it has purged, and nothing failed since
        self.is_caught_up = False  # it lacks only what is on its way
        self.up_since = 0
        self.not_before = 0  # nothing is tried sooner
        self.tokens = 1.0  # of the token bucket that paces deliveries
        self.tokens_at = 0  # us, when the bucket was filled last
        self.consecutive_failures = 0
        self.full_purge_count = 0  # how many were added, each in place of many purges

    @property
    def delivered_up_to(self) -> int:
        """Every purge up to it was delivered; of the last, older copies may still come in by a fill."""
        return self.delivered.up_to

    @property
    def purged_up_to(self) -> int:
        """Every purge up to it is applied for good: the cache neither holds nor gets what it makes stale."""
        return self.purged.up_to

    # -- purges to deliver ---------------------------------------------------------------------------------

    def add(self, purges: Iterable[Purge], clock_offset: int) -> None:
        """Adds purges in their order.

        :param clock_offset: microseconds to add to the purge log's clock for this process's.
        """
        self.clock_offset = clock_offset
        self.pending += purges
        if len(self.pending) > MAX_PENDING:
            self._replace_oldest_with_full_purge(self.pending)

    def add_full_purge(self, sequence_number: int, purged_at: int) -> None:
        """Purges all copies made before a time: some purges up to a number are no longer sent.

        :param purged_at: microseconds of the purge log's clock.
        """
        if sequence_number > self.purged_up_to:
            self.pending.appendleft(Purge(sequence_number, purged_at, "all"))
            self.full_purge_count += 1

    def _replace_oldest_with_full_purge(self, purges: deque[Purge]) -> None:
        """Replaces the oldest of too many purges by one of everything.

        A cache that lacks more than ``MAX_PENDING`` would take too long to catch up one by one.
        """
        replace_oldest_with_full_purge(purges, len(purges) - MAX_PENDING // 2)
        self.full_purge_count += 1

    def record_head(self, head: int) -> None:
        """Records that every purge up to the head has been added: the cache may have caught up."""
        if self.is_up and self.delivered_up_to + MAX_LAG_CAUGHT_UP >= head:
            self.is_caught_up = True

    # -- what the cache answers ----------------------------------------------------------------------------

    def record_purged_up_to(self, purged_up_to: int, received_up_to: int, now: int) -> bool:
        """Records up to which sequence number the cache has purged without a gap.

        Guards against a cache that came back with an older disk: it lacks purges that it had confirmed,
        also some that it had confirmed out of order. They are received and delivered again.

        :param received_up_to: the sequence number up to which purges were added.
        :returns: False where every purge after ``purged_up_to`` must be received again.
        """
        if self.is_up and purged_up_to == self.purged_up_to:
            return True
        is_known = self.purged_up_to <= purged_up_to <= received_up_to
        lacks_nothing = is_known and not self.purged.out_of_order
        if not self.is_up:
            self.up_since = now
            self.is_caught_up = False
        self.is_up = True
        self.consecutive_failures = 0
        self.not_before = now
        self._take_back_unconfirmed()
        self.purged.restart_from(purged_up_to)
        self.delivered.restart_from(purged_up_to)
        if lacks_nothing:
            while self.pending and self.pending[0].sequence_number <= purged_up_to:
                self.pending.popleft()
        else:
            self.pending.clear()
        return lacks_nothing

    def record_refusal(self, sequence_number: int, now: int) -> None:
        """Records that the cache answered and did not purge: this purge is retried, the others go on."""
        purge = self.in_flight.pop(sequence_number, None)
        if purge is None:
            return
        attempts = self.failed_attempts.get(sequence_number, 0) + 1
        self.failed_attempts[sequence_number] = attempts
        due_at = now + self._backoff(attempts, sequence_number)
        heapq.heappush(self.retries, Retry(due_at, sequence_number, purge))

    def record_confirmation(self, sequence_number: int) -> None:
        """Records that the cache has purged."""
        purge = self.in_flight.pop(sequence_number, None)
        if purge is None:
            return
        self.failed_attempts.pop(sequence_number, None)
        is_of_everything = purge.kind == "all" and not (purge.vhost or purge.store)
        if self._counts(purge):
            self.purged.add(sequence_number, covers_all_before=is_of_everything)
        else:
            self.settling.add(purge)
        self.delivered.add(sequence_number, covers_all_before=is_of_everything)

    def _counts(self, purge: Purge) -> bool:
        """Whether the next delivery of a purge is the one that counts."""
        return not self.settle_time or self.delivered.includes(purge.sequence_number)

    def record_unreachable(self, now: int) -> None:
        """Records that the cache doesn't answer: it isn't trusted before it tells what it has purged."""
        self.is_up = False
        self.is_caught_up = False
        self.consecutive_failures += 1
        self.not_before = now + self._backoff(self.consecutive_failures, 0)
        self._take_back_unconfirmed()

    def _backoff(self, attempts: int, sequence_number: int) -> int:
        """Microseconds, with jitter so that caches that failed together don't come back together."""
        jitter = zlib.crc32(f"{self.name} {sequence_number} {attempts}".encode()) / 2**32
        backoff = min(MAX_BACKOFF, FIRST_BACKOFF << min(attempts - 1, MAX_DOUBLINGS))
        return int(backoff * (0.5 + jitter / 2))

    def _take_back_unconfirmed(self) -> None:
        """Puts all that was not delivered for good back into its place, to be delivered from the start.

        The cache may have lost what it had taken once.
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

    # -- what to send --------------------------------------------------------------------------------------

    def next_deliveries(self, now: int) -> list[Delivery]:
        """Returns the purges to send now.

        Purges of one value go one after the other; one that waits for an earlier one is passed by. Nothing
        goes out before the cache has told what it has purged.
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
        """Moves those of some purges that may be sent now to those in flight.

        :param blocked: what purges that are ahead of them name; theirs is added.
        """
        deliveries: list[Delivery] = []
        passed_by: list[Purge] = []
        while purges and self._may_send() and len(passed_by) < self.max_in_flight:
            purge = purges.popleft()
            keys = _value_keys(purge)
            is_blocked = not blocked.isdisjoint(keys)
            blocked |= keys
            if is_blocked:
                passed_by.append(purge)
                continue
            self.tokens -= 1
            self.in_flight[purge.sequence_number] = purge
            age = max(0, now - (purge.purged_at + self.clock_offset))
            deliveries.append(Delivery(purge, age, self._counts(purge)))
        purges.extendleft(reversed(passed_by))
        return deliveries

    def _settle(self, now: int) -> None:
        """Finds the purges that have settled.

        A parent that is away or catching up is not waited for: routers don't trust its old copies.
        """
        delivered_to_parents = [parent.delivered_up_to for parent in self.parents if parent.is_caught_up]
        self.settling.record_delivered_everywhere(min([self.delivered_up_to, *delivered_to_parents]), now)
        self.settled += self.settling.pop_settled(now)
        if len(self.settled) > MAX_PENDING:
            self._replace_oldest_with_full_purge(self.settled)

    def _fill_tokens(self, now: int) -> None:
        """Fills the token bucket at the rate, more slowly right after the cache came back."""
        slow_start_progress = (now - self.up_since) / SLOW_START_TIME
        share = min(1.0, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * slow_start_progress)
        rate = self.rate * share
        earned = max(0, now - self.tokens_at) * rate / SECOND
        self.tokens = min(float(self.max_in_flight), self.tokens + earned)
        self.tokens_at = now

    def _may_send(self) -> bool:
        return len(self.in_flight) < self.max_in_flight and self.tokens >= 1

    def next_due_at(self, now: int) -> int:
        """Returns when next_deliveries() may have more, as far as time alone decides it, in microseconds."""
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
