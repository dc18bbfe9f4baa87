"""Records of a file: length, checksum of the length, checksum of the payload, payload.

Each checksum goes on from the one before, so that a record in the wrong place is found. The length has a
checksum of its own: a length that a flipped bit made longer would otherwise look like a write that was cut
short, and what follows would be dropped silently. No payload ends with a zero byte.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

HEADER = struct.Struct(">III")  # length, its checksum, the payload's checksum
LENGTH_BYTES = 4


class Record(NamedTuple):
    """One record.

    :param start: its first byte.
    :param end: the byte behind it.
    :param checksum: from which the next record goes on.
    """

    start: int
    payload: bytes
    end: int
    checksum: int


class BrokenRecord(NamedTuple):
    """Bytes that are no record.

    :param is_torn: as a write that was cut short leaves them: not all there, or zeros from some byte on.
    """

    start: int
    is_torn: bool
    reason: str


def encode_record(payload: bytes, previous_checksum: int) -> tuple[bytes, int]:
    """Returns the bytes of a record, and its checksum.

    :param previous_checksum: of the record before it; 0 for the first of a file.
    """
    length = len(payload).to_bytes(LENGTH_BYTES, "big")
    length_checksum = zlib.crc32(length, previous_checksum)
    checksum = zlib.crc32(payload, length_checksum)
    return HEADER.pack(len(payload), length_checksum, checksum) + payload, checksum


def read_records(data: bytes, end: int) -> Iterator[Record | BrokenRecord]:
    """Yields the records of a file; where one is broken, it is the last.

    Tells a torn write from damage. A crash while a record is written leaves its first bytes, and then the
    end of the file or zeros. Such a record was not promised and may be dropped. Anything else was written
    whole and has changed since, and must be reported.

    :param data: the whole file.
    :param end: bytes of it that count.
    """
    written_end = len(data[:end].rstrip(b"\0"))  # behind it there are only zeros
    start = 0
    previous_checksum = 0
    while start < end:
        payload_start = start + HEADER.size
        if end < payload_start:
            yield BrokenRecord(start, True, "a record is cut short")
            return
        length, length_checksum, checksum = HEADER.unpack_from(data, start)
        if zlib.crc32(data[start : start + LENGTH_BYTES], previous_checksum) != length_checksum:
            is_torn = written_end < end and written_end <= payload_start
            yield BrokenRecord(start, is_torn, "the checksum of a length is wrong")
            return
        payload_end = payload_start + length
        if payload_end > end:
            yield BrokenRecord(start, True, "a record is cut short")
            return
        payload = data[payload_start:payload_end]
        if zlib.crc32(payload, length_checksum) != checksum:
            is_torn = written_end < min(end, payload_end)
            yield BrokenRecord(start, is_torn, "its checksum is wrong")
            return
        yield Record(start, payload, payload_end, checksum)
        start = payload_end
        previous_checksum = checksum
