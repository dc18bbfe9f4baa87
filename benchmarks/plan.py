"""What plans cost: checking by the number of routes, the matcher against the plain list, a req under a plan.

    python benchmarks/plan.py [check|match|req]

Prints tables in Markdown, as docs/plan-measured.md keeps them.  Nothing of it is part of CI.
"""

import random
import subprocess
import sys
import time
import tracemalloc

from quartzrouter.config.loader import load
from quartzrouter.config.matcher import Matcher, first_match
from quartzrouter.config.model import Route
from quartzrouter.config.patterns import METHODS, pattern
from quartzrouter.config.platform_json import platform_configuration
from quartzrouter.config.request_sets import Box, RouteQuery, TextSet
from quartzrouter.configuration import Configuration
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.pool_routing.route_selection import traffic_class_name
from quartzrouter.routing.model import AttemptResult, AttemptStatus, Endpoint, EndpointState, Request, Tier
from quartzrouter.routing.router import Router

HEAD = """deployment: { name: "big", home: "s1" }, stores: { s1: { hub: "h" } }, hubs: { h: {} },
  caches: {
    ["c${n}"]: { address: "127.0.0.1:${9000 + n}", at: "s1", weight: 5 } for n in range(1, 9)
  } + {
    p: { address: "127.0.0.1:8001", at: "h", tier: "parent", weight: 30 },
    o: { address: "127.0.0.1:8002", at: "h", tier: "origin", weight: 8 },
  },
  vhosts: { page: { effect: "replayable", client_timeout: 3s, first_byte_target: 400ms, fresh_for: 8s } },
  pools: { near: {} }, limits: { some: { per: "client", rate: 100000/s } },"""


def written(routes: int) -> str:
    """A plan with each route written out, as a generator of another house would."""
    lines = [
        f'    r{n}: {{ match: {{ host: "h{n % 50}.example", path: "/area{n % 97}/sub{n}/**" }},'
        f' vhost: "page", pool: "near", limits: ["some"] }},'
        for n in range(routes)
    ]
    return "{\n  " + HEAD + "\n  routes: {\n" + "\n".join(lines) + "\n  },\n}\n"


def template(routes: int) -> str:
    return (
        "{ " + HEAD + ' routes: { ["r${n}"]: { match: { host: "h${n}.example", path: "/area/sub${n}/**" },'
        f' vhost: "page", pool: "near", limits: ["some"] }} for n in range(0, {routes}) }} }}'
    )


def check() -> None:
    print("| routes | written out, s | from a template, s | memory at most, MB |\n| --- | --- | --- | --- |")
    for routes in (10, 100, 1_000, 5_000):
        spent = []
        for text in (written(routes), template(routes)):
            began = time.perf_counter()
            loaded = load("main", lambda path, text=text: text)
            spent.append(time.perf_counter() - began)
            assert loaded.plan, loaded.faults.errors[0].shown()
        tracemalloc.start()
        load("main", lambda path, text=text: text)
        memory = tracemalloc.get_traced_memory()[1] / 1e6
        tracemalloc.stop()
        print(f"| {routes:,} | {spent[0]:.2f} | {spent[1]:.2f} | {memory:.0f} |")


def routes_of(count: int, chance: random.Random) -> tuple[Route, ...]:
    """A third whole paths, a third with captures, a third with a tail; one in ten for one host only."""
    made = []
    for n in range(count):
        area = f"/area{chance.randrange(max(1, count // 20))}/sub{n}"
        text = (area, area + "/{item}/{part}.jpg", area + "/**")[n % 3]
        host = TextSet((pattern(f"h{n % 7}.example", "."),)) if n % 10 == 0 else TextSet()
        box = Box(frozenset(["s1"]), frozenset(METHODS), host, TextSet((pattern(text, "/"),)))
        made.append(Route(f"r{n}", n, (box,), "page", "near", None, (), None, None, None))
    return tuple(made)


def match() -> None:
    print("| routes | build, ms | memory, MB | tree, us a lookup | list, us a lookup |")
    print("| --- | --- | --- | --- | --- |")
    for count in (10, 1_000, 50_000):
        chance = random.Random(7)
        routes = routes_of(count, chance)
        tracemalloc.start()
        began = time.perf_counter()
        Matcher(routes)
        build = time.perf_counter() - began
        memory = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        began = time.perf_counter()
        matcher = Matcher(routes)
        build = time.perf_counter() - began
        asked = []
        for _ in range(2_000):
            route = chance.choice(routes)
            path = route.boxes[0].path.required[0].guess(f"x{chance.randrange(99)}")
            host = f"h{chance.randrange(8)}.example"
            asked.append(RouteQuery("s1", host, path if chance.random() < 0.9 else path + "/none"))
        for req in asked[:50]:
            found = matcher.find(req)
            assert (found.route if found else None) is first_match(routes, req)
        began = time.perf_counter()
        for req in asked:
            matcher.find(req)
        tree = (time.perf_counter() - began) / len(asked)
        few = asked[: max(5, min(2_000, 400_000 // count))]
        began = time.perf_counter()
        for req in few:
            first_match(routes, req)
        slow = (time.perf_counter() - began) / len(few)
        print(f"| {count:,} | {build * 1e3:.1f} | {memory:.1f} | {tree * 1e6:.1f} | {slow * 1e6:.1f} |")


def listed(plan) -> list[Endpoint]:
    return [
        Endpoint(
            name, cache["at"], Tier(cache["tier"]), cache["kind"], 0, EndpointState.UP, cache["weight"], 0
        )
        for name, cache in plan.caches.items()
    ]


def req() -> None:
    """CPU of the decisions for a req: the bare Router, and a plan of few and of many routes before it."""
    print("| decisions | us a req |\n| --- | --- |")
    text = template(1)
    plan = load("main", lambda path: text).plan
    arguments = Configuration(
        platform_configuration(plan), {}, needs_discovery=False
    ).settings.router_arguments
    router = Router(**arguments)
    router.update_endpoints(listed(plan), True, 0)

    def bare(n: int, now: int) -> None:
        answer = router.route(Request(n, "page", f"{n % 500:016x}", None, 0, 0.0, 3_000_000), now)
        router.attempt_finished(
            n, AttemptResult(answer.attempt_number, AttemptStatus.SUCCEEDED, 9_000, final=True), now + 9_000
        )
        router.maintenance(now)

    print(f"| the module alone | {timed(bare):.1f} |")
    for count in (1, 1_000, 5_000):
        text = template(count)
        plan = load("main", lambda path, text=text: text).plan
        multi_pool_router = MultiPoolRouter(plan, arguments)
        multi_pool_router.update_endpoints(listed(plan), True, 0)

        def planned(n: int, now: int, multi_pool_router=multi_pool_router, count=count) -> None:
            at = n % count
            selection = multi_pool_router.select_route(
                RouteQuery("s1", f"h{at}.example", f"/area/sub{at}/{n % 500}"), "10.0.0.7"
            )
            assert multi_pool_router.admit(n, selection, now) is None
            told = Request(
                n, traffic_class_name(selection.route), selection.object_key, None, 0, 0.0, 3_000_000
            )
            answer = multi_pool_router.route(told, now)
            multi_pool_router.attempt_finished(
                n,
                AttemptResult(answer.attempt_number, AttemptStatus.SUCCEEDED, 9_000, final=True),
                now + 9_000,
            )
            multi_pool_router.release(n)
            multi_pool_router.maintenance(now)

        print(f"| under a plan of {count:,} routes | {timed(planned):.1f} |")
    started = [imported("quartzrouter.server.process"), imported("quartzrouter.standalone.process")]
    print(
        f"\nImports at start: {started[0][0]} modules and {started[0][1]} MB for `python -m quartzrouter`, "
        f"{started[1][0]} and {started[1][1]} MB for `quartzrouter run`."
    )


def timed(play, count: int = 20_000) -> float:
    best = 1e9
    for turn in range(3):
        began = time.process_time()
        for n in range(count):
            play(turn * count + n, 10_000_000 + (turn * count + n) * 2_000)
        best = min(best, (time.process_time() - began) / count)
    return best * 1e6


def imported(module: str) -> tuple[int, int]:
    code = (
        f"import sys, {module}; text = open('/proc/self/status').read(); "
        "print(len(sys.modules), int(text.partition('VmRSS:')[2].split()[0]) // 1024)"
    )
    told = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    return int(told[0]), int(told[1])


if __name__ == "__main__":
    for name in sys.argv[1:] or ["check", "match", "req"]:
        {"check": check, "match": match, "req": req}[name]()
        print()
