"""A router under a plan that follows a ledger, over loopback: what its answers may bring."""

import random
from dataclasses import replace

import anyio
import pytest

from quartzrouter.config.loader import load
from quartzrouter.config.request_sets import Asked
from quartzrouter.fakes.caches import PurgeableCache
from quartzrouter.fakes.faulty_disk import FaultyDisk
from quartzrouter.fakes.loopback import Client, free_port
from quartzrouter.fault_harness.mutations import MUTATIONS
from quartzrouter.fault_harness.proxied_links import ProxiedLink
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.fault_scenarios.purges import rehearse
from quartzrouter.purge_log.delivery import DeliveryWorker
from quartzrouter.purge_log.query_client import QueryClient as LedgerClient
from quartzrouter.purge_log.server import PurgeLogServer
from quartzrouter.purges.messages import MemberLeave, MembersQuery, PurgeRequest, StatusQuery
from quartzrouter.routing.model import Forward
from quartzrouter.server import process
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.standalone.process import StandaloneProcess
from quartzrouter.standalone.structured_log import logger

PLAN = """{
  deployment: { name: "t", home: "north", listen: "127.0.0.1:%(port)d", descriptors: 256 },
  stores: { north: { hub: "h" } }, hubs: { h: {} },
  caches: {
    n1: { address: "%(n1)s", at: "north", weight: 40 },
    p: { address: "%(p)s", at: "h", tier: "parent", weight: 40 },
    o: { address: "%(o)s", at: "h", tier: "origin", weight: 40 },
  },
  vhosts: { page: { effect: "replayable", client_timeout: 3s } },
  purges: { ledgers: "127.0.0.1:%(link)d", %(more)s },
  pools: { near: {} }, routes: { all: { match: {}, vhost: "page", pool: "near" } },
}"""


class Site:
    """One router, one cache, a hub, an origin and a ledger."""

    def __init__(self, tmp_path, tasks):
        self.path, self.tasks, self.told, self.id = tmp_path / "main.plan", tasks, {}, 0
        self.file, self.disk = tmp_path / "marks", FaultyDisk()

    async def start(self, more="", delay=lambda: 0.0):
        above, chance = {}, random.Random(1)
        self.boxes = {}
        for name in ("n1", "p", "o"):
            box = PurgeableCache(
                name, above, chance, name == "o", 5_000_000, lambda path: "rose, " + path[1:], fill_source="o"
            )
            box.delay = delay if name == "o" else box.delay
            await box.start(self.tasks)
            above[name] = self.told[name] = box.address
            self.boxes[name] = box
        self.told |= {"port": await free_port(), "more": more}
        await self.start_ledger()
        await self.start_router()
        return self

    async def start_ledger(self):
        port = self.told.get("ledger") or await free_port()
        self.listeners = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        if "link" not in self.told:
            self.proxy = ProxiedLink(("127.0.0.1", port), random.Random(1))
            await self.proxy.start(self.tasks)
            self.told["link"] = self.proxy.port
        self.told["ledger"], self.ledger = (
            port,
            PurgeLogServer(self.disk, 300_000, RateLimitedLog("l", process.wall_clock)),
        )
        self.tasks.start_soon(self.ledger.run, list(self.listeners.listeners))

    async def stop_ledger(self):
        self.ledger.scope.cancel()
        for listener in self.listeners.listeners:
            listener.extra(anyio.abc.SocketAttribute.raw_socket).close()
        await anyio.sleep(0.05)

    async def start_router(self):
        self.path.write_text(PLAN % self.told)
        loaded = load(str(self.path))
        assert loaded.plan, [fault.shown() for fault in loaded.faults.errors]
        self.router, self.scope = (
            StandaloneProcess(str(self.path), loaded.plan, logger("error", "json")),
            anyio.CancelScope(),
        )

        async def run():
            with self.scope:
                await self.router.run()

        self.tasks.start_soon(run)
        while not self.router.listener.is_open:
            await anyio.sleep(0.01)
        self.client = Client(await anyio.connect_tcp("127.0.0.1", self.told["port"]))

    async def stop_router(self):
        """As if it were killed; what it listened at is free again."""
        self.scope.cancel()
        for raw in self.router.listener.sockets:
            raw.close()
        await anyio.sleep(0.05)
        self.told["port"] = await free_port()

    async def joined(self):
        """Until the router holds a lease."""
        while not self.router.fleet.lease.is_held(process.wall_clock()):
            await anyio.sleep(0.005)

    async def purge(self, kind, *values):
        return await LedgerClient([("127.0.0.1", self.told["ledger"])]).ask(PurgeRequest(kind, values))

    async def get(self, path="/a"):
        """When the copy was made that the router answers with, in us."""
        self.id += 1
        fields = {"HTTP_X_SUBJECT": None, "HTTP_X_CHUNK": None, "HTTP_X_DEADLINE_MS": "3000"}
        await self.client.begin(1, path=path, HTTP_X_CORRELATION_ID=f"{self.id:016x}", **fields)
        said = await self.client.end()
        return int(said.split(" ")[-4].strip("'")) if " 200 OK" in said else said


@pytest.fixture
def play(tmp_path):
    def play(scene):
        async def run():
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    await scene(Site(tmp_path, tasks))
                    tasks.cancel_scope.cancel()

        anyio.run(run, backend_options=process.BACKEND_OPTIONS)

    return play


@pytest.mark.parametrize(
    ("kind", "value"), [("object", "/a"), ("tag", "rose"), ("tag", "a"), ("pattern", "/a*"), ("all", None)]
)
def test_a_purge_holds_though_the_cache_was_told_nothing(play, kind, value):
    async def scene(site):
        await site.start()
        await site.joined()
        first = await site.get()
        assert await site.get() == first  # kept
        taken = await site.purge(kind, *([value] if value else []))
        await anyio.sleep(0.3)
        assert await site.get() >= taken.purged_at > first
        other = await site.get("/b")
        await site.purge("tag", "other")
        await anyio.sleep(0.3)
        assert await site.get("/b") == other

    play(scene)


def test_tags_that_the_router_never_saw_are_judged_by_the_answer(play):
    async def scene(site):
        await site.start()
        await site.joined()
        await site.get()
        site.router.fleet.object_tags.by_object.clear()
        taken = await site.purge("tag", "rose")
        await anyio.sleep(0.3)
        assert await site.get() >= taken.purged_at and site.router.fleet.stale_copies == 1

    play(scene)


def test_a_fill_that_a_purge_overtakes_is_asked_for_again_and_kept_nowhere(play):
    """The purge comes while the origin makes the copy: before that is answered, the grace is over."""

    async def scene(site):
        delays = [0.7, 0.0, 0.0, 0.0]
        await site.start(delay=lambda: delays.pop(0) if delays else 0.0)
        await site.joined()
        made = []

        async def ask():
            made.append(await site.get())

        async with anyio.create_task_group() as asking:
            asking.start_soon(ask)
            await anyio.sleep(0.1)
            taken = await site.purge("object", "/a")
        assert made[0] >= taken.purged_at and site.boxes["o"].requests == 2
        assert await site.get() == made[0]

    play(scene)


def test_cut_off_a_router_renews_and_returns_once_it_has_caught_up(play):
    async def scene(site):
        await site.start()
        await site.joined()
        first = await site.get()
        await site.stop_ledger()
        await anyio.sleep(0.4)
        renewed = await site.get()
        assert renewed > first
        assert await site.get() - renewed < 200_000  # copies of a lease will do
        await site.start_ledger()
        await site.joined()
        await anyio.sleep(0.4)
        kept = await site.get()
        await anyio.sleep(0.4)
        assert await site.get() == kept

    play(scene)


@pytest.mark.parametrize("kept", [True, False])
def test_a_router_that_restarts_knows_what_was_purged(play, kept):
    async def scene(site):
        await site.start(f'file: "{site.file}"' if kept else "")
        await site.joined()
        first = await site.get()
        taken = await site.purge("object", "/a")
        if kept:
            while not site.file.exists():
                await anyio.sleep(0.02)
        await site.stop_router()
        await site.start_router()
        assert site.router.state_machine.replica.applied_up_to == (1 if kept else 0)
        await site.joined()
        assert await site.get() >= taken.purged_at > first
        members = (await LedgerClient([("127.0.0.1", site.told["ledger"])]).ask(MembersQuery())).members
        assert [(m.name, m.applied_up_to) for m in members] == [("t-0", 1)]

    play(scene)


def test_old_copies_of_a_cache_that_missed_purges_are_not_trusted_once_marks_have_gone(play):
    async def scene(site):
        await site.start("life: 1s")
        await site.joined()
        first = await site.get()
        taken = await site.purge("object", "/a")
        while not site.router.fleet.index.expired_up_to:
            await anyio.sleep(0.05)
            site.router.fleet.expire(process.wall_clock())
        assert len(site.router.fleet.index) == 0
        assert await site.get() >= taken.purged_at > first

    play(scene)


@pytest.mark.parametrize(
    ("kind", "value"), [("object", "/a"), ("tag", "rose"), ("pattern", "/*"), ("all", None)]
)
def test_couriers_bring_a_purge_to_the_caches_that_it_names(play, kind, value):
    async def scene(site):
        await site.start()
        await site.joined()
        at, report = [("127.0.0.1", site.told["ledger"])], RateLimitedLog("courier", process.wall_clock)
        for name in ("n1", "p"):
            box = ("127.0.0.1", site.boxes[name].port)
            site.tasks.start_soon(DeliveryWorker(name, box, at, 300_000, report, 500.0).run)
        while site.router.fleet.caches_caught_up != {"n1": 0, "p": 0}:
            await anyio.sleep(0.01)
        await site.get()
        assert site.boxes["n1"].copies and site.boxes["p"].copies
        await site.purge(kind, *([value] if value else []))
        while site.router.fleet.caches_caught_up != {"n1": 1, "p": 1}:
            await anyio.sleep(0.01)
        assert not site.boxes["n1"].copies and not site.boxes["p"].copies
        client = LedgerClient(at)
        while not (
            status := await client.ask(StatusQuery())
        ).is_complete:  # the ledger's first lease may still run
            await anyio.sleep(0.01)
        assert status.delays["purges"] == 1

    play(scene)


def test_the_origin_is_trusted_and_a_link_without_connection_keeps_nothing(play):
    """The origin is no member: a copy straight from it needs no word that it has purged."""

    async def scene(site):
        await site.start("life: 1s")
        await site.joined()
        fleet, force = site.router.fleet, site.router.force
        fleet.index.expired_up_to, fleet.caches_caught_up = 1, {"n1": 1}
        ruling = force.rule(Asked("north", "", "/a", "GET", {}, {}), "")
        given = Forward(0, "n1", "o", 1, 0, True, False, 1_000_000, 1 << 62)
        fleet.caches_caught_up = {"n1": 1}
        assert force._oldest(ruling, given, fleet.lease.started_at) == 0
        assert force._oldest(ruling, replace(given, fill_source="p"), fleet.lease.started_at) == 1_000_000
        site.proxy.hold()
        await site.stop_ledger()
        while site.router.link.outgoing.lines is not None:
            await anyio.sleep(0.02)
        site.router.link.send(MemberLeave())
        assert site.router.link.outgoing.lines is None

    play(scene)


async def cut_off(site):
    """Purged while the router hears nothing: when the copy was made, and the purge taken."""
    site.proxy.hold()
    taken = await site.purge("object", "/a")
    await anyio.sleep(0.35)
    return taken


async def unseen(site):
    taken = await site.purge("tag", "rose")
    await anyio.sleep(0.35)
    site.router.fleet.object_tags.by_object.clear()
    return taken


async def forgotten(site):
    taken = await site.purge("object", "/a")
    while not site.router.fleet.index.expired_up_to:
        await anyio.sleep(0.05)
        site.router.fleet.expire(process.wall_clock())
    return taken


@pytest.mark.parametrize("out", [False, True])
@pytest.mark.parametrize(
    ("guard", "case"), [("lease", cut_off), ("judge", unseen), ("trust", forgotten), ("bound", unseen)]
)
def test_each_guard_is_what_keeps_a_purge(play, monkeypatch, guard, case, out):
    if out:
        monkeypatch.setattr(*MUTATIONS[guard])

    async def scene(site):
        await site.start("life: 1s")
        await site.joined()
        first = await site.get()
        taken = await case(site)
        said = await site.get()
        if out and guard == "bound":
            assert " 503 " in said  # every answer is an old one, and none is passed on
        else:
            assert said == first < taken.purged_at if out else said >= taken.purged_at

    play(scene)


@pytest.mark.parametrize("guard", [(), ("marks",)])
def test_a_fleet_under_load_keeps_all_purges_and_the_checker_sees_when_not(guard):
    tally = ScenarioReport()
    rehearse(3, tally, guard, 6.0, min_stale_copies=21 if guard else 0)
    old = [broken for broken in tally.broken if "with a copy" in broken]
    if guard:
        assert len(old) > 20, tally.figures
    else:
        assert not tally.broken, tally.broken[:3]
