"""The ledger over loopback: order, keys, members, a full disk, a takeover, lines that nobody should write."""

import json
import os
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
from quartzrouter.purge_log.query_client import QueryClient
from quartzrouter.purge_log.segments import read_log
from quartzrouter.purge_log.server import PurgeLogServer
from quartzrouter.purges.freshness_lease import FreshnessLease
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
from quartzrouter.purges.replica import PurgeReplica
from quartzrouter.server import process as process_module
from quartzrouter.server.rate_limited_log import RateLimitedLog

GRACE = 300_000


class Fleet:
    def __init__(self, tasks):
        self.tasks, self.ledger, self.at = tasks, None, None

    async def start(self, disk, **other):
        port = await free_port()
        listeners = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.at, self.ledger = (
            ("127.0.0.1", port),
            PurgeLogServer(disk, GRACE, RateLimitedLog("l", process_module.wall_clock), **other),
        )
        self.tasks.start_soon(self.ledger.run, list(listeners.listeners))
        return self

    def client(self):
        return QueryClient([self.at], 2.0)

    async def join(self, name, kind="router", token="t", **other):
        member = self.client()
        await member.connect()
        await member.stream.send(encode_line(MemberHello(name, kind, token, **other)))
        return member


def play(scene):
    async def run():
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                await scene(tasks)
                tasks.cancel_scope.cancel()

    anyio.run(run, backend_options=process_module.BACKEND_OPTIONS)


async def until(member, kind):
    while not isinstance(said := await member.receive(), kind):
        pass
    return said


def test_purges_go_to_members_in_their_order_once_they_are_durable():
    disk = FaultyDisk()

    async def scene(tasks):
        fleet = await Fleet(tasks).start(disk)
        client = fleet.client()
        sends = [PurgeRequest("object", (f"o{n}",), key=f"k{n}") for n in range(1_200)]
        early = await fleet.join("r1")
        assert (await early.receive()).head == 0
        taken = await client.ask_all(sends)
        assert [answer.sequence_number for answer in taken] == list(range(1, 1_201))
        heard = []
        while len(heard) < 1_200:
            said = await until(early, PurgeBatch)
            heard += [purge.sequence_number for purge in said.purges]
        assert heard == list(range(1, 1_201))
        late = await fleet.join("r2", applied_up_to=1_190)
        assert [purge.sequence_number for purge in (await until(late, PurgeBatch)).purges] == list(
            range(1_191, 1_201)
        )
        assert disk.syncs < 1_000  # many at once
        again = await client.ask_all(sends[:5])
        assert [(a.sequence_number, a.is_duplicate) for a in again] == [(n, True) for n in range(1, 6)]
        assert [purge.sequence_number for purge in read_log(disk).purges] == list(range(1, 1_201))

    play(scene)


def test_a_member_is_waited_for_named_and_told_where_caches_stand():
    async def scene(tasks):
        fleet = await Fleet(tasks).start(FaultyDisk())
        await anyio.sleep(0.2)  # the first lease
        one, box = await fleet.join("r1"), await fleet.join("c1", "cache")
        for member in (one, box):
            await until(member, Welcome)
            await member.stream.send(encode_line(MemberAck(0, 1)))
        await until(one, Heartbeat)
        client = fleet.client()
        taken = await client.ask(PurgeRequest("tag", ("rose",)))
        await one.stream.send(encode_line(MemberAck(1, 2)))
        told = await client.ask(StatusQuery(taken.sequence_number))
        assert (told.is_complete, told.waiting_for) == (False, ("c1",))
        await box.stream.send(encode_line(MemberAck(1, 2)))
        while not (told := await client.ask(StatusQuery(1))).is_complete:
            await anyio.sleep(0.01)
        assert 0 < told.completed_after < 1_000_000 and told.delays["purges"] == 1
        members = (await client.ask(MembersQuery())).members
        assert [(m.name, m.applied_up_to, m.is_live) for m in members] == [("c1", 1, True), ("r1", 1, True)]
        await box.stream.send(encode_line(MemberLeave()))
        while len((await client.ask(MembersQuery())).members) > 1:
            await anyio.sleep(0.01)

    play(scene)


def test_one_name_is_one_process():
    async def scene(tasks):
        fleet = await Fleet(tasks).start(FaultyDisk())
        first = await fleet.join("r1")
        await until(first, Welcome)
        await first.stream.send(encode_line(MemberAck(0, 1)))
        await until(first, Heartbeat)
        second = await fleet.join("r1", token="other")
        said = await second.receive()
        assert isinstance(said, RequestRejected) and said.place == "name" and said.retry_after
        again = await fleet.join("r1")  # the same process: its older connection is closed
        await until(again, Welcome)
        with pytest.raises(anyio.EndOfStream):
            while True:
                await first.receive()

    play(scene)


def test_a_full_disk_refuses_and_nothing_promised_is_lost():
    disk = FaultyDisk()

    async def scene(tasks):
        fleet = await Fleet(tasks).start(disk)
        client, watcher = fleet.client(), await fleet.join("w", "watcher")
        assert isinstance(await client.ask(PurgeRequest("tag", ("a",), key="a")), PurgeAccepted)
        disk.room = disk.used
        refused = await client.ask(PurgeRequest("tag", ("b",), key="b"))
        assert (refused.place, refused.reason) == ("disk", "No space left on device") and refused.retry_after
        disk.room = 1 << 30
        assert (await client.ask(PurgeRequest("tag", ("b",), key="b"))) == PurgeAccepted(
            2, fleet.ledger.registry.purge(2).purged_at, fleet.ledger.registry.current_promise
        )
        assert [p.values for p in read_log(disk).purges] == [("a",), ("b",)]
        heard = []
        while len(heard) < 2:
            heard += (await until(watcher, PurgeBatch)).purges
        assert [p.values for p in heard] == [("a",), ("b",)]

    play(scene)


def test_a_ledger_that_was_taken_over_from_ends_and_members_follow(tmp_path):
    async def scene(tasks):
        old = await Fleet(tasks).start(RealDisk(str(tmp_path)))
        first = await old.client().ask(PurgeRequest("tag", ("a",), key="a"))
        member = await old.join("r1")
        await until(member, Heartbeat)
        new = await Fleet(tasks).start(RealDisk(str(tmp_path)))
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:  # at its next beat it finds that another writer has begun
                await member.receive()
        assert old.ledger.is_fenced
        again = await new.client().ask(PurgeRequest("tag", ("a",), key="a"))
        assert (again.sequence_number, again.is_duplicate) == (first.sequence_number, True)
        follower = PurgeReplica("r1", "router", "t", FreshnessLease(1), 1)
        follower.epoch = new.ledger.registry.epoch + 1
        stale = await new.join("r1", epoch=follower.epoch)
        assert (await stale.receive()).place == "epoch"

    play(scene)


def test_who_is_too_far_behind_gets_a_snapshot(tmp_path):
    async def scene(tasks):
        fleet = await Fleet(tasks).start(RealDisk(str(tmp_path)), compact_after=50)
        fleet.ledger.registry.max_retained = 100
        await anyio.sleep(0.2)
        for _ in range(10):
            await fleet.client().ask_all([PurgeRequest("tag", ("a",), key=f"{n}-{_}") for n in range(60)])
        book = fleet.ledger.registry
        assert book.trimmed_up_to > 300
        member = await fleet.join("r1")
        told = await until(member, Snapshot)
        assert told.head >= book.trimmed_up_to and told.low_watermark == book.low_watermark
        while len(names := [n for n in RealDisk(str(tmp_path)).names() if not n.startswith("epoch")]) != 2:
            await anyio.sleep(0.01)  # a snapshot, and the file that is written
        assert names[0].endswith(".snapshot") and names[1].endswith(".log")
        assert read_log(RealDisk(str(tmp_path))).head == 600

    play(scene)


def test_lines_that_nobody_should_write_cost_their_connection_and_nothing_else():
    async def scene(tasks):
        fleet = await Fleet(tasks).start(FaultyDisk())
        for data in (
            b"GET / HTTP/1.1\r\n\r\n",
            b'{"say":"send"}\n',
            b"\xff\xfe\n",
            b'{"say":"ack"}\n',
            b"x" * 300_000,
        ):
            client = fleet.client()
            await client.connect()
            await client.stream.send(data)
            try:
                assert (await client.receive()).place == "line"
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                assert len(data) > 1_000
        stranger = fleet.client()
        assert (await stranger.ask(MemberAck(0, 1))).reason == "ack before any hello"
        assert isinstance(await fleet.client().ask(PurgeRequest("tag", ("a",))), PurgeAccepted)

    play(scene)


def test_connections_that_are_reset_at_once_cost_nobody_else(tmp_path):
    async def scene(tasks):
        fleet = await Fleet(tasks).start(FaultyDisk())
        for n in range(300):
            with socket.create_connection(fleet.at) as raw:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                if n % 2:
                    raw.send(encode_line(PurgeRequest("tag", ("a",), key=f"{n}")))
            if n % 10 == 0:
                await anyio.sleep(0.002)
        assert isinstance(await fleet.client().ask(PurgeRequest("tag", ("b",))), PurgeAccepted)

    play(scene)


def spawn(folder, port, *more):
    listen = f"127.0.0.1:{port}"
    return subprocess.Popen(
        [sys.executable, "-m", "quartzrouter.cli", "ledger", "run", str(folder), "--listen", listen, *more],
        stderr=subprocess.PIPE,
    )


def test_a_process_killed_at_any_moment_loses_nothing_that_it_promised(tmp_path):
    """Purges go on while it is killed three times; a client sends each again until it is taken."""

    async def scene(tasks):
        port = await free_port()
        process, promised, stop = [spawn(tmp_path, port)], {}, anyio.Event()

        async def send():
            client, n = QueryClient([("127.0.0.1", port)], 0.5), 0
            while not stop.is_set():
                try:
                    taken = await client.ask(PurgeRequest("object", (f"o{n}",), key=f"k{n}"))
                except Exception:
                    await anyio.sleep(0.02)
                    continue
                promised[n] = taken.sequence_number
                n += 1

        tasks.start_soon(send)
        for wait in (0.9, 0.7, 0.8):
            await anyio.sleep(wait)
            process[0].kill()
            process[0].wait()
            process[0].stderr.close()
            process[0] = spawn(tmp_path, port)
        await anyio.sleep(1.0)
        stop.set()
        process[0].send_signal(signal.SIGTERM)
        status = await anyio.to_thread.run_sync(process[0].wait)
        process[0].stderr.close()
        found = {purge.key: purge.sequence_number for purge in read_log(RealDisk(str(tmp_path))).purges}
        assert status == 0 and len(promised) > 50
        assert {f"k{n}": number for n, number in promised.items()}.items() <= found.items()
        assert sorted(found.values()) == list(range(1, len(found) + 1))

    play(scene)


def test_a_standby_takes_over_and_the_first_ends_once_it_wakes(tmp_path):
    async def scene(tasks):
        first, second = await free_port(), await free_port()
        one = spawn(tmp_path, first, "--grace", "200ms")
        client = QueryClient([("127.0.0.1", first), ("127.0.0.1", second)], 0.3)
        taken = await client.ask(PurgeRequest("tag", ("a",), key="a")) if await up(first) else None
        two = spawn(tmp_path, second, "--grace", "200ms", "--standby", f"127.0.0.1:{first}")
        await anyio.sleep(0.8)
        os.kill(one.pid, signal.SIGSTOP)
        other = QueryClient([("127.0.0.1", second)], 0.5)
        while True:
            try:
                again = await other.ask(PurgeRequest("tag", ("a",), key="a"))
                break
            except Exception:
                await anyio.sleep(0.05)
        assert (again.sequence_number, again.is_duplicate) == (taken.sequence_number, True)
        os.kill(one.pid, signal.SIGCONT)
        try:  # what it takes now it can't promise
            late = await QueryClient([("127.0.0.1", first)], 2.0).ask(PurgeRequest("tag", ("b",), key="b"))
            assert not isinstance(late, PurgeAccepted)
        except Exception as error:
            assert "UnreachableError" in type(error).__name__
        assert await anyio.to_thread.run_sync(one.wait) == 3
        assert b"has begun" in one.stderr.read()
        two.terminate()
        two.wait()
        one.stderr.close()
        two.stderr.close()

    play(scene)


async def up(port):
    until = time.monotonic() + 5
    while time.monotonic() < until:
        try:
            async with await anyio.connect_tcp("127.0.0.1", port):
                return True
        except OSError:
            await anyio.sleep(0.02)
    return False


def test_a_damaged_folder_ends_the_start_with_one_line(tmp_path):
    (tmp_path / "00000001-00000001.log").write_bytes(b"nonsense" * 9)
    found = subprocess.run(
        [sys.executable, "-m", "quartzrouter.cli", "ledger", "check", str(tmp_path)],
        capture_output=True,
        text=True,
    )
    assert found.returncode == 1 and len(found.stderr.splitlines()) == 1
    assert "00000001-00000001.log, byte 0: the checksum of a length is wrong; restore" in found.stderr
    assert json.dumps(found.stdout) == '""'
