"""The ledger's decisions: numbers, keys, members and their leases, what is complete and what is promised."""

from collections import deque
from typing import NamedTuple

from quartzrouter.purges.freshness_lease import beat_every, lease
from quartzrouter.purges.messages import (
    NAME,
    PAGE,
    MemberHello,
    MemberKind,
    MembersReply,
    MemberStatus,
    Purge,
    PurgeRequest,
    PurgeStatus,
    RequestRejected,
    Snapshot,
    faulty,
    page,
)
from quartzrouter.purges.propagation_delays import PropagationDelays

RETAIN_FOR = 7 * 86_400_000_000  # us: a cache may be away for a week and still be told one by one
RETAIN_MOST = 200_000  # purges, 60 MB; further back a member gets a floor
KEYS_MOST = 100_000  # remembered; a client repeats within minutes
WAITING_MOST = 20_000  # purges not yet durable: a second of work
MEMBERS_MOST = 4_096  # names; those that left or vanished go first
PROMISE_OVER = 1.5  # times the 99th percentile of what was reached: a promise is to be kept
ACKS_MOST = 64  # of a member that may still be echoed: an older one is worth nothing
TAKES_MOST = 10_000  # purges whose delay is still told one by one


class AdmittedPurge(NamedTuple):
    purge: Purge
    again: bool  # it stands in the book under its key


class Member:
    def __init__(self, name: str, kind: MemberKind, token: str, now: int):
        self.name, self.kind, self.token = name, kind, token
        self.held = 0
        self.acks: deque[tuple[int, int]] = deque(maxlen=ACKS_MOST)  # their marks, and us when they came
        self.heard = now
        self.acked = self.away = self.gone = False

    def live(self, now: int, length: int) -> bool:
        """Whether purges wait for it.  Its own lease began before its last word came, so it ends before."""
        return self.acked and not self.away and not self.gone and now - self.heard <= length


class PurgeRegistry:
    """:param epoch: of this writer.
    :param grace: us within which a purge must hold at every router.
    :param now: us.
    """

    def __init__(
        self, epoch: int, grace: int, now: int, retain_for: int = RETAIN_FOR, retain_most: int = RETAIN_MOST
    ):
        self.epoch, self.grace, self.lease = epoch, grace, lease(grace)
        self.retain_for, self.retain_most = retain_for, retain_most
        self.purges: list[Purge] = []  # in their order; those at the end may not be durable
        self.before = 0  # the number of the last that is no longer kept
        self.floor = 0  # us, its time
        self.head = 0  # the last that is durable
        self.when = 0  # us, the newest time given
        self.keys: dict[str, int] = {}
        self.members: dict[str, Member] = {}
        self.complete = self.known = 0  # all up to it are; stood in the log at the start
        self.wait_until = now + self.lease  # until then, who heard the ledger before may hold a lease
        self.promised: dict[int, int] = {}  # us, by number, of those not complete
        self.took: dict[int, tuple[int, int]] = {}  # us and the promise, by number, of the last
        self.delays = PropagationDelays()
        self.missed = 0  # promises
        self.promise = self._promise()  # us, for a purge that is sent now

    def recover(self, purges: list[Purge], before: int, floor: int) -> None:
        """What the log holds; all of it is durable."""
        self.purges, self.before, self.floor = list(purges), before, floor
        self.head = self.last
        self.when = max([floor, *(purge.when for purge in purges[-1:])])
        for purge in purges:
            if purge.key:
                self._keep(purge.key, purge.number)
        self.complete, self.known = before, self.head  # older leases may still run: see tick()

    @property
    def last(self) -> int:
        return self.before + len(self.purges)

    # -- purges ------------------------------------------------------------------------------------------

    def admit(self, send: PurgeRequest, now: int) -> AdmittedPurge | RequestRejected:
        """Gives a purge its number and time; it counts once it is durable."""
        if wrong := faulty(send):
            return wrong
        if send.key and (number := self.keys.get(send.key, 0)) > self.before:
            known = self.purge(number)
            if (known.kind, known.values, known.vhost, known.store) == (
                send.kind,
                send.values,
                send.vhost,
                send.store,
            ):
                return AdmittedPurge(known, True)
            return RequestRejected(
                "key", f"{send.key!r} stands for purge {number}, {known.shown()}", "use another key"
            )
        if self.last - self.head >= WAITING_MOST:
            return RequestRejected(
                "ledger", f"{WAITING_MOST} purges wait for the disk", "send it again", 1_000_000
            )
        self.when = max(self.when + 1, now)
        purge = Purge(self.last + 1, self.when, send.kind, send.values, send.vhost, send.store, send.key)
        self.purges.append(purge)
        if purge.key:
            self._keep(purge.key, purge.number)
        self.promised[purge.number] = self.promise
        return AdmittedPurge(purge, False)

    def _keep(self, key: str, number: int) -> None:
        self.keys[key] = number
        if len(self.keys) > KEYS_MOST:
            del self.keys[next(iter(self.keys))]

    def purge(self, number: int) -> Purge:
        return self.purges[number - self.before - 1]

    def after(self, number: int, most: int) -> list[Purge]:
        """Those behind a number."""
        at = number - self.before
        return self.purges[at : at + most]

    def durable(self, number: int, now: int) -> None:
        """All up to the number are on the disk."""
        self.head = max(self.head, number)
        self.tick(now)

    def lost(self) -> list[Purge]:
        """Takes back what could not be made durable; nobody was told of it."""
        lost = self.after(self.head, len(self.purges))
        del self.purges[self.head - self.before :]
        for purge in lost:
            self.keys.pop(purge.key, None)
            self.promised.pop(purge.number, None)
        return lost

    def news(self, number: int) -> list[Purge]:
        """Those durable behind a number, as many as go into one line."""
        return page(self.after(number, min(PAGE, self.head - number)))

    def trim(self, now: int) -> None:
        """Lets go of what no member may ask for any more one by one: too many, too old, and complete."""
        aged = next(
            (at for at, purge in enumerate(self.purges) if now - purge.when <= self.retain_for),
            len(self.purges),
        )
        over = min(max(aged, len(self.purges) - self.retain_most), self.complete - self.before)
        if over > 0:
            self.floor, self.before = self.purges[over - 1].when, self.before + over
            del self.purges[:over]

    def too_far(self, held: int, life: int, now: int) -> bool:
        """Whether it gets a snapshot: some of what it lacks is no longer kept, or matters to it no more."""
        if held < self.before:
            return True
        return bool(life) and held < self.head and self.purge(held + 1).when < now - life

    def snapshot(self, life: int, now: int) -> list[Snapshot]:
        """What still matters to somebody who holds too little, in pages.

        :param life: us for which a purge matters to it; 0: for ever.
        """
        since = now - life if life else 0
        durable = self.purges[: self.head - self.before]
        told = [purge for purge in durable if purge.when >= since]
        floor = self.floor if self.floor >= since else 0
        pages = []
        while told or not pages:
            first = page(told)
            told = told[len(first) :]
            pages.append(Snapshot(self.head, floor, tuple(first), not told))
        return pages

    # -- members -----------------------------------------------------------------------------------------

    def hello(self, said: MemberHello, now: int) -> Member | RequestRejected:
        """Takes a member in, or back."""
        if not NAME.fullmatch(said.name) or not NAME.fullmatch(said.token):
            return RequestRejected(
                "name", f"{said.name!r:.60} is no name", "use letters, digits, '_', '-', ':' and '.'"
            )
        if said.epoch > self.epoch:
            return RequestRejected(
                "epoch",
                f"{said.name} has heard of epoch {said.epoch}, this ledger writes {self.epoch}",
                "ask the ledger that took over",
            )
        known = self.members.get(said.name)
        if known and known.token != said.token and not known.gone and now - known.heard <= self.lease:
            return RequestRejected(
                "name",
                f"another process is the member {said.name!r}",
                "give each its own name, or wait until the other's lease is over",
                self.lease,
            )
        if not known and len(self.members) >= MEMBERS_MOST and not self._forget(now):
            return RequestRejected("members", f"{MEMBERS_MOST} are there", "let some leave", self.lease)
        if not known or known.token != said.token:
            known = self.members[said.name] = Member(said.name, said.kind, said.token, now)
        known.kind, known.gone, known.heard = said.kind, False, now
        known.acks.clear()  # a new connection counts anew
        return known

    def _forget(self, now: int) -> bool:
        over = [name for name, member in self.members.items() if not member.live(now, self.lease)]
        if over:
            del self.members[min(over, key=lambda name: self.members[name].heard)]
        return bool(over)

    def ack(self, member: Member, held: int, mark: int, away: bool, now: int) -> None:
        member.heard, member.acked = now, True
        member.acks.append((mark, now))
        member.held, member.away = min(held, self.head), away
        self.tick(now)

    def echo(self, member: Member) -> int:
        """The mark of its newest ack that came before whatever is taken and not yet durable; 0: none.

        A purge holds from its time on, and what isn't durable isn't told: an echo may not vouch for it.
        """
        pending = self.purge(self.head + 1).when if self.last > self.head else None
        return next((mark for mark, at in reversed(member.acks) if pending is None or at < pending), 0)

    def leave(self, member: Member, now: int) -> None:
        member.gone = True
        self.tick(now)

    def tick(self, now: int) -> None:
        """Finds what has become complete."""
        if now <= self.wait_until or self.complete >= self.head:
            return
        low = min((member.held for member in self._live(now)), default=self.head)
        found = self.after(self.complete, max(0, low - self.complete))
        for purge in found:
            if purge.number <= self.known:
                continue  # how long it took is not known
            took, promise = max(1, now - purge.when), self.promised.pop(purge.number, 0)
            self.delays.add(took)
            self.missed += bool(promise and took > promise)
            self.took[purge.number] = (took, promise)
            if len(self.took) > TAKES_MOST:
                del self.took[next(iter(self.took))]
        self.complete = max(self.complete, low)
        if found:
            self.promise = self._promise()

    def _live(self, now: int) -> list[Member]:
        return [
            member
            for member in self.members.values()
            if member.kind != "watcher" and member.live(now, self.lease)
        ]

    def _promise(self) -> int:
        """us until a purge sent now is in force everywhere: one that vanishes is waited for a lease."""
        return max(self.lease + 2 * beat_every(self.grace), int(PROMISE_OVER * self.delays.at(99)))

    # -- told --------------------------------------------------------------------------------------------

    def caught(self, now: int) -> dict[str, int]:
        """Up to which number each cache that can be reached has purged."""
        return {member.name: member.held for member in self._live(now) if member.kind == "cache"}

    def status(self, number: int, now: int) -> PurgeStatus | RequestRejected:
        number = number or self.head
        if number and not self.before < number <= self.head:
            return RequestRejected(
                "number", f"there is no purge {number}", f"numbers go from {self.before + 1} to {self.head}"
            )
        purge = self.purge(number) if number else None
        took, promise = self.took.get(number, (0, self.promised.get(number, 0)))
        missing = sorted(member.name for member in self._live(now) if member.held < number)
        return PurgeStatus(
            number,
            purge.shown() if purge else "",
            purge.when if purge else 0,
            number <= self.complete,
            took,
            promise or self.promise,
            tuple(missing),
            self.head,
            self.told_delays(),
        )

    def told_delays(self) -> dict[str, int]:
        """us from the taking of a purge until it was complete, over all that were."""
        return {"purges": self.delays.count, "missed": self.missed} | self.delays.told()

    def told_members(self, now: int) -> MembersReply:
        lines = [
            MemberStatus(m.name, m.kind, m.held, m.live(now, self.lease), m.away, now - m.heard)
            for m in self.members.values()
            if not m.gone
        ]
        return MembersReply(self.epoch, self.head, tuple(sorted(lines, key=lambda line: line.name)))
