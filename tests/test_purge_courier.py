"""Bringing purges to a cache, by hand: order, pace, refusals, an absence, an older disk."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from quartzrouter.purges.delivery_plan import (
    CAUGHT,
    COARSE,
    COLD_FOR,
    COLD_SHARE,
    PAUSE_MOST,
    RATE,
    WINDOW,
    DeliveryQueue,
)
from quartzrouter.purges.messages import Purge

S = 1_000_000


def purge(number, value=None):
    return Purge(number, number, "object", (value or f"o{number}",))


def box(*numbers, value=None, now=100 * S):
    found = DeliveryQueue("c1")
    found.stands(0, 0, now)
    found.heard([purge(n, value) for n in numbers], 0)
    return found


def numbers(deliveries):
    return [delivery.purge.number for delivery in deliveries]


def play(found, now, until, outcome=lambda number: True, step=5_000):
    """Delivers for a while; gives the numbers in the order in which they went out, with their times."""
    out = []
    while now < until:
        for delivery in found.next(now):
            out.append((now, delivery.purge.number))
            if outcome(delivery.purge.number):
                found.taken(delivery.purge.number)
            else:
                found.refused(delivery.purge.number, now)
        now += step
    return out


def test_purges_of_one_object_go_one_after_the_other():
    found = box(1, 2, value="same")
    found.heard([purge(3)], 0)
    assert numbers(found.next(101 * S)) == [1, 3]
    found.taken(3)
    assert found.reached == 0 and found.next(102 * S) == []
    found.taken(1)
    assert found.reached == 1 and numbers(found.next(103 * S)) == [2]
    found.taken(2)
    assert found.reached == 3


def test_a_cache_that_came_back_is_told_slowly_at_first():
    found = box(*range(1, 10_000))
    sent = play(found, 100 * S, 101 * S)
    assert RATE * COLD_SHARE * 0.8 < len(sent) < RATE * (COLD_SHARE + 0.1) + WINDOW
    later = play(found, 100 * S + COLD_FOR, 101 * S + COLD_FOR)
    assert RATE * 0.9 < len(later) <= RATE + WINDOW


def test_what_is_refused_is_tried_again_and_the_others_go_on():
    refused = {2: 3, 5: 1}

    def outcome(number):
        refused[number] = refused.get(number, 0) - 1
        return refused[number] < 0

    found = box(*range(1, 31))
    sent = play(found, 101 * S, 104 * S, outcome)
    assert found.reached == 30 and found.up
    times = [at for at, number in sent if number == 2]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert len(times) == 4 and gaps == sorted(gaps) and gaps[0] >= 50_000


def test_a_cache_that_does_not_answer_is_asked_less_and_less_often():
    found, waits = box(1), []
    for _ in range(12):
        found.next(found.next_at + 1)
        now = found.next_at + 1
        found.lost(now)
        waits.append(found.next_at - now)
        assert found.next(found.next_at + 1) == []  # nothing before it has said what it holds
    assert waits[0] >= 50_000 and max(waits) <= PAUSE_MOST and waits[-1] >= PAUSE_MOST // 2
    found.stands(0, 1, now + 9 * S)
    assert numbers(found.next(now + 10 * S)) == [1]


def test_one_that_comes_back_with_an_older_disk_is_told_again():
    found = box(1, 2, 3)
    play(found, 101 * S, 102 * S)
    found.level(3)
    assert found.reached == 3 and found.caught
    found.lost(103 * S)
    assert not found.caught
    assert not found.stands(1, 3, 110 * S) and found.reached == 1 and not found.pending
    found.heard([purge(2), purge(3)], 0)  # heard anew
    assert numbers(found.next(111 * S)) == [2, 3]


def test_it_is_trusted_once_it_lacks_little():
    found = box(*range(1, 1_001))
    found.level(1_000)
    assert not found.caught
    play(found, 101 * S, 110 * S)
    found.level(1_000 + CAUGHT)
    assert found.caught


def test_far_too_many_become_one_of_all_before_them():
    found = box(*range(1, COARSE + 2))
    assert len(found.pending) == COARSE // 2 + 1 and found.coarse == 1
    first = found.next(101 * S)[0].purge
    assert (first.kind, first.number, first.when) == ("all", COARSE // 2 + 1, COARSE // 2 + 1)
    found.taken(first.number)
    assert found.reached == first.number
    found.floor(COARSE * 3, 77)
    assert found.pending[0] == Purge(COARSE * 3, 77, "all")


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
            found.heard([purge(n, f"o{n % 5}") for n in range(head + 1, head + many + 1)], 0)
            head += many
        elif what < 0.4:
            found.lost(now)
        elif what < 0.6 and not found.up:
            held = 0
            while held + 1 in disk:
                held += 1
            if not found.stands(held, head, now):
                found.heard([purge(n, f"o{n % 5}") for n in range(held + 1, head + 1)], 0)
        else:
            for delivery in found.next(now):
                if chance.random() < 0.7:
                    disk.add(delivery.purge.number)
                    found.taken(delivery.purge.number)
                elif chance.random() < 0.5:
                    found.refused(delivery.purge.number, now)
        assert set(range(1, found.reached + 1)) <= disk
    held = next(n for n in range(head + 2) if n + 1 not in disk)
    found.lost(now)
    if not found.stands(held, head, now):
        found.heard([purge(n, f"o{n % 5}") for n in range(held + 1, head + 1)], 0)
    play(found, now + 10 * S, now + 40 * S, step=20_000)
    assert found.reached == head
