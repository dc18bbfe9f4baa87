"""Stand-ins for clients' front servers and for caches, written from the pages: the standard library only."""

import hashlib
import random
import re
import socket
import struct
import threading
import time
from typing import NamedTuple

from review.common.harness import Record

BEGIN_REQUEST, END_REQUEST, PARAMS, STDIN, STDOUT = 1, 3, 4, 5, 6
RESPONDER_KEEPING_CONNECTION = b"\0\x01\x01\0\0\0\0\0"


class Answer(NamedTuple):
    """What a router answered: the status is 0 if the connection ended without a whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class FrontServer:
    """A front server's connection to a router: FastCGI 1.0, one request at a time."""

    def __init__(self, port: int, timeout: float = 8.0):
        self._stream = socket.create_connection(("127.0.0.1", port), timeout=timeout)
        self._number = 0

    def ask(self, path: str, **params: str) -> Answer:
        """Sends a request and waits for its answer.

        :param path: decoded, as front servers pass it on (RFC 3875: PATH_INFO is not URL-encoded).
        """
        self._number += 1
        pairs = {
            "REQUEST_METHOD": "GET",
            "SCRIPT_NAME": path,
            "HTTP_X_CORRELATION_ID": f"{random.getrandbits(64):016x}",
            "HTTP_X_DEADLINE_MS": "1000",
        } | params
        content = b"".join(
            _length(name) + _length(value) + name.encode("latin-1") + value.encode("latin-1")
            for name, value in pairs.items()
        )
        records = [(BEGIN_REQUEST, RESPONDER_KEEPING_CONNECTION), (PARAMS, content), (PARAMS, b"")]
        try:
            self._stream.sendall(b"".join(self._record(*each) for each in [*records, (STDIN, b"")]))
            return self._read_answer()
        except (OSError, EOFError):
            return Answer(0, {}, b"")

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()

    def _record(self, kind: int, content: bytes) -> bytes:
        return struct.pack(">BBHHBB", 1, kind, self._number, len(content), 0, 0) + content

    def _read_answer(self) -> Answer:
        output = b""
        while True:
            _, kind, number, length, padding, _ = struct.unpack(">BBHHBB", self._read(8))
            content = self._read(length + padding)[:length]
            if number != self._number:
                continue
            if kind == STDOUT:
                output += content
            elif kind == END_REQUEST:
                head, _, body = output.partition(b"\r\n\r\n")
                headers = headers_of(head.decode("latin-1").split("\r\n"))
                return Answer(int(headers.get("status", "0").split(" ")[0]), headers, body)

    def _read(self, count: int) -> bytes:
        data = b""
        while len(data) < count:
            piece = self._stream.recv(count - len(data))
            if not piece:
                raise EOFError
            data += piece
        return data


def _length(text: str) -> bytes:
    size = len(text.encode("latin-1"))
    return bytes((size,)) if size < 128 else struct.pack(">I", size | 1 << 31)


def headers_of(lines: list[str]) -> dict[str, str]:
    """Returns the values of header lines by name in lower case."""
    found = {}
    for line in lines:
        name, _, value = line.partition(":")
        found[name.strip().lower()] = value.strip()
    return found


class Copy(NamedTuple):
    """A copy of one part of an object, and when the origin gave it out, in seconds of Unix time."""

    body: bytes
    made_at: float


class Cache:
    """A cache, a parent or the origin: HTTP/1.1, one request at a time on each connection.

    It keeps what it fills, passes the age limit on to its source, takes purges as `docs/purges.md` says, and
    counts those that carry a number.

    :param sources: all servers by name, for fills; each cache adds itself.
    :param is_origin: it makes the copies; a copy's body names the object and the time at which it was made.
    :param work_time: seconds that a fill, or the making of a copy, takes.
    """

    def __init__(
        self,
        name: str,
        port: int,
        sources: "dict[str, Cache]",
        record: Record,
        is_origin: bool = False,
        work_time: float = 0.0,
    ):
        self.name = name
        self.sources = sources
        self.record = record
        self.is_origin = is_origin
        self.work_time = work_time
        self.copies: dict[str, Copy] = {}  # by target
        self.purged_up_to = 0
        self.purges_taken: list[str] = []  # what each PURGE named
        self.requests: list[str] = []  # targets of GET requests for objects
        self._numbers: set[int] = set()
        self._lock = threading.Lock()
        sources[name] = self
        self._listener = socket.create_server(("127.0.0.1", port), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            stream, _ = self._listener.accept()
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(stream,), daemon=True).start()

    def _serve(self, stream: socket.socket) -> None:
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    piece = stream.recv(1 << 16)
                    if not piece:
                        return
                    data += piece
                head, _, data = data.partition(b"\r\n\r\n")
                line, *rest = head.decode("latin-1").split("\r\n")
                headers = headers_of(rest)
                size = int(headers.get("content-length", "0"))
                while len(data) < size:
                    data += stream.recv(1 << 16)
                data = data[size:]
                method, target, _ = line.split(" ", 2)
                stream.sendall(self._respond(method, target, headers))
        except (OSError, ValueError):
            return
        finally:
            stream.close()

    def _respond(self, method: str, target: str, headers: dict[str, str]) -> bytes:
        if method == "PURGE":
            return self._purge(headers)
        if not target.startswith("/x/"):  # /alive, /load and /purged
            return response(200, {"X-Purged-To": str(self.purged_up_to)}, b"")
        self.requests.append(target)
        self.record.say(f"{self.name} got GET {target}, X-Path: {headers.get('x-path')!r}")
        received_at = time.time()
        copy, tell = self.find(target, headers)
        if copy is None:
            return response(404, {"X-Tell": "up_empty"}, b"")
        answer = {
            "X-Tag": hashlib.blake2b(copy.body, digest_size=8).hexdigest(),
            "X-Minted": str(int(copy.made_at * 1000)),
            "X-Tell": tell,
            "X-Purged-To": str(self.purged_up_to),
            "X-Age-Ms": str(int((received_at - copy.made_at) * 1000)),
        }
        return response(200, answer, copy.body)

    def find(self, target: str, headers: dict[str, str]) -> tuple[Copy | None, str]:
        """Returns a copy that is young enough, and how it was found; fills a miss from the named source."""
        limit = headers.get("x-fresh-ms")
        if self.is_origin:
            made_at = time.time()
            time.sleep(self.work_time)
            text = f"{target} {headers.get('x-path', '')} made {made_at:.3f}"
            return Copy(text.encode("latin-1"), made_at), "fetched"
        copy = self.copies.get(target)
        if copy and (not limit or time.time() - copy.made_at <= int(limit) / 1000):
            return copy, "cached"
        source = self.sources.get(headers.get("x-parent", ""))
        if source is None:
            return None, "up_empty"
        forwarded = {name: headers[name] for name in ("x-fresh-ms", "x-path", "x-rank") if name in headers}
        if not source.is_origin:  # a parent fills from the origin
            forwarded["x-parent"] = next(each.name for each in self.sources.values() if each.is_origin)
        time.sleep(self.work_time)
        copy, _ = source.find(target, forwarded)
        if copy and headers.get("x-rank", "0") != "0":
            self.copies[target] = copy
        return copy, "fetched"

    def _purge(self, headers: dict[str, str]) -> bytes:
        kind = headers["x-purge-kind"]
        values = headers.get("x-purge-values", "").split()
        number = int(headers["x-purge-number"])
        oldest_kept = time.time() - int(headers["x-purge-older-ms"]) / 1000
        with self._lock:
            for target, copy in list(self.copies.items()):
                is_named = kind != "object" or target.split("/")[3] in values  # copies carry no tags
                if is_named and copy.made_at <= oldest_kept:
                    del self.copies[target]
            self.purges_taken.append(f"{number} {kind}")
            self._numbers.add(number)
            self.purged_up_to = max(self.purged_up_to, int(headers.get("x-purge-done", "0")))
            if kind == "all" and "x-purge-vhost" not in headers:
                self.purged_up_to = max(self.purged_up_to, number)
            while self.purged_up_to + 1 in self._numbers:
                self.purged_up_to += 1
        self.record.say(f"{self.name} took PURGE {number} {kind}, has purged up to {self.purged_up_to}")
        return response(200, {"X-Purged-To": str(self.purged_up_to)}, b"")


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encodes an HTTP/1.1 response."""
    reason = {200: "OK", 404: "Not Found"}.get(status, "No")
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in headers.items())]
    # a body repeats a path, in which a line break may stand: it is a body, and has its length
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "\r\n"]).encode("latin-1") + body


def made_at(body: bytes) -> float:
    """Returns when the origin made the copy that a body comes from."""
    found = re.search(rb" made ([0-9.]+)$", body)
    return float(found[1]) if found else 0.0


class Fill:
    """A fill under way."""

    def __init__(self) -> None:
        self.began_at = time.time()
        self.is_done = threading.Event()
        self.copy: Copy | None = None
        self.may_be_kept = True


class FillingCache(Cache):
    """A cache or parent whose fills take time: they are joined, and run on when their client has left.

    As `docs/purges.md` has it, a fill that began so long ago as a purge says, or longer, is not kept, and one
    that began later is. A request that joins a fill gets the copy that the fill brings.

    :ivar fill_limit: seconds after which a fill that has brought nothing is given up.
    """

    fill_limit = 3.8

    def __init__(self, name: str, port: int, sources: dict[str, Cache], record: Record):
        self.fills: dict[str, Fill] = {}  # by target
        self.fill_lock = threading.Lock()
        super().__init__(name, port, sources, record)

    def find(self, target: str, headers: dict[str, str]) -> tuple[Copy | None, str]:
        """Returns a copy that is young enough, or what a fill brings; joins a fill if the request may."""
        limit = headers.get("x-fresh-ms")
        tell = "merged"
        with self.fill_lock:
            copy = self.copies.get(target)
            if copy and (not limit or time.time() - copy.made_at <= int(limit) / 1000):
                return copy, "cached"
            may_join = "ride" in headers.get("x-opts", "")
            fill = self.fills.get(target) if may_join else None
            if fill is None:
                tell = "fetched"
                fill = self.fills[target] = Fill()
                threading.Thread(target=self._run, args=(fill, target, headers), daemon=True).start()
        if tell == "merged":
            age = time.time() - fill.began_at
            self.record.say(f"{self.name}: a request joins the fill of {target} that began {age:.2f} s ago")
        if not fill.is_done.wait(self.fill_limit):
            return None, "up_lost"
        return fill.copy, tell

    def _run(self, fill: Fill, target: str, headers: dict[str, str]) -> None:
        passed_on = ("x-fresh-ms", "x-path", "x-rank", "x-opts")
        forwarded = {name: headers[name] for name in passed_on if name in headers}
        source = self.sources.get(headers.get("x-parent", ""))
        if source and not source.is_origin:  # a parent fills from the origin
            forwarded["x-parent"] = next(each.name for each in self.sources.values() if each.is_origin)
        copy = source.find(target, forwarded)[0] if source else None
        is_in_time = time.time() - fill.began_at <= self.fill_limit
        with self.fill_lock:
            fill.copy = copy if is_in_time else None
            if self.fills.get(target) is fill:
                del self.fills[target]
            if fill.copy and fill.may_be_kept and headers.get("x-rank", "0") != "0":
                self.copies[target] = fill.copy
                self.record.say(f"{self.name} keeps {fill.copy.body!r}")
        fill.is_done.set()

    def _purge(self, headers: dict[str, str]) -> bytes:
        oldest_kept = time.time() - int(headers["x-purge-older-ms"]) / 1000
        values = headers.get("x-purge-values", "").split()
        with self.fill_lock:
            for target, fill in self.fills.items():
                is_named = headers["x-purge-kind"] != "object" or target.split("/")[3] in values
                if is_named and fill.began_at <= oldest_kept:
                    fill.may_be_kept = False
            return super()._purge(headers)
