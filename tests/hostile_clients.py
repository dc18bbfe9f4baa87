"""Clients that harm others, as a program of its own, so that they need no CPU of the process that measures.

python tests/hostile_clients.py KIND PORT SECONDS SEED

Each kind keeps some connections busy at full speed, and opens one again that has been closed.
"""

import json
import random
import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterator

from quartzrouter.server import fastcgi
from quartzrouter.server.fastcgi import RecordType

HOST = "127.0.0.1"
READ_SIZE = 1 << 16
CONNECT_TIMEOUT = 5.0  # seconds
RECONNECT_DELAY = 0.01  # seconds
REQUESTS_PER_CONNECTION = 32
MAX_PARAMS_SIZE = 16_000  # bytes; the router reads a little more
TRICKLE_INTERVAL = 0.05  # seconds between two bytes of a client that writes slowly


class Kind:
    """A kind of hostile client.

    :param connections: how many of them there are.
    :param payloads: yields what a connection sends, piece by piece; then it stays silent.
    :param reads: False if it reads nothing that it is sent.
    :param interval: seconds between two pieces.
    :param closes: True if a connection is closed, with what is unread, once all pieces are sent.
    """

    def __init__(
        self,
        connections: int,
        payloads: Callable[[random.Random], Iterator[bytes]],
        reads: bool = True,
        interval: float = 0.0,
        closes: bool = False,
    ):
        self.connections = connections
        self.payloads = payloads
        self.reads = reads
        self.interval = interval
        self.closes = closes


def encode_record(record_type: int, request_id: int, content: bytes = b"") -> bytes:
    """Encodes a record without padding."""
    return fastcgi.RECORD_HEADER.pack(fastcgi.VERSION, record_type, request_id, len(content), 0) + content


def begin(request_id: int, role: int = fastcgi.ROLE_RESPONDER) -> bytes:
    """Encodes a BEGIN_REQUEST that keeps the connection."""
    content = fastcgi.BEGIN_REQUEST_BODY.pack(role, fastcgi.FLAG_KEEP_CONNECTION)
    return encode_record(RecordType.BEGIN_REQUEST, request_id, content)


def pairs(fields: dict[str, str]) -> bytes:
    """Encodes short names and values."""
    encoded = (
        bytes((len(name), len(value))) + name.encode() + value.encode() for name, value in fields.items()
    )
    return b"".join(encoded)


def request_fields(chance: random.Random) -> dict[str, str]:
    """Returns the fields of a request under new names."""
    return {
        "SCRIPT_NAME": "/rpc/page",
        "HTTP_X_CORRELATION_ID": f"{chance.getrandbits(64):016x}",
        "HTTP_X_DEADLINE_MS": "1000",
        "HTTP_X_SUBJECT": f"{chance.getrandbits(64):016x}",
        "HTTP_X_CHUNK": "0",
        "HTTP_X_TAG": "5",
        "HTTP_X_CLIENT": f"{chance.getrandbits(64):016x}",
        "HTTP_HOST": f"{chance.getrandbits(64):016x}.example",
    }


def whole_request(chance: random.Random, request_id: int, body: bytes = b"", **changes: str) -> bytes:
    """Encodes a whole request."""
    records = [
        begin(request_id),
        encode_record(RecordType.PARAMS, request_id, pairs(request_fields(chance) | changes)),
        encode_record(RecordType.PARAMS, request_id),
    ]
    if body:
        records.append(encode_record(RecordType.STDIN, request_id, body))
    records.append(encode_record(RecordType.STDIN, request_id))
    return b"".join(records)


def many_fields(chance: random.Random) -> Iterator[bytes]:
    """Yields open requests with heads of 2,500 short fields; none is ever whole."""
    filler = {f"{number:04d}": "" for number in range(2_400)}
    for request_id in range(1, REQUESTS_PER_CONNECTION + 1):
        head = pairs(request_fields(chance) | filler)[:MAX_PARAMS_SIZE]
        yield (
            begin(request_id)
            + encode_record(RecordType.PARAMS, request_id, head)
            + encode_record(RecordType.PARAMS, request_id)
        )


def half_bodies(chance: random.Random) -> Iterator[bytes]:
    """Yields requests whose bodies stop half way."""
    for request_id in range(1, REQUESTS_PER_CONNECTION + 1):
        fields = request_fields(chance) | {"CONTENT_LENGTH": "48000"}
        yield (
            begin(request_id)
            + encode_record(RecordType.PARAMS, request_id, pairs(fields))
            + encode_record(RecordType.PARAMS, request_id)
            + encode_record(RecordType.STDIN, request_id, bytes(24_000))
        )


def large_bodies(chance: random.Random) -> Iterator[bytes]:
    """Yields whole requests with large bodies."""
    for request_id in range(1, REQUESTS_PER_CONNECTION + 1):
        yield whole_request(chance, request_id, bytes(48_000), CONTENT_LENGTH="48000")


def trickle(chance: random.Random) -> Iterator[bytes]:
    """Yields the bytes of large open requests in small pieces."""
    data = b"".join(half_bodies(chance))
    for start in range(0, len(data), 512):
        yield data[start : start + 512]


def repeated(data: bytes, size: int = 1 << 16) -> Callable[[random.Random], Iterator[bytes]]:
    """Returns payloads that repeat some records forever."""
    block = data * max(1, size // len(data))

    def payloads(_chance: random.Random) -> Iterator[bytes]:
        while True:
            yield block

    return payloads


def byte_by_byte(chance: random.Random) -> Iterator[bytes]:
    """Yields parameters of one byte a record."""
    while True:
        for request_id in range(1, REQUESTS_PER_CONNECTION + 1):
            record = encode_record(RecordType.PARAMS, request_id, b"x")
            yield begin(request_id) + record * MAX_PARAMS_SIZE


def begin_and_abort(_chance: random.Random) -> Iterator[bytes]:
    """Yields requests that are taken back at once."""
    block = begin(1) + encode_record(RecordType.ABORT_REQUEST, 1)
    while True:
        yield block * 2_000


def new_names(chance: random.Random) -> Iterator[bytes]:
    """Yields whole requests, each for a new object, client and host."""
    while True:
        for request_id in range(1, REQUESTS_PER_CONNECTION + 1):
            yield whole_request(chance, request_id)


def unsound(chance: random.Random) -> Iterator[bytes]:
    """Yields requests for classes that don't exist."""
    while True:
        for request_id in range(1, REQUESTS_PER_CONNECTION + 1):
            yield whole_request(chance, request_id, SCRIPT_NAME=f"/rpc/{chance.getrandbits(32):08x}")


def health(chance: random.Random) -> Iterator[bytes]:
    """Yields health queries."""
    while True:
        for request_id in range(1, REQUESTS_PER_CONNECTION + 1):
            yield whole_request(chance, request_id, SCRIPT_NAME="/health")


# -- clients of the purge log and of an acceptor -------------------------------------------------------------


def line(**fields: object) -> bytes:
    """Encodes a message as a line."""
    return json.dumps(fields).encode() + b"\n"


def hello(chance: random.Random) -> bytes:
    """Encodes the hello of a member under a new name."""
    name, token = (f"m{chance.getrandbits(48):x}" for _ in range(2))
    return line(say="hello", name=name, kind="router", token=token)


def half_line(_chance: random.Random) -> Iterator[bytes]:
    """Yields a line that stops short of its end."""
    yield b'{"say":"status","pad":"' + b"x" * ((1 << 18) - 100)


def acknowledgements(chance: random.Random) -> Iterator[bytes]:
    """Yields acknowledgements of a member."""
    yield hello(chance)
    yield from repeated(line(say="ack", held=0, mark=1))(chance)


def health_reports(chance: random.Random) -> Iterator[bytes]:
    """Yields reports on caches and stores under ever new names."""
    yield hello(chance)
    while True:
        sights = [[f"n{chance.getrandbits(64):x}", False, 1, 1, 0, 1] for _ in range(500)]
        store = f"s{chance.getrandbits(64):x}"
        yield line(say="sights", store=store, sights=sights, caches=500, loads=True)


def new_purges(chance: random.Random) -> Iterator[bytes]:
    """Yields purges, each of a new tag under a new key."""
    while True:
        tag, key = (f"{chance.getrandbits(64):x}" for _ in range(2))
        yield line(say="send", kind="tag", values=[tag], key=key)


def votes(chance: random.Random) -> Iterator[bytes]:
    """Yields requests for votes, each for a new task under a new name."""
    while True:
        requests = [
            [f"t{chance.getrandbits(40):x}", f"p{chance.getrandbits(40):x}", "0123abcd", 4, 6, 9, True]
            for _ in range(256)
        ]
        yield line(say="votes", votes=requests)


KINDS = {
    "many fields": Kind(300, many_fields),
    "half bodies": Kind(300, half_bodies),
    "large bodies": Kind(300, large_bodies),
    "large bodies, closed": Kind(300, large_bodies, closes=True),
    "trickle": Kind(300, trickle, interval=TRICKLE_INTERVAL),
    "values": Kind(1, repeated(encode_record(RecordType.GET_VALUES, 0, pairs({"FCGI_MAX_CONNS": ""})))),
    "unknown types": Kind(1, repeated(encode_record(200, 0))),
    "unknown types, unread": Kind(1, repeated(encode_record(200, 0)), reads=False),
    "data": Kind(1, repeated(encode_record(RecordType.DATA, 1))),
    "content without a request": Kind(1, repeated(encode_record(RecordType.STDIN, 1))),
    "aborts without a request": Kind(1, repeated(encode_record(RecordType.ABORT_REQUEST, 1))),
    "begin and abort": Kind(1, begin_and_abort),
    "byte by byte": Kind(1, byte_by_byte),
    "new names": Kind(1, new_names),
    "unsound": Kind(1, unsound),
    "health": Kind(1, health),
    "unknown roles": Kind(1, repeated(begin(1, role=9))),
    "noise": Kind(1, repeated(bytes(range(256)))),
    "purge log: queries": Kind(1, repeated(line(say="status"))),
    "purge log: queries, unread": Kind(8, repeated(line(say="members")), reads=False),
    "purge log: half lines": Kind(300, half_line),
    "purge log: acknowledgements": Kind(1, acknowledgements),
    "purge log: health reports": Kind(1, health_reports),
    "purge log: new purges": Kind(1, new_purges),
    "acceptor: queries": Kind(1, repeated(line(say="keeps"))),
    "acceptor: half lines": Kind(300, half_line),
    "acceptor: votes": Kind(1, votes),
}


class Connection:
    """One connection of a hostile client."""

    def __init__(self, kind: Kind, port: int, chance: random.Random):
        self.kind = kind
        self.socket = socket.create_connection((HOST, port), CONNECT_TIMEOUT)
        self.socket.setblocking(False)
        self.payloads = kind.payloads(chance)
        self.unsent = memoryview(b"")
        self.is_done = False
        self.sends_at = 0.0

    def write(self) -> None:
        """Sends what the socket takes."""
        while True:
            if not self.unsent:
                piece = None if self.is_done else next(self.payloads, None)
                if piece is None:
                    self.is_done = True
                    return
                self.unsent = memoryview(piece)
            sent = self.socket.send(self.unsent)
            self.unsent = self.unsent[sent:]
            if self.kind.interval:
                self.sends_at = time.monotonic() + self.kind.interval
                return


def run(kind: Kind, port: int, seconds: float, seed: int) -> int:
    """Plays hostile clients; returns how many connections they opened."""
    chance = random.Random(seed)
    ends_at = time.monotonic() + seconds
    selector = selectors.DefaultSelector()
    open_connections: set[Connection] = set()
    opened = 0
    while time.monotonic() < ends_at:
        while len(open_connections) < kind.connections and time.monotonic() < ends_at:
            try:
                connection = Connection(kind, port, chance)
            except OSError:
                time.sleep(RECONNECT_DELAY)
                break
            opened += 1
            open_connections.add(connection)
            selector.register(connection.socket, selectors.EVENT_READ, connection)
        now = time.monotonic()
        for connection in list(open_connections):
            if not serve(connection, now):
                selector.unregister(connection.socket)
                connection.socket.close()
                open_connections.discard(connection)
        selector.select(0.001)
    return opened


def serve(connection: Connection, now: float) -> bool:
    """Reads and writes; returns False if the connection has ended."""
    try:
        if connection.kind.reads:
            while data := connection.socket.recv(READ_SIZE):
                if len(data) < READ_SIZE:
                    break
            else:
                return False
    except BlockingIOError:
        pass
    except OSError:
        return False
    try:
        if now >= connection.sends_at:
            connection.write()
    except BlockingIOError:
        pass
    except OSError:
        return False
    return not (connection.kind.closes and connection.is_done and not connection.unsent)


if __name__ == "__main__":
    name, port, seconds, seed = sys.argv[1:]
    print(run(KINDS[name], int(port), float(seconds), int(seed)), "connections")
