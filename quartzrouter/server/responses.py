"""From an outcome to what the client reads: Status, headers, body."""

import math

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


def head(status: int, length: int, **fields: str) -> bytes:
    lines = [f"Status: {status} {REASONS[status]}", "Content-Type: application/octet-stream"]
    lines.append(f"Content-Length: {length}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def ok(body: bytes) -> bytes:
    return head(200, len(body)) + body


def not_modified() -> bytes:
    """The copy that the client holds is the one."""
    return head(200, 0, X_Valid="1")


def overloaded(come_back: int) -> bytes:
    fields = {"X_Pushback_Ms": str(math.ceil(come_back / 1000))} if come_back else {}
    return head(503, 0, **fields)


def failed() -> bytes:
    return head(502, 0)


def invalid(status: int, why: str) -> bytes:
    """A req that can't be used; why is for whoever wrote it."""
    body = why.encode()
    return head(status, len(body)) + body


def health(well: bool) -> bytes:
    return head(200 if well else 503, 0)
