"""Tests of the purge log, its members and a router without I/O: order, leases, completeness, copies."""

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
from quartzrouter.purges.validation import MAX_VALUES, validate_request

MILLISECOND = 1_000  # in microseconds
SECOND = 1_000_000  # in microseconds
GRACE = 300 * MILLISECOND
LEASE = lease_length(GRACE)
NOW = 10 * LEASE  # leases of an earlier process have expired

# -- the registry --------------------------------------------------------------------------------------------


def new_registry(**options):
    return PurgeRegistry(1, GRACE, 0, **options)


def join(registry, name, now, kind="router"):
    """Adds a member that has acknowledged everything up to now."""
    member = registry.join(MemberHello(name, kind, f"t-{name}"), now)
    acknowledge(registry, member, 0, 1, now)
    return member


def acknowledge(registry, member, applied_up_to, ack_id, now, is_unreachable=False):
    registry.acknowledge(member, applied_up_to, ack_id, is_unreachable, now)


def admit(registry, now, *values, key="", durable=True):
    """Admits a purge by tags, and marks it as durable unless told otherwise."""
    admitted = registry.admit(PurgeRequest("tag", values or ("a",), key=key), now)
    if durable and isinstance(admitted, AdmittedPurge):
        registry.mark_durable(admitted.purge.sequence_number, now)
    return admitted


def test_a_purge_sent_twice_counts_once_and_another_under_its_key_is_rejected():
    """A client misses the reply and sends its purge again with the same key: it is admitted once."""
    registry = new_registry()
    first = admit(registry, 1_000, key="k")
    repeated = admit(registry, 9_000, key="k")
    assert repeated == (first.purge, True) and registry.last_admitted == 1
    other = admit(registry, 9_000, "b", key="k")
    assert isinstance(other, RequestRejected) and "purge 1" in other.reason and other.remedy
    assert admit(registry, 9_000).purge.sequence_number == 2


def test_a_key_is_kept_over_a_restart_and_dropped_with_a_lost_purge():
    """A purge can't be written to disk, and then the process restarts: the lost purge may be sent again."""
    registry = new_registry()
    kept = admit(registry, 1_000, key="k").purge
    admit(registry, 2_000, key="gone", durable=False)
    assert [purge.key for purge in registry.discard_pending()] == ["gone"]
    restarted = new_registry()
    restarted.recover([kept], 0, 0)
    assert admit(restarted, 9_000, key="k").is_duplicate
    assert not admit(restarted, 9_000, key="gone").is_duplicate


def test_purge_times_increase_even_if_the_clock_is_set_back():
    """The clock stops and is set back: members bound the age of copies by purge times, so these increase."""
    registry = new_registry()
    times = [admit(registry, now).purge.purged_at for now in (5_000, 5_000, 1_000, 9_000)]
    assert times == [5_000, 5_001, 5_002, 9_000]


def test_a_purge_is_complete_once_every_live_member_has_it():
    """Two routers acknowledge one after the other; the status names the one that the purge waits for."""
    registry = new_registry()
    first, second = join(registry, "r1", NOW), join(registry, "r2", NOW)
    admit(registry, NOW)
    acknowledge(registry, first, 1, 2, NOW + 1 * MILLISECOND)
    status = registry.status(1, NOW + 2 * MILLISECOND)
    assert (status.is_complete, status.waiting_for) == (False, ("r2",))
    acknowledge(registry, second, 1, 2, NOW + 3 * MILLISECOND)
    status = registry.status(1, NOW + 4 * MILLISECOND)
    assert (status.is_complete, status.completed_after, status.waiting_for) == (True, 3 * MILLISECOND, ())
    assert status.promised_within >= LEASE and status.delays["highest"] >= 2 * MILLISECOND


def test_a_purge_waits_for_a_silent_member_until_its_lease_expires():
    """A router fails before a purge: until its lease expires it may serve, so the purge isn't complete."""
    registry = new_registry()
    staying, _ = join(registry, "r1", NOW), join(registry, "gone", NOW)
    admit(registry, NOW + MILLISECOND)
    acknowledge(registry, staying, 1, 2, NOW + LEASE)
    assert registry.complete_up_to == 0
    acknowledge(registry, staying, 1, 3, NOW + LEASE + MILLISECOND)
    assert registry.complete_up_to == 1 and registry.missed_promises == 0


def test_purges_do_not_wait_for_members_that_left_or_are_unreachable():
    """A cache can't be reached and a router leaves: no purge waits for either."""
    registry = new_registry()
    router, cache = join(registry, "r1", NOW), join(registry, "c1", NOW, "cache")
    assert registry.caches_caught_up(NOW) == {"c1": 0}
    acknowledge(registry, cache, 0, 2, NOW, is_unreachable=True)
    admit(registry, NOW)
    assert registry.complete_up_to == 0 and registry.caches_caught_up(NOW) == {}
    registry.leave(router, NOW)
    assert registry.complete_up_to == 1


def test_after_a_restart_nothing_is_complete_until_older_leases_expire():
    """A process starts: members may hold leases of the previous process, and are not connected yet."""
    registry = PurgeRegistry(2, GRACE, 1_000_000)
    admit(registry, 1_000_001)
    registry.update_completeness(1_000_000 + LEASE)
    assert registry.complete_up_to == 0
    registry.update_completeness(1_000_001 + LEASE)
    assert registry.complete_up_to == 1


def test_recovered_purges_are_not_complete_before_older_leases_expire():
    """A purge is in the log at the start: it isn't known which members applied it, or how long that took."""
    registry = PurgeRegistry(2, GRACE, 1_000_000)
    registry.recover([Purge(1, 999_999, "all")], 0, 0)
    assert not registry.status(1, 1_000_001).is_complete
    registry.update_completeness(1_000_001 + LEASE)
    status = registry.status(1, 1_000_001 + LEASE)
    assert (status.is_complete, status.completed_after, status.delays["purges"]) == (True, 0, 0)


def test_a_name_in_use_is_rejected_until_its_lease_expires():
    """Two processes have the same name: the second waits until the first one's lease expires."""
    registry = new_registry()
    first = join(registry, "r1", NOW)
    other_process = MemberHello("r1", "router", "other")
    rejection = registry.join(other_process, NOW + LEASE)
    assert isinstance(rejection, RequestRejected) and rejection.retry_after == LEASE
    assert "'r1'" in rejection.reason
    assert registry.join(MemberHello("r1", "router", "t-r1"), NOW) is first  # the same process, reconnected
    assert not isinstance(registry.join(other_process, NOW + LEASE + 1), RequestRejected)
    rejection = registry.join(MemberHello("r9", "router", "t", epoch=5), NOW)
    assert rejection.place == "epoch"


def test_an_acknowledgement_after_a_purge_that_is_not_durable_is_not_echoed():
    """An acknowledgement is received while a purge is being written to disk.

    The purge takes effect from its admission and hasn't been sent, so an echo of that acknowledgement would
    start a lease although the member lacks the purge.
    """
    registry = new_registry()
    member = join(registry, "r1", 1_000)
    acknowledge(registry, member, 0, 2, 2_000)
    admit(registry, 2_500, durable=False)
    acknowledge(registry, member, 0, 3, 3_000)
    assert registry.ack_to_echo(member) == 2
    registry.mark_durable(1, 4_000)
    assert registry.ack_to_echo(member) == 3


def test_trimmed_purges_leave_a_low_watermark():
    """More purges are admitted than retained: the time of the last one dropped becomes the low watermark."""
    registry = new_registry(max_retained=10)
    for n in range(30):
        admit(registry, NOW + n)
    registry.trim(NOW + 40)
    found = (registry.trimmed_up_to, registry.last_admitted, registry.low_watermark)
    assert found == (20, 30, NOW + 19)
    assert registry.needs_snapshot(19, 0, 0) and not registry.needs_snapshot(20, 0, 0)
    pages = registry.snapshot_pages(0, 0)
    assert pages[-1] == Snapshot(30, registry.low_watermark, tuple(registry.purges), True)
    lifetime = 10 * MILLISECOND
    assert registry.needs_snapshot(25, lifetime, NOW + 28 + lifetime)
    assert registry.snapshot_pages(lifetime, 1 << 50)[0].purges == ()
    assert registry.status(3, 0).remedy == "use a number from 21 to 30"


@pytest.mark.parametrize(
    ("request_", "place", "reason"),
    [
        (PurgeRequest("tag"), "values", "no tag is named"),
        (PurgeRequest("all", ("x",)), "values", "takes no values"),
        (PurgeRequest("tag", ("a b",)), "values", "is not a valid tag"),
        (PurgeRequest("tag", tuple("t" * n for n in range(1, MAX_VALUES + 2))), "values", "in one purge"),
        (PurgeRequest("tag", ("t" * 512,) * 9), "values", "characters in one purge"),
        (PurgeRequest("pattern", ("rose",)), "values", "begins with '/'"),
        (PurgeRequest("pattern", ("/a/**/b",)), "values", "only at the end"),
        (PurgeRequest("pattern", ("/**a",)), "values", "only at the end"),
        (PurgeRequest("pattern", ("/" + "*a" * 17,)), "values", "wildcards"),
        (PurgeRequest("pattern", ("/a" * 33,)), "values", "parts"),
        (PurgeRequest("tag", ("a",), vhost="a/b"), "vhost", "is not a valid name"),
        (PurgeRequest("tag", ("a",), key="k k"), "key", "is not a valid key"),
    ],
)
def test_an_invalid_purge_is_rejected_with_place_reason_and_remedy(request_, place, reason):
    rejection = validate_request(request_)
    assert rejection.place == place and reason in rejection.reason
    assert rejection.remedy and not rejection.retry_after


def test_the_largest_purges_fit_into_lines():
    """Six hundred purges of the maximum size, of characters that JSON escapes: batches and pages fit."""
    registry = new_registry()
    for n in range(600):
        largest = PurgeRequest("tag", ('"' * 512,) * 8, key=f"k{n}")
        assert not isinstance(registry.admit(largest, n), RequestRejected)
    registry.mark_durable(600, 600)
    sent_up_to = 0
    while sent_up_to < 600:
        batch = registry.next_batch(sent_up_to)
        assert batch and len(encode_line(PurgeBatch(tuple(batch)))) <= MAX_LINE_BYTES
        sent_up_to += len(batch)
    pages = registry.snapshot_pages(0, 600)
    assert sum(len(page.purges) for page in pages) == 600
    assert [page.is_last_page for page in pages[-2:]] == [False, True]
    assert all(len(encode_line(page)) <= MAX_LINE_BYTES for page in pages)


def test_an_invalid_member_name_is_rejected():
    for name, token in (("", "t"), ("a b", "t"), ("n" * 64, "t"), ("r1", "x" * 1_000)):
        assert new_registry().join(MemberHello(name, "router", token), 0).place == "name"


# -- a member ------------------------------------------------------------------------------------------------


def welcomed_replica(applied_up_to=0):
    """Returns a replica whose clock is ahead of the purge log's by at most 2 ms."""
    replica = PurgeReplica("r1", "router", "t", FreshnessLease(LEASE), applied_up_to)
    replica.start_connection()
    replica.receive(Welcome(1, applied_up_to, 1_000, LEASE), 3_000)
    return replica


def batch_of(*sequence_numbers):
    return PurgeBatch(tuple(Purge(n, n * MILLISECOND, "tag", ("a",)) for n in sequence_numbers))


def numbers(purges):
    return [purge.sequence_number for purge in purges]


def test_purges_are_applied_in_order_and_once_despite_repeated_and_lost_lines():
    """A line is repeated, one overlaps the previous, and one is lost: only the loss ends the connection."""
    replica = welcomed_replica()
    applied, ack = replica.receive(batch_of(1, 2), 4_000)
    assert numbers(applied.purges) == [1, 2] and applied.clock_offset == 2_000
    assert ack == SendMessage(MemberAck(2, 2))
    assert replica.receive(batch_of(1, 2), 5_000) == []
    assert numbers(replica.receive(batch_of(2, 3), 5_000)[0].purges) == [3]
    (end,) = replica.receive(batch_of(5), 6_000)
    assert isinstance(end, EndConnection) and "purge 5 after 3" in end.reason and replica.applied_up_to == 3


def test_a_lease_starts_when_the_echoed_acknowledgement_was_sent():
    """Echoes come late and out of order: a lease starts when the newest echoed acknowledgement was sent."""
    replica = welcomed_replica()
    replica.receive(Heartbeat(1, 0, 0, 2_000), 10_000)  # the replica sends acknowledgement 2 at 10 ms
    assert replica.lease.started_at is None
    replica.receive(Heartbeat(1, 0, 2, 9_000), 90_000)
    assert replica.lease.started_at == 10_000
    replica.receive(Heartbeat(1, 0, 1, 9_500), 95_000)
    assert replica.lease.started_at == 10_000


def test_a_heartbeat_with_a_later_head_renews_nothing():
    """Purges are lost in transit: the heartbeat's head shows it, and the connection ends."""
    replica = welcomed_replica()
    (end,) = replica.receive(Heartbeat(1, 3, 1, 2_000), 10_000)
    assert isinstance(end, EndConnection) and replica.lease.started_at is None


def test_addresses_are_tried_in_turn_with_backoff():
    """No purge log answers a dozen attempts; then one does, and requests a delay before the next."""
    backoff, delays, addresses = ReconnectBackoff(["a", "b"], "r1"), [], []
    for _ in range(12):
        addresses.append(backoff.address)
        delays.append(backoff.next_delay())
    assert addresses[:4] == ["a", "b", "a", "b"]
    assert delays[0] <= FIRST_DELAY and max(delays) <= MAX_DELAY
    assert min(delays[-4:]) >= MAX_DELAY // 2
    backoff.record_success()
    backoff.wait_at_least(3_000_000)
    assert backoff.next_delay() == 3_000_000 and backoff.next_delay() < FIRST_DELAY * 2
    assert delays != [ReconnectBackoff(["a"], "r2").next_delay() for _ in delays]


def test_a_standby_takes_over_after_misses_in_a_row():
    """The primary misses two queries, answers one, and misses three: only then the standby takes over."""
    watch = PrimaryWatch()
    outcomes = [watch.record(answered) for answered in (False, False, True, False, False, False)]
    assert outcomes == [False] * 5 + [True]


def test_a_replica_disconnects_from_an_older_epoch_and_from_a_purge_log_that_lost_purges():
    """A purge log starts with an older folder; later, one answers that another has replaced.

    The first lacks purges that are applied here, so the lease ends and all purges are requested again. The
    second lacks purges that its successor has accepted, so the connection ends.
    """
    replica = welcomed_replica(applied_up_to=4)
    replica.lease.renew(1)
    replica.start_connection()
    (end,) = replica.receive(Welcome(1, 2, 0, LEASE), 0)
    assert "purges up to 4 are applied here" in end.reason
    assert not replica.lease.is_held(1) and replica.applied_up_to == 0
    replica = welcomed_replica()
    replica.epoch = 3
    replica.start_connection()
    assert "epoch 2 is outdated" in replica.receive(Welcome(2, 9, 0, LEASE), 0)[0].reason


def test_a_snapshot_is_applied_when_its_last_page_arrives():
    """A connection ends in the middle of a snapshot: the received pages are discarded."""
    replica = welcomed_replica()
    first_page = Snapshot(40, 7, batch_of(30).purges, False)
    last_page = Snapshot(40, 7, batch_of(39).purges, True)
    assert replica.receive(first_page, 0) == [] and replica.applied_up_to == 0
    applied, _ = replica.receive(last_page, 0)
    assert (applied.is_snapshot, applied.low_watermark, len(applied.purges)) == (True, 7, 2)
    assert replica.applied_up_to == 40
    replica.receive(first_page, 0)
    replica.start_connection()
    assert replica.partial_snapshot == []


# -- a router ------------------------------------------------------------------------------------------------

ROSE = PurgeLookup("page", "rose", "x", "/rose")
START = 100 * SECOND


def new_fleet_purges():
    """Returns the purges of a router whose lease starts at START."""
    fleet_purges = FleetPurges(GRACE, 60 * SECOND, 1_000, 100, max_clock_skew=SECOND, keeps_recent=True)
    fleet_purges.lease.renew(START)
    return fleet_purges


def apply(fleet_purges, *tagged, first_number=1, is_snapshot=False, low_watermark=0):
    """Applies purges by tags at START, given as their times and tags."""
    purges = tuple(Purge(first_number + n, time, "tag", tags) for n, (time, tags) in enumerate(tagged))
    applied_up_to = first_number + len(tagged) - 1
    fleet_purges.apply(ApplyPurges(purges, 0, low_watermark, is_snapshot), applied_up_to, START)


def test_a_copy_with_unknown_tags_is_checked_when_it_is_received():
    """A purge by tag matches an object that this router has never seen, so no maximum age is requested.

    The received copy is older than the purge and has the tag: it is not forwarded, and its tags are known
    from then on. A copy without tags may have any. One that is older than requested came by a joined fill.
    """
    fleet_purges = new_fleet_purges()
    apply(fleet_purges, (START, ("care",)))
    usual = 8 * SECOND
    assert fleet_purges.max_age(ROSE, "north", (), usual, START + MILLISECOND) == usual
    late = START + GRACE
    fleet_purges.lease.renew(late)
    old_copy = CachedCopy(0, 2 * SECOND, ("care",))
    new_copy = CachedCopy(0, 100 * MILLISECOND, ("care",))
    assert not fleet_purges.accepts(ROSE, "north", old_copy, late, 0) and fleet_purges.stale_copies == 1
    assert fleet_purges.max_age(ROSE, "north", (), usual, late) == GRACE
    assert fleet_purges.accepts(ROSE, "north", new_copy, late, 0)
    assert fleet_purges.accepts(ROSE, "north", CachedCopy(0, 2 * SECOND, ("other",)), late, 0)
    assert not fleet_purges.accepts(ROSE, "north", CachedCopy(0, 2 * SECOND, None), late, 0)
    assert not fleet_purges.accepts(ROSE, "north", new_copy, late, 99 * MILLISECOND)


def test_without_an_age_the_origins_time_minus_the_clock_skew_is_used():
    """A cache doesn't report a copy's age: the origin's time minus the maximum clock skew is used."""
    fleet_purges = new_fleet_purges()
    apply(fleet_purges, (START, ("care",)))
    late = START + 5 * SECOND
    before_skew = CachedCopy(START + 900 * MILLISECOND, None, ("care",))
    behind_skew = CachedCopy(START + 1_001 * MILLISECOND, None, ("care",))
    assert not fleet_purges.accepts(ROSE, "north", before_skew, late, 0)
    assert fleet_purges.accepts(ROSE, "north", behind_skew, late, 0)


def test_a_router_that_is_cut_off_accepts_copies_no_older_than_a_lease():
    """A router receives nothing for longer than a lease: it may have missed a purge."""
    fleet_purges = new_fleet_purges()
    assert fleet_purges.max_age(ROSE, "north", (), 0, START + LEASE) == 0
    assert fleet_purges.max_age(ROSE, "north", (), 0, START + LEASE + 1) == LEASE
    fleet_purges.lease.renew(START + LEASE)
    assert fleet_purges.max_age(ROSE, "north", (), 0, START + LEASE + 1) == 0


def test_copies_of_a_cache_that_lacks_expired_purges_are_bounded_by_the_index_lifetime():
    """A cache was unreachable for longer than the index holds purges: its copies must be younger."""
    fleet_purges = new_fleet_purges()
    apply(fleet_purges, (START, ("care",)), (START, ("x",)))
    later = START + 70 * SECOND
    fleet_purges.lease.renew(later)
    fleet_purges.caches_caught_up = {"c1": 2, "c2": 1}
    assert fleet_purges.max_age(ROSE, "north", ("c1", "c1"), 0, later) == 0
    for held_by in (("c1", "c2"), ("c3", "c1")):
        assert fleet_purges.max_age(ROSE, "north", held_by, 0, later) == 60 * SECOND
    assert fleet_purges.max_age(ROSE, "north", ("c2", "c2"), 8 * SECOND, later) == 8 * SECOND


def test_a_snapshot_with_a_low_watermark_bounds_all_copies():
    """The purge log could no longer send every purge: every copy must be younger than the low watermark."""
    fleet_purges = new_fleet_purges()
    apply(
        fleet_purges,
        (START - SECOND, ("x",)),
        first_number=50,
        is_snapshot=True,
        low_watermark=START - 2 * SECOND,
    )
    assert fleet_purges.max_age(ROSE, "north", (), 0, START) == 2 * SECOND
    assert fleet_purges.index.expired_up_to == 49
    assert not fleet_purges.accepts(ROSE, "north", CachedCopy(0, 3 * SECOND, ()), START, 0)


def test_stored_purges_apply_after_a_restart():
    """A router restarts with its stored purges: they apply, and until it has a lease it counts as cut off."""
    fleet_purges = new_fleet_purges()
    apply(fleet_purges, (START, ("care",)), (START, ("x",)))
    restarted = FleetPurges(GRACE, 60 * SECOND, 1_000, 100)
    restarted.restore(fleet_purges.recent, 2, fleet_purges.recent_low_watermark, START + SECOND)
    assert restarted.index.expired_up_to == 0
    assert restarted.index.newest(ROSE, ("care",), "north") == START
    assert restarted.max_age(ROSE, "north", (), 0, START + SECOND) == LEASE
