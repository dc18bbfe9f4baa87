"""Parties for the tests over loopback: a client that speaks FastCGI, a cache, a journal service."""

import json

import anyio
from conftest import SETUP

from quartzrouter.configuration import Configuration, read_configuration
from quartzrouter.fakes.loopback import MARKS, TAG, WHOLE, Client, begin, free_port, heads, listen, tagged
from quartzrouter.server import process

__all__ = ["MARKS", "TAG", "WHOLE", "Client", "World", "begin", "free_port", "tagged"]


class World:
    """A router, one stand-in that answers for all caches, and a journal service with frames to tell."""

    def __init__(self, tmp_path):
        self.answers, self.asked, self.path = {}, [], tmp_path / "config.json"
        self.open = self.most = self.connections = 0

    async def cache(self, stream):
        self.open, self.connections = self.open + 1, self.connections + 1
        self.most = max(self.most, self.open)
        try:
            await self.serve(stream)
        finally:
            self.open -= 1

    async def serve(self, stream):
        async with stream:
            async for head in heads(stream):
                line = head.partition(b"\r\n")[0]
                self.asked.append(line.decode())
                obj = int(line.split(b"/")[3], 16) if line.startswith(b"GET /x/") else 0
                for part in self.answers.get(obj, [WHOLE]):
                    if part is None:
                        return
                    if isinstance(part, anyio.Event):
                        await part.wait()
                    elif isinstance(part, float):
                        await anyio.sleep(part)
                    else:
                        await stream.send(tagged(part, head))

    async def journal(self, stream):
        async with stream:
            try:
                self.asked.append(f"journal from {int.from_bytes(await stream.receive(8), 'big')}")
            except (anyio.EndOfStream, anyio.BrokenResourceError):  # a router that ends while it connects
                return
            await stream.send(self.frames.pop(0) if self.frames else b"")
            await anyio.sleep(0.05 if self.frames else 5)

    listen = staticmethod(listen)

    def tell(self, cache, journal, **other):
        members = [
            {
                "id": f"s-0000000{n}",
                "host_port": cache,
                "locality": "north",
                "flavor": flavor,
                "cell": 0,
                "phase": "SERVING",
                "size": 6,
                "up_since_ms": 0,
            }
            for n, flavor in enumerate(["box", "box", "parent", "origin"])
        ]
        told = {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "journal": journal,
            "seed": "7",
            "limits": {"sockets": 128},
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}]},
            "settings": SETUP,
        } | other
        self.path.write_text(json.dumps(told))

    def play(self, scene, frames=(), **other):
        """Runs a scene, an async function of this world and a way to connect, beside a router."""
        self.frames = list(frames)

        async def run():
            with anyio.fail_after(10):
                async with anyio.create_task_group() as tasks:
                    cache = await self.listen(tasks, self.cache)
                    self.tell(cache, await self.listen(tasks, self.journal), **other)
                    port = await free_port()
                    environ = {"NODE_CONFIG": str(self.path), "NODE_LISTEN": f"127.0.0.1:{port}"}
                    self.service = self.router(environ)
                    tasks.start_soon(self.service.run)
                    await scene(lambda: self.connect(port))
                    tasks.cancel_scope.cancel()

        anyio.run(run, backend_options=process.BACKEND_OPTIONS)

    def router(self, environ):
        return process.RouterProcess(
            Configuration(read_configuration(environ), environ),
            lambda: Configuration(read_configuration(environ), environ),
        )

    async def connect(self, port):
        while True:
            try:
                return Client(await anyio.connect_tcp("127.0.0.1", port))
            except OSError:
                await anyio.sleep(0.01)
