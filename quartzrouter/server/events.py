"""Events of the router's state machine: what has come about outside, for RouterStateMachine.step()."""

from typing import Any, NamedTuple

from quartzrouter.routing.model import AttemptStatus, Endpoint, FillStatus, LoadReport
from quartzrouter.server.attempt_failure import Failure


class ClientRequest(NamedTuple):
    """A req as the client sent it."""

    id: str
    vhost: str
    obj: str
    part: int
    group: int | None
    timeout: int  # us
    key: str | None = None
    held: str | None = None  # the tag of the client's copy
    body: bytes = b""
    waited: int = 0  # us between its last byte's arrival at this machine and its reading
    ruling: Any = None  # what a plan says of it, where there is one


class EndpointUpdate(NamedTuple):
    """Lines of the cache list, and the addresses of the caches by id."""

    lines: list[Endpoint]
    addresses: dict[str, tuple[str, int]]
    whole: bool


class PurgeNotice(NamedTuple):
    group: int | None
    obj: str | None
    when: int  # us


class RequestReceived(NamedTuple):
    ticket: int
    call: ClientRequest


class ClientGone(NamedTuple):
    """The client has gone, or has stopped waiting."""

    ticket: int


class ConnectionReady(NamedTuple):
    """A connection is there; the next byte would be the first."""

    ticket: int
    hop: int


class ResponseHead(NamedTuple):
    ticket: int
    hop: int
    status: int
    length: int | None
    never_ran: bool
    marked: bool  # with the tag and the time of the copy
    told: FillStatus
    copy: Any = None  # what else an installation of our own reads of it
    report: LoadReport = LoadReport()


class AttemptEnded(NamedTuple):
    """The dispatch has ended: with the whole of an answer, or with a failure."""

    ticket: int
    hop: int
    failure: Failure | None = None
    body: bytes = b""


class HealthCheckDone(NamedTuple):
    name: str
    ending: AttemptStatus


class StatusQueried(NamedTuple):
    """/health."""

    ticket: int


class TimerFired(NamedTuple):
    pass


class ConfigurationReloaded(NamedTuple):
    """SIGHUP, and a configuration that can be used: where the journal service now is."""

    journal: tuple[str, int]


class ShutdownRequested(NamedTuple):
    """SIGTERM."""


Event = (
    RequestReceived
    | ClientGone
    | ConnectionReady
    | ResponseHead
    | AttemptEnded
    | HealthCheckDone
    | StatusQueried
    | TimerFired
    | ConfigurationReloaded
    | ShutdownRequested
    | EndpointUpdate
    | PurgeNotice
)
