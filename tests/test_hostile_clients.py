"""Routers beside clients that send at full speed, stop half way, write slowly or leave: real processes."""

import os
import random
import socket

import anyio
import pytest
from hostile_clients import encode_record, whole_request
from measured_process import SoundClient, hostile_clients, measured_process, wait_until_listening
from standins import COPY_HEADERS, OK_RESPONSE, RouterHarness, free_port

from quartzrouter.server import process
from quartzrouter.server.fastcgi import RecordType

SECONDS = 4.0  # of hostile clients
SECONDS_AFTER = 2.0  # in which what they left behind is still being handled
SEED = 57
MEMORY_MB = 64
MAX_WAIT = 1.0  # seconds; the clients' own deadline
DESCRIPTORS = 1024
SMALLEST_MEMORY_MB, SMALLEST_DESCRIPTORS = 32, 256  # of the platform
MAX_FAILURE_SHARE = 0.05
TINY_CHUNK_OBJECTS = 400
MAX_WAIT_BESIDE_PEERS = 0.4  # seconds; the latency objective of the class
LEAVING_CLIENTS = 20
UNREAD_RECORDS = 40  # behind the requests of a client that leaves
UNREAD_BYTES = 4 << 20  # what its kernel takes at once
PLAN = """{
  deployment: {
    name: "t", home: "north", listen: "127.0.0.1:%(port)d",
    descriptors: %(descriptors)d, memory: %(memory)dMiB,
  },
  stores: { north: { hub: "h" } }, hubs: { h: {} },
  caches: {
    n1: { address: "%(n1)s", at: "north", weight: 40 }, n2: { address: "%(n2)s", at: "north", weight: 40 },
    p: { address: "%(p)s", at: "h", tier: "parent", weight: 40 },
    o: { address: "%(o)s", at: "h", tier: "origin", weight: 40 },
  },
  vhosts: { page: { effect: "replayable", client_timeout: 3s } },
  pools: { near: {} },
  limits: { each: { per: "client", rate: 1000/s, burst: 2000 } },
  routes: { all: { match: {}, vhost: "page", pool: "near", limits: ["each"] } },
}"""


class RouterBesideHostileClients(RouterHarness):
    """A router process on the platform or under a plan, and one sound client."""

    def __init__(self, tmp_path, has_plan, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS):
        super().__init__(tmp_path)
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.folder = tmp_path
        self.has_plan = has_plan
        self.port = 0
        self.client = None
        self.last_id = 0

    async def configure(self, tasks):
        """Starts caches and writes the configuration; returns arguments and environment of the router."""
        self.port = await free_port()
        if not self.has_plan:
            cache = await self.start_server(tasks, self.serve_cache)
            discovery = await self.start_server(tasks, self.serve_discovery)
            limits = {"sockets": self.descriptors, "memory_mb": self.memory_mb}
            self.write_configuration(cache, discovery, limits=limits)
            environ = {"NODE_CONFIG": str(self.config_path), "NODE_LISTEN": f"127.0.0.1:{self.port}"}
            return ["-m", "quartzrouter"], environ
        values = {name: await self.start_server(tasks, self.serve_cache) for name in ("n1", "n2", "p", "o")}
        values |= {"port": self.port, "descriptors": self.descriptors, "memory": self.memory_mb}
        plan_path = self.folder / "main.plan"
        plan_path.write_text(PLAN % values)
        return ["-m", "quartzrouter.cli", "run", str(plan_path)], dict(os.environ)

    async def request(self):
        """Sends one request; connects again if the router has closed the idle connection."""
        self.last_id += 1
        try:
            if self.client is None:
                self.client = await self.connect(self.port)
            await self.client.send_request(
                1, HTTP_X_CORRELATION_ID=f"{(1 << 60) + self.last_id:016x}", HTTP_X_DEADLINE_MS="3000"
            )
            response = await self.client.receive_response()
        except (OSError, anyio.BrokenResourceError):
            response = "closed"
        if response == "closed":
            self.client = None
        return "200 OK" in response

    async def leave_with_much_unread(self):
        """Clients send requests and much behind them, and close at once; returns what caches got."""
        async with anyio.create_task_group() as tasks:
            command, environ = await self.configure(tasks)
            with measured_process(command, self.folder / "stderr", environ):
                await wait_until_listening(self.port)
                assert await self.request()  # the router is ready
                self.requests.clear()
                await anyio.to_thread.run_sync(self.send_and_leave)
                await anyio.sleep(SECONDS_AFTER)
                tasks.cancel_scope.cancel()
        return [line for line in self.requests if line.startswith("GET /x/")]

    async def leave_and_come_again(self, path):
        """A client leaves while a cache works, and sends the same request again; returns what caches got."""
        answers = []
        async with anyio.create_task_group() as tasks:
            command, environ = await self.configure(tasks)
            with measured_process(command, self.folder / "stderr", environ):
                await wait_until_listening(self.port)
                self.responses[7] = [0.3, OK_RESPONSE]
                for leaves in (True, False, False):
                    client = await self.connect(self.port)
                    await client.send_request(7, path=path)
                    if leaves:
                        with anyio.fail_after(5):
                            while not self.requests_for_object(7):
                                await anyio.sleep(0.01)
                    else:
                        answers.append(await client.receive_response())
                    await client.stream.aclose()
                    await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
        return self.requests_for_object(7), answers

    async def ask_beside_a_peer_with_tiny_chunks(self):
        """Two clients ask for objects that come in one-byte chunks; returns a sound client beside them."""
        for number in range(TINY_CHUNK_OBJECTS):
            head = b"HTTP/1.1 200 OK\r\n" + COPY_HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"
            self.responses[(1 << 20) + number] = [head + b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n"]

        async def ask(first):
            client = await self.connect(self.port)
            for number in range(first, TINY_CHUNK_OBJECTS, 2):
                id = (1 << 20) + number
                await client.send_request(1, HTTP_X_CORRELATION_ID=f"{id:016x}", HTTP_X_SUBJECT=f"{id:016x}")
                await client.receive_response()

        async with anyio.create_task_group() as tasks:
            command, environ = await self.configure(tasks)
            with measured_process(command, self.folder / "stderr", environ):
                await wait_until_listening(self.port)
                sound = SoundClient(self.request)
                tasks.start_soon(sound.run)
                await anyio.sleep(0.5)
                for first in (0, 1):
                    tasks.start_soon(ask, first)
                await anyio.sleep(SECONDS)
                tasks.cancel_scope.cancel()
        return sound

    def requests_for_object(self, number):
        return [line for line in self.requests if line.endswith(f"/{number:016x}/0 HTTP/1.1")]

    def send_and_leave(self):
        """Opens connections, each of which is closed once the kernel has taken all that was written."""
        chance = random.Random(SEED)
        for _ in range(LEAVING_CLIENTS):
            requests = b"".join(whole_request(chance, id) for id in range(1, 9))
            unread = encode_record(RecordType.DATA, 1, bytes(chance.randrange(60_000))) * UNREAD_RECORDS
            with socket.create_connection(("127.0.0.1", self.port)) as connection:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, UNREAD_BYTES)
                connection.sendall(requests + unread)

    async def play(self, kind):
        """Returns the most memory that the router took, and the sound client."""
        async with anyio.create_task_group() as tasks:
            command, environ = await self.configure(tasks)
            with measured_process(command, self.folder / "stderr", environ) as measured:
                await wait_until_listening(self.port)
                sound = SoundClient(self.request)
                tasks.start_soon(sound.run)
                tasks.start_soon(measured.watch_memory)
                await anyio.sleep(0.5)
                async with hostile_clients(kind, self.port, SECONDS, SEED):
                    pass
                await anyio.sleep(SECONDS_AFTER)
                assert measured.is_running
                tasks.cancel_scope.cancel()
        return max(measured.memory), sound


# Guards against a router that hostile clients make exceed its memory, or answer others late or never.
@pytest.mark.parametrize("has_plan", [False, True], ids=["platform", "plan"])
@pytest.mark.parametrize(
    "kind",
    [
        "many fields",
        "half bodies",
        "large bodies",
        "trickle",
        "content without a request",
        "unknown roles",
        "new names",
    ],
)
def test_hostile_clients_exceed_no_memory_and_delay_nobody(tmp_path, kind, has_plan):
    harness = RouterBesideHostileClients(tmp_path, has_plan)
    memory, sound = anyio.run(harness.play, kind, backend_options=process.BACKEND_OPTIONS)
    slowest = f"slowest of {len(sound.waits)} answers {max(sound.waits):.3f} s"
    print(f"{kind}: at most {memory >> 20} MiB, {slowest}, {sound.failures} failures")
    assert memory < MEMORY_MB << 20
    assert max(sound.waits) < MAX_WAIT
    assert sound.failures <= MAX_FAILURE_SHARE * len(sound.waits)


# Guards against a router with the smallest limits that hostile clients make exceed its memory.
def test_hostile_clients_exceed_no_memory_of_the_smallest_router(tmp_path):
    harness = RouterBesideHostileClients(tmp_path, False, SMALLEST_MEMORY_MB, SMALLEST_DESCRIPTORS)
    memory, _ = anyio.run(harness.play, "half bodies", backend_options=process.BACKEND_OPTIONS)
    print(f"at most {memory / 2**20:.1f} MiB of {SMALLEST_MEMORY_MB}")
    assert memory < SMALLEST_MEMORY_MB << 20


# Guards against requests that are sent on although their client had closed behind much that was still unread.
@pytest.mark.parametrize("has_plan", [False, True], ids=["platform", "plan"])
def test_nothing_is_sent_on_for_clients_that_left_with_much_unread(tmp_path, has_plan):
    harness = RouterBesideHostileClients(tmp_path, has_plan)
    sent_on = anyio.run(harness.leave_with_much_unread, backend_options=process.BACKEND_OPTIONS)
    print(f"{len(sent_on)} of {8 * LEAVING_CLIENTS} requests reached a cache")
    assert not sent_on


# Guards against an id that runs twice because it comes again after its client has left.
@pytest.mark.parametrize(
    ("has_plan", "path"),
    [(False, "/rpc/page"), (False, "/rpc/sale"), (True, "/rpc/page")],
    ids=["platform-idempotent", "platform-not-idempotent", "plan"],
)
def test_an_id_whose_client_has_left_does_not_run_again(tmp_path, has_plan, path):
    harness = RouterBesideHostileClients(tmp_path, has_plan)
    ran, answers = anyio.run(harness.leave_and_come_again, path, backend_options=process.BACKEND_OPTIONS)
    print(f"{len(ran)} times at caches; answers {answers}")
    assert len(ran) == 1
    assert all("Status: 409" in answer for answer in answers)


# Guards against a cache whose response in one-byte chunks holds up all other clients.
@pytest.mark.parametrize("has_plan", [False, True], ids=["platform", "plan"])
def test_a_response_in_tiny_chunks_delays_no_other_client(tmp_path, has_plan):
    harness = RouterBesideHostileClients(tmp_path, has_plan)
    play = harness.ask_beside_a_peer_with_tiny_chunks
    sound = anyio.run(play, backend_options=process.BACKEND_OPTIONS)
    print(f"slowest of {len(sound.waits)} answers {max(sound.waits):.3f} s")
    assert max(sound.waits) < MAX_WAIT_BESIDE_PEERS
