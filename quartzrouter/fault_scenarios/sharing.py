"""Limits that a whole fleet shares, on loopback: routers and ledgers as processes, faults drawn from a seed.

Checkers read what reached the caches and what clients were answered, never what a process believes.
"""

import os
import random
import tempfile
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from functools import partial
from pathlib import Path

import anyio

from quartzrouter.config.loader import load
from quartzrouter.config.quantity import quantity
from quartzrouter.configuration import address
from quartzrouter.fault_harness import fault_schedule, history_checks
from quartzrouter.fault_harness.counting_cache import CountingCache
from quartzrouter.fault_harness.fault_injection import FaultInjectedFleet
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_harness.fleet import Clocks
from quartzrouter.fault_harness.load_generator import LoadGenerator
from quartzrouter.fault_harness.proxied_links import ProxiedLink
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.pool_routing.shared_limits import budgets
from quartzrouter.quota.budget import Budget
from quartzrouter.server import process

S = 1_000_000
ROUTERS = 12
CACHES = 4
SECONDS = 30.0
QUIET = 5_000  # ms at the start without faults, in which the use of the budgets is measured
TRIES = 16  # plays, of half a minute each, in which a schedule is cut down
SETTLE = 2_000  # ms of them until shares have followed the demand
ANSWER_WITHIN = 4 * S  # us; beyond it a req is lost
RATE, SLOTS = "/calls/", "/crowd/"  # what counts in the shared rate, and in the shared reqs in hand

PLAN = """{{
  deployment: {{
    name: "s", home: "north", listen: "127.0.0.1:{port}", number: {number}, routers: {routers},
    descriptors: 256, dispatches: {dispatches}, hearsay: {hearsay}, {more}
  }},
  stores: {{ north: {{ hub: "h" }} }}, hubs: {{ h: {{}} }},
  caches: {{ {listed} }},
  vhosts: {{ page: {{ effect: "replayable", client_timeout: {timeout}, kept: false, {target} }} }},
  purges: {{ ledgers: [{ledgers}], life: 10s, grace: {grace} }},
  pools: {{ near: {{}} }},
  limits: {{
    calls: {{ rate: {rate}/s, burst: {burst}, across: "fleet", floors: {floors}, share_life: {life} }},
    crowd: {{ concurrent: {slots}, across: "fleet", floors: {slot_floors}, share_life: {life} }},
    again: {{ rate: {repeats}/s, burst: {repeats}, counts: "repeats", across: "fleet", share_life: {life} }},
  }},
  routes: {{
    calls: {{ match: {{ path: "/calls/**" }}, vhost: "page", pool: "near", limits: ["calls", "again"] }},
    crowd: {{ match: {{ path: "/crowd/**" }}, vhost: "page", pool: "near", limits: "crowd" }},
    all: {{ match: {{}}, vhost: "page", pool: "near" }},
  }},
}}"""


@dataclass(frozen=True)
class ScenarioSize:
    """What is played.

    :param uneven: the share of the demand for the rate that comes to router 0.
    :param demand: reqs a second for the rate, in all.
    :param askers: of slots, at each router.
    :param delay: least and most s that a req of the crowd is at a cache.
    :param timeout: the client timeout.
    :param notices: whether caches give up reqs whose router has hung up.
    :param spoil: the share of lines that are spoilt from the start on, and how.
    :param settled: ms from which the budgets' figures must hold.
    """

    routers: int = ROUTERS
    rate: int = 80
    burst: int = 16
    floors: str = "20%"
    slots: int = 24
    slot_floors: str = "50%"
    life: str = "500ms"
    delay: tuple[float, float] = (0.15, 0.35)
    timeout: str = "1s"
    notices: bool = True
    grace: str = "300ms"  # of purges; four fifths of it without a word end a connection to a ledger
    uneven: float = 0.8
    demand: float = 96.0
    askers: int = 3
    seconds: float = SECONDS
    spoil: float = 0.02
    only: tuple[str, ...] = ("lose", "double", "swap")
    settled: int = 0
    caches: int = CACHES
    hearsay: str = "false"
    cache_links: bool = False  # a link from each router to each cache, which can be cut
    drift: int = 150  # parts in a million, by which clocks run fast or slow at most
    quiet: int = QUIET
    dispatches: int = 2
    repeats: int = 10_000  # further dispatches a second
    weight: float = 400  # of each cache: transfers that its link carries
    target: str = ""  # of the vhost: more of its keys
    more: str = ""  # keys of the deployment
    unlisted: int = 0  # caches, the first ones, that no plan lists until a fault `list`


DRAWN = ScenarioSize()


class SharingFleet(FaultInjectedFleet):
    """Two ledgers over one folder, the second stands by; routers with a link to each; caches that count."""

    def __init__(self, folder: Path, chance: random.Random, shape: ScenarioSize, guards: Sequence[str] = ()):
        super().__init__(folder, chance, quantity(shape.grace).us)
        self.shape, self.spoil, self.guards = shape, shape.spoil, guards
        self.caches: list[CountingCache] = []
        self.askers: list[LoadGenerator] = []
        self.budgets: dict[str, Budget] = {}
        self.to_caches: list[list[ProxiedLink]] = []  # of each router
        self.awake = set(range(shape.routers))  # whose crowd asks
        self.unlisted = shape.unlisted

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        shape, chance, self.tasks = self.shape, self.chance, tasks
        addresses = []
        for n in range(shape.caches):
            self.caches.append(CountingCache(f"n{n}", self.history, chance, self._delay))
            self.caches[-1].notices = shape.notices
            addresses.append(await self.caches[-1].start(tasks))
        self.addresses = addresses
        shared = self.folder / "shared.plan"
        for standby in (None, 0):
            clocks = Clocks(chance.randint(-5, 5) * S, chance.randint(-shape.drift, shape.drift))
            await self.add_ledger(shared, standby, clocks, self.guards)
        for _ in range(shape.routers):
            n = await self.add_links(tasks)
            to_caches = [ProxiedLink(address(at, "cache"), chance, by_line=False) for at in addresses]
            for link in to_caches if shape.cache_links else ():
                await link.start(tasks)
            self.to_caches.append(to_caches)
            clocks = Clocks(chance.randint(-5, 5) * S, chance.randint(-shape.drift, shape.drift))
            self.add_router(n, self.plan(n), clocks, self.guards)
            for link in self.links[n]:
                for way in link.ways:
                    way.spoil, way.only = shape.spoil, shape.only
        shared.write_text(self.plan(0))
        plan = load(str(shared)).plan
        self.budgets = {each.name: each for each in budgets(plan, plan.stores)}
        for party in self.parties:
            party.start()
            if party is self.ledgers[0]:
                await self.up(self.ledger_ports[0])

    def plan(self, n: int, **other) -> str:
        ledgers = ", ".join(f'"127.0.0.1:{link.port}"' for link in self.links[n])
        shape = self.shape
        told = asdict(shape) | other
        listed = [
            f'n{one}: {{ address: "{at}", at: "north", weight: {shape.weight} }}'
            for one, at in enumerate(self._caches_of(n))
            if one >= self.unlisted
        ]
        caches = ", ".join([*listed, 'o: { address: "127.0.0.1:1", at: "h", tier: "origin", weight: 400 }'])
        return PLAN.format(port=self.ports[n], number=n, listed=caches, ledgers=ledgers, **told)

    def _caches_of(self, n: int) -> list[str]:
        """Where a router finds the caches."""
        if not self.shape.cache_links:
            return self.addresses
        return [f"127.0.0.1:{link.port}" for link in self.to_caches[n]]

    def _delay(self, path: str) -> float:
        return (
            self.chance.uniform(*self.shape.delay)
            if path.startswith(SLOTS)
            else self.chance.uniform(0.002, 0.01)
        )

    # -- load ----------------------------------------------------------------------------------------------

    def start_load(self, tasks: anyio.abc.TaskGroup) -> None:
        shape = self.shape
        rest = (1 - shape.uneven) * shape.demand / max(1, shape.routers - 1)
        for n in range(shape.routers):
            demand = shape.uneven * shape.demand if n == 0 else rest
            several = max(1, round(demand / 20))  # one asker goes on only once it is answered
            for one in range(several):
                pace = partial(self._evenly, several / demand)
                self.askers.append(LoadGenerator(f"{RATE}r{n}.{one}", self.history, self.ports[n], pace))
            for one in range(shape.askers):
                pace = partial(self.chance.uniform, 0.05, 0.2)
                awake = partial(self._awake, n)
                self.askers.append(
                    LoadGenerator(f"{SLOTS}r{n}.{one}", self.history, self.ports[n], pace, awake)
                )
        for asker in self.askers:
            tasks.start_soon(asker.run)

    def _awake(self, n: int) -> bool:
        return n in self.awake

    def _evenly(self, every: float) -> float:
        return self.chance.uniform(0.6, 1.4) * every

    def end_load(self) -> None:
        for asker in self.askers:
            asker.ends = True

    # -- faults --------------------------------------------------------------------------------------------

    def links_of(self, name: str) -> list[ProxiedLink]:
        """Of a router, as r3, or its one link to a ledger, as r3/1."""
        router, _, ledger = name[1:].partition("/")
        return self.links[int(router)] if not ledger else [self.links[int(router)][int(ledger)]]

    async def _only(self, fault: Fault) -> None:
        """From now on the crowd comes to these routers only; `all` of them."""
        names = fault.who.split()
        self.awake = set(range(self.shape.routers)) if fault.who == "all" else {int(n[1:]) for n in names}

    async def _part(self, fault: Fault) -> None:
        """A router is cut off from one cache, as r3/1, or from all of them, as r3."""
        router, _, cache = fault.who[1:].partition("/")
        links = self.to_caches[int(router)]
        links = [links[int(cache)]] if cache else links
        for link in links:
            link.hold()
        await anyio.sleep(fault.lasts / 1000)
        for link in links:
            link.hold(False)

    async def _bad(self, fault: Fault) -> None:
        """A cache answers a share of its reqs with an error."""
        cache = self.caches[int(fault.who[1:])]
        cache.bad = fault.much
        await anyio.sleep(fault.lasts / 1000)
        cache.bad = 0.0

    async def _lost(self, fault: Fault) -> None:
        """A cache is gone, and comes back at its port."""
        cache = self.caches[int(fault.who[1:])]
        cache.stop()
        await anyio.sleep(fault.lasts / 1000)
        await cache.start(self.tasks)

    async def _stop(self, fault: Fault) -> None:
        """SIGSTOP; a ledger that wakes finds another in its place, and ends."""
        party = self.party(fault.who)
        party.stop()
        await anyio.sleep(fault.lasts / 1000)
        party.go_on()
        if party in self.ledgers:
            await anyio.sleep(1)
            if not party.runs:
                await self._again(party)

    async def _kill(self, fault: Fault) -> None:
        party = self.party(fault.who)
        party.kill()
        if fault.much:
            party.lose_folder()
        await anyio.sleep(fault.lasts / 1000)
        await self._again(party)

    async def _again(self, party) -> None:
        """Starts it: a ledger stands by for the other one where that runs."""
        if party in self.ledgers:
            n = self.ledgers.index(party)
            other = self.ledgers[1 - n]
            party.arguments[5] = f"127.0.0.1:{self.ledger_ports[1 - n]}" if other.runs else "-"
        party.start()

    async def _list(self, fault: Fault) -> None:
        """All routers read a plan that lists all caches: those that are new to it have just started."""
        self.unlisted = 0
        for n, router in enumerate(self.routers):
            self.plan_of(n).write_text(self.plan(n))
            router.reload()

    async def _reload(self, fault: Fault) -> None:
        """A plan with so many slots, at the ledger or one router."""
        if fault.who.startswith("ledger"):
            (self.folder / "shared.plan").write_text(self.plan(0, slots=int(fault.much)))
        else:
            n = int(fault.who[1:])
            self.plan_of(n).write_text(self.plan(n, slots=int(fault.much)))
        self.party(fault.who).reload()


def kinds(shape: ScenarioSize) -> dict:
    """What a drawn schedule is made of; see schedule.drawn."""
    routers = [f"r{n}" for n in range(shape.routers)]
    return {
        "cut": (routers, (600, 4_000), (0, 0, 1, 2)),
        "late": (routers, (1_000, 4_000), (0.05, 0.2, 0.5)),
        "spoil": (routers, (1_000, 5_000), (0.3, 0.6)),
        "reset": (routers, (0, 0), (0,)),
        "stop": (routers, (300, 2_500), (0,)),
        "kill": (routers, (50, 1_000), (0,)),
        "only": ([*(f"{a} {b}" for a in routers[:4] for b in routers[2:5] if a != b), "all"], (0, 0), (0,)),
        "jump": ([*routers, "ledger0", "ledger1"], (500, 3_000), (-10, -1, 1)),
    }


def drawn(chance: random.Random, shape: ScenarioSize, faults: int) -> list[Fault]:
    """So many faults of routers, and three of the ledgers, each by itself: somebody grants at times."""
    until = round(shape.seconds * 1000) - 1_500
    found = fault_schedule.drawn(chance, kinds(shape), faults, until - shape.quiet)
    third = (until - shape.quiet) // 3
    of_ledgers = [
        Fault(0, "kill", "ledger0", 300),
        Fault(0, "stop", "ledger0", 2_500),
        Fault(0, "kill", "ledger0", 100, 1.0),
        Fault(0, "kill", "ledger1", 300),
    ]
    for n, fault in enumerate(chance.sample(of_ledgers, 3)):
        at = n * third + chance.randint(0, third // 2)
        found.append(Fault(at, fault.what, fault.who, fault.lasts, fault.much))
    later = [Fault(each.at + shape.quiet, each.what, each.who, each.lasts, each.much) for each in found]
    return sorted(later, key=lambda fault: fault.at)


@dataclass
class ScenarioResult:
    """What checkers found in one play."""

    fleet: SharingFleet
    began: int  # us
    over_rate: float = 0.0  # reqs beyond the bound in the worst window; negative: so many were left
    over_slots: int = 0
    most: int = 0  # reqs in hand at a time
    lost: int = 0  # reqs without an answer
    faults: tuple[str, ...] = ()  # of the program itself

    @property
    def broken(self) -> bool:
        return self.over_rate > 0 or self.over_slots > 0


def play(
    chance: random.Random, shape: ScenarioSize, faults: Sequence[Fault], guards: Sequence[str] = ()
) -> ScenarioResult:
    """Plays a schedule once, and has the checkers read its history."""
    return anyio.run(partial(_play, chance, shape, faults, guards), backend_options=process.BACKEND_OPTIONS)


async def _play(
    chance, shape: ScenarioSize, faults: Sequence[Fault], guards: Sequence[str]
) -> ScenarioResult:
    with tempfile.TemporaryDirectory() as name, anyio.fail_after(shape.seconds + 60):
        fleet = SharingFleet(Path(name), chance, shape, guards)
        try:
            async with anyio.create_task_group() as tasks:
                await fleet.start(tasks)
                await fleet.all_up()
                began = process.steady_clock()
                async with anyio.create_task_group() as load_:
                    fleet.start_load(load_)
                    load_.start_soon(fault_schedule.play, faults, fleet.strike)
                    await anyio.sleep(shape.seconds)
                    fleet.end_load()
                tasks.cancel_scope.cancel()
        finally:
            fleet.end()
            if keep := os.environ.get("QUARTZROUTER_TRACE"):
                fleet.history.write(Path(f"history-{keep}.jsonl"))
                fault_schedule.write(Path(f"schedule-{keep}.jsonl"), faults)
                Path(f"log-{keep}").write_text(fleet.log())
        return _seen(fleet, began)


def _seen(fleet: SharingFleet, began: int) -> ScenarioResult:
    history = fleet.history
    seen = ScenarioResult(fleet, began)
    seen.over_rate, *_ = history_checks.over(
        history_checks.let_through(history, RATE), fleet.budgets["calls"]
    )
    seen.most, _ = history_checks.in_hand(history, SLOTS, began + fleet.shape.settled * 1000)
    seen.over_slots = seen.most - fleet.budgets["crowd"].slots
    seen.lost = len(history_checks.unanswered(history, ANSWER_WITHIN))
    seen.faults = tuple(fleet.faults())
    return seen


# -- guards, each taken out once ---------------------------------------------------------------------------

FEW = ScenarioSize(
    routers=6,
    rate=40,
    slots=12,
    uneven=0.5,
    demand=20.0,
    askers=10,
    seconds=7.0,
    spoil=0.0,
    timeout="500ms",
    delay=(0.15, 0.3),
)
# reqs that outlive shares and routers; slots are had once what was in hand before the start must be over
LONG = replace(FEW, timeout="4s", delay=(3.4, 3.8), notices=False, seconds=11.0)
BURSTS = replace(FEW, rate=5, burst=80, floors="50%", demand=160.0, uneven=1 / 6, askers=0)


def _only(at: int, who: str) -> Fault:
    return Fault(at, "only", who)


SCENES: dict[str, tuple[ScenarioSize, list[Fault]]] = {
    "a share doesn't end": (
        FEW,
        [_only(0, "r0"), Fault(2000, "cut", "r0", 4000), _only(2100, "r0 r1")],
    ),
    "a share counts from its answer": (
        replace(FEW, grace="2s", demand=160.0, uneven=1 / 6, askers=0),
        [Fault(2000, "cut", f"r{n}", 3000, 2.0) for n in range(6)],
    ),
    "a doubled grant counts twice": (
        replace(FEW, rate=60, demand=200.0, spoil=0.9, only=("double",), askers=0),
        [],
    ),
    "a router isn't confined by its own word": (
        replace(FEW, grace="2s", life="2s", seconds=8.0),
        [
            _only(0, "r0"),
            Fault(4450, "cut", "r0", 3000, 2.0),
            _only(4500, "r1 r2 r3 r4 r5"),
            _only(5700, "all"),
        ],
    ),
    "shares end by the wall clock": (
        FEW,
        [
            _only(0, "r0"),
            Fault(2000, "jump", "r0", 4000, -10.0),
            Fault(2000, "cut", "r0", 4000),
            _only(2100, "r0 r1"),
        ],
    ),
    "a restarted router has its floor's burst again": (
        replace(BURSTS, seconds=12.0),
        [Fault(at, "kill", f"r{n}", 50) for at in (500, 3000, 5500, 8000) for n in range(6)],
    ),
    "a restarted router has its floor's slots at once": (
        replace(LONG, slot_floors="100%"),
        [Fault(6000, "kill", f"r{n}", 50) for n in range(3)],
    ),
    "a slot's req is over with its share": (
        LONG,
        [_only(0, "r0"), Fault(6000, "cut", "r0", 4000), _only(6100, "r0 r1")],
    ),
    "a granter starts with a full bucket": (
        replace(BURSTS, floors="10%", seconds=9.0),
        [Fault(at, "kill", "ledger0", 50) for at in (1000, 3000, 5000, 7000)],
    ),
    "a granter grants slots at once": (
        replace(FEW, life="4s", seconds=10.0),
        [
            _only(0, "r0"),
            Fault(5000, "kill", "ledger0", 50),
            Fault(5000, "cut", "r0", 4500),
            _only(5100, "r0 r1"),
        ],
    ),
    "a granter doesn't compare figures": (
        replace(FEW, settled=3000),
        [Fault(1000, "reload", f"r{n}", 0, 24.0) for n in range(6)],
    ),
    "a restarted router's slots are forgotten": (
        LONG,
        [_only(0, "r0"), Fault(6000, "kill", "r0", 50), _only(6100, "r0 r1")],
    ),
    "a granter doesn't look whether another has begun": (
        replace(FEW, seconds=11.0),
        [_only(0, "r0 r1"), Fault(0, "cut", "r0/1", 11_000), Fault(2000, "stop", "ledger0", 4500)],
    ),
}


def killed(seed: int, guard: str) -> tuple[ScenarioResult, ScenarioResult]:
    """A guard's scene with it and without it."""
    shape, faults = SCENES[guard]
    return tuple(play(random.Random(seed), shape, faults, out) for out in ((), (guard,)))


def rehearse(
    seed: int,
    tally: ScenarioReport,
    guards: Sequence[str] = (),
    shape: ScenarioSize = DRAWN,
    path: str | None = None,
    shrink: bool = False,
) -> None:
    """:param path: a schedule to play instead of a drawn one.
    :param shrink: cut down a schedule that breaks a budget; it is written to a file either way.
    """
    chance = random.Random(seed)
    faults = fault_schedule.read(Path(path)) if path else drawn(chance, shape, 24)
    seen = play(chance, shape, faults, guards)
    if seen.broken:
        if shrink:
            fails = lambda some: play(random.Random(seed), shape, some, guards).broken  # noqa: E731
            faults = fault_schedule.shrunk(faults, fails, TRIES)
        kept = Path(f"schedule-{seed}.jsonl")
        fault_schedule.write(kept, faults)
        tally.figures["schedule, in faults"] = f"{kept}, {len(faults)}"
    fleet, history = seen.fleet, seen.fleet.history
    calls, crowd = fleet.budgets["calls"], fleet.budgets["crowd"]
    tally.expect(seen.over_rate <= 0, f"calls: {seen.over_rate:.1f} reqs more than the bound in a window")
    tally.expect(seen.over_slots <= 0, f"crowd: {seen.most} reqs in hand of {crowd.slots}")
    tally.expect(not seen.lost, f"{seen.lost} reqs without an answer within {ANSWER_WITHIN / S:.0f} s")
    tally.expect(not seen.faults, f"faults: {seen.faults[:1]}")
    for what in ("fault", "send"):
        tally.figures[f"{what}s"] = sum(1 for _ in history.of(what))
    tally.expect(tally.figures["sends"] > 20 * shape.seconds, f"only {tally.figures['sends']} reqs were sent")
    since, until = seen.began + SETTLE * 1000, seen.began + shape.quiet * 1000
    reqs = history_checks.let_through(history, RATE)
    used = history_checks.rate(reqs, since, until) / calls.rate
    static = _static(shape) / calls.rate
    tally.figures["use of the rate in quiet, with static parts"] = f"{used:.2f}, {static:.2f}"
    whole = history_checks.rate(reqs, since, seen.began + round(shape.seconds * S)) / calls.rate
    tally.figures["use of the rate in all"] = f"{whole:.2f}"
    ends = history_checks.answers(history, RATE, since, seen.began + round(shape.seconds * S))
    tally.figures["reqs of the rate: done, denied, aborted"] = [ends.get(n, 0) for n in ("200", "503", "502")]
    tally.figures["reqs below the bound in the worst window"] = f"{-seen.over_rate:.1f}"
    tally.figures["most reqs in hand, of"] = f"{seen.most}, {crowd.slots}"
    tally.expect(used > 0.6 and seen.most > crowd.slots / 2, "the budgets were hardly used: nothing is shown")
    tally.figures["budgets exceeded"] = int(seen.over_rate > 0) + int(seen.over_slots > 0)


def _static(shape: ScenarioSize) -> float:
    """Reqs a second where each router had an equal part, by the demand."""
    part, rest = shape.rate / shape.routers, (1 - shape.uneven) * shape.demand / (shape.routers - 1)
    return min(part, shape.uneven * shape.demand) + (shape.routers - 1) * min(part, rest)
