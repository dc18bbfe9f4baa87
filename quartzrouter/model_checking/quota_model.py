"""Shares of a fleet's slots as a model: the real granter and shares; lines, processes and wakes misbehave.

A budget of three slots: a floor of one at each of two routers, and one that is granted.  A req is in hand for
as long as it may be.  Time goes in steps of half a share's life.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from quartzrouter.quota.allocator import QuotaAllocator, QuotaHolder
from quartzrouter.quota.budget import Budget, QuotaGrant, QuotaRequest
from quartzrouter.quota.local_quota import LocalQuota

BUDGET = Budget("slots", slots=3, hold=500_000, floors=2 / 3, routers=2, life=1_000_000)
STEP = BUDGET.life // 2
START = 10 * BUDGET.life  # by then the floors are open, and no granter was there before


@dataclass(frozen=True)
class Bounds:
    """How often each thing may happen."""

    steps: int = 4
    turns: int = 2  # a router that rests has as many reqs as it may begin; one that has them rests: they end
    asks: int = 3
    late: int = 0  # asks that stay on their way
    faults: int = 0  # words lost, doubled or swapped
    restarts: int = 0  # of routers
    falls: int = 0  # of the granter, with all it knew
    takeovers: int = 0  # by another granter, while the first goes on
    stops: int = 0  # of a router between its look at the clock and its act


class Req(NamedTuple):
    router: int
    token: str
    began: int


@dataclass
class Router:
    share: LocalQuota
    up: list[QuotaRequest] = field(default_factory=list)  # on their way to the granter
    down: list[QuotaGrant] = field(default_factory=list)
    asked: bool = False  # in this step of time
    busy: bool = False
    looked: int = -1  # what the clock said when it was stopped; -1: it runs


@dataclass
class World:
    now: int
    granters: list[QuotaAllocator]
    routers: list[Router]
    reqs: list[Req] = field(default_factory=list)
    left: dict[str, int] = field(default_factory=dict)


class SharingModel:
    """:param bounds: of what happens.
    :param looks: a granter looks whether another has begun before each grant.
    :param clock: a router reads the clock again when it wakes.
    """

    def __init__(self, bounds: Bounds, looks: bool = True, clock: bool = True):
        self.bounds, self.looks, self.clock = bounds, looks, clock

    def start(self) -> World:
        routers = [Router(LocalQuota(BUDGET, f"r{n}", "t1", 0)) for n in range(2)]
        return World(START, [QuotaAllocator([BUDGET], 0, alone=True)], routers, left=dict(vars(self.bounds)))

    def actions(self, world: World) -> Iterable[tuple]:
        left = world.left
        if left["steps"]:
            yield ("time",)
        if left["falls"]:
            yield ("fall",)
        if left["takeovers"]:
            yield ("takeover",)
        for n, router in enumerate(world.routers):
            if left["restarts"]:
                yield "restart", n
            granters = range(len(world.granters))
            yield from (("arrive", n, at) for at in granters if router.up)
            if router.looked >= 0:
                yield "wake", n
                continue
            if left["turns"]:
                yield "turn", n
            if left["asks"] and not router.asked:
                yield from (("ask", n, at) for at in granters)
                if left["late"]:
                    yield "send", n
            if left["stops"] and router.busy:
                yield "stop", n
            if router.down:
                yield "hear", n
            if left["faults"]:
                for way in ("up", "down"):
                    words = getattr(router, way)
                    yield from (("lose", n, way), ("double", n, way)) if words else ()
                    yield from (("swap", n, way),) if len(words) > 1 else ()

    def act(self, world: World, action: tuple) -> None:
        name, *rest = action
        getattr(self, f"_{name}")(world, *rest)

    def _time(self, world: World) -> None:
        world.left["steps"] -= 1
        world.now += STEP
        over = [req for req in world.reqs if world.now - req.began >= BUDGET.hold]
        world.reqs = [req for req in world.reqs if world.now - req.began < BUDGET.hold]
        for req in over:
            if world.routers[req.router].share.token == req.token:
                world.routers[req.router].share.ended()
        for n, router in enumerate(world.routers):
            router.asked = False
            self._begin(world, n, world.now)

    def _turn(self, world: World, n: int) -> None:
        world.left["turns"] -= 1
        router = world.routers[n]
        router.busy = not router.busy
        if router.busy:
            self._begin(world, n, world.now)
            return
        share = router.share
        for req in [req for req in world.reqs if req.token == share.token and req.router == n]:
            world.reqs.remove(req)
            share.ended()

    @staticmethod
    def _begin(world: World, n: int, looked: int) -> None:
        """A busy router begins all the reqs that it may."""
        router = world.routers[n]
        while router.busy and router.looked < 0 and not router.share.take(looked):
            world.reqs.append(Req(n, router.share.token, world.now))

    def _stop(self, world: World, n: int) -> None:
        world.left["stops"] -= 1
        world.routers[n].looked = world.now

    def _wake(self, world: World, n: int) -> None:
        looked, world.routers[n].looked = world.routers[n].looked, -1
        self._begin(world, n, world.now if self.clock else looked)

    def _ask(self, world: World, n: int, at: int) -> None:
        self._send(world, n)
        if len(world.routers[n].up) == 1:
            self._arrive(world, n, at)

    def _send(self, world: World, n: int) -> None:
        world.left["asks"] -= 1
        world.left["late"] -= bool(world.left["late"])
        router = world.routers[n]
        router.asked = self.bounds.steps > 1
        router.up.append(router.share.ask(world.now))

    def _arrive(self, world: World, n: int, at: int) -> None:
        """The granter reads a word; one that finds another begun is asked no more."""
        said = world.routers[n].up.pop(0)
        if self.looks and at < len(world.granters) - 1:
            return
        given = world.granters[at].ask(said, world.now)
        if isinstance(given, QuotaGrant):
            world.routers[n].down.append(given)

    def _hear(self, world: World, n: int) -> None:
        router = world.routers[n]
        router.share.take_grant(router.down.pop(0), world.now)
        self._begin(world, n, world.now)

    def _restart(self, world: World, n: int) -> None:
        """Another process under its name; what the first had sent may still arrive, and its reqs run on."""
        world.left["restarts"] -= 1
        router = world.routers[n]
        router.share = LocalQuota(BUDGET, f"r{n}", f"{router.share.token}'", world.now)
        router.looked, router.asked, router.busy = -1, False, False

    def _fall(self, world: World) -> None:
        world.left["falls"] -= 1
        world.granters[-1] = QuotaAllocator([BUDGET], world.now)

    def _takeover(self, world: World) -> None:
        world.left["takeovers"] -= 1
        world.granters.append(QuotaAllocator([BUDGET], world.now))

    def _lose(self, world: World, n: int, way: str) -> None:
        world.left["faults"] -= 1
        getattr(world.routers[n], way).pop(0)

    def _double(self, world: World, n: int, way: str) -> None:
        world.left["faults"] -= 1
        words = getattr(world.routers[n], way)
        words.insert(0, words[0])

    def _swap(self, world: World, n: int, way: str) -> None:
        world.left["faults"] -= 1
        words = getattr(world.routers[n], way)
        words[0], words[1] = words[1], words[0]

    def broken(self, world: World) -> str:
        if len(world.reqs) > BUDGET.slots:
            return f"{len(world.reqs)} reqs in hand, and the fleet's budget is {BUDGET.slots}"
        return ""

    # -- what tells states apart ---------------------------------------------------------------------------

    def key(self, world: World) -> tuple:
        def ahead(when: int) -> int:
            return max(0, when - world.now)

        def share(router: Router) -> tuple:
            it = router.share
            asked = tuple((it.numbers - number, world.now - when) for number, when in it.asked.items())
            held = (it.slots, ahead(it.slots_until) if it.slots else 0, it.in_use, it.most_in_use)
            up = tuple((said.token, it.numbers - said.number, said.keep, said.slots) for said in router.up)
            down = tuple((said.token, it.numbers - said.number, said.slots) for said in router.down)
            return (
                it.token,
                asked,
                held,
                ahead(it.floor_from),
                up,
                down,
                router.asked,
                router.busy,
                router.looked,
            )

        def granter(it: QuotaAllocator) -> tuple:
            pot = it.pots[BUDGET.name]
            holders = tuple(
                (name, *self._known(world, name, pot.holders[name])) for name in sorted(pot.holders)
            )
            return (ahead(pot.wait_until), holders)

        return (
            tuple(world.left.values()),
            tuple(share(router) for router in world.routers),
            tuple(granter(each) for each in world.granters),
            tuple((req.router, req.token, world.now - req.began) for req in world.reqs),
        )

    @staticmethod
    def _known(world: World, name: str, it: QuotaHolder) -> tuple:
        share = world.routers[int(name[1])].share
        behind = share.numbers - it.number if share.token == it.token else 0
        ends = max(0, it.gone - world.now)
        heard = min(world.now - it.heard, 2 * BUDGET.life)
        return (it.token, behind, heard, it.slots_wanted, it.slots if ends else 0, ends)


# what is played: what breaks without a guard does so within these bounds; few are seen whole in a minute
PLAYED = {
    "a share that ends, and is given to another": Bounds(steps=4, turns=2, asks=2),
    "words late, lost, doubled and swapped": Bounds(steps=0, turns=2, asks=3, late=1, faults=1),
    "a router that wants less, and more again": Bounds(steps=0, turns=4, asks=4),
    "a router restarted": Bounds(steps=1, turns=3, asks=3, restarts=1),
    "a granter that loses all it knew": Bounds(steps=4, turns=2, asks=2, falls=1),
    "a granter taken over from": Bounds(steps=4, turns=2, asks=2, takeovers=1),
    "a router stopped and awake again": Bounds(steps=4, turns=2, asks=2, stops=1),
}
