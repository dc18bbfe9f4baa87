"""Encodes responses to clients as a FastCGI responder writes them: ``Status``, headers, empty line, body.

Two headers belong to the platform's protocol: ``X-Valid: 1`` says that the copy which the client holds is
still valid, and ``X-Pushback-Ms`` gives the milliseconds after which the client may retry.
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
    """Encodes the head of a response, including the empty line.

    :param status: one of ``REASONS``.
    :param headers: names and values of additional headers.
    """
    lines = [
        f"Status: {status} {REASONS[status]}",
        "Content-Type: application/octet-stream",
        f"Content-Length: {content_length}",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def ok(body: bytes) -> bytes:
    """Encodes a response with the requested object."""
    return head(HTTP_OK, len(body)) + body


def not_modified() -> bytes:
    """Encodes the response that the client's copy is still valid."""
    return head(HTTP_OK, 0, (("X-Valid", "1"),))


def overloaded(retry_after: int) -> bytes:
    """Encodes the response that there is no capacity for the request.

    :param retry_after: microseconds after which the client may retry, rounded up to whole milliseconds;
        0 names no time.
    """
    if not retry_after:
        return head(HTTP_SERVICE_UNAVAILABLE, 0)
    milliseconds = math.ceil(retry_after / MICROSECONDS_PER_MS)
    return head(HTTP_SERVICE_UNAVAILABLE, 0, (("X-Pushback-Ms", str(milliseconds)),))


def failed() -> bytes:
    """Encodes the response that the request has failed; it may have been executed."""
    return head(HTTP_BAD_GATEWAY, 0)


def invalid(status: int, reason: str) -> bytes:
    """Encodes the response that the request is invalid.

    :param reason: what is wrong with it, for the developer of the client.
    """
    body = reason.encode()
    return head(status, len(body)) + body


def health(is_ready: bool) -> bytes:
    """Encodes the answer to a health query: 200 while the router accepts requests, else 503."""
    return head(HTTP_OK if is_ready else HTTP_SERVICE_UNAVAILABLE, 0)
