"""A member's replica of the purge log: it passes on each received purge once and in order.

It also renews the member's freshness lease, see ``freshness_lease.py``.
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

CLOCK_READINGS = 64  # heartbeats over which the smallest offset is used; 2 s at a grace of 300 ms
MAX_UNECHOED_ACKS = 256  # older ones are dropped: an echo of one older than a lease renews nothing
RECONNECT_AFTER = 100_000  # microseconds until the next connection, unless the purge log names another time


class ApplyPurges(NamedTuple):
    """Effect: apply these purges.

    :param clock_offset: microseconds to add to a time of the purge log's clock to get this member's; too
        large rather than too small, so that purges are dated late rather than early.
    :param low_watermark: microseconds of the purge log's clock; some purges accepted before it are missing.
    :param is_snapshot: True if the purges replace every purge up to the replica's ``applied_up_to``.
    """

    purges: tuple[Purge, ...]
    clock_offset: int
    low_watermark: int = 0
    is_snapshot: bool = False


class SendMessage(NamedTuple):
    """Effect: send a message to the purge log."""

    message: messages.ToPurgeLog


class EndConnection(NamedTuple):
    """Effect: close this connection.

    :param reconnect_after: microseconds until the next connection.
    """

    reason: str
    reconnect_after: int = RECONNECT_AFTER


Effect = ApplyPurges | SendMessage | EndConnection | CaughtUp | QuotaGrants | EjectionVerdicts


class PurgeReplica:
    """Turns messages of the purge log into effects, over one connection at a time.

    :param token: identifies this process.
    :param lease: the freshness lease, renewed by echoes of acknowledgements.
    :param applied_up_to: the sequence number up to which every purge is applied here.
    :param purge_lifetime: microseconds for which this member needs a purge; 0 for no limit.
    :param acks_on_receipt: True if purges count as applied once they are received; otherwise the owner calls
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
        self.epoch = 0  # the highest epoch in any Welcome
        self.clock_offsets: deque[int] = deque(maxlen=CLOCK_READINGS)
        self._reset_connection()

    def _reset_connection(self) -> None:
        self.is_welcomed = False
        self.grants_quota = False  # as in the Welcome
        self.aggregates_health = False  # as in the Welcome
        self.last_ack_id = 0
        self.unechoed_acks: dict[int, int] = {}  # sending times in microseconds, by id
        self.partial_snapshot: list[Purge] = []

    def start_connection(self) -> MemberHello:
        """Starts a connection and discards the state of the previous one.

        :returns: the first message to send.
        """
        self._reset_connection()
        return MemberHello(
            self.name, self.kind, self.token, self.applied_up_to, self.epoch, self.purge_lifetime
        )

    @property
    def clock_offset(self) -> int:
        """The microseconds to add to a time of the purge log's clock to get this member's.

        Each reading is too large by the transit time of its message, so the smallest is the most accurate. It
        is not too small either, so a purge is dated a little late, which makes more copies stale.
        """
        return min(self.clock_offsets, default=0)

    def receive(self, message: messages.FromPurgeLog, now: int) -> list[Effect]:
        """Handles a message of the purge log.

        :param now: microseconds of this member's clock.
        :returns: the effects, to be carried out in this order.
        """
        if isinstance(message, RequestRejected):
            reason = f"{message.place}: {message.reason}; {message.remedy}"
            return [EndConnection(reason, message.retry_after or RECONNECT_AFTER)]
        if not self.is_welcomed and not isinstance(message, Welcome):
            return [EndConnection(f"received {type(message).__name__} before Welcome")]
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
        return [EndConnection(f"received an unexpected {type(message).__name__}")]

    def acknowledge(
        self, applied_up_to: int, now: int, is_unreachable: bool = False, settled_up_to: int | None = None
    ) -> SendMessage:
        """Acknowledges every purge up to a sequence number.

        :param now: microseconds of this member's clock; the lease starts then if the id is echoed.
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
            # Guards against a writer that another has replaced: it lacks the purges of the newer epoch.
            return [EndConnection(f"epoch {welcome.epoch} is outdated, the current epoch is {self.epoch}")]
        if welcome.epoch > self.epoch:
            self.clock_offsets.clear()  # another process may have another clock
        self.epoch = welcome.epoch
        self.is_welcomed = True
        self.grants_quota = welcome.grants_quota
        self.aggregates_health = welcome.aggregates_health
        if welcome.lease_length:
            self.lease.length = min(self.lease.length, welcome.lease_length)
        self.clock_offsets.append(now - welcome.server_time)
        if welcome.head < self.applied_up_to:
            return [self._handle_lost_purges(welcome.head)]
        return self._acks(now)

    def _handle_lost_purges(self, head: int) -> EndConnection:
        """Revokes the lease and requests all purges again on the next connection.

        Guards against a purge log that was started with an older folder. It reassigns sequence numbers of
        purges that are applied here, so its new purges would be mistaken for ones already received.
        """
        applied_up_to = self.applied_up_to
        self.applied_up_to = 0
        self.lease.revoke()
        return EndConnection(
            f"the ledger ends at purge {head}, but purges up to {applied_up_to} are applied here"
        )

    def _received_batch(self, batch: PurgeBatch, now: int) -> list[Effect]:
        new_purges = tuple(purge for purge in batch.purges if purge.sequence_number > self.applied_up_to)
        for expected, purge in enumerate(new_purges, self.applied_up_to + 1):
            if purge.sequence_number != expected:
                return [EndConnection(f"received purge {purge.sequence_number} after {expected - 1}")]
        if not new_purges:
            return []
        self.applied_up_to = new_purges[-1].sequence_number
        return [ApplyPurges(new_purges, self.clock_offset), *self._acks(now)]

    def _received_snapshot_page(self, page: Snapshot, now: int) -> list[Effect]:
        if page.head < self.applied_up_to:
            return [
                EndConnection(f"received a snapshot up to purge {page.head} after purge {self.applied_up_to}")
            ]
        self.partial_snapshot += page.purges
        if not page.is_last_page:
            return []
        purges = tuple(self.partial_snapshot)
        self.partial_snapshot = []
        self.applied_up_to = page.head
        apply = ApplyPurges(purges, self.clock_offset, page.low_watermark, is_snapshot=True)
        return [apply, *self._acks(now)]

    def _received_heartbeat(self, heartbeat: Heartbeat, now: int) -> list[Effect]:
        """Renews the lease from the time at which the echoed acknowledgement was sent.

        Guards against lost and reordered lines: if the heartbeat's head is not the last purge received here,
        purges are missing, and a renewed lease would claim that they had been received.
        """
        if heartbeat.epoch != self.epoch:
            return [EndConnection(f"received a heartbeat of epoch {heartbeat.epoch} in epoch {self.epoch}")]
        if heartbeat.head > self.applied_up_to:
            return [
                EndConnection(f"the head is {heartbeat.head}, but purges came up to {self.applied_up_to}")
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
