"""FastCGI 1.0 records, both ways; no sockets and no state beyond the bytes that are handed in."""

from typing import NamedTuple

from quartzrouter.net.ring import Ring

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, STDERR, DATA, GET_VALUES, GET_VALUES_RESULT, UNKNOWN = range(1, 12)
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = range(4)  # protocol status
RESPONDER = 1
KEEP_CONN = 1
HEAD = 8
RECORD_MOST = HEAD + 0xFFFF + 0xFF  # what one record can take up
PIECE = 8_184  # bytes of content in a record of ours; answers on one connection take turns at these


class Broken(Exception):
    """Bytes that are no FastCGI; stops at the connection."""


class Record(NamedTuple):
    kind: int
    id: int
    content: bytes


def next_record(ring: Ring) -> Record | None:
    """The next whole record, or None until there is one."""
    if len(ring) < HEAD:
        return None
    version, kind, id_high, id_low, high, low, padding, _ = ring.peek(HEAD)
    if version != 1:
        raise Broken(f"version {version}")
    length = high << 8 | low
    if len(ring) < HEAD + length + padding:
        return None
    ring.drop(HEAD)
    content = ring.take(length)
    ring.drop(padding)
    return Record(kind, id_high << 8 | id_low, content)


def record(kind: int, id: int, content: bytes) -> bytes:
    padding = -len(content) % 8
    head = bytes((1, kind, id >> 8, id & 0xFF, len(content) >> 8, len(content) & 0xFF, padding, 0))
    return head + content + bytes(padding)


def stdout(id: int, data: bytes) -> list[bytes]:
    return [record(STDOUT, id, data[at : at + PIECE]) for at in range(0, len(data), PIECE)]


def end(id: int, whole: bool = True, protocol: int = COMPLETE) -> bytes:
    return record(END, id, bytes((0, 0, 0, 0 if whole else 1, protocol, 0, 0, 0)))


def unknown(kind: int) -> bytes:
    return record(UNKNOWN, 0, bytes((kind,)) + bytes(7))


def pairs(data: bytes) -> dict[str, str]:
    """Name-value pairs; names and values are taken as Latin-1, as CGI has them."""
    found, at = {}, 0
    while at < len(data):
        lengths = []
        for _ in range(2):
            wide = 4 if at < len(data) and data[at] & 0x80 else 1
            if at + wide > len(data):
                raise Broken("a pair is cut off")
            lengths.append(int.from_bytes(data[at : at + wide], "big") & (0x7FFFFFFF if wide == 4 else 0x7F))
            at += wide
        name, value = at + lengths[0], at + lengths[0] + lengths[1]
        if value > len(data):
            raise Broken("a pair is cut off")
        found[data[at:name].decode("latin-1")] = data[name:value].decode("latin-1")
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
