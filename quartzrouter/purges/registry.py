"""The state of the purge log: the order of purges, idempotency keys, retention, completeness and promises."""

from typing import NamedTuple

from quartzrouter.purges.freshness_lease import heartbeat_interval, lease_length
from quartzrouter.purges.members import Member, MemberDirectory
from quartzrouter.purges.messages import (
    MAX_PURGES_PER_LINE,
    MemberHello,
    MembersReply,
    Purge,
    PurgeRequest,
    PurgeStatus,
    RequestRejected,
    Snapshot,
    first_page,
)
from quartzrouter.purges.propagation_delays import PropagationDelays
from quartzrouter.purges.validation import validate_request

RETENTION = 7 * 86_400_000_000  # microseconds: a cache may be away for a week and still get each purge
MAX_RETAINED = 200_000  # purges, 60 MB; a member that lacks older ones gets a snapshot
MAX_KEYS = 100_000  # idempotency keys; a client repeats a request within minutes
MAX_PENDING = 20_000  # purges that are not yet durable: one second of work for the disk
RETRY_AFTER_FULL = 1_000_000  # microseconds until a client may retry if MAX_PENDING is reached
PROMISE_FACTOR = 1.5  # margin over the measured PROMISED_PERCENTILE, so that promises are kept
PROMISED_PERCENTILE = 99
HEARTBEATS_IN_PROMISE = 2  # added to a lease: one that carries the purge, and one that may be late
MAX_COMPLETIONS = 10_000  # of the latest purges, whose own delays are still reported


class AdmittedPurge(NamedTuple):
    """A purge that was admitted.

    :param is_duplicate: True if it had been admitted before under its idempotency key.
    """

    purge: Purge
    is_duplicate: bool


class Completion(NamedTuple):
    """How long a purge took to complete.

    :param delay: microseconds from its acceptance until the last live member had applied it.
    :param promised_within: microseconds, as promised when it was accepted.
    """

    delay: int
    promised_within: int


class PurgeRegistry:
    """The order of all purges, and the progress of each. All times are microseconds of the wall clock.

    :param epoch: the epoch of this writer of the purge log.
    :param grace: microseconds within which a purge must take effect at every router.
    :param retention: microseconds for which a purge is kept and can be sent individually.
    :param max_retained: the maximum number of such purges.
    """

    def __init__(
        self,
        epoch: int,
        grace: int,
        now: int,
        retention: int = RETENTION,
        max_retained: int = MAX_RETAINED,
    ):
        self.epoch = epoch
        self.grace = grace
        self.lease_length = lease_length(grace)
        self.retention = retention
        self.max_retained = max_retained
        self.members = MemberDirectory(epoch, self.lease_length)
        self.purges: list[Purge] = []  # by sequence number; those after the head are not durable yet
        self.trimmed_up_to = 0  # the sequence number of the last purge that is no longer retained
        self.low_watermark = 0  # time of that purge: only later purges are retained
        self.head = 0  # the sequence number of the last durable purge
        self.last_purged_at = 0
        self.sequence_by_key: dict[str, int] = {}
        self.complete_up_to = 0
        self.recovered_up_to = 0  # purges up to this one were in the log when the process started
        self.older_leases_end = now + self.lease_length  # of leases that an earlier process renewed
        self.promises: dict[int, int] = {}  # microseconds by sequence number, for incomplete purges
        self.completions: dict[int, Completion] = {}  # of the latest purges, by sequence number
        self.delays = PropagationDelays()
        self.missed_promises = 0
        self.current_promise = self._compute_promise()  # microseconds, for a purge that is accepted now

    def recover(self, purges: list[Purge], trimmed_up_to: int, low_watermark: int) -> None:
        """Restores the state from the purges in the log, all of which are durable.

        :param trimmed_up_to: the sequence number of the last purge that is no longer retained.
        :param low_watermark: the time of that purge in microseconds.
        """
        self.purges = list(purges)
        self.trimmed_up_to = trimmed_up_to
        self.low_watermark = low_watermark
        self.head = self.last_admitted
        self.last_purged_at = purges[-1].purged_at if purges else low_watermark
        self.last_purged_at = max(self.last_purged_at, low_watermark)
        for purge in purges:
            self._remember_key(purge)
        self.complete_up_to = trimmed_up_to
        self.recovered_up_to = self.head

    @property
    def last_admitted(self) -> int:
        """The sequence number of the last purge, durable or not."""
        return self.trimmed_up_to + len(self.purges)

    # -- the order of purges -------------------------------------------------------------------------------

    def admit(self, request: PurgeRequest, now: int) -> AdmittedPurge | RequestRejected:
        """Assigns a sequence number and a time to a purge, which counts as accepted once it is durable.

        Times increase strictly even if the clock is set back: members bound the age of copies by them.
        """
        rejection = validate_request(request)
        if rejection:
            return rejection
        if request.key and self.sequence_by_key.get(request.key, 0) > self.trimmed_up_to:
            return self._admit_repeated(request)
        if self.last_admitted - self.head >= MAX_PENDING:
            return RequestRejected(
                "ledger", f"{MAX_PENDING} purges wait for the disk", "send it again later", RETRY_AFTER_FULL
            )
        self.last_purged_at = max(self.last_purged_at + 1, now)
        purge = Purge(
            self.last_admitted + 1,
            self.last_purged_at,
            request.kind,
            request.values,
            request.vhost,
            request.store,
            request.key,
        )
        self.purges.append(purge)
        self._remember_key(purge)
        self.promises[purge.sequence_number] = self.current_promise
        return AdmittedPurge(purge, is_duplicate=False)

    def _admit_repeated(self, request: PurgeRequest) -> AdmittedPurge | RequestRejected:
        """Returns the purge that was admitted under the same key, or a rejection if its content differs."""
        known = self.purge(self.sequence_by_key[request.key])
        known_content = (known.kind, known.values, known.vhost, known.store)
        if known_content == (request.kind, request.values, request.vhost, request.store):
            return AdmittedPurge(known, is_duplicate=True)
        reason = f"key {request.key!r} was used for purge {known.sequence_number}, {known.description()}"
        return RequestRejected("key", reason, "use another key")

    def _remember_key(self, purge: Purge) -> None:
        if not purge.key:
            return
        self.sequence_by_key[purge.key] = purge.sequence_number
        if len(self.sequence_by_key) > MAX_KEYS:
            del self.sequence_by_key[next(iter(self.sequence_by_key))]

    def purge(self, sequence_number: int) -> Purge:
        """Returns one purge that is retained."""
        return self.purges[sequence_number - self.trimmed_up_to - 1]

    def purges_after(self, sequence_number: int, limit: int) -> list[Purge]:
        """Returns the first purges after a sequence number, durable or not."""
        start = sequence_number - self.trimmed_up_to
        return self.purges[start : start + limit]

    def next_batch(self, sequence_number: int) -> list[Purge]:
        """Returns the durable purges after a sequence number, as many as fit into one line."""
        limit = min(MAX_PURGES_PER_LINE, self.head - sequence_number)
        return list(first_page(self.purges_after(sequence_number, limit)))

    def mark_durable(self, sequence_number: int, now: int) -> None:
        """Records that every purge up to a sequence number is on the disk."""
        self.head = max(self.head, sequence_number)
        self.update_completeness(now)

    def discard_pending(self) -> list[Purge]:
        """Removes and returns the purges that could not be made durable; none of them was acknowledged."""
        pending = self.purges_after(self.head, len(self.purges))
        del self.purges[self.head - self.trimmed_up_to :]
        for purge in pending:
            self.sequence_by_key.pop(purge.key, None)
            self.promises.pop(purge.sequence_number, None)
        return pending

    # -- retention -----------------------------------------------------------------------------------------

    def trim(self, now: int) -> None:
        """Removes the oldest complete purges if there are too many or they are too old."""
        expired = 0
        while expired < len(self.purges) and now - self.purges[expired].purged_at > self.retention:
            expired += 1
        excess = len(self.purges) - self.max_retained
        complete = self.complete_up_to - self.trimmed_up_to
        dropped = min(max(expired, excess), complete)
        if dropped > 0:
            self.low_watermark = self.purges[dropped - 1].purged_at
            self.trimmed_up_to += dropped
            del self.purges[:dropped]

    def needs_snapshot(self, applied_up_to: int, purge_lifetime: int, now: int) -> bool:
        """Returns True if a member gets a snapshot in place of every purge that it lacks.

        That is so if some of these purges are no longer retained, or are older than the member's lifetime.

        :param purge_lifetime: microseconds for which the member needs a purge; 0 for no limit.
        """
        if applied_up_to < self.trimmed_up_to:
            return True
        if not purge_lifetime or applied_up_to >= self.head:
            return False
        return self.purge(applied_up_to + 1).purged_at < now - purge_lifetime

    def snapshot_pages(self, purge_lifetime: int, now: int) -> list[Snapshot]:
        """Returns the durable purges that a member still needs, in one or more pages.

        :param purge_lifetime: microseconds for which the member needs a purge; 0 for no limit.
        """
        since = now - purge_lifetime if purge_lifetime else 0
        durable = self.purges[: self.head - self.trimmed_up_to]
        remaining = [purge for purge in durable if purge.purged_at >= since]
        low_watermark = self.low_watermark if self.low_watermark >= since else 0
        pages: list[Snapshot] = []
        while remaining or not pages:
            page = first_page(remaining)
            remaining = remaining[len(page) :]
            pages.append(Snapshot(self.head, low_watermark, tuple(page), is_last_page=not remaining))
        return pages

    # -- members -------------------------------------------------------------------------------------------

    def join(self, hello: MemberHello, now: int) -> Member | RequestRejected:
        """Adds a member, or records that it has reconnected."""
        return self.members.join(hello, now)

    def acknowledge(
        self,
        member: Member,
        applied_up_to: int,
        ack_id: int,
        is_unreachable: bool,
        now: int,
        settled_up_to: int | None = None,
    ) -> None:
        """Records an acknowledgement.

        :param settled_up_to: as in MemberAck.
        """
        member.last_heard_at = now
        member.has_acknowledged = True
        member.record_ack(ack_id, now)
        member.applied_up_to = min(applied_up_to, self.head)
        member.settled_up_to = member.applied_up_to
        if settled_up_to is not None:
            member.settled_up_to = min(settled_up_to, member.applied_up_to)
        member.is_unreachable = is_unreachable
        self.update_completeness(now)

    def leave(self, member: Member, now: int) -> None:
        """Records that a member has left, so that purges no longer wait for it."""
        member.has_left = True
        self.update_completeness(now)

    def ack_to_echo(self, member: Member) -> int:
        """Returns the id of the member's newest acknowledgement that a heartbeat may echo; 0 for none.

        An echo assures a member that it has received every purge that was accepted before the
        acknowledgement was sent. A purge takes effect from the time that admit() assigned to it, and is not
        sent before it is durable. So an acknowledgement that was received after that time of a pending
        purge is not echoed: otherwise the member would hold a valid lease and serve copies that this purge
        makes stale.
        """
        has_pending = self.last_admitted > self.head
        pending_since = self.purge(self.head + 1).purged_at if has_pending else None
        for ack in reversed(member.acks):
            if pending_since is None or ack.received_at < pending_since:
                return ack.ack_id
        return 0

    # -- completeness --------------------------------------------------------------------------------------

    def update_completeness(self, now: int) -> None:
        """Records the purges that have become complete, that is, applied by every live member.

        Guards against leases that an earlier process renewed: for one lease length after the start, members
        that are not connected yet may hold such leases and serve copies that a purge makes stale. So no purge
        becomes complete before those leases have expired.
        """
        if now <= self.older_leases_end or self.complete_up_to >= self.head:
            return
        live_members = self.members.live(now)
        applied_by_all = min((member.applied_up_to for member in live_members), default=self.head)
        completed = self.purges_after(self.complete_up_to, max(0, applied_by_all - self.complete_up_to))
        for purge in completed:
            if purge.sequence_number > self.recovered_up_to:  # the delays of recovered purges are not known
                self._record_completion(purge, now)
        self.complete_up_to = max(self.complete_up_to, applied_by_all)
        if completed:
            self.current_promise = self._compute_promise()

    def _record_completion(self, purge: Purge, now: int) -> None:
        delay = max(1, now - purge.purged_at)
        promised_within = self.promises.pop(purge.sequence_number, 0)
        self.delays.add(delay)
        if promised_within and delay > promised_within:
            self.missed_promises += 1
        self.completions[purge.sequence_number] = Completion(delay, promised_within)
        if len(self.completions) > MAX_COMPLETIONS:
            del self.completions[next(iter(self.completions))]

    def _compute_promise(self) -> int:
        """Returns the microseconds within which a purge accepted now is expected to be complete.

        If a member fails, the purge waits until the member's lease has expired.
        """
        delay_with_failed_member = self.lease_length + HEARTBEATS_IN_PROMISE * heartbeat_interval(self.grace)
        measured_delay = int(PROMISE_FACTOR * self.delays.percentile(PROMISED_PERCENTILE))
        return max(delay_with_failed_member, measured_delay)

    # -- queries -------------------------------------------------------------------------------------------

    def caches_caught_up(self, now: int) -> dict[str, int]:
        """Returns the sequence number up to which each reachable cache's purges have settled, by its name."""
        return {
            member.name: member.settled_up_to for member in self.members.live(now) if member.kind == "cache"
        }

    def status(self, sequence_number: int, now: int) -> PurgeStatus | RequestRejected:
        """Returns the progress of a purge, or a rejection if it is not retained.

        :param sequence_number: 0 for the last durable purge.
        """
        sequence_number = sequence_number or self.head
        if sequence_number and not self.trimmed_up_to < sequence_number <= self.head:
            return RequestRejected(
                "number",
                f"purge {sequence_number} is not among the retained purges",
                f"use a number from {self.trimmed_up_to + 1} to {self.head}",
            )
        purge = self.purge(sequence_number) if sequence_number else None
        not_completed = Completion(0, self.promises.get(sequence_number, 0))
        completion = self.completions.get(sequence_number, not_completed)
        waiting_for = sorted(
            member.name for member in self.members.live(now) if member.applied_up_to < sequence_number
        )
        return PurgeStatus(
            sequence_number,
            purge.description() if purge else "",
            purge.purged_at if purge else 0,
            sequence_number <= self.complete_up_to,
            completion.delay,
            completion.promised_within or self.current_promise,
            tuple(waiting_for),
            self.head,
            self.delay_summary(),
        )

    def delay_summary(self) -> dict[str, int]:
        """Returns delays in microseconds by percentile, and the numbers of purges and missed promises."""
        counts = {"purges": self.delays.count, "missed": self.missed_promises}
        return counts | self.delays.summary()

    def members_reply(self, now: int) -> MembersReply:
        """Returns all members and the sequence number up to which each has applied purges."""
        return MembersReply(self.epoch, self.head, self.members.statuses(now))
