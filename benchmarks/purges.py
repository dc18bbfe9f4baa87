"""What purges cost: marks against plain dicts and lists, a req, the ledger, catching up, members.

.venv/bin/python benchmarks/purges.py [marks|req|ledger|members]
"""

import random
import re
import sys
import tempfile
import time
import tracemalloc

import anyio

from quartzrouter.purge_log.disk import RealDisk
from quartzrouter.purge_log.line_connection import read_lines
from quartzrouter.purge_log.log import PurgeLog
from quartzrouter.purge_log.query_client import QueryClient
from quartzrouter.purge_log.server import PurgeLogServer
from quartzrouter.purges import messages
from quartzrouter.purges.freshness_lease import FreshnessLease, lease_length
from quartzrouter.purges.messages import Purge, PurgeRequest
from quartzrouter.purges.purge_index import PurgeIndex, PurgeLookup
from quartzrouter.purges.replica import ApplyPurges, PurgeReplica, SendMessage
from quartzrouter.server.event_loop import BACKEND_OPTIONS
from quartzrouter.server.process import wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

GRACE = 300_000
LIFE = 3_600_000_000
LOOKS = 2_000


def made(count: int, chance: random.Random) -> list[Purge]:
    """Half objects, three tenths tags, two tenths patterns."""
    found = []
    for n in range(1, count + 1):
        what = chance.random()
        kind = "object" if what < 0.5 else "tag" if what < 0.8 else "pattern"
        value = {"object": f"o{n}", "tag": f"t{n}", "pattern": f"/p{n % 977}/*-{n}/**"}[kind]
        found.append(Purge(n, n, kind, (value,)))
    return found


class Plain:
    """The same in a dict each for objects and tags, and a list of expressions."""

    def __init__(self):
        self.objects, self.tags, self.patterns = {}, {}, []

    def add(self, purge: Purge, when: int) -> None:
        value = purge.values[0]
        if purge.kind == "pattern":
            body = "/".join("[^/]*".join(map(re.escape, part.split("*"))) for part in value[:-3].split("/"))
            self.patterns.append((re.compile(body + "(/.*)"), when))
        else:
            (self.objects if purge.kind == "object" else self.tags)[value] = when

    def newest(self, asked: PurgeLookup, tags, store: str) -> int:
        best = max([self.objects.get(asked.object_key, 0), *(self.tags.get(tag, 0) for tag in tags)])
        for expression, when in self.patterns:
            if when > best and expression.fullmatch(asked.path):
                best = when
        return best


def filled(name: str, purges: list[Purge]) -> "PurgeIndex | Plain":
    held = PurgeIndex(LIFE, 10_000_000) if name == "own" else Plain()
    for purge in purges:
        held.add(purge, purge.purged_at)
    return held


def marks() -> None:
    print(f"{'marks':>9} {'kind':6} {'add us':>8} {'look us':>9} {'MB':>7}")
    for count in (1_000, 10_000, 100_000, 1_000_000):
        for name in ("own", "plain"):
            if name == "plain" and count > 100_000:
                continue  # a look takes a second
            chance = random.Random(1)
            purges = made(count, chance)
            tracemalloc.start()
            held = filled(name, purges)
            size = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            began = time.perf_counter()
            held = filled(name, purges)
            added = time.perf_counter() - began
            looks = LOOKS if count < 100_000 or name == "own" else 50
            asked = [
                PurgeLookup("page", f"o{chance.randrange(count)}", "x", f"/p{n % 977}/rose-{n}/1")
                for n in range(looks)
            ]
            began = time.perf_counter()
            for each in asked:
                held.newest(each, ("t1", "t7"), "north")
            looked = time.perf_counter() - began
            print(
                f"{count:9} {name:6} {added / count * 1e6:8.1f} {looked / looks * 1e6:9.1f} {size / 1e6:7.1f}"
            )


def req() -> None:
    """Bound and judgement of one req under live marks, in us."""
    from quartzrouter.purges.fleet_purges import CachedCopy, FleetPurges

    for count in (0, 1_000, 100_000):
        fleet, chance = FleetPurges(GRACE, LIFE, 1_000_000, 65_536), random.Random(1)
        fleet.lease.renew(10**9)
        fleet.apply(ApplyPurges(tuple(made(count, chance)), 0), count, 10**9)
        asked = [PurgeLookup("page", f"x{n}", "x", f"/p{n % 977}/rose-{n}/1") for n in range(LOOKS)]
        copy = CachedCopy(0, 5, ("t-a", "t-b"))
        began = time.perf_counter()
        for each in asked:
            fleet.max_age(each, "north", ("c", "p"), 8_000_000, 10**9)
            fleet.accepts(each, "north", copy, 10**9, 0)
        print(f"{count:7} marks: {(time.perf_counter() - began) / LOOKS * 1e6:6.1f} us a req")


async def _ledger() -> None:
    with tempfile.TemporaryDirectory() as folder:
        disk = RealDisk(folder)
        log, n = PurgeLog(disk), 0
        for each in (1, 16, 256, 4_096):
            began, rounds = time.perf_counter(), 50 if each < 4_096 else 10
            for _ in range(rounds):
                log.append(
                    [Purge(n + k, n + k, "tag", ("rose",), key=f"k{n + k}") for k in range(1, each + 1)]
                )
                n += each
            took = time.perf_counter() - began
            print(
                f"log: {each:5} at once: {rounds * each / took:9.0f} purges/s, "
                f"{took / rounds * 1e3:.2f} ms a sync"
            )
    for many in (10_000,):
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as tasks:
                ledger, at = await _start(tasks, folder)
                began = time.perf_counter()
                await QueryClient([at], 30).ask_all(
                    [PurgeRequest("tag", (f"t{n}",), key=f"k{n}") for n in range(many)]
                )
                print(f"ledger: {many} purges at once: {many / (time.perf_counter() - began):.0f} purges/s")
                for back in (100, 1_000, 10_000):
                    follower = PurgeReplica(
                        "r", "watcher", "t", FreshnessLease(lease_length(GRACE)), many - back
                    )
                    began = time.perf_counter()
                    held, pieces = PurgeIndex(LIFE, 1 << 30), 0
                    stream = await anyio.connect_tcp(*at)
                    await stream.send(messages.encode_line(follower.start_connection()))
                    async for data in read_lines(stream):
                        for given in follower.receive(messages.decode_from_purge_log(data), wall_clock()):
                            if isinstance(given, ApplyPurges):
                                for purge in given.purges:
                                    held.add(purge, purge.purged_at)
                                    pieces += 1
                        if follower.applied_up_to == many:
                            break
                    await stream.aclose()
                    print(f"catching up: {back:6} missed: {(time.perf_counter() - began) * 1e3:7.1f} ms")
                tasks.cancel_scope.cancel()


async def _start(tasks, folder):
    listeners = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    at = ("127.0.0.1", listeners.extra(anyio.abc.SocketAttribute.local_port))
    ledger = PurgeLogServer(RealDisk(folder), GRACE, RateLimitedLog("ledger", wall_clock))
    tasks.start_soon(ledger.run, list(listeners.listeners))
    return ledger, at


async def _members() -> None:
    """Members in this one process, which is slower than as many processes would be."""
    for count in (1, 6, 24):
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as tasks:
                ledger, at = await _start(tasks, folder)

                async def member(n: int, at=at) -> None:
                    follower = PurgeReplica(f"r{n}", "router", "t", FreshnessLease(lease_length(GRACE)))
                    stream = await anyio.connect_tcp(*at)
                    await stream.send(messages.encode_line(follower.start_connection()))
                    async for data in read_lines(stream):
                        for given in follower.receive(messages.decode_from_purge_log(data), wall_clock()):
                            if isinstance(given, SendMessage):
                                await stream.send(messages.encode_line(given.message))

                for n in range(count):
                    tasks.start_soon(member, n)
                await anyio.sleep(0.5)
                client = QueryClient([at])
                for n in range(500):
                    await client.ask(PurgeRequest("tag", ("rose",), key=f"k{n}"))
                    await anyio.sleep(0.004)
                await anyio.sleep(0.3)
                told = {
                    k: round(v / 1000, 1) for k, v in ledger.registry.delay_summary().items() if k[0] in "ph"
                }
                print(
                    f"{count:3} routers: ms from taking to the last acknowledgement {told}, "
                    f"promised {ledger.registry.current_promise / 1000:.0f}, "
                    f"missed {ledger.registry.missed_promises}"
                )
                tasks.cancel_scope.cancel()


if __name__ == "__main__":
    wanted = sys.argv[1:] or ["marks", "req", "ledger", "members"]
    if "marks" in wanted:
        marks()
    if "req" in wanted:
        req()
    if "ledger" in wanted:
        anyio.run(_ledger, backend_options=BACKEND_OPTIONS)
    if "members" in wanted:
        anyio.run(_members, backend_options=BACKEND_OPTIONS)
