"""Effects of the router's state machine: what RouterStateMachine.step() asks its process to do."""

from typing import NamedTuple


class OpenConnection(NamedTuple):
    """Get a connection for a dispatch, and say when it is ready."""

    ticket: int
    hop: int
    name: str
    address: tuple[str, int]


class SendRequest(NamedTuple):
    """Send this on the connection that is ready, and read the answer."""

    ticket: int
    hop: int
    target: str
    fields: list[tuple[str, str]]
    body: bytes


class CancelAttempt(NamedTuple):
    """Give the dispatch up: close its connection; nothing more is heard of it."""

    ticket: int
    hop: int


class SendResponse(NamedTuple):
    """The answer to a client."""

    ticket: int
    data: bytes


class StartHealthCheck(NamedTuple):
    name: str
    address: tuple[str, int]
    timeout: int


class CloseIdleConnections(NamedTuple):
    """Close what is pooled for a cache."""

    name: str


class FollowDiscovery(NamedTuple):
    """Hear the journal service there, from the last number held."""

    address: tuple[str, int]


class ExitProcess(NamedTuple):
    pass


Effect = (
    OpenConnection
    | SendRequest
    | CancelAttempt
    | SendResponse
    | StartHealthCheck
    | CloseIdleConnections
    | FollowDiscovery
    | ExitProcess
)
