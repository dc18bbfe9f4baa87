"""Effects of the router's state machine: what it asks its process to do.

``RouterStateMachine.step()`` returns them in the order in which they are to be carried out.  Their outcome
comes back as events (``quartzrouter.server.events``).  Durations are microseconds.
"""

from typing import NamedTuple


class OpenConnection(NamedTuple):
    """Get a pooled or a new connection for an attempt; ``ConnectionReady`` follows once it is open.

    :param address: host and port of the endpoint.
    """

    request_id: int
    attempt_number: int
    endpoint: str
    address: tuple[str, int]


class SendRequest(NamedTuple):
    """Send a request on the attempt's connection, and read the response.

    :param target: the request target (its path).
    :param headers: name and value of each header, in the order in which they are sent.
    """

    request_id: int
    attempt_number: int
    target: str
    headers: list[tuple[str, str]]
    body: bytes


class CancelAttempt(NamedTuple):
    """Abandon an attempt: close its connection, and send no more events for it."""

    request_id: int
    attempt_number: int


class SendResponse(NamedTuple):
    """Send the final response to a client.

    :param data: headers and body in the output format of a FastCGI responder.
    """

    request_id: int
    data: bytes


class StartHealthCheck(NamedTuple):
    """Check an endpoint's health; ``HealthCheckDone`` follows.

    :param timeout: an endpoint that has not responded by then counts as hanging.
    """

    endpoint: str
    address: tuple[str, int]
    timeout: int


class CloseIdleConnections(NamedTuple):
    """Close the pooled connections to an endpoint."""

    endpoint: str


class FollowDiscovery(NamedTuple):
    """Connect to the discovery service at this address, and resume after the last event received."""

    address: tuple[str, int]


class ExitProcess(NamedTuple):
    """End the process: every accepted request has its response."""


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
