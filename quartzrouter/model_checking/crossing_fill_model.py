"""A model of fills that cross a purge, for the model checker: real delivery queues and fleet purges.

There are two tiers, one object, and one purge of it; a cache fills from a parent, and the parent from the
origin. A copy is identified by when the origin made it, which is when the parent's fill began. A fill may
join another one, as in real caches, and ends at any time within the client timeout. Time goes in steps.
"""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from quartzrouter.purges.delivery_plan import Delivery, DeliveryQueue
from quartzrouter.purges.fleet_purges import CachedCopy, FleetPurges
from quartzrouter.purges.messages import Purge
from quartzrouter.purges.purge_index import PurgeLookup
from quartzrouter.purges.replica import ApplyPurges
from quartzrouter.purges.settle_time import settle_time

STEP_MICROSECONDS = 1_000_000
START = 100 * STEP_MICROSECONDS
GRACE = STEP_MICROSECONDS  # microseconds within which a purge must hold
CLIENT_TIMEOUT = 2 * STEP_MICROSECONDS  # microseconds that a fill may take
SETTLE_TIME = settle_time(GRACE, [CLIENT_TIMEOUT])
OBJECT = "rose"
LOOKUP = PurgeLookup("page", OBJECT, "", f"/{OBJECT}")
STORE = "north"
CACHE, PARENT = "c", "p"
DELIVERED_TO = (CACHE, PARENT)
Action = tuple  # a name, and its arguments


@dataclass(frozen=True)
class Bounds:
    """How often each thing may happen, and the guards that are in place.

    :param steps: of time.
    :param fills: that the cache begins.
    :param settle_time: microseconds between the two deliveries to the cache.
    :param waits_for_parents: the settle time counts from when the parent has purged as well.
    """

    steps: int = 9
    fills: int = 1
    settle_time: int = SETTLE_TIME
    waits_for_parents: bool = True


@dataclass
class Fill:
    """A fill in progress.

    :param began_at: microseconds.
    :param made_at: microseconds, when the copy that it brings was made; None while the parent's fill runs.
    :param is_purged: the copy that it brings must not be stored.
    """

    began_at: int
    made_at: int | None
    is_purged: bool = False


@dataclass
class CacheState:
    """A cache or a parent.

    :param copy_made_at: microseconds; None if it holds no copy.
    """

    copy_made_at: int | None = None
    fill: Fill | None = None


@dataclass
class World:
    """One state of the model.

    :param now: microseconds; all clocks agree.
    :param queues: the courier's delivery queue for each cache; the only ones that know each other.
    :param steps: of time that are left.
    :param fills: of the cache that are left.
    :param purged_at: microseconds; 0: not yet.
    :param knows_purge: the router has applied the purge.
    """

    now: int
    caches: dict[str, CacheState]
    queues: dict[str, DeliveryQueue]
    fleet_purges: FleetPurges
    steps: int
    fills: int
    purged_at: int = 0
    knows_purge: bool = False
    was_delivered: set[str] = field(default_factory=set)


class CrossingFillModel:
    """What can happen, and what must hold.

    Actions are named as their methods, without the leading underscore.
    """

    def __init__(self, bounds: Bounds):
        self.bounds = bounds

    def start(self) -> World:
        """Returns the initial state: empty caches, and a fill at the parent that another cache has caused."""
        parent_queue = DeliveryQueue(PARENT)
        parents = [parent_queue] if self.bounds.waits_for_parents else []
        cache_queue = DeliveryQueue(CACHE, settle_time=self.bounds.settle_time, parents=parents)
        for queue in (parent_queue, cache_queue):
            queue.record_purged_up_to(0, 0, START - STEP_MICROSECONDS)
            queue.record_head(0)
        caches = {CACHE: CacheState(), PARENT: CacheState(fill=Fill(START, START))}
        queues = {CACHE: cache_queue, PARENT: parent_queue}
        fleet_purges = FleetPurges(GRACE, max(self.bounds.settle_time, STEP_MICROSECONDS), 100, 10)
        return World(START, caches, queues, fleet_purges, self.bounds.steps, self.bounds.fills)

    # -- possible actions ----------------------------------------------------------------------------------

    def actions(self, world: World) -> Iterable[Action]:
        """Yields all actions that are possible next."""
        cache, parent = world.caches[CACHE], world.caches[PARENT]
        if not world.purged_at:
            yield ("purge",)
        if world.steps and not self._must_act(world):
            yield ("time",)
        if world.purged_at and not world.knows_purge:
            yield ("learn",)
        for name, queue in world.queues.items():
            if world.purged_at and self._may_deliver(world, queue):
                yield "deliver", name
        if parent.fill is not None:
            yield ("end_parent_fill",)
        if cache.fill is None and world.fills:
            yield ("fill_cache",)
            yield ("refresh",)
        elif cache.fill is not None and cache.fill.made_at is not None:
            yield ("end_cache_fill",)

    @staticmethod
    def _must_act(world: World) -> bool:
        """Returns True if something has to happen before time passes.

        A fill ends within the client timeout, the router learns of the purge within the grace, and the purge
        comes while the parent's first fill runs.
        """
        if not world.purged_at and world.now - START >= CLIENT_TIMEOUT:
            return True
        fills = [state.fill for state in world.caches.values() if state.fill]
        if any(world.now - fill.began_at >= CLIENT_TIMEOUT for fill in fills):
            return True
        return bool(world.purged_at) and not world.knows_purge and world.now >= world.purged_at + GRACE

    @staticmethod
    def _may_deliver(world: World, queue: DeliveryQueue) -> bool:
        is_due = any(checkpoint.due_at <= world.now for checkpoint in queue.settling.checkpoints)
        return bool(queue.pending or queue.settled or is_due)

    def act(self, world: World, action: Action) -> None:
        """Carries out an action, in place."""
        name, *arguments = action
        getattr(self, f"_{name}")(world, *arguments)
        for queue in world.queues.values():
            queue._settle(world.now)

    def _time(self, world: World) -> None:
        world.steps -= 1
        world.now += STEP_MICROSECONDS

    def _purge(self, world: World) -> None:
        """The purge is accepted, and is added to the delivery queues."""
        world.purged_at = world.now
        for queue in world.queues.values():
            queue.add([self._purge_of(world)], 0)
            queue.record_head(1)

    @staticmethod
    def _purge_of(world: World) -> Purge:
        return Purge(1, world.purged_at, "object", (OBJECT,))

    def _learn(self, world: World) -> None:
        """The router applies the purge."""
        world.knows_purge = True
        world.fleet_purges.apply(ApplyPurges((self._purge_of(world),), 0), 1, world.now)

    def _deliver(self, world: World, name: str) -> None:
        """A cache carries out all purges that are due for delivery to it."""
        queue = world.queues[name]
        for delivery in queue.next_deliveries(world.now):
            self._take(world, world.caches[name], delivery)
            queue.record_confirmation(delivery.purge.sequence_number)

    @staticmethod
    def _take(world: World, state: CacheState, delivery: Delivery) -> None:
        oldest_kept = world.now - delivery.age
        if state.copy_made_at is not None and state.copy_made_at <= oldest_kept:
            state.copy_made_at = None
        if state.fill and state.fill.began_at <= oldest_kept:
            state.fill.is_purged = True

    def _end_parent_fill(self, world: World) -> None:
        """The parent's fill ends; a cache whose fill joined it gets the copy."""
        cache, parent = world.caches[CACHE], world.caches[PARENT]
        assert parent.fill
        if not parent.fill.is_purged:
            parent.copy_made_at = parent.fill.made_at
        if cache.fill and cache.fill.made_at is None:
            cache.fill.made_at = parent.fill.made_at
        parent.fill = None

    def _fill_cache(self, world: World) -> None:
        """The cache begins a fill, for a request of the router."""
        self._begin_cache_fill(world, self._max_age(world))

    def _refresh(self, world: World) -> None:
        """The cache begins a fill without a bound on the copy's age, as for a refresh in the background."""
        self._begin_cache_fill(world, 0)

    def _begin_cache_fill(self, world: World, max_age: int) -> None:
        cache, parent = world.caches[CACHE], world.caches[PARENT]
        world.fills -= 1
        held = parent.copy_made_at
        if held is not None and not (max_age and held < world.now - max_age):
            cache.fill = Fill(world.now, held)
            return
        if parent.fill is None:
            parent.fill = Fill(world.now, world.now)
        cache.fill = Fill(world.now, None)

    def _end_cache_fill(self, world: World) -> None:
        """The cache's fill ends."""
        cache = world.caches[CACHE]
        assert cache.fill
        if not cache.fill.is_purged:
            cache.copy_made_at = cache.fill.made_at
        cache.fill = None

    # -- the router ----------------------------------------------------------------------------------------

    @staticmethod
    def _max_age(world: World) -> int:
        """Returns the age that the router, which holds a lease, allows a copy now."""
        fleet_purges = world.fleet_purges
        fleet_purges.lease.renew(world.now)
        fleet_purges.caches_caught_up = {name: queue.purged_up_to for name, queue in world.queues.items()}
        return fleet_purges.max_age(LOOKUP, STORE, DELIVERED_TO, 0, world.now)

    # -- what must hold ------------------------------------------------------------------------------------

    def key(self, world: World) -> Hashable:
        """Returns what identifies a state."""
        parties = []
        for name, state in world.caches.items():
            queue, fill = world.queues[name], state.fill
            parties.append(
                (
                    state.copy_made_at,
                    fill and (fill.began_at, fill.made_at, fill.is_purged),
                    (queue.delivered_up_to, queue.purged_up_to, len(queue.pending), len(queue.settled)),
                    tuple(queue.settling.checkpoints),
                )
            )
        return world.now, world.steps, world.fills, world.purged_at, world.knows_purge, tuple(parties)

    def violation(self, world: World) -> str:
        """Returns the property that doesn't hold; empty if all do."""
        made_at = world.caches[CACHE].copy_made_at
        if made_at is None or not world.knows_purge or world.now < world.purged_at + GRACE:
            return ""
        age = world.now - made_at
        max_age = self._max_age(world)
        is_served = not max_age or age <= max_age
        if is_served:
            copy = CachedCopy(0, age, ())
            is_served = world.fleet_purges.accepts(LOOKUP, STORE, copy, world.now, max_age)
        if is_served and made_at < world.purged_at:
            return f"a copy of {made_at} is served at {world.now}, purged at {world.purged_at}"
        return ""


CASES = {"a fill that crosses a purge": Bounds()}
