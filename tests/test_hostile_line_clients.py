"""Purge logs and acceptors beside clients that send at full speed, stop half way or read nothing."""

import time

import anyio
import pytest
from measured_process import (
    SoundClient,
    hostile_clients,
    measured_process,
    wait_until_listening,
)

from quartzrouter.fakes.loopback import free_port
from quartzrouter.lease_service.queries import ask
from quartzrouter.leases.terms import AcceptorStatus
from quartzrouter.purge_log.line_connection import connect, read_lines
from quartzrouter.purge_log.query_client import QueryClient
from quartzrouter.purges import messages
from quartzrouter.purges.freshness_lease import lease_length
from quartzrouter.purges.messages import Heartbeat, MemberAck, MemberHello, PurgeAccepted, PurgeRequest
from quartzrouter.server import process

SECONDS = 3.0  # of hostile clients
SEED = 57
MAX_GROWTH = 64 << 20  # bytes; a server holds 16 MiB of unfinished lines, and a read for each connection
MAX_WAIT = 1.0  # seconds; clients give up after 5
GRACE = 1_000_000  # microseconds
PLAN = """{
  deployment: { name: "t", home: "north", listen: "127.0.0.1:1" },
  stores: { north: { hub: "h" } }, hubs: { h: {} },
  caches: {
    n1: { address: "127.0.0.1:2", at: "north" }, o: { address: "127.0.0.1:3", at: "h", tier: "origin" },
  },
  vhosts: { page: { effect: "replayable", client_timeout: 3s } },
  pools: { near: {} }, routes: { all: { match: {}, vhost: "page", pool: "near" } },
  leases: {
    keepers: { k0: "127.0.0.1:%d", k1: "127.0.0.1:4", k2: "127.0.0.1:5" }, length: 3s,
    tasks: { deliver: {} },
  },
}"""


async def gaps_between_heartbeats(port, gaps):
    """Acknowledges each heartbeat as a member, and records the seconds between them."""
    async with await connect(("127.0.0.1", port)) as stream:
        await stream.send(messages.encode_line(MemberHello("sound", "router", "0123abcd")))
        heard_at = time.monotonic()
        async for line in read_lines(stream):
            message = messages.decode_from_purge_log(line)
            if not isinstance(message, Heartbeat):
                continue
            now = time.monotonic()
            gaps.append(now - heard_at)
            heard_at = now
            await stream.send(messages.encode_line(MemberAck(message.head, len(gaps))))


async def play(measured, kind, port, request, also=None):
    """Plays hostile clients beside a sound one; returns the growth in bytes, and the sound client."""
    await wait_until_listening(port)
    client = SoundClient(request)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.run)
        if also:
            tasks.start_soon(also)
        await anyio.sleep(0.5)
        before = measured.resident_bytes()
        tasks.start_soon(measured.watch_memory)
        async with hostile_clients(kind, port, SECONDS, SEED):
            pass
        await anyio.sleep(0.5)
        tasks.cancel_scope.cancel()
    assert measured.is_running
    growth = max(measured.memory) - before
    slowest = max(client.waits)
    print(f"{kind}: grew by {growth >> 20} MiB, slowest of {len(client.waits)} answers {slowest:.3f} s")
    return growth, client


# Guards against memory without end and late heartbeats while one client, or hundreds, send at full speed.
@pytest.mark.parametrize(
    "kind",
    ["queries", "queries, unread", "half lines", "acknowledgements", "health reports", "new purges"],
)
def test_hostile_clients_of_a_purge_log_take_little_memory_and_delay_nobody(tmp_path, kind):
    gaps = []

    async def run():
        port = await free_port()
        address = f"127.0.0.1:{port}"
        command = ["-m", "quartzrouter.cli", "ledger", "run", str(tmp_path / "log"), "--listen", address]
        with measured_process([*command, "--grace", "1s"], tmp_path / "stderr") as measured:
            queries = QueryClient([("127.0.0.1", port)])
            keys = iter(range(1_000_000))

            async def purge():
                request = PurgeRequest("tag", ("rose",), key=f"key-{next(keys)}")
                return isinstance(await queries.ask(request), PurgeAccepted)

            async def follow():
                await gaps_between_heartbeats(port, gaps)

            return await play(measured, f"purge log: {kind}", port, purge, follow)

    growth, client = anyio.run(run, backend_options=process.BACKEND_OPTIONS)
    print(f"longest gap between {len(gaps)} heartbeats {max(gaps):.3f} s")
    assert growth < MAX_GROWTH
    assert max(client.waits) < MAX_WAIT and not client.failures
    assert max(gaps) < lease_length(GRACE) / 1e6


# Guards against memory without end, and votes that come late, while others send to an acceptor at full speed.
@pytest.mark.parametrize("kind", ["queries", "half lines", "votes"])
def test_hostile_clients_of_an_acceptor_take_little_memory_and_delay_nobody(tmp_path, kind):
    async def run():
        port = await free_port()
        plan = tmp_path / "main.plan"
        plan.write_text(PLAN % port)
        command = ["-m", "quartzrouter.cli", "keeper", "run", str(plan), "--name", "k0"]
        with measured_process([*command, "--folder", str(tmp_path / "k0")], tmp_path / "stderr") as measured:

            async def query():
                return isinstance(await ask(("127.0.0.1", port), timeout=5.0), AcceptorStatus)

            return await play(measured, f"acceptor: {kind}", port, query)

    growth, client = anyio.run(run, backend_options=process.BACKEND_OPTIONS)
    assert growth < MAX_GROWTH
    assert max(client.waits) < MAX_WAIT and not client.failures
