"""Tests of the purge log over loopback: order, keys, members, a full disk, takeover, malformed lines."""

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

GRACE_US = 300_000


class RunningPurgeLog:
    """A purge log server in this process, and connections to it."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.server = None
        self.address = None

    async def start(self, disk, **options):
        port = await free_port()
        listeners = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.address = ("127.0.0.1", port)
        report = RateLimitedLog("l", process_module.wall_clock)
        self.server = PurgeLogServer(disk, GRACE_US, report, **options)
        self.tasks.start_soon(self.server.run, list(listeners.listeners))
        return self

    def client(self):
        return QueryClient([self.address], 2.0)

    async def ask(self, request):
        return await self.client().ask(request)

    async def join(self, name, kind="router", token="t", **fields):
        """Returns a member's connection on which the hello message was sent."""
        member = self.client()
        await member.connect()
        await member.stream.send(encode_line(MemberHello(name, kind, token, **fields)))
        return member


def run_in_task_group(body, timeout=20):
    """Runs a coroutine function with a task group, and raises TimeoutError after some seconds."""

    async def run():
        with anyio.fail_after(timeout):
            async with anyio.create_task_group() as tasks:
                await body(tasks)
                tasks.cancel_scope.cancel()

    anyio.run(run, backend_options=process_module.BACKEND_OPTIONS)


async def receive(member, message_type):
    """Returns the next message of a type; ignores others."""
    while not isinstance(message := await member.receive(), message_type):
        pass
    return message


async def acknowledge(member, applied_up_to, ack_id):
    await member.stream.send(encode_line(MemberAck(applied_up_to, ack_id)))


def test_members_get_purges_in_order_once_they_are_durable():
    """Purges arrive faster than the disk syncs, so many share one sync.

    A member that is connected from the start receives each purge once and in order; one that joins late
    receives those that it lacks. Purges sent again with the same keys are recognized and not admitted again.
    """
    disk = FaultyDisk()

    async def body(tasks):
        purge_log = await RunningPurgeLog(tasks).start(disk)
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
        assert disk.sync_count < 1_000
        repeated = await client.ask_all(requests[:5])
        found = [(answer.sequence_number, answer.is_duplicate) for answer in repeated]
        assert found == [(number, True) for number in range(1, 6)]
        assert [purge.sequence_number for purge in read_log(disk).purges] == list(range(1, 1_201))

    run_in_task_group(body)


def test_a_purge_is_complete_once_router_and_cache_have_acknowledged_it():
    """Until both members have acknowledged a purge, its status is incomplete and names the missing one."""

    async def body(tasks):
        purge_log = await RunningPurgeLog(tasks).start(FaultyDisk())
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

    run_in_task_group(body)


def test_a_second_process_of_one_name_is_rejected():
    """Two processes use the same name, for example after a configuration was copied.

    Each would acknowledge purges that the other lacks, so the second is rejected. The same process on a new
    connection is accepted, and its older connection is closed.
    """

    async def body(tasks):
        purge_log = await RunningPurgeLog(tasks).start(FaultyDisk())
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

    run_in_task_group(body)


def test_a_full_disk_rejects_purges_and_loses_no_confirmed_one():
    """The disk is full while a purge is written: the purge is rejected with a time after which to retry.

    Once there is room, it is accepted with the number that it would have had, and members receive both.
    """
    disk = FaultyDisk()

    async def body(tasks):
        purge_log = await RunningPurgeLog(tasks).start(disk)
        client, watcher = purge_log.client(), await purge_log.join("w", "watcher")
        assert isinstance(await client.ask(PurgeRequest("tag", ("a",), key="a")), PurgeAccepted)
        disk.capacity = disk.used
        rejection = await client.ask(PurgeRequest("tag", ("b",), key="b"))
        assert (rejection.place, rejection.reason) == ("disk", "No space left on device")
        assert rejection.retry_after
        disk.capacity = 1 << 30
        accepted = await client.ask(PurgeRequest("tag", ("b",), key="b"))
        registry = purge_log.server.registry
        assert accepted == PurgeAccepted(2, registry.purge(2).purged_at, registry.current_promise)
        assert [purge.values for purge in read_log(disk).purges] == [("a",), ("b",)]
        received = []
        while len(received) < 2:
            received += (await receive(watcher, PurgeBatch)).purges
        assert [purge.values for purge in received] == [("a",), ("b",)]

    run_in_task_group(body)


def test_a_fenced_purge_log_ends_and_members_follow(tmp_path):
    """A second writer starts on the same folder while the first still serves.

    The first finds the higher epoch at its next heartbeat and ends. The second has every purge that the first
    confirmed. A purge log rejects a member that has seen a higher epoch than its own.
    """

    async def body(tasks):
        old = await RunningPurgeLog(tasks).start(RealDisk(str(tmp_path)))
        accepted = await old.ask(PurgeRequest("tag", ("a",), key="a"))
        member = await old.join("r1")
        await receive(member, Heartbeat)
        new = await RunningPurgeLog(tasks).start(RealDisk(str(tmp_path)))
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                await member.receive()
        assert old.server.is_fenced
        repeated = await new.ask(PurgeRequest("tag", ("a",), key="a"))
        assert (repeated.sequence_number, repeated.is_duplicate) == (accepted.sequence_number, True)
        member_of_newer = await new.join("r1", epoch=new.server.registry.epoch + 1)
        assert (await member_of_newer.receive()).place == "epoch"

    run_in_task_group(body)


def test_a_member_that_is_too_far_behind_gets_a_snapshot(tmp_path):
    """Purges are trimmed and the log is compacted: a member that lacks trimmed purges receives a snapshot.

    One snapshot and the open segment remain in the folder.
    """

    async def body(tasks):
        disk = RealDisk(str(tmp_path))
        purge_log = await RunningPurgeLog(tasks).start(disk, compact_after=50)
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

    run_in_task_group(body)


def test_a_malformed_line_affects_only_its_own_connection():
    """Clients send invalid lines: an HTTP request, an incomplete message, invalid UTF-8, an endless line.

    Each gets a rejection or its connection is closed, and the next client is served.
    """

    async def body(tasks):
        purge_log = await RunningPurgeLog(tasks).start(FaultyDisk())
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

    run_in_task_group(body)


# Guards against replies that pile up for a client that asks for all members and reads nothing.
def test_queries_of_a_client_that_reads_nothing_are_not_answered_ahead(monkeypatch):
    async def body(tasks):
        running = await RunningPurgeLog(tasks).start(FaultyDisk())
        for number in range(3_000):
            running.server.registry.join(
                MemberHello(f"m{number}", "router", "t"), process_module.wall_clock()
            )
        replies = 0
        members_reply = running.server.registry.members_reply

        def count_reply(now):
            nonlocal replies
            replies += 1
            return members_reply(now)

        monkeypatch.setattr(running.server.registry, "members_reply", count_reply)
        client = running.client()
        await client.connect()
        await client.stream.send(encode_line(MembersQuery()) * 700)
        await anyio.sleep(1.0)
        unread = replies
        assert unread < 100  # as many as the kernel's buffers take, and one
        for _ in range(700):
            await client.receive()
        assert replies == 700

    run_in_task_group(body)


def test_connections_that_are_reset_at_once_do_not_affect_other_clients(tmp_path):
    """Three hundred clients reset their connections right away, half of them after they sent a purge."""

    async def body(tasks):
        purge_log = await RunningPurgeLog(tasks).start(FaultyDisk())
        for n in range(300):
            with socket.create_connection(purge_log.address) as raw:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                if n % 2:
                    raw.send(encode_line(PurgeRequest("tag", ("a",), key=f"{n}")))
            if n % 10 == 0:
                await anyio.sleep(0.002)
        assert isinstance(await purge_log.ask(PurgeRequest("tag", ("b",))), PurgeAccepted)

    run_in_task_group(body)


def spawn(folder, port, *options):
    """Starts a purge log process for a folder and a port."""
    listen = f"127.0.0.1:{port}"
    command = ["quartzrouter.cli", "ledger", "run", str(folder), "--listen", listen, *options]
    return subprocess.Popen([sys.executable, "-m", *command], stderr=subprocess.PIPE)


def test_a_process_killed_at_any_moment_loses_no_confirmed_purge(tmp_path):
    """A purge log is killed three times while a client sends purges, each repeated until it is accepted.

    Wherever a write was cut short, the next process must find every purge that was confirmed to the client,
    with its number, and continue the numbers without a gap. Each process is killed a random time after it
    has confirmed some purges, because the duration of a start depends on the machine.
    """
    rng = random.Random(7)

    async def body(tasks):
        port = await free_port()
        process = spawn(tmp_path, port)
        confirmed, stopping = {}, anyio.Event()

        async def send_purges():
            client, number = QueryClient([("127.0.0.1", port)], 0.5), 0
            while not stopping.is_set():
                try:
                    accepted = await client.ask(PurgeRequest("object", (f"o{number}",), key=f"k{number}"))
                except UnreachableError:
                    await anyio.sleep(0.02)
                    continue
                confirmed[number] = accepted.sequence_number
                number += 1

        async def wait_for_confirmations():
            before = len(confirmed)
            while len(confirmed) < before + 20:
                await anyio.sleep(0.01)
            await anyio.sleep(rng.uniform(0.0, 0.3))

        tasks.start_soon(send_purges)
        for _ in range(3):
            await wait_for_confirmations()
            process.kill()
            process.wait()
            process.stderr.close()
            process = spawn(tmp_path, port)
        await wait_for_confirmations()
        stopping.set()
        process.send_signal(signal.SIGTERM)
        status = await anyio.to_thread.run_sync(process.wait)
        process.stderr.close()
        found = {purge.key: purge.sequence_number for purge in read_log(RealDisk(str(tmp_path))).purges}
        assert status == 0 and len(confirmed) > 50
        assert {f"k{n}": number for n, number in confirmed.items()}.items() <= found.items()
        assert sorted(found.values()) == list(range(1, len(found) + 1))

    run_in_task_group(body, timeout=60)


def test_a_standby_takes_over_and_the_primary_exits_once_it_wakes(tmp_path):
    """A primary stalls, and its standby takes over the folder.

    The standby has every purge that the primary confirmed. The primary wakes and finds a higher epoch: it
    confirms no more purges, and exits with status 3.
    """

    async def body(tasks):
        first_port, second_port = await free_port(), await free_port()
        primary = spawn(tmp_path, first_port, "--grace", "200ms")
        assert await accepts_connections(first_port)
        accepted = await ask_until_answered(first_port, PurgeRequest("tag", ("a",), key="a"))
        standby = spawn(tmp_path, second_port, "--grace", "200ms", "--standby", f"127.0.0.1:{first_port}")
        line = await anyio.to_thread.run_sync(standby.stderr.readline)
        assert b"standing by for" in line
        os.kill(primary.pid, signal.SIGSTOP)
        repeated = await ask_until_answered(second_port, PurgeRequest("tag", ("a",), key="a"))
        assert (repeated.sequence_number, repeated.is_duplicate) == (accepted.sequence_number, True)
        os.kill(primary.pid, signal.SIGCONT)
        with contextlib.suppress(UnreachableError):  # the primary can't confirm what it admits now
            client = QueryClient([("127.0.0.1", first_port)], 2.0)
            answer = await client.ask(PurgeRequest("tag", ("b",), key="b"))
            assert not isinstance(answer, PurgeAccepted)
        assert await anyio.to_thread.run_sync(primary.wait) == 3
        assert b"has begun" in primary.stderr.read()
        standby.terminate()
        standby.wait()
        primary.stderr.close()
        standby.stderr.close()

    run_in_task_group(body, timeout=60)


async def ask_until_answered(port, request):
    """Repeats a request until it is answered, however long a start or a takeover takes."""
    client = QueryClient([("127.0.0.1", port)], 0.5)
    while True:
        try:
            return await client.ask(request)
        except UnreachableError:
            await anyio.sleep(0.05)


async def accepts_connections(port):
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        try:
            async with await anyio.connect_tcp("127.0.0.1", port):
                return True
        except OSError:
            await anyio.sleep(0.02)
    return False


def test_a_damaged_folder_is_reported_in_one_line(tmp_path):
    """A segment contains garbage: the command reports the place, the reason and the remedy in one line."""
    (tmp_path / "00000001-00000001.log").write_bytes(b"nonsense" * 9)
    found = subprocess.run(
        [sys.executable, "-m", "quartzrouter.cli", "ledger", "check", str(tmp_path)],
        capture_output=True,
        text=True,
    )
    assert found.returncode == 1 and len(found.stderr.splitlines()) == 1
    assert "00000001-00000001.log, byte 0: the checksum of a length is wrong; restore" in found.stderr
    assert json.dumps(found.stdout) == '""'
