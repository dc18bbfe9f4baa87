"""Events from the simulator, in the terms of the routing package.  Times are whole microseconds."""

from typing import NamedTuple

from quartzrouter.routing.model import AttemptResult, AttemptStatus, Endpoint, Request


class EndpointListReceived(NamedTuple):
    """The endpoint list, or changes to it.

    :param is_snapshot: True if the list is complete, so that endpoints that it lacks are gone.
    """

    endpoints: list[Endpoint]
    is_snapshot: bool


class EndpointListRefused(NamedTuple):
    """The discovery service has refused a request for the endpoint list."""


class RequestReceived(NamedTuple):
    """A client has sent a request."""

    request: Request


class ResponseStarted(NamedTuple):
    """The response to a request has begun to arrive."""

    request_id: int


class AttemptEnded(NamedTuple):
    """An attempt has ended, successfully or not."""

    request_id: int
    result: AttemptResult


class ClientGone(NamedTuple):
    """The client of a request has gone."""

    request_id: int


class ObjectsPurged(NamedTuple):
    """Copies of an object, or of all objects with a tag, were purged; older copies must not be served.

    :param age: microseconds since the purge.
    """

    tag: int | None
    object_key: str | None
    age: int


class HealthCheckDone(NamedTuple):
    """A health check has ended.

    :param load: the load that the endpoint reported, by name; empty if it reported none.
    """

    endpoint: str
    status: AttemptStatus
    load: dict[str, float]


class TimerFired(NamedTuple):
    """A timer that the router had set has fired.

    :param number: the number that was passed to ``RouterDriver.set_timer``.
    """

    number: int


Event = (
    EndpointListReceived
    | EndpointListRefused
    | RequestReceived
    | ResponseStarted
    | AttemptEnded
    | ClientGone
    | ObjectsPurged
    | HealthCheckDone
    | TimerFired
)
