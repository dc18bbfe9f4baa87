"""Tests of the delivery queue of one cache, without I/O: order, rate, refusals, outages, an older disk."""

import random

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quartzrouter.configuration_section import parse_address
from quartzrouter.fakes.loopback import request_heads, start_server
from quartzrouter.purge_log.cache_connection import CacheConnection, DeliveryError
from quartzrouter.purge_log.delivery import DeliveryWorker
from quartzrouter.purges.delivery_plan import (
    MAX_BACKOFF,
    MAX_IN_FLIGHT,
    MAX_LAG_CAUGHT_UP,
    MAX_PENDING,
    RATE,
    SLOW_START_SHARE,
    SLOW_START_TIME,
    DeliveryQueue,
)
from quartzrouter.purges.messages import Purge
from quartzrouter.purges.settling_purges import SettlingPurges
from quartzrouter.server.clock import wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

SECOND = 1_000_000  # in microseconds
START = 100 * SECOND


def purge(number, value=None):
    return Purge(number, number, "object", (value or f"o{number}",))


def queue_of(*numbers, value=None):
    """Returns the queue of a cache that is up and has purged nothing yet."""
    queue = DeliveryQueue("c1")
    queue.record_purged_up_to(0, 0, START)
    queue.add([purge(number, value) for number in numbers], 0)
    return queue


def numbers(deliveries):
    return [delivery.purge.sequence_number for delivery in deliveries]


def deliver(queue, now, until, is_confirmed=lambda number: True, step=5_000):
    """Delivers purges from one time until another.

    :param is_confirmed: returns True if the cache confirms the purge of a number, False if it refuses it.
    :returns: times and sequence numbers in the order of sending.
    """
    sent = []
    while now < until:
        for number in numbers(queue.next_deliveries(now)):
            sent.append((now, number))
            if is_confirmed(number):
                queue.record_confirmation(number)
            else:
                queue.record_refusal(number, now)
        now += step
    return sent


def test_purges_of_one_object_are_delivered_one_after_the_other():
    """If two purges of one object were in flight, the older one's confirmation could come last."""
    queue = queue_of(1, 2, value="same")
    queue.add([purge(3)], 0)
    assert numbers(queue.next_deliveries(START + 1 * SECOND)) == [1, 3]
    queue.record_confirmation(3)
    assert queue.purged_up_to == 0 and queue.next_deliveries(START + 2 * SECOND) == []
    queue.record_confirmation(1)
    assert queue.purged_up_to == 1 and numbers(queue.next_deliveries(START + 3 * SECOND)) == [2]
    queue.record_confirmation(2)
    assert queue.purged_up_to == 3


def test_delivery_to_a_cache_that_returned_starts_slowly():
    """A cache returns and lacks ten thousand purges: the full rate would slow down its requests."""
    queue = queue_of(*range(1, 10_000))
    sent = deliver(queue, START, START + SECOND)
    assert RATE * SLOW_START_SHARE * 0.8 < len(sent) < RATE * (SLOW_START_SHARE + 0.1) + MAX_IN_FLIGHT
    later = deliver(queue, START + SLOW_START_TIME, START + SLOW_START_TIME + SECOND)
    assert RATE * 0.9 < len(later) <= RATE + MAX_IN_FLIGHT


def test_a_refused_purge_is_retried_and_does_not_hold_up_the_others():
    """A cache refuses two purges several times: each is retried with backoff; the others go on."""
    refusals_left = {2: 3, 5: 1}

    def is_confirmed(number):
        refusals_left[number] = refusals_left.get(number, 0) - 1
        return refusals_left[number] < 0

    queue = queue_of(*range(1, 31))
    sent = deliver(queue, START + 1 * SECOND, START + 4 * SECOND, is_confirmed)
    assert queue.purged_up_to == 30 and queue.is_up
    times = [time for time, number in sent if number == 2]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert len(times) == 4 and gaps == sorted(gaps) and gaps[0] >= 50_000


def test_an_unreachable_cache_is_polled_with_backoff():
    """A cache is unreachable for long: nothing is sent before it reports what it has purged."""
    queue, backoffs = queue_of(1), []
    for _ in range(12):
        queue.next_deliveries(queue.not_before + 1)
        now = queue.not_before + 1
        queue.record_unreachable(now)
        backoffs.append(queue.not_before - now)
        assert queue.next_deliveries(queue.not_before + 1) == []
    assert backoffs[0] >= 50_000 and max(backoffs) <= MAX_BACKOFF and backoffs[-1] >= MAX_BACKOFF // 2
    queue.record_purged_up_to(0, 1, now + 9 * SECOND)
    assert numbers(queue.next_deliveries(now + 10 * SECOND)) == [1]


def test_a_cache_that_returns_with_an_older_disk_gets_its_purges_again():
    """A cache confirmed three purges and returns with the first only: the others are received again."""
    queue = queue_of(1, 2, 3)
    deliver(queue, START + 1 * SECOND, START + 2 * SECOND)
    queue.record_head(3)
    assert queue.purged_up_to == 3 and queue.is_caught_up
    queue.record_unreachable(START + 3 * SECOND)
    assert not queue.is_caught_up
    assert not queue.record_purged_up_to(1, 3, START + 10 * SECOND)
    assert queue.purged_up_to == 1 and not queue.pending
    queue.add([purge(2), purge(3)], 0)
    assert numbers(queue.next_deliveries(START + 11 * SECOND)) == [2, 3]


def test_a_cache_counts_as_caught_up_once_it_lacks_little():
    queue = queue_of(*range(1, 1_001))
    queue.record_head(1_000)
    assert not queue.is_caught_up
    deliver(queue, START + 1 * SECOND, START + 10 * SECOND)
    queue.record_head(1_000 + MAX_LAG_CAUGHT_UP)
    assert queue.is_caught_up


def test_too_many_pending_purges_become_one_of_everything():
    """A cache lacks too many purges to deliver in time: the older half becomes one purge of everything."""
    queue = queue_of(*range(1, MAX_PENDING + 2))
    assert len(queue.pending) == MAX_PENDING // 2 + 1 and queue.full_purge_count == 1
    first = queue.next_deliveries(START + 1 * SECOND)[0].purge
    newest_replaced = MAX_PENDING // 2 + 1
    assert (first.kind, first.sequence_number, first.purged_at) == ("all", newest_replaced, newest_replaced)
    queue.record_confirmation(first.sequence_number)
    assert queue.purged_up_to == first.sequence_number
    queue.add_full_purge(MAX_PENDING * 3, 77)
    assert queue.pending[0] == Purge(MAX_PENDING * 3, 77, "all")


SETTLE_TIME = 4 * SECOND


def settling_queue(count, parents=()):
    """Returns the queue of a cache that fills from parents, with its purges delivered once."""
    queue = DeliveryQueue("c1", settle_time=SETTLE_TIME, parents=parents)
    queue.record_purged_up_to(0, 0, START)
    queue.add([purge(number) for number in range(1, count + 1)], 0)
    deliver(queue, START, START + SECOND)
    assert (queue.delivered_up_to, queue.purged_up_to) == (count, 0)
    return queue


def test_a_purge_counts_once_it_is_delivered_again_after_its_settle_time():
    queue = settling_queue(2)
    assert deliver(queue, START + SECOND, START + SETTLE_TIME) == []
    again = queue.next_deliveries(START + SETTLE_TIME + SECOND)
    assert [(delivery.purge.sequence_number, delivery.is_final) for delivery in again] == [
        (1, True),
        (2, True),
    ]
    assert all(delivery.age > SETTLE_TIME for delivery in again)
    queue.record_confirmation(2)
    assert queue.purged_up_to == 0
    queue.record_confirmation(1)
    assert queue.purged_up_to == 2


def test_the_settle_time_starts_once_all_reachable_parents_have_the_purge():
    """A cache's fill may join one that started at a parent before the parent had purged."""
    parent, absent_parent = queue_of(1), queue_of(1)
    for each in (parent, absent_parent):
        each.record_head(1)
    absent_parent.record_unreachable(START)
    queue = settling_queue(1, [parent, absent_parent])
    assert deliver(queue, START + SECOND, START + 2 * SETTLE_TIME) == []
    deliver(parent, START + 2 * SETTLE_TIME, START + 2 * SETTLE_TIME + SECOND)
    ((delivered_at, _),) = deliver(queue, START + 2 * SETTLE_TIME + SECOND, START + 4 * SETTLE_TIME)
    assert delivered_at >= START + 3 * SETTLE_TIME + SECOND and queue.purged_up_to == 1


def test_a_cache_that_was_unreachable_while_purges_settled_gets_them_twice_again():
    """The cache may have lost purges delivered once, as the number that it reports doesn't include them."""
    queue = settling_queue(3)
    queue.record_unreachable(START + SECOND)
    assert queue.delivered_up_to == 0
    assert queue.record_purged_up_to(0, 3, START + 2 * SECOND)
    sent = deliver(queue, START + 2 * SECOND, START + 3 * SETTLE_TIME)
    assert [number for _, number in sent] == [1, 2, 3, 1, 2, 3] and queue.purged_up_to == 3


def test_new_purges_are_sent_before_settled_ones():
    queue = settling_queue(MAX_IN_FLIGHT)
    later = START + SETTLE_TIME + 2 * SECOND
    queue.add([purge(number) for number in range(MAX_IN_FLIGHT + 1, 2 * MAX_IN_FLIGHT + 1)], 0)
    assert numbers(queue.next_deliveries(later)) == list(range(MAX_IN_FLIGHT + 1, 2 * MAX_IN_FLIGHT + 1))


def test_too_many_settling_purges_become_one_of_everything():
    """Purges arrive at nearly the rate for long, so few are delivered again: the table stays bounded."""
    settling = SettlingPurges(SETTLE_TIME, max_waiting=10)
    for number in (2, 1, *range(3, 12)):
        settling.add(purge(number))
    settling.record_delivered_everywhere(11, START)
    assert len(settling.waiting) == 7 and settling.pop_settled(START + SETTLE_TIME - 1) == []
    first, *others = settling.pop_settled(START + SETTLE_TIME)
    assert first == Purge(5, 5, "all") and [each.sequence_number for each in others] == [*range(6, 12)]


def test_the_number_of_checkpoints_is_bounded_for_long_settle_times():
    """Client timeouts of half an hour, a purge every 100 ms: a checkpoint for each would fill the memory."""
    settling = SettlingPurges(3_600 * SECOND, max_waiting=10)
    for number in range(1, 40_000):
        settling.record_delivered_everywhere(number, START + number * SECOND // 10)
        settling.pop_settled(START + number * SECOND // 10)
    assert 100 < len(settling.checkpoints) < 140


class PolledConnection:
    """A connection to a cache; a purge is delivered on another one before this one's poll is answered."""

    def __init__(self, deliver_meanwhile):
        self.deliver_meanwhile = deliver_meanwhile

    async def request(self, method, target, headers):
        await self.deliver_meanwhile()
        return 0


class ConfirmingConnection:
    """A connection to a cache that confirms each purge."""

    async def request(self, method, target, headers):
        return 1


def test_a_poll_overtaken_by_a_delivery_does_not_count_the_purge_as_lost():
    report = RateLimitedLog("courier", wall_clock)
    worker = DeliveryWorker("c1", ("127.0.0.1", 1), [("127.0.0.1", 1)], 300_000, report, RATE)
    queue = worker.queue
    queue.record_purged_up_to(0, 0, wall_clock() - SECOND)
    queue.add([purge(1)], 0)
    worker.replica.applied_up_to = 1

    async def deliver_meanwhile():
        (delivery,) = queue.next_deliveries(wall_clock())
        await worker._deliver(delivery)

    worker.connections = [PolledConnection(deliver_meanwhile), ConfirmingConnection()]
    anyio.run(worker._poll_cache)
    assert queue.purged_up_to == 1 and worker.replica.applied_up_to == 1


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10_000), st.sampled_from((0, SETTLE_TIME)))
def test_random_failures_delay_purges_but_lose_none(seed, settle_time):
    """A cache refuses purges, loses answers, and becomes unreachable and returns at random.

    A purge that the cache hasn't confirmed never counts as applied, and at the end all are delivered.
    """
    rng = random.Random(seed)
    now = START
    head = 0
    queue, purged_by_cache = DeliveryQueue("c1", settle_time=settle_time), set()

    def purges(first, last):
        return [purge(number, f"o{number % 5}") for number in range(first, last + 1)]

    def report(now):
        """Reports up to where the cache has purged without a gap; adds the purges again that it has lost."""
        purged_up_to = 0
        while purged_up_to + 1 in purged_by_cache:
            purged_up_to += 1
        if not queue.record_purged_up_to(purged_up_to, head, now):
            queue.add(purges(purged_up_to + 1, head), 0)

    for _ in range(400):
        now += rng.randint(1_000, 200_000)
        event = rng.random()
        if event < 0.3:
            count = rng.randint(1, 4)
            queue.add(purges(head + 1, head + count), 0)
            head += count
        elif event < 0.4:
            queue.record_unreachable(now)
        elif event < 0.6 and not queue.is_up:
            report(now)
        else:
            for delivery in queue.next_deliveries(now):
                number = delivery.purge.sequence_number
                if rng.random() < 0.7:
                    if delivery.is_final:
                        purged_by_cache.add(number)
                    queue.record_confirmation(number)
                elif rng.random() < 0.5:
                    queue.record_refusal(number, now)
        assert set(range(1, queue.purged_up_to + 1)) <= purged_by_cache
    queue.record_unreachable(now)
    report(now)
    deliver(queue, now + 10 * SECOND, now + 50 * SECOND, step=20_000)
    assert queue.purged_up_to == head


# Guards against a cache that counts as having purged more than one of its own header lines says.
def test_a_response_with_two_sequence_numbers_confirms_nothing():
    fails_with(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Purged-To: 4\r\nX-Purged-To: 9\r\n\r\n")


# Guards against a cache whose response goes on and on, while purges for other caches wait.
def test_a_response_with_a_long_body_is_not_read_to_its_end():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Purged-To: 4\r\n\r\n"
    fails_with(head + b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n")


def fails_with(response):
    """Asserts that a cache's response is no answer to the delivery process."""

    async def serve(stream):
        async with stream:
            async for _ in request_heads(stream):
                await stream.send(response)

    async def run():
        async with anyio.create_task_group() as tasks:
            host, port = parse_address(await start_server(tasks, serve), "cache")
            connection = CacheConnection((host, port))
            with pytest.raises(DeliveryError):
                await connection.request("GET", "/purged", ())
            await connection.close()
            tasks.cancel_scope.cancel()

    anyio.run(run)
