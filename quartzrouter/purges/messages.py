"""The protocol of the purge log: one JSON object per line, with its type in the field ``say``.

The messages are defined in client_messages (to the purge log) and server_messages (from it); this module
exports all of them, and encodes and decodes lines. Times are whole microseconds of the clock that the field's
description names.
"""

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from quartzrouter.fleet_health.messages import CacheObservation, EjectionVerdict
from quartzrouter.purges.client_messages import (
    HealthQuery,
    HealthReport,
    MemberAck,
    MemberHello,
    MemberKind,
    MemberLeave,
    MembersQuery,
    PurgeRequest,
    QuotaQuery,
    QuotaRequests,
    StatusQuery,
    ToPurgeLog,
)
from quartzrouter.purges.errors import PurgeError
from quartzrouter.purges.purge import Purge, PurgeKind
from quartzrouter.purges.server_messages import (
    CaughtUp,
    EjectionVerdicts,
    FromPurgeLog,
    HealthReply,
    Heartbeat,
    MembersReply,
    MemberStatus,
    PurgeAccepted,
    PurgeBatch,
    PurgeStatus,
    QuotaGrants,
    QuotaStatus,
    RequestRejected,
    Snapshot,
    StoreHealth,
    Welcome,
)

__all__ = [
    "MAX_LINE_BYTES",
    "MAX_PURGES_PER_LINE",
    "MAX_QUOTA_REQUESTS",
    "CacheObservation",
    "CaughtUp",
    "EjectionVerdict",
    "EjectionVerdicts",
    "FromPurgeLog",
    "HealthQuery",
    "HealthReply",
    "HealthReport",
    "Heartbeat",
    "MalformedMessageError",
    "MemberAck",
    "MemberHello",
    "MemberKind",
    "MemberLeave",
    "MemberStatus",
    "MembersQuery",
    "MembersReply",
    "Purge",
    "PurgeAccepted",
    "PurgeBatch",
    "PurgeKind",
    "PurgeRequest",
    "PurgeStatus",
    "QuotaGrants",
    "QuotaQuery",
    "QuotaRequests",
    "QuotaStatus",
    "RequestRejected",
    "Snapshot",
    "StatusQuery",
    "StoreHealth",
    "ToPurgeLog",
    "Welcome",
    "decode_from_purge_log",
    "decode_to_purge_log",
    "encode_line",
    "first_page",
]

MAX_LINE_BYTES = 1 << 18  # a page of MAX_PURGES_PER_LINE purges of a few hundred bytes each
MAX_PURGES_PER_LINE = 512
MAX_QUOTA_REQUESTS = 512  # per message
MAX_BYTES_PER_CHARACTER = 2  # of a value in JSON: quotes and backslashes are escaped
MAX_OTHER_BYTES_PER_PURGE = 400  # for its scope, key, numbers and field names
MAX_OTHER_BYTES_PER_VALUE = 4  # for its quotes and comma

_encoder = msgspec.json.Encoder()
_to_purge_log = msgspec.json.Decoder(ToPurgeLog)
_from_purge_log = msgspec.json.Decoder(FromPurgeLog)
Message = TypeVar("Message")


class MalformedMessageError(PurgeError, ValueError):
    """A line is not a valid message of this version of the protocol."""


def encode_line(message: msgspec.Struct) -> bytes:
    """Returns a message as a line, including the newline."""
    return _encoder.encode(message) + b"\n"


def decode_to_purge_log(line: bytes) -> ToPurgeLog:
    """Decodes a message to the purge log.

    :param line: without the newline.
    :raises MalformedMessageError: if the line is not such a message.
    """
    return _decode(_to_purge_log, line)


def decode_from_purge_log(line: bytes) -> FromPurgeLog:
    """Decodes a message from the purge log.

    :param line: without the newline.
    :raises MalformedMessageError: if the line is not such a message.
    """
    return _decode(_from_purge_log, line)


def _decode(decoder: "msgspec.json.Decoder[Message]", line: bytes) -> Message:
    try:
        return decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)) from None


def first_page(purges: Sequence[Purge]) -> Sequence[Purge]:
    """Returns as many of the first purges as are sure to fit into one line, at least one."""
    size = 0
    for count, purge in enumerate(purges[:MAX_PURGES_PER_LINE]):
        for value in purge.values:
            size += MAX_BYTES_PER_CHARACTER * len(value) + MAX_OTHER_BYTES_PER_VALUE
        size += MAX_OTHER_BYTES_PER_PURGE
        if size > MAX_LINE_BYTES and count:
            return purges[:count]
    return purges[:MAX_PURGES_PER_LINE]
