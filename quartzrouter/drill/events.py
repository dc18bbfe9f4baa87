"""What the bench tells a router, in the terms of the routing package.  Times are whole microseconds."""

from typing import NamedTuple

from quartzrouter.routing.model import AttemptResult, AttemptStatus, Endpoint, Request


class EndpointListReceived(NamedTuple):
    """The endpoint list, or what has changed in it.

    :param is_snapshot: the list is whole; endpoints that it lacks are gone.
    """

    endpoints: list[Endpoint]
    is_snapshot: bool


class EndpointListRefused(NamedTuple):
    """The discovery service was asked for the endpoint list and gave none."""


class RequestReceived(NamedTuple):
    """A client has sent a request."""

    request: Request


class ResponseStarted(NamedTuple):
    """The response to a request has begun to arrive."""

    request_id: int


class AttemptEnded(NamedTuple):
    """An attempt has ended, in whatever way."""

    request_id: int
    result: AttemptResult


class ClientGone(NamedTuple):
    """The client of a request has gone."""

    request_id: int


class ObjectsPurged(NamedTuple):
    """Copies of an object, or of all objects with a tag, have to be younger than this.

    :param age: microseconds since the purge.
    """

    tag: int | None
    object_key: str | None
    age: int


class HealthCheckDone(NamedTuple):
    """A health check has ended.

    :param load: what the endpoint said of its load, by name; empty if it said nothing.
    """

    endpoint: str
    status: AttemptStatus
    load: dict[str, float]


class TimerFired(NamedTuple):
    """A timer that the router had set has fired.

    :param number: the one that ``RouterDriver.set_timer`` was given.
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
