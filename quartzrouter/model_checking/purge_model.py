"""A model of the purge protocol for the model checker: real registries, replicas and fleet purges.

The disk loses writes, lines are lost, doubled and swapped, connections are cut, and time passes. There is one
object with one copy, and routers that serve it; purge logs crash, stall and are taken over from. Time goes in
steps as long as a lease. The key that identifies a state is in purge_state_key.
"""

from collections.abc import Hashable, Iterable
from dataclasses import asdict, dataclass

from quartzrouter.model_checking.purge_state_key import StateKey
from quartzrouter.model_checking.purge_world import (
    GRACE,
    INDEX_LIFETIME,
    OBJECT,
    START,
    STEP,
    Connection,
    NoDelays,
    PurgeLogProcess,
    RouterProcess,
    World,
)
from quartzrouter.purges.fleet_purges import CachedCopy, FleetPurges
from quartzrouter.purges.freshness_lease import lease_length
from quartzrouter.purges.messages import (
    Heartbeat,
    MemberAck,
    PurgeBatch,
    PurgeRequest,
    RequestRejected,
    Welcome,
)
from quartzrouter.purges.purge_index import PurgeLookup
from quartzrouter.purges.registry import PurgeRegistry
from quartzrouter.purges.replica import ApplyPurges, EndConnection, PurgeReplica, SendMessage

LOOKUP = PurgeLookup("page", OBJECT, "", f"/{OBJECT}")
STORE = "north"
Action = tuple  # a name, and its arguments: indexes of routers and purge logs


@dataclass(frozen=True)
class Bounds:
    """How often each thing may happen.

    :param routers: how many there are.
    :param purges: of the object.
    :param steps: of time, each a lease long.
    :param crashes: of a purge log.
    :param takeovers: by another purge log, while one runs.
    :param cuts: connections that are cut.
    :param faults: lines that are lost, doubled or swapped.
    """

    routers: int = 1
    purges: int = 1
    steps: int = 6
    crashes: int = 0
    takeovers: int = 0
    cuts: int = 0
    faults: int = 0


class PurgeModel:
    """What can happen, and what must hold.

    Actions are named as their methods, without the leading underscore.

    :param bounds: of what happens.
    """

    def __init__(self, bounds: Bounds):
        self.bounds = bounds

    def start(self) -> World:
        """Returns the state in which every router is connected and holds a lease."""
        remaining = asdict(self.bounds)
        del remaining["routers"]
        world = World(START, [], [], remaining=remaining)
        self._open(world)
        world.now += lease_length(GRACE)  # no router holds an older lease
        for number in range(self.bounds.routers):
            fleet_purges = FleetPurges(GRACE, INDEX_LIFETIME, 100, 10)
            replica = PurgeReplica(
                f"r{number}", "router", "t", fleet_purges.lease, purge_lifetime=INDEX_LIFETIME
            )
            world.routers.append(RouterProcess(replica, fleet_purges))
            self._connect(world, number, 0)
            self._ack(world, number)
            self._check(world, number)
            if number in world.purge_logs[0].checked_echoes:
                self._beat(world, number)
            self._hear(world, number)
            world.routers[number].may_connect = True
            world.routers[number].connection.may_beat = True
        return world

    @staticmethod
    def _open(world: World) -> None:
        """A purge log starts: it takes the next epoch, and reads the purges on the disk."""
        registry = PurgeRegistry(world.newest_epoch + 1, GRACE, world.now)
        registry.delays = NoDelays()
        registry.recover(world.disk, 0, 0)
        world.purge_logs.append(PurgeLogProcess(registry))

    # -- possible actions ----------------------------------------------------------------------------------

    def actions(self, world: World) -> Iterable[Action]:
        """Yields all actions that are possible next."""
        if world.remaining["steps"]:
            yield ("time",)
        for number, purge_log in enumerate(world.purge_logs):
            if purge_log.is_alive:
                yield from self._purge_log_actions(world, number, purge_log.registry)
        if not any(purge_log.is_alive for purge_log in world.purge_logs):
            yield ("open",)
        elif world.remaining["takeovers"] and world.purge_logs[-1].is_alive:
            yield ("takeover",)
        for number, router in enumerate(world.routers):
            yield from self._router_actions(world, number, router)

    @staticmethod
    def _purge_log_actions(world: World, number: int, registry: PurgeRegistry) -> Iterable[Action]:
        is_newest = number == world.newest_epoch - 1
        if world.remaining["purges"] and is_newest:
            yield "purge", number
        if registry.last_admitted > registry.head:
            is_written = not is_newest or len(world.disk) >= registry.last_admitted
            yield ("promise", number) if is_written else ("write", number)
        if world.remaining["crashes"]:
            yield "crash", number, "keeps"
            if len(world.disk) > registry.head and is_newest:
                yield "crash", number, "loses"

    @staticmethod
    def _router_actions(world: World, number: int, router: RouterProcess) -> Iterable[Action]:
        connection = router.connection
        if connection is None:
            if router.may_connect:
                for other, purge_log in enumerate(world.purge_logs):
                    if purge_log.is_alive:
                        yield "connect", number, other
            return
        purge_log = world.purge_logs[connection.purge_log]
        if connection.to_router:
            yield "hear", number
        if connection.to_purge_log and purge_log.is_alive:
            yield "ack", number
        if purge_log.is_alive and number in purge_log.checked_echoes:
            yield "beat", number
        elif purge_log.is_alive and connection.may_beat and not connection.to_router:
            yield "check", number
        if world.remaining["cuts"]:
            yield "cut", number
        if world.remaining["faults"] and connection.to_router:
            yield "lose", number
            yield "double", number
            if len(connection.to_router) > 1:
                yield "swap", number

    def act(self, world: World, action: Action) -> None:
        """Carries out an action, in place."""
        name, *arguments = action
        getattr(self, f"_{name}")(world, *arguments)

    # -- the purge log -------------------------------------------------------------------------------------

    def _time(self, world: World) -> None:
        """A step of time passes."""
        world.remaining["steps"] -= 1
        world.now += STEP
        for purge_log in world.purge_logs:
            if purge_log.is_alive:
                purge_log.registry.update_completeness(world.now)
        for router in world.routers:
            router.may_connect = True
            if router.connection:
                router.connection.may_beat = True

    def _purge(self, world: World, purge_log: int) -> None:
        """A client sends a purge, which the purge log admits."""
        world.remaining["purges"] -= 1
        world.purge_logs[purge_log].registry.admit(PurgeRequest("object", (OBJECT,)), world.now)

    def _write(self, world: World, purge_log: int) -> None:
        """The admitted purges are written to the disk."""
        world.disk = list(world.purge_logs[purge_log].registry.purges)
        if not (self.bounds.crashes or self.bounds.takeovers):  # no other action can come in between
            self._promise(world, purge_log)

    def _promise(self, world: World, purge_log: int) -> None:
        """The write has returned: the purges are confirmed, or this purge log finds a newer one and ends."""
        registry = world.purge_logs[purge_log].registry
        if registry.epoch != world.newest_epoch:
            self._end(world, purge_log)
            return
        pending = registry.purges_after(registry.head, registry.last_admitted - registry.head)
        world.promised = [*world.promised, *pending]
        registry.mark_durable(registry.last_admitted, world.now)

    def _crash(self, world: World, purge_log: int, disk: str) -> None:
        """A purge log crashes; the disk keeps or loses what was not synced."""
        world.remaining["crashes"] -= 1
        if disk == "loses":
            world.disk = world.disk[: world.purge_logs[purge_log].registry.head]
        self._end(world, purge_log)

    @staticmethod
    def _end(world: World, purge_log: int) -> None:
        world.purge_logs[purge_log].is_alive = False
        for router in world.routers:
            if router.connection and router.connection.purge_log == purge_log:
                router.connection.to_purge_log = []  # messages to the router may still arrive

    def _takeover(self, world: World) -> None:
        """Another purge log starts while one is alive."""
        world.remaining["takeovers"] -= 1
        self._open(world)

    # -- connections ---------------------------------------------------------------------------------------

    def _connect(self, world: World, number: int, purge_log: int) -> None:
        """A router connects and sends its hello."""
        router = world.routers[number]
        registry = world.purge_logs[purge_log].registry
        member = registry.join(router.replica.start_connection(), world.now)
        world.purge_logs[purge_log].checked_echoes.pop(number, None)
        router.connection = Connection(purge_log, router.replica.applied_up_to)
        router.may_connect = False
        if isinstance(member, RequestRejected):
            router.connection.to_router.append(member)
            return
        welcome = Welcome(registry.epoch, registry.head, world.now, registry.lease_length)
        router.connection.to_router.append(welcome)
        self._hear(world, number)

    def _hear(self, world: World, number: int) -> None:
        """All messages in transit to a router arrive; until this action happens, they are delayed."""
        router = world.routers[number]
        while router.connection and router.connection.to_router:
            message, *router.connection.to_router = router.connection.to_router
            for effect in router.replica.receive(message, world.now):
                match effect:
                    case ApplyPurges():
                        router.fleet_purges.apply(effect, router.replica.applied_up_to, world.now)
                    case SendMessage(ack) if router.connection:
                        router.connection.to_purge_log = [ack]  # the last one implies those before it
                    case EndConnection():
                        router.connection = None
        clock_offsets = router.replica.clock_offsets
        if clock_offsets:
            least = min(clock_offsets)  # only the least one is ever read
            clock_offsets.clear()
            clock_offsets.append(least)

    def _ack(self, world: World, number: int) -> None:
        """A router's last acknowledgement arrives."""
        connection = world.routers[number].connection
        ack = connection.to_purge_log[-1]
        connection.to_purge_log = []
        registry = world.purge_logs[connection.purge_log].registry
        member = registry.members.by_name.get(f"r{number}")
        if isinstance(ack, MemberAck) and member:
            registry.acknowledge(member, ack.applied_up_to, ack.ack_id, ack.is_unreachable, world.now)

    def _check(self, world: World, number: int) -> None:
        """A heartbeat begins: its echo is read, and then whether a newer purge log has started."""
        connection = world.routers[number].connection
        connection.may_beat = False
        purge_log = world.purge_logs[connection.purge_log]
        member = purge_log.registry.members.by_name.get(f"r{number}")
        echo = purge_log.registry.ack_to_echo(member) if member else 0
        if purge_log.registry.epoch != world.newest_epoch:
            self._end(world, connection.purge_log)
            return
        purge_log.checked_echoes[number] = echo
        if not self.bounds.takeovers:
            self._beat(world, number)

    def _beat(self, world: World, number: int) -> None:
        """A checked heartbeat is sent, after the purges that the router lacks."""
        connection = world.routers[number].connection
        purge_log = world.purge_logs[connection.purge_log]
        registry = purge_log.registry
        echo = purge_log.checked_echoes.pop(number)
        batch = registry.purges_after(connection.sent_up_to, registry.head - connection.sent_up_to)
        if batch:
            connection.to_router.append(PurgeBatch(tuple(batch)))
            connection.sent_up_to = registry.head
        connection.to_router.append(Heartbeat(registry.epoch, registry.head, echo, world.now))

    def _cut(self, world: World, number: int) -> None:
        """A connection is cut."""
        world.remaining["cuts"] -= 1
        world.routers[number].connection = None

    def _lose(self, world: World, number: int) -> None:
        """A line to a router is lost."""
        world.remaining["faults"] -= 1
        world.routers[number].connection.to_router.pop(0)

    def _double(self, world: World, number: int) -> None:
        """A line to a router arrives twice."""
        world.remaining["faults"] -= 1
        lines = world.routers[number].connection.to_router
        lines.insert(0, lines[0])

    def _swap(self, world: World, number: int) -> None:
        """Two lines to a router change places."""
        world.remaining["faults"] -= 1
        lines = world.routers[number].connection.to_router
        lines[0], lines[1] = lines[1], lines[0]

    # -- what must hold ------------------------------------------------------------------------------------

    def key(self, world: World) -> Hashable:
        """Returns what identifies a state."""
        return StateKey(world).key()

    def violation(self, world: World) -> str:
        """Returns the property that doesn't hold; empty if all do."""
        on_disk = {purge.sequence_number: purge for purge in world.disk}
        for purge in world.promised:
            if on_disk.get(purge.sequence_number) != purge:
                return f"purge {purge.sequence_number} was promised and is lost"
        newest = world.purge_logs[-1]
        complete_up_to = newest.registry.complete_up_to
        for number, router in enumerate(world.routers):
            stale_copy = self._serves_stale_copy(world, number, router.fleet_purges)
            if stale_copy:
                return stale_copy
            lacks_complete = router.replica.applied_up_to < complete_up_to
            if newest.is_alive and lacks_complete and router.fleet_purges.lease.is_held(world.now):
                return f"purge {complete_up_to} is told complete, and router {number} serves without it"
        return ""

    @staticmethod
    def _serves_stale_copy(world: World, number: int, fleet_purges: FleetPurges) -> str:
        """Returns the violation if a request now gets the initial copy after a purge of it must hold."""
        now = world.now
        age = now - START
        max_age = fleet_purges.max_age(LOOKUP, STORE, (), 0, now)
        is_served = not max_age or age <= max_age
        if is_served:
            is_served = fleet_purges.accepts(LOOKUP, STORE, CachedCopy(0, age, ()), now, max_age)
        fleet_purges.object_tags.by_object.clear()  # undoes what the simulated request has recorded
        fleet_purges.stale_copies = 0
        for purge in world.promised:
            if is_served and purge.purged_at + GRACE <= now:
                return f"router {number} answers at {now} with a copy of {START}, purged at {purge.purged_at}"
        return ""


# Each case is small enough that all of its states can be explored.
CASES = {
    "a purge and a partition": Bounds(purges=1, steps=3, cuts=1),
    "a crash of the ledger": Bounds(purges=1, steps=3, crashes=1),
    "a ledger taken over from while it stalls": Bounds(purges=1, steps=3, takeovers=1),
    "lines lost, doubled and swapped": Bounds(purges=1, steps=3, faults=1),
    "two routers": Bounds(routers=2, purges=1, steps=3, cuts=1),
}
