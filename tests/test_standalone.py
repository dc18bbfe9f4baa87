"""A router under a plan, over loopback: limits, fallbacks, reloads, with every req answered once."""

import io
import json
import os
import re
import signal

import anyio
import pytest
from conftest import frame
from standins import OK_RESPONSE, World, free_port, with_tag_of_request

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


class Site(World):
    """A router under a plan, with a stand-in for each store, the hub and the origin."""

    limits, near = "few: { concurrent: 4 }", ""

    def __init__(self, tmp_path):
        super().__init__(tmp_path)
        self.config_path, self.where, self.delay, self.heads = tmp_path / "main.plan", [], 0.0, []

    def write_configuration(self, cache, journal, **other):
        """Nothing of the platform's is told."""

    def at(self, name):
        async def answer(stream):
            async with stream:
                async for head in request_heads(stream):
                    self.where.append(name)
                    self.heads.append(head.decode())
                    await anyio.sleep(self.delay)
                    await stream.send(with_tag_of_request(OK_RESPONSE, head))

        return answer

    def write(self, **other):
        told = self.told | {"limits": self.limits, "near": self.near, "on": '"few"'} | other
        self.config_path.write_text(PLAN % told)

    def play_site(self, scene):
        self.discovery_frames = []

        async def run():
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    names = ("north", "south", "hub", "far")
                    self.told = {name: await self.start_server(tasks, self.at(name)) for name in names}
                    self.told["port"] = await free_port()
                    self.write()
                    loaded = load(str(self.config_path))
                    assert loaded.plan, [fault.shown() for fault in loaded.faults.errors]
                    self.router_process = StandaloneProcess(
                        str(self.config_path), loaded.plan, logger("info", "json")
                    )
                    tasks.start_soon(self.router_process.run)
                    await scene(lambda: self.connect(self.told["port"]))
                    tasks.cancel_scope.cancel()

        anyio.run(run, backend_options=process.BACKEND_OPTIONS)


@pytest.fixture
def site(tmp_path):
    return Site(tmp_path)


async def hup():
    os.kill(os.getpid(), signal.SIGHUP)
    await anyio.sleep(0.1)


def status(said):
    return re.search(r"Status: (\d+)|closed", said)[1]


def test_routes_pick_pools_and_name_objects(site):
    async def scene(connect):
        client = await connect()
        for id, path in enumerate(["/a", "/m/rose/3.mp4", "/m/rose/4.mp4", "/m/lily/3.mp4"], 1):
            await client.send_request(id, path=path, HTTP_X_SUBJECT=None, HTTP_X_CHUNK=None)
            assert status(await client.receive_response()) == "200"
        await client.send_request(9, path="/a", REQUEST_METHOD="BREW")
        assert status(await client.receive_response()) == "400"

    site.play_site(scene)
    assert site.where == ["north", "south", "south", "south"]
    targets = [head.split()[1] for head in site.heads]
    assert targets[1].startswith("/x/page/") and targets[1].endswith("/3") and targets[2].endswith("/4")
    assert targets[1][:-2] == targets[2][:-2] != targets[3][:-2]  # parts of one object
    assert "X-Path: /m/rose/3.mp4" in site.heads[1]


def test_a_request_over_a_limit_never_reaches_a_cache(site):
    site.delay = 0.3

    async def scene(connect):
        client = await connect()
        for id in range(1, 13):
            await client.send_request(id, path=f"/{id}")
        said = [await client.receive_response() for _ in range(12)]
        assert sorted(map(status, said)) == ["200"] * 4 + ["503"] * 8
        await client.send_request(20, path="/a")
        assert status(await client.receive_response()) == "200"

    site.play_site(scene)
    assert len(site.where) == 5
    assert (
        site.router_process.state_machine.rejected_by_limit == {"few": 8}
        and not site.router_process.force.limits.held_keys
    )


def test_a_rate_limit_counts_each_client_apart(site):
    site.limits = 'few: { per: "client", rate: 5/s, burst: 2 }'

    async def scene(connect):
        client = await connect()
        said = []
        for id in range(1, 41):
            await client.send_request(id, path=f"/{id}", HTTP_X_CLIENT="a" if id % 2 else "b")
            said.append(status(await client.receive_response()))
            await anyio.sleep(0.02)
        assert 2 * 2 + 4 <= said.count("200") <= 2 * (2 + 5 * 1.2)  # two clients, 0.8 s or a little more

    site.play_site(scene)


def test_a_reload_under_load_answers_every_request_once(site, capsys):
    """The plan changes three times, once for the worse, while requests come: each has one response."""
    site.delay = 0.02

    async def scene(connect):
        said = []

        async def ask(first):
            client = await connect()
            for id in range(first, first + 60):
                await client.send_request(id, path=f"/m/{id}/1.mp4" if id % 2 else f"/{id}")
                said.append(status(await client.receive_response()))

        async with anyio.create_task_group() as tasks:
            for n in range(4):
                tasks.start_soon(ask, 1 + 100 * n)
            await anyio.sleep(0.2)
            site.write(limits="few: { concurrent: 3 }, more: { rate: 1000/s }", on='"few", "more"')
            await hup()
            site.write(limits="broken")
            await hup()
            site.write(near='stores: ["south"]')
            os.kill(os.getpid(), signal.SIGHUP)
            await hup()
        assert len(said) == 240 and set(said) <= {"200", "503"} and said.count("200") > 150
        assert not site.router_process.force.router_of and not site.router_process.force.limits.held_keys

    site.play_site(scene)
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    told = [line["event"] for line in lines if line["kind"] == "process" and "SIGHUP" in line["event"]]
    assert [("nothing changes" in line) for line in told] == [False, True, False, False]
    assert "main.plan:" in told[1]
    assert "north" in site.where and site.where[-1] == "south"


def test_a_plan_that_empties_a_pool_leaves_in_flight_requests_alone(site):
    """A new plan leaves a pool without caches while a request is in flight there: it is finished."""
    site.delay = 0.3

    async def scene(connect):
        client = await connect()
        await client.send_request(1, path="/a")
        await anyio.sleep(0.1)
        text = site.config_path.read_text()
        other = 'n9: { address: "127.0.0.1:1", at: "north", kind: "other" }, s1: {'
        text = text.replace("s1: {", other).replace("near: {  }", 'near: { kinds: "other" }')
        site.config_path.write_text(text)
        await hup()
        assert status(await client.receive_response()) == "200"
        await client.send_request(2, path="/b")
        assert status(await client.receive_response()) in ("503", "502", "500")

    site.play_site(scene)


def test_the_fallback_serves_while_caches_are_gone(site):
    """All caches of a pool are gone: its fallback serves after a while."""
    site.near = 'fallback: "far", at_least: 1, back_after: 200ms'

    async def scene(connect):
        client = await connect()
        await client.send_request(1, path="/a")
        await client.receive_response()
        text = site.config_path.read_text()
        site.config_path.write_text(text.replace(site.told["north"], "127.0.0.1:1"))  # where nobody listens
        await hup()
        ends = []
        for id in range(2, 12):
            await client.send_request(id, path=f"/{id}")
            ends.append(status(await client.receive_response()))
            await anyio.sleep(0.06)
        assert ends[-5:] == ["200"] * 5

    site.play_site(scene)
    assert site.where[0] == "north" and site.where[-1] == "south"


def test_sigterm_and_a_reload_at_once_lose_nothing(site):
    """A stop and a reload arrive together: requests in flight and those that come after are answered."""
    site.delay = 0.4

    async def scene(connect):
        client = await connect()
        await client.send_request(1, path="/a")
        await anyio.sleep(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        site.write(limits="few: { concurrent: 1 }")
        await hup()
        assert status(await client.receive_response()) == "200"
        await client.send_request(2, path="/b")
        assert status(await client.receive_response()) == "200"

    site.play_site(scene)


def test_a_plan_may_follow_a_discovery_service(site):
    async def scene(connect):
        await connect()
        with anyio.move_on_after(1):
            while not site.requests:
                await anyio.sleep(0.02)

    write = Site.write

    def with_journal(self, **other):
        write(self, **other)
        text = self.config_path.read_text()
        self.config_path.write_text(
            text.replace('home: "north",', f'home: "north", journal: "{self.told["hub"]}",')
        )

    site.write = with_journal.__get__(site)
    site.discovery_frames = [frame(2, 0)]

    async def journal(stream):
        async with stream:
            site.requests.append(f"journal from {int.from_bytes(await stream.receive(8), 'big')}")
            await anyio.sleep(1)

    at = site.at
    site.at = lambda name: journal if name == "hub" else at(name)
    site.play_site(scene)
    assert site.requests[0] == "journal from 1"


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


def test_an_in_flight_request_outlives_its_class_and_route(site, capsys):
    """A new plan drops the traffic class and the route of a request in flight: it is finished, no fault."""
    site.delay = 0.3

    async def scene(connect):
        client = await connect()
        await client.send_request(1, path="/a")
        await anyio.sleep(0.1)
        site.config_path.write_text(
            site.config_path.read_text().replace("page", "leaf").replace("all:", "every:")
        )
        await hup()
        assert status(await client.receive_response()) == "200"
        await client.send_request(2, path="/b")
        assert status(await client.receive_response()) == "200"

    site.play_site(scene)
    assert "fault" not in capsys.readouterr().err


def test_a_plan_without_the_home_store_changes_nothing(site, capsys):
    """A new plan lacks the store that the router stands in: it is refused with a line, and the old one goes
    on.
    """

    async def scene(connect):
        client = await connect()
        text = (
            site.config_path.read_text()
            .replace('home: "north"', 'home: "south"')
            .replace("north: {", "west: {")
        )
        site.config_path.write_text(text.replace('at: "north"', 'at: "west"'))
        await hup()
        await client.send_request(1, path="/a")
        assert status(await client.receive_response()) == "200"

    site.play_site(scene)
    assert "nothing changes: the home store 'north' is gone" in capsys.readouterr().err


def test_a_request_rejected_behind_its_limits_gives_them_back(site):
    """A request passes its limits and is then rejected for its id: what it took of them is given back."""
    site.delay = 0.2

    async def scene(connect):
        client = await connect()
        await client.send_request(1, path="/a")
        await client.send_request(2, path="/b", HTTP_X_CORRELATION_ID=f"{1:016x}")
        assert status(await client.receive_response()) == "409"
        assert len(site.router_process.force.router_of) == 1
        assert status(await client.receive_response()) == "200"

    site.play_site(scene)
    force = site.router_process.force
    assert not force.router_of and not force.selections and not force.limits.held_keys
