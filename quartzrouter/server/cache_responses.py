"""Parses the heads of caches' responses: the copy, the fill and the load that their header fields report.

Translates the platform's names of the header fields to the router's. It has no sockets and no state.
"""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

import h11

from quartzrouter.routing.model import FillStatus, LoadReport
from quartzrouter.server.errors import ServerError
from quartzrouter.server.events import ResponseHead
from quartzrouter.server.header_fields import HeaderFields

MAX_BODY_SIZE = 240_000  # bytes: no chunk of an object is longer
MAX_NUMBER = 1e9  # numbers in header fields must be less; others are ignored
MAX_LOAD_REPORT_LENGTH = 256  # characters; four values take less
MAX_AGE_HEADER = "X-Fresh-Ms"  # request header: the greatest age of a copy that the request accepts, in ms

# Values of X-Tell, in which a cache reports how it got the copy.
FILL_STATUSES = {
    "cached": FillStatus.HIT,
    "fetched": FillStatus.FROM_PARENT,
    "fetched_root": FillStatus.FROM_ORIGIN,
    "merged": FillStatus.COLLAPSED,
    "past_fresh": FillStatus.STALE,
    "up_refused": FillStatus.SOURCE_OVERLOADED,
    "up_lost": FillStatus.SOURCE_UNREACHABLE,
    "up_empty": FillStatus.SOURCE_NOT_FOUND,
    "fills_full": FillStatus.NO_FILL_SLOT,
    "root_failed": FillStatus.ORIGIN_UNREACHABLE,
}

CopyReader = Callable[[HeaderFields], Any]


class MalformedResponseError(ServerError):
    """A response that is valid HTTP but not valid in the platform's protocol; ends the connection."""


class CopyIdentity(NamedTuple):
    """The header fields that identify the copy in a response."""

    tag: str
    created: str | None
    length: str | None


def header_fields(response: h11.Response) -> HeaderFields:
    """Returns the header fields of a response."""
    return HeaderFields(response.headers)


def copy_identity(fields: HeaderFields) -> CopyIdentity | None:
    """Returns the identity of the copy in a response; None if the response has no tag."""
    tag = fields.get("x-tag")
    if not tag:
        return None
    return CopyIdentity(tag, fields.get("x-minted"), fields.get("content-length"))


def max_copy_age(request_headers: list[tuple[str, str]]) -> float:
    """Returns the greatest age of a copy that a request accepts, in seconds; infinite if it sets none."""
    for name, value in request_headers:
        if name == MAX_AGE_HEADER:
            return int(value) / 1e3
    return math.inf


def parse_head(
    request_id: int,
    attempt_number: int,
    status: int,
    fields: HeaderFields,
    read_copy: CopyReader | None = None,
    with_load_report: bool = False,
) -> ResponseHead:
    """Parses the head of a response.

    :param request_id: the request that is answered.
    :param status: the HTTP status.
    :param read_copy: reads fields beyond those of the platform's protocol; called if the response names its
        copy, and its result becomes ``ResponseHead.cached_copy``.
    :param with_load_report: True if caches report their load in responses.
    :raises MalformedResponseError: if the head has no length, a length above the limit, or an unknown fill
        status.
    """
    length = fields.get("content-length")
    is_chunked = "chunked" in (fields.get("transfer-encoding") or "")
    if status == 200 and length is None and not is_chunked:
        raise MalformedResponseError("a response without a length")
    if length is not None and int(length) > MAX_BODY_SIZE:
        raise MalformedResponseError(f"a body of {length} bytes")
    names_copy = bool(fields.get("x-tag")) and (fields.get("x-minted") or "").isdecimal()
    return ResponseHead(
        request_id,
        attempt_number,
        status,
        int(length) if length is not None else None,
        fields.get("x-no-effect") == "1",
        names_copy,
        parse_fill_status(fields),
        read_copy(fields) if read_copy and names_copy else None,
        parse_load_report(fields) if with_load_report else LoadReport(),
    )


def parse_fill_status(fields: HeaderFields) -> FillStatus:
    """Parses how a cache got the copy; UNKNOWN if the response doesn't say.

    :raises MalformedResponseError: if the value is not one of ``FILL_STATUSES``.
    """
    text = fields.get("x-tell")
    if text is None:
        return FillStatus.UNKNOWN
    if text not in FILL_STATUSES:
        raise MalformedResponseError(f"X-Tell is {text!r:.40}")
    return FILL_STATUSES[text]


def parse_load_report(fields: HeaderFields) -> LoadReport:
    """Parses a load report such as ``busy:0.61;x1:1.2``, and the time until the fill source's first byte.

    Invalid values are ignored, because all of these values are optional.
    """
    load = {}
    report = fields.get("x-report", separator=";") or ""
    for pair in report[:MAX_LOAD_REPORT_LENGTH].split(";"):
        name, _, value = pair.partition(":")
        load[name.strip()] = parse_number(value)
    first_byte_ms = parse_number(fields.get("x-ttfb"))
    time_to_first_byte = None if first_byte_ms is None else int(first_byte_ms * 1000)
    return LoadReport(time_to_first_byte, load.get("busy", load.get("util")), load.get("x1"))


def parse_number(text: str | None) -> float | None:
    """Parses an optional number; returns None if it is missing, invalid, negative or too large."""
    try:
        value = float(text or "")
    except ValueError:
        return None
    return value if 0 <= value < MAX_NUMBER else None
