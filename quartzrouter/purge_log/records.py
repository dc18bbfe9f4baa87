"""Records of a file: length, its checksum, the payload's checksum, payload.

Each checksum goes on from the one before, so that order counts.  The length has one of its own: a length that
a flipped bit made longer must not look like a write that was cut short.  No payload ends with a zero.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

HEAD = struct.Struct(">III")


class Record(NamedTuple):
    at: int  # where it begins
    payload: bytes
    end: int
    sum: int


class BrokenRecord(NamedTuple):
    """What stands at a place and is no record.

    :param torn: as a write that was cut short leaves it: not all there, or zeros from within to the end.
    """

    at: int
    torn: bool
    reason: str


def record(payload: bytes, before: int) -> tuple[bytes, int]:
    """The bytes of one record, and its checksum."""
    length = len(payload).to_bytes(4, "big")
    of_length = zlib.crc32(length, before)
    found = zlib.crc32(payload, of_length)
    return HEAD.pack(len(payload), of_length, found) + payload, found


def records(data: bytes, end: int) -> Iterator[Record | BrokenRecord]:
    """All records of a file up to a place; the first that is broken is the last that is given."""
    at, before, written = 0, 0, len(data[:end].rstrip(b"\0"))  # behind which there are but zeros
    while at < end:
        body = at + HEAD.size
        if end < body:
            yield BrokenRecord(at, True, "a record is cut short")
            return
        length, of_length, told = HEAD.unpack_from(data, at)
        if zlib.crc32(data[at : at + 4], before) != of_length:
            yield BrokenRecord(at, written < end and written <= body, "the checksum of a length is wrong")
            return
        if body + length > end:
            yield BrokenRecord(at, True, "a record is cut short")
            return
        payload = data[body : body + length]
        found = zlib.crc32(payload, of_length)
        if found != told:
            yield BrokenRecord(at, written < min(end, body + length), "its checksum is wrong")
            return
        yield Record(at, payload, body + length, found)
        at, before = body + length, found
