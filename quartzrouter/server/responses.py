"""Responses to clients, as a FastCGI responder writes them: ``Status``, headers, an empty line, the body.

The headers of the platform's protocol stand here and nowhere behind it: ``X-Valid: 1`` says that the copy
which the client holds is still good, ``X-Pushback-Ms`` after how many milliseconds it may try again.
"""

import math

MICROSECONDS_PER_MS = 1_000

HTTP_OK = 200
HTTP_BAD_GATEWAY = 502
HTTP_SERVICE_UNAVAILABLE = 503

REASONS = {
    HTTP_OK: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    HTTP_BAD_GATEWAY: "Bad Gateway",
    HTTP_SERVICE_UNAVAILABLE: "Service Unavailable",
}


def head(status: int, content_length: int, headers: tuple[tuple[str, str], ...] = ()) -> bytes:
    """The head of a response, up to and with the empty line.

    :param status: one of ``REASONS``.
    :param headers: name and value of those beside the usual ones.
    """
    lines = [
        f"Status: {status} {REASONS[status]}",
        "Content-Type: application/octet-stream",
        f"Content-Length: {content_length}",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def ok(body: bytes) -> bytes:
    """The object that was asked for."""
    return head(HTTP_OK, len(body)) + body


def not_modified() -> bytes:
    """The copy that the client holds is still good."""
    return head(HTTP_OK, 0, (("X-Valid", "1"),))


def overloaded(retry_after: int) -> bytes:
    """There is no capacity for the request.

    :param retry_after: microseconds after which the client may try again, rounded up to whole
        milliseconds; 0 names no time.
    """
    if not retry_after:
        return head(HTTP_SERVICE_UNAVAILABLE, 0)
    milliseconds = math.ceil(retry_after / MICROSECONDS_PER_MS)
    return head(HTTP_SERVICE_UNAVAILABLE, 0, (("X-Pushback-Ms", str(milliseconds)),))


def failed() -> bytes:
    """The request has failed, and may have run."""
    return head(HTTP_BAD_GATEWAY, 0)


def invalid(status: int, reason: str) -> bytes:
    """The request can't be used.

    :param reason: what is wrong with it, for whoever wrote the client.
    """
    body = reason.encode()
    return head(status, len(body)) + body


def health(is_ready: bool) -> bytes:
    """The answer to a health query: 200 while the router takes requests, else 503."""
    return head(HTTP_OK if is_ready else HTTP_SERVICE_UNAVAILABLE, 0)
