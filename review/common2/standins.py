"""Stand-ins of a front with its clients, of caches, parents and an origin, and of a link that can be cut.

They follow the operators' pages. A front speaks FastCGI. Caches speak HTTP/1.1 with the fields of the
protocol's page, and take purges as docs/purges.md says ("Words on the wire").
"""

import asyncio
import contextlib
import re
import struct
import time
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from review.common2.programs import Record

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
HEADER = struct.Struct(">BBHHBx")
LONGEST_WAIT = 8.0  # seconds for one answer: longer than any client timeout of the cases
LOST = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


class Answer(NamedTuple):
    """A router's answer to one request; status 0 if there was none."""

    status: int
    body: bytes
    head: bytes = b""


def _pairs(params: Mapping[str, str]) -> bytes:
    """Encodes name-value pairs."""
    data = b""
    for name, value in params.items():
        encoded = name.encode("latin-1"), value.encode("latin-1")
        for each in encoded:
            data += bytes([len(each)]) if len(each) < 128 else struct.pack(">I", len(each) | 1 << 31)
        data += b"".join(encoded)
    return data


def _record(kind: int, content: bytes) -> bytes:
    padding = -len(content) % 8
    return HEADER.pack(1, kind, 1, len(content), padding) + content + bytes(padding)


class Front:
    """A front server: each request goes over a connection of its own.

    :param ids: the ids of all requests that it has sent.
    """

    def __init__(self, port: int, record: Record):
        self.port = port
        self.record = record
        self.ids: set[str] = set()

    async def get(self, path: str, host: str = "shop.example", **params: str) -> Answer:
        """Sends one request and returns the answer.

        :param path: as CGI has it: with its percent signs decoded.
        """
        number = len(self.ids) + 1
        request_id = f"{number:016x}"
        self.ids.add(request_id)
        fields = {
            "REQUEST_METHOD": "GET",
            "SCRIPT_NAME": path,
            "HTTP_HOST": host,
            "REMOTE_ADDR": "127.0.0.1",
            "HTTP_X_CORRELATION_ID": request_id,
        }
        self.record.say("client", f"{request_id} sends GET {path}")
        begin = _record(BEGIN, struct.pack(">HB5x", 1, 1))
        data = begin + _record(PARAMS, _pairs(fields | params)) + _record(PARAMS, b"") + _record(STDIN, b"")
        answer = Answer(0, b"")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            with contextlib.closing(writer):
                writer.write(data)
                answer = await asyncio.wait_for(_read_answer(reader), LONGEST_WAIT)
        except (*LOST, TimeoutError) as error:
            self.record.say("client", f"{request_id} has no answer: {type(error).__name__}")
        self.record.say("client", f"{request_id} gets {answer.status} {answer.body[:80]!r}")
        return answer


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    data = b""
    while True:
        _, kind, _, length, padding = HEADER.unpack(await reader.readexactly(HEADER.size))
        content = (await reader.readexactly(length + padding))[:length]
        if kind == STDOUT:
            data += content
        if kind == END:
            head, _, body = data.partition(b"\r\n\r\n")
            status = re.match(rb"Status: (\d+)", head)
            return Answer(int(status[1]) if status else 0, body, head)


@dataclass
class Copy:
    """A copy of an object.

    :param made_at: Unix time at which the origin made it.
    """

    made_at: float
    body: bytes
    path: str


@dataclass
class Cache:
    """A cache, a parent or the origin.

    :param sources: addresses by name, of the servers that it may fill from.
    :param above: the server that it fills from where a request names none; empty: a request has to name it.
    :param is_origin: it makes each copy itself; the body tells the path and the time.
    :param tag_lines: returns the field lines of the answer that name the tags of a path.
    :param delay: the seconds before each answer.
    :param purged_to: the number up to which it has purged without a gap.
    :param purges: what came by PURGE: number, kind and values of each.
    :param requests: the request's id, target and path of each request for an object.
    """

    name: str
    record: Record
    sources: dict[str, int] = field(default_factory=dict)
    above: str = ""
    is_origin: bool = False
    tag_lines: Callable[[str], list[str]] = lambda _path: []
    tags_of: Callable[[str], set[str]] = lambda _path: set()
    delay: float = 0.0
    port: int = 0
    purged_to: int = 0
    out_of_order: set[int] = field(default_factory=set)
    copies: dict[str, Copy] = field(default_factory=dict)
    purges: list[tuple[int, str, str]] = field(default_factory=list)
    requests: list[tuple[str, str, str]] = field(default_factory=list)

    async def start(self) -> "Cache":
        """Listens at a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.closing(writer), contextlib.suppress(*LOST):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request_line, *lines = head.rstrip("\r\n").split("\r\n")
                fields = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                method, target, *_ = request_line.split(" ")
                writer.write(await self._answer(method, target, fields))
                await writer.drain()

    async def _answer(self, method: str, target: str, fields: dict[str, str]) -> bytes:
        if method == "PURGE":
            return self._purge(fields)
        if not target.startswith("/x/"):
            return _http(200, [f"X-Purged-To: {self.purged_to}"])
        came_at = time.time()
        request_id, path = fields.get("x-hop-id", ""), fields.get("x-path", "")
        self.requests.append((request_id, target, path))
        self.record.say(self.name, f"asked by {request_id} for {target}, X-Path {path}")
        if self.delay:
            await asyncio.sleep(self.delay)
        copy = self.copies.get(target)
        oldest = int(fields.get("x-fresh-ms", "0")) / 1e3
        if copy is None or (oldest and came_at - copy.made_at > oldest):
            copy = await self._fill(target, fields, came_at)
        if copy is None:
            return _http(504, [])
        age = f"X-Age-Ms: {round((came_at - copy.made_at) * 1e3)}"
        tag = f"X-Tag: {zlib.crc32(copy.body):016x}"
        minted = f"X-Minted: {int(copy.made_at * 1e3)}"
        self.record.say(self.name, f"answers {request_id} with {copy.body!r}")
        return _http(200, [tag, minted, age, *self.tag_lines(path)], copy.body)

    async def _fill(self, target: str, fields: dict[str, str], came_at: float) -> Copy | None:
        path = fields.get("x-path", "")
        if self.is_origin:
            return Copy(came_at, f"{path} made at {came_at:.6f}".encode(), path)
        source = fields.get("x-parent") or self.above
        if source not in self.sources:
            return None
        passed_on = [
            f"{name}: {fields[name]}" for name in ("x-hop-id", "x-path", "x-fresh-ms") if name in fields
        ]
        request = "\r\n".join([f"GET {target} HTTP/1.1", "Host: cache", *passed_on, "\r\n"])
        self.record.say(self.name, f"fills {target} from {source}")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.sources[source])
            with contextlib.closing(writer):
                writer.write(request.encode("latin-1"))
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = re.search(r"Content-Length: (\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
        except LOST:
            return None
        made_at = re.search(rb"made at ([0-9.]+)", body)
        if " 200 " not in head or made_at is None:
            return None
        copy = self.copies[target] = Copy(float(made_at[1]), body, path)
        return copy

    def _purge(self, fields: dict[str, str]) -> bytes:
        """Takes a purge: object, tag, pattern or all."""
        now, kind = time.time(), fields["x-purge-kind"]
        number, values = int(fields["x-purge-number"]), fields.get("x-purge-values", "")
        self.record.say(self.name, f"PURGE {number} {kind} {values}")
        self.purges.append((number, kind, values))
        older_than = int(fields["x-purge-older-ms"]) / 1e3
        for target, copy in list(self.copies.items()):
            if now - copy.made_at >= older_than and self._is_named(target, copy, kind, set(values.split())):
                del self.copies[target]
        self.out_of_order.add(number)
        self.purged_to = max(self.purged_to, int(fields.get("x-purge-done", "0")))
        if kind == "all" and "x-purge-vhost" not in fields and "x-purge-store" not in fields:
            self.purged_to = max(self.purged_to, number)
        while self.purged_to + 1 in self.out_of_order:
            self.purged_to += 1
        return _http(200, [f"X-Purged-To: {self.purged_to}"])

    def _is_named(self, target: str, copy: Copy, kind: str, values: set[str]) -> bool:
        if kind == "object":
            return target.split("/")[3] in values
        if kind == "tag":
            return bool(self.tags_of(copy.path) & values)
        return True  # "all", and any pattern: more than is named may go


def _http(status: int, lines: list[str], body: bytes = b"") -> bytes:
    head = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}", *lines, f"Content-Length: {len(body)}"]
    return "\r\n".join([*head, "\r\n"]).encode("latin-1") + body


def made_at(answer: Answer) -> float:
    """Returns the Unix time at which the origin made the copy in an answer; 0 if it tells none."""
    found = re.search(rb"made at ([0-9.]+)", answer.body)
    return float(found[1]) if found else 0.0


class Link:
    """A way to a server that can be cut: nothing passes then, and neither side is told."""

    def __init__(self, target: int, record: Record, name: str):
        self.target = target
        self.record = record
        self.name = name
        self.port = 0
        self.open = asyncio.Event()
        self.open.set()

    async def start(self) -> "Link":
        """Listens at a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def cut(self) -> None:
        """Lets nothing pass any more, on open connections and on new ones."""
        self.open.clear()
        self.record.say("link", f"{self.name} is cut")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*LOST), contextlib.closing(writer):
            await self.open.wait()
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
            with contextlib.closing(far_writer):
                await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*LOST):
            while data := await reader.read(1 << 16):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()
