"""Measures what purges cost: the index, a request, the purge log, catching up and many members.

The index is compared with plain dicts and lists.

.venv/bin/python benchmarks/purges.py [marks|req|ledger|members]
"""

import random
import re
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable

import anyio

from quartzrouter.purge_log.disk import RealDisk
from quartzrouter.purge_log.line_connection import read_lines
from quartzrouter.purge_log.log import PurgeLog
from quartzrouter.purge_log.query_client import QueryClient
from quartzrouter.purge_log.server import PurgeLogServer
from quartzrouter.purges import messages
from quartzrouter.purges.fleet_purges import CachedCopy, FleetPurges
from quartzrouter.purges.freshness_lease import FreshnessLease, lease_length
from quartzrouter.purges.messages import Purge, PurgeRequest
from quartzrouter.purges.purge_index import PurgeIndex, PurgeLookup
from quartzrouter.purges.replica import ApplyPurges, PurgeReplica, SendMessage
from quartzrouter.server.event_loop import BACKEND_OPTIONS
from quartzrouter.server.process import wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

GRACE = 300_000  # microseconds
LIFETIME = 3_600_000_000  # microseconds, of index entries
LOOKUPS = 2_000
FEW_LOOKUPS = 50  # if one takes milliseconds
NOW = 10**9  # microseconds
PIPELINED_PURGES = 10_000
PURGES_WITH_MEMBERS = 500


def random_purges(count: int, chance: random.Random) -> list[Purge]:
    """Returns purges: half of objects, three tenths of tags, two tenths of patterns."""
    purges = []
    for n in range(1, count + 1):
        draw = chance.random()
        kind = "object" if draw < 0.5 else "tag" if draw < 0.8 else "pattern"
        values = {"object": f"o{n}", "tag": f"t{n}", "pattern": f"/p{n % 977}/*-{n}/**"}
        purges.append(Purge(n, n, kind, (values[kind],)))
    return purges


class PlainIndex:
    """The interface of PurgeIndex on a dict each for objects and tags, and a list of regular expressions."""

    def __init__(self):
        self.objects, self.tags, self.patterns = {}, {}, []

    def add(self, purge: Purge, purged_at: int) -> None:
        """Adds a purge."""
        value = purge.values[0]
        if purge.kind == "pattern":
            parts = value.removesuffix("/**").split("/")
            body = "/".join("[^/]*".join(map(re.escape, part.split("*"))) for part in parts)
            self.patterns.append((re.compile(body + "(/.*)"), purged_at))
        elif purge.kind == "object":
            self.objects[value] = purged_at
        else:
            self.tags[value] = purged_at

    def newest(self, lookup: PurgeLookup, tags: tuple[str, ...], store: str) -> int:  # noqa: ARG002 - as PurgeIndex
        """Returns the time of the newest purge that matches."""
        newest = max([self.objects.get(lookup.object_key, 0), *(self.tags.get(tag, 0) for tag in tags)])
        for expression, purged_at in self.patterns:
            if purged_at > newest and expression.fullmatch(lookup.path):
                newest = purged_at
        return newest


def filled_index(name: str, purges: list[Purge]) -> "PurgeIndex | PlainIndex":
    """Returns an index that contains these purges.

    :param name: `own` for PurgeIndex, `plain` for PlainIndex.
    """
    index = PurgeIndex(LIFETIME, 10_000_000) if name == "own" else PlainIndex()
    for purge in purges:
        index.add(purge, purge.purged_at)
    return index


def seconds(function: Callable[[], object]) -> float:
    """Returns the seconds that a call takes."""
    began = time.perf_counter()
    function()
    return time.perf_counter() - began


def measure_index() -> None:
    """Prints the time of adding a purge and of a lookup, and the memory, for both indexes."""
    print(f"{'marks':>9} {'kind':6} {'add us':>8} {'look us':>9} {'MB':>7}")
    for count in (1_000, 10_000, 100_000, 1_000_000):
        for name in ("own", "plain"):
            if name == "plain" and count > 100_000:
                continue  # a lookup takes a second
            measure_index_of(name, count)


def measure_index_of(name: str, count: int) -> None:
    """Prints the line of one index and size."""
    chance = random.Random(1)
    purges = random_purges(count, chance)
    tracemalloc.start()
    index = filled_index(name, purges)
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    add_us = seconds(lambda: filled_index(name, purges)) / count * 1e6
    lookup_count = LOOKUPS if count < 100_000 or name == "own" else FEW_LOOKUPS
    lookups = [
        PurgeLookup("page", f"o{chance.randrange(count)}", "x", f"/p{n % 977}/rose-{n}/1")
        for n in range(lookup_count)
    ]
    tags = ("t1", "t7")
    lookup_us = seconds(lambda: [index.newest(each, tags, "north") for each in lookups]) / lookup_count * 1e6
    print(f"{count:9} {name:6} {add_us:8.1f} {lookup_us:9.1f} {megabytes:7.1f}")


def measure_request() -> None:
    """Prints the time to bound the age of a request's copy and to check the copy."""
    for count in (0, 1_000, 100_000):
        fleet_purges = FleetPurges(GRACE, LIFETIME, 1_000_000, 65_536)
        fleet_purges.lease.renew(NOW)
        update = ApplyPurges(tuple(random_purges(count, random.Random(1))), 0)
        fleet_purges.apply(update, count, NOW)
        lookups = [PurgeLookup("page", f"x{n}", "x", f"/p{n % 977}/rose-{n}/1") for n in range(LOOKUPS)]
        copy = CachedCopy(0, 5, ("t-a", "t-b"))
        began = time.perf_counter()
        for lookup in lookups:
            fleet_purges.max_age(lookup, "north", ("c", "p"), 8_000_000, NOW)
            fleet_purges.accepts(lookup, "north", copy, NOW, 0)
        print(f"{count:7} marks: {(time.perf_counter() - began) / LOOKUPS * 1e6:6.1f} us a req")


def measure_log() -> None:
    """Prints how many purges a second the log makes durable, by the size of batches."""
    with tempfile.TemporaryDirectory() as folder:
        log = PurgeLog(RealDisk(folder))
        for batch_size in (1, 16, 256, 4_096):
            rounds = 50 if batch_size < 4_096 else 10
            began = time.perf_counter()
            for _ in range(rounds):
                first = log.head + 1
                log.append(
                    [Purge(n, n, "tag", ("rose",), key=f"k{n}") for n in range(first, first + batch_size)]
                )
            took = time.perf_counter() - began
            rate = rounds * batch_size / took
            print(f"log: {batch_size:5} at once: {rate:9.0f} purges/s, {took / rounds * 1e3:.2f} ms a sync")


async def start_server(tasks: anyio.abc.TaskGroup, folder: str) -> tuple[PurgeLogServer, tuple[str, int]]:
    """Starts a purge log in this process; returns it and its address."""
    listeners = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    address = ("127.0.0.1", listeners.extra(anyio.abc.SocketAttribute.local_port))
    server = PurgeLogServer(RealDisk(folder), GRACE, RateLimitedLog("ledger", wall_clock))
    tasks.start_soon(server.run, list(listeners.listeners))
    return server, address


async def measure_server() -> None:
    """Prints how fast the purge log accepts pipelined purges, and how fast a member catches up."""
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            _, address = await start_server(tasks, folder)
            requests = [PurgeRequest("tag", (f"t{n}",), key=f"k{n}") for n in range(PIPELINED_PURGES)]
            began = time.perf_counter()
            await QueryClient([address], 30).ask_all(requests)
            rate = PIPELINED_PURGES / (time.perf_counter() - began)
            print(f"ledger: {PIPELINED_PURGES} purges at once: {rate:.0f} purges/s")
            for missed in (100, 1_000, 10_000):
                took = await catch_up(address, PIPELINED_PURGES - missed, PIPELINED_PURGES)
                print(f"catching up: {missed:6} missed: {took * 1e3:7.1f} ms")
            tasks.cancel_scope.cancel()


async def catch_up(address: tuple[str, int], applied_up_to: int, head: int) -> float:
    """Returns the seconds until a member that lacks purges has all up to the head in an index."""
    replica = PurgeReplica("r", "watcher", "t", FreshnessLease(lease_length(GRACE)), applied_up_to)
    index = PurgeIndex(LIFETIME, 1 << 30)
    began = time.perf_counter()
    async with await anyio.connect_tcp(*address) as stream:
        await stream.send(messages.encode_line(replica.start_connection()))
        async for line in read_lines(stream):
            for effect in replica.receive(messages.decode_from_purge_log(line), wall_clock()):
                if isinstance(effect, ApplyPurges):
                    for purge in effect.purges:
                        index.add(purge, purge.purged_at)
            if replica.applied_up_to == head:
                break
    return time.perf_counter() - began


async def run_member(address: tuple[str, int], name: str) -> None:
    """Runs a member that only acknowledges purges."""
    replica = PurgeReplica(name, "router", "t", FreshnessLease(lease_length(GRACE)))
    stream = await anyio.connect_tcp(*address)
    await stream.send(messages.encode_line(replica.start_connection()))
    async for line in read_lines(stream):
        for effect in replica.receive(messages.decode_from_purge_log(line), wall_clock()):
            if isinstance(effect, SendMessage):
                await stream.send(messages.encode_line(effect.message))


async def measure_members() -> None:
    """Prints delays until all members have a purge; they share this process, which makes them slower."""
    for count in (1, 6, 24):
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as tasks:
                server, address = await start_server(tasks, folder)
                for n in range(count):
                    tasks.start_soon(run_member, address, f"r{n}")
                await anyio.sleep(0.5)
                client = QueryClient([address])
                for n in range(PURGES_WITH_MEMBERS):
                    await client.ask(PurgeRequest("tag", ("rose",), key=f"k{n}"))
                    await anyio.sleep(0.004)
                await anyio.sleep(0.3)
                registry = server.registry
                delays_ms = {
                    name: round(delay / 1000, 1)
                    for name, delay in registry.delay_summary().items()
                    if name not in ("purges", "missed")
                }
                print(
                    f"{count:3} routers: ms from taking to the last acknowledgement {delays_ms}, "
                    f"promised {registry.current_promise / 1000:.0f}, missed {registry.missed_promises}"
                )
                tasks.cancel_scope.cancel()


if __name__ == "__main__":
    wanted = sys.argv[1:] or ["marks", "req", "ledger", "members"]
    if "marks" in wanted:
        measure_index()
    if "req" in wanted:
        measure_request()
    if "ledger" in wanted:
        measure_log()
        anyio.run(measure_server, backend_options=BACKEND_OPTIONS)
    if "members" in wanted:
        anyio.run(measure_members, backend_options=BACKEND_OPTIONS)
