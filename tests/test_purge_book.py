"""The ledger's decisions and a member's, by hand: order, keys, leases, what is complete, what is refused."""

import pytest

from quartzrouter.purges.fleet_purges import CachedCopy, FleetPurges
from quartzrouter.purges.freshness_lease import FreshnessLease, lease_length
from quartzrouter.purges.messages import (
    MAX_LINE_BYTES,
    Heartbeat,
    MemberAck,
    MemberHello,
    Purge,
    PurgeBatch,
    PurgeRequest,
    RequestRejected,
    Snapshot,
    Welcome,
    encode_line,
)
from quartzrouter.purges.purge_index import PurgeLookup
from quartzrouter.purges.reconnect_backoff import FIRST_DELAY, MAX_DELAY, PrimaryWatch, ReconnectBackoff
from quartzrouter.purges.registry import AdmittedPurge, PurgeRegistry
from quartzrouter.purges.replica import ApplyPurges, EndConnection, PurgeReplica, SendMessage
from quartzrouter.purges.validation import MAX_VALUES, rejection_of

MS = 1_000
GRACE = 300 * MS
LEASE = lease_length(GRACE)


def book(**other):
    return PurgeRegistry(1, GRACE, 0, **other)


def member(book, name, now, kind="router", held=0):
    found = book.join(MemberHello(name, kind, f"t-{name}"), now)
    book.acknowledge(found, held, 1, False, now)
    return found


def send(book, now, *values, key="", durable=True):
    given = book.admit(PurgeRequest("tag", values or ("a",), key=key), now)
    if durable and isinstance(given, AdmittedPurge):
        book.mark_durable(given.purge.sequence_number, now)
    return given


def test_the_same_purge_sent_twice_is_one_and_another_under_its_key_is_refused():
    b = book()
    first = send(b, 1_000, key="k")
    again = send(b, 9_000, key="k")
    assert again == (first.purge, True) and b.last_admitted == 1
    other = send(b, 9_000, "b", key="k")
    assert isinstance(other, RequestRejected) and "purge 1" in other.reason and other.remedy
    assert send(b, 9_000).purge.sequence_number == 2


def test_a_key_counts_through_a_restart_and_not_for_what_was_lost():
    b = book()
    kept = send(b, 1_000, key="k").purge
    send(b, 2_000, key="gone", durable=False)
    assert [purge.key for purge in b.discard_pending()] == ["gone"]
    after = book()
    after.recover([kept], 0, 0)
    assert send(after, 9_000, key="k").is_duplicate and not send(after, 9_000, key="gone").is_duplicate


def test_times_only_grow_also_where_the_clock_is_set_back():
    b = book()
    whens = [send(b, now).purge.purged_at for now in (5_000, 5_000, 1_000, 9_000)]
    assert whens == [5_000, 5_001, 5_002, 9_000]


def test_a_purge_is_complete_once_every_live_member_has_it():
    b, now = book(), 10 * LEASE
    one, two = member(b, "r1", now), member(b, "r2", now)
    send(b, now)
    b.acknowledge(one, 1, 2, False, now + 1 * MS)
    told = b.status(1, now + 2 * MS)
    assert (told.is_complete, told.waiting_for) == (False, ("r2",))
    b.acknowledge(two, 1, 2, False, now + 3 * MS)
    told = b.status(1, now + 4 * MS)
    assert (told.is_complete, told.completed_after, told.waiting_for) == (True, 3 * MS, ())
    assert told.promised_within >= LEASE and told.delays["highest"] >= 2 * MS


def test_a_member_that_vanishes_is_waited_for_its_lease_and_no_longer():
    b, now = book(), 10 * LEASE
    one, _ = member(b, "r1", now), member(b, "gone", now)
    send(b, now + MS)
    b.acknowledge(one, 1, 2, False, now + LEASE)
    assert b.complete_up_to == 0  # the other may still serve by its lease
    b.acknowledge(one, 1, 3, False, now + LEASE + MS)
    assert b.complete_up_to == 1 and b.missed_promises == 0


def test_who_leaves_or_is_away_is_not_waited_for():
    b, now = book(), 10 * LEASE
    one, two = member(b, "r1", now), member(b, "c1", now, "cache")
    assert b.caches_caught_up(now) == {"c1": 0}
    b.acknowledge(two, 0, 2, True, now)
    send(b, now)
    assert b.complete_up_to == 0 and b.caches_caught_up(now) == {}
    b.leave(one, now)
    assert b.complete_up_to == 1


def test_after_a_restart_nothing_is_complete_until_older_leases_are_over():
    b = PurgeRegistry(2, GRACE, 1_000_000)
    send(b, 1_000_001)
    b.update_completeness(1_000_000 + LEASE)
    assert b.complete_up_to == 0
    b.update_completeness(1_000_001 + LEASE)
    assert b.complete_up_to == 1


def test_what_the_log_held_is_complete_only_then_as_well():
    b = PurgeRegistry(2, GRACE, 1_000_000)
    b.recover([Purge(1, 999_999, "all")], 0, 0)
    assert not b.status(1, 1_000_001).is_complete
    b.update_completeness(1_000_001 + LEASE)
    told = b.status(1, 1_000_001 + LEASE)
    assert (told.is_complete, told.completed_after, told.delays["purges"]) == (True, 0, 0)


def test_a_name_that_is_in_use_is_refused_until_its_lease_is_over():
    b, now = book(), 10 * LEASE
    first = member(b, "r1", now)
    refused = b.join(MemberHello("r1", "router", "other"), now + LEASE)
    assert isinstance(refused, RequestRejected) and refused.retry_after == LEASE and "'r1'" in refused.reason
    assert b.join(MemberHello("r1", "router", "t-r1"), now) is first  # the same process, anew
    assert not isinstance(b.join(MemberHello("r1", "router", "other"), now + LEASE + 1), RequestRejected)
    refused = b.join(MemberHello("r9", "router", "t", epoch=5), now)
    assert refused.place == "epoch"


def test_no_echo_vouches_for_what_is_not_durable():
    b = book()
    one = member(b, "r1", 1_000)
    b.acknowledge(one, 0, 2, False, 2_000)
    send(b, 2_500, durable=False)
    b.acknowledge(one, 0, 3, False, 3_000)
    assert b.ack_to_echo(one) == 2
    b.mark_durable(1, 4_000)
    assert b.ack_to_echo(one) == 3


def test_what_is_too_many_or_too_old_is_let_go_and_leaves_a_floor():
    b = book(max_retained=10)
    for n in range(30):
        send(b, 10 * LEASE + n)
    b.trim(10 * LEASE + 40)
    assert (b.trimmed_up_to, b.last_admitted, b.low_watermark) == (20, 30, 10 * LEASE + 19)
    assert b.needs_snapshot(19, 0, 0) and not b.needs_snapshot(20, 0, 0)
    pages = b.snapshot_pages(0, 0)
    assert pages[-1] == Snapshot(30, b.low_watermark, tuple(b.purges), True)
    life = 10 * MS
    assert (
        b.needs_snapshot(25, life, 10 * LEASE + 28 + life) and b.snapshot_pages(life, 1 << 50)[0].purges == ()
    )
    assert b.status(3, 0).remedy == "numbers go from 21 to 30"


@pytest.mark.parametrize(
    ("send", "place", "reason"),
    [
        (PurgeRequest("tag"), "values", "no tag is named"),
        (PurgeRequest("all", ("x",)), "values", "names no values"),
        (PurgeRequest("tag", ("a b",)), "values", "is no tag"),
        (PurgeRequest("tag", tuple("t" * n for n in range(1, MAX_VALUES + 2))), "values", "in one purge"),
        (PurgeRequest("tag", ("t" * 512,) * 9), "values", "characters in one purge"),
        (PurgeRequest("pattern", ("rose",)), "values", "begins with '/'"),
        (PurgeRequest("pattern", ("/a/**/b",)), "values", "only at the end"),
        (PurgeRequest("pattern", ("/**a",)), "values", "only at the end"),
        (PurgeRequest("pattern", ("/" + "*a" * 17,)), "values", "wildcards"),
        (PurgeRequest("pattern", ("/a" * 33,)), "values", "parts"),
        (PurgeRequest("tag", ("a",), vhost="a/b"), "vhost", "is no name"),
        (PurgeRequest("tag", ("a",), key="k k"), "key", "is no key"),
    ],
)
def test_what_cannot_be_purged_is_refused_with_place_reason_and_remedy(send, place, reason):
    found = rejection_of(send)
    assert found.place == place and reason in found.reason and found.remedy and not found.retry_after


# -- a member ------------------------------------------------------------------------------------------------


def follower(held=0):
    found = PurgeReplica("r1", "router", "t", FreshnessLease(LEASE), held)
    found.start_connection()
    found.receive(Welcome(1, held, 1_000, LEASE), 3_000)  # its clock is ahead by less than 2 ms
    return found


def purges(*numbers):
    return PurgeBatch(tuple(Purge(n, n * MS, "tag", ("a",)) for n in numbers))


def test_purges_come_in_order_and_once_whatever_the_line_does():
    f = follower()
    applied, said = f.receive(purges(1, 2), 4_000)
    assert [p.sequence_number for p in applied.purges] == [1, 2] and applied.clock_offset == 2_000
    assert said == SendMessage(MemberAck(2, 2))
    assert f.receive(purges(1, 2), 5_000) == []  # doubled
    assert [p.sequence_number for p in f.receive(purges(2, 3), 5_000)[0].purges] == [3]
    (end,) = f.receive(purges(5), 6_000)  # one was lost
    assert isinstance(end, EndConnection) and "5 came after 3" in end.reason and f.applied_up_to == 3


def test_a_lease_starts_when_the_echoed_word_was_sent():
    f = follower()
    f.receive(Heartbeat(1, 0, 0, 2_000), 10_000)  # sends mark 2 at 10 ms
    assert f.lease.started_at is None
    f.receive(Heartbeat(1, 0, 2, 9_000), 90_000)
    assert f.lease.started_at == 10_000
    f.receive(Heartbeat(1, 0, 1, 9_500), 95_000)  # a late echo
    assert f.lease.started_at == 10_000


def test_a_beat_that_names_more_than_came_renews_nothing():
    f = follower()
    (end,) = f.receive(Heartbeat(1, 3, 1, 2_000), 10_000)
    assert isinstance(end, EndConnection) and f.lease.started_at is None


def test_the_largest_purges_fit_into_lines():
    b = book()
    for n in range(600):
        assert not isinstance(b.admit(PurgeRequest("tag", ('"' * 512,) * 8, key=f"k{n}"), n), RequestRejected)
    b.mark_durable(600, 600)
    held = 0
    while held < 600:
        news = b.next_batch(held)
        assert news and len(encode_line(PurgeBatch(tuple(news)))) <= MAX_LINE_BYTES
        held += len(news)
    pages = b.snapshot_pages(0, 600)
    assert sum(len(page.purges) for page in pages) == 600 and [p.is_last_page for p in pages[-2:]] == [
        False,
        True,
    ]
    assert all(len(encode_line(page)) <= MAX_LINE_BYTES for page in pages)


def test_a_name_that_is_none_is_refused():
    for name, token in (("", "t"), ("a b", "t"), ("n" * 64, "t"), ("r1", "x" * 1_000)):
        assert book().join(MemberHello(name, "router", token), 0).place == "name"


def test_connections_are_tried_in_turn_and_less_and_less_often():
    attempts, waits, asked = ReconnectBackoff(["a", "b"], "r1"), [], []
    for _ in range(12):
        asked.append(attempts.address)
        waits.append(attempts.next_delay())
    assert asked[:4] == ["a", "b", "a", "b"] and waits[0] <= FIRST_DELAY and max(waits) <= MAX_DELAY
    assert min(waits[-4:]) >= MAX_DELAY // 2
    attempts.succeeded()
    attempts.wait_at_least(3_000_000)
    assert attempts.next_delay() == 3_000_000 and attempts.next_delay() < FIRST_DELAY * 2
    assert waits != [ReconnectBackoff(["a"], "r2").next_delay() for _ in waits]


def test_a_standby_takes_over_after_misses_in_a_row():
    watch = PrimaryWatch()
    assert [watch.record(answered) for answered in (False, False, True, False, False, False)] == [
        False
    ] * 5 + [True]


def test_an_older_epoch_and_a_ledger_that_lost_something_are_left():
    f = follower(held=4)
    f.lease.renew(1)
    f.start_connection()
    (end,) = f.receive(Welcome(1, 2, 0, LEASE), 0)
    assert (
        "lacks what was in force here up to 4" in end.reason
        and not f.lease.is_held(1)
        and f.applied_up_to == 0
    )
    f = follower()
    f.epoch = 3
    f.start_connection()
    assert "epoch 2 is over" in f.receive(Welcome(2, 9, 0, LEASE), 0)[0].reason


def test_a_snapshot_counts_once_its_last_page_is_there():
    f = follower()
    pages = [Snapshot(40, 7, purges(30).purges, False), Snapshot(40, 7, purges(39).purges, True)]
    assert f.receive(pages[0], 0) == [] and f.applied_up_to == 0
    applied, _ = f.receive(pages[1], 0)
    assert (applied.is_snapshot, applied.low_watermark, len(applied.purges), f.applied_up_to) == (
        True,
        7,
        2,
        40,
    )
    f.receive(pages[0], 0)
    f.start_connection()
    assert f.partial_snapshot == []  # half a snapshot is none


# -- a router ------------------------------------------------------------------------------------------------

ROSE = PurgeLookup("page", "rose", "x", "/rose")
S = 1_000_000


def fleet(now=100 * S):
    found = FleetPurges(GRACE, 60 * S, 1_000, 100, max_clock_skew=S, keeps_recent=True)
    found.lease.renew(now)
    return found


def apply(fleet, now, *told, number=1, whole=False, floor=0):
    made = tuple(Purge(number + n, when, "tag", tags) for n, (when, tags) in enumerate(told))
    fleet.apply(ApplyPurges(made, 0, floor, whole), number + len(told) - 1, now)


def test_a_copy_with_tags_that_nobody_knew_is_judged_when_it_comes():
    f, now = fleet(), 100 * S
    apply(f, now, (now, ("care",)))
    assert f.max_age(ROSE, "north", (), 8 * S, now + MS) == 8 * S  # never seen: judged by its answer
    late = now + GRACE
    f.lease.renew(late)
    old, new = CachedCopy(0, 2 * S, ("care",)), CachedCopy(0, 100 * MS, ("care",))
    assert not f.accepts(ROSE, "north", old, late, 0) and f.stale_copies == 1
    assert f.max_age(ROSE, "north", (), 8 * S, late) == GRACE  # and now its tags are known
    assert f.accepts(ROSE, "north", new, late, 0)
    assert f.accepts(ROSE, "north", CachedCopy(0, 2 * S, ("other",)), late, 0)
    assert not f.accepts(ROSE, "north", CachedCopy(0, 2 * S, None), late, 0)  # may carry any
    assert not f.accepts(ROSE, "north", new, late, 99 * MS)  # older than was asked for: it joined a fill


def test_without_an_age_the_clocks_may_differ_by_what_is_told():
    f, now = fleet(), 100 * S
    apply(f, now, (now, ("care",)))
    late = now + 5 * S
    assert not f.accepts(ROSE, "north", CachedCopy(now + 900 * MS, None, ("care",)), late, 0)
    assert f.accepts(ROSE, "north", CachedCopy(now + 1_001 * MS, None, ("care",)), late, 0)


def test_cut_off_a_router_takes_copies_of_a_lease_at_most():
    f, now = fleet(), 100 * S
    assert f.max_age(ROSE, "north", (), 0, now + LEASE) == 0
    assert f.max_age(ROSE, "north", (), 0, now + LEASE + 1) == LEASE
    f.lease.renew(now + LEASE)
    assert f.max_age(ROSE, "north", (), 0, now + LEASE + 1) == 0


def test_a_cache_that_has_not_purged_what_no_mark_tells_of_is_bounded_by_the_life_of_marks():
    f, now = fleet(), 100 * S
    apply(f, now, (now, ("care",)), (now, ("x",)))
    later = now + 70 * S
    f.lease.renew(later)
    f.caches_caught_up = {"c1": 2, "c2": 1}
    assert f.max_age(ROSE, "north", ("c1", "c1"), 0, later) == 0
    for held_by in (("c1", "c2"), ("c3", "c1")):
        assert f.max_age(ROSE, "north", held_by, 0, later) == 60 * S
    assert f.max_age(ROSE, "north", ("c2", "c2"), 8 * S, later) == 8 * S


def test_a_snapshot_with_a_floor_bounds_all_copies():
    f, now = fleet(), 100 * S
    apply(f, now, (now - S, ("x",)), number=50, whole=True, floor=now - 2 * S)
    assert f.max_age(ROSE, "north", (), 0, now) == 2 * S and f.index.expired_up_to == 49
    assert not f.accepts(ROSE, "north", CachedCopy(0, 3 * S, ()), now, 0)


def test_what_is_kept_in_a_file_holds_after_a_restart():
    f, now = fleet(), 100 * S
    apply(f, now, (now, ("care",)), (now, ("x",)))
    after = FleetPurges(GRACE, 60 * S, 1_000, 100)
    after.restore(f.recent, 2, f.recent_low_watermark, now + S)
    assert after.index.expired_up_to == 0 and after.index.newest(ROSE, ("care",), "north") == now
    assert after.max_age(ROSE, "north", (), 0, now + S) == LEASE  # until the ledger is heard
