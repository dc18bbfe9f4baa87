"""Encodes and reads the records of a file: length, checksum of the length, checksum of the payload, payload.

Each checksum is computed from the previous one, so that a record in the wrong place is detected. The length
has its own checksum: a length that a flipped bit increased would otherwise look like a torn write, and all
later records would be dropped silently. No payload ends with a zero byte.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

HEADER = struct.Struct(">III")  # length, checksum of the length, checksum of the payload
LENGTH_BYTES = 4


class Record(NamedTuple):
    """A record that was read whole.

    :param start: the offset of its first byte.
    :param end: the offset after its last byte.
    :param checksum: the checksum from which that of the next record is computed.
    """

    start: int
    payload: bytes
    end: int
    checksum: int


class BrokenRecord(NamedTuple):
    """Bytes that are not a valid record.

    :param is_torn: True if a torn write can have left them: they are incomplete, or zeros from some byte on.
    """

    start: int
    is_torn: bool
    reason: str


def encode_record(payload: bytes, previous_checksum: int) -> tuple[bytes, int]:
    """Returns the bytes of a record, and its checksum.

    :param previous_checksum: the checksum of the previous record; 0 for the first record of a file.
    """
    length = len(payload).to_bytes(LENGTH_BYTES, "big")
    length_checksum = zlib.crc32(length, previous_checksum)
    checksum = zlib.crc32(payload, length_checksum)
    return HEADER.pack(len(payload), length_checksum, checksum) + payload, checksum


def read_records(data: bytes, end: int) -> Iterator[Record | BrokenRecord]:
    """Yields the records of a file, and stops after the first broken one.

    Distinguishes a torn write from damage. A crash during a write leaves the first bytes of the record,
    followed by the end of the file or by zeros. Such a record was never confirmed and may be dropped. Any
    other broken record was written whole and has changed since, so it must be reported.

    :param data: the whole file.
    :param end: the number of bytes, from the start, that belong to the log.
    """
    written_end = len(data[:end].rstrip(b"\0"))  # only zeros follow
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
            yield BrokenRecord(start, is_torn, "the checksum of a record is wrong")
            return
        yield Record(start, payload, payload_end, checksum)
        start = payload_end
        previous_checksum = checksum
