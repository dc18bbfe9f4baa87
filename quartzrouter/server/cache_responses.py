"""Heads of caches' responses: what their header fields say of the copy, the fill and the load.

The names of the platform's header fields stand here and nowhere behind it. No sockets, no state.
"""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

import h11

from quartzrouter.routing.model import FillStatus, LoadReport
from quartzrouter.server.errors import ServerError
from quartzrouter.server.events import ResponseHead

MAX_BODY_SIZE = 240_000  # bytes: no chunk of an object is longer
MAX_FIGURE = 1e9  # of a figure in a header field: what is more is no figure
MAX_LOAD_REPORT_LENGTH = 256  # characters: four values take less
MAX_AGE_HEADER = "X-Fresh-Ms"  # of a request: the oldest copy that will do, in ms

# What a cache says of how it got the copy, in X-Tell.
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

HeaderFields = dict[str, str]  # by name, in lower case
CopyReader = Callable[[HeaderFields], Any]


class MalformedResponseError(ServerError):
    """A response that HTTP allows and the platform's protocol doesn't; ends the connection."""


class CopyIdentity(NamedTuple):
    """What tells the copy in a response from other copies."""

    tag: str
    created: str | None
    length: str | None


def header_fields(response: h11.Response) -> HeaderFields:
    """The header fields of a response by name, in lower case."""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in response.headers}


def copy_identity(fields: HeaderFields) -> CopyIdentity | None:
    """Which copy a response carries; None where it says none."""
    tag = fields.get("x-tag")
    if not tag:
        return None
    return CopyIdentity(tag, fields.get("x-minted"), fields.get("content-length"))


def max_copy_age(request_headers: list[tuple[str, str]]) -> float:
    """How old a copy a request takes, in seconds; infinite where it doesn't say."""
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
    """Reads what the head of a response says.

    :param request_id: of the request.
    :param status: the HTTP status.
    :param read_copy: makes more of the fields than the platform's protocol does, where the response
        names its copy.
    :param with_load_report: whether caches report their load in responses.
    :raises MalformedResponseError: it has no length, one that is too long, or an unknown fill status.
    """
    length = fields.get("content-length")
    is_chunked = "chunked" in fields.get("transfer-encoding", "")
    if status == 200 and length is None and not is_chunked:
        raise MalformedResponseError("an answer without a length")
    if length is not None and int(length) > MAX_BODY_SIZE:
        raise MalformedResponseError(f"an answer of {length} bytes")
    names_copy = bool(fields.get("x-tag")) and fields.get("x-minted", "").isdecimal()
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
    """Reads how a cache got the copy; UNKNOWN where it doesn't say.

    :raises MalformedResponseError: it says what isn't known here.
    """
    text = fields.get("x-tell")
    if text is None:
        return FillStatus.UNKNOWN
    if text not in FILL_STATUSES:
        raise MalformedResponseError(f"X-Tell is {text!r:.40}")
    return FILL_STATUSES[text]


def parse_load_report(fields: HeaderFields) -> LoadReport:
    """Reads a load report as in ``busy:0.61;x1:1.2``, and the ms until the fill source's first byte.

    What can't be used is passed over: a response may do without it.
    """
    load = {}
    for pair in fields.get("x-report", "")[:MAX_LOAD_REPORT_LENGTH].split(";"):
        name, _, value = pair.partition(":")
        load[name.strip()] = parse_figure(value)
    first_byte_ms = parse_figure(fields.get("x-ttfb"))
    time_to_first_byte = None if first_byte_ms is None else int(first_byte_ms * 1000)
    return LoadReport(time_to_first_byte, load.get("busy", load.get("util")), load.get("x1"))


def parse_figure(text: str | None) -> float | None:
    """Reads a figure that a response may do without; None where it can't be used."""
    try:
        value = float(text or "")
    except ValueError:
        return None
    return value if 0 <= value < MAX_FIGURE else None
