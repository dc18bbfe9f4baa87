"""Bringing purges to a cache, by hand: order, pace, refusals, an absence, an older disk."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

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

S = 1_000_000


def purge(number, value=None):
    return Purge(number, number, "object", (value or f"o{number}",))


def box(*numbers, value=None, now=100 * S):
    found = DeliveryQueue("c1")
    found.reported(0, 0, now)
    found.add([purge(n, value) for n in numbers], 0)
    return found


def numbers(deliveries):
    return [delivery.purge.sequence_number for delivery in deliveries]


def play(found, now, until, outcome=lambda number: True, step=5_000):
    """Delivers for a while; gives the numbers in the order in which they went out, with their times."""
    out = []
    while now < until:
        for delivery in found.next_deliveries(now):
            out.append((now, delivery.purge.sequence_number))
            if outcome(delivery.purge.sequence_number):
                found.confirmed(delivery.purge.sequence_number)
            else:
                found.refused(delivery.purge.sequence_number, now)
        now += step
    return out


def test_purges_of_one_object_go_one_after_the_other():
    found = box(1, 2, value="same")
    found.add([purge(3)], 0)
    assert numbers(found.next_deliveries(101 * S)) == [1, 3]
    found.confirmed(3)
    assert found.purged_up_to == 0 and found.next_deliveries(102 * S) == []
    found.confirmed(1)
    assert found.purged_up_to == 1 and numbers(found.next_deliveries(103 * S)) == [2]
    found.confirmed(2)
    assert found.purged_up_to == 3


def test_a_cache_that_came_back_is_told_slowly_at_first():
    found = box(*range(1, 10_000))
    sent = play(found, 100 * S, 101 * S)
    assert RATE * SLOW_START_SHARE * 0.8 < len(sent) < RATE * (SLOW_START_SHARE + 0.1) + MAX_IN_FLIGHT
    later = play(found, 100 * S + SLOW_START_TIME, 101 * S + SLOW_START_TIME)
    assert RATE * 0.9 < len(later) <= RATE + MAX_IN_FLIGHT


def test_what_is_refused_is_tried_again_and_the_others_go_on():
    refused = {2: 3, 5: 1}

    def outcome(number):
        refused[number] = refused.get(number, 0) - 1
        return refused[number] < 0

    found = box(*range(1, 31))
    sent = play(found, 101 * S, 104 * S, outcome)
    assert found.purged_up_to == 30 and found.is_up
    times = [at for at, number in sent if number == 2]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert len(times) == 4 and gaps == sorted(gaps) and gaps[0] >= 50_000


def test_a_cache_that_does_not_answer_is_asked_less_and_less_often():
    found, waits = box(1), []
    for _ in range(12):
        found.next_deliveries(found.not_before + 1)
        now = found.not_before + 1
        found.unreachable(now)
        waits.append(found.not_before - now)
        assert found.next_deliveries(found.not_before + 1) == []  # nothing before it has said what it holds
    assert waits[0] >= 50_000 and max(waits) <= MAX_BACKOFF and waits[-1] >= MAX_BACKOFF // 2
    found.reported(0, 1, now + 9 * S)
    assert numbers(found.next_deliveries(now + 10 * S)) == [1]


def test_one_that_comes_back_with_an_older_disk_is_told_again():
    found = box(1, 2, 3)
    play(found, 101 * S, 102 * S)
    found.received_up_to(3)
    assert found.purged_up_to == 3 and found.is_caught_up
    found.unreachable(103 * S)
    assert not found.is_caught_up
    assert not found.reported(1, 3, 110 * S) and found.purged_up_to == 1 and not found.pending
    found.add([purge(2), purge(3)], 0)  # heard anew
    assert numbers(found.next_deliveries(111 * S)) == [2, 3]


def test_it_is_trusted_once_it_lacks_little():
    found = box(*range(1, 1_001))
    found.received_up_to(1_000)
    assert not found.is_caught_up
    play(found, 101 * S, 110 * S)
    found.received_up_to(1_000 + MAX_LAG_CAUGHT_UP)
    assert found.is_caught_up


def test_far_too_many_become_one_of_all_before_them():
    found = box(*range(1, MAX_PENDING + 2))
    assert len(found.pending) == MAX_PENDING // 2 + 1 and found.widened == 1
    first = found.next_deliveries(101 * S)[0].purge
    assert (first.kind, first.sequence_number, first.purged_at) == (
        "all",
        MAX_PENDING // 2 + 1,
        MAX_PENDING // 2 + 1,
    )
    found.confirmed(first.sequence_number)
    assert found.purged_up_to == first.sequence_number
    found.purge_everything_before(MAX_PENDING * 3, 77)
    assert found.pending[0] == Purge(MAX_PENDING * 3, 77, "all")


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10_000))
def test_whatever_fails_all_is_told_and_nothing_counts_that_was_not_taken(seed):
    chance, now = random.Random(seed), 100 * S
    found, disk, head = DeliveryQueue("c1"), set(), 0
    for _ in range(400):
        now += chance.randint(1_000, 200_000)
        what = chance.random()
        if what < 0.3:
            many = chance.randint(1, 4)
            found.add([purge(n, f"o{n % 5}") for n in range(head + 1, head + many + 1)], 0)
            head += many
        elif what < 0.4:
            found.unreachable(now)
        elif what < 0.6 and not found.is_up:
            held = 0
            while held + 1 in disk:
                held += 1
            if not found.reported(held, head, now):
                found.add([purge(n, f"o{n % 5}") for n in range(held + 1, head + 1)], 0)
        else:
            for delivery in found.next_deliveries(now):
                if chance.random() < 0.7:
                    disk.add(delivery.purge.sequence_number)
                    found.confirmed(delivery.purge.sequence_number)
                elif chance.random() < 0.5:
                    found.refused(delivery.purge.sequence_number, now)
        assert set(range(1, found.purged_up_to + 1)) <= disk
    held = next(n for n in range(head + 2) if n + 1 not in disk)
    found.unreachable(now)
    if not found.reported(held, head, now):
        found.add([purge(n, f"o{n % 5}") for n in range(held + 1, head + 1)], 0)
    play(found, now + 10 * S, now + 40 * S, step=20_000)
    assert found.purged_up_to == head
