"""Two events at one instant, each forced: by a stand-in that holds, or by a step that the loop can't enter.

docs/crossings.md lists them; verdicts are what clients and caches saw.
"""

import contextlib
import json
import os
import resource
import signal
import socket
import struct
import subprocess
import sys

import anyio
import pytest
from conftest import SETUP, Play, frame
from standins import COPY_TAG, OK_RESPONSE, free_port

from quartzrouter.server import (
    attempt_failure,
    byte_budget,
    cache_responses,
    client_connection,
    connection_pool,
    endpoint_watch,
    events,
    fastcgi,
    listener,
    process,
    response_writer,
    stream,
)
from quartzrouter.signals import MAX_PENDING, Signals

OVERLOADED_RESPONSE = b"HTTP/1.1 503 Busy\r\nX-No-Effect: 1\r\nContent-Length: 0\r\n\r\n"
LARGE_RESPONSE = OK_RESPONSE.replace(b"5\r\n\r\nabcde", b"240000\r\n\r\n") + bytes(240_000)
ESTABLISHED, CLOSE_WAIT = 1, 8  # a reset leaves neither
NO_CANCEL = SETUP | {"limits": SETUP["limits"] | {"cancel": False}}


def raw_socket(client):
    return client.stream.extra(anyio.abc.SocketAttribute.raw_socket)


def write_at_once(client, data):
    """Into the kernel, in one step: nothing else of this process runs."""
    assert os.write(raw_socket(client).fileno(), data) == len(data)


def end_sending(client):
    """As a client that goes: what it wrote before stays to be read, its end behind it."""
    with socket.socket(fileno=os.dup(raw_socket(client).fileno())) as own:
        own.shutdown(socket.SHUT_WR)


def tcp_state(client):
    """Of its TCP, as the kernel tells it."""
    return raw_socket(client).getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


async def wait_until(condition, timeout=3.0):
    """Waits for something to have come about; that it never does is the verdict."""
    with anyio.move_on_after(timeout):
        while not condition():
            await anyio.sleep(0.005)
    assert condition()


def request_count(harness, id):
    return sum(f"/{id:016x}/" in line for line in harness.requests)


def hold_connects(addresses, gate):
    """A way to connect to a cache that notes who asks, and waits for a gate."""
    real_connect = stream.connect

    async def held_connect(address):
        addresses.append(address)
        await gate.wait()
        return await real_connect(address)

    return held_connect


def queued(writer):
    """What waits to be written to a client: bytes in the buffer and records behind them."""
    return len(writer.buffer) + sum(map(len, writer.queues.values()))


async def wait_until_settled(harness):
    await wait_until(
        lambda: not harness.router_process.attempts and not harness.router_process.state_machine.in_flight
    )


# -- a client that has gone ------------------------------------------------------------------------


@pytest.mark.parametrize("way", ["end", "abort behind a read's worth", "end behind a read's worth"])
def test_a_request_read_late_is_not_begun_for_a_client_that_has_gone(harness, way):
    """A busy router reads a request late, and its client's end or abort is already in the kernel behind it.

    The request was begun for nobody. Now all that has arrived is read before any request is begun.
    """

    async def steps(connect):
        client, other = await connect(), await connect()
        more = (
            client.encode_request(2, body=bytes(client_connection.READ_BUFFER_SIZE), whole=False)
            if "behind" in way
            else b""
        )
        abort = fastcgi.encode_record(fastcgi.RecordType.ABORT_REQUEST, 1, b"") if "abort" in way else b""
        write_at_once(client, client.encode_request(1) + more + abort)
        if "end" in way:
            end_sending(client)
        await other.send_request(3)
        assert "200 OK" in await other.receive_response()
        await wait_until_settled(harness)
        assert request_count(harness, 1) == 0 and request_count(harness, 3) == 1
        assert harness.accepted_connections == 1  # nor did one come up for it

    harness.run_steps(steps)


@pytest.mark.parametrize("settings", [SETUP, NO_CANCEL])
def test_a_connecting_attempt_is_not_sent_for_a_client_that_has_gone(harness, monkeypatch, settings):
    """A client leaves while the attempt at its request is still connecting.

    Where attempts may not be cancelled, it went on connecting, and the request went out for nobody.
    """
    addresses, gate = [], anyio.Event()
    held_connect = hold_connects(addresses, gate)

    async def steps(connect):
        client = await connect()
        monkeypatch.setattr(connection_pool, "connect", held_connect)
        await client.send_request(1)
        await wait_until(lambda: addresses)
        await client.send_records((fastcgi.RecordType.ABORT_REQUEST, b""))
        assert "end 1 0" in await client.receive_response()  # taken back
        gate.set()
        await client.send_request(2)
        assert "200 OK" in await client.receive_response()
        await wait_until_settled(harness)
        assert request_count(harness, 1) == 0 and request_count(harness, 2) == 1

    harness.run_steps(steps, settings=settings)


@pytest.mark.parametrize("way", ["end", "abort"])
def test_no_retry_for_a_client_whose_leaving_is_not_read_yet(harness, monkeypatch, way):
    """A response has the request retried, and its client's end or abort arrived just before it.

    A busy process reads that after the response; the retry went out on a pooled connection. Now what the
    client has sent is read before each attempt.
    """
    receive, overloaded = stream.Stream.receive, anyio.Event()
    harness.responses = {1: [overloaded, OVERLOADED_RESPONSE]}

    async def slow(self, most):
        if any(self is client.stream for client in harness.router_process.client_connections.open):
            await anyio.wait_readable(self.raw)
            for _ in range(4):  # others go first, for as long as an attempt takes from here
                await anyio.sleep(0)
        return await receive(self, most)

    async def steps(connect):
        client, pool = await connect(), harness.router_process.cache_connections.pool.idle
        for id in range(10, 60):
            if len(pool) < 2:
                await client.send_request(id)
                assert "200 OK" in await client.receive_response()
        await anyio.sleep(2 * connection_pool.REUSE_DELAY)
        monkeypatch.setattr(stream.Stream, "receive", slow)
        await client.send_request(1)  # the reader comes back to the slow way after it
        await wait_until(lambda: request_count(harness, 1))
        overloaded.set()
        while not any(each.stream.pending() is stream.Pending.UNREAD for each in asking()):
            await anyio.sleep(0)
        if way == "abort":
            write_at_once(client, fastcgi.encode_record(fastcgi.RecordType.ABORT_REQUEST, 1, b""))
        else:
            end_sending(client)
        await wait_until_settled(harness)
        assert request_count(harness, 1) == 1

    def asking():
        return harness.router_process.cache_connections.in_use.values()

    harness.run_steps(steps)


def test_queued_responses_do_not_hide_that_the_client_has_gone(harness, monkeypatch):
    """A client takes no response, so records are queued for it, and then it aborts a request.

    Above a number of queued records nothing was read, so neither an abort nor an end was noticed. Now the
    connection is read slowly.
    """
    monkeypatch.setattr(response_writer, "MAX_QUEUED_RECORDS", 32)  # the kernel holds some megabytes as well
    overloaded = anyio.Event()
    harness.responses = {n: [LARGE_RESPONSE] for n in range(2, 32)} | {1: [overloaded, OVERLOADED_RESPONSE]}

    async def steps(connect):
        client = await connect()
        connection, *_ = harness.router_process.client_connections.open
        await client.send_request(1, path="/rpc/sale", HTTP_X_DEADLINE_MS="9000")  # which has all that time
        await wait_until(lambda: request_count(harness, 1))
        for id in range(2, 32):
            await client.send_request(id)
        before = None
        with anyio.fail_after(5):  # the kernel takes some megabytes first, and a busy machine its time
            while not connection.writer.is_backlogged or before != queued(connection.writer):
                before = queued(connection.writer)
                await anyio.sleep(0.05)
        assert connection.writer.is_backlogged
        await client.send_records((fastcgi.RecordType.GET_VALUES, b"\x0f\x00FCGI_MPXS_CONNS"), id=0)
        await wait_until(lambda: connection.rejected_requests)  # read, and not answered
        write_at_once(client, fastcgi.encode_record(fastcgi.RecordType.ABORT_REQUEST, 1, b""))
        await wait_until(lambda: 1 not in connection.request_ids)
        overloaded.set()
        await wait_until_settled(harness)
        assert request_count(harness, 1) == 1

    harness.run_steps(steps)


def test_a_closing_connection_reads_aborts_and_answers_requests(harness):
    """A connection is closing, and its client sends an abort and a further request.

    Both were dropped: the aborted attempt ran on, and the request had no response. Now records are read
    until the end of the responses is written, and the request is refused as OVERLOADED.
    """
    overloaded = anyio.Event()
    harness.responses = {1: [overloaded, OVERLOADED_RESPONSE]}

    async def steps(connect):
        client = await connect()
        connection, *_ = harness.router_process.client_connections.open
        await client.send_request(1)
        await wait_until(lambda: request_count(harness, 1))
        for id in range(2, 2 + client_connection.MAX_REJECTED_REQUESTS):
            await client.send_request(id, path="/rpc/other")
            assert "404" in await client.receive_response()
        assert connection.closing
        await client.send_request(90)
        assert "end 0 2" in await client.receive_response()  # overloaded: it may come again
        await client.send_records((fastcgi.RecordType.ABORT_REQUEST, b""))
        assert "end 1 0" in await client.receive_response()  # taken back
        overloaded.set()
        await wait_until_settled(harness)
        assert (
            await client.receive_response() == "closed"
            and request_count(harness, 1) == 1
            and not request_count(harness, 90)
        )

    harness.run_steps(steps)


# -- closes ----------------------------------------------------------------------------------------


def test_a_request_that_crosses_an_idle_close_resets_nothing(harness, monkeypatch):
    """The router looks at an idle connection, a request arrives, and the router closes it.

    A close over unread bytes resets the connection, and the last response may be lost with it. Now one side
    is ended first: the client reads an end, and its request was never begun.
    """
    pending = stream.Stream.pending

    async def steps(connect):
        client = await connect()
        await client.send_request(1)
        assert "200 OK" in await client.receive_response()
        connection, *_ = harness.router_process.client_connections.open

        def look(self):
            found = pending(self)
            if self is connection.stream and found is stream.Pending.QUIET:
                write_at_once(client, client.encode_request(2))
            return found

        monkeypatch.setattr(stream.Stream, "pending", look)
        assert connection.close_if_idle()
        monkeypatch.setattr(stream.Stream, "pending", pending)
        await wait_until(lambda: connection.stream.raw.fileno() < 0 and tcp_state(client) != ESTABLISHED)
        assert tcp_state(client) == CLOSE_WAIT and not request_count(harness, 2)  # an end, and no reset

    harness.run_steps(steps)


def test_a_pooled_connection_that_ends_as_it_is_taken_costs_no_request(harness, monkeypatch):
    """A cache ends a pooled connection while it is being taken for a request.

    A request that may not run twice was written to it, and could not be retried. Now the connection is
    looked at again right before the request, and another one is taken.
    """
    hear, ends = client_connection.ClientConnection.read_pending, []

    async def steps(connect):
        client = await connect()
        await client.send_request(1, path="/rpc/sale")
        assert "200 OK" in await client.receive_response()
        await anyio.sleep(2 * connection_pool.REUSE_DELAY_AFTER_UNNAMED_COPY)

        async def late(self, ticket):
            if not ends:
                ends.append(ticket)
                taken = next(iter(harness.router_process.cache_connections.in_use.values()))
                taken.stream.shutdown()  # as its cache would
            await hear(self, ticket)

        monkeypatch.setattr(client_connection.ClientConnection, "read_pending", late)
        await client.send_request(2, path="/rpc/sale")
        assert "200 OK" in await client.receive_response()
        assert ends and request_count(harness, 2) == 1

    harness.run_steps(steps)


FIRST_RESPONSE = OK_RESPONSE.replace(b"abcde", b"first").replace(COPY_TAG, b"00000000000000f1")


def test_a_repeated_response_is_not_taken_for_the_next_requests(harness):
    """A cache sends a response twice, the second time after the next request was written.

    It had not arrived when the connection was looked at, so the next request's client got another chunk's
    bytes. Now the copy that it names gives it away, and the request is retried elsewhere.
    """
    gate = anyio.Event()

    async def steps(connect):
        client, same = await connect(), {"HTTP_X_SUBJECT": f"{7:016x}"}
        harness.responses = {7: [FIRST_RESPONSE]}
        await client.send_request(1, **same)
        assert "first" in await client.receive_response()
        await anyio.sleep(2 * connection_pool.REUSE_DELAY)
        harness.responses = {
            7: [gate, FIRST_RESPONSE, OK_RESPONSE]
        }  # the cache has read the next req by then
        await client.send_request(2, HTTP_X_CHUNK="1", **same)
        await wait_until(lambda: request_count(harness, 7) == 2)
        assert harness.accepted_connections == 1
        harness.responses = {}
        gate.set()
        response = await client.receive_response()
        assert "200 OK" in response and "abcde" in response
        assert request_count(harness, 7) == 3  # of another cache, on a connection of its own

    harness.run_steps(steps)


@pytest.mark.parametrize("purged", [False, True])
def test_a_repeated_response_for_the_same_chunk_is_no_older_than_allowed(harness, purged):
    """A cache sends a response twice, and the next request is for the same chunk.

    Where it can't be told from the cache's next response it does as well, but not after a purge of that
    chunk: its client would get a copy older than the purge.
    """
    gate = anyio.Event()

    async def steps(connect):
        client, same = await connect(), {"HTTP_X_SUBJECT": f"{7:016x}"}
        harness.responses = {7: [FIRST_RESPONSE]}
        await client.send_request(1, **same)
        assert "first" in await client.receive_response()
        await anyio.sleep(2 * connection_pool.REUSE_DELAY)
        if purged:
            harness.router_process.feed(events.PurgeNotice(None, f"{7:016x}", harness.router_process.clock()))
        harness.responses = {7: [gate, FIRST_RESPONSE, OK_RESPONSE]}
        await client.send_request(2, **same)
        await wait_until(lambda: request_count(harness, 7) == 2)
        harness.responses = {7: [OK_RESPONSE]}
        gate.set()
        assert ("abcde" if purged else "first") in await client.receive_response()

    harness.run_steps(steps)


@pytest.mark.parametrize("answer", [OVERLOADED_RESPONSE, b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsold"])
def test_a_connection_rests_longer_after_a_response_that_names_no_copy(harness, monkeypatch, answer):
    """A cache repeats a response that names no copy, an error or that of a write.

    Taken for the next request's, it says that this one is done, or that it never ran. Nothing tells the two
    apart, so such a connection rests for longer before its next request.
    """
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_AFTER_UNNAMED_COPY", 3_600.0)

    async def steps(connect):
        client = await connect()
        harness.responses = {n: [answer] for n in range(1, 4)}
        for id in (1, 2, 3):
            await client.send_request(id, path="/rpc/sale")
            await client.receive_response()
            await anyio.sleep(2 * connection_pool.REUSE_DELAY)
        attempts = sum(line.startswith("GET /x/sale/") for line in harness.requests)
        assert harness.accepted_connections == attempts >= 3

    harness.run_steps(steps)


def test_large_responses_get_room_in_their_turn():
    """The memory for responses is full, and small ones take what is given back as it comes.

    A large response waited for ever. Now room is granted in order; a waiter that is cancelled gives its
    turn up.
    """
    order = []

    async def run():
        budget = byte_budget.ByteBudget(cache_responses.MAX_BODY_SIZE)

        async def answer(name, count):
            await budget.take(count)
            order.append(name)

        async with anyio.create_task_group() as tasks:
            await budget.take(cache_responses.MAX_BODY_SIZE)
            gone = anyio.CancelScope()

            async def given_up():
                with gone:
                    await answer("given up", 1_000)

            for task in (lambda: answer("large", 200_000), given_up):
                tasks.start_soon(task)
                await anyio.sleep(0)
            budget.give(60_000)
            tasks.start_soon(answer, "small", 50_000)  # which would fit
            await anyio.sleep(0.01)
            assert order == []
            gone.cancel()
            await anyio.sleep(0)
            budget.give(cache_responses.MAX_BODY_SIZE - 60_000)
            await anyio.sleep(0.01)
            assert order == ["large"]
            budget.give(200_000)
        assert order == ["large", "small"] and budget.free == cache_responses.MAX_BODY_SIZE - 50_000
        assert not budget.waiters

    anyio.run(run, backend_options=process.BACKEND_OPTIONS)


# -- lists and windows -----------------------------------------------------------------------------


def test_bytes_without_a_whole_frame_count_as_silence(harness, monkeypatch):
    """A discovery service sends half a frame, a byte at a time, and never the rest.

    It was taken for one that has nothing to tell, and the endpoint list grew old. Now silence counts from
    the last whole frame, and the service is connected to anew.
    """
    monkeypatch.setattr(endpoint_watch, "SILENCE_TIMEOUT", 0.2)

    async def trickle(connection):
        async with connection:
            harness.requests.append(f"journal from {int.from_bytes(await connection.receive(8), 'big')}")
            for byte in frame(2, 1, bytes(2_400 * 27)):  # 32 minutes of it
                with contextlib.suppress(anyio.BrokenResourceError):  # nobody listens any more
                    await connection.send(bytes([byte]))
                await anyio.sleep(0.03)

    monkeypatch.setattr(harness, "serve_discovery", trickle, raising=False)

    async def steps(connect):
        await connect()
        await wait_until(lambda: harness.requests.count("journal from 1") > 1)

    harness.run_steps(steps)


def test_a_retry_is_not_sent_once_its_idempotency_key_may_be_forgotten():
    """A retry is decided on in time, and its connection comes up late.

    By then caches may have forgotten the key by which they know a repeat: the operation would run twice.
    """
    lines = []
    play = Play(lines)
    play.request_received(1, "hold", idempotency_key="a" * 32, timeout=6_000_000)
    play.connection_ready(1)
    play.attempt_failed(1, attempt_failure.AttemptStage.SENDING, attempt_failure.FailureCause.RESET)
    assert any("OpenConnection 1, 1" in line for line in lines)
    play.advance_to(2_940)
    lines.clear()
    play.connection_ready(1, attempt=1)
    assert any("SendRequest 1, 1" in line for line in lines)
    play.request_received(2, "hold", idempotency_key="b" * 32, timeout=6_000_000)
    play.connection_ready(2)
    play.attempt_failed(2, attempt_failure.AttemptStage.SENDING, attempt_failure.FailureCause.RESET)
    play.advance_to(2_940 + 2_960)
    lines.clear()
    play.connection_ready(2, attempt=1)
    assert not any("SendRequest" in line for line in lines)


# -- signals and the end ---------------------------------------------------------------------------

SIGNAL_DURING_IMPORT = """
import os, runpy, signal, sys
class Early:
    def find_spec(self, name, path=None, target=None):
        if name == "quartzrouter.server.process":
            os.kill(os.getpid(), {number})
sys.meta_path.insert(0, Early())
runpy.run_module("quartzrouter", run_name="__main__", alter_sys=True)
"""


def run_router_process(harness, script, steps, descriptors=None, **other):
    """Runs the steps of a test beside a router in a process of its own; returns its exit status and its log.

    :param descriptors: as many as the process may have.
    """

    def few():
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    harness.discovery_frames = []

    async def run():
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                cache, port = await harness.start_server(tasks, harness.serve_cache), await free_port()
                told = {"journal": await harness.start_server(tasks, harness.serve_discovery)} | other
                harness.write_configuration(cache, **told)
                environ = os.environ | {
                    "NODE_CONFIG": str(harness.config_path),
                    "NODE_LISTEN": f"127.0.0.1:{port}",
                }
                command = [sys.executable, *script]
                router = subprocess.Popen(command, env=environ, stderr=subprocess.PIPE, preexec_fn=few)
                try:
                    await steps(router, lambda: harness.connect(port))
                    output = (await anyio.to_thread.run_sync(router.communicate))[1].decode()
                finally:
                    router.kill()
                tasks.cancel_scope.cancel()
        return router.returncode, output

    return anyio.run(run, backend_options=process.BACKEND_OPTIONS)


def test_sighup_during_imports_does_not_end_the_process(harness):
    """SIGHUP arrives while the program is being imported.

    The system's default action ended the process. Now handlers are set up first, and the reload is played
    once the router runs.
    """

    async def steps(router, connect):
        client = await connect()
        await client.send_request(1)
        assert "200 OK" in await client.receive_response()
        router.send_signal(signal.SIGTERM)

    status, output = run_router_process(
        harness, ["-c", SIGNAL_DURING_IMPORT.format(number=int(signal.SIGHUP))], steps
    )
    assert status == 0 and "SIGHUP: journal at" in output


def test_sigterm_during_imports_ends_the_process_in_order(harness):
    """SIGTERM arrives while the program is being imported.

    The system's default action ended the process with the signal's status. Now it ends with 0, before it
    listens.
    """

    async def steps(router, connect):
        await anyio.to_thread.run_sync(router.wait)

    status, output = run_router_process(
        harness, ["-c", SIGNAL_DURING_IMPORT.format(number=int(signal.SIGTERM))], steps
    )
    assert status == 0 and "before it listened" in output and "Traceback" not in output


def test_sighup_up_to_the_last_moment_does_not_change_the_exit_status(harness):
    """SIGHUP arrives again and again while the process ends.

    Its handlers were gone a while before the process was, and a reload then ended it by the default.
    """

    async def steps(router, connect):
        client = await connect()
        await client.send_request(1)
        assert "200 OK" in await client.receive_response()
        router.send_signal(signal.SIGTERM)
        while router.poll() is None:
            router.send_signal(signal.SIGHUP)
            await anyio.sleep(0.001)

    status, output = run_router_process(harness, ["-m", "quartzrouter"], steps)
    assert status == 0 and "Traceback" not in output


def test_a_signal_after_the_event_loops_end_is_kept():
    """A signal arrives after the event loop has closed.

    It woke that loop, whose error ended the process with a traceback.
    """
    with Signals() as signals:
        with signals:
            signals.wake = lambda: 1 / 0
        os.kill(os.getpid(), signal.SIGHUP)
        assert list(signals.pending) == [signal.SIGHUP]


def test_what_reaches_a_stopping_router_is_answered_and_nothing_is_reset(harness, monkeypatch):
    """A router stops with a connection that nobody has accepted yet, an idle one, one with half a request and
    one whose client reads slowly.

    Each close over unread bytes was a reset, and requests were without a response. Now what waits is
    accepted, what was read is answered, and connections end one way before they are closed.
    """
    accept, stopping = listener.Listener._accept_from, []
    harness.responses = {3: [LARGE_RESPONSE]}

    def late(self, listening_socket):  # the accepting task is behind; the end itself looks
        return False if stopping and not self._scope.cancel_called else accept(self, listening_socket)

    async def steps(connect):
        resting, half, slow = await connect(), await connect(), await connect()
        await resting.send_request(1)
        assert "200 OK" in await resting.receive_response()
        await half.send_request(2, whole=False)
        await slow.send_request(3)
        await wait_until(lambda: request_count(harness, 3))
        monkeypatch.setattr(listener.Listener, "_accept_from", late)
        stopping.append(True)
        os.kill(os.getpid(), signal.SIGTERM)
        new = await connect()
        await new.send_request(4)
        assert "503" in await new.receive_response()
        ended = [each for each in harness.router_process.client_connections.open if each.responses_ended]
        assert len(ended) < 4
        await wait_until(
            lambda: any(each.responses_ended for each in harness.router_process.client_connections.open)
        )
        write_at_once(resting, resting.encode_request(5))  # crosses the end, and is never begun
        assert "200 OK" in (response := await slow.receive_response()) and "end 0 0" in response
        for client in (resting, half, slow, new):
            with pytest.raises(anyio.EndOfStream):
                while True:
                    await client.stream.receive()
        assert not request_count(harness, 5) and not request_count(harness, 2)

    harness.run_steps(steps)


def test_clients_that_do_not_read_do_not_keep_the_process_from_exiting(harness, monkeypatch):
    """A router stops while a client takes none of its responses.

    The process never ended. Now it ends once the longest client timeout has passed.
    """
    monkeypatch.setattr(response_writer, "MAX_QUEUED_RECORDS", 32)
    timeout = [kind | {"deadline_us": 1_000_000} for kind in SETUP["categories"]]
    harness.responses = {n: [LARGE_RESPONSE] for n in range(1, 31)}

    async def steps(connect):
        client = await connect()
        for id in range(1, 31):
            await client.send_request(id)
        await wait_until(
            lambda: any(each.writer.is_backlogged for each in harness.router_process.client_connections.open)
        )
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: not harness.router_process.client_connections.open, timeout=6)

    harness.run_steps(steps, settings=SETUP | {"categories": timeout})


def test_closing_one_connection_reaches_no_other(harness):
    """A connection is closed, and another one is given its descriptor.

    One that the event loop had closed by itself was still looked at and shut down by its number, which was
    another's by then.
    """

    async def steps(connect):
        client = await connect()
        await client.send_request(1)
        assert "200 OK" in await client.receive_response()
        await anyio.sleep(0.02)
        (pooled,) = next(iter(harness.router_process.cache_connections.pool.idle.values()))
        number = pooled.stream.raw.fileno()
        pooled.stream.close()
        one, two = socket.socketpair()
        try:
            assert number in (one.fileno(), two.fileno())  # the descriptor is taken again
            pooled.stream.shutdown()
            assert not pooled.is_quiet()
            one.setblocking(False)
            one.send(b"still there")
            assert two.recv(20) == b"still there"
        finally:
            one.close()
            two.close()

    harness.run_steps(steps)


def test_responses_that_are_not_taken_count_as_open_requests(harness):
    """A client asks and asks, and takes no response.

    Responses piled up without end. Now a request is open until its response has gone out, and open requests
    have a bound.
    """
    harness.responses = {n: [LARGE_RESPONSE] for n in range(1, 121)}

    async def steps(connect):
        client = await connect()
        connection, *_ = harness.router_process.client_connections.open
        for id in range(1, 121):
            await client.send_request(id)
            await wait_until(lambda id=id: connection.rejected_requests or request_count(harness, id))
            await wait_until(lambda: not connection.awaited)
            assert (
                connection.open_requests <= client_connection.MAX_OPEN_REQUESTS
                and len(connection.writer.queues) <= client_connection.MAX_OPEN_REQUESTS + 1
            )
            if connection.closing:
                break
        await wait_until(lambda: connection.closing)

    harness.run_steps(steps)


# -- clients that send badly -----------------------------------------------------------------------


def test_a_request_that_trickles_in_is_answered_and_others_meanwhile(harness):
    """A client sends its request a byte at a time: it is answered, and others don't wait for it."""

    async def steps(connect):
        slow, other = await connect(), await connect()
        for at, byte in enumerate(slow.encode_request(1)):
            await slow.stream.send(bytes([byte]))
            if at % 50 == 0:
                await other.send_request(100 + at)
                assert "200 OK" in await other.receive_response()
        assert "200 OK" in await slow.receive_response()

    harness.run_steps(steps)


def test_clients_that_send_much_and_leave_leave_nothing_behind(harness):
    """Clients send complete requests, half ones and records for nobody, and leave at once.

    None of them is begun, and the memory that they held is given back.
    """

    async def steps(connect):
        service = harness.router_process
        room = service.client_connections.free_request_memory
        for id in range(1, 21):
            flood = await connect()
            data = flood.encode_request(id) + flood.encode_request(2, body=bytes(4_000), whole=False)
            data += fastcgi.encode_record(fastcgi.RecordType.STDIN, 99, bytes(8_000))
            with contextlib.suppress(BlockingIOError):
                os.write(raw_socket(flood).fileno(), data)
            end_sending(flood)
        await wait_until(lambda: not service.client_connections.open)
        await wait_until_settled(harness)
        assert (
            service.client_connections.free_request_memory == room
            and not service.client_connections.by_request_id
            and not service.state_machine.open_correlation_ids
        )
        other = await connect()
        await other.send_request(50)
        assert "200 OK" in await other.receive_response()
        assert [line for line in harness.requests if "GET" in line and f"{50:016x}" not in line] == []

    harness.run_steps(steps)


def test_idle_clients_keep_nobody_out_while_discovery_is_down(harness):
    """Idle clients take all descriptors of a router with the least that may be configured, and no more than
    that, while its discovery service is away.

    New clients are served, and so is the connection to the service once it is there.
    """

    async def steps(router, connect):
        idle = [await connect() for _ in range(60)]
        for round in (1, 2):
            new = await connect()
            await new.send_request(1, path="/health")
            assert "200" in await new.receive_response()  # by what the configuration knows
            await new.send_request(10 * round)
            assert "200 OK" in await new.receive_response()
            idle += [await connect() for _ in range(30)]
            if round == 1:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
                tasks.start_soon(listener.serve, harness.serve_discovery)
                await wait_until(lambda: "journal from 1" in harness.requests)
        router.send_signal(signal.SIGTERM)

    async def whole(router, connect):
        nonlocal tasks
        async with anyio.create_task_group() as tasks:
            await steps(router, connect)
            await anyio.to_thread.run_sync(router.wait)
            tasks.cancel_scope.cancel()

    tasks, port = None, anyio.run(free_port)
    status, output = run_router_process(
        harness,
        ["-m", "quartzrouter"],
        whole,
        descriptors=64,
        journal=f"127.0.0.1:{port}",
        limits={"sockets": 64},
    )
    assert status == 0 and "Traceback" not in output and "accept failed" not in output


def test_a_rejection_for_memory_names_retry_after(harness):
    """Requests hold all the memory that there is: the one that finds none is told when to retry."""

    async def steps(connect):
        client, response = await connect(), b""
        for id in range(1, 5):
            await client.send_request(id, body=bytes(40_000), whole=False)
        while b"Status" not in response:
            response += await client.stream.receive()
        assert b"Status: 503" in response and b"X-Pushback-Ms: 500\r\n" in response

    harness.run_steps(steps, limits={"sockets": 128, "memory_mb": 1})


def test_many_reloads_do_not_push_out_a_pending_stop():
    """A busy process hasn't handled SIGTERM yet, and SIGHUP arrives a thousand times.

    Pending signals have a bound, and the oldest went first: the stop was lost.
    """
    with Signals() as signals:
        os.kill(os.getpid(), signal.SIGTERM)
        for _ in range(1_000):
            os.kill(os.getpid(), signal.SIGHUP)
        assert signals.stop_pending and len(signals.pending) <= MAX_PENDING + 2
        for _ in range(1_000):
            os.kill(os.getpid(), signal.SIGINT)
        assert signal.SIGHUP in signals.pending and len(signals.pending) <= MAX_PENDING + 2


# -- reloads, late connections, floods ---------------------------------------------------------------


@pytest.mark.parametrize("at", ["connecting", "asked", "half an answer", "stopping"])
def test_a_reload_between_two_steps_of_an_attempt_does_not_change_it(harness, monkeypatch, at):
    """SIGHUP arrives while an attempt connects, waits for its response, has half of it, or the process stops.

    The new discovery service is followed, and the request has its one response.
    """
    addresses, gate = [], anyio.Event()
    held_connect = hold_connects(addresses, gate)

    async def steps(connect):
        client, service = await connect(), harness.router_process
        if at == "connecting":
            monkeypatch.setattr(connection_pool, "connect", held_connect)
        harness.responses = {
            1: [OK_RESPONSE[:-2], gate, OK_RESPONSE[-2:]] if at == "half an answer" else [gate, OK_RESPONSE]
        }
        await client.send_request(1)
        await wait_until(lambda: addresses or request_count(harness, 1))
        async with anyio.create_task_group() as tasks:
            if at == "stopping":
                os.kill(os.getpid(), signal.SIGTERM)
                await wait_until(lambda: service.state_machine.is_shutting_down)
            there, told = (
                await harness.start_server(tasks, harness.serve_discovery),
                json.loads(harness.config_path.read_text()),
            )
            harness.config_path.write_text(json.dumps(told | {"journal": there}))
            before = harness.requests.count("journal from 1")
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: harness.requests.count("journal from 1") > before)
            gate.set()
            assert "200 OK b'abcde' end 0 0" in await client.receive_response()
            assert request_count(harness, 1) == 1
            tasks.cancel_scope.cancel()

    harness.run_steps(steps)


@pytest.mark.parametrize("at", ["connecting", "half a frame"])
def test_a_reload_in_the_middle_of_an_event_takes_it_from_the_new_service(harness, monkeypatch, at):
    """The discovery service moves while the router connects to the old one, or has half a frame of it.

    The event is played once, neither twice nor never: the new service is asked from the last whole frame.
    """
    real_connect, addresses = endpoint_watch.connect, []
    purge = frame(2, 3, bytes(7) + b"\7" + b"\0\0\1\x9a\0\0\0\0")

    async def held_connect(address):
        addresses.append(address)
        if at == "connecting" and address == addresses[0]:
            await anyio.sleep_forever()
        return await real_connect(address)

    async def steps(connect):
        service, purged = harness.router_process, []
        feed = service.endpoint_watch.feed
        service.endpoint_watch.feed = lambda event: (purged.append(event), feed(event))
        await connect()
        half = anyio.Event()

        async def old(stream):
            async with stream:
                await stream.receive(8)
                await stream.send(purge[:-3])
                half.set()
                await anyio.sleep_forever()

        async with anyio.create_task_group() as tasks:
            told = json.loads(harness.config_path.read_text())

            async def follow(handler):
                harness.config_path.write_text(
                    json.dumps(told | {"journal": await harness.start_server(tasks, handler)})
                )
                os.kill(os.getpid(), signal.SIGHUP)

            await wait_until(lambda: "journal from 1" in harness.requests)
            monkeypatch.setattr(endpoint_watch, "connect", held_connect)
            await follow(old)
            await wait_until(lambda: addresses)
            if at == "half a frame":
                await half.wait()
            harness.discovery_frames = [purge]
            await follow(harness.serve_discovery)
            await wait_until(lambda: purged)
            assert purged == [events.PurgeNotice(None, f"{7:016x}", 0x019A_0000_0000 * 1_000)]
            assert service.endpoint_watch.last_sequence == 2
            tasks.cancel_scope.cancel()

    harness.run_steps(steps)


def test_a_discovery_service_that_resets_new_connections_is_retried(harness):
    """A discovery service resets connections as they come up.

    The error of the stream's own library ended the process. Now any failure is an OSError, and retried.
    """
    times = []

    async def reset(stream):
        times.append(stream)
        if len(times) < 3:
            own = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await stream.aclose()
        else:
            await harness.serve_discovery(stream)

    async def steps(connect):
        client = await connect()
        async with anyio.create_task_group() as tasks:
            told = json.loads(harness.config_path.read_text())
            harness.config_path.write_text(
                json.dumps(told | {"journal": await harness.start_server(tasks, reset)})
            )
            before = harness.requests.count("journal from 1")
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: harness.requests.count("journal from 1") > before)
            assert len(times) == 3
            await client.send_request(1)
            assert "200 OK" in await client.receive_response()
            tasks.cancel_scope.cancel()

    harness.run_steps(steps)


@pytest.mark.parametrize("in_time", [True, False])
def test_a_connection_that_opens_late_delays_nobody_and_carries_nothing_late(harness, monkeypatch, in_time):
    """A connection to a cache comes up late.

    Within the connect timeout it is used. Beyond, the request is retried elsewhere, and the connection is
    closed if it comes up at all: its request may not go out twice.
    """
    real_connect, addresses, gate = stream.connect, [], anyio.Event()

    async def held_connect(address):
        addresses.append(address)
        if len(addresses) == 1:
            await gate.wait()
        return await real_connect(address)

    async def steps(connect):
        slow, other = await connect(), await connect()
        monkeypatch.setattr(connection_pool, "connect", held_connect)
        await slow.send_request(1)
        await wait_until(lambda: addresses)
        for id in range(10, 15):
            await other.send_request(id)
            assert "200 OK" in await other.receive_response()
        if in_time:
            assert not request_count(harness, 1)
            gate.set()
        assert "200 OK" in await slow.receive_response()
        gate.set()
        await wait_until_settled(harness)
        service = harness.router_process
        assert request_count(harness, 1) == 1
        assert service.cache_connections.pool.open == sum(
            map(len, service.cache_connections.pool.idle.values())
        )

    within = 800_000 if in_time else 50_000
    limits = SETUP["limits"] | {"dial_timeout_us": within}
    harness.run_steps(steps, settings=SETUP | {"limits": limits})


def test_a_flood_of_invalid_requests_costs_few_log_lines_and_no_other_client(harness, capsys):
    """Clients send what can't be used, as fast as they can.

    A line each would be more than a log takes, and others would wait. Lines are suppressed and counted.
    """
    floods = 200

    async def steps(connect):
        other = await connect()
        for at in range(floods):
            flood = await connect()
            write_at_once(flood, flood.encode_request(1, HTTP_X_CHUNK="none") + b"\0" * 64)
            if at % 2:
                end_sending(flood)
            if at % 20 == 0:
                await other.send_request(1000 + at)
                assert "200 OK" in await other.receive_response()
        await wait_until(lambda: len(harness.router_process.client_connections.open) == 1)

    harness.run_steps(steps)
    lines = [line for line in capsys.readouterr().err.splitlines() if "client: " in line]
    assert 0 < len(lines) < floods / 2 and not any("Traceback" in line for line in lines)
