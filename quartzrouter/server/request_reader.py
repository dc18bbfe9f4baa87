"""From FastCGI records to a request: limits, the fields that clients send, and what is wrong with them.

The names of the platform's header fields stand here and nowhere behind it.
"""

import re
from collections.abc import Callable

from quartzrouter.server import fastcgi
from quartzrouter.server.errors import ServerError
from quartzrouter.server.events import ClientRequest

MAX_PARAMS_SIZE = 1 << 14  # bytes
MAX_BODY_SIZE = 48_000  # bytes
MAX_DEADLINE_MS = 3_600_000  # an hour; a longer one is taken for a mistake
MAX_TAG = 255  # a purge names a group of objects in one byte
HEALTH_PATH = "/health"

TOKEN_PATTERN = re.compile(r"[0-9a-f]{16}", re.ASCII | re.IGNORECASE)
KEY_PATTERN = re.compile(r"[0-9a-f]{32}", re.ASCII | re.IGNORECASE)
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}", re.ASCII)

# Makes a request of a client's parameters; raises InvalidRequestError.
ParamsParser = Callable[[dict[str, str]], ClientRequest]


class RequestMemoryError(ServerError):
    """Requests of all clients hold as many bytes as they may; this one is rejected with 503."""


class InvalidRequestError(ServerError):
    """A request that gets its final response at once.

    :param reason: what is wrong with it, for whoever wrote the client.
    :param status: the HTTP status of the response.
    """

    def __init__(self, reason: str, status: int = 400):
        super().__init__(reason)
        self.status = status


class IncomingRequest:
    """A request of which records are still coming.

    :param keep_connection: its client wants the connection to outlive it.
    :param started_at: s of the loop's clock.
    """

    def __init__(self, keep_connection: bool, started_at: float):
        self.keep_connection = keep_connection
        self.started_at = started_at
        self.is_complete = False
        self.request: ClientRequest | None = None  # once the parameters are there; None for a health query
        self._params = bytearray()
        self._body = bytearray()
        self._content_length: int | None = None

    @property
    def size(self) -> int:
        """Bytes that it holds."""
        return len(self._params) + len(self._body)

    @property
    def body(self) -> bytes:
        """The body, as far as it has come."""
        return bytes(self._body)

    def add(self, record_type: int, content: bytes, free_memory: int) -> None:
        """Adds a piece of its parameters or of its body.

        :param free_memory: bytes that requests may still hold.
        :raises InvalidRequestError: it is longer than a request may be.
        :raises RequestMemoryError: there is no room for the piece.
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
        """Reads the parameters, which are all there; a health query is complete with them.

        :raises InvalidRequestError: a field is missing or can't be used.
        :raises fastcgi.ProtocolError: they are no name-value pairs.
        """
        params = fastcgi.decode_pairs(bytes(self._params))
        self._content_length = parse_content_length(params)
        is_health_query = params.get("SCRIPT_NAME") == HEALTH_PATH
        self.request = None if is_health_query else parse(params)
        self.is_complete = is_health_query
        self._params.clear()

    def end_body(self) -> None:
        """Notes that the body is all there; the request is complete with it.

        :raises InvalidRequestError: its length isn't the announced one, or the parameters have no end.
        """
        if self.request is None:
            raise InvalidRequestError("parameters without an end")
        if self._content_length not in (None, len(self._body)):
            raise InvalidRequestError(
                f"{len(self._body)} bytes where CONTENT_LENGTH is {self._content_length}"
            )
        self.is_complete = True


def parse_content_length(params: dict[str, str]) -> int | None:
    """Reads the announced length of the body, in bytes.

    :returns: None where it isn't announced.
    :raises InvalidRequestError: it is no number, or more than a body may have; so a long body is refused
        before any of it has come.
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
    """Reads a request under the platform's protocol.

    :param params: CGI parameters by name.
    :param requires_key: whether requests of a traffic class must carry a key; None where there is no
        such class.
    :raises InvalidRequestError: a field is missing or can't be used.
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
    """The value of a header field, which must be there and match the pattern whole."""
    value = params.get(_cgi_name(name), "")
    if not pattern.fullmatch(value):
        raise InvalidRequestError(f"{name} is {value!r:.40}")
    return value


def _optional_header(params: dict[str, str], name: str, pattern: re.Pattern[str]) -> str | None:
    """As ``_header``, but None where the field is missing or empty."""
    return _header(params, name, pattern) if params.get(_cgi_name(name)) else None


def _cgi_name(header_name: str) -> str:
    return "HTTP_" + header_name.upper().replace("-", "_")
