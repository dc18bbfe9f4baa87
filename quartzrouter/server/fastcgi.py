"""FastCGI 1.0 records, both ways; no sockets and no state beyond the bytes that are handed in."""

from typing import NamedTuple

from quartzrouter.server.ring_buffer import RingBuffer

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, STDERR, DATA, GET_VALUES, GET_VALUES_RESULT, UNKNOWN = range(1, 12)
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = range(4)  # protocol status
RESPONDER = 1
KEEP_CONN = 1
HEAD = 8
STREAMS = (PARAMS, STDIN, STDOUT, STDERR, DATA)  # taken in pieces, as they come
SHORT_MOST = 4_096  # bytes in a record of any other kind
PIECE = 16_376  # bytes of content in a record of ours; answers on one connection take turns at these


class ProtocolError(Exception):
    """Bytes that are no FastCGI; stops at the connection."""


class Record(NamedTuple):
    kind: int
    id: int
    content: bytes


class RecordReader:
    """Reads records out of a ring, which may be shorter than one of a stream: that comes in several."""

    def __init__(self, ring: RingBuffer):
        self.ring, self.kind, self.id, self.left, self.padding = ring, 0, 0, 0, 0

    def next(self) -> Record | None:
        """The next record, or what has come of one, or None until there is more."""
        ring = self.ring
        if not self.left:
            passed = min(self.padding, len(ring))
            ring.drop(passed)
            self.padding -= passed
            if self.padding or len(ring) < HEAD:
                return None
            version, self.kind, id_high, id_low, high, low, self.padding, _ = ring.take(HEAD)
            if version != 1:
                raise ProtocolError(f"version {version}")
            self.id, self.left = id_high << 8 | id_low, high << 8 | low
            if self.kind not in STREAMS and self.left > SHORT_MOST:
                raise ProtocolError(f"a record of type {self.kind} with {self.left} bytes")
            if not self.left:
                return Record(self.kind, self.id, b"")
        if not len(ring) or (self.kind not in STREAMS and len(ring) < self.left):
            return None
        content = ring.take(self.left)
        self.left -= len(content)
        return Record(self.kind, self.id, content)


def record(kind: int, id: int, content: bytes) -> bytes:
    padding = -len(content) % 8
    head = bytes((1, kind, id >> 8, id & 0xFF, len(content) >> 8, len(content) & 0xFF, padding, 0))
    return head + content + bytes(padding)


def stdout(id: int, data: bytes) -> list[bytes]:
    return [record(STDOUT, id, data[at : at + PIECE]) for at in range(0, len(data), PIECE)]


def reply(id: int, data: bytes) -> list[bytes]:
    """All records of a whole answer."""
    return [*stdout(id, data), record(STDOUT, id, b""), end(id)]


def end(id: int, whole: bool = True, protocol: int = COMPLETE) -> bytes:
    return record(END, id, bytes((0, 0, 0, 0 if whole else 1, protocol, 0, 0, 0)))


def unknown(kind: int) -> bytes:
    return record(UNKNOWN, 0, bytes((kind,)) + bytes(7))


def pairs(data: bytes) -> dict[str, str]:
    """Name-value pairs; names and values are taken as Latin-1, as CGI has them."""
    found, at, text = {}, 0, data.decode("latin-1")
    while at < len(data):
        lengths = []
        for _ in range(2):
            wide = 4 if at < len(data) and data[at] & 0x80 else 1
            if at + wide > len(data):
                raise ProtocolError("a pair is cut off")
            lengths.append(data[at] if wide == 1 else int.from_bytes(data[at : at + 4], "big") & 0x7FFFFFFF)
            at += wide
        name, value = at + lengths[0], at + lengths[0] + lengths[1]
        if value > len(data):
            raise ProtocolError("a pair is cut off")
        found[text[at:name]] = text[name:value]
        at = value
    return found


def values(asked: dict[str, str], known: dict[str, int]) -> bytes:
    """The answer to FCGI_GET_VALUES: those that are known of those that are asked for."""
    content = b""
    for name in asked:
        if name in known:
            value = str(known[name]).encode()
            content += bytes((len(name), len(value))) + name.encode() + value
    return record(GET_VALUES_RESULT, 0, content)
