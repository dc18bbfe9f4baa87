"""Assembles requests from the content of FastCGI records, checks their limits, and parses their parameters.

Translates the platform's names of the header fields to the router's.
"""

import re
from collections.abc import Callable

from quartzrouter.server import fastcgi
from quartzrouter.server.errors import ServerError
from quartzrouter.server.events import ClientRequest

MAX_PARAMS_SIZE = 1 << 14  # bytes of parameters in one request
MAX_BODY_SIZE = 48_000  # bytes in the body of one request
REQUEST_OVERHEAD = 1 << 10  # bytes that each request takes beside its parameters and body
MAX_DEADLINE_MS = 3_600_000  # one hour; a longer deadline is assumed to be a mistake
MAX_TAG = 255  # purges by tag encode the tag in one byte
HEALTH_PATH = "/health"

TOKEN_PATTERN = re.compile(r"[0-9a-f]{16}", re.ASCII | re.IGNORECASE)
KEY_PATTERN = re.compile(r"[0-9a-f]{32}", re.ASCII | re.IGNORECASE)
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}", re.ASCII)

# Parses the parameters of a request; raises InvalidRequestError.
ParamsParser = Callable[[dict[str, str]], ClientRequest]


class RequestMemoryError(ServerError):
    """All clients' requests together hold as many bytes as allowed; the request is rejected with 503."""


class InvalidRequestError(ServerError):
    """A request is invalid, and is rejected at once.

    :param reason: what is wrong; sent to the client as the body of the response.
    :param status: the HTTP status of the response.
    """

    def __init__(self, reason: str, status: int = 400):
        super().__init__(reason)
        self.status = status


class IncomingRequest:
    """A request whose records are still arriving.

    :param keep_connection: True if its client wants to keep the connection open after the request.
    :param started_at: when its first record arrived, in s of the loop's clock.
    """

    def __init__(self, keep_connection: bool, started_at: float):
        self.keep_connection = keep_connection
        self.started_at = started_at
        self.is_complete = False
        self.request: ClientRequest | None = None  # set by ``end_params``; None for a health query
        self._params = bytearray()
        self._body = bytearray()
        self._content_length: int | None = None

    @property
    def size(self) -> int:
        """The number of bytes that the request holds."""
        return REQUEST_OVERHEAD + len(self._params) + len(self._body)

    @property
    def body(self) -> bytes:
        """The part of the body that has arrived so far."""
        return bytes(self._body)

    def add(self, record_type: int, content: bytes, free_memory: int) -> None:
        """Adds a piece of the parameters or of the body.

        :param free_memory: bytes that all clients' requests may still add.
        :raises InvalidRequestError: if the parameters or the body become too long.
        :raises RequestMemoryError: if there is no memory for the piece.
        """
        if record_type == fastcgi.RecordType.PARAMS:
            buffer = self._params
            max_size = MAX_PARAMS_SIZE
        else:
            buffer = self._body
            max_size = MAX_BODY_SIZE
        if len(buffer) + len(content) > max_size:
            raise InvalidRequestError("too long", 413)
        if len(content) > free_memory:
            raise RequestMemoryError
        buffer += content

    def end_params(self, parse: ParamsParser) -> None:
        """Parses the parameters, which have all arrived; a health query is then complete.

        :raises InvalidRequestError: if a field is missing or invalid, or there are too many.
        :raises fastcgi.ProtocolError: if they are not name-value pairs.
        """
        try:
            params = fastcgi.decode_pairs(bytes(self._params))
        except fastcgi.TooManyPairsError as error:
            raise InvalidRequestError(str(error), 431) from None
        self._content_length = parse_content_length(params)
        is_health_query = params.get("SCRIPT_NAME") == HEALTH_PATH
        self.request = None if is_health_query else parse(params)
        self.is_complete = is_health_query
        self._params.clear()

    def end_body(self) -> None:
        """Marks the request as complete, as its whole body has arrived.

        :raises InvalidRequestError: if the body's length differs from CONTENT_LENGTH, or the parameters have
            not ended.
        """
        if self.request is None:
            raise InvalidRequestError("parameters without an end")
        if self._content_length not in (None, len(self._body)):
            raise InvalidRequestError(
                f"{len(self._body)} bytes where CONTENT_LENGTH is {self._content_length}"
            )
        self.is_complete = True


def parse_content_length(params: dict[str, str]) -> int | None:
    """Parses CONTENT_LENGTH, the length of the body in bytes.

    :returns: None if it is missing or empty.
    :raises InvalidRequestError: if it isn't a number, or exceeds the limit; so a request with a long body is
        rejected before the body arrives.
    """
    text = params.get("CONTENT_LENGTH", "")
    if not text:
        return None
    if not NUMBER_PATTERN.fullmatch(text):
        raise InvalidRequestError(f"CONTENT_LENGTH is {text!r:.40}")
    if int(text) > MAX_BODY_SIZE:
        raise InvalidRequestError(f"CONTENT_LENGTH is {text}", 413)
    return int(text)


def parse_request(params: dict[str, str], requires_key: Callable[[str], bool | None]) -> ClientRequest:
    """Parses the parameters of a request in the platform's protocol.

    :param params: CGI parameters by name.
    :param requires_key: returns True if requests of a traffic class must carry an idempotency key; None if
        there is no such class.
    :raises InvalidRequestError: if a field is missing or invalid.
    """
    path, _, traffic_class = params.get("SCRIPT_NAME", "").rpartition("/")
    key_required = requires_key(traffic_class) if path == "/rpc" else None
    if key_required is None:
        raise InvalidRequestError("no such vhost", 404)
    deadline_ms = int(_header(params, "X-Deadline-Ms", NUMBER_PATTERN))
    tag = int(_header(params, "X-Tag", NUMBER_PATTERN))
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise InvalidRequestError(f"X-Deadline-Ms is {deadline_ms}")
    if tag > MAX_TAG:
        raise InvalidRequestError(f"X-Tag is {tag}")
    read_key = _header if key_required else _optional_header
    return ClientRequest(
        correlation_id=_header(params, "X-Correlation-Id", TOKEN_PATTERN),
        traffic_class=traffic_class,
        object_key=_header(params, "X-Subject", TOKEN_PATTERN),
        chunk=int(_header(params, "X-Chunk", NUMBER_PATTERN)),
        tag=tag,
        timeout=deadline_ms * 1000,
        idempotency_key=read_key(params, "X-Operation-Key", KEY_PATTERN),
        if_none_match=_optional_header(params, "X-Known", TOKEN_PATTERN),
    )


def _header(params: dict[str, str], name: str, pattern: re.Pattern[str]) -> str:
    """Returns the value of a header field; raises InvalidRequestError unless it matches the whole pattern."""
    value = params.get(_cgi_name(name), "")
    if not pattern.fullmatch(value):
        raise InvalidRequestError(f"{name} is {value!r:.40}")
    return value


def _optional_header(params: dict[str, str], name: str, pattern: re.Pattern[str]) -> str | None:
    """Returns the value of a header field as ``_header`` does, but None if it is missing or empty."""
    return _header(params, name, pattern) if params.get(_cgi_name(name)) else None


def _cgi_name(header_name: str) -> str:
    return "HTTP_" + header_name.upper().replace("-", "_")
