"""Purges of a whole fleet on loopback: routers, ledger and couriers as processes, all others here.

A script with all that goes wrong runs beside the load; a checker looks at every answer.
"""

import os
import random
import re
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import anyio

from quartzrouter.fakes.caches import PurgeableCache
from quartzrouter.fakes.loopback import Client
from quartzrouter.fault_harness.fleet import Clocks, Fleet
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.purge_log.disk import RealDisk
from quartzrouter.purge_log.line_connection import QueryClient as LedgerClient
from quartzrouter.purge_log.line_connection import Unreachable
from quartzrouter.purge_log.segments import read
from quartzrouter.purges.messages import (
    MemberHello,
    MembersQuery,
    Purge,
    PurgeAccepted,
    PurgeRequest,
    RequestRejected,
    StatusQuery,
    encode_line,
)
from quartzrouter.purges.purge_index import PurgeIndex, PurgeLookup
from quartzrouter.server import process

S = 1_000_000
GRACE = 300_000  # us
LIFE = "2s"  # of marks: short, so that a cache is away for longer
STORES = ("north", "south")
TAGS = ("rose", "lily", "care", "hold")
PLANTS, EACH = 8, 6  # objects: plants by pages
STORM = 400  # purges at once: what 14 caches in one process take in some seconds
WAY = 100_000  # us that an answer may take from its router to its client, and that client to look at it
LAG_EVERY = 10_000  # us
CLIENTS = 6  # of each router
SECONDS = 16.0  # of load
ENOUGH = 500  # reqs done: with fewer, too little was looked at
LONGER = 20.0  # s of load beyond that within which a busy machine has to get as many done
BODY = re.compile(rb"(\S+) (\d{16})")

PLAN = """{{
  deployment: {{
    name: "p", home: "{store}", listen: "127.0.0.1:{port}", number: {number}, routers: 6, descriptors: 256,
    dispatches: 4,
  }},
  stores: {{ north: {{ hub: "h" }}, south: {{ hub: "h" }} }}, hubs: {{ h: {{}} }},
  caches: {{ {caches} }},
  vhosts: {{
    page: {{ effect: "replayable", client_timeout: 3s, first_byte_target: 2s, fresh_for: 0s }},
    photo: {{ effect: "replayable", client_timeout: 3s, first_byte_target: 2s, fresh_for: 0s }},
  }},
  purges: {{ ledgers: ["127.0.0.1:{ledger}"], life: {life}, clock_skew: 4s, marks: 5000, {file} }},
  pools: {{ near: {{}} }},
  routes: {{
    photos: {{ match: {{ path: "/photos/**" }}, vhost: "photo", pool: "near" }},
    all: {{ match: {{}}, vhost: "page", pool: "near" }},
  }},
}}"""


def tags_of(path: str) -> str:
    """What the origin tells: the plant, and by its page `care` or `hold`."""
    found = re.search(r"/p(\d+)/(\d+)", path)
    plant, page = int(found[1]), int(found[2])
    return f"{TAGS[plant % 2]}, plant{plant}" + (f", {TAGS[2 + page % 2]}" if page % 3 else "")


@dataclass
class Answer:
    sent: int  # us
    came: int
    path: str
    made: int  # us, when the origin made the copy
    router: int


@dataclass
class Checker:
    """Looks at every answer: which purges it breaks.

    :param skew: us by which the ledger's clock is ahead.
    """

    skew: int
    answers: list[Answer] = field(default_factory=list)
    marks: dict[int, PurgeIndex] = field(default_factory=dict)  # of each purge by itself
    ends: Counter = field(default_factory=Counter)
    cut: list[tuple[int | None, int, int]] = field(default_factory=list)  # routers cut off: which, from, to

    def taken(self, send: PurgeRequest, taken: PurgeAccepted) -> None:
        when = taken.when - self.skew
        kind = "pattern" if send.kind == "object" else send.kind  # objects are named by their paths here
        marks = self.marks[taken.number] = PurgeIndex(1 << 60, 1_000)
        marks.add(Purge(taken.number, when, kind, send.values, send.vhost), when)

    def broken(self) -> list[str]:
        found = []
        for answer in self.answers:
            asked = PurgeLookup("photo" if "/photos/" in answer.path else "page", "", "", answer.path)
            tags = [tag.strip() for tag in tags_of(answer.path).split(",")]
            for number, marks in self.marks.items():
                when = marks.newest(asked, tags, "*")
                if answer.made < when and when + GRACE <= max(answer.sent, self._bound(answer)):
                    old, late = (when - answer.made) / S, (answer.sent - when) / S
                    found.append(
                        f"router {answer.router} answered {answer.path} with a copy {old:.3f} s older than "
                        f"purge {number}, to a req sent {late:.3f} s after it"
                    )
        return found

    def _bound(self, answer: Answer) -> int:
        """us; by then it was decided.  A router that was cut off can't know what came while it waited."""
        cut = any(
            who in (None, answer.router) and since <= answer.came <= until for who, since, until in self.cut
        )
        return 0 if cut else answer.came - WAY


class PurgedFleet(Fleet):
    """All parties, and what is done to them."""

    def __init__(
        self, chance: random.Random, folder: Path, routers: int, caches: int, guards: tuple[str, ...]
    ):
        super().__init__(folder, chance, GRACE)
        self.guards, self.count, self.cache_count = guards, routers, caches
        self.skew = chance.choice((-3, 2)) * S  # the ledger's clock
        self.checker = Checker(self.skew)
        self.boxes: dict[str, PurgeableCache] = {}
        self.stop = anyio.Event()
        self.lag = 0

    # -- parties -------------------------------------------------------------------------------------------

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        above: dict[str, str] = {}
        names = [(f"{store[0]}{n}", store) for store in STORES for n in range(self.cache_count // 2)]
        tiers = [
            *((name, "cache", at) for name, at in names),
            ("h1", "parent", "h"),
            ("h2", "parent", "h"),
            ("o", "origin", "h"),
        ]
        for name, tier, _ in tiers:
            delay = self.made if tier == "origin" else partial(self.chance.uniform, 0.005, 0.06)
            box = PurgeableCache(
                name,
                above,
                self.chance,
                tier == "origin",
                3 * S,
                tags_of,
                delay,
                source="o",
            )
            await box.start(tasks)
            above[name] = box.address
            self.boxes[name] = box
        self.lines = ", ".join(
            f'{name}: {{ address: "{above[name]}", at: "{at}", tier: "{tier}", weight: 40 }}'
            for name, tier, at in tiers
        )
        await self.add_ledger(clocks=Clocks(self.skew))
        for _ in range(self.count):
            n = await self.add_links(tasks)
            file = f'file: "{self.folder}/marks-{n}",' if n % 2 else ""
            self.add_router(n, self._plan(n, self.links[n][0].port, file), guards=self.guards)
        path = self.folder / "deliver.plan"
        path.write_text(self._plan(0, self.ledger_port, ""))
        self.add_command("courier", "purge", "deliver", str(path))
        for party in self.parties:
            party.start()

    @property
    def ledger_port(self) -> int:
        return self.ledger_ports[0]

    def made(self) -> float:
        """s that the making of a copy takes; now and then far longer than the grace."""
        return (
            self.chance.uniform(0.5, 1.0) if self.chance.random() < 0.05 else self.chance.uniform(0.01, 0.2)
        )

    def _plan(self, n: int, ledger: int, file: str) -> str:
        return PLAN.format(
            store=STORES[n % 2],
            port=self.ports[n],
            number=n,
            caches=self.lines,
            ledger=ledger,
            file=file,
            life=LIFE,
        )

    # -- load ----------------------------------------------------------------------------------------------

    async def ask(self, router: int, seed: int) -> None:
        """A client of one router: one req after the other."""
        chance, client, id = random.Random(seed), None, seed << 20
        while not self.stop.is_set():
            plant, page = min(int(chance.expovariate(0.4)), PLANTS - 1), chance.randrange(EACH)
            path = f"/{chance.choice(('photos', 'pages'))}/p{plant}/{page}"
            id += 1
            try:
                if client is None:
                    client = Client(await anyio.connect_tcp("127.0.0.1", self.ports[router]))
                sent = process.wall_clock()
                fields = {"HTTP_X_SUBJECT": None, "HTTP_X_CHUNK": None, "HTTP_X_DEADLINE_MS": "3000"}
                fields["HTTP_X_CORRELATION_ID"] = f"{id:016x}"
                await client.begin(1, path=path, **fields)
                with anyio.fail_after(4):
                    said = await self._end(client)
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                client = None
                await anyio.sleep(0.05)
                continue
            except TimeoutError:
                self.checker.ends["without an answer"] += 1
                client = None
                continue
            if said is None:
                client = None  # that router has been killed
                self.checker.ends["cut with its router"] += 1
                continue
            status, body = said
            self.checker.ends[status] += 1
            if found := BODY.search(body):
                self.checker.answers.append(Answer(sent, process.wall_clock(), path, int(found[2]), router))
            await anyio.sleep(chance.uniform(0.005, 0.04))

    @staticmethod
    async def _end(client: Client) -> tuple[str, bytes] | None:
        """Its status and the start of its body."""
        said = await client.end()
        found = re.match(r"\d+: Status: (\d+) .*? b'(.*)' end", said) or re.match(
            r"\d+: Status: (\d+)()", said
        )
        if found:
            return found[1], found[2].encode()
        return None

    # -- purges --------------------------------------------------------------------------------------------

    def some(self) -> PurgeRequest:
        chance, plant = self.chance, self.chance.randrange(PLANTS)
        kind = chance.choice(("object", "tag", "tag", "pattern"))
        value = {
            "object": f"/{chance.choice(('photos', 'pages'))}/p{plant}/{chance.randrange(EACH)}",
            "tag": chance.choice((*TAGS, f"plant{plant}", f"plant{plant}")),
            "pattern": chance.choice((f"/*/p{plant}/**", f"/photos/p{plant}/*", f"/pages/*{plant}/1")),
        }[kind]
        return PurgeRequest(kind, (value,), key=f"{chance.random()}")

    async def purge(self, sends: list[PurgeRequest]) -> None:
        client = LedgerClient([("127.0.0.1", self.ledger_port)], 1.0)
        until = process.wall_clock() + 5 * S
        while True:
            try:
                taken = await client.ask_all(sends)
                break
            except Unreachable:
                if process.wall_clock() > until:
                    raise
                await anyio.sleep(0.05)
        for send, answer in zip(sends, taken, strict=True):
            if isinstance(answer, PurgeAccepted):
                self.checker.taken(send, answer)
            elif isinstance(answer, RequestRejected):
                self.checker.ends[f"purge refused: {answer.reason}"] += 1
        await client.close()

    async def look_at_lag(self) -> None:
        """How late this process wakes: it plays the network, and must not blame routers for that."""
        while not self.stop.is_set():
            due = process.wall_clock() + LAG_EVERY
            await anyio.sleep(LAG_EVERY / S)
            self.lag = max(self.lag, process.wall_clock() - due)

    async def keep_purging(self) -> None:
        while not self.stop.is_set():
            await self.purge([self.some()])
            await anyio.sleep(self.chance.uniform(0.05, 0.2))


def rehearse(
    seed: int, tally: ScenarioReport, guards: tuple[str, ...] = (), seconds: float = SECONDS
) -> None:
    anyio.run(
        partial(_play, random.Random(seed), tally, guards, seconds), backend_options=process.BACKEND_OPTIONS
    )


async def _script(fleet: PurgedFleet, tally: ScenarioReport, tasks: anyio.abc.TaskGroup, unit: float) -> None:
    """What goes wrong, in its order; a unit is a sixteenth of the time."""
    chance = fleet.chance
    await anyio.sleep(2 * unit)
    cut, since = fleet.checker.cut, process.wall_clock()
    fleet.links[0][0].hold()  # a partition, longer than a lease
    await fleet.purge([fleet.some() for _ in range(5)])
    away = fleet.boxes["n1"]
    away.stop()  # a cache drains for longer than marks live, and keeps its disk
    await anyio.sleep(1.2 * unit)
    await fleet.purge([PurgeRequest("tag", (TAGS[0],)), PurgeRequest("tag", ("care",))])
    fleet.links[0][0].heal()  # healed while purges go on
    await fleet.joined()
    cut.append((0, since, process.wall_clock()))
    await anyio.sleep(unit)
    await _kill_ledger(fleet, 0.3 * unit)
    await anyio.sleep(unit)
    since = process.wall_clock()
    fleet.links[1][0].down.spoil, fleet.links[2][0].down.late = 0.1, 0.02
    await _restart(fleet, fleet.count - 1, 0.3 * unit)
    for box in list(fleet.boxes.values())[::3]:
        box.refuse = 0.2
    await fleet.purge([fleet.some() for _ in range(STORM)])
    await anyio.sleep(unit)
    for box in fleet.boxes.values():
        box.refuse = 0.0
    fleet.links[1][0].heal()
    fleet.links[2][0].heal()
    await fleet.joined()
    cut += [(n, since, process.wall_clock()) for n in (1, 2)]
    await away.start(tasks)  # with its old copies, while purges keep coming
    await anyio.sleep(unit)
    await fleet.purge([PurgeRequest("pattern", ("/**",)), PurgeRequest("pattern", ("/" + "*a" * 15,))])
    await _twice(fleet, tally)
    await anyio.sleep(unit)
    await _kill_ledger(fleet, 0.0)
    await _restart(fleet, chance.randrange(fleet.count), 0.0)


async def _kill_ledger(fleet: PurgedFleet, wait: float) -> None:
    since = process.wall_clock()
    fleet.ledgers[0].kill()
    await anyio.sleep(wait)
    fleet.ledgers[0].start()
    await fleet.joined()
    fleet.checker.cut.append((None, since, process.wall_clock()))


async def _restart(fleet: PurgedFleet, n: int, wait: float) -> None:
    since = process.wall_clock()
    fleet.routers[n].kill()
    await anyio.sleep(wait)
    fleet.routers[n].start()
    await fleet.joined()
    fleet.checker.cut.append((n, since, process.wall_clock()))


async def _twice(fleet: PurgedFleet, tally: ScenarioReport) -> None:
    """A second process under a name that is in use."""
    client = LedgerClient([("127.0.0.1", fleet.ledger_port)], 1.0)
    members = await client.ask(MembersQuery())
    live = [member.name for member in members.members if member.kind == "router" and member.live]
    if live:
        await client.close()
        await client.connect()
        await client.stream.send(encode_line(MemberHello(live[0], "router", "other", epoch=0)))
        said = await client.next()
        tally.expect(
            isinstance(said, RequestRejected) and said.place == "name", f"a second {live[0]} was told {said}"
        )
    await client.close()


async def _play(
    chance: random.Random, tally: ScenarioReport, guards: tuple[str, ...], seconds: float
) -> None:
    with tempfile.TemporaryDirectory() as name, anyio.fail_after(seconds + LONGER + 25):
        fleet = PurgedFleet(chance, Path(name), 6, 12, guards)
        try:
            async with anyio.create_task_group() as tasks:
                await fleet.start(tasks)
                await fleet.all_up()
                async with anyio.create_task_group() as load:
                    for n in range(fleet.count * CLIENTS):
                        load.start_soon(fleet.ask, n % fleet.count, n + 1)
                    load.start_soon(fleet.keep_purging)
                    load.start_soon(fleet.look_at_lag)
                    load.start_soon(_script, fleet, tally, tasks, seconds / 16)
                    await anyio.sleep(seconds)
                    with anyio.move_on_after(LONGER):  # how many are done in a time is the machine's matter
                        while fleet.checker.ends["200"] <= ENOUGH:
                            await anyio.sleep(LAG_EVERY / S)
                    fleet.stop.set()
                await _told(fleet, tally)
                tasks.cancel_scope.cancel()
        finally:
            fleet.end()
            if keep := os.environ.get("QUARTZROUTER_TRACE"):
                Path(f"rehearse-{keep}.log").write_bytes((fleet.folder / "log").read_bytes())
        _judged(fleet, tally, fleet.faults())
        found = read(RealDisk(str(fleet.folder / "ledger")))
        kept = {purge.number for purge in found.purges}
        lost = [number for number in fleet.checker.marks if number not in kept]
        tally.expect(not lost, f"{len(lost)} purges were promised and are lost: {lost[:5]}")


async def _told(fleet: PurgedFleet, tally: ScenarioReport) -> None:
    """Waits until the last purge is complete, and tells what the ledger says."""
    client = LedgerClient([("127.0.0.1", fleet.ledger_port)], 2.0)
    with anyio.move_on_after(6):
        while not (told := await client.ask(StatusQuery())).complete:
            await anyio.sleep(0.05)
    members = (await client.ask(MembersQuery())).members
    tally.figures["caches away"] = [m.name for m in members if m.away]
    tally.expect(told.complete, f"purge {told.number} waits for {told.missing}")
    delays = {key: round(value / 1000, 1) for key, value in told.delays.items() if key.startswith(("p", "h"))}
    delays["purges"] = told.delays["purges"]
    tally.figures["purges, delay since the last start in ms"] = f"{told.number}, {delays}"
    tally.figures["promised in ms, missed"] = f"{told.promise / 1000:.0f}, {told.delays['missed']}"


def _judged(fleet: PurgedFleet, tally: ScenarioReport, faults: list[str]) -> None:
    checker = fleet.checker
    for broken in checker.broken():
        tally.broken.append(broken)
    ends, done = checker.ends, checker.ends["200"]
    answered = sum(ends[end] for end in ends if end.isdecimal())
    tally.figures["reqs, done, denied, aborted"] = f"{answered}, {done}, {ends['503']}, {ends['502']}"
    tally.figures["reqs cut with the router that was killed"] = ends["cut with its router"]
    tally.figures["answers looked at, against purges"] = f"{len(checker.answers)}, {len(checker.marks)}"
    boxes = [box for box in fleet.boxes.values() if not box.origin]
    tally.figures["copies purged, most purges a second at one cache"] = (
        f"{sum(box.purged for box in boxes)}, {max(box.most for box in boxes)}"
    )
    tally.figures["latest wake of this process in ms"] = fleet.lag // 1000
    tally.figures["copies made by the origin"] = fleet.boxes["o"].asked
    tally.figures["lines lost, doubled or swapped"] = sum(
        link.spoilt for links in fleet.links for link in links
    )
    tally.expect(not ends["without an answer"], f"{ends['without an answer']} reqs without an answer")
    tally.expect(done > answered * 0.9, f"{done} of {answered} reqs done: {dict(ends)}")
    tally.expect(done > ENOUGH, f"only {done} reqs done")
    tally.expect(not faults, f"faults: {faults[:1]}")
