"""The whole router over loopback, with fakes of a cache and a discovery service; each test has a timeout."""

import contextlib
import json
import os
import re
import signal
import subprocess
import sys
import time

import anyio
from conftest import SETUP, frame
from standins import COPY_HEADERS, OK_RESPONSE, begin_request_record, free_port

from quartzrouter.server import client_connection, client_connections, fastcgi, response_writer, stream
from quartzrouter.server import process as process_module


def test_requests_are_answered_over_one_connection(harness, trace):
    async def steps(connect):
        client = await connect()
        await client.send_request(1, path="/health")
        trace.append(await client.receive_response())
        for id in range(1, 5):
            await client.send_request(id)
        trace.extend(sorted([await client.receive_response() for _ in range(4)]))
        await client.send_request(9, path="/rpc/other")
        trace.append(await client.receive_response())
        await client.send_request(10, body=bytes(60_000))
        trace.append(await client.receive_response())
        await (client := await connect()).send_request(11, HTTP_X_TAG="none")
        trace.append(await client.receive_response())

    harness.run_steps(steps)
    trace += sorted(line for line in harness.requests if line.startswith("GET"))


def test_malformed_responses_end_at_their_connection(harness, trace, capsys):
    """Caches break HTTP or the protocol in many ways: each client gets a complete response or an error.

    The router logs no traceback.
    """
    head = b"HTTP/1.1 200 OK\r\n" + COPY_HEADERS
    malformed = {
        1: [b"nonsense\r\n\r\n"],
        2: [head + b"Content-Length: 9\r\n\r\nabcde", None],
        3: [head + b"\r\nabcde", None],
        4: [OK_RESPONSE + b"more"],
        5: [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde"],
        6: [None],
        7: [b"HTTP/1.1 200 OK\r\nX-A: " + b"a" * 20_000],
        8: [OK_RESPONSE.replace(b"X-Tag", b"X-Tell: guessed\r\nX-Tag")],
        9: [OK_RESPONSE[:-5], 0.05, b"ab", 0.05, b"cde"],
        10: [b"HTTP/1.1 100 Continue\r\n\r\n" + OK_RESPONSE],
        11: [OK_RESPONSE * 2],
        12: [OK_RESPONSE, b"\x00noise", None],
        13: [b"HTTP/1.1 100 Continue\r\n\r\n" * 99],
        14: [OK_RESPONSE.replace(b"5", b"3000000000") + bytes(300_000)],
        15: [head + b"Transfer-Encoding: chunked\r\n\r\n" + b"ffff\r\n%b\r\n" % bytes(0xFFFF) * 5],
        16: [head + b"Content-Length: -5\r\n\r\nabcde"],
        17: [OK_RESPONSE],
    }
    harness.responses = malformed

    async def steps(connect):
        client = await connect()
        for id in malformed:
            await client.send_request(id)
            trace.append(await client.receive_response())

    harness.run_steps(steps)
    assert "Traceback" not in capsys.readouterr().err


def test_malformed_records_end_at_their_connection(harness, trace, capsys):
    """Clients break FastCGI in many ways: they lose their connection or request, and other clients don't."""

    async def steps(connect):
        for data in (
            b"\x02" + bytes(7),
            b"GET / HTTP/1.1\r\n\r\n",
            fastcgi.encode_record(fastcgi.RecordType.BEGIN_REQUEST, 1, b"short"),
            fastcgi.encode_record(fastcgi.RecordType.END_REQUEST, 1, bytes(8)),
            fastcgi.encode_record(fastcgi.RecordType.GET_VALUES, 0, b"\x0f"),
            fastcgi.encode_record(fastcgi.RecordType.BEGIN_REQUEST, 1, b"\x00\x01" + bytes(6)) * 2,
        ):
            client = await connect()
            await client.stream.send(data)
            trace.append(f"{data[:20]}: {await client.receive_response()}")
        client = await connect()
        await client.send_request(1, role=2)
        trace.append(await client.receive_response())
        await client.stream.send(fastcgi.encode_record(77, 0, b""))
        trace.append(await client.receive_response())
        await client.stream.send(
            fastcgi.encode_record(fastcgi.RecordType.GET_VALUES, 0, b"\x0f\x00FCGI_MPXS_CONNS")
        )
        trace.append(await client.receive_response())
        for id in range(1, 34):
            await client.send_records(begin_request_record(), id=id)
        trace.append(await client.receive_response())
        await client.send_records((fastcgi.RecordType.ABORT_REQUEST, b""), id=7)
        trace.append(await client.receive_response())
        await client.send_request(40)
        trace.append(await client.receive_response())

    harness.run_steps(steps)
    assert "Traceback" not in capsys.readouterr().err


def test_clients_that_bring_nothing_usable_are_answered_or_closed_soon(harness, trace):
    """Clients send nothing, incomplete requests, or more than is allowed.

    Each gets its final response or the end of its connection in time.
    """

    async def send_many(client, record_type):
        with contextlib.suppress(anyio.BrokenResourceError):
            for _ in range(2_000):
                await client.send_records((record_type, bytes(30_000)))

    async def silence(client):
        pass

    async def incomplete_body(client):
        await client.send_request(1, body=b"abc", whole=False)

    async def body_without_end(client):
        await client.send_request(1, whole=False)
        await send_many(client, fastcgi.RecordType.STDIN)

    async def params_without_end(client):
        await client.send_records(begin_request_record())
        await send_many(client, fastcgi.RecordType.PARAMS)

    async def announced_too_long(client, length="60000000"):
        await client.send_request(1, whole=False, CONTENT_LENGTH=length)

    async def negative_length(client):
        await announced_too_long(client, "-3")

    async def short_body(client):
        await client.send_request(1, body=b"abc", CONTENT_LENGTH="4")

    async def open_twice(client):
        await client.send_request(1, HTTP_X_SUBJECT=f"{9:016x}")
        await client.send_request(2, HTTP_X_CORRELATION_ID=f"{1:016x}")

    async def aborted(client):
        for id in range(1, 33):
            await client.send_request(id, whole=False)
        await client.stream.send(
            b"".join(
                fastcgi.encode_record(record_type, id, b"")
                for id in range(1, 33)
                for record_type in (fastcgi.RecordType.STDIN, fastcgi.RecordType.ABORT_REQUEST)
            )
        )

    async def many_invalid(client):
        with contextlib.suppress(anyio.BrokenResourceError):
            for _ in range(100):
                await client.send_request(1, path="/rpc/other")

    behaviours = (
        silence,
        incomplete_body,
        body_without_end,
        params_without_end,
        announced_too_long,
        negative_length,
        short_body,
        open_twice,
        aborted,
        many_invalid,
    )
    harness.responses = {9: [0.2, OK_RESPONSE]}

    async def steps(connect):
        outcomes = {}

        async def run_one(behaviour):
            started_at, client = time.monotonic(), await connect()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(behaviour, client)
                outcomes[behaviour] = await client.receive_response()
                promptness = "at once" if time.monotonic() - started_at < 1 else "soon"
                outcomes[behaviour] += f" {promptness}" if time.monotonic() - started_at < 2.9 else " late"
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for behaviour in behaviours:
                tasks.start_soon(run_one, behaviour)
        trace.extend(f"{behaviour.__name__}: {outcomes[behaviour]}" for behaviour in behaviours)
        await anyio.sleep(0.05)  # until the router has read the ends of the last connections
        sent = [line for line in harness.requests if "GET" in line and f"{9:016x}" not in line]
        clients = len(harness.router_process.client_connections.open)
        trace.append(f"{clients} clients, {len(sent)} requests to caches for aborted requests")

    harness.run_steps(steps)


def test_aborts_before_and_during_a_response(harness, trace):
    """A client aborts requests before and during their responses: these end, its other requests continue."""
    harness.responses = {1: [1.0, OK_RESPONSE], 2: [OK_RESPONSE[:-2], 1.0, b"de"]}

    async def steps(connect):
        client = await connect()
        for id in (1, 2):
            await client.send_request(id)
            await anyio.sleep(0.1)
            await client.send_records((fastcgi.RecordType.ABORT_REQUEST, b""), id=id)
            trace.append(await client.receive_response())
        await client.send_request(3)
        trace.append(await client.receive_response())

    harness.run_steps(steps)


def test_a_client_that_reads_nothing_blocks_nobody_else(harness, trace):
    """A client reads none of its large responses; the responses to another client are not delayed."""
    body = b"x" * 240_000
    harness.responses = {
        id: [OK_RESPONSE.replace(b"5\r\n\r\nabcde", b"240000\r\n\r\n") + body] for id in range(1, 31)
    }

    async def steps(connect):
        slow, client = await connect(), await connect()
        for id in range(1, 31):
            await slow.send_request(id)
        await anyio.sleep(0.3)
        await client.send_request(40)
        trace.append(await client.receive_response())

    harness.run_steps(steps)


def test_a_failed_discovery_service_is_resumed_from_the_last_event(harness, trace):
    """A discovery service sends invalid bytes, gaps and repeats.

    The router reconnects and continues after the last event that it has received.
    """
    frames = [
        frame(1, 0) + frame(2, 3, bytes(16)) + b"\x00",
        b"\xff" * 20,
        frame(9, 3, bytes(16)),
        b"",
        frame(3, 4, bytes(10)) + frame(3, 4, bytes(10)),
        frame(3, 0),
    ]

    async def steps(connect):
        client = await connect()
        while harness.discovery_frames:
            await anyio.sleep(0.02)
        await client.send_request(1)
        trace.append(await client.receive_response())

    harness.run_steps(steps, frames)
    trace += [line for line in harness.requests if line.startswith("journal")]


def test_sighup_follows_discovery_at_its_new_address(harness, trace, capsys):
    """SIGHUP with an invalid configuration changes nothing; with a valid one the router follows another
    discovery service.
    """

    async def steps(connect):
        client, original = await connect(), harness.config_path.read_text()
        async with anyio.create_task_group() as tasks:
            new_address = await harness.start_server(tasks, harness.serve_discovery)
            harness.discovery_frames = [frame(2, 3, bytes(16)), b"", frame(2, 3, bytes(16)) + frame(3, 0)]
            for text in ("{", original.replace('"127.0.0.1:1"', "7"), None, original):
                if text is None:
                    text = json.dumps(
                        json.loads(original) | {"journal": new_address, "limits": {"sockets": 256}}
                    )
                harness.config_path.write_text(text)
                os.kill(os.getpid(), signal.SIGHUP)
                await anyio.sleep(0.2)
            await client.send_request(1)
            trace.append(await client.receive_response())
            tasks.cancel_scope.cancel()

    harness.run_steps(steps)
    trace += [line for line in harness.requests if line.startswith("journal")]
    lines = [line for line in capsys.readouterr().err.splitlines() if "SIGHUP" in line]
    trace += [re.sub("[0-9]{4,}", "PORT", line.replace(str(harness.config_path), "FILE")) for line in lines]


def test_requests_are_rejected_when_descriptors_run_out(harness, trace):
    """All descriptors for caches are in use by requests without a response: further requests are rejected."""
    harness.responses = {id: [3.0] for id in range(1, 200)}

    async def steps(connect):
        clients = [await connect() for _ in range(3)]
        for id in range(1, 97):
            await clients[id % 3].send_request(id)
        responses = []
        with anyio.move_on_after(0.4):  # the others are rejected once their attempts have timed out
            for id in range(1, 97):
                responses.append(await clients[id % 3].receive_response())
        trace.extend(sorted({response.partition(" ")[2] for response in responses}))
        await anyio.sleep(0.6)
        harness.responses = {}
        await (client := await connect()).send_request(1)
        trace.append(await client.receive_response())
        assert 50 < harness.max_open_connections < 70  # the router closes a few before the fake accepts them

    harness.run_steps(steps)


def test_a_pooled_connection_that_has_ended_carries_no_request(harness, trace):
    """Caches close pooled connections: requests that may not run twice are sent only on open ones."""
    harness.responses = {id: [OK_RESPONSE, None] for id in range(1, 9)}

    async def steps(connect):
        client = await connect()
        for id in range(1, 9):
            await client.send_request(id)
            await client.receive_response()
        await anyio.sleep(0.05)
        for id in range(9, 13):
            await client.send_request(id, path="/rpc/sale")
            trace.append(await client.receive_response())

    harness.run_steps(steps)


def test_a_fault_in_a_decision_costs_one_request_only(harness, trace, capsys):
    """A routing decision raises an unexpected error: that request fails, the process and others continue."""

    async def steps(connect):
        client, router = await connect(), harness.router_process.state_machine.router
        for call in ("route", "attempt_finished", "cancel_request", "maintenance"):
            setattr(router, call, lambda *arguments: 1 / 0)
            await client.send_request(1)
            if call == "cancel_request":
                await client.send_records((fastcgi.RecordType.ABORT_REQUEST, b""))
            trace.append(f"{call}: {await client.receive_response()}")
            delattr(router, call)
        await client.send_request(2)
        trace.append(await client.receive_response())

    harness.run_steps(steps)
    assert "ZeroDivisionError" in capsys.readouterr().err


def test_request_memory_is_bounded_and_given_back(harness, trace):
    """Requests need more than the request memory: one is rejected, and all memory is released at the end."""

    async def steps(connect):
        client, free_memory = await connect(), harness.router_process.client_connections.free_request_memory
        for id in range(1, 5):
            await client.send_request(id, body=bytes(40_000), whole=False)
        for id in (4, 1):
            await client.send_records((fastcgi.RecordType.STDIN, b""), id=id)
            trace.append(await client.receive_response())
        await client.send_records((fastcgi.RecordType.ABORT_REQUEST, b""), id=2)
        trace.append(await client.receive_response())
        await client.stream.aclose()
        await anyio.sleep(0.05)
        trace.append(
            f"{free_memory} bytes, at the end {harness.router_process.client_connections.free_request_memory}"
        )

    harness.run_steps(steps, limits={"sockets": 128, "memory_mb": 1})


def test_a_client_that_floods_and_reads_nothing_is_read_slowly(trace):
    """A client sends without end and reads nothing: the records queued for it stay limited."""

    class FloodingStream:
        """A connection that always has data to read, and on which writes never complete."""

        reads = max_queued = 0

        async def wait_readable(self):
            await anyio.sleep(0)

        async def receive(self, max_bytes):
            await anyio.sleep(0)
            self.reads += 1
            self.max_queued = max(
                [
                    self.max_queued,
                    *(sum(map(len, client.writer.queues.values())) for client in connections.open),
                ]
            )
            return fastcgi.encode_record(fastcgi.RecordType.GET_VALUES, 0, b"\x0f\x00FCGI_MPXS_CONNS") * (
                max_bytes // 32
            )

        async def send(self, data):
            await anyio.sleep_forever()

        def pending(self):
            return stream.Pending.UNREAD

        def drain(self):
            pass

        close = drain

    async def run():
        nonlocal connections
        flood, connections = FloodingStream(), client_connections.ClientConnections(None, 9, 9, None, None)
        assert connections.admit()
        with anyio.move_on_after(0.2):
            await connections.serve(flood)
        # The connection is read slowly, so that its end is still noticed; the queued answers stay limited.
        assert 1 < flood.reads <= 2 + 0.2 / client_connection.BACKLOG_READ_INTERVAL
        assert (
            flood.max_queued <= response_writer.MAX_QUEUED_RECORDS + client_connection.READ_BUFFER_SIZE // 32
        )
        trace.append(f"{len(connections.open)} open")

    connections = None
    anyio.run(run, backend_options=process_module.BACKEND_OPTIONS)


def test_idle_clients_make_room_for_a_new_one(harness, trace):
    """Idle clients use all client connections: one of these is closed for a new client."""

    async def steps(connect):
        idle = [await connect() for _ in range(25)]
        client = await connect()
        await client.send_request(1)
        trace.append(await client.receive_response())
        trace.append(await idle[0].receive_response())

    harness.run_steps(steps, limits={"sockets": 64})


def start_process(path, port):
    environ = os.environ | {"NODE_CONFIG": str(path), "NODE_LISTEN": f"127.0.0.1:{port}", "NODE_NAME": "n0"}
    return subprocess.Popen([sys.executable, "-m", "quartzrouter"], env=environ, stderr=subprocess.PIPE)


def test_sigterm_finishes_in_flight_requests(harness, trace):
    """A router is stopped with a request in flight; before, a second one can't bind the same address."""
    harness.responses = {1: [0.3, OK_RESPONSE]}
    harness.discovery_frames = []

    async def run():
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                cache, port = await harness.start_server(tasks, harness.serve_cache), await free_port()
                harness.write_configuration(cache, await harness.start_server(tasks, harness.serve_discovery))
                processes = [start_process(harness.config_path, port)]
                client = await harness.connect(port)
                second = start_process(harness.config_path, port)
                trace.append(
                    (await anyio.to_thread.run_sync(second.communicate))[1]
                    .decode()
                    .strip()
                    .replace(f"{port}", "PORT")
                )
                trace.append(f"exit {second.returncode}")
                await client.send_request(1)
                await anyio.sleep(0.1)
                stopped_at = time.monotonic()
                processes[0].send_signal(signal.SIGTERM)
                trace.append(await client.receive_response())
                await anyio.sleep(0.6 - (time.monotonic() - stopped_at))
                late = await harness.connect(port)
                await late.send_request(2)
                trace.append(await late.receive_response())
                error = (await anyio.to_thread.run_sync(processes[0].communicate))[1].decode()
                # One second for requests that are on their way, half a second for those that cross the close.
                duration = time.monotonic() - stopped_at
                trace.append(f"exit {processes[0].returncode}, {'soon' if 0.9 < duration < 3 else duration}")
                assert "Traceback" not in error
                tasks.cancel_scope.cancel()

    anyio.run(run, backend_options=process_module.BACKEND_OPTIONS)


def test_load_reports_in_responses_follow_from_the_settings_alone(harness, trace):
    """Load reports in responses are read if the settings say so; a request is served in either case."""
    response = OK_RESPONSE.replace(
        b"X-Tag", b"X-Report: busy:0.61;x1:1.5\r\nX-Ttfb: 9.4\r\nX-Tell: cached\r\nX-Tag"
    )
    harness.responses = {1: [response]}

    async def steps(connect):
        client = await connect()
        await client.send_request(1)
        trace.append(await client.receive_response())
        router = harness.router_process.state_machine.router
        reported = [report.utilization for report in router.load.reports.values()]
        trace.append(f"busy {reported}, link {router.location_link.utilization > 0}")

    for how in ("silent", "piggyback"):
        trace.append(f"load_report.how = {how}")
        harness.run_steps(steps, settings=SETUP | {"load_report": {"how": how, "fields": ["busy", "x1"]}})
