"""Parties for the tests over loopback: a client that speaks FastCGI, a cache, a journal service."""

import json

import anyio

from conftest import SETUP
from quartzrouter.briefing import Post, read
from quartzrouter.net import fastcgi, serve
from quartzrouter.net.ring import Ring

MARKS = b"X-Tag: 4be0c1927d55a6f3\r\nX-Minted: 1764576000123\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\n" + MARKS + b"Content-Length: 5\r\n\r\nabcde"


def begin(role=fastcgi.RESPONDER):
    return fastcgi.BEGIN, bytes((0, role, fastcgi.KEEP_CONN, 0, 0, 0, 0, 0))


class Client:
    """Speaks FastCGI, and shows what comes back."""

    def __init__(self, stream):
        self.stream, self.ring, self.said = stream, Ring(1 << 16), {}
        self.records = fastcgi.Records(self.ring)

    async def begin(self, id, *arguments, **other):
        await self.stream.send(self.req(id, *arguments, **other))

    def req(self, id, path="/rpc/page", body=b"", role=1, whole=True, **other):
        fields = {
            "SCRIPT_NAME": path, "HTTP_X_CORRELATION_ID": f"{id:016x}", "HTTP_X_DEADLINE_MS": "1000",
            "HTTP_X_SUBJECT": f"{id:016x}", "HTTP_X_CHUNK": "0", "HTTP_X_TAG": "5",
        } | other  # fmt: skip
        params = b"".join(bytes((len(k), len(v))) + k.encode() + v.encode() for k, v in fields.items())
        pieces = [
            begin(role),
            (fastcgi.PARAMS, params),
            (fastcgi.PARAMS, b""),
        ]
        pieces += [(fastcgi.STDIN, body[at : at + 60_000]) for at in range(0, len(body), 60_000)]
        return self.records_of(*pieces, *([(fastcgi.STDIN, b"")] if whole else []), id=id)

    @staticmethod
    def records_of(*pieces, id=1):
        return b"".join(fastcgi.record(kind, id, data) for kind, data in pieces)

    async def send(self, *pieces, id=1):
        await self.stream.send(self.records_of(*pieces, id=id))

    async def end(self):
        """The next answer: its record id, what it says, how it ended; or that the connection is closed."""
        said = self.said
        while True:
            while record := self.records.next():
                if record.kind == fastcgi.STDOUT:
                    said[record.id] = said.get(record.id, b"") + record.content
                elif record.kind == fastcgi.END:
                    status, _, body = said.pop(record.id, b"").partition(b"\r\n")
                    body = body.rpartition(b"\r\n\r\n")[2]
                    status = status.decode()
                    return f"{record.id}: {status} {body[:40]} end {record.content[3]} {record.content[4]}"
                else:
                    return f"record of kind {record.kind}: {record.content}"
            try:
                self.ring.put(await self.stream.receive(self.ring.free))
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return "closed"


async def free_port():
    async with await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0) as free:
        return free.extra(anyio.abc.SocketAttribute.local_port)


class World:
    """A router, one stand-in that answers for all caches, and a journal service with frames to tell."""

    def __init__(self, tmp_path):
        self.answers, self.asked, self.path = {}, [], tmp_path / "config.json"
        self.open = self.most = 0

    async def cache(self, stream):
        self.open += 1
        self.most = max(self.most, self.open)
        try:
            await self.serve(stream)
        finally:
            self.open -= 1

    async def serve(self, stream):
        async with stream:
            data = b""
            while True:
                try:
                    while b"\r\n\r\n" not in data:
                        data += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                line, _, data = data.partition(b"\r\n")
                data = data.partition(b"\r\n\r\n")[2]
                self.asked.append(line.decode())
                obj = int(line.split(b"/")[3], 16) if line.startswith(b"GET /x/") else 0
                for part in self.answers.get(obj, [WHOLE]):
                    if part is None:
                        return
                    if isinstance(part, float):
                        await anyio.sleep(part)
                    else:
                        await stream.send(part)

    async def journal(self, stream):
        async with stream:
            self.asked.append(f"journal from {int.from_bytes(await stream.receive(8), 'big')}")
            await stream.send(self.frames.pop(0) if self.frames else b"")
            await anyio.sleep(0.05 if self.frames else 5)

    async def listen(self, tasks, handler):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        tasks.start_soon(listener.serve, handler)
        return f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"

    def tell(self, cache, journal, **other):
        members = [
            {"id": f"s-0000000{n}", "host_port": cache, "locality": "north", "flavor": flavor, "cell": 0,
             "phase": "SERVING", "size": 6, "up_since_ms": 0}
            for n, flavor in enumerate(["box", "box", "parent", "origin"])
        ]  # fmt: skip
        told = {
            "name": "n0", "listen": "127.0.0.1:1", "journal": journal, "seed": "7",
            "limits": {"sockets": 128},
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}]},
            "settings": SETUP,
        } | other  # fmt: skip
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

        anyio.run(run, backend_options=serve.LOOP)

    def router(self, environ):
        return serve.Service(Post(read(environ), environ), lambda: Post(read(environ), environ))

    async def connect(self, port):
        while True:
            try:
                return Client(await anyio.connect_tcp("127.0.0.1", port))
            except OSError:
                await anyio.sleep(0.01)
