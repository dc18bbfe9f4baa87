"""A FastCGI client, and caches that respond over HTTP/1.1, as the specifications of both define them."""

import random
import zlib
from collections import Counter
from collections.abc import AsyncIterator, Callable

import anyio

from quartzrouter.server import fastcgi
from quartzrouter.server.fastcgi import RecordType
from quartzrouter.server.ring_buffer import RingBuffer

COPY_TAG = b"4be0c1927d55a6f3"  # a placeholder in responses, replaced by the tag of the target
COPY_HEADERS = b"X-Tag: " + COPY_TAG + b"\r\nX-Minted: 1764576000123\r\n"
OK_RESPONSE = b"HTTP/1.1 200 OK\r\n" + COPY_HEADERS + b"Content-Length: 5\r\n\r\nabcde"
HEALTH_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
PORT_RANGE = 20_000, 32_000  # below the ephemeral ports that the system assigns to connections
CLIENT_BUFFER_BYTES = 1 << 16
MAX_STDIN_CONTENT = 60_000  # bytes in a record of a request's body


def tag_of_target(target: bytes) -> bytes:
    """Returns a tag that identifies the copy of one chunk."""
    return b"%016x" % zlib.crc32(target)


def with_tag_of_request(response: bytes, request_head: bytes) -> bytes:
    """Returns the response with the tag of the chunk that the request names."""
    target = request_head.split(b" ", 2)[1]
    return response.replace(COPY_TAG, tag_of_target(target))


def begin_request_record(role: int = fastcgi.ROLE_RESPONDER) -> tuple[RecordType, bytes]:
    """Returns type and content of a BEGIN_REQUEST record that keeps the connection open."""
    return RecordType.BEGIN_REQUEST, fastcgi.BEGIN_REQUEST_BODY.pack(role, fastcgi.FLAG_KEEP_CONNECTION)


class Client:
    """A fake front server with one connection.

    :param stream: an anyio byte stream to a router.
    """

    def __init__(self, stream: anyio.abc.ByteStream):
        self.stream = stream
        self._buffer = RingBuffer(CLIENT_BUFFER_BYTES)
        self._records = fastcgi.RecordReader(self._buffer)
        self._partial_responses: dict[int, bytes] = {}  # by FastCGI id

    async def send_request(self, id, *arguments, **keywords) -> None:
        """Sends a request; takes the arguments of ``encode_request``."""
        await self.stream.send(self.encode_request(id, *arguments, **keywords))

    def encode_request(
        self,
        id: int,
        path: str = "/rpc/page",
        body: bytes = b"",
        role: int = fastcgi.ROLE_RESPONDER,
        whole: bool = True,
        **params: str | None,
    ) -> bytes:
        """Encodes a request for an object of its own.

        :param id: its FastCGI id, from which its object and correlation id are derived.
        :param whole: False leaves out the end of the body.
        :param params: CGI parameters in addition to, or in place of, the default ones; None leaves one out.
        """
        all_params = {
            "SCRIPT_NAME": path,
            "HTTP_X_CORRELATION_ID": f"{id:016x}",
            "HTTP_X_DEADLINE_MS": "1000",
            "HTTP_X_SUBJECT": f"{id:016x}",
            "HTTP_X_CHUNK": "0",
            "HTTP_X_TAG": "5",
        } | params
        encoded_params = b"".join(
            bytes((len(name), len(value))) + name.encode() + value.encode()
            for name, value in all_params.items()
            if value is not None
        )
        records = [
            begin_request_record(role),
            (RecordType.PARAMS, encoded_params),
            (RecordType.PARAMS, b""),
        ]
        for start in range(0, len(body), MAX_STDIN_CONTENT):
            records.append((RecordType.STDIN, body[start : start + MAX_STDIN_CONTENT]))
        if whole:
            records.append((RecordType.STDIN, b""))
        return self.encode_records(*records, id=id)

    @staticmethod
    def encode_records(*records: tuple[int, bytes], id: int = 1) -> bytes:
        """Encodes records, each given as type and content."""
        return b"".join(fastcgi.encode_record(record_type, id, content) for record_type, content in records)

    async def send_records(self, *records: tuple[int, bytes], id: int = 1) -> None:
        """Sends records, each given as type and content."""
        await self.stream.send(self.encode_records(*records, id=id))

    async def receive_response(self) -> str:
        """Waits for the next response.

        :returns: a text with its FastCGI id, status, the body's first 40 bytes, and application and protocol
            status; a description of any other record; "closed" at the end of the connection.
        """
        while True:
            while record := self._records.next():
                if record.record_type == RecordType.STDOUT:
                    before = self._partial_responses.get(record.request_id, b"")
                    self._partial_responses[record.request_id] = before + record.content
                elif record.record_type == RecordType.END_REQUEST:
                    return self._describe_response(record)
                else:
                    return f"record of kind {record.record_type}: {record.content}"
            try:
                self._buffer.put(await self.stream.receive(self._buffer.free))
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return "closed"

    def _describe_response(self, end: fastcgi.Record) -> str:
        response = self._partial_responses.pop(end.request_id, b"")
        status, _, headers_and_body = response.partition(b"\r\n")
        body = headers_and_body.rpartition(b"\r\n\r\n")[2]
        app_status = end.content[3]
        protocol_status = end.content[4]
        ended = f"end {app_status} {protocol_status}"
        return f"{end.request_id}: {status.decode()} {body[:40]} {ended}"


async def free_port() -> int:
    """Returns a port at which no process listens, below the ephemeral ports."""
    while True:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        try:
            async with await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port):
                return port
        except OSError:
            continue


class Server:
    """A server that listens, may be stopped, and can be started again at the same port."""

    port = 0
    scope: anyio.CancelScope | None = None

    @property
    def address(self) -> str:
        """Host and port, as in a configuration."""
        return f"127.0.0.1:{self.port}"

    async def start(self, tasks: anyio.abc.TaskGroup) -> str:
        """Starts to listen, at its previous port if it had one.

        :returns: the address.
        """
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
        """Stops it as if its process was killed: connections are reset, and new ones refused."""
        self.scope.cancel()

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serves one connection to its end."""
        raise NotImplementedError


class Cache(Server):
    """A cache that responds after a delay, and counts its requests.

    :param delay: returns the seconds before each response.
    """

    def __init__(self, delay: Callable[[], float]):
        self.delay = delay
        self.request_counts: Counter[str] = Counter()  # by the id that attempts carry
        self.open_requests = 0
        self.max_open_requests = 0

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serves one connection to its end."""
        async with stream:
            async for head in request_heads(stream):
                if head.startswith(b"GET /alive"):
                    await stream.send(HEALTH_RESPONSE)
                    continue
                self.request_counts[head.partition(b"X-Hop-Id: ")[2][:16].decode()] += 1
                self.open_requests += 1
                self.max_open_requests = max(self.max_open_requests, self.open_requests)
                try:
                    await anyio.sleep(self.delay())
                    await stream.send(with_tag_of_request(OK_RESPONSE, head))
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    return
                finally:
                    self.open_requests -= 1


async def request_heads(stream: anyio.abc.ByteStream) -> AsyncIterator[bytes]:
    """Yields the head of each request on a connection until it ends; requests must not have a body."""
    data = b""
    while True:
        try:
            while b"\r\n\r\n" not in data:
                data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
        head, _, data = data.partition(b"\r\n\r\n")
        yield head


async def start_server(tasks: anyio.abc.TaskGroup, handler: Callable) -> str:
    """Serves connections with the handler, at a free port.

    :returns: the address.
    """
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    tasks.start_soon(listener.serve, handler)
    return f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
