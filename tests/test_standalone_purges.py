"""Tests of a standalone router as a member of a purge log, over loopback: it must not serve stale copies."""

import random
import re
from dataclasses import replace

import anyio
import pytest

from quartzrouter.config.loader import load
from quartzrouter.config.purge_settings import settle_time_of
from quartzrouter.config.request_sets import RouteQuery
from quartzrouter.fakes.caches import PurgeableCache
from quartzrouter.fakes.faulty_disk import FaultyDisk
from quartzrouter.fakes.loopback import Client, free_port
from quartzrouter.fault_harness.mutations import MUTATIONS
from quartzrouter.fault_harness.proxied_links import ProxiedLink
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.fault_scenarios.purges import rehearse
from quartzrouter.purge_log.delivery import (
    DeliverySettings,
    DeliveryTarget,
    DeliveryWorker,
    delivery_workers,
)
from quartzrouter.purge_log.query_client import QueryClient
from quartzrouter.purge_log.server import PurgeLogServer
from quartzrouter.purges.messages import MemberLeave, MembersQuery, PurgeRequest, StatusQuery
from quartzrouter.routing.model import Forward
from quartzrouter.server import process
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.standalone.process import StandaloneProcess
from quartzrouter.standalone.structured_log import logger

SECOND = 1_000_000  # in microseconds
GRACE_US = 300_000
SHORT_TIMES = {
    "purge_settings": "life: 3s",
    "client_timeout": "1s",
}  # options of start(): with them a purge settles in 2.3 s

PLAN = """{
  deployment: { name: "t", home: "north", listen: "127.0.0.1:%(port)d", descriptors: 256 },
  stores: { north: { hub: "h" } }, hubs: { h: {} },
  caches: {
    n1: { address: "%(n1)s", at: "north", weight: 40 },
    p: { address: "%(p)s", at: "h", tier: "parent", weight: 40 },
    o: { address: "%(o)s", at: "h", tier: "origin", weight: 40 },
  },
  vhosts: { page: { effect: "replayable", client_timeout: %(client_timeout)s } },
  purges: { ledgers: "127.0.0.1:%(proxy)d", %(purge_settings)s },
  pools: { near: {} }, routes: { all: { match: {}, vhost: "page", pool: "near" } },
}"""


class Deployment:
    """One router, one cache, a parent, an origin and a purge log, with a proxied link to the purge log.

    :param tasks: the task group that runs them.
    """

    def __init__(self, tmp_path, tasks):
        self.plan_path = tmp_path / "main.plan"
        self.stored_purges_path = tmp_path / "marks"
        self.tasks = tasks
        self.ports = {}  # ports of the processes that listen here, by name
        self.request_id = 0
        self.disk = FaultyDisk()  # the purge log's disk
        self.caches = {}
        self.purge_settings = ""
        self.client_timeout = ""

    async def start(self, purge_settings="", making_time=lambda: 0.0, client_timeout="3s"):
        """Starts the caches, the purge log and the router.

        :param purge_settings: settings of the plan, as plan text.
        :param making_time: returns the seconds that the origin takes to make a copy.
        :param client_timeout: a duration, as plan text.
        """
        self.purge_settings = purge_settings
        self.client_timeout = client_timeout
        addresses, rng = {}, random.Random(1)
        for name in ("n1", "p", "o"):
            is_origin = name == "o"
            cache = PurgeableCache(
                name,
                addresses,
                rng,
                is_origin,
                5 * SECOND,
                tags_of=lambda path: "rose, " + path[1:],
                fill_source="o",
            )
            if is_origin:
                cache.delay = making_time
            await cache.start(self.tasks)
            addresses[name] = cache.address
            self.caches[name] = cache
        self.ports["router"] = await free_port()
        self.ports["purge log"] = await free_port()
        self.proxy = ProxiedLink(("127.0.0.1", self.ports["purge log"]), random.Random(1))
        await self.proxy.start(self.tasks)
        await self.start_purge_log()
        await self.start_router()

    async def start_purge_log(self):
        port = self.ports["purge log"]
        self.listeners = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.purge_log = PurgeLogServer(self.disk, GRACE_US, RateLimitedLog("l", process.wall_clock))
        self.tasks.start_soon(self.purge_log.run, list(self.listeners.listeners))

    async def stop_purge_log(self):
        self.purge_log.scope.cancel()
        for listener in self.listeners.listeners:
            listener.extra(anyio.abc.SocketAttribute.raw_socket).close()
        await anyio.sleep(0.05)

    async def start_router(self):
        settings = {name: cache.address for name, cache in self.caches.items()}
        settings["port"] = self.ports["router"]
        settings["proxy"] = self.proxy.port
        settings["purge_settings"] = self.purge_settings
        settings["client_timeout"] = self.client_timeout
        self.plan_path.write_text(PLAN % settings)
        loaded = load(str(self.plan_path))
        assert loaded.plan, [fault.shown() for fault in loaded.faults.errors]
        self.router = StandaloneProcess(str(self.plan_path), loaded.plan, logger("error", "json"))
        self.restored_up_to = self.router.state_machine.replica.applied_up_to  # read before it connects
        self.router_scope = anyio.CancelScope()

        async def run():
            with self.router_scope:
                await self.router.run()

        self.tasks.start_soon(run)
        while not self.router.listener.is_open:
            await anyio.sleep(0.01)
        self.client = Client(await anyio.connect_tcp("127.0.0.1", self.ports["router"]))

    async def stop_router(self):
        """Stops the router as if it were killed, and frees its port."""
        self.router_scope.cancel()
        for raw_socket in self.router.listener.sockets:
            raw_socket.close()
        await anyio.sleep(0.05)
        self.ports["router"] = await free_port()

    @property
    def fleet_purges(self):
        return self.router.fleet

    @property
    def purge_log_address(self):
        return ("127.0.0.1", self.ports["purge log"])

    async def holds_lease(self):
        """Waits until the router holds a lease."""
        while not self.fleet_purges.lease.is_held(process.wall_clock()):
            await anyio.sleep(0.005)

    async def ask(self, message):
        return await QueryClient([self.purge_log_address]).ask(message)

    async def purge(self, kind, *values):
        return await self.ask(PurgeRequest(kind, values))

    async def get(self, path="/a"):
        """Returns when the served copy was made, in microseconds, or the response if it brings no copy."""
        self.request_id += 1
        fields = {"HTTP_X_SUBJECT": None, "HTTP_X_CHUNK": None, "HTTP_X_DEADLINE_MS": "3000"}
        await self.client.send_request(
            1, path=path, HTTP_X_CORRELATION_ID=f"{self.request_id:016x}", **fields
        )
        response = await self.client.receive_response()
        return int(response.split(" ")[-4].strip("'")) if " 200 OK" in response else response

    async def get_under_lease(self, path="/a"):
        """Returns what get() does, once the router holds a lease; without one it would renew copies."""
        await self.holds_lease()
        return await self.get(path)


@pytest.fixture
def run_with_deployment(tmp_path):
    def run_with_deployment(body):
        async def run():
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    await body(Deployment(tmp_path, tasks))
                    tasks.cancel_scope.cancel()

        anyio.run(run, backend_options=process.BACKEND_OPTIONS)

    return run_with_deployment


@pytest.mark.parametrize(
    ("kind", "value"), [("object", "/a"), ("tag", "rose"), ("tag", "a"), ("pattern", "/a*"), ("all", None)]
)
def test_a_purge_holds_without_delivery_to_the_cache(run_with_deployment, kind, value):
    """Nothing delivers purges, so the cache keeps its old copy; it must not be served after the grace."""

    async def body(deployment):
        await deployment.start()
        first = await deployment.get_under_lease()
        assert await deployment.get_under_lease() == first
        accepted = await deployment.purge(kind, *([value] if value else []))
        await anyio.sleep(0.3)
        assert await deployment.get() >= accepted.purged_at > first
        other = await deployment.get_under_lease("/b")
        await deployment.purge("tag", "other")
        await anyio.sleep(0.3)
        assert await deployment.get_under_lease("/b") == other

    run_with_deployment(body)


def test_a_purge_by_an_unknown_tag_holds_by_the_tags_of_the_response(run_with_deployment):
    """The router knows no tags of the object, so it accepts any copy, and requests a stale one again."""

    async def body(deployment):
        await deployment.start()
        await deployment.get_under_lease()
        deployment.fleet_purges.object_tags.by_object.clear()
        accepted = await deployment.purge("tag", "rose")
        await anyio.sleep(0.3)
        assert await deployment.get() >= accepted.purged_at and deployment.fleet_purges.stale_copies == 1

    run_with_deployment(body)


# Guards against a purged copy that is served because its tag stands in another line than the response's last.
@pytest.mark.parametrize(
    "lines",
    [
        "Cache-Tag: rose\r\nCache-Tag: care-sheet",
        "Surrogate-Key: rose leaf\r\nSurrogate-Key: care-sheet",
        'Cache-Groups: "rose"\r\nCache-Groups: "care-sheet"',
    ],
)
def test_a_purge_by_any_tag_holds_if_tags_stand_in_several_lines(run_with_deployment, monkeypatch, lines):
    monkeypatch.setattr(
        PurgeableCache,
        "respond",
        _with_tag_lines(PurgeableCache.respond, lines),
    )

    async def body(deployment):
        await deployment.start()
        await deployment.get_under_lease()
        accepted = await deployment.purge("tag", "rose")
        await anyio.sleep(0.3)
        assert await deployment.get() >= accepted.purged_at

    run_with_deployment(body)


def _with_tag_lines(respond, lines):
    """Returns a method that responds as a cache which writes its tags in these lines."""

    async def respond_with_lines(cache, *arguments):
        response = await respond(cache, *arguments)
        return re.sub(rb"Cache-Tag: [^\r]*", lines.encode(), response) if cache.name == "n1" else response

    return respond_with_lines


def test_a_fill_overtaken_by_a_purge_is_repeated_and_not_kept(run_with_deployment):
    """A purge arrives while the origin makes the copy, and the grace ends before the origin responds."""

    async def body(deployment):
        making_times = [0.7, 0.0, 0.0, 0.0]
        await deployment.start(making_time=lambda: making_times.pop(0) if making_times else 0.0)
        await deployment.holds_lease()
        made_at = []

        async def request():
            made_at.append(await deployment.get())

        async with anyio.create_task_group() as requests:
            requests.start_soon(request)
            await anyio.sleep(0.1)
            accepted = await deployment.purge("object", "/a")
        assert made_at[0] >= accepted.purged_at and deployment.caches["o"].requests == 2
        assert await deployment.get_under_lease() == made_at[0]

    run_with_deployment(body)


def test_a_router_that_is_cut_off_renews_copies_until_it_has_caught_up(run_with_deployment):
    """The purge log is down for a while: until it is back, the router accepts no copy older than a lease."""

    async def body(deployment):
        await deployment.start()
        first = await deployment.get_under_lease()
        await deployment.stop_purge_log()
        await anyio.sleep(0.4)
        renewed = await deployment.get()
        assert renewed > first
        assert await deployment.get() - renewed < 200_000
        await deployment.start_purge_log()
        await deployment.holds_lease()
        await anyio.sleep(0.4)
        kept = await deployment.get_under_lease()
        await anyio.sleep(0.4)
        assert await deployment.get_under_lease() == kept

    run_with_deployment(body)


@pytest.mark.parametrize("is_stored", [True, False])
def test_a_restarted_router_knows_earlier_purges(run_with_deployment, is_stored):
    """A router restarts right after a purge, with or without stored purges; the cache has the old copy."""

    async def body(deployment):
        await deployment.start(f'file: "{deployment.stored_purges_path}"' if is_stored else "")
        first = await deployment.get_under_lease()
        accepted = await deployment.purge("object", "/a")
        if is_stored:
            while not deployment.stored_purges_path.exists():
                await anyio.sleep(0.02)
        await deployment.stop_router()
        await deployment.start_router()
        assert deployment.restored_up_to == (1 if is_stored else 0)
        await deployment.holds_lease()
        assert await deployment.get() >= accepted.purged_at > first
        members = (await deployment.ask(MembersQuery())).members
        assert [(member.name, member.applied_up_to) for member in members] == [("t-0", 1)]

    run_with_deployment(body)


def test_old_copies_of_a_cache_that_lacks_expired_purges_are_not_trusted(run_with_deployment):
    """A purge has expired from the router's index, and a cache that never received it has its old copy."""

    async def body(deployment):
        await deployment.start(**SHORT_TIMES)
        first = await deployment.get_under_lease()
        accepted = await deployment.purge("object", "/a")
        await wait_until_index_expired(deployment)
        assert len(deployment.fleet_purges.index) == 0
        assert await deployment.get() >= accepted.purged_at > first

    run_with_deployment(body)


async def wait_until_index_expired(deployment):
    """Waits until the router's index no longer holds the purge."""
    while not deployment.fleet_purges.index.expired_up_to:
        await anyio.sleep(0.05)
        deployment.fleet_purges.expire(process.wall_clock())


@pytest.mark.parametrize(
    ("kind", "value"), [("object", "/a"), ("tag", "rose"), ("pattern", "/*"), ("all", None)]
)
def test_delivery_workers_deliver_purges_to_caches(run_with_deployment, kind, value):
    """Caches drop their copies, the router learns that they have purged, and the purge is complete."""

    async def body(deployment):
        await deployment.start()
        await deployment.holds_lease()
        report = RateLimitedLog("courier", process.wall_clock)
        for name in ("n1", "p"):
            address = ("127.0.0.1", deployment.caches[name].port)
            worker = DeliveryWorker(name, address, [deployment.purge_log_address], GRACE_US, report, 500.0)
            deployment.tasks.start_soon(worker.run)
        while deployment.fleet_purges.caches_caught_up != {"n1": 0, "p": 0}:
            await anyio.sleep(0.01)
        await deployment.get()
        assert deployment.caches["n1"].copies and deployment.caches["p"].copies
        await deployment.purge(kind, *([value] if value else []))
        while deployment.fleet_purges.caches_caught_up != {"n1": 1, "p": 1}:
            await anyio.sleep(0.01)
        assert not deployment.caches["n1"].copies and not deployment.caches["p"].copies
        # The purge is complete only after the first lease.
        while not (status := await deployment.ask(StatusQuery())).is_complete:
            await anyio.sleep(0.01)
        assert status.delays["purges"] == 1

    run_with_deployment(body)


def test_the_origin_is_trusted_and_messages_without_a_connection_are_dropped(run_with_deployment):
    """The origin is no member: a copy directly from it is valid without an acknowledgement by the origin.

    A message sent to the purge log without a connection is dropped, not kept for the next connection.
    """

    async def body(deployment):
        await deployment.start(**SHORT_TIMES)
        await deployment.holds_lease()
        fleet_purges, multi_pool_router = deployment.fleet_purges, deployment.router.multi_pool_router
        fleet_purges.index.expired_up_to = 1
        fleet_purges.caches_caught_up = {"n1": 1}
        route = multi_pool_router.select_route(RouteQuery("north", "", "/a", "GET", {}, {}), "")
        from_origin = Forward(0, "n1", "o", 1, 0, True, False, 1_000_000, 1 << 62)
        from_parent = replace(from_origin, fill_source="p")
        now = fleet_purges.lease.started_at
        assert multi_pool_router.purge_bounds.max_age(route, from_origin, now) == 0
        assert multi_pool_router.purge_bounds.max_age(route, from_parent, now) == 3 * SECOND
        deployment.proxy.block()
        await deployment.stop_purge_log()
        client = deployment.router.member_client
        while client.is_connected:
            await anyio.sleep(0.02)
        client.send(MemberLeave())
        assert client.outgoing.lines is None

    run_with_deployment(body)


async def purge_while_cut_off(deployment):
    deployment.proxy.block()
    accepted = await deployment.purge("object", "/a")
    await anyio.sleep(0.35)
    return accepted


async def purge_by_unseen_tag(deployment):
    accepted = await deployment.purge("tag", "rose")
    await anyio.sleep(0.35)
    deployment.fleet_purges.object_tags.by_object.clear()
    return accepted


async def purge_until_expired(deployment):
    accepted = await deployment.purge("object", "/a")
    await wait_until_index_expired(deployment)
    return accepted


@pytest.mark.parametrize("is_guard_removed", [False, True])
@pytest.mark.parametrize(
    ("guard", "purge_in_case"),
    [
        ("lease", purge_while_cut_off),
        ("judge", purge_by_unseen_tag),
        ("trust", purge_until_expired),
        ("bound", purge_by_unseen_tag),
    ],
)
def test_a_purge_does_not_hold_without_each_guard(
    run_with_deployment, monkeypatch, guard, purge_in_case, is_guard_removed
):
    """One failure for each guard: with the guard the old copy is not served, without it the old copy is.

    Without the bound on ages, no cache is asked for a younger copy, so the router has none to serve.
    """
    if is_guard_removed:
        monkeypatch.setattr(*MUTATIONS[guard])

    async def body(deployment):
        await deployment.start(**SHORT_TIMES)
        first = await deployment.get_under_lease()
        accepted = await purge_in_case(deployment)
        response = await deployment.get()
        if not is_guard_removed:
            assert response >= accepted.purged_at
        elif guard == "bound":
            assert " 503 " in response
        else:
            assert response == first < accepted.purged_at

    run_with_deployment(body)


MIN_STALE_COPIES = 21  # stale copies that the checker must find without the purge index


@pytest.mark.parametrize("guard", [(), ("marks",)])
def test_a_fleet_under_load_serves_no_stale_copy_and_the_checker_finds_those_of_a_mutation(guard):
    """Partitions, kills, a burst of purges, an unreachable cache: no response contains a stale copy.

    Without the purge index in the routers, the checker must find many, or it would prove nothing. The number
    of requests in a given time depends on the machine, so the load continues until that many are found.
    """
    report = ScenarioReport()
    rehearse(3, report, guard, 21.0, min_stale_copies=MIN_STALE_COPIES if guard else 0)
    stale_copies = [line for line in report.broken if "with a copy" in line]
    if guard:
        assert len(stale_copies) >= MIN_STALE_COPIES, report.figures
    else:
        assert not report.broken, report.broken[:3]


ROUTER_HEADERS = {"x-parent": "p", "x-opts": "ride", "x-fresh-ms": "200"}
SLOW_FILL_SECONDS = 0.8  # seconds that the origin takes to make the copy while the purge arrives


@pytest.mark.parametrize(
    ("kind", "value"), [("object", "/a"), ("tag", "rose"), ("pattern", "/a*"), ("all", None)]
)
def test_a_fill_that_started_before_a_purge_leaves_no_lasting_old_copy(run_with_deployment, kind, value):
    """A cache that has purged joins a parent's older fill; its copy outlives the index entry of the purge."""

    async def body(deployment):
        making_times = []
        await deployment.start(making_time=lambda: making_times.pop() if making_times else 0.0, **SHORT_TIMES)
        start_delivery(deployment)
        while deployment.fleet_purges.caches_caught_up != {"n1": 0, "p": 0}:
            await anyio.sleep(0.01)
        await deployment.get_under_lease()
        cache, parent = deployment.caches["n1"], deployment.caches["p"]
        (key,) = cache.copies
        cache.copies.clear()
        parent.copies.clear()
        making_times.append(SLOW_FILL_SECONDS)
        headers = {"x-path": "/a", "x-rank": "1"}
        target = f"/x/{key.vhost}/{key.object_key}/{key.chunk}"
        deployment.tasks.start_soon(parent.respond, "GET", target, headers)  # like a fill of another cache
        await anyio.sleep(0.2)
        accepted = await deployment.purge(kind, *([value] if value else []))
        while not (await deployment.ask(StatusQuery())).is_complete:
            await anyio.sleep(0.01)
        # Requests as a router does that knows the purge, for a client that is gone when the copy arrives.
        await cache.respond("GET", target, headers | ROUTER_HEADERS)
        assert parent.merged_requests == 1
        assert cache.copies[key].made_at < accepted.purged_at
        await wait_until_index_expired(deployment)
        assert await deployment.get() >= accepted.purged_at

    run_with_deployment(body)


def start_delivery(deployment):
    """Starts the delivery of purges to all caches and the parent, as `purge deliver` does."""
    targets = {
        name: DeliveryTarget(("127.0.0.1", cache.port), is_parent=name == "p")
        for name, cache in deployment.caches.items()
        if not cache.is_origin
    }
    plan = load(str(deployment.plan_path)).plan
    settings = DeliverySettings(GRACE_US, 500.0, settle_time_of(plan.purges, plan.vhosts))
    report = RateLimitedLog("courier", process.wall_clock)
    for worker in delivery_workers(targets, [deployment.purge_log_address], settings, report):
        deployment.tasks.start_soon(worker.run)
