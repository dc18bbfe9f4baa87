"""The purge log's decisions: the order of purges, idempotency keys, retention, completeness and promises."""

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

RETENTION = 7 * 86_400_000_000  # us: a cache may be away for a week and still receive each purge
MAX_RETAINED = 200_000  # purges, 60 MB; a member that lacks older ones gets a snapshot
MAX_KEYS = 100_000  # idempotency keys remembered; a client repeats a request within minutes
MAX_PENDING = 20_000  # purges not yet durable: a second of work for the disk
RETRY_AFTER_FULL = 1_000_000  # us, where too many are pending
PROMISE_FACTOR = 1.5  # times the 99th percentile of what was reached: a promise is to be kept
PROMISED_PERCENTILE = 99
HEARTBEATS_IN_PROMISE = 2  # beside a lease: one to carry the purge, one that may be late
MAX_COMPLETIONS = 10_000  # purges whose own delay is still told


class AdmittedPurge(NamedTuple):
    """A purge that was admitted.

    :param is_duplicate: it was admitted before, under its idempotency key.
    """

    purge: Purge
    is_duplicate: bool


class Completion(NamedTuple):
    """What became of a purge.

    :param delay: microseconds from its acceptance until the last live member had applied it.
    :param promised_within: microseconds.
    """

    delay: int
    promised_within: int


class PurgeRegistry:
    """The order of all purges and what has become of each. All times are microseconds of the wall clock.

    :param epoch: of this writer of the purge log.
    :param grace: microseconds within which a purge must hold at every router.
    :param retention: microseconds for which a purge is sent one by one.
    :param max_retained: purges that are sent one by one.
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
        self.purges: list[Purge] = []  # in their order; those behind the head are not durable yet
        self.trimmed_up_to = 0  # the sequence number of the last purge that is no longer retained
        self.low_watermark = 0  # its time: some purges accepted before it are no longer retained
        self.head = 0  # the sequence number of the last durable purge
        self.last_purged_at = 0
        self.sequence_by_key: dict[str, int] = {}
        self.complete_up_to = 0
        self.recovered_up_to = 0  # purges that stood in the log at the start
        self.older_leases_end = now + self.lease_length  # leases that an earlier process has renewed
        self.promises: dict[int, int] = {}  # us by sequence number, of purges that are not complete
        self.completions: dict[int, Completion] = {}  # by sequence number, of the last purges
        self.delays = PropagationDelays()
        self.missed_promises = 0
        self.current_promise = self._compute_promise()  # us, for a purge that is accepted now

    def recover(self, purges: list[Purge], trimmed_up_to: int, low_watermark: int) -> None:
        """Starts from what the log holds; all of it is durable."""
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
        """Gives a purge its sequence number and time; it counts once it is durable.

        Times only grow, also where the clock is set back: a member bounds the age of copies by them.
        """
        rejection = validate_request(request)
        if rejection:
            return rejection
        if request.key and self.sequence_by_key.get(request.key, 0) > self.trimmed_up_to:
            return self._repeated(request)
        if self.last_admitted - self.head >= MAX_PENDING:
            return RequestRejected(
                "ledger", f"{MAX_PENDING} purges wait for the disk", "send it again", RETRY_AFTER_FULL
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

    def _repeated(self, request: PurgeRequest) -> AdmittedPurge | RequestRejected:
        """The purge that was admitted under a key, where it is the same."""
        known = self.purge(self.sequence_by_key[request.key])
        known_content = (known.kind, known.values, known.vhost, known.store)
        if known_content == (request.kind, request.values, request.vhost, request.store):
            return AdmittedPurge(known, is_duplicate=True)
        reason = f"{request.key!r} stands for purge {known.sequence_number}, {known.description()}"
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
        """Returns the first purges behind a sequence number, durable or not."""
        start = sequence_number - self.trimmed_up_to
        return self.purges[start : start + limit]

    def next_batch(self, sequence_number: int) -> list[Purge]:
        """Returns the durable purges behind a sequence number, as many as go into one line."""
        limit = min(MAX_PURGES_PER_LINE, self.head - sequence_number)
        return list(first_page(self.purges_after(sequence_number, limit)))

    def mark_durable(self, sequence_number: int, now: int) -> None:
        """Records that every purge up to a sequence number is on the disk."""
        self.head = max(self.head, sequence_number)
        self.update_completeness(now)

    def discard_pending(self) -> list[Purge]:
        """Removes the purges that could not be made durable; nobody was told of them."""
        pending = self.purges_after(self.head, len(self.purges))
        del self.purges[self.head - self.trimmed_up_to :]
        for purge in pending:
            self.sequence_by_key.pop(purge.key, None)
            self.promises.pop(purge.sequence_number, None)
        return pending

    # -- retention -----------------------------------------------------------------------------------------

    def trim(self, now: int) -> None:
        """Removes the oldest purges that are too many or too old, as far as they are complete."""
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
        """Tells whether a member gets a snapshot in place of every purge that it lacks.

        :param purge_lifetime: microseconds for which a purge matters to it; 0 for ever.
        :returns: True where some of what it lacks is no longer retained, or matters to it no more.
        """
        if applied_up_to < self.trimmed_up_to:
            return True
        if not purge_lifetime or applied_up_to >= self.head:
            return False
        return self.purge(applied_up_to + 1).purged_at < now - purge_lifetime

    def snapshot_pages(self, purge_lifetime: int, now: int) -> list[Snapshot]:
        """Returns the durable purges that still matter to a member, in pages, at least one.

        :param purge_lifetime: microseconds for which a purge matters to it; 0 for ever.
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
        """Adds a member, or records that it is back on a new connection."""
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
        """Records that a member has stopped on purpose."""
        member.has_left = True
        self.update_completeness(now)

    def ack_to_echo(self, member: Member) -> int:
        """Returns the id of the member's newest acknowledgement that a heartbeat may echo; 0 for none.

        An echo lets a member rely on having received every purge that was accepted before the
        acknowledgement was sent. A purge holds from its acceptance on, and is not sent before it is
        durable. So an acknowledgement that came after a purge which is still pending is not echoed:
        otherwise a member would serve copies that this purge makes stale, under a lease that holds.
        """
        has_pending = self.last_admitted > self.head
        pending_since = self.purge(self.head + 1).purged_at if has_pending else None
        for ack in reversed(member.acks):
            if pending_since is None or ack.received_at < pending_since:
                return ack.ack_id
        return 0

    # -- completeness --------------------------------------------------------------------------------------

    def update_completeness(self, now: int) -> None:
        """Finds the purges that have become complete: every live member has applied them.

        Guards against what an earlier process had promised: for one lease after the start, members that
        are not connected yet may still hold leases of that process and serve what a purge makes stale. So
        nothing is complete before those leases are over.
        """
        if now <= self.older_leases_end or self.complete_up_to >= self.head:
            return
        live_members = self.members.live(now)
        applied_by_all = min((member.applied_up_to for member in live_members), default=self.head)
        completed = self.purges_after(self.complete_up_to, max(0, applied_by_all - self.complete_up_to))
        for purge in completed:
            if purge.sequence_number > self.recovered_up_to:  # the delay of the others is not known
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
        """Microseconds until a purge accepted now is complete; a member that vanishes costs a lease."""
        for_a_vanished_member = self.lease_length + HEARTBEATS_IN_PROMISE * heartbeat_interval(self.grace)
        by_experience = int(PROMISE_FACTOR * self.delays.percentile(PROMISED_PERCENTILE))
        return max(for_a_vanished_member, by_experience)

    # -- queries -------------------------------------------------------------------------------------------

    def caches_caught_up(self, now: int) -> dict[str, int]:
        """Returns the sequence number up to which each reachable cache has purged for good, by its name."""
        return {
            member.name: member.settled_up_to for member in self.members.live(now) if member.kind == "cache"
        }

    def status(self, sequence_number: int, now: int) -> PurgeStatus | RequestRejected:
        """Returns how far a purge has come.

        :param sequence_number: 0 for the last durable purge.
        """
        sequence_number = sequence_number or self.head
        if sequence_number and not self.trimmed_up_to < sequence_number <= self.head:
            return RequestRejected(
                "number",
                f"there is no purge {sequence_number}",
                f"numbers go from {self.trimmed_up_to + 1} to {self.head}",
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
        """Returns delays in microseconds by percentile, the count of purges, and that of missed promises."""
        counts = {"purges": self.delays.count, "missed": self.missed_promises}
        return counts | self.delays.summary()

    def members_reply(self, now: int) -> MembersReply:
        """Returns all members and what each has applied."""
        return MembersReply(self.epoch, self.head, self.members.statuses(now))
