"""A client that speaks FastCGI, and caches that answer over HTTP/1.1, by the public pages of both."""

import random
import zlib
from collections import Counter
from collections.abc import AsyncIterator, Callable

import anyio

from quartzrouter.server import fastcgi
from quartzrouter.server.ring_buffer import RingBuffer

TAG = b"4be0c1927d55a6f3"
MARKS = b"X-Tag: " + TAG + b"\r\nX-Minted: 1764576000123\r\n"
PORTS = 20_000, 32_000
WHOLE = b"HTTP/1.1 200 OK\r\n" + MARKS + b"Content-Length: 5\r\n\r\nabcde"


def tag(target: bytes) -> bytes:
    """Of a part, and of no other: caches tell their copies apart by it."""
    return b"%016x" % zlib.crc32(target)


def tagged(answer: bytes, head: bytes) -> bytes:
    """The answer to a req, with the tag of the part that it names."""
    return answer.replace(TAG, tag(head.split(b" ", 2)[1]))


def begin(role=fastcgi.ROLE_RESPONDER):
    return fastcgi.RecordType.BEGIN_REQUEST, bytes((0, role, fastcgi.FLAG_KEEP_CONNECTION, 0, 0, 0, 0, 0))


class Client:
    """Speaks FastCGI, and shows what comes back."""

    def __init__(self, stream):
        self.stream, self.ring, self.said = stream, RingBuffer(1 << 16), {}
        self.records = fastcgi.RecordReader(self.ring)

    async def begin(self, id, *arguments, **other):
        await self.stream.send(self.req(id, *arguments, **other))

    def req(self, id, path="/rpc/page", body=b"", role=1, whole=True, **other):
        fields = {
            "SCRIPT_NAME": path,
            "HTTP_X_CORRELATION_ID": f"{id:016x}",
            "HTTP_X_DEADLINE_MS": "1000",
            "HTTP_X_SUBJECT": f"{id:016x}",
            "HTTP_X_CHUNK": "0",
            "HTTP_X_TAG": "5",
        } | other
        params = b"".join(
            bytes((len(k), len(v))) + k.encode() + v.encode() for k, v in fields.items() if v is not None
        )
        pieces = [
            begin(role),
            (fastcgi.RecordType.PARAMS, params),
            (fastcgi.RecordType.PARAMS, b""),
        ]
        pieces += [(fastcgi.RecordType.STDIN, body[at : at + 60_000]) for at in range(0, len(body), 60_000)]
        return self.records_of(*pieces, *([(fastcgi.RecordType.STDIN, b"")] if whole else []), id=id)

    @staticmethod
    def records_of(*pieces, id=1):
        return b"".join(fastcgi.encode_record(kind, id, data) for kind, data in pieces)

    async def send(self, *pieces, id=1):
        await self.stream.send(self.records_of(*pieces, id=id))

    async def end(self):
        """The next answer: its record id, what it says, how it ended; or that the connection is closed."""
        said = self.said
        while True:
            while record := self.records.next():
                if record.record_type == fastcgi.RecordType.STDOUT:
                    said[record.request_id] = said.get(record.request_id, b"") + record.content
                elif record.record_type == fastcgi.RecordType.END_REQUEST:
                    status, _, body = said.pop(record.request_id, b"").partition(b"\r\n")
                    body = body.rpartition(b"\r\n\r\n")[2]
                    status = status.decode()
                    ended = f"end {record.content[3]} {record.content[4]}"
                    return f"{record.request_id}: {status} {body[:40]} {ended}"
                else:
                    return f"record of kind {record.record_type}: {record.content}"
            try:
                self.ring.put(await self.stream.receive(self.ring.free))
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return "closed"


async def free_port():
    """A port that nobody listens at, below those that the system gives to connections."""
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        try:
            async with await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port):
                return port
        except OSError:
            continue


class Server:
    """A party that listens, dies, and comes back at its port."""

    port = 0
    scope: anyio.CancelScope | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self, tasks: anyio.abc.TaskGroup) -> str:
        """Listens, at the port it had before if any; gives the address."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.scope = anyio.CancelScope()
        tasks.start_soon(self._listen, listener, self.scope)
        return self.address

    async def _listen(self, listener: anyio.abc.Listener, scope: anyio.CancelScope) -> None:
        with scope:
            await listener.serve(self.serve)
        await listener.aclose()

    def stop(self) -> None:
        """Its process dies: connections are reset, new ones refused."""
        self.scope.cancel()

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        raise NotImplementedError


class Cache(Server):
    """A cache that answers after a while; counts what it was asked and how much at once.

    :param delay: s before each answer.
    """

    def __init__(self, delay: Callable[[], float]):
        self.delay = delay
        self.asked: Counter[str] = Counter()  # by hop id
        self.open = self.most = 0

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        async with stream:
            async for head in heads(stream):
                if head.startswith(b"GET /alive"):
                    await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.asked[head.partition(b"X-Hop-Id: ")[2][:16].decode()] += 1
                self.open += 1
                self.most = max(self.most, self.open)
                try:
                    await anyio.sleep(self.delay())
                    await stream.send(tagged(WHOLE, head))
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    return
                finally:
                    self.open -= 1


async def heads(stream: anyio.abc.ByteStream) -> AsyncIterator[bytes]:
    """The head of each req on a connection, without a body, until it ends."""
    data = b""
    while True:
        try:
            while b"\r\n\r\n" not in data:
                data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
        head, _, data = data.partition(b"\r\n\r\n")
        yield head


async def listen(tasks: anyio.abc.TaskGroup, handler: Callable) -> str:
    """Serves connections with the handler; gives the address."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    tasks.start_soon(listener.serve, handler)
    return f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
