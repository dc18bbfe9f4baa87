"""The whole router over loopback, against stand-ins for a cache and the journal service; bounded in time."""

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
    """Caches break HTTP or the protocol in many ways: a client gets a whole response or an error, no
    traceback.
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
    """Clients break FastCGI in many ways: it costs them their connection or their request, and nobody
    else.
    """

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
    """Clients send nothing, halves, or more than is allowed: each has its final response or its end in
    time.
    """

    async def stream(client, kind):
        with contextlib.suppress(anyio.BrokenResourceError):
            for _ in range(2_000):
                await client.send_records((kind, bytes(30_000)))

    async def silence(client):
        pass

    async def half(client):
        await client.send_request(1, body=b"abc", whole=False)

    async def body_without_end(client):
        await client.send_request(1, whole=False)
        await stream(client, fastcgi.RecordType.STDIN)

    async def params_without_end(client):
        await client.send_records(begin_request_record())
        await stream(client, fastcgi.RecordType.PARAMS)

    async def announced(client, length="60000000"):
        await client.send_request(1, whole=False, CONTENT_LENGTH=length)

    async def negative(client):
        await announced(client, "-3")

    async def short(client):
        await client.send_request(1, body=b"abc", CONTENT_LENGTH="4")

    async def open_twice(client):
        await client.send_request(1, HTTP_X_SUBJECT=f"{9:016x}")
        await client.send_request(2, HTTP_X_CORRELATION_ID=f"{1:016x}")

    async def taken_back(client):
        for id in range(1, 33):
            await client.send_request(id, whole=False)
        await client.stream.send(
            b"".join(
                fastcgi.encode_record(k, n, b"")
                for n in range(1, 33)
                for k in (fastcgi.RecordType.STDIN, fastcgi.RecordType.ABORT_REQUEST)
            )
        )

    async def again(client):
        with contextlib.suppress(anyio.BrokenResourceError):
            for _ in range(100):
                await client.send_request(1, path="/rpc/other")

    behaviours = (
        silence,
        half,
        body_without_end,
        params_without_end,
        announced,
        negative,
        short,
        open_twice,
        taken_back,
        again,
    )
    harness.responses = {9: [0.2, OK_RESPONSE]}

    async def steps(connect):
        outcomes = {}

        async def run_one(behaviour):
            began, client = time.monotonic(), await connect()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(behaviour, client)
                outcomes[behaviour] = await client.receive_response()
                promptness = "at once" if time.monotonic() - began < 1 else "soon"
                outcomes[behaviour] += f" {promptness}" if time.monotonic() - began < 2.9 else " late"
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for behaviour in behaviours:
                tasks.start_soon(run_one, behaviour)
        trace.extend(f"{behaviour.__name__}: {outcomes[behaviour]}" for behaviour in behaviours)
        await anyio.sleep(0.05)  # until the ends of the last clients have been read
        asked = [line for line in harness.requests if "GET" in line and f"{9:016x}" not in line]
        clients = len(harness.router_process.client_connections.open)
        trace.append(f"{clients} clients, {len(asked)} dispatches for what was taken back")

    harness.run_steps(steps)


def test_aborts_before_and_during_a_response(harness, trace):
    """A client aborts before its response has begun, and in the middle of it: the request ends, others go
    on.
    """
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
    """A client takes none of its large responses: another client's are not held up."""
    body = b"x" * 240_000
    harness.responses = {
        n: [OK_RESPONSE.replace(b"5\r\n\r\nabcde", b"240000\r\n\r\n") + body] for n in range(1, 31)
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
    """A discovery service sends noise, gaps and repeats: it is connected to anew from the last event held."""
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
    """SIGHUP with broken configurations changes nothing; with a good one discovery is followed elsewhere."""

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
    """All descriptors for caches are in use by responses that don't come: further requests are rejected."""
    harness.responses = {n: [3.0] for n in range(1, 200)}

    async def steps(connect):
        clients = [await connect() for _ in range(3)]
        for id in range(1, 97):
            await clients[id % 3].send_request(id)
        ends = []
        with anyio.move_on_after(0.4):  # the others are denied once their dispatch has timed out
            for id in range(1, 97):
                ends.append(await clients[id % 3].receive_response())
        trace.extend(sorted({end.partition(" ")[2] for end in ends}))
        await anyio.sleep(0.6)
        harness.responses = {}
        await (client := await connect()).send_request(1)
        trace.append(await client.receive_response())
        assert 50 < harness.max_open_connections < 70  # a few are closed here before they are there

    harness.run_steps(steps)


def test_a_pooled_connection_that_has_ended_carries_no_request(harness, trace):
    """Caches close pooled connections: requests that may not run twice go out on live ones only."""
    harness.responses = {n: [OK_RESPONSE, None] for n in range(1, 9)}

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
    """A decision raises an error of the program: that request fails, the process and others go on."""

    async def steps(connect):
        client, decisions = await connect(), harness.router_process.state_machine.router
        for call in ("route", "attempt_finished", "cancel_request", "maintenance"):
            setattr(decisions, call, lambda *arguments: 1 / 0)
            await client.send_request(1)
            if call == "cancel_request":
                await client.send_records((fastcgi.RecordType.ABORT_REQUEST, b""))
            trace.append(f"{call}: {await client.receive_response()}")
            delattr(decisions, call)
        await client.send_request(2)
        trace.append(await client.receive_response())

    harness.run_steps(steps)
    assert "ZeroDivisionError" in capsys.readouterr().err


def test_request_memory_is_bounded_and_given_back(harness, trace):
    """Clients hold more bytes of requests than there is memory: one is rejected, and all is given back."""

    async def steps(connect):
        client, room = await connect(), harness.router_process.client_connections.free_request_memory
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
            f"{room} bytes, at the end {harness.router_process.client_connections.free_request_memory}"
        )

    harness.run_steps(steps, limits={"sockets": 128, "memory_mb": 1})


def test_a_client_that_floods_and_reads_nothing_is_read_slowly(trace):
    """A client sends without end and takes nothing: what is queued for it stays bounded."""

    class Stuck:
        """A connection that takes nothing and has ever more to say."""

        taken = held = 0

        async def receive(self, most):
            await anyio.sleep(0)
            self.taken += 1
            self.held = max(
                [self.held, *(sum(map(len, client.writer.queues.values())) for client in room.open)]
            )
            return fastcgi.encode_record(fastcgi.RecordType.GET_VALUES, 0, b"\x0f\x00FCGI_MPXS_CONNS") * (
                most // 32
            )

        async def send(self, data):
            await anyio.sleep_forever()

        def pending(self):
            return stream.Pending.UNREAD

        def drain(self):
            pass

        close = drain

    async def run():
        nonlocal room
        flood, room = Stuck(), client_connections.ClientConnections(None, 9, 9, None, None)
        assert room.admit()
        with anyio.move_on_after(0.2):
            await room.serve(flood)
        # it is read, as its end must be heard, but slowly; and what it is owed for asking doesn't grow
        assert 1 < flood.taken <= 2 + 0.2 / client_connection.BACKLOG_READ_INTERVAL
        assert flood.held <= response_writer.MAX_QUEUED_RECORDS + client_connection.READ_BUFFER_SIZE // 32
        trace.append(f"{len(room.open)} open")

    room = None
    anyio.run(run, backend_options=process_module.BACKEND_OPTIONS)


def test_idle_clients_make_room_for_a_new_one(harness, trace):
    """All client connections are in use by idle clients: one of them is closed for a new one."""

    async def steps(connect):
        idle = [await connect() for _ in range(25)]
        client = await connect()
        await client.send_request(1)
        trace.append(await client.receive_response())
        trace.append(await idle[0].receive_response())

    harness.run_steps(steps, limits={"sockets": 64})


def process(path, port):
    environ = os.environ | {"NODE_CONFIG": str(path), "NODE_LISTEN": f"127.0.0.1:{port}", "NODE_NAME": "n0"}
    return subprocess.Popen([sys.executable, "-m", "quartzrouter"], env=environ, stderr=subprocess.PIPE)


def test_sigterm_finishes_in_flight_requests(harness, trace):
    """A process is text to stop with a request in flight, and a second one can't bind its address."""
    harness.responses = {1: [0.3, OK_RESPONSE]}
    harness.discovery_frames = []

    async def run():
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                cache, port = await harness.start_server(tasks, harness.serve_cache), await free_port()
                harness.write_configuration(cache, await harness.start_server(tasks, harness.serve_discovery))
                routers = [process(harness.config_path, port)]
                client = await harness.connect(port)
                second = process(harness.config_path, port)
                trace.append(
                    (await anyio.to_thread.run_sync(second.communicate))[1]
                    .decode()
                    .strip()
                    .replace(f"{port}", "PORT")
                )
                trace.append(f"exit {second.returncode}")
                await client.send_request(1)
                await anyio.sleep(0.1)
                began = time.monotonic()
                routers[0].send_signal(signal.SIGTERM)
                trace.append(await client.receive_response())
                await anyio.sleep(0.6 - (time.monotonic() - began))
                late = await harness.connect(port)
                await late.send_request(2)
                trace.append(await late.receive_response())
                error = (await anyio.to_thread.run_sync(routers[0].communicate))[1].decode()
                took = (
                    time.monotonic() - began
                )  # a second for what is on its behaviour, half for what crosses the close
                trace.append(f"exit {routers[0].returncode}, {'soon' if 0.9 < took < 3 else took}")
                assert "Traceback" not in error
                tasks.cancel_scope.cancel()

    anyio.run(run, backend_options=process_module.BACKEND_OPTIONS)


def test_load_reports_in_responses_follow_from_the_settings_alone(harness, trace):
    """One program for both platforms: with load reports in responses a request is served, and the load
    known.
    """
    text = OK_RESPONSE.replace(
        b"X-Tag", b"X-Report: busy:0.61;x1:1.5\r\nX-Ttfb: 9.4\r\nX-Tell: cached\r\nX-Tag"
    )
    harness.responses = {1: [text]}

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
