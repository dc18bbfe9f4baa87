"""A model of shared slots for the model checker: the real allocator and local quotas, between faulty parts.

Messages are lost, doubled and reordered, processes restart, allocators take over, and routers are stopped.

The budget has three slots: a guaranteed one at each of two routers, and one that is granted.  A request is in
flight for as long as it may be.  Time goes in steps of half a grant's time to live.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from quartzrouter.quota.allocator import QuotaAllocator, QuotaHolder
from quartzrouter.quota.budget import Budget
from quartzrouter.quota.local_quota import LocalQuota
from quartzrouter.quota.messages import QuotaGrant, QuotaRequest

BUDGET = Budget(
    "slots", slots=3, max_request_time=500_000, guaranteed_share=2 / 3, routers=2, grant_ttl=1_000_000
)
STEP_MICROSECONDS = BUDGET.grant_ttl // 2
START = 10 * BUDGET.grant_ttl  # guaranteed slots are open by then, and no allocator was there before
RUNNING = -1  # in place of the time at which a stopped router has read its clock
DIRECTIONS = ("to_allocator", "to_router")


@dataclass(frozen=True)
class Bounds:
    """How often each thing may happen in one history.

    :param steps: of time.
    :param demand_changes: a router without demand begins all requests that it may; one with demand has its
        requests end.
    :param quota_requests: requests for quota.
    :param delayed_requests: requests for quota that stay in transit.
    :param faults: messages lost, doubled or reordered.
    :param restarts: of routers.
    :param allocator_restarts: restarts of the allocator, which forgets everything.
    :param takeovers: by another allocator, while the first one goes on.
    :param stops: of a router, between its reading of the clock and its use of the reading.
    """

    steps: int = 4
    demand_changes: int = 2
    quota_requests: int = 3
    delayed_requests: int = 0
    faults: int = 0
    restarts: int = 0
    allocator_restarts: int = 0
    takeovers: int = 0
    stops: int = 0


class RequestInFlight(NamedTuple):
    """A request that holds a slot.

    :param router: index of the router.
    :param process_token: of the process that began it.
    :param began_at: microseconds.
    """

    router: int
    process_token: str
    began_at: int


@dataclass
class Router:
    """A router, and the messages between it and the allocator.

    :param quota: its part in the budget.
    :param to_allocator: messages in transit, the next to arrive first.
    :param to_router: likewise.
    :param has_asked: it has requested quota in this step of time.
    :param has_demand: it begins each request that it may.
    :param clock_reading: microseconds, read before it was stopped; ``RUNNING``: it isn't stopped.
    """

    quota: LocalQuota
    to_allocator: list[QuotaRequest] = field(default_factory=list)
    to_router: list[QuotaGrant] = field(default_factory=list)
    has_asked: bool = False
    has_demand: bool = False
    clock_reading: int = RUNNING

    def messages(self, direction: str) -> list:
        """Returns the messages in transit in one of ``DIRECTIONS``."""
        return self.to_allocator if direction == "to_allocator" else self.to_router


@dataclass
class World:
    """One state of the model.

    :param now: microseconds; all clocks agree.
    :param allocators: the last one is the current one; earlier ones go on, unaware of it.
    :param routers: of the fleet.
    :param requests: in flight, whatever became of the process that began them.
    :param left: of each of the bounds, by its name.
    """

    now: int
    allocators: list[QuotaAllocator]
    routers: list[Router]
    requests: list[RequestInFlight] = field(default_factory=list)
    left: dict[str, int] = field(default_factory=dict)


class QuotaModel:
    """What can happen, and what must hold.

    :param bounds: of what happens.
    :param checks_takeover: an allocator checks before each grant whether another one has begun.
    :param rereads_clock: a router reads its clock again when it goes on after a stop.
    """

    def __init__(self, bounds: Bounds, checks_takeover: bool = True, rereads_clock: bool = True):
        self.bounds = bounds
        self.checks_takeover = checks_takeover
        self.rereads_clock = rereads_clock

    def start(self) -> World:
        """Returns the state that all histories begin with."""
        routers = [Router(LocalQuota(BUDGET, f"r{index}", "t1", 0)) for index in range(2)]
        allocator = QuotaAllocator([BUDGET], 0, first_allocator=True)
        return World(START, [allocator], routers, left=dict(vars(self.bounds)))

    def actions(self, world: World) -> Iterable[tuple]:
        """Yields all actions that are possible next: the name of each, and its arguments."""
        if world.left["steps"]:
            yield ("time",)
        if world.left["allocator_restarts"]:
            yield ("fall",)
        if world.left["takeovers"]:
            yield ("takeover",)
        for index in range(len(world.routers)):
            yield from self._router_actions(world, index)

    def _router_actions(self, world: World, index: int) -> Iterable[tuple]:
        left = world.left
        router = world.routers[index]
        allocators = range(len(world.allocators))
        if left["restarts"]:
            yield "restart", index
        if router.to_allocator:
            yield from (("arrive", index, allocator) for allocator in allocators)
        if router.clock_reading != RUNNING:
            yield "wake", index
            return
        if left["demand_changes"]:
            yield "turn", index
        if left["quota_requests"] and not router.has_asked:
            yield from (("ask", index, allocator) for allocator in allocators)
            if left["delayed_requests"]:
                yield "send", index
        if left["stops"] and router.has_demand:
            yield "stop", index
        if router.to_router:
            yield "hear", index
        if left["faults"]:
            yield from self._message_faults(router, index)

    @staticmethod
    def _message_faults(router: Router, index: int) -> Iterable[tuple]:
        for direction in DIRECTIONS:
            messages = router.messages(direction)
            if messages:
                yield "lose", index, direction
                yield "double", index, direction
            if len(messages) > 1:
                yield "swap", index, direction

    def act(self, world: World, action: tuple) -> None:
        """Carries out an action, in place."""
        name, *arguments = action
        getattr(self, f"_{name}")(world, *arguments)

    def _time(self, world: World) -> None:
        """A step of time passes, and requests end that have reached the maximum request time."""
        world.left["steps"] -= 1
        world.now += STEP_MICROSECONDS
        over = [each for each in world.requests if world.now - each.began_at >= BUDGET.max_request_time]
        world.requests = [each for each in world.requests if each not in over]
        for request in over:
            quota = world.routers[request.router].quota
            if quota.process_token == request.process_token:
                quota.release()
        for index, router in enumerate(world.routers):
            router.has_asked = False
            self._begin(world, index, world.now)

    def _turn(self, world: World, index: int) -> None:
        """A router's demand begins, or ends with all its requests."""
        world.left["demand_changes"] -= 1
        router = world.routers[index]
        router.has_demand = not router.has_demand
        if router.has_demand:
            self._begin(world, index, world.now)
            return
        quota = router.quota
        for request in list(world.requests):
            if request.process_token == quota.process_token and request.router == index:
                world.requests.remove(request)
                quota.release()

    @staticmethod
    def _begin(world: World, index: int, clock_reading: int) -> None:
        """A router with demand begins all the requests that it may."""
        router = world.routers[index]
        is_active = router.has_demand and router.clock_reading == RUNNING
        while is_active and not router.quota.try_use(clock_reading):
            world.requests.append(RequestInFlight(index, router.quota.process_token, world.now))

    def _stop(self, world: World, index: int) -> None:
        world.left["stops"] -= 1
        world.routers[index].clock_reading = world.now

    def _wake(self, world: World, index: int) -> None:
        router = world.routers[index]
        clock_reading = world.now if self.rereads_clock else router.clock_reading
        router.clock_reading = RUNNING
        self._begin(world, index, clock_reading)

    def _ask(self, world: World, index: int, allocator: int) -> None:
        """A router requests quota; the request arrives at once if no other is in transit."""
        self._send(world, index)
        if len(world.routers[index].to_allocator) == 1:
            self._arrive(world, index, allocator)

    def _send(self, world: World, index: int) -> None:
        world.left["quota_requests"] -= 1
        world.left["delayed_requests"] -= bool(world.left["delayed_requests"])
        router = world.routers[index]
        router.has_asked = self.bounds.steps > 1
        router.to_allocator.append(router.quota.next_request(world.now))

    def _arrive(self, world: World, index: int, allocator: int) -> None:
        """An allocator reads a request; one that knows of its successor grants nothing."""
        router = world.routers[index]
        request = router.to_allocator.pop(0)
        has_successor = allocator < len(world.allocators) - 1
        if self.checks_takeover and has_successor:
            return
        answer = world.allocators[allocator].handle_request(request, world.now)
        if isinstance(answer, QuotaGrant):
            router.to_router.append(answer)

    def _hear(self, world: World, index: int) -> None:
        router = world.routers[index]
        router.quota.apply_grant(router.to_router.pop(0), world.now)
        self._begin(world, index, world.now)

    def _restart(self, world: World, index: int) -> None:
        """A router restarts: messages of the former process may still arrive, and its requests go on."""
        world.left["restarts"] -= 1
        router = world.routers[index]
        process_token = f"{router.quota.process_token}'"
        router.quota = LocalQuota(BUDGET, f"r{index}", process_token, world.now)
        router.clock_reading = RUNNING
        router.has_asked = False
        router.has_demand = False

    def _fall(self, world: World) -> None:
        world.left["allocator_restarts"] -= 1
        world.allocators[-1] = QuotaAllocator([BUDGET], world.now)

    def _takeover(self, world: World) -> None:
        world.left["takeovers"] -= 1
        world.allocators.append(QuotaAllocator([BUDGET], world.now))

    def _lose(self, world: World, index: int, direction: str) -> None:
        world.left["faults"] -= 1
        world.routers[index].messages(direction).pop(0)

    def _double(self, world: World, index: int, direction: str) -> None:
        world.left["faults"] -= 1
        messages = world.routers[index].messages(direction)
        messages.insert(0, messages[0])

    def _swap(self, world: World, index: int, direction: str) -> None:
        world.left["faults"] -= 1
        messages = world.routers[index].messages(direction)
        messages[0], messages[1] = messages[1], messages[0]

    def violation(self, world: World) -> str:
        """Returns the property that doesn't hold; empty if all do."""
        if len(world.requests) > BUDGET.slots:
            return f"{len(world.requests)} reqs in hand, and the fleet's budget is {BUDGET.slots}"
        return ""

    # -- what identifies a state ---------------------------------------------------------------------------

    def key(self, world: World) -> tuple:
        """Returns the same for two states from which the same can follow; times are relative to now."""
        return (
            tuple(world.left.values()),
            tuple(self._router_key(world, router) for router in world.routers),
            tuple(self._allocator_key(world, allocator) for allocator in world.allocators),
            tuple((each.router, each.process_token, world.now - each.began_at) for each in world.requests),
        )

    @staticmethod
    def _router_key(world: World, router: Router) -> tuple:
        quota = router.quota
        last = quota.last_sequence_number
        pending = tuple(
            (last - number, world.now - requested_at)
            for number, requested_at in quota.pending_requests.items()
        )
        slots_end_in = max(0, quota.granted_slots_expire_at - world.now) if quota.granted_slots else 0
        requests = tuple(
            (each.process_token, last - each.sequence_number, each.slots_kept, each.slots_wanted)
            for each in router.to_allocator
        )
        grants = tuple(
            (each.process_token, last - each.sequence_number, each.slots) for each in router.to_router
        )
        return (
            quota.process_token,
            pending,
            (quota.granted_slots, slots_end_in, quota.in_use, quota.peak_in_use),
            max(0, quota.guaranteed_slots_from - world.now),
            requests,
            grants,
            router.has_asked,
            router.has_demand,
            router.clock_reading,
        )

    def _allocator_key(self, world: World, allocator: QuotaAllocator) -> tuple:
        account = allocator.accounts[BUDGET.name]
        holders = tuple(
            (name, *self._holder_key(world, name, account.holders[name])) for name in sorted(account.holders)
        )
        return (max(0, account.slots_blocked_until - world.now), holders)

    @staticmethod
    def _holder_key(world: World, name: str, holder: QuotaHolder) -> tuple:
        quota = world.routers[int(name[1])].quota
        is_current = quota.process_token == holder.process_token
        requests_behind = quota.last_sequence_number - holder.sequence_number if is_current else 0
        slots_free_in = max(0, holder.slots_free_at - world.now)
        last_request_age = min(world.now - holder.last_request_at, 2 * BUDGET.grant_ttl)
        return (
            holder.process_token,
            requests_behind,
            last_request_age,
            holder.slots_wanted,
            holder.slots if slots_free_in else 0,
            slots_free_in,
        )


# Within these bounds, each guard that is removed leads to a violation.
# Few of the cases can be explored completely in a minute.
CASES = {
    "a share that ends, and is given to another": Bounds(steps=4, demand_changes=2, quota_requests=2),
    "words late, lost, doubled and swapped": Bounds(
        steps=0, demand_changes=2, quota_requests=3, delayed_requests=1, faults=1
    ),
    "a router that wants less, and more again": Bounds(steps=0, demand_changes=4, quota_requests=4),
    "a router restarted": Bounds(steps=1, demand_changes=3, quota_requests=3, restarts=1),
    "a granter that loses all it knew": Bounds(
        steps=4, demand_changes=2, quota_requests=2, allocator_restarts=1
    ),
    "a granter taken over from": Bounds(steps=4, demand_changes=2, quota_requests=2, takeovers=1),
    "a router stopped and awake again": Bounds(steps=4, demand_changes=2, quota_requests=2, stops=1),
}
