"""The hard cases of plans: what is broken, what shadows, what changes, and a plan in force on loopback."""

import io
import json
import os
import random
import re
import signal
import tempfile
from collections import Counter
from functools import partial
from pathlib import Path

import anyio

from quartzrouter.config.diff import Diff
from quartzrouter.config.evaluator import Unreadable
from quartzrouter.config.formatter import layout
from quartzrouter.config.loader import disk_loader, load
from quartzrouter.config.matcher import first_match
from quartzrouter.config.problems import PlanError, Source
from quartzrouter.config.request_sets import RouteQuery
from quartzrouter.fakes.loopback import Cache, Client, free_port
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.server import process
from quartzrouter.standalone.process import StandaloneProcess
from quartzrouter.standalone.structured_log import logger

SPOILT = 1_000  # texts made by spoiling a good one
PAIRS = 40  # of random plans
ASKERS, EACH = 8, 90  # clients, and reqs of each, on loopback
CROWD = 6  # the limit on reqs in hand that they meet
STOPPED_WITHIN = 5  # s at most until what is in hand has ended

BASE = """{
  deployment: { name: "t", home: "north" },
  stores: { north: { hub: "h" }, south: { hub: "h" } }, hubs: { h: {} },
  caches: { n: { address: "127.0.0.1:1", at: "north" }, s: { address: "127.0.0.1:2", at: "south" } },
  vhosts: { page: { effect: "replayable", client_timeout: 3s } },
  pools: { near: {}, far: { stores: "south" } },
  limits: { some: { rate: 10/s } },
  routes: { all: { match: { path: "/**" }, vhost: "page", pool: "near" } },
}"""
CASES = {  # files, and what the one message says
    "include cycle through three": (
        {"main": 'include "a"', "a": 'include "b"', "b": 'include "main"'},
        "main -> a -> b -> main",
    ),
    "include missing": ({"main": 'include "base" + include "more"'}, "there is no such file"),
    "duration without a unit": (
        {"main": 'include "base" + { vhosts+: { page+: { client_timeout: 3 } } }'},
        "a duration to a number",
    ),
    "routes that shadow through a glob and an override": (
        {
            "main": 'include "base" + include "routes" + include "local"',
            "routes": '{ routes: { a: { match: { path: "/p/*.jpg" }, vhost: "page", pool: "near" },'
            ' b: { match: { path: "/q/**" }, vhost: "page", pool: "far" } } }',
            "local": '{ routes+: { b+: { match: { path: "/p/rose-*.jpg" } } } }',
        },
        "route 'b' is never reached: 'a' takes all of it",
    ),
    "merge that changes a type": (
        {"main": 'include "base" + { limits+: { some+: { rate: "fast" } } }'},
        "from a rate to a text",
    ),
    "override of a name that isn't there": (
        {"main": 'include "base" + { pools+: { override neer: {} } }'},
        "there is no 'neer' to override",
    ),
}


def rehearse(seed: int, tally: ScenarioReport) -> None:
    chance = random.Random(seed)
    _cases(tally)
    _files(tally)
    _spoilt(chance, tally)
    _pairs(chance, tally)
    anyio.run(partial(_loopback, chance, tally), backend_options=process.BACKEND_OPTIONS)


def _reader(files: dict[str, str]):
    def read(path: str) -> str:
        if path not in files:
            raise Unreadable("there is no such file")
        return files[path]

    return read


def _cases(tally: ScenarioReport) -> None:
    for name, (files, said) in CASES.items():
        errors = load("main", _reader({"base": BASE} | files)).faults.errors
        one = len(errors) == 1 and said in errors[0].reason
        tally.expect(one, f"{name}: {[error.reason for error in errors]}")
    tally.figures["hard cases with their one message"] = len(CASES)


def _files(tally: ScenarioReport) -> None:
    """Includes that a disk can't give."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        (root / "dir").mkdir()
        (root / "latin").write_bytes(b'{ a: "\xe9" }')
        for name, said in {"dir": "a folder", "latin": "not UTF-8", "none": "no such file"}.items():
            (root / "main").write_text(f'include "{name}"')
            errors = load(str(root / "main"), disk_loader()).faults.errors
            tally.expect(len(errors) == 1 and said in errors[0].reason, f"include of {name}")
    tally.figures["includes that can't be read"] = 3


def _spoilt(chance: random.Random, tally: ScenarioReport) -> None:
    """A good text with pieces taken out, doubled and swapped: faults or a plan, never anything else."""
    outcomes: Counter[str] = Counter()
    for _ in range(SPOILT):
        text, words = BASE, re.findall(r"[\w-]+|[^\w-]", BASE)
        if chance.random() < 0.5:  # words that stand in the wrong place
            at, other = chance.randrange(len(words)), chance.choice([w for w in words if w[0].isalnum()])
            words[at] = other if words[at][0].isalnum() else words[at]
            text = "".join(words)
        if text == BASE or chance.random() < 0.2:
            at, size = chance.randrange(len(text)), chance.randint(0, 12)
            piece = chance.choice(["", text[at : at + size] * 2, chance.choice('{}[](),:;"$+/*\n\x00é0s%')])
            text = text[:at] + piece + text[at + size :]
        try:
            loaded = load("main", _reader({"main": text}))
            outcomes["good" if loaded.plan else "faulty"] += 1
            tally.expect(
                (loaded.plan is None) == bool(loaded.faults.errors), f"neither plan nor fault: {text!r}"
            )
            laid = layout(Source("main", text))
            tally.expect(layout(Source("main", laid)) == laid, f"another layout of a layout: {text!r}")
        except PlanError:
            outcomes["not parsed"] += 1
        except Exception as error:
            tally.broken.append(f"{type(error).__name__} on {text!r}")
    tally.figures["spoilt texts"] = dict(sorted(outcomes.items()))


# -- shadowing and diff ------------------------------------------------------------------------------------

PATHS = ["/a", "/{x}", "/a/**", "/**", "/{x}/b", "/a/{x}", "/a-*"]
ASKED = [
    RouteQuery(store, host, path, method, {}, {})
    for store in ("north", "south")
    for host in ("a", "b.a")
    for path in ("/a", "/b", "/a/a", "/a/b", "/c/b", "/a-b", "/a/b/c")
    for method in ("GET", "POST")
]


def _random_plan(chance: random.Random):
    """A plan without faults: routes that others hide are taken out, as often as one says so."""
    routes = {}
    for n in range(chance.randint(2, 7)):
        match = {"path": f'"{chance.choice(PATHS)}"'} if chance.random() < 0.8 else {}
        if chance.random() < 0.4:
            match["method"] = chance.choice(['"GET"', '"POST"'])
        if chance.random() < 0.3:
            match["host"] = chance.choice(['"a"', '"**.a"', '"*"'])
        told = ", ".join(f"{key}: {value}" for key, value in match.items())
        routes[f"r{n}"] = (
            f'{{ match: {{ {told} }}, vhost: "page", pool: "{chance.choice(["near", "far"])}" }}'
        )
    hidden = 0
    while True:
        said = ", ".join(f"{name}: {route}" for name, route in routes.items())
        text = BASE.replace(BASE[BASE.index("routes:") :], f"routes: {{ {said} }},\n}}")
        loaded = load("main", _reader({"main": text}))
        if loaded.plan:
            return loaded.plan, hidden
        for fault in loaded.faults.errors:
            del routes[fault.reason.split("'")[1]]
            hidden += 1


def _pairs(chance: random.Random, tally: ScenarioReport) -> None:
    hidden = sets = differ = 0
    for _ in range(PAIRS):
        (old, out), (new, more) = _random_plan(chance), _random_plan(chance)
        hidden += out + more
        diff = Diff(old, new)
        sets += len(diff.changes)
        pairs = {change.pair for change in diff.changes}
        for asked in ASKED:
            was, now = first_match(old.routes, asked), first_match(new.routes, asked)
            changed = (was and was.pool) != (now and now.pool)
            differ += changed
            pair = (was.name if was else None, now.name if now else None)
            tally.expect((pair in pairs) == changed, f"{asked.describe()}: {pair} is {'no ' * changed}set")
        counts, stray = diff.replay(ASKED)
        tally.expect(not stray and sum(counts.values()) == len(ASKED), f"replay: {stray}")
    tally.figures["routes found to be hidden"] = hidden
    tally.figures["pairs of plans, sets that differ"] = f"{PAIRS}, {sets}"
    tally.figures["reqs replayed, that route differently"] = f"{PAIRS * len(ASKED)}, {differ}"


# -- in force ------------------------------------------------------------------------------------------------

OTHER = 'x: { address: "127.0.0.1:1", at: "north", kind: "none" },'
SITE = """{{
  deployment: {{ name: "t", home: "north", listen: "127.0.0.1:{port}", descriptors: 256 }},
  stores: {{ north: {{ hub: "h" }}, south: {{ hub: "h" }} }}, hubs: {{ h: {{}} }},
  caches: {{
    n1: {{ address: "{n1}", at: "north" }}, n2: {{ address: "{n2}", at: "north" }},
    s1: {{ address: "{s1}", at: "south" }}, {more}
    p: {{ address: "{p}", at: "h", tier: "parent" }}, o: {{ address: "{o}", at: "h", tier: "origin" }},
  }},
  vhosts: {{ page: {{ effect: "replayable", client_timeout: 3s, first_byte_target: 1s }} }},
  pools: {{
    near: {{ fallback: "far", at_least: 1, back_after: 300ms, {near} }}, far: {{ stores: ["south"] }},
  }},
  limits: {{ crowd: {{ concurrent: {crowd} }} }},
  routes: {{ all: {{ match: {{}}, vhost: "page", pool: "near", limits: "crowd" }} }},
}}"""


async def _loopback(chance: random.Random, tally: ScenarioReport) -> None:
    caches = {name: Cache(lambda: chance.uniform(0.005, 0.03)) for name in ("n1", "n2", "s1", "p", "o")}
    ends: Counter[str] = Counter()
    with tempfile.TemporaryDirectory() as folder, anyio.fail_after(30):
        path, out = Path(folder) / "main.plan", io.StringIO()
        async with anyio.create_task_group() as tasks:
            told: dict[str, object] = {name: await cache.start(tasks) for name, cache in caches.items()}
            told |= {"port": await free_port(), "more": "", "near": "", "crowd": CROWD}

            async def put(text: str) -> None:
                path.write_text(text)
                os.kill(os.getpid(), signal.SIGHUP)
                await anyio.sleep(0.15)

            path.write_text(SITE.format(**told))
            service = StandaloneProcess(str(path), load(str(path)).plan, logger("info", "json", out))
            router = anyio.Event()

            async def run() -> None:
                await service.run()
                router.set()

            tasks.start_soon(run)

            async def ask(first: int) -> None:
                client = Client(await _connect(told["port"]))
                for id in range(first, first + EACH):
                    await client.send_request(id, path=f"/{chance.randrange(40)}", HTTP_X_DEADLINE_MS="3000")
                    said = await client.receive_response()
                    ends[
                        "200"
                        if "200 OK" in said
                        else "denied"
                        if " 503 " in said or " 429 " in said
                        else said
                    ] += 1
                    await anyio.sleep(chance.uniform(0, 0.02))

            async with anyio.create_task_group() as askers:
                for n in range(ASKERS):
                    askers.start_soon(ask, 1 + 1000 * n)
                await anyio.sleep(0.3)
                await put(SITE.format(**told | {"crowd": CROWD // 2}))  # while it is saturated
                await put("{ deployment: }")  # faulty: changes nothing
                crowd = service.plan.limits["crowd"].concurrent
                tally.expect(crowd == CROWD // 2, f"a faulty plan changed the limit to {crowd}")
                path.write_text(SITE.format(**told | {"near": 'kinds: "none"', "more": OTHER}))
                os.kill(os.getpid(), signal.SIGHUP)  # empties the pool, and twice within a second
                await put(SITE.format(**told))
                for _ in range(3):  # the caches of the pool flap around its threshold
                    for name in ("n1", "n2"):
                        caches[name].stop()
                    await anyio.sleep(0.3)
                    for name in ("n1", "n2"):
                        await caches[name].start(tasks)
                    await anyio.sleep(0.3)
            changes = service.multi_pool_router.pools.states["near"].changes
            held, where = (
                len(service.multi_pool_router.limits.held_keys),
                len(service.multi_pool_router.routers_by_request),
            )
            os.kill(os.getpid(), signal.SIGTERM)
            await put(SITE.format(**told | {"crowd": 1}))  # a plan replaced during SIGTERM
            last = Client(await _connect(told["port"]))
            await last.send_request(50_000, path="/late")
            ends["200" if "200 OK" in await last.receive_response() else "late req not answered"] += 1
            with anyio.move_on_after(STOPPED_WITHIN):
                await router.wait()
            tally.expect(router.is_set(), "the router didn't stop")
            tasks.cancel_scope.cancel()
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    asked = ASKERS * EACH + 1
    most = max(cache.max_open_requests for cache in caches.values())
    faults = [line["event"] for line in lines if line["kind"] == "fault"]
    told_once = sum("nothing changes" in line["event"] for line in lines)
    hand = sum(ends[end] for end in ("200", "denied"))
    tally.figures["reqs on loopback, done, denied"] = f"{asked}, {ends['200']}, {ends['denied']}"
    tally.figures["most at one cache at once, limit"] = f"{most}, {CROWD}"
    reloads = sum("SIGHUP" in line["event"] for line in lines)
    tally.figures["reloads, refused with one message"] = f"{reloads}, {told_once}"
    tally.figures["changes between pool and fallback"] = changes
    tally.expect(
        1 <= changes <= 6, f"{changes} changes between pool and fallback in six changes of its caches"
    )
    tally.expect(hand == asked, f"{asked - hand} reqs without an answer: {dict(ends)}")
    tally.expect(most <= CROWD, f"{most} reqs at one cache, with {CROWD} allowed in hand")
    tally.expect(ends["200"] > asked // 4, "hardly any req was done")
    tally.expect(not held and not where, f"{held} reqs still counted, {where} still held")
    tally.expect(told_once == 1, f"{told_once} messages for one faulty plan")
    tally.expect(not faults, f"faults: {faults[:1]}")


async def _connect(port: int):
    while True:
        try:
            return await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            await anyio.sleep(0.01)
