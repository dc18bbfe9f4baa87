"""Events of the router's state machine: what has happened outside of it.

The process (``quartzrouter.server.process``) and the connections create them, and the process passes each
one to ``RouterStateMachine.step()``.  Times and durations are whole microseconds.

``request_id`` numbers requests within this process; ``attempt_number`` counts the attempts of one
request from 0.  Together they identify an attempt.  Events of an attempt that has been cancelled meanwhile
are ignored.
"""

from typing import Any, NamedTuple

from quartzrouter.routing.model import AttemptStatus, Endpoint, FillStatus, LoadReport
from quartzrouter.server.attempt_failure import AttemptFailure


class ClientRequest(NamedTuple):
    """A request as its client sent it.

    :param correlation_id: the client's id for the request; unique among requests without a response.
    :param traffic_class: name of the class that determines how it is routed.
    :param object_key: the requested object.
    :param chunk: number of the requested part of the object.
    :param tag: the purge group of the object, if it is in one.
    :param timeout: microseconds for which the client waits.
    :param idempotency_key: identifies the operation, so that caches recognise a repeated request.
    :param if_none_match: the entity tag of the client's copy, if it has one.
    :param queueing_time: microseconds from the arrival of the last byte at this machine until it was read.
    :param route_selection: the route and policy that apply, in a standalone router.
    """

    correlation_id: str
    traffic_class: str
    object_key: str
    chunk: int
    tag: int | None
    timeout: int
    idempotency_key: str | None = None
    if_none_match: str | None = None
    body: bytes = b""
    queueing_time: int = 0
    route_selection: Any = None


class RequestReceived(NamedTuple):
    """A complete request has arrived, and its client has not aborted it."""

    request_id: int
    client_request: ClientRequest


class ClientGone(NamedTuple):
    """The client of a request has disconnected, or has stopped waiting."""

    request_id: int


class ConnectionReady(NamedTuple):
    """The connection for an attempt is open; nothing of the request has been written to it."""

    request_id: int
    attempt_number: int


class ResponseHead(NamedTuple):
    """Status and headers of the response to an attempt.

    :param status: the HTTP status code.
    :param content_length: size of the body in bytes; None if the response doesn't tell it.
    :param never_ran: the endpoint reports that the request had no effect there.
    :param has_copy_headers: the headers identify the copy and the time at which it was made.
    :param fill_status: where the endpoint got the object from, or which side failed, if the response tells.
    :param cached_copy: what a standalone router reads about the copy's age.
    """

    request_id: int
    attempt_number: int
    status: int
    content_length: int | None
    never_ran: bool
    has_copy_headers: bool
    fill_status: FillStatus
    cached_copy: Any = None
    load_report: LoadReport = LoadReport()


class AttemptEnded(NamedTuple):
    """An attempt has ended with a complete response or with a failure.

    :param failure: None if the response is complete.
    """

    request_id: int
    attempt_number: int
    failure: AttemptFailure | None = None
    body: bytes = b""


class HealthCheckDone(NamedTuple):
    """A health check has ended."""

    endpoint: str
    status: AttemptStatus


class EndpointUpdate(NamedTuple):
    """Changed endpoints, or a complete endpoint list.

    :param addresses: host and port by the endpoint's name.
    :param is_snapshot: True for a complete list; endpoints that it doesn't contain are gone.
    """

    endpoints: list[Endpoint]
    addresses: dict[str, tuple[str, int]]
    is_snapshot: bool


class PurgeNotice(NamedTuple):
    """A purge of one object, or of all objects with a tag: copies older than it may not be served.

    :param purged_at: microseconds since the epoch.
    """

    tag: int | None
    object_key: str | None
    purged_at: int


class StatusQueried(NamedTuple):
    """A request to /health asks if the router is ready."""

    request_id: int


class TimerFired(NamedTuple):
    """The time that ``RouterStateMachine.due`` returned has come."""


class ConfigurationReloaded(NamedTuple):
    """SIGHUP was received, and the configuration is valid.

    :param discovery_address: host and port of the discovery service.
    """

    discovery_address: tuple[str, int]


class ShutdownRequested(NamedTuple):
    """SIGTERM was received."""


Event = (
    RequestReceived
    | ClientGone
    | ConnectionReady
    | ResponseHead
    | AttemptEnded
    | HealthCheckDone
    | EndpointUpdate
    | PurgeNotice
    | StatusQueried
    | TimerFired
    | ConfigurationReloaded
    | ShutdownRequested
)
