"""A member's side of the ledger's words: what has been heard, in order and once, and what that is worth."""

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
    QuotaGrants,
    RequestRejected,
    Snapshot,
    Welcome,
)

OFFSETS = 64  # beats over which the nearest clock reading is taken; 2 s at a grace of 300 ms
MARKS_MOST = 256  # acks that wait for their echo: more than a lease's worth tell nothing
COME_BACK = 100_000  # us until a connection is made anew, where nobody names another time


class ApplyPurges(NamedTuple):
    """Put these in force.

    :param offset: us to add to the ledger's clock for this member's; late rather than early.
    :param floor: us on the ledger's clock; of what was purged before it, some is not told.
    :param whole: they stand for all up to the number held.
    """

    purges: tuple[Purge, ...]
    offset: int
    floor: int = 0
    whole: bool = False


class SendMessage(NamedTuple):
    said: messages.ToPurgeLog


class EndConnection(NamedTuple):
    """Close this connection.

    :param come_back: us until the next.
    """

    reason: str
    come_back: int = COME_BACK


Effect = ApplyPurges | SendMessage | EndConnection | CaughtUp | QuotaGrants | EjectionVerdicts


class PurgeReplica:
    """Reads what a ledger says, one connection after the other.

    :param token: of this process.
    :param held: the number of the last purge that is in force here.
    :param life: us for which a purge matters to it; 0: for ever.
    :param acks: whether what was heard is acknowledged at once; else by ack().
    """

    def __init__(
        self,
        name: str,
        kind: MemberKind,
        token: str,
        lease: FreshnessLease,
        held: int = 0,
        life: int = 0,
        acks: bool = True,
    ):
        self.name, self.kind, self.token, self.life, self.acks = name, kind, token, life, acks
        self.lease, self.held, self.epoch = lease, held, 0
        self.offsets: deque[int] = deque(maxlen=OFFSETS)
        self.begin(0)

    def begin(self, now: int) -> MemberHello:
        """A new connection: nothing said on the last one counts any more."""
        self.welcomed = self.grants = self.judges = False  # whether this ledger grants shares, judges caches
        self.mark = 0
        self.sent: dict[int, int] = {}  # us when each ack was sent, by mark
        self.pages: list[Purge] = []
        return MemberHello(self.name, self.kind, self.token, self.held, self.epoch, self.life)

    @property
    def offset(self) -> int:
        """us to add to the ledger's clock.  Words take time to come: the least reading is the nearest."""
        return min(self.offsets, default=0)

    def take(self, said: messages.FromPurgeLog, now: int) -> list[Effect]:
        if isinstance(said, RequestRejected):
            return [EndConnection(f"{said.place}: {said.reason}; {said.remedy}", said.come_back or COME_BACK)]
        if not self.welcomed and not isinstance(said, Welcome):
            return [EndConnection(f"a {type(said).__name__} before any welcome")]
        match said:
            case Welcome():
                return self._welcome(said, now)
            case messages.PurgeBatch(purges):
                return self._purges(purges, now)
            case Snapshot():
                return self._snapshot(said, now)
            case Heartbeat():
                return self._beat(said, now)
            case CaughtUp() | QuotaGrants() | EjectionVerdicts():
                return [said]
        return [EndConnection(f"a {type(said).__name__} that nobody asked for")]

    def ack(self, held: int, now: int, away: bool = False) -> SendMessage:
        """Acknowledges all up to a number."""
        self.mark += 1
        self.sent[self.mark] = now
        if len(self.sent) > MARKS_MOST:
            del self.sent[next(iter(self.sent))]
        return SendMessage(MemberAck(held, self.mark, away))

    def _welcome(self, said: Welcome, now: int) -> list[Effect]:
        if said.epoch < self.epoch:
            return [EndConnection(f"epoch {said.epoch} is over, {self.epoch} has begun")]
        if said.epoch > self.epoch:
            self.offsets.clear()  # another process, perhaps another clock
        self.epoch, self.welcomed = said.epoch, True
        self.grants, self.judges = said.grants, said.judges
        self.lease.length = min(self.lease.length, said.lease) if said.lease else self.lease.length
        self.offsets.append(now - said.now)
        if said.head < self.held:
            held, self.held = self.held, 0
            self.lease.drop()
            return [
                EndConnection(f"the ledger ends at {said.head} and lacks what was in force here up to {held}")
            ]
        return self._acked(now)

    def _purges(self, purges: tuple[Purge, ...], now: int) -> list[Effect]:
        fresh = [purge for purge in purges if purge.number > self.held]
        for at, purge in enumerate(fresh, self.held + 1):
            if purge.number != at:
                return [EndConnection(f"purge {purge.number} came after {at - 1}")]
        if not fresh:
            return []
        self.held = fresh[-1].number
        return [ApplyPurges(tuple(fresh), self.offset), *self._acked(now)]

    def _snapshot(self, said: Snapshot, now: int) -> list[Effect]:
        if said.head < self.held:
            return [EndConnection(f"a snapshot of {said.head} after {self.held}")]
        self.pages += said.purges
        if not said.last:
            return []
        purges, self.pages, self.held = tuple(self.pages), [], said.head
        return [ApplyPurges(purges, self.offset, said.floor, True), *self._acked(now)]

    def _beat(self, said: Heartbeat, now: int) -> list[Effect]:
        if said.epoch != self.epoch:
            return [EndConnection(f"a beat of epoch {said.epoch} in {self.epoch}")]
        if said.head > self.held:
            return [EndConnection(f"the head is {said.head} and {self.held} was the last to come")]
        self.offsets.append(now - said.now)
        sent = self.sent.get(said.echo)
        if sent is not None:
            if said.head == self.held:
                self.lease.renew(sent)
            self.sent = {mark: at for mark, at in self.sent.items() if mark >= said.echo}
        return self._acked(now)

    def _acked(self, now: int) -> list[Effect]:
        return [self.ack(self.held, now)] if self.acks else []
