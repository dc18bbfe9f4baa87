"""Effects of the router's state machine: what it asks its process to do.

``RouterStateMachine.step()`` returns them in the order in which they are to be carried out.  What
becomes of them comes back as events (``quartzrouter.server.events``).  Durations are microseconds.
"""

from typing import NamedTuple


class OpenConnection(NamedTuple):
    """Get a connection for an attempt, and answer with ``ConnectionReady``.

    :param address: host and port of the endpoint.
    """

    request_id: int
    attempt_number: int
    endpoint: str
    address: tuple[str, int]


class SendRequest(NamedTuple):
    """Send a request on the connection that is ready, and read the response.

    :param target: path of the request.
    :param headers: name and value of each header, in the order in which they are sent.
    """

    request_id: int
    attempt_number: int
    target: str
    headers: list[tuple[str, str]]
    body: bytes


class CancelAttempt(NamedTuple):
    """Give an attempt up: close its connection; no event of it follows."""

    request_id: int
    attempt_number: int


class SendResponse(NamedTuple):
    """Send the final response to a client.

    :param data: head and body, as the client's server reads them from a FastCGI responder.
    """

    request_id: int
    data: bytes


class StartHealthCheck(NamedTuple):
    """Check an endpoint, and answer with ``HealthCheckDone``.

    :param timeout: an endpoint that has not answered by then counts as hanging.
    """

    endpoint: str
    address: tuple[str, int]
    timeout: int


class CloseIdleConnections(NamedTuple):
    """Close the pooled connections of an endpoint."""

    endpoint: str


class FollowDiscovery(NamedTuple):
    """Follow the discovery service at this address, from the last event held."""

    address: tuple[str, int]


class ExitProcess(NamedTuple):
    """End the process: each request that was accepted has had its response."""


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
