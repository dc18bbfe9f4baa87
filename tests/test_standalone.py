"""Tests of a standalone router over loopback: limits, fallbacks, reloads, with one response a request."""

import io
import json
import os
import re
import signal

import anyio
import pytest
from conftest import frame
from standins import OK_RESPONSE, RouterHarness, free_port, with_tag_of_request

from quartzrouter.config.loader import load
from quartzrouter.fakes.loopback import request_heads
from quartzrouter.server import process
from quartzrouter.standalone.process import StandaloneProcess
from quartzrouter.standalone.structured_log import logger

SLOW = [0.15, OK_RESPONSE]
PLAN = """{
  deployment: { name: "t", home: "north", listen: "127.0.0.1:%(port)d", descriptors: 256 },
  stores: { north: { hub: "h" }, south: { hub: "h" } }, hubs: { h: {} },
  caches: {
    n1: { address: "%(north)s", at: "north" }, s1: { address: "%(south)s", at: "south" },
    p: { address: "%(hub)s", at: "h", tier: "parent" }, o: { address: "%(far)s", at: "h", tier: "origin" },
  },
  vhosts: { page: { effect: "replayable", client_timeout: 2s, first_byte_target: 1s, fresh_for: 8s } },
  pools: { near: { %(near)s }, far: { stores: "south" } },
  limits: { %(limits)s },
  routes: {
    media: { match: { path: "/m/{clip}/{part}.mp4" }, vhost: "page", pool: "far", group: "{clip}" },
    all: { match: {}, vhost: "page", pool: "near", limits: [%(on)s] },
  },
}"""


class StandaloneWorld(RouterHarness):
    """A standalone router, with a fake cache for each store and fakes for the parent and the origin.

    ``limits`` and ``near_pool`` are parts of the plan; ``served_by`` and ``heads`` list requests to caches.
    """

    limits = "few: { concurrent: 4 }"
    near_pool = ""

    def __init__(self, tmp_path):
        super().__init__(tmp_path)
        self.config_path = tmp_path / "main.plan"
        self.served_by = []
        self.heads = []
        self.delay = 0.0  # seconds before each response
        self.plan_values = {}  # addresses and the router's port

    def write_configuration(self, cache, journal, **settings):
        """Does nothing, as the platform's configuration isn't read."""

    def serve_as(self, name):
        """Returns the handler of a fake cache."""

        async def serve(stream):
            async with stream:
                async for head in request_heads(stream):
                    self.served_by.append(name)
                    self.heads.append(head.decode())
                    await anyio.sleep(self.delay)
                    await stream.send(with_tag_of_request(OK_RESPONSE, head))

        return serve

    def write_plan(self, **changes):
        """Writes the plan with some parts changed."""
        values = self.plan_values | {"limits": self.limits, "near": self.near_pool, "on": '"few"'} | changes
        self.config_path.write_text(PLAN % values)

    def run_scene(self, scene):
        """Runs a scene, an async function that takes a connect function, with a router in this process."""

        async def run():
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    for name in ("north", "south", "hub", "far"):
                        self.plan_values[name] = await self.start_server(tasks, self.serve_as(name))
                    self.plan_values["port"] = await free_port()
                    self.write_plan()
                    loaded = load(str(self.config_path))
                    assert loaded.plan, [fault.shown() for fault in loaded.faults.errors]
                    log = logger("info", "json")
                    self.router_process = StandaloneProcess(str(self.config_path), loaded.plan, log)
                    tasks.start_soon(self.router_process.run)
                    await scene(lambda: self.connect(self.plan_values["port"]))
                    tasks.cancel_scope.cancel()

        anyio.run(run, backend_options=process.BACKEND_OPTIONS)


@pytest.fixture
def world(tmp_path):
    return StandaloneWorld(tmp_path)


async def reload():
    os.kill(os.getpid(), signal.SIGHUP)
    await anyio.sleep(0.1)


def status(response):
    return re.search(r"Status: (\d+)|closed", response)[1]


def test_routes_pick_pools_and_name_objects(world):
    async def scene(connect):
        client = await connect()
        for id, path in enumerate(["/a", "/m/rose/3.mp4", "/m/rose/4.mp4", "/m/lily/3.mp4"], 1):
            await client.send_request(id, path=path, HTTP_X_SUBJECT=None, HTTP_X_CHUNK=None)
            assert status(await client.receive_response()) == "200"
        await client.send_request(9, path="/a", REQUEST_METHOD="BREW")
        assert status(await client.receive_response()) == "400"

    world.run_scene(scene)
    assert world.served_by == ["north", "south", "south", "south"]
    targets = [head.split()[1] for head in world.heads]
    assert targets[1].startswith("/x/page/") and targets[1].endswith("/3") and targets[2].endswith("/4")
    assert targets[1][:-2] == targets[2][:-2] != targets[3][:-2]  # chunks of one object have one key
    assert "X-Path: /m/rose/3.mp4" in world.heads[1]


def test_a_request_over_a_limit_never_reaches_a_cache(world):
    world.delay = 0.3

    async def scene(connect):
        client = await connect()
        for id in range(1, 13):
            await client.send_request(id, path=f"/{id}")
        responses = [await client.receive_response() for _ in range(12)]
        assert sorted(map(status, responses)) == ["200"] * 4 + ["503"] * 8
        await client.send_request(20, path="/a")
        assert status(await client.receive_response()) == "200"

    world.run_scene(scene)
    assert len(world.served_by) == 5
    assert (
        world.router_process.state_machine.rejected_by_limit == {"few": 8}
        and not world.router_process.multi_pool_router.limits.held_keys
    )


def test_a_rate_limit_counts_each_client_apart(world):
    world.limits = 'few: { per: "client", rate: 5/s, burst: 2 }'

    async def scene(connect):
        client = await connect()
        responses = []
        for id in range(1, 41):
            await client.send_request(id, path=f"/{id}", HTTP_X_CLIENT="a" if id % 2 else "b")
            responses.append(status(await client.receive_response()))
            await anyio.sleep(0.02)
        assert 2 * 2 + 4 <= responses.count("200") <= 2 * (2 + 5 * 1.2)  # two clients, 0.8 s or a little more

    world.run_scene(scene)


def test_a_reload_under_load_answers_every_request_once(world, capsys):
    """The plan changes three times, once to an invalid one, while requests arrive: each has one response."""
    world.delay = 0.02

    async def scene(connect):
        responses = []

        async def send_requests(first):
            client = await connect()
            for id in range(first, first + 60):
                await client.send_request(id, path=f"/m/{id}/1.mp4" if id % 2 else f"/{id}")
                responses.append(status(await client.receive_response()))

        async with anyio.create_task_group() as tasks:
            for n in range(4):
                tasks.start_soon(send_requests, 1 + 100 * n)
            await anyio.sleep(0.2)
            world.write_plan(limits="few: { concurrent: 3 }, more: { rate: 1000/s }", on='"few", "more"')
            await reload()
            world.write_plan(limits="broken")
            await reload()
            world.write_plan(near='stores: ["south"]')
            os.kill(os.getpid(), signal.SIGHUP)
            await reload()
        assert len(responses) == 240 and set(responses) <= {"200", "503"} and responses.count("200") > 150
        assert (
            not world.router_process.multi_pool_router.routers_by_request
            and not world.router_process.multi_pool_router.limits.held_keys
        )

    world.run_scene(scene)
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    reloads = [line["event"] for line in lines if line["kind"] == "process" and "SIGHUP" in line["event"]]
    assert [("nothing changes" in line) for line in reloads] == [False, True, False, False]
    assert "main.plan:" in reloads[1]
    assert "north" in world.served_by and world.served_by[-1] == "south"


def test_a_plan_that_empties_a_pool_leaves_in_flight_requests_alone(world):
    """A new plan leaves a pool without caches; a request that is in flight there is nevertheless finished."""
    world.delay = 0.3

    async def scene(connect):
        client = await connect()
        await client.send_request(1, path="/a")
        await anyio.sleep(0.1)
        text = world.config_path.read_text()
        other = 'n9: { address: "127.0.0.1:1", at: "north", kind: "other" }, s1: {'
        text = text.replace("s1: {", other).replace("near: {  }", 'near: { kinds: "other" }')
        world.config_path.write_text(text)
        await reload()
        assert status(await client.receive_response()) == "200"
        await client.send_request(2, path="/b")
        assert status(await client.receive_response()) in ("503", "502", "500")

    world.run_scene(scene)


def test_each_reload_names_what_stays_as_the_process_was_started(world, capsys):
    """A key that needs a restart was changed; the second reload has to name it again."""

    async def scene(connect):
        await connect()
        text = world.config_path.read_text()
        world.config_path.write_text(text.replace("descriptors: 256", "descriptors: 300, routers: 3"))
        await reload()
        await reload()
        world.config_path.write_text(text)
        await reload()

    world.run_scene(scene)
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines() if line.startswith("{")]
    reloads = [line["event"] for line in lines if line["kind"] == "process" and "in force" in line["event"]]
    kept = [event.partition("; ")[2] for event in reloads]
    assert kept == ["descriptors kept until the next start", "descriptors kept until the next start", ""]


def test_the_fallback_serves_while_caches_are_gone(world):
    """All caches of a pool fail: its fallback serves requests after a while."""
    world.near_pool = 'fallback: "far", at_least: 1, back_after: 200ms'

    async def scene(connect):
        client = await connect()
        await client.send_request(1, path="/a")
        await client.receive_response()
        text = world.config_path.read_text()
        world.config_path.write_text(
            text.replace(world.plan_values["north"], "127.0.0.1:1")
        )  # a port on which nothing listens
        await reload()
        statuses = []
        for id in range(2, 12):
            await client.send_request(id, path=f"/{id}")
            statuses.append(status(await client.receive_response()))
            await anyio.sleep(0.06)
        assert statuses[-5:] == ["200"] * 5

    world.run_scene(scene)
    assert world.served_by[0] == "north" and world.served_by[-1] == "south"


def test_sigterm_and_a_reload_at_once_lose_nothing(world):
    """SIGTERM and SIGHUP arrive together: requests in flight and later ones are answered."""
    world.delay = 0.4

    async def scene(connect):
        client = await connect()
        await client.send_request(1, path="/a")
        await anyio.sleep(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        world.write_plan(limits="few: { concurrent: 1 }")
        await reload()
        assert status(await client.receive_response()) == "200"
        await client.send_request(2, path="/b")
        assert status(await client.receive_response()) == "200"

    world.run_scene(scene)


def test_a_plan_may_follow_a_discovery_service(world):
    async def scene(connect):
        await connect()
        with anyio.move_on_after(1):
            while not world.requests:
                await anyio.sleep(0.02)

    write_plan = StandaloneWorld.write_plan

    def with_journal(self, **changes):
        write_plan(self, **changes)
        text = self.config_path.read_text()
        self.config_path.write_text(
            text.replace('home: "north",', f'home: "north", journal: "{self.plan_values["hub"]}",')
        )

    world.write_plan = with_journal.__get__(world)
    world.discovery_frames = [frame(2, 0)]

    async def journal(stream):
        async with stream:
            world.requests.append(f"journal from {int.from_bytes(await stream.receive(8), 'big')}")
            await anyio.sleep(1)

    serve_as = world.serve_as
    world.serve_as = lambda name: journal if name == "hub" else serve_as(name)
    world.run_scene(scene)
    assert world.requests[0] == "journal from 1"


def test_logs_are_logfmt_or_json_with_levels(capsys):
    out = io.StringIO()
    logger("warning", "logfmt", out).info("not written")
    logger("warning", "logfmt", out).warning("written", kind="client", router="r 1")
    line = out.getvalue()
    assert (
        line.count("\n") == 1
        and "event=written" in line
        and 'router="r 1"' in line
        and "level=warning" in line
    )


def test_an_in_flight_request_outlives_its_class_and_route(world, capsys):
    """A new plan lacks the traffic class and the route of a request in flight: it ends without fault."""
    world.delay = 0.3

    async def scene(connect):
        client = await connect()
        await client.send_request(1, path="/a")
        await anyio.sleep(0.1)
        world.config_path.write_text(
            world.config_path.read_text().replace("page", "leaf").replace("all:", "every:")
        )
        await reload()
        assert status(await client.receive_response()) == "200"
        await client.send_request(2, path="/b")
        assert status(await client.receive_response()) == "200"

    world.run_scene(scene)
    assert "fault" not in capsys.readouterr().err


def test_a_plan_without_the_home_store_changes_nothing(world, capsys):
    """A new plan lacks the store in which the router is located: it is refused with a log line, and the old
    plan stays in force.
    """

    async def scene(connect):
        client = await connect()
        text = (
            world.config_path.read_text()
            .replace('home: "north"', 'home: "south"')
            .replace("north: {", "west: {")
        )
        world.config_path.write_text(text.replace('at: "north"', 'at: "west"'))
        await reload()
        await client.send_request(1, path="/a")
        assert status(await client.receive_response()) == "200"

    world.run_scene(scene)
    assert "nothing changes: the home store 'north' is missing from the plan" in capsys.readouterr().err


def test_a_request_rejected_behind_its_limits_gives_them_back(world):
    """A request passes its limits and is then rejected because of its id: it releases the limits."""
    world.delay = 0.2

    async def scene(connect):
        client = await connect()
        await client.send_request(1, path="/a")
        await client.send_request(2, path="/b", HTTP_X_CORRELATION_ID=f"{1:016x}")
        assert status(await client.receive_response()) == "409"
        assert len(world.router_process.multi_pool_router.routers_by_request) == 1
        assert status(await client.receive_response()) == "200"

    world.run_scene(scene)
    multi_pool_router = world.router_process.multi_pool_router
    assert (
        not multi_pool_router.routers_by_request
        and not multi_pool_router.selections_by_request
        and not multi_pool_router.limits.held_keys
    )
