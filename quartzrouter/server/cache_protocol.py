"""The platform's protocol between routers and caches: requests, and the meaning of status codes.

Encodes a routing decision as the target and headers of a request, and maps the status code of a response to
the status of the attempt.  The headers, as the platform specifies them:

=============== ======================================================================
X-Hop-Id        the client's correlation id, the same for each attempt
X-Budget        milliseconds that the cache has for the whole response
X-Replay-Key    the idempotency key
X-Parent        the endpoint that the cache fills a miss from, if that is not the cache itself
X-Rank          the priority with which the object is kept; if absent, it isn't kept
X-Fresh-Ms      the oldest copy that may be served, in milliseconds of age
X-Opts          "ride": the request may be collapsed with others for the same object;
                "update": a stale copy is revalidated in the background; both are joined by "+"
X-Have          the entity tag of the copy that the client holds
=============== ======================================================================
"""

from quartzrouter.routing.model import AttemptStatus, Forward
from quartzrouter.server.events import ClientRequest, ResponseHead

MICROSECONDS_PER_MS = 1_000

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_SERVICE_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504

OPTION_COLLAPSE = "ride"
OPTION_REVALIDATE = "update"


def request_target(client_request: ClientRequest) -> str:
    """Returns the path under which a cache has the chunk that a request asks for."""
    return f"/x/{client_request.traffic_class}/{client_request.object_key}/{client_request.chunk}"


def request_headers(
    client_request: ClientRequest, decision: Forward, time_left: int
) -> list[tuple[str, str]]:
    """Returns the headers of an attempt, in the order in which they are sent.

    :param time_left: microseconds until the attempt times out.
    """
    headers = [
        ("X-Hop-Id", client_request.correlation_id),
        ("X-Budget", _milliseconds(time_left)),
    ]
    if client_request.idempotency_key:
        headers.append(("X-Replay-Key", client_request.idempotency_key))
    if decision.fill_source != decision.endpoint:
        headers.append(("X-Parent", decision.fill_source))
    if decision.cache_priority:
        headers.append(("X-Rank", str(decision.cache_priority)))
    if decision.max_age:
        headers.append(("X-Fresh-Ms", _milliseconds(decision.max_age)))
    options = []
    if decision.allow_collapsing:
        options.append(OPTION_COLLAPSE)
    if decision.revalidate_in_background:
        options.append(OPTION_REVALIDATE)
    if options:
        headers.append(("X-Opts", "+".join(options)))
    if client_request.if_none_match:
        headers.append(("X-Have", client_request.if_none_match))
    return headers


def attempt_status(head: ResponseHead) -> AttemptStatus:
    """Returns the status of an attempt that has a complete response."""
    if head.status in (HTTP_OK, HTTP_NOT_MODIFIED):
        return AttemptStatus.SUCCEEDED
    if head.status == HTTP_NOT_FOUND:
        return AttemptStatus.NOT_FOUND
    if head.status == HTTP_SERVICE_UNAVAILABLE and head.never_ran:
        return AttemptStatus.OVERLOADED
    if head.status == HTTP_GATEWAY_TIMEOUT and head.never_ran:
        return AttemptStatus.NOT_SENT
    return AttemptStatus.ERROR


def _milliseconds(duration: int) -> str:
    """Encodes microseconds as milliseconds, rounded down, at least 1: 0 would mean that there is no limit."""
    return str(max(1, duration // MICROSECONDS_PER_MS))
