"""Decodes and encodes FastCGI 1.0 records, without sockets.

Names are those of the FastCGI specification. ``RecordReader`` decodes records from clients; the ``encode_``
functions encode records for them.
"""

import struct
from enum import IntEnum
from typing import NamedTuple

from quartzrouter.server.errors import ServerError
from quartzrouter.server.ring_buffer import RingBuffer


class RecordType(IntEnum):
    """The type of a record, its second byte."""

    BEGIN_REQUEST = 1
    ABORT_REQUEST = 2
    END_REQUEST = 3
    PARAMS = 4
    STDIN = 5
    STDOUT = 6
    STDERR = 7
    DATA = 8
    GET_VALUES = 9
    GET_VALUES_RESULT = 10
    UNKNOWN_TYPE = 11


class ProtocolStatus(IntEnum):
    """Why a request has ended, as reported in END_REQUEST."""

    REQUEST_COMPLETE = 0
    CANT_MPX_CONN = 1
    OVERLOADED = 2
    UNKNOWN_ROLE = 3


MANAGEMENT_ID = 0  # request id of records that concern the connection, not a request
ROLE_RESPONDER = 1
FLAG_KEEP_CONNECTION = 1  # in BEGIN_REQUEST: the connection stays open after the request
VERSION = 1
APP_STATUS_COMPLETED = 0  # in END_REQUEST: the whole response was written before it
APP_STATUS_ABORTED = 1

RECORD_HEADER = struct.Struct(">BBHHBx")  # version, type, request id, content length, padding length
BEGIN_REQUEST_BODY = struct.Struct(">HB5x")  # role, flags
END_REQUEST_BODY = struct.Struct(">IB3x")  # application status, protocol status
ALIGNMENT = 8  # bytes; contents are padded to a multiple of it, as the specification recommends

# Contents of these types are read in pieces as they arrive, so a record may be longer than a ring buffer.
STREAM_TYPES = (
    RecordType.PARAMS,
    RecordType.STDIN,
    RecordType.STDOUT,
    RecordType.STDERR,
    RecordType.DATA,
)
MAX_DISCRETE_CONTENT = 4_096  # bytes in a record of any other type, which is read whole
# Bytes of content in a STDOUT record that is sent. The responses on one connection send one record each in
# turn, so this limits how long a large response delays a small one.
MAX_STDOUT_CONTENT = 16_376

MAX_PAIRS = 512  # in the parameters of a request; front servers limit header fields to about 100

LONG_LENGTH_FLAG = 0x80  # in the first byte of a length in a name-value pair: it has four bytes, not one
LONG_LENGTH_MASK = 0x7FFFFFFF


class ProtocolError(ServerError):
    """The bytes are not FastCGI, or a record is not allowed at its place."""


class TooManyPairsError(ProtocolError):
    """There are more name-value pairs than any client needs; decoding them all would delay others."""


class Record(NamedTuple):
    """A whole record, or a piece of a record of one of the ``STREAM_TYPES``."""

    record_type: int  # any byte, as clients may also send types that the specification doesn't define
    request_id: int
    content: bytes


class RecordReader:
    """Reads records from a ring buffer, which may be shorter than a record of one of the ``STREAM_TYPES``.

    :param ring: the bytes that were received.
    """

    def __init__(self, ring: RingBuffer):
        self._ring = ring
        self._record_type = 0
        self._request_id = 0
        self._content_left = 0  # bytes of the record's content that are still to be read
        self._padding_left = 0

    def next(self) -> Record | None:
        """Reads the next record, or the available piece of a record of one of the ``STREAM_TYPES``.

        :returns: None if more bytes are needed.
        :raises ProtocolError: if the bytes are not a record, or the record is too long.
        """
        if not self._content_left:
            if not self._skip_padding() or len(self._ring) < RECORD_HEADER.size:
                return None
            self._read_header()
            if not self._content_left:
                return Record(self._record_type, self._request_id, b"")
        is_stream = self._record_type in STREAM_TYPES
        if not len(self._ring) or (not is_stream and len(self._ring) < self._content_left):
            return None
        content = self._ring.take(self._content_left)
        self._content_left -= len(content)
        return Record(self._record_type, self._request_id, content)

    def _skip_padding(self) -> bool:
        """Skips the padding after the last record; returns False if some of it hasn't arrived yet."""
        available = min(self._padding_left, len(self._ring))
        self._ring.drop(available)
        self._padding_left -= available
        return not self._padding_left

    def _read_header(self) -> None:
        header = RECORD_HEADER.unpack(self._ring.take(RECORD_HEADER.size))
        version, self._record_type, self._request_id, self._content_left, self._padding_left = header
        if version != VERSION:
            raise ProtocolError(f"unsupported FastCGI version {version}")
        if self._record_type not in STREAM_TYPES and self._content_left > MAX_DISCRETE_CONTENT:
            raise ProtocolError(f"a record of type {self._record_type} with {self._content_left} bytes")


def decode_begin_request(content: bytes) -> tuple[int, int]:
    """Decodes the content of a BEGIN_REQUEST.

    :returns: the role and the flags.
    :raises ProtocolError: if it has a wrong length.
    """
    if len(content) != BEGIN_REQUEST_BODY.size:
        raise ProtocolError("BEGIN_REQUEST has a wrong length")
    role, flags = BEGIN_REQUEST_BODY.unpack(content)
    return role, flags


def decode_pairs(data: bytes) -> dict[str, str]:
    """Decodes name-value pairs; names and values are decoded as Latin-1, as is usual in CGI.

    :raises TooManyPairsError: if there are more than ``MAX_PAIRS``.
    :raises ProtocolError: if the data ends within a pair.
    """
    pairs: dict[str, str] = {}
    pair_count = 0
    text = data.decode("latin-1")
    position = 0
    while position < len(data):
        pair_count += 1
        if pair_count > MAX_PAIRS:
            raise TooManyPairsError(f"more than {MAX_PAIRS} fields")
        name_length, position = _decode_length(data, position)
        value_length, position = _decode_length(data, position)
        name_end = position + name_length
        value_end = name_end + value_length
        if value_end > len(data):
            raise ProtocolError("a pair is cut off")
        pairs[text[position:name_end]] = text[name_end:value_end]
        position = value_end
    return pairs


def _decode_length(data: bytes, position: int) -> tuple[int, int]:
    """Decodes the length at a position; returns it and the position after it."""
    is_long = position < len(data) and data[position] & LONG_LENGTH_FLAG
    size = 4 if is_long else 1
    end = position + size
    if end > len(data):
        raise ProtocolError("a pair is cut off")
    if not is_long:
        return data[position], end
    return int.from_bytes(data[position:end], "big") & LONG_LENGTH_MASK, end


def encode_record(record_type: int, request_id: int, content: bytes) -> bytes:
    """Encodes one record, padded.

    :param content: at most 65,535 bytes.
    """
    padding = -len(content) % ALIGNMENT
    header = RECORD_HEADER.pack(VERSION, record_type, request_id, len(content), padding)
    return header + content + bytes(padding)


def encode_stdout(request_id: int, data: bytes) -> list[bytes]:
    """Encodes data of a response as STDOUT records, without the end of the stream."""
    return [
        encode_record(RecordType.STDOUT, request_id, data[start : start + MAX_STDOUT_CONTENT])
        for start in range(0, len(data), MAX_STDOUT_CONTENT)
    ]


def encode_response(request_id: int, data: bytes) -> list[bytes]:
    """Encodes a whole response: its STDOUT records, the end of that stream, and END_REQUEST."""
    end_of_stream = encode_record(RecordType.STDOUT, request_id, b"")
    return [*encode_stdout(request_id, data), end_of_stream, encode_end_request(request_id)]


def encode_end_request(
    request_id: int,
    completed: bool = True,
    protocol_status: ProtocolStatus = ProtocolStatus.REQUEST_COMPLETE,
) -> bytes:
    """Encodes the record that ends a request.

    :param completed: False if the request was aborted, so that its response is incomplete.
    """
    app_status = APP_STATUS_COMPLETED if completed else APP_STATUS_ABORTED
    content = END_REQUEST_BODY.pack(app_status, protocol_status)
    return encode_record(RecordType.END_REQUEST, request_id, content)


def encode_unknown_type(record_type: int) -> bytes:
    """Encodes the answer to a management record of an unknown type."""
    return encode_record(RecordType.UNKNOWN_TYPE, MANAGEMENT_ID, bytes((record_type,)) + bytes(7))


def encode_values_result(requested: dict[str, str], values: dict[str, int]) -> bytes:
    """Encodes the answer to GET_VALUES: the requested names that have a value here, with their values."""
    content = b""
    for name in requested:
        if name in values:
            value = str(values[name]).encode()
            content += bytes((len(name), len(value))) + name.encode() + value
    return encode_record(RecordType.GET_VALUES_RESULT, MANAGEMENT_ID, content)
