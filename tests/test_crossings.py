"""Races between two events, each forced by a fake that waits or by a step without a switch of tasks.

docs/crossings.md lists the races; the assertions check what clients and caches received.
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
from conftest import SETUP, StateMachineHarness, frame
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
ESTABLISHED, CLOSE_WAIT = 1, 8  # TCP states; after a reset a connection has neither
NO_CANCEL = SETUP | {"limits": SETUP["limits"] | {"cancel": False}}


def raw_socket(client):
    return client.stream.extra(anyio.abc.SocketAttribute.raw_socket)


def write_at_once(client, data):
    """Writes data to the client's socket in one step, while nothing else in this process runs."""
    assert os.write(raw_socket(client).fileno(), data) == len(data)


def end_sending(client):
    """Ends the client's side of its connection; data that it wrote before can still be read."""
    with socket.socket(fileno=os.dup(raw_socket(client).fileno())) as duplicate:
        duplicate.shutdown(socket.SHUT_WR)


def tcp_state(client):
    """Returns the TCP state of the client's connection, as reported by the kernel."""
    return raw_socket(client).getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


async def wait_until(condition, timeout=3.0):
    """Waits until a condition is true; fails if it isn't after the timeout."""
    with anyio.move_on_after(timeout):
        while not condition():
            await anyio.sleep(0.005)
    assert condition()


def request_count(harness, id):
    return sum(f"/{id:016x}/" in line for line in harness.requests)


def hold_connects(addresses, gate):
    """Returns a replacement for ``stream.connect`` that records each address, and waits for a gate."""
    real_connect = stream.connect

    async def held_connect(address):
        addresses.append(address)
        await gate.wait()
        return await real_connect(address)

    return held_connect


def queued(writer):
    """Returns the number of bytes in the buffer of a client's writer, plus the number of queued records."""
    return len(writer.buffer) + sum(map(len, writer.queues.values()))


async def wait_until_settled(harness):
    await wait_until(
        lambda: not harness.router_process.attempts and not harness.router_process.state_machine.in_flight
    )


# -- a client that has gone ------------------------------------------------------------------------


@pytest.mark.parametrize("way", ["end", "abort behind a read's worth", "end behind a read's worth"])
def test_a_request_read_late_is_not_begun_for_a_client_that_has_gone(harness, way):
    """A busy router reads a request late, when its client's end or abort has also arrived.

    The request was begun although its client had gone. Now all data that has arrived is read before any
    request is begun.
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
        assert harness.accepted_connections == 1  # no connection was opened for request 1

    harness.run_steps(steps)


@pytest.mark.parametrize("settings", [SETUP, NO_CANCEL])
def test_a_connecting_attempt_is_not_sent_for_a_client_that_has_gone(harness, monkeypatch, settings):
    """A client aborts its request while the attempt is still connecting.

    If attempts may not be cancelled, the attempt continued, and the request was sent although its client had
    gone.
    """
    addresses, gate = [], anyio.Event()
    held_connect = hold_connects(addresses, gate)

    async def steps(connect):
        client = await connect()
        monkeypatch.setattr(connection_pool, "connect", held_connect)
        await client.send_request(1)
        await wait_until(lambda: addresses)
        await client.send_records((fastcgi.RecordType.ABORT_REQUEST, b""))
        assert "end 1 0" in await client.receive_response()  # aborted
        gate.set()
        await client.send_request(2)
        assert "200 OK" in await client.receive_response()
        await wait_until_settled(harness)
        assert request_count(harness, 1) == 0 and request_count(harness, 2) == 1

    harness.run_steps(steps, settings=settings)


@pytest.mark.parametrize("way", ["end", "abort"])
def test_no_retry_for_a_client_whose_leaving_is_not_read_yet(harness, monkeypatch, way):
    """A response causes a retry, and the client's end or abort arrived just before the response.

    A busy process reads the end after the response, so the retry was sent on a pooled connection. Now the
    data that the client has sent is read before each attempt.
    """
    receive, overloaded = stream.Stream.receive, anyio.Event()
    harness.responses = {1: [overloaded, OVERLOADED_RESPONSE]}

    async def receive_late(self, max_bytes):
        if any(self is client.stream for client in harness.router_process.client_connections.open):
            await anyio.wait_readable(self.raw)
            for _ in range(4):  # as many iterations as an attempt takes from here
                await anyio.sleep(0)
        return await receive(self, max_bytes)

    async def steps(connect):
        client, pool = await connect(), harness.router_process.cache_connections.pool.idle
        for id in range(10, 60):
            if len(pool) < 2:
                await client.send_request(id)
                assert "200 OK" in await client.receive_response()
        await anyio.sleep(2 * connection_pool.REUSE_DELAY)
        monkeypatch.setattr(stream.Stream, "receive", receive_late)
        await client.send_request(1)  # the router reads later data by receive_late
        await wait_until(lambda: request_count(harness, 1))
        overloaded.set()
        while not any(each.stream.pending() is stream.Pending.UNREAD for each in connections_in_use()):
            await anyio.sleep(0)
        if way == "abort":
            write_at_once(client, fastcgi.encode_record(fastcgi.RecordType.ABORT_REQUEST, 1, b""))
        else:
            end_sending(client)
        await wait_until_settled(harness)
        assert request_count(harness, 1) == 1

    def connections_in_use():
        return harness.router_process.cache_connections.in_use.values()

    harness.run_steps(steps)


def test_queued_responses_do_not_hide_that_the_client_has_gone(harness, monkeypatch):
    """A client reads no responses, so records are queued for it, and then it aborts a request.

    Above a limit of queued records the connection wasn't read, so neither an abort nor the end was noticed.
    Now it is read slowly.
    """
    monkeypatch.setattr(response_writer, "MAX_QUEUED_RECORDS", 32)  # the kernel holds some megabytes as well
    overloaded = anyio.Event()
    harness.responses = {id: [LARGE_RESPONSE] for id in range(2, 32)} | {1: [overloaded, OVERLOADED_RESPONSE]}

    async def steps(connect):
        client = await connect()
        connection, *_ = harness.router_process.client_connections.open
        await client.send_request(1, path="/rpc/sale", HTTP_X_DEADLINE_MS="9000")  # outlasts the test
        await wait_until(lambda: request_count(harness, 1))
        for id in range(2, 32):
            await client.send_request(id)
        queued_before = None
        with anyio.fail_after(5):  # the kernel buffers some megabytes first, and a busy machine is slow
            while not connection.writer.is_backlogged or queued_before != queued(connection.writer):
                queued_before = queued(connection.writer)
                await anyio.sleep(0.05)
        assert connection.writer.is_backlogged
        await client.send_records((fastcgi.RecordType.GET_VALUES, b"\x0f\x00FCGI_MPXS_CONNS"), id=0)
        await wait_until(lambda: connection.rejected_requests)  # the record was read, and not answered
        write_at_once(client, fastcgi.encode_record(fastcgi.RecordType.ABORT_REQUEST, 1, b""))
        await wait_until(lambda: 1 not in connection.request_ids)
        overloaded.set()
        await wait_until_settled(harness)
        assert request_count(harness, 1) == 1

    harness.run_steps(steps)


def test_a_closing_connection_reads_aborts_and_answers_requests(harness):
    """A connection is closing, and its client sends an abort and another request.

    Both were dropped: the aborted attempt continued, and the request had no response. Now records are read
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
        assert "end 0 2" in await client.receive_response()  # OVERLOADED: the client may send it again
        await client.send_records((fastcgi.RecordType.ABORT_REQUEST, b""))
        assert "end 1 0" in await client.receive_response()  # aborted
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
    """The router checks an idle connection for unread data, a request arrives, and the router closes it.

    A close with unread data resets the connection, and the client may lose the last response. Now sending is
    ended first: the client reads the end of the connection, and its request was never begun.
    """
    real_pending = stream.Stream.pending

    async def steps(connect):
        client = await connect()
        await client.send_request(1)
        assert "200 OK" in await client.receive_response()
        connection, *_ = harness.router_process.client_connections.open

        def pending_before_a_request(self):
            pending = real_pending(self)
            if self is connection.stream and pending is stream.Pending.QUIET:
                write_at_once(client, client.encode_request(2))
            return pending

        monkeypatch.setattr(stream.Stream, "pending", pending_before_a_request)
        assert connection.close_if_idle()
        monkeypatch.setattr(stream.Stream, "pending", real_pending)
        await wait_until(lambda: connection.stream.raw.fileno() < 0 and tcp_state(client) != ESTABLISHED)
        assert tcp_state(client) == CLOSE_WAIT and not request_count(harness, 2)  # ended, not reset

    harness.run_steps(steps)


def test_a_pooled_connection_that_ends_as_it_is_taken_costs_no_request(harness, monkeypatch):
    """A cache ends a pooled connection while the router takes it for a request.

    A request that may not run twice was written to it, and could not be retried. Now the connection is
    checked again right before the request, and replaced by another one.
    """
    read_pending, ended_for = client_connection.ClientConnection.read_pending, []

    async def steps(connect):
        client = await connect()
        await client.send_request(1, path="/rpc/sale")
        assert "200 OK" in await client.receive_response()
        await anyio.sleep(2 * connection_pool.REUSE_DELAY_AFTER_UNNAMED_COPY)

        async def end_and_read(self, request_id):
            if not ended_for:
                ended_for.append(request_id)
                taken = next(iter(harness.router_process.cache_connections.in_use.values()))
                taken.stream.shutdown()  # as its cache would
            await read_pending(self, request_id)

        monkeypatch.setattr(client_connection.ClientConnection, "read_pending", end_and_read)
        await client.send_request(2, path="/rpc/sale")
        assert "200 OK" in await client.receive_response()
        assert ended_for and request_count(harness, 2) == 1

    harness.run_steps(steps)


FIRST_RESPONSE = OK_RESPONSE.replace(b"abcde", b"first").replace(COPY_TAG, b"00000000000000f1")


def test_a_repeated_response_is_not_taken_for_the_next_requests(harness):
    """A cache sends a response twice, the second time after the next request was written.

    The repetition had not arrived when the connection was checked, so the next request's client got another
    chunk's bytes. Now it is detected by the copy that it names, and the request is retried with another
    cache.
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
        assert request_count(harness, 7) == 3  # the retry went to another cache, on a connection of its own

    harness.run_steps(steps)


@pytest.mark.parametrize("purged", [False, True])
def test_a_repeated_response_for_the_same_chunk_is_no_older_than_allowed(harness, purged):
    """A cache sends a response twice, and the next request is for the same chunk.

    The repetition is accepted, as it equals the cache's response to the next request, but not after a purge
    of that chunk: the client would get a copy older than the purge.
    """
    gate = anyio.Event()

    async def steps(connect):
        client, same = await connect(), {"HTTP_X_SUBJECT": f"{7:016x}"}
        harness.responses = {7: [FIRST_RESPONSE]}
        await client.send_request(1, **same)
        assert "first" in await client.receive_response()
        await anyio.sleep(2 * connection_pool.REUSE_DELAY)
        if purged:
            harness.router_process.handle_event(
                events.PurgeNotice(None, f"{7:016x}", harness.router_process.clock())
            )
        harness.responses = {7: [gate, FIRST_RESPONSE, OK_RESPONSE]}
        await client.send_request(2, **same)
        await wait_until(lambda: request_count(harness, 7) == 2)
        harness.responses = {7: [OK_RESPONSE]}
        gate.set()
        assert ("abcde" if purged else "first") in await client.receive_response()

    harness.run_steps(steps)


@pytest.mark.parametrize("answer", [OVERLOADED_RESPONSE, b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsold"])
def test_a_connection_rests_longer_after_a_response_that_names_no_copy(harness, monkeypatch, answer):
    """A cache repeats a response that names no copy: an error, or the response to a write.

    As the response to the next request, it would say that this request was executed, or was never executed.
    The two can't be distinguished, so such a connection isn't used again for a longer time.
    """
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_AFTER_UNNAMED_COPY", 3_600.0)

    async def steps(connect):
        client = await connect()
        harness.responses = {id: [answer] for id in range(1, 4)}
        for id in (1, 2, 3):
            await client.send_request(id, path="/rpc/sale")
            await client.receive_response()
            await anyio.sleep(2 * connection_pool.REUSE_DELAY)
        attempts = sum(line.startswith("GET /x/sale/") for line in harness.requests)
        assert harness.accepted_connections == attempts >= 3

    harness.run_steps(steps)


def test_large_responses_get_room_in_their_turn():
    """The response memory is full, and small responses take memory as soon as some is released.

    A large response waited forever. Now memory is granted in the order of the requests for it; a cancelled
    waiter gives up its turn.
    """
    order = []

    async def run():
        budget = byte_budget.ByteBudget(cache_responses.MAX_BODY_SIZE)

        async def take_memory(name, count):
            await budget.acquire(count)
            order.append(name)

        async with anyio.create_task_group() as tasks:
            await budget.acquire(cache_responses.MAX_BODY_SIZE)
            cancelled_scope = anyio.CancelScope()

            async def take_and_be_cancelled():
                with cancelled_scope:
                    await take_memory("cancelled", 1_000)

            for task in (lambda: take_memory("large", 200_000), take_and_be_cancelled):
                tasks.start_soon(task)
                await anyio.sleep(0)
            budget.release(60_000)
            tasks.start_soon(take_memory, "small", 50_000)  # which would fit
            await anyio.sleep(0.01)
            assert order == []
            cancelled_scope.cancel()
            await anyio.sleep(0)
            budget.release(cache_responses.MAX_BODY_SIZE - 60_000)
            await anyio.sleep(0.01)
            assert order == ["large"]
            budget.release(200_000)
        assert order == ["large", "small"] and budget.free == cache_responses.MAX_BODY_SIZE - 50_000
        assert not budget.waiters

    anyio.run(run, backend_options=process.BACKEND_OPTIONS)


# -- endpoint lists and deduplication windows ------------------------------------------------------


def test_bytes_without_a_whole_frame_count_as_silence(harness, monkeypatch):
    """A discovery service sends half a frame, a byte at a time, and never the rest.

    The service was treated as one without news, and the endpoint list became outdated. Now silence counts
    from the last complete frame, and the router reconnects.
    """
    monkeypatch.setattr(endpoint_watch, "SILENCE_TIMEOUT", 0.2)

    async def trickle(connection):
        async with connection:
            harness.requests.append(f"journal from {int.from_bytes(await connection.receive(8), 'big')}")
            for byte in frame(2, 1, bytes(2_400 * 27)):  # takes 32 minutes
                with contextlib.suppress(anyio.BrokenResourceError):  # the router has closed the connection
                    await connection.send(bytes([byte]))
                await anyio.sleep(0.03)

    monkeypatch.setattr(harness, "serve_discovery", trickle, raising=False)

    async def steps(connect):
        await connect()
        await wait_until(lambda: harness.requests.count("journal from 1") > 1)

    harness.run_steps(steps)


def test_a_retry_is_not_sent_once_its_idempotency_key_may_be_forgotten():
    """A retry is decided in time, and its connection is opened late.

    By then caches may have forgotten the idempotency key, and the operation would run twice.
    """
    lines = []
    machine = StateMachineHarness(lines)
    machine.request_received(1, "hold", idempotency_key="a" * 32, timeout=6_000_000)
    machine.connection_ready(1)
    machine.attempt_failed(1, attempt_failure.AttemptStage.SENDING, attempt_failure.FailureCause.RESET)
    assert any("OpenConnection 1, 1" in line for line in lines)
    machine.advance_to(2_940)
    lines.clear()
    machine.connection_ready(1, attempt=1)
    assert any("SendRequest 1, 1" in line for line in lines)
    machine.request_received(2, "hold", idempotency_key="b" * 32, timeout=6_000_000)
    machine.connection_ready(2)
    machine.attempt_failed(2, attempt_failure.AttemptStage.SENDING, attempt_failure.FailureCause.RESET)
    machine.advance_to(2_940 + 2_960)
    lines.clear()
    machine.connection_ready(2, attempt=1)
    assert not any("SendRequest" in line for line in lines)


# -- signals and shutdown --------------------------------------------------------------------------

SIGNAL_DURING_IMPORT = """
import os, runpy, signal, sys
class SignalOnImport:
    def find_spec(self, name, path=None, target=None):
        if name == "quartzrouter.server.process":
            os.kill(os.getpid(), {number})
sys.meta_path.insert(0, SignalOnImport())
runpy.run_module("quartzrouter", run_name="__main__", alter_sys=True)
"""


def run_router_process(harness, script, steps, descriptors=None, **other):
    """Runs the steps of a test beside a router in a process of its own; returns its exit status and its log.

    :param descriptors: the number of descriptors that the process may have.
    """

    def limit_descriptors():
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    harness.discovery_frames = []

    async def run():
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                cache, port = await harness.start_server(tasks, harness.serve_cache), await free_port()
                configuration = {
                    "journal": await harness.start_server(tasks, harness.serve_discovery)
                } | other
                harness.write_configuration(cache, **configuration)
                environ = os.environ | {
                    "NODE_CONFIG": str(harness.config_path),
                    "NODE_LISTEN": f"127.0.0.1:{port}",
                }
                command = [sys.executable, *script]
                router = subprocess.Popen(
                    command, env=environ, stderr=subprocess.PIPE, preexec_fn=limit_descriptors
                )
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

    Its default action ended the process. Now handlers are installed first, and the configuration is reloaded
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


def test_sigterm_during_imports_exits_with_status_0(harness):
    """SIGTERM arrives while the program is being imported.

    Its default action ended the process with the signal's status. Now the process exits with 0 before it
    listens.
    """

    async def steps(router, connect):
        await anyio.to_thread.run_sync(router.wait)

    status, output = run_router_process(
        harness, ["-c", SIGNAL_DURING_IMPORT.format(number=int(signal.SIGTERM))], steps
    )
    assert status == 0 and "before it listened" in output and "Traceback" not in output


def test_sighup_up_to_the_last_moment_does_not_change_the_exit_status(harness):
    """SIGHUP arrives repeatedly while the process ends.

    The handlers were removed before the process ended, and a SIGHUP then had its default action.
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

    The handler woke the closed loop, which raised an error that ended the process with a traceback.
    """
    with Signals() as signals:
        with signals:
            signals.wake = lambda: 1 / 0
        os.kill(os.getpid(), signal.SIGHUP)
        assert list(signals.pending) == [signal.SIGHUP]


def test_a_stopping_router_answers_requests_and_resets_no_connection(harness, monkeypatch):
    """A router stops with a connection that isn't accepted yet, an idle one, one with an incomplete request
    and one whose client reads slowly.

    Each close with unread data was a reset, and requests had no response. Now waiting connections are
    accepted, requests that were read are answered, and sending is ended before a connection is closed.
    """
    accept, stopping = listener.Listener._accept_from, []
    harness.responses = {3: [LARGE_RESPONSE]}

    def accept_late(self, listening_socket):  # nothing until the listener stops, as in a busy process
        return False if stopping and not self._scope.cancel_called else accept(self, listening_socket)

    async def steps(connect):
        idle, incomplete, slow = await connect(), await connect(), await connect()
        await idle.send_request(1)
        assert "200 OK" in await idle.receive_response()
        await incomplete.send_request(2, whole=False)
        await slow.send_request(3)
        await wait_until(lambda: request_count(harness, 3))
        monkeypatch.setattr(listener.Listener, "_accept_from", accept_late)
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
        write_at_once(idle, idle.encode_request(5))  # crosses the end of the connection, and is never begun
        assert "200 OK" in (response := await slow.receive_response()) and "end 0 0" in response
        for client in (idle, incomplete, slow, new):
            with pytest.raises(anyio.EndOfStream):
                while True:
                    await client.stream.receive()
        assert not request_count(harness, 5) and not request_count(harness, 2)

    harness.run_steps(steps)


def test_clients_that_do_not_read_do_not_keep_the_process_from_exiting(harness, monkeypatch):
    """A router stops while a client reads none of its responses.

    The process never ended. Now it ends once the longest client timeout has passed.
    """
    monkeypatch.setattr(response_writer, "MAX_QUEUED_RECORDS", 32)
    categories = [category | {"deadline_us": 1_000_000} for category in SETUP["categories"]]
    harness.responses = {id: [LARGE_RESPONSE] for id in range(1, 31)}

    async def steps(connect):
        client = await connect()
        for id in range(1, 31):
            await client.send_request(id)
        await wait_until(
            lambda: any(each.writer.is_backlogged for each in harness.router_process.client_connections.open)
        )
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: not harness.router_process.client_connections.open, timeout=6)

    harness.run_steps(steps, settings=SETUP | {"categories": categories})


def test_closing_one_connection_reaches_no_other(harness):
    """A connection is closed, and its descriptor is reused for another one.

    A connection that the event loop had closed by itself was still checked and shut down by its descriptor
    number, which by then belonged to another connection.
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
            assert number in (one.fileno(), two.fileno())  # the descriptor is reused
            pooled.stream.shutdown()
            assert not pooled.is_quiet()
            one.setblocking(False)
            one.send(b"still there")
            assert two.recv(20) == b"still there"
        finally:
            one.close()
            two.close()

    harness.run_steps(steps)


def test_responses_that_are_not_read_count_as_open_requests(harness):
    """A client sends many requests, and reads no response.

    Responses accumulated without limit. Now a request is open until its response has been sent, and the
    number of open requests is limited.
    """
    harness.responses = {id: [LARGE_RESPONSE] for id in range(1, 121)}

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


# -- slow, incomplete and excessive input ----------------------------------------------------------


def test_a_request_that_trickles_in_is_answered_and_others_meanwhile(harness):
    """A client sends its request a byte at a time: it is answered, and other requests don't wait for it."""

    async def steps(connect):
        slow, other = await connect(), await connect()
        for position, byte in enumerate(slow.encode_request(1)):
            await slow.stream.send(bytes([byte]))
            if position % 50 == 0:
                await other.send_request(100 + position)
                assert "200 OK" in await other.receive_response()
        assert "200 OK" in await slow.receive_response()

    harness.run_steps(steps)


def test_requests_of_clients_that_leave_at_once_are_not_begun(harness):
    """Clients send complete requests, incomplete ones and records of no request, and leave at once.

    None of the requests is begun, and the memory that they held is released.
    """

    async def steps(connect):
        service = harness.router_process
        free_memory = service.client_connections.free_request_memory
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
            service.client_connections.free_request_memory == free_memory
            and not service.client_connections.by_request_id
            and not service.state_machine.open_correlation_ids
        )
        other = await connect()
        await other.send_request(50)
        assert "200 OK" in await other.receive_response()
        assert [line for line in harness.requests if "GET" in line and f"{50:016x}" not in line] == []

    harness.run_steps(steps)


def test_idle_clients_do_not_block_new_ones_while_discovery_is_down(harness):
    """Idle clients use all descriptors of a router that has the minimum number of them, while its discovery
    service is down.

    New clients are served, and the router connects to the service once it is up.
    """

    async def steps(router, connect):
        idle = [await connect() for _ in range(60)]
        for round in (1, 2):
            new = await connect()
            await new.send_request(1, path="/health")
            assert "200" in await new.receive_response()  # with the endpoints of the configuration
            await new.send_request(10 * round)
            assert "200 OK" in await new.receive_response()
            idle += [await connect() for _ in range(30)]
            if round == 1:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
                tasks.start_soon(listener.serve, harness.serve_discovery)
                await wait_until(lambda: "journal from 1" in harness.requests)
        router.send_signal(signal.SIGTERM)

    async def steps_with_discovery(router, connect):
        nonlocal tasks
        async with anyio.create_task_group() as tasks:
            await steps(router, connect)
            await anyio.to_thread.run_sync(router.wait)
            tasks.cancel_scope.cancel()

    tasks, port = None, anyio.run(free_port)
    status, output = run_router_process(
        harness,
        ["-m", "quartzrouter"],
        steps_with_discovery,
        descriptors=64,
        journal=f"127.0.0.1:{port}",
        limits={"sockets": 64},
    )
    assert status == 0 and "Traceback" not in output and "accept failed" not in output


def test_a_rejection_for_memory_names_retry_after(harness):
    """Requests hold all of the request memory: one that finds none is rejected with a time to retry after."""

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

    The number of pending signals is limited, and the oldest was dropped first, so SIGTERM was lost.
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
    """SIGHUP arrives while an attempt connects, waits for its response, has half of it, or the router stops.

    The router follows the new discovery service, and the request has exactly one response.
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
            new_address, configuration = (
                await harness.start_server(tasks, harness.serve_discovery),
                json.loads(harness.config_path.read_text()),
            )
            harness.config_path.write_text(json.dumps(configuration | {"journal": new_address}))
            count_before = harness.requests.count("journal from 1")
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: harness.requests.count("journal from 1") > count_before)
            gate.set()
            assert "200 OK b'abcde' end 0 0" in await client.receive_response()
            assert request_count(harness, 1) == 1
            tasks.cancel_scope.cancel()

    harness.run_steps(steps)


@pytest.mark.parametrize("at", ["connecting", "half a frame"])
def test_a_reload_in_the_middle_of_an_event_takes_it_from_the_new_service(harness, monkeypatch, at):
    """SIGHUP changes the discovery service while the router connects to the old one, or has half a frame.

    The event is handled exactly once: the new service is asked for events after the last complete frame.
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
        on_event = service.endpoint_watch.on_event
        service.endpoint_watch.on_event = lambda event: (purged.append(event), on_event(event))
        await connect()
        half = anyio.Event()

        async def send_half_a_frame(stream):
            async with stream:
                await stream.receive(8)
                await stream.send(purge[:-3])
                half.set()
                await anyio.sleep_forever()

        async with anyio.create_task_group() as tasks:
            configuration = json.loads(harness.config_path.read_text())

            async def follow(handler):
                harness.config_path.write_text(
                    json.dumps(configuration | {"journal": await harness.start_server(tasks, handler)})
                )
                os.kill(os.getpid(), signal.SIGHUP)

            await wait_until(lambda: "journal from 1" in harness.requests)
            monkeypatch.setattr(endpoint_watch, "connect", held_connect)
            await follow(send_half_a_frame)
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
    """A discovery service resets new connections.

    An exception of the stream library ended the process. Now each failure is an OSError, and the router
    retries.
    """
    accepted = []

    async def reset(stream):
        accepted.append(stream)
        if len(accepted) < 3:
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await stream.aclose()
        else:
            await harness.serve_discovery(stream)

    async def steps(connect):
        client = await connect()
        async with anyio.create_task_group() as tasks:
            configuration = json.loads(harness.config_path.read_text())
            harness.config_path.write_text(
                json.dumps(configuration | {"journal": await harness.start_server(tasks, reset)})
            )
            count_before = harness.requests.count("journal from 1")
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: harness.requests.count("journal from 1") > count_before)
            assert len(accepted) == 3
            await client.send_request(1)
            assert "200 OK" in await client.receive_response()
            tasks.cancel_scope.cancel()

    harness.run_steps(steps)


@pytest.mark.parametrize("in_time", [True, False])
def test_a_connection_that_opens_late_delays_nobody_and_carries_nothing_late(harness, monkeypatch, in_time):
    """A connection to a cache is opened late.

    Within the connect timeout it is used. After it, the request is retried on another connection, and the
    late connection is closed if it opens at all: the request must not be sent twice.
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

    connect_timeout_us = 800_000 if in_time else 50_000
    limits = SETUP["limits"] | {"dial_timeout_us": connect_timeout_us}
    harness.run_steps(steps, settings=SETUP | {"limits": limits})


def test_a_flood_of_invalid_requests_costs_few_log_lines_and_no_other_client(harness, capsys):
    """Clients send invalid requests as fast as they can.

    With a log line for each, the log would grow too fast and other clients would wait. Lines are suppressed
    and counted.
    """
    floods = 200

    async def steps(connect):
        other = await connect()
        for number in range(floods):
            flood = await connect()
            write_at_once(flood, flood.encode_request(1, HTTP_X_CHUNK="none") + b"\0" * 64)
            if number % 2:
                end_sending(flood)
            if number % 20 == 0:
                await other.send_request(1000 + number)
                assert "200 OK" in await other.receive_response()
        await wait_until(lambda: len(harness.router_process.client_connections.open) == 1)

    harness.run_steps(steps)
    lines = [line for line in capsys.readouterr().err.splitlines() if "client: " in line]
    assert 0 < len(lines) < floods / 2 and not any("Traceback" in line for line in lines)
