"""The purge protocol as a model: the real book, followers and fleets; disk, lines and clock misbehave.

One object with one copy; routers that serve it; ledgers that crash, stall and are taken over from.  Time goes
in steps of a lease.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from quartzrouter.purges.fleet_purges import CachedCopy, FleetPurges
from quartzrouter.purges.freshness_lease import lease_length
from quartzrouter.purges.messages import (
    Heartbeat,
    MemberAck,
    Purge,
    PurgeBatch,
    PurgeRequest,
    RequestRejected,
    Welcome,
)
from quartzrouter.purges.purge_index import PurgeLookup
from quartzrouter.purges.registry import PurgeRegistry
from quartzrouter.purges.replica import ApplyPurges, EndConnection, PurgeReplica, SendMessage

GRACE = 80
STEP = lease_length(GRACE)
START = 1_000
LIFE = 1_000_000
ROSE = PurgeLookup("page", "rose", "", "/rose")


@dataclass(frozen=True)
class Bounds:
    """How often each thing may happen."""

    routers: int = 1
    purges: int = 1
    steps: int = 6
    crashes: int = 0
    takeovers: int = 0
    cuts: int = 0
    faults: int = 0  # lines lost, doubled or swapped


class Quiet:
    """A histogram that keeps nothing: what was reached decides nothing here."""

    count = 0

    def add(self, took: int) -> None: ...

    def percentile(self, percent: float) -> int:
        return 0


@dataclass
class Ledger:
    book: PurgeRegistry
    alive: bool = True
    prepared: dict[int, int] = field(default_factory=dict)  # by router: the echo of a beat that was checked


@dataclass
class Line:
    """A router's connection."""

    ledger: int
    sent: int
    calm: bool = True  # no beat in this step of time yet
    down: list = field(default_factory=list)  # on their way to the router
    up: list = field(default_factory=list)


@dataclass
class Router:
    follower: PurgeReplica
    fleet: FleetPurges
    line: Line | None = None
    calm: bool = True  # no connection in this step of time yet


@dataclass
class World:
    now: int
    ledgers: list[Ledger]
    routers: list[Router]
    disk: list[Purge] = field(default_factory=list)
    told: list[Purge] = field(default_factory=list)  # of which somebody heard that they are durable
    left: dict[str, int] = field(default_factory=dict)

    @property
    def epoch(self) -> int:
        return len(self.ledgers)


class PurgeModel:
    """:param bounds: of what happens."""

    def __init__(self, bounds: Bounds):
        self.bounds = bounds

    def start(self) -> World:
        left = {key: n for key, n in vars(self.bounds).items() if key != "routers"}
        world = World(START, [], [], left=left)
        self._open(world)
        world.now += lease_length(GRACE)  # nobody holds a lease from before
        for n in range(self.bounds.routers):
            fleet = FleetPurges(GRACE, LIFE, 100, 10)
            world.routers.append(
                Router(PurgeReplica(f"r{n}", "router", "t", fleet.lease, purge_lifetime=LIFE), fleet)
            )
            for act in (self._connect, self._ack, self._check, self._beat, self._hear):
                if not (act == self._beat and n not in world.ledgers[0].prepared):
                    act(world, *((n, 0) if act == self._connect else (n,)))
            world.routers[n].calm = world.routers[n].line.calm = True
        return world

    @staticmethod
    def _open(world: World) -> None:
        """A ledger begins: it takes the next epoch, and reads what is on the disk."""
        book = PurgeRegistry(world.epoch + 1, GRACE, world.now)
        book.delays = Quiet()
        book.recover(world.disk, 0, 0)
        world.ledgers.append(Ledger(book))

    # -- what can happen -----------------------------------------------------------------------------------

    def actions(self, world: World) -> Iterable[tuple]:
        left = world.left
        if left["steps"]:
            yield ("time",)
        for n, ledger in enumerate(world.ledgers):
            if not ledger.alive:
                continue
            book = ledger.book
            if left["purges"] and n == world.epoch - 1:
                yield "purge", n
            if book.last_admitted > book.head:
                written = n < world.epoch - 1 or len(world.disk) >= book.last_admitted
                yield ("promise", n) if written else ("write", n)
            if left["crashes"]:
                yield "crash", n, "keeps"
                if len(world.disk) > book.head and n == world.epoch - 1:
                    yield "crash", n, "loses"
        if not any(ledger.alive for ledger in world.ledgers):
            yield ("open",)
        elif left["takeovers"] and world.ledgers[-1].alive:
            yield ("takeover",)
        for n, router in enumerate(world.routers):
            yield from self._of_router(world, n, router)

    def _of_router(self, world: World, n: int, router: Router) -> Iterable[tuple]:
        line = router.line
        if line is None:
            if router.calm:
                yield from (("connect", n, at) for at, ledger in enumerate(world.ledgers) if ledger.alive)
            return
        ledger = world.ledgers[line.ledger]
        if line.down:
            yield "hear", n
        if line.up and ledger.alive:
            yield "ack", n
        if ledger.alive and n in ledger.prepared:
            yield "beat", n
        elif ledger.alive and line.calm and not line.down:
            yield "check", n
        if world.left["cuts"]:
            yield "cut", n
        if world.left["faults"]:
            yield from (("lose", n), ("double", n)) if line.down else ()
            yield from (("swap", n),) if len(line.down) > 1 else ()

    def act(self, world: World, action: tuple) -> None:
        name, *rest = action
        getattr(self, f"_{name}")(world, *rest)

    def _time(self, world: World) -> None:
        world.left["steps"] -= 1
        world.now += STEP
        for ledger in world.ledgers:
            if ledger.alive:
                ledger.book.update_completeness(world.now)
        for router in world.routers:
            router.calm = True
            if router.line:
                router.line.calm = True

    def _purge(self, world: World, at: int) -> None:
        world.left["purges"] -= 1
        world.ledgers[at].book.admit(PurgeRequest("object", ("rose",)), world.now)

    def _write(self, world: World, at: int) -> None:
        world.disk = [*world.ledgers[at].book.purges]
        if not (self.bounds.crashes or self.bounds.takeovers):  # nothing can come between
            self._promise(world, at)

    def _promise(self, world: World, at: int) -> None:
        """Its bytes are durable; who finds that another has begun promises nothing, and ends."""
        book = world.ledgers[at].book
        if book.epoch != world.epoch:
            self._end(world, at)
            return
        world.told = [*world.told, *book.purges_after(book.head, 9)]
        book.mark_durable(book.last_admitted, world.now)

    def _crash(self, world: World, at: int, what: str) -> None:
        world.left["crashes"] -= 1
        if what == "loses":
            world.disk = world.disk[: world.ledgers[at].book.head]
        self._end(world, at)

    @staticmethod
    def _end(world: World, at: int) -> None:
        world.ledgers[at].alive = False
        for router in world.routers:
            if router.line and router.line.ledger == at:
                router.line.up = []  # what it has said may still arrive

    def _takeover(self, world: World) -> None:
        world.left["takeovers"] -= 1
        self._open(world)

    def _connect(self, world: World, n: int, at: int) -> None:
        router, book = world.routers[n], world.ledgers[at].book
        member = book.join(router.follower.start_connection(), world.now)
        world.ledgers[at].prepared.pop(n, None)
        router.line, router.calm = Line(at, router.follower.applied_up_to), False
        if isinstance(member, RequestRejected):
            router.line.down.append(member)
            return
        router.line.down.append(Welcome(book.epoch, book.head, world.now, book.lease_length))
        self._hear(world, n)

    def _hear(self, world: World, n: int) -> None:
        """All that has been said arrives; what is late is what has not arrived yet."""
        router = world.routers[n]
        while router.line and router.line.down:
            said, router.line.down = router.line.down[0], router.line.down[1:]
            for given in router.follower.receive(said, world.now):
                match given:
                    case ApplyPurges():
                        router.fleet.apply(given, router.follower.applied_up_to, world.now)
                    case SendMessage(words) if router.line:
                        router.line.up = [words]  # the last says all that those before it say
                    case EndConnection():
                        router.line = None
        if offsets := router.follower.clock_offsets:
            least = min(offsets)  # all that is read of them
            offsets.clear()
            offsets.append(least)

    def _ack(self, world: World, n: int) -> None:
        line = world.routers[n].line
        said, line.up = line.up[-1], []
        book = world.ledgers[line.ledger].book
        if isinstance(said, MemberAck) and (member := book.members.by_name.get(f"r{n}")):
            book.acknowledge(member, said.applied_up_to, said.ack_id, said.is_unreachable, world.now)

    def _check(self, world: World, n: int) -> None:
        """A beat begins: what it echoes is taken, then whether another ledger has begun is looked at."""
        world.routers[n].line.calm = False
        at = world.routers[n].line.ledger
        ledger = world.ledgers[at]
        member = ledger.book.members.by_name.get(f"r{n}")
        echo = ledger.book.ack_to_echo(member) if member else 0
        if ledger.book.epoch != world.epoch:
            self._end(world, at)
            return
        ledger.prepared[n] = echo
        if not self.bounds.takeovers:
            self._beat(world, n)

    def _beat(self, world: World, n: int) -> None:
        line = world.routers[n].line
        ledger = world.ledgers[line.ledger]
        book, echo = ledger.book, ledger.prepared.pop(n)
        if news := book.purges_after(line.sent, book.head - line.sent):
            line.down.append(PurgeBatch(tuple(news)))
            line.sent = book.head
        line.down.append(Heartbeat(book.epoch, book.head, echo, world.now))

    def _cut(self, world: World, n: int) -> None:
        world.left["cuts"] -= 1
        world.routers[n].line = None

    def _lose(self, world: World, n: int) -> None:
        world.left["faults"] -= 1
        world.routers[n].line.down.pop(0)

    def _double(self, world: World, n: int) -> None:
        world.left["faults"] -= 1
        down = world.routers[n].line.down
        down.insert(0, down[0])

    def _swap(self, world: World, n: int) -> None:
        world.left["faults"] -= 1
        down = world.routers[n].line.down
        down[0], down[1] = down[1], down[0]

    def key(self, world: World) -> tuple:
        return Seen(world).key()

    # -- what must hold ------------------------------------------------------------------------------------

    def broken(self, world: World) -> str:
        kept = {purge.sequence_number: purge for purge in world.disk}
        for purge in world.told:
            if kept.get(purge.sequence_number) != purge:
                return f"purge {purge.sequence_number} was promised and is lost"
        for n, router in enumerate(world.routers):
            if wrong := self._answers(world, n, router.fleet):
                return wrong
            ledger = world.ledgers[-1]
            behind = router.follower.applied_up_to < ledger.book.complete_up_to
            if ledger.alive and behind and router.fleet.lease.is_held(world.now):
                return (
                    f"purge {ledger.book.complete_up_to} is told complete, and router {n} serves without it"
                )
        return ""

    @staticmethod
    def _answers(world: World, n: int, fleet: FleetPurges) -> str:
        """Whether a req now would get the copy that was there at the start, after a purge of it must hold."""
        age, now = world.now - START, world.now
        bound = fleet.max_age(ROSE, "north", (), 0, now)
        taken = (not bound or age <= bound) and fleet.accepts(
            ROSE, "north", CachedCopy(0, age, ()), now, bound
        )
        fleet.object_tags.by_object.clear()  # it was but a question
        fleet.stale_copies = 0
        for purge in world.told:
            if taken and purge.purged_at + GRACE <= now:
                return f"router {n} answers at {now} with a copy of {START}, purged at {purge.purged_at}"
        return ""


# -- what tells states apart -------------------------------------------------------------------------------


class Seen:
    """Times as ages, no longer than any can matter; marks of acks by their order."""

    def __init__(self, world: World):
        self.world = world

    def age(self, when: int | None, most: int = GRACE) -> int:
        return most + 1 if when is None else min(self.world.now - when, most + 1)

    def lease(self, when: int | None) -> int:
        return self.age(when, lease_length(GRACE))

    def purges(self, purges) -> tuple:
        return tuple((purge.sequence_number, self.age(purge.purged_at)) for purge in purges)

    def ledger(self, at: int, ledger: Ledger) -> tuple:
        if not ledger.alive:
            return (False,)
        book = ledger.book
        members = []
        for n, router in enumerate(self.world.routers):
            if member := book.members.by_name.get(f"r{n}"):
                known = router.follower.unechoed_acks if router.line and router.line.ledger == at else {}
                acks = tuple((known[mark], self.age(when)) for mark, when in member.acks if mark in known)
                live = (self.lease(member.last_heard_at), member.has_acknowledged, member.has_left)
                members.append((n, member.applied_up_to, live, acks))
        prepared = tuple(sorted((n, self.echo(n, mark)) for n, mark in ledger.prepared.items()))
        whens = (self.age(book.last_purged_at), max(0, book.older_leases_end - self.world.now))
        return (book.head, book.complete_up_to, whens, self.purges(book.purges), tuple(members), prepared)

    def echo(self, n: int, mark: int) -> int:
        """What a mark is worth: the age of the ack that it stands for."""
        return self.lease(self.world.routers[n].follower.unechoed_acks.get(mark))

    def router(self, n: int, router: Router) -> tuple:
        follower, fleet, line = router.follower, router.fleet, router.line
        marks = tuple((purge.sequence_number, self.age(when)) for when, purge in fleet.recent)
        heard = (
            follower.applied_up_to,
            follower.epoch,
            follower.is_welcomed,
            follower.clock_offset if follower.clock_offsets else None,
        )
        told = (
            self.lease(fleet.lease.started_at),
            marks,
            fleet.low_watermark,
            fleet.index.expired_up_to,
            router.calm,
        )
        return (heard, told, self.line(n, line) if line else None)

    def line(self, n: int, line: Line) -> tuple:
        down = tuple(
            ("beat", said.epoch, said.head, self.echo(n, said.echoed_ack), self.world.now - said.server_time)
            if isinstance(said, Heartbeat)
            else (type(said).__name__, *(self.purges(said.purges) if isinstance(said, PurgeBatch) else ()))
            for said in line.down
        )
        up = tuple((said.applied_up_to, self.echo(n, said.ack_id)) for said in line.up)
        return (line.ledger, line.sent, line.calm, down, up)

    def key(self) -> tuple:
        world = self.world
        return (
            tuple(world.left.values()),
            tuple(self.ledger(at, each) for at, each in enumerate(world.ledgers)),
            tuple(self.router(n, each) for n, each in enumerate(world.routers)),
            self.purges(world.disk),
            self.purges(world.told),
            min(world.now - START, GRACE + 1 + world.left["steps"] * STEP),
        )


# what is played: each bound by itself small enough to be seen whole
PLAYED = {
    "a purge and a partition": Bounds(purges=1, steps=3, cuts=1),
    "a crash of the ledger": Bounds(purges=1, steps=3, crashes=1),
    "a ledger taken over from while it stalls": Bounds(purges=1, steps=3, takeovers=1),
    "lines lost, doubled and swapped": Bounds(purges=1, steps=3, faults=1),
    "two routers": Bounds(routers=2, purges=1, steps=3, cuts=1),
}
