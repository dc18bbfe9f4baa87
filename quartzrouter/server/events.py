"""Events of the router's state machine: what has happened outside of it.

The process (``quartzrouter.server.process``) and the connections make them and hand each one to
``RouterStateMachine.step()``.  Times and durations are whole microseconds.

``request_id`` numbers requests within this process; ``attempt_number`` counts the attempts of one
request from 0.  Together they name an attempt, and an event of an attempt that has been cancelled
meanwhile is passed over.
"""

from typing import Any, NamedTuple

from quartzrouter.routing.model import AttemptStatus, Endpoint, FillStatus, LoadReport
from quartzrouter.server.attempt_failure import AttemptFailure


class ClientRequest(NamedTuple):
    """A request as its client sent it.

    :param correlation_id: the client's own name for it; one at a time may be in use.
    :param traffic_class: name of the class that it is routed under.
    :param object_key: the object that it asks for.
    :param chunk: which part of the object.
    :param tag: the purge group of the object, if it is in one.
    :param timeout: microseconds for which the client waits.
    :param idempotency_key: by which caches recognise a repeat of the same operation.
    :param if_none_match: the entity tag of the copy that the client holds, if it holds one.
    :param queueing_time: microseconds between the arrival of its last byte at this machine and its reading.
    :param route_selection: the route and policy that apply to it, in a router under its own configuration.
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
    """A request has come whole, and its client has not taken it back."""

    request_id: int
    client_request: ClientRequest


class ClientGone(NamedTuple):
    """The client of a request has gone, or has stopped waiting."""

    request_id: int


class ConnectionReady(NamedTuple):
    """The connection for an attempt is up; nothing has been written on it."""

    request_id: int
    attempt_number: int


class ResponseHead(NamedTuple):
    """Status and headers of the response to an attempt.

    :param status: the HTTP status code.
    :param content_length: bytes of the body; None where the response doesn't say.
    :param never_ran: the endpoint says that the request had no effect there.
    :param has_copy_headers: it names the copy in the response and the time it was made.
    :param fill_status: where the response says that it came from.
    :param cached_copy: what a router under its own configuration reads of the copy's age.
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
    """An attempt has ended: with the whole of a response, or with a failure.

    :param failure: None where the whole response has come.
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
    """A part of the endpoint list, or all of it.

    :param addresses: host and port by the endpoint's name.
    :param is_snapshot: the list is whole; endpoints that it lacks are gone.
    """

    endpoints: list[Endpoint]
    addresses: dict[str, tuple[str, int]]
    is_snapshot: bool


class PurgeNotice(NamedTuple):
    """All copies that are older than the purge have to go: of one object, or of all objects with a tag.

    :param purged_at: microseconds since the epoch.
    """

    tag: int | None
    object_key: str | None
    purged_at: int


class StatusQueried(NamedTuple):
    """Somebody asks /health whether the router is ready."""

    request_id: int


class TimerFired(NamedTuple):
    """The time that ``RouterStateMachine.due`` named has come."""


class ConfigurationReloaded(NamedTuple):
    """SIGHUP, and a configuration that can be used.

    :param discovery_address: host and port of the discovery service.
    """

    discovery_address: tuple[str, int]


class ShutdownRequested(NamedTuple):
    """SIGTERM."""


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
