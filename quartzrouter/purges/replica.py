"""A member's copy of the order of purges: what the purge log has sent, in order and once.

It also keeps the member's freshness lease, see ``freshness_lease.py``.
"""

from collections import deque
from typing import NamedTuple

from quartzrouter.purges import messages
from quartzrouter.purges.freshness_lease import FreshnessLease
from quartzrouter.purges.messages import (
    CaughtUp,
    EjectionVerdicts,
    Heartbeat,
    MemberAck,
    MemberHello,
    MemberKind,
    Purge,
    PurgeBatch,
    QuotaGrants,
    RequestRejected,
    Snapshot,
    Welcome,
)

CLOCK_READINGS = 64  # heartbeats over which the nearest clock reading is taken; 2 s at a grace of 300 ms
MAX_UNECHOED_ACKS = 256  # sent and not echoed yet: an older one than a lease proves nothing
RECONNECT_AFTER = 100_000  # us until the next connection, where the purge log names no other time


class ApplyPurges(NamedTuple):
    """Effect: apply these purges.

    :param clock_offset: microseconds to add to the purge log's clock for this member's; rather too late
        than too early.
    :param low_watermark: microseconds of the purge log's clock; some purges accepted before it are missing.
    :param is_snapshot: they stand for every purge up to the replica's ``applied_up_to``.
    """

    purges: tuple[Purge, ...]
    clock_offset: int
    low_watermark: int = 0
    is_snapshot: bool = False


class SendMessage(NamedTuple):
    """Effect: send this to the purge log."""

    message: messages.ToPurgeLog


class EndConnection(NamedTuple):
    """Effect: close this connection.

    :param reconnect_after: microseconds until the next.
    """

    reason: str
    reconnect_after: int = RECONNECT_AFTER


Effect = ApplyPurges | SendMessage | EndConnection | CaughtUp | QuotaGrants | EjectionVerdicts


class PurgeReplica:
    """Turns messages of a purge log into effects, one connection after the other.

    :param token: of this process.
    :param lease: the freshness lease, renewed by echoes.
    :param applied_up_to: the sequence number up to which every purge is applied here.
    :param purge_lifetime: microseconds for which a purge matters here; 0 for ever.
    :param acks_on_receipt: whether purges count as applied once they are received; otherwise the owner calls
        acknowledge().
    """

    def __init__(
        self,
        name: str,
        kind: MemberKind,
        token: str,
        lease: FreshnessLease,
        applied_up_to: int = 0,
        purge_lifetime: int = 0,
        acks_on_receipt: bool = True,
    ):
        self.name = name
        self.kind = kind
        self.token = token
        self.lease = lease
        self.applied_up_to = applied_up_to
        self.purge_lifetime = purge_lifetime
        self.acks_on_receipt = acks_on_receipt
        self.epoch = 0  # the highest that was heard of
        self.clock_offsets: deque[int] = deque(maxlen=CLOCK_READINGS)
        self._reset_connection()

    def _reset_connection(self) -> None:
        self.is_welcomed = False
        self.grants_quota = False  # whether this purge log does
        self.aggregates_health = False  # whether this purge log does
        self.last_ack_id = 0
        self.unechoed_acks: dict[int, int] = {}  # us when each was sent, by its id
        self.partial_snapshot: list[Purge] = []

    def start_connection(self) -> MemberHello:
        """Starts a connection: nothing that came on the last one counts any more.

        :returns: the first message to send.
        """
        self._reset_connection()
        return MemberHello(
            self.name, self.kind, self.token, self.applied_up_to, self.epoch, self.purge_lifetime
        )

    @property
    def clock_offset(self) -> int:
        """Microseconds to add to the purge log's clock for this member's.

        A reading is too great by the time that its message took, so the least is the nearest; it is still
        not too small, so a purge counts as a little later than it was, which makes more copies stale.
        """
        return min(self.clock_offsets, default=0)

    def receive(self, message: messages.FromPurgeLog, now: int) -> list[Effect]:
        """Handles a message of the purge log.

        :param now: microseconds of this member's clock.
        :returns: what to do, in this order.
        """
        if isinstance(message, RequestRejected):
            reason = f"{message.place}: {message.reason}; {message.remedy}"
            return [EndConnection(reason, message.retry_after or RECONNECT_AFTER)]
        if not self.is_welcomed and not isinstance(message, Welcome):
            return [EndConnection(f"a {type(message).__name__} before a Welcome")]
        match message:
            case Welcome():
                return self._welcomed(message, now)
            case PurgeBatch():
                return self._received_batch(message, now)
            case Snapshot():
                return self._received_snapshot_page(message, now)
            case Heartbeat():
                return self._received_heartbeat(message, now)
            case CaughtUp() | QuotaGrants() | EjectionVerdicts():
                return [message]
        return [EndConnection(f"an unexpected {type(message).__name__}")]

    def acknowledge(
        self, applied_up_to: int, now: int, is_unreachable: bool = False, settled_up_to: int | None = None
    ) -> SendMessage:
        """Acknowledges every purge up to a sequence number.

        :param now: microseconds of this member's clock, from which a lease counts once it is echoed.
        :param settled_up_to: as in MemberAck.
        """
        self.last_ack_id += 1
        self.unechoed_acks[self.last_ack_id] = now
        if len(self.unechoed_acks) > MAX_UNECHOED_ACKS:
            del self.unechoed_acks[next(iter(self.unechoed_acks))]
        if settled_up_to == applied_up_to:
            settled_up_to = None
        return SendMessage(MemberAck(applied_up_to, self.last_ack_id, is_unreachable, settled_up_to))

    def _welcomed(self, welcome: Welcome, now: int) -> list[Effect]:
        if welcome.epoch < self.epoch:
            # Guards against a writer that was taken over from: it lacks the purges of the newer epoch.
            return [EndConnection(f"epoch {welcome.epoch} is over, {self.epoch} has begun")]
        if welcome.epoch > self.epoch:
            self.clock_offsets.clear()  # another process, perhaps with another clock
        self.epoch = welcome.epoch
        self.is_welcomed = True
        self.grants_quota = welcome.grants_quota
        self.aggregates_health = welcome.aggregates_health
        if welcome.lease_length:
            self.lease.length = min(self.lease.length, welcome.lease_length)
        self.clock_offsets.append(now - welcome.server_time)
        if welcome.head < self.applied_up_to:
            return [self._lost_by_purge_log(welcome.head)]
        return self._acks(now)

    def _lost_by_purge_log(self, head: int) -> EndConnection:
        """Guards against a purge log that was started with an older folder.

        It gives out numbers again under which other purges are applied here, so the new ones would be taken
        for received. So the lease ends, and the next connection asks for everything.
        """
        applied_up_to = self.applied_up_to
        self.applied_up_to = 0
        self.lease.revoke()
        return EndConnection(
            f"the ledger ends at {head} and lacks what was in force here up to {applied_up_to}"
        )

    def _received_batch(self, batch: PurgeBatch, now: int) -> list[Effect]:
        new_purges = tuple(purge for purge in batch.purges if purge.sequence_number > self.applied_up_to)
        for expected, purge in enumerate(new_purges, self.applied_up_to + 1):
            if purge.sequence_number != expected:
                return [EndConnection(f"purge {purge.sequence_number} came after {expected - 1}")]
        if not new_purges:
            return []
        self.applied_up_to = new_purges[-1].sequence_number
        return [ApplyPurges(new_purges, self.clock_offset), *self._acks(now)]

    def _received_snapshot_page(self, page: Snapshot, now: int) -> list[Effect]:
        if page.head < self.applied_up_to:
            return [EndConnection(f"a snapshot of {page.head} after {self.applied_up_to}")]
        self.partial_snapshot += page.purges
        if not page.is_last_page:
            return []
        purges = tuple(self.partial_snapshot)
        self.partial_snapshot = []
        self.applied_up_to = page.head
        apply = ApplyPurges(purges, self.clock_offset, page.low_watermark, is_snapshot=True)
        return [apply, *self._acks(now)]

    def _received_heartbeat(self, heartbeat: Heartbeat, now: int) -> list[Effect]:
        """Renews the lease from the sending of the echoed acknowledgement.

        Guards against lost and reordered lines: where the heartbeat's head is not what was received here,
        purges are missing, and a renewed lease would vouch for them.
        """
        if heartbeat.epoch != self.epoch:
            return [EndConnection(f"a heartbeat of epoch {heartbeat.epoch} in epoch {self.epoch}")]
        if heartbeat.head > self.applied_up_to:
            return [
                EndConnection(f"the head is {heartbeat.head}, and purges came up to {self.applied_up_to}")
            ]
        self.clock_offsets.append(now - heartbeat.server_time)
        ack_sent_at = self.unechoed_acks.get(heartbeat.echoed_ack)
        if ack_sent_at is not None:
            if heartbeat.head == self.applied_up_to:
                self.lease.renew(ack_sent_at)
            self.unechoed_acks = {
                ack_id: sent_at
                for ack_id, sent_at in self.unechoed_acks.items()
                if ack_id >= heartbeat.echoed_ack
            }
        return self._acks(now)

    def _acks(self, now: int) -> list[Effect]:
        return [self.acknowledge(self.applied_up_to, now)] if self.acks_on_receipt else []
