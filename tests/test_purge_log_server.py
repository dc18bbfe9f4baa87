"""The purge log over loopback: order, keys, members, a full disk, takeover, malformed lines."""

import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import time

import anyio
import pytest

from quartzrouter.fakes.faulty_disk import FaultyDisk
from quartzrouter.fakes.loopback import free_port
from quartzrouter.purge_log.disk import RealDisk
from quartzrouter.purge_log.errors import UnreachableError
from quartzrouter.purge_log.query_client import QueryClient
from quartzrouter.purge_log.segments import read_log
from quartzrouter.purge_log.server import PurgeLogServer
from quartzrouter.purges.messages import (
    Heartbeat,
    MemberAck,
    MemberHello,
    MemberLeave,
    MembersQuery,
    PurgeAccepted,
    PurgeBatch,
    PurgeRequest,
    RequestRejected,
    Snapshot,
    StatusQuery,
    Welcome,
    encode_line,
)
from quartzrouter.server import process as process_module
from quartzrouter.server.rate_limited_log import RateLimitedLog

GRACE = 300_000  # us


class OpenPurgeLog:
    """A purge log in this process, and connections to it."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.server = None
        self.address = None

    async def start(self, disk, **options):
        port = await free_port()
        listeners = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.address = ("127.0.0.1", port)
        report = RateLimitedLog("l", process_module.wall_clock)
        self.server = PurgeLogServer(disk, GRACE, report, **options)
        self.tasks.start_soon(self.server.run, list(listeners.listeners))
        return self

    def client(self):
        return QueryClient([self.address], 2.0)

    async def ask(self, request):
        return await self.client().ask(request)

    async def join(self, name, kind="router", token="t", **fields):
        """A member's connection, on which it has said hello."""
        member = self.client()
        await member.connect()
        await member.stream.send(encode_line(MemberHello(name, kind, token, **fields)))
        return member


def play(scene, within=20):
    """Plays a scene, which must come to its end within some seconds."""

    async def run():
        with anyio.fail_after(within):
            async with anyio.create_task_group() as tasks:
                await scene(tasks)
                tasks.cancel_scope.cancel()

    anyio.run(run, backend_options=process_module.BACKEND_OPTIONS)


async def receive(member, message_type):
    """The next message of a type."""
    while not isinstance(message := await member.receive(), message_type):
        pass
    return message


async def acknowledge(member, applied_up_to, ack_id):
    await member.stream.send(encode_line(MemberAck(applied_up_to, ack_id)))


def test_members_get_purges_in_order_once_they_are_durable():
    """Purges come faster than the disk syncs.

    Many share one sync. A member that is there from the start gets each once and in order; one that joins
    late gets what it lacks. Purges sent again under their keys are found, and not admitted again.
    """
    disk = FaultyDisk()

    async def scene(tasks):
        purge_log = await OpenPurgeLog(tasks).start(disk)
        client = purge_log.client()
        requests = [PurgeRequest("object", (f"o{n}",), key=f"k{n}") for n in range(1_200)]
        early = await purge_log.join("r1")
        assert (await early.receive()).head == 0
        answers = await client.ask_all(requests)
        assert [answer.sequence_number for answer in answers] == list(range(1, 1_201))
        received = []
        while len(received) < 1_200:
            batch = await receive(early, PurgeBatch)
            received += [purge.sequence_number for purge in batch.purges]
        assert received == list(range(1, 1_201))
        late = await purge_log.join("r2", applied_up_to=1_190)
        batch = await receive(late, PurgeBatch)
        assert [purge.sequence_number for purge in batch.purges] == list(range(1_191, 1_201))
        assert disk.syncs < 1_000
        repeated = await client.ask_all(requests[:5])
        found = [(answer.sequence_number, answer.is_duplicate) for answer in repeated]
        assert found == [(number, True) for number in range(1, 6)]
        assert [purge.sequence_number for purge in read_log(disk).purges] == list(range(1, 1_201))

    play(scene)


def test_a_purge_is_complete_once_router_and_cache_have_acknowledged_it():
    """A purge is complete once the router and the cache have acknowledged it; the status names who hasn't."""

    async def scene(tasks):
        purge_log = await OpenPurgeLog(tasks).start(FaultyDisk())
        await anyio.sleep(0.2)  # until leases of an earlier process would be over
        router, cache = await purge_log.join("r1"), await purge_log.join("c1", "cache")
        for member in (router, cache):
            await receive(member, Welcome)
            await acknowledge(member, 0, 1)
        await receive(router, Heartbeat)
        client = purge_log.client()
        accepted = await client.ask(PurgeRequest("tag", ("rose",)))
        await acknowledge(router, 1, 2)
        status = await client.ask(StatusQuery(accepted.sequence_number))
        assert (status.is_complete, status.waiting_for) == (False, ("c1",))
        await acknowledge(cache, 1, 2)
        while not (status := await client.ask(StatusQuery(1))).is_complete:
            await anyio.sleep(0.01)
        assert 0 < status.completed_after < 1_000_000 and status.delays["purges"] == 1
        members = (await client.ask(MembersQuery())).members
        found = [(member.name, member.applied_up_to, member.is_live) for member in members]
        assert found == [("c1", 1, True), ("r1", 1, True)]
        await cache.stream.send(encode_line(MemberLeave()))
        while len((await client.ask(MembersQuery())).members) > 1:
            await anyio.sleep(0.01)

    play(scene)


def test_a_second_process_of_one_name_is_rejected():
    """Two processes have one name, as after a copied configuration.

    Each would acknowledge what the other lacks, so the second is rejected. The same process on a new
    connection is let in, and its older connection is closed.
    """

    async def scene(tasks):
        purge_log = await OpenPurgeLog(tasks).start(FaultyDisk())
        first = await purge_log.join("r1")
        await receive(first, Welcome)
        await acknowledge(first, 0, 1)
        await receive(first, Heartbeat)
        other_process = await purge_log.join("r1", token="other")
        rejection = await other_process.receive()
        assert isinstance(rejection, RequestRejected) and rejection.place == "name" and rejection.retry_after
        same_process = await purge_log.join("r1")
        await receive(same_process, Welcome)
        with pytest.raises(anyio.EndOfStream):
            while True:
                await first.receive()

    play(scene)


def test_a_full_disk_rejects_and_nothing_promised_is_lost():
    """The disk is full while a purge is written: the purge is rejected with a time to retry after.

    Once there is room it is accepted under the number that it would have had, and members get both.
    """
    disk = FaultyDisk()

    async def scene(tasks):
        purge_log = await OpenPurgeLog(tasks).start(disk)
        client, watcher = purge_log.client(), await purge_log.join("w", "watcher")
        assert isinstance(await client.ask(PurgeRequest("tag", ("a",), key="a")), PurgeAccepted)
        disk.room = disk.used
        rejection = await client.ask(PurgeRequest("tag", ("b",), key="b"))
        assert (rejection.place, rejection.reason) == ("disk", "No space left on device")
        assert rejection.retry_after
        disk.room = 1 << 30
        accepted = await client.ask(PurgeRequest("tag", ("b",), key="b"))
        registry = purge_log.server.registry
        assert accepted == PurgeAccepted(2, registry.purge(2).purged_at, registry.current_promise)
        assert [purge.values for purge in read_log(disk).purges] == [("a",), ("b",)]
        received = []
        while len(received) < 2:
            received += (await receive(watcher, PurgeBatch)).purges
        assert [purge.values for purge in received] == [("a",), ("b",)]

    play(scene)


def test_a_fenced_purge_log_ends_and_members_follow(tmp_path):
    """A second writer begins on the same folder while the first still serves.

    The first finds the higher epoch at its next heartbeat and ends. The second knows what the first had
    promised. A member that has heard of a higher epoch than a purge log's is rejected by it.
    """

    async def scene(tasks):
        old = await OpenPurgeLog(tasks).start(RealDisk(str(tmp_path)))
        accepted = await old.ask(PurgeRequest("tag", ("a",), key="a"))
        member = await old.join("r1")
        await receive(member, Heartbeat)
        new = await OpenPurgeLog(tasks).start(RealDisk(str(tmp_path)))
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                await member.receive()
        assert old.server.is_fenced
        repeated = await new.ask(PurgeRequest("tag", ("a",), key="a"))
        assert (repeated.sequence_number, repeated.is_duplicate) == (accepted.sequence_number, True)
        member_of_newer = await new.join("r1", epoch=new.server.registry.epoch + 1)
        assert (await member_of_newer.receive()).place == "epoch"

    play(scene)


def test_a_member_that_is_too_far_behind_gets_a_snapshot(tmp_path):
    """Purges are trimmed and the log is compacted: a member that lacks what was trimmed gets a snapshot.

    In the folder stay one snapshot and the segment that is written.
    """

    async def scene(tasks):
        disk = RealDisk(str(tmp_path))
        purge_log = await OpenPurgeLog(tasks).start(disk, compact_after=50)
        registry = purge_log.server.registry
        registry.max_retained = 100
        await anyio.sleep(0.2)  # until leases of an earlier process would be over
        for round_ in range(10):
            requests = [PurgeRequest("tag", ("a",), key=f"{n}-{round_}") for n in range(60)]
            await purge_log.client().ask_all(requests)
        assert registry.trimmed_up_to > 300
        member = await purge_log.join("r1")
        page = await receive(member, Snapshot)
        assert page.head >= registry.trimmed_up_to and page.low_watermark == registry.low_watermark
        while len(names := [name for name in disk.names() if not name.startswith("epoch")]) != 2:
            await anyio.sleep(0.01)
        assert names[0].endswith(".snapshot") and names[1].endswith(".log")
        assert read_log(disk).head == 600

    play(scene)


def test_a_malformed_line_costs_its_connection_and_nothing_else():
    """Somebody sends what is no message: an HTTP request, an unfinished one, no text, a line without end.

    Each is rejected or cut off, and the next client is served.
    """

    async def scene(tasks):
        purge_log = await OpenPurgeLog(tasks).start(FaultyDisk())
        for data in (
            b"GET / HTTP/1.1\r\n\r\n",
            b'{"say":"send"}\n',
            b"\xff\xfe\n",
            b'{"say":"ack"}\n',
            b"x" * 300_000,
        ):
            client = purge_log.client()
            await client.connect()
            await client.stream.send(data)
            try:
                assert (await client.receive()).place == "line"
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                assert len(data) > 1_000
        assert (await purge_log.ask(MemberAck(0, 1))).reason == "ack before any hello"
        assert isinstance(await purge_log.ask(PurgeRequest("tag", ("a",))), PurgeAccepted)

    play(scene)


def test_connections_that_are_reset_at_once_disturb_nobody_else(tmp_path):
    """Three hundred clients reset their connections at once, half of them behind a purge."""

    async def scene(tasks):
        purge_log = await OpenPurgeLog(tasks).start(FaultyDisk())
        for n in range(300):
            with socket.create_connection(purge_log.address) as raw:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                if n % 2:
                    raw.send(encode_line(PurgeRequest("tag", ("a",), key=f"{n}")))
            if n % 10 == 0:
                await anyio.sleep(0.002)
        assert isinstance(await purge_log.ask(PurgeRequest("tag", ("b",))), PurgeAccepted)

    play(scene)


def spawn(folder, port, *options):
    """A purge log's process, at the folder and port."""
    listen = f"127.0.0.1:{port}"
    command = ["quartzrouter.cli", "ledger", "run", str(folder), "--listen", listen, *options]
    return subprocess.Popen([sys.executable, "-m", *command], stderr=subprocess.PIPE)


def test_a_process_killed_at_any_moment_loses_nothing_that_it_promised(tmp_path):
    """A purge log is killed three times while a client sends purges, each again until it is accepted.

    However a write was cut short, the next process must find every purge that the client was promised, under
    its number, and number on without a gap. Each process lives until it has promised some purges and a
    drawn time more: how long a start takes is the machine's matter.
    """
    chance = random.Random(7)

    async def scene(tasks):
        port = await free_port()
        process = spawn(tmp_path, port)
        promised, stopping = {}, anyio.Event()

        async def send_purges():
            client, number = QueryClient([("127.0.0.1", port)], 0.5), 0
            while not stopping.is_set():
                try:
                    accepted = await client.ask(PurgeRequest("object", (f"o{number}",), key=f"k{number}"))
                except UnreachableError:
                    await anyio.sleep(0.02)
                    continue
                promised[number] = accepted.sequence_number
                number += 1

        async def more_promised():
            before = len(promised)
            while len(promised) < before + 20:
                await anyio.sleep(0.01)
            await anyio.sleep(chance.uniform(0.0, 0.3))

        tasks.start_soon(send_purges)
        for _ in range(3):
            await more_promised()
            process.kill()
            process.wait()
            process.stderr.close()
            process = spawn(tmp_path, port)
        await more_promised()
        stopping.set()
        process.send_signal(signal.SIGTERM)
        status = await anyio.to_thread.run_sync(process.wait)
        process.stderr.close()
        found = {purge.key: purge.sequence_number for purge in read_log(RealDisk(str(tmp_path))).purges}
        assert status == 0 and len(promised) > 50
        assert {f"k{n}": number for n, number in promised.items()}.items() <= found.items()
        assert sorted(found.values()) == list(range(1, len(found) + 1))

    play(scene, within=60)


def test_a_standby_takes_over_and_the_first_ends_once_it_wakes(tmp_path):
    """A primary stalls, and its standby takes over the folder.

    The standby knows what the primary had promised. The primary wakes and finds that a higher epoch has
    begun: it promises nothing more, and ends with status 3.
    """

    async def scene(tasks):
        first_port, second_port = await free_port(), await free_port()
        primary = spawn(tmp_path, first_port, "--grace", "200ms")
        assert await is_up(first_port)
        accepted = await ask_until_answered(first_port, PurgeRequest("tag", ("a",), key="a"))
        standby = spawn(tmp_path, second_port, "--grace", "200ms", "--standby", f"127.0.0.1:{first_port}")
        line = await anyio.to_thread.run_sync(standby.stderr.readline)
        assert b"standing by for" in line
        os.kill(primary.pid, signal.SIGSTOP)
        repeated = await ask_until_answered(second_port, PurgeRequest("tag", ("a",), key="a"))
        assert (repeated.sequence_number, repeated.is_duplicate) == (accepted.sequence_number, True)
        os.kill(primary.pid, signal.SIGCONT)
        with contextlib.suppress(UnreachableError):  # what the primary admits now it can't promise
            client = QueryClient([("127.0.0.1", first_port)], 2.0)
            answer = await client.ask(PurgeRequest("tag", ("b",), key="b"))
            assert not isinstance(answer, PurgeAccepted)
        assert await anyio.to_thread.run_sync(primary.wait) == 3
        assert b"has begun" in primary.stderr.read()
        standby.terminate()
        standby.wait()
        primary.stderr.close()
        standby.stderr.close()

    play(scene, within=60)


async def ask_until_answered(port, request):
    """The answer, however long a start or a takeover takes."""
    client = QueryClient([("127.0.0.1", port)], 0.5)
    while True:
        try:
            return await client.ask(request)
        except UnreachableError:
            await anyio.sleep(0.05)


async def is_up(port):
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        try:
            async with await anyio.connect_tcp("127.0.0.1", port):
                return True
        except OSError:
            await anyio.sleep(0.02)
    return False


def test_a_damaged_folder_ends_the_start_with_one_line(tmp_path):
    """A segment holds nonsense: the command says in one line where, why, and what to do."""
    (tmp_path / "00000001-00000001.log").write_bytes(b"nonsense" * 9)
    found = subprocess.run(
        [sys.executable, "-m", "quartzrouter.cli", "ledger", "check", str(tmp_path)],
        capture_output=True,
        text=True,
    )
    assert found.returncode == 1 and len(found.stderr.splitlines()) == 1
    assert "00000001-00000001.log, byte 0: the checksum of a length is wrong; restore" in found.stderr
    assert json.dumps(found.stdout) == '""'
