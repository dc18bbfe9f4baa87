"""Fakes for the tests over loopback: a FastCGI client, a cache, a discovery service; and their router."""

import json

import anyio
from conftest import SETUP

from quartzrouter.configuration import Configuration, read_configuration
from quartzrouter.fakes.loopback import (
    COPY_HEADERS,
    COPY_TAG,
    OK_RESPONSE,
    Client,
    begin_request_record,
    free_port,
    request_heads,
    start_server,
    with_tag_of_request,
)
from quartzrouter.server import process

__all__ = [
    "COPY_HEADERS",
    "COPY_TAG",
    "OK_RESPONSE",
    "Client",
    "RouterHarness",
    "begin_request_record",
    "free_port",
    "with_tag_of_request",
]

STEPS_TIMEOUT_SECONDS = 10


class RouterHarness:
    """A router, one fake that responds for all caches, and a fake discovery service with frames to send.

    ``responses`` maps an object to what the cache sends for a request: pieces of bytes, seconds to wait,
    events to wait for, or None to close the connection. ``requests`` lists the first lines of the requests
    to the cache, and the positions that the discovery service was asked for.
    """

    def __init__(self, tmp_path):
        self.responses = {}
        self.requests = []
        self.config_path = tmp_path / "config.json"
        self.open_connections = 0
        self.max_open_connections = 0
        self.accepted_connections = 0
        self.discovery_frames = []
        self.router_process = None

    async def serve_cache(self, stream):
        """Serves and counts one connection from the router to a cache."""
        self.open_connections += 1
        self.accepted_connections += 1
        self.max_open_connections = max(self.max_open_connections, self.open_connections)
        try:
            await self.serve(stream)
        finally:
            self.open_connections -= 1

    async def serve(self, stream):
        """Answers each request as ``responses`` specifies."""
        async with stream:
            async for head in request_heads(stream):
                line = head.partition(b"\r\n")[0]
                self.requests.append(line.decode())
                object_number = int(line.split(b"/")[3], 16) if line.startswith(b"GET /x/") else 0
                for piece in self.responses.get(object_number, [OK_RESPONSE]):
                    if piece is None:
                        return
                    if isinstance(piece, anyio.Event):
                        await piece.wait()
                    elif isinstance(piece, float):
                        await anyio.sleep(piece)
                    else:
                        await stream.send(with_tag_of_request(piece, head))

    async def serve_discovery(self, stream):
        """Sends the next of ``discovery_frames``, and closes the connection after a while."""
        async with stream:
            try:
                position = int.from_bytes(await stream.receive(8), "big")
            except (anyio.EndOfStream, anyio.BrokenResourceError):  # the router ended while it connected
                return
            self.requests.append(f"journal from {position}")
            await stream.send(self.discovery_frames.pop(0) if self.discovery_frames else b"")
            await anyio.sleep(0.05 if self.discovery_frames else 5)

    start_server = staticmethod(start_server)

    def write_configuration(self, cache, journal, **settings):
        """Writes a configuration with two caches, a parent and an origin, all at one address."""
        members = [
            {
                "id": f"s-0000000{number}",
                "host_port": cache,
                "locality": "north",
                "flavor": flavor,
                "cell": 0,
                "phase": "SERVING",
                "size": 6,
                "up_since_ms": 0,
            }
            for number, flavor in enumerate(["box", "box", "parent", "origin"])
        ]
        configuration = {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "journal": journal,
            "seed": "7",
            "limits": {"sockets": 128},
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}]},
            "settings": SETUP,
        } | settings
        self.config_path.write_text(json.dumps(configuration))

    def run_steps(self, steps, frames=(), **settings):
        """Runs the steps of a test beside a router in this process.

        :param steps: an async function; its argument is an async function that connects a client.
        :param frames: what the discovery service sends, one item on each connection.
        """
        self.discovery_frames = list(frames)

        async def run():
            with anyio.fail_after(STEPS_TIMEOUT_SECONDS):
                async with anyio.create_task_group() as tasks:
                    cache = await self.start_server(tasks, self.serve_cache)
                    discovery = await self.start_server(tasks, self.serve_discovery)
                    self.write_configuration(cache, discovery, **settings)
                    port = await free_port()
                    environ = {"NODE_CONFIG": str(self.config_path), "NODE_LISTEN": f"127.0.0.1:{port}"}
                    self.router_process = self.create_router(environ)
                    tasks.start_soon(self.router_process.run)
                    await steps(lambda: self.connect(port))
                    tasks.cancel_scope.cancel()

        anyio.run(run, backend_options=process.BACKEND_OPTIONS)

    def create_router(self, environ):
        """Returns a router that reads its configuration again on SIGHUP."""
        return process.RouterProcess(
            Configuration(read_configuration(environ), environ),
            lambda: Configuration(read_configuration(environ), environ),
        )

    async def connect(self, port):
        """Connects a client as soon as the router listens."""
        while True:
            try:
                return Client(await anyio.connect_tcp("127.0.0.1", port))
            except OSError:
                await anyio.sleep(0.01)
