"""Scenario: the difficult cases of plans.

Checks the messages on faulty plans, the detection of routes that hide others and the comparison of plans
against an exhaustive search, and runs a router on loopback whose plan changes under load.
"""

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

SPOILT_PLANS = 1_000  # texts made by spoiling a valid one
PLAN_PAIRS = 40  # of drawn plans
CLIENT_COUNT, REQUESTS_PER_CLIENT = 8, 90  # on loopback
CONCURRENCY_LIMIT = 6  # requests in flight at most
STOP_TIMEOUT_SECONDS = 5  # until requests in flight have ended

VALID_PLAN = """{
  deployment: { name: "t", home: "north" },
  stores: { north: { hub: "h" }, south: { hub: "h" } }, hubs: { h: {} },
  caches: { n: { address: "127.0.0.1:1", at: "north" }, s: { address: "127.0.0.1:2", at: "south" } },
  vhosts: { page: { effect: "replayable", client_timeout: 3s } },
  pools: { near: {}, far: { stores: "south" } },
  limits: { some: { rate: 10/s } },
  routes: { all: { match: { path: "/**" }, vhost: "page", pool: "near" } },
}"""
CASES = {  # files, and a part of the only message
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


def rehearse(seed: int, report: ScenarioReport) -> None:
    """Plays all cases, and reports those that failed and the figures."""
    chance = random.Random(seed)
    _check_faulty_plans(report)
    _check_unreadable_includes(report)
    _check_spoilt_plans(chance, report)
    _check_plan_pairs(chance, report)
    anyio.run(partial(_run_router, chance, report), backend_options=process.BACKEND_OPTIONS)


def _reader(files: dict[str, str]):
    """Returns a function that reads plan files from a dict by path."""

    def read(path: str) -> str:
        if path not in files:
            raise Unreadable("there is no such file")
        return files[path]

    return read


def _check_faulty_plans(report: ScenarioReport) -> None:
    """Checks that each faulty plan gets exactly one message, with the expected text."""
    for name, (files, expected) in CASES.items():
        errors = load("main", _reader({"base": VALID_PLAN} | files)).faults.errors
        is_only_message = len(errors) == 1 and expected in errors[0].reason
        report.expect(is_only_message, f"{name}: {[error.reason for error in errors]}")
    report.figures["hard cases with their one message"] = len(CASES)


def _check_unreadable_includes(report: ScenarioReport) -> None:
    """Checks the messages on includes that can not be read from a disk."""
    with tempfile.TemporaryDirectory() as folder:
        folder_path = Path(folder)
        (folder_path / "dir").mkdir()
        (folder_path / "latin").write_bytes(b'{ a: "\xe9" }')
        for name, expected in {"dir": "a folder", "latin": "not UTF-8", "none": "no such file"}.items():
            (folder_path / "main").write_text(f'include "{name}"')
            errors = load(str(folder_path / "main"), disk_loader()).faults.errors
            report.expect(len(errors) == 1 and expected in errors[0].reason, f"include of {name}")
    report.figures["includes that can't be read"] = 3


def _check_spoilt_plans(chance: random.Random, report: ScenarioReport) -> None:
    """Checks that a plan with pieces removed, doubled or swapped loads or gives faults, and nothing else."""
    outcomes: Counter[str] = Counter()
    for _ in range(SPOILT_PLANS):
        text, words = VALID_PLAN, re.findall(r"[\w-]+|[^\w-]", VALID_PLAN)
        if chance.random() < 0.5:  # puts a word into the place of another
            index, other = chance.randrange(len(words)), chance.choice([w for w in words if w[0].isalnum()])
            words[index] = other if words[index][0].isalnum() else words[index]
            text = "".join(words)
        if text == VALID_PLAN or chance.random() < 0.2:
            start, size = chance.randrange(len(text)), chance.randint(0, 12)
            piece = chance.choice(
                ["", text[start : start + size] * 2, chance.choice('{}[](),:;"$+/*\n\x00é0s%')]
            )
            text = text[:start] + piece + text[start + size :]
        try:
            loaded = load("main", _reader({"main": text}))
            outcomes["good" if loaded.plan else "faulty"] += 1
            report.expect(
                (loaded.plan is None) == bool(loaded.faults.errors),
                f"both a plan and faults, or neither: {text!r}",
            )
            formatted = layout(Source("main", text))
            report.expect(
                layout(Source("main", formatted)) == formatted,
                f"formatting twice differs from once: {text!r}",
            )
        except PlanError:
            outcomes["not parsed"] += 1
        except Exception as error:
            report.broken.append(f"{type(error).__name__} on {text!r}")
    report.figures["spoilt texts"] = dict(sorted(outcomes.items()))


# -- hidden routes and differences -------------------------------------------------------------------------

PATH_PATTERNS = ["/a", "/{x}", "/a/**", "/**", "/{x}/b", "/a/{x}", "/a-*"]
REQUESTS = [
    RouteQuery(store, host, path, method, {}, {})
    for store in ("north", "south")
    for host in ("a", "b.a")
    for path in ("/a", "/b", "/a/a", "/a/b", "/c/b", "/a-b", "/a/b/c")
    for method in ("GET", "POST")
]


def _random_plan(chance: random.Random):
    """Draws a plan, and removes hidden routes from it until it has no faults.

    :returns: the plan, and how many routes were removed.
    """
    routes = {}
    for n in range(chance.randint(2, 7)):
        match = {"path": f'"{chance.choice(PATH_PATTERNS)}"'} if chance.random() < 0.8 else {}
        if chance.random() < 0.4:
            match["method"] = chance.choice(['"GET"', '"POST"'])
        if chance.random() < 0.3:
            match["host"] = chance.choice(['"a"', '"**.a"', '"*"'])
        keys = ", ".join(f"{key}: {value}" for key, value in match.items())
        routes[f"r{n}"] = (
            f'{{ match: {{ {keys} }}, vhost: "page", pool: "{chance.choice(["near", "far"])}" }}'
        )
    hidden_count = 0
    while True:
        entries = ", ".join(f"{name}: {route}" for name, route in routes.items())
        text = VALID_PLAN.replace(VALID_PLAN[VALID_PLAN.index("routes:") :], f"routes: {{ {entries} }},\n}}")
        loaded = load("main", _reader({"main": text}))
        if loaded.plan:
            return loaded.plan, hidden_count
        for fault in loaded.faults.errors:
            del routes[fault.reason.split("'")[1]]
            hidden_count += 1


def _check_plan_pairs(chance: random.Random, report: ScenarioReport) -> None:
    """Checks the comparison of drawn plans by routing each of a set of requests under both."""
    hidden_count = change_count = differing_count = 0
    for _ in range(PLAN_PAIRS):
        (old, old_hidden), (new, new_hidden) = _random_plan(chance), _random_plan(chance)
        hidden_count += old_hidden + new_hidden
        diff = Diff(old, new)
        change_count += len(diff.changes)
        pairs = {change.pair for change in diff.changes}
        for request in REQUESTS:
            old_route, new_route = first_match(old.routes, request), first_match(new.routes, request)
            changed = (old_route and old_route.pool) != (new_route and new_route.pool)
            differing_count += changed
            pair = (old_route.name if old_route else None, new_route.name if new_route else None)
            report.expect(
                (pair in pairs) == changed, f"{request.describe()}: {pair} is {'not ' * changed}in the diff"
            )
        counts, unexplained = diff.replay(REQUESTS)
        report.expect(not unexplained and sum(counts.values()) == len(REQUESTS), f"replay: {unexplained}")
    report.figures["routes found to be hidden"] = hidden_count
    report.figures["pairs of plans, sets that differ"] = f"{PLAN_PAIRS}, {change_count}"
    report.figures["reqs replayed, that route differently"] = (
        f"{PLAN_PAIRS * len(REQUESTS)}, {differing_count}"
    )


# -- a running router --------------------------------------------------------------------------------------

OTHER_KIND_CACHE = 'x: { address: "127.0.0.1:1", at: "north", kind: "none" },'
ROUTER_PLAN = """{{
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


async def _run_router(chance: random.Random, report: ScenarioReport) -> None:
    """Runs a router under load while its plan, its pool and its caches change, and stops it."""
    caches = {name: Cache(lambda: chance.uniform(0.005, 0.03)) for name in ("n1", "n2", "s1", "p", "o")}
    outcomes: Counter[str] = Counter()
    with tempfile.TemporaryDirectory() as folder, anyio.fail_after(30):
        path, log_output = Path(folder) / "main.plan", io.StringIO()
        async with anyio.create_task_group() as tasks:
            values: dict[str, object] = {name: await cache.start(tasks) for name, cache in caches.items()}
            values |= {"port": await free_port(), "more": "", "near": "", "crowd": CONCURRENCY_LIMIT}

            async def reload(text: str) -> None:
                path.write_text(text)
                os.kill(os.getpid(), signal.SIGHUP)
                await anyio.sleep(0.15)

            path.write_text(ROUTER_PLAN.format(**values))
            service = StandaloneProcess(str(path), load(str(path)).plan, logger("info", "json", log_output))
            stopped = anyio.Event()

            async def run_service() -> None:
                await service.run()
                stopped.set()

            tasks.start_soon(run_service)

            async def send_requests(first: int) -> None:
                client = Client(await _connect(values["port"]))
                for request_id in range(first, first + REQUESTS_PER_CLIENT):
                    await client.send_request(
                        request_id, path=f"/{chance.randrange(40)}", HTTP_X_DEADLINE_MS="3000"
                    )
                    response = await client.receive_response()
                    outcomes[
                        "200"
                        if "200 OK" in response
                        else "denied"
                        if " 503 " in response or " 429 " in response
                        else response
                    ] += 1
                    await anyio.sleep(chance.uniform(0, 0.02))

            async with anyio.create_task_group() as clients:
                for n in range(CLIENT_COUNT):
                    clients.start_soon(send_requests, 1 + 1000 * n)
                await anyio.sleep(0.3)
                # The limit changes while it is saturated.
                await reload(ROUTER_PLAN.format(**values | {"crowd": CONCURRENCY_LIMIT // 2}))
                await reload("{ deployment: }")  # a faulty plan changes nothing
                limit = service.plan.limits["crowd"].concurrent
                report.expect(limit == CONCURRENCY_LIMIT // 2, f"a faulty plan changed the limit to {limit}")
                path.write_text(
                    ROUTER_PLAN.format(**values | {"near": 'kinds: "none"', "more": OTHER_KIND_CACHE})
                )
                # The pool becomes empty, and the next reload follows within a second.
                os.kill(os.getpid(), signal.SIGHUP)
                await reload(ROUTER_PLAN.format(**values))
                for _ in range(3):  # the number of caches crosses the threshold of the pool repeatedly
                    for name in ("n1", "n2"):
                        caches[name].stop()
                    await anyio.sleep(0.3)
                    for name in ("n1", "n2"):
                        await caches[name].start(tasks)
                    await anyio.sleep(0.3)
            changes = service.multi_pool_router.pools.states["near"].changes
            held_limit_count, held_request_count = (
                len(service.multi_pool_router.limits.held_keys),
                len(service.multi_pool_router.routers_by_request),
            )
            os.kill(os.getpid(), signal.SIGTERM)
            await reload(ROUTER_PLAN.format(**values | {"crowd": 1}))  # the plan changes during a shutdown
            late_client = Client(await _connect(values["port"]))
            await late_client.send_request(50_000, path="/late")
            outcomes[
                "200" if "200 OK" in await late_client.receive_response() else "late request not answered"
            ] += 1
            with anyio.move_on_after(STOP_TIMEOUT_SECONDS):
                await stopped.wait()
            report.expect(stopped.is_set(), "the router did not stop in time")
            tasks.cancel_scope.cancel()
    lines = [json.loads(line) for line in log_output.getvalue().splitlines()]
    sent = CLIENT_COUNT * REQUESTS_PER_CLIENT + 1
    max_open_requests = max(cache.max_open_requests for cache in caches.values())
    faults = [line["event"] for line in lines if line["kind"] == "fault"]
    refusal_count = sum("nothing changes" in line["event"] for line in lines)
    answered = sum(outcomes[end] for end in ("200", "denied"))
    report.figures["reqs on loopback, done, denied"] = f"{sent}, {outcomes['200']}, {outcomes['denied']}"
    report.figures["most at one cache at once, limit"] = f"{max_open_requests}, {CONCURRENCY_LIMIT}"
    reloads = sum("SIGHUP" in line["event"] for line in lines)
    report.figures["reloads, refused with one message"] = f"{reloads}, {refusal_count}"
    report.figures["changes between pool and fallback"] = changes
    report.expect(
        1 <= changes <= 6, f"{changes} changes between pool and fallback in six changes of its caches"
    )
    report.expect(answered == sent, f"{sent - answered} requests without a response: {dict(outcomes)}")
    report.expect(
        max_open_requests <= CONCURRENCY_LIMIT,
        f"{max_open_requests} requests at one cache, but the limit is {CONCURRENCY_LIMIT} in flight",
    )
    report.expect(outcomes["200"] > sent // 4, "no more than a quarter of the requests succeeded")
    report.expect(
        not held_limit_count and not held_request_count,
        f"{held_limit_count} requests still count in limits, {held_request_count} are still held",
    )
    report.expect(refusal_count == 1, f"{refusal_count} messages for one faulty plan")
    report.expect(not faults, f"faults: {faults[:1]}")


async def _connect(port: int):
    """Connects to a port as soon as a process listens at it."""
    while True:
        try:
            return await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            await anyio.sleep(0.01)
