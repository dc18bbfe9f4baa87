"""The simulator's wire format: decodes lines to events, and encodes actions to lines.

The only module that knows the field names of the wire format.  A batch is a line ``CLOCK`` with the simulated
time, lines with events, each for one router, and a line ``GO``; it is answered with lines of actions and a
line ``FINISHED``.  Unknown fields and events of an unknown kind are ignored.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

import orjson

from quartzrouter.deployment_settings import DeploymentSettings
from quartzrouter.drill.events import (
    AttemptEnded,
    ClientGone,
    EndpointListReceived,
    EndpointListRefused,
    Event,
    HealthCheckDone,
    ObjectsPurged,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from quartzrouter.routing.model import (
    AttemptResult,
    AttemptStatus,
    Endpoint,
    EndpointState,
    FillStatus,
    Forward,
    LoadReport,
    Request,
)

OPEN_INSTANCE = "OPEN_INSTANCE"  # starts a router
STOP = "STOP"  # stops a router

ENDPOINT_STATES = {
    "Running": EndpointState.UP,
    "Stopping": EndpointState.DRAINING,
    "Deleted": EndpointState.GONE,
}
ATTEMPT_STATUSES = {
    "success": AttemptStatus.SUCCEEDED,
    "failure": AttemptStatus.ERROR,
    "overloaded": AttemptStatus.OVERLOADED,
    "timed_out": AttemptStatus.TIMED_OUT,
    "unreachable": AttemptStatus.CONNECTION_REFUSED,
    "broken": AttemptStatus.CONNECTION_LOST,
    "withdrawn": AttemptStatus.CANCELLED,
    "void": AttemptStatus.NOT_SENT,
    "absent": AttemptStatus.NOT_FOUND,
}
LOAD_FIELDS = {
    "rif": "outstanding",
    "q": "queued",
    "busy": "busy",
    "lat_ms": "time",
    "rate": "rate",
    "fail_rate": "errors",
}
COLLAPSE_FLAG = 1  # in "manner": the cache may collapse the request with others for the same object
REVALIDATE_FLAG = 8  # in "manner": the cache revalidates a stale copy in the background


class MalformedEventError(ValueError):
    """A line or an event is invalid; ends the adapter, as the simulator can't continue without an answer."""


def required(event: dict[str, Any], key: str, *kinds: type) -> Any:
    """Returns the value of a field that an event must have.

    :param kinds: the types that it may have; any type if none is given.
    :raises MalformedEventError: if it is missing or of another type; a bool doesn't count as a number.
    """
    value = event.get(key)
    if value is None:
        raise MalformedEventError(f"{key} is missing")
    has_wrong_type = bool(kinds) and not isinstance(value, kinds)
    is_unexpected_bool = isinstance(value, bool) and bool not in kinds
    if has_wrong_type or is_unexpected_bool:
        raise MalformedEventError(f"{key} is {value!r}")
    return value


# -- batches ---------------------------------------------------------------------------------------


class Batch(NamedTuple):
    """The events of one point of the simulated time.

    :param now: that time in microseconds.
    """

    serial: int
    now: int
    events: list[dict[str, Any]]


class BatchReader:
    """Reads batches from lines.

    :param lines: lines of JSON; empty lines are skipped.
    """

    def __init__(self, lines: Iterable[bytes]):
        self.lines = lines
        self.serial: int | None = None  # of the batch that is being read or answered

    def __iter__(self) -> Iterator[Batch]:
        """Yields the batches in order.

        :raises MalformedEventError: if a line is invalid or out of place.
        """
        now = 0
        events: list[dict[str, Any]] = []
        for line in self.lines:
            if not line.strip():
                continue
            message, kind = _parse(line)
            if kind == "CLOCK":
                if self.serial is not None:
                    raise MalformedEventError("CLOCK inside a batch: its GO is missing")
                self.serial, now = required(message, "serial", int), required(message, "sim_time_us", int)
            elif self.serial is None:
                raise MalformedEventError(f"{kind} outside a batch: its CLOCK is missing")
            elif kind == "GO":
                yield Batch(self.serial, now, events)
                self.serial, events = None, []
            else:
                events.append(message)
        if self.serial is not None:
            raise MalformedEventError("input ended inside a batch: its GO is missing")


def _parse(line: bytes) -> tuple[dict[str, Any], str]:
    """Returns the message in a line, and its kind."""
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise MalformedEventError(f"a line is not JSON: {error}") from None
    kind = message.get("t") if isinstance(message, dict) else None
    if not isinstance(kind, str):
        raise MalformedEventError("a line has no t")
    return message, kind


def encode_batch(actions: list[dict[str, Any]], serial: int) -> bytes:
    """Encodes the lines that answer a batch."""
    lines = [*actions, {"t": "FINISHED", "serial": serial}]
    return b"".join(orjson.dumps(line) + b"\n" for line in lines)


# -- events ----------------------------------------------------------------------------------------


def event_kind(event: dict[str, Any]) -> str:
    """Returns the kind of an event, as named in the wire format."""
    return event["t"]


def event_router(event: dict[str, Any]) -> str:
    """Returns the name of the router that an event is for."""
    return required(event, "router", str)


def instance_settings(event: dict[str, Any]) -> DeploymentSettings:
    """Decodes the settings with which a router starts."""
    return DeploymentSettings(required(event, "setup", dict), required(event, "prng", int))


def decode_event(event: dict[str, Any], settings: DeploymentSettings) -> Event | None:
    """Decodes an event for a router.

    :returns: None if the kind of the event is unknown.
    :raises MalformedEventError: if a field is missing or of the wrong type.
    """
    decode = DECODERS.get(event_kind(event))
    return decode(event, settings) if decode else None


def _endpoint_list(event: dict[str, Any], settings: DeploymentSettings) -> Event:
    how = required(event, "how", str)
    if how == "refused":
        return EndpointListRefused()
    endpoints = [endpoint(entry, settings) for entry in required(event, "nodes_list", list)]
    return EndpointListReceived(endpoints, is_snapshot=how != "changes")


def endpoint(entry: dict[str, Any], settings: DeploymentSettings) -> Endpoint:
    """Decodes one endpoint of a list; an endpoint with an unknown condition counts as draining."""
    machine_type = entry.get("model") or ""
    return Endpoint(
        name=required(entry, "cache", str),
        location=entry.get("campus") or "",
        tier=settings.tier(machine_type),
        machine_type=machine_type,
        cell=entry.get("pack") or 0,
        state=ENDPOINT_STATES.get(required(entry, "condition", str), EndpointState.DRAINING),
        capacity_rating=entry.get("rating") or 1.0,
        started_at=entry.get("came_up_us") or 0,
    )


def request(event: dict[str, Any]) -> Request:
    """Decodes a client's request."""
    return Request(
        id=required(event, "op_id", int),
        traffic_class=required(event, "band", str),
        object_key=required(event, "object", str),
        tag=event.get("tag"),
        chunk=event.get("piece") or 0,
        size_kb=event.get("size_kb") or 0.0,
        timeout=required(event, "time_budget_us", int),
        tenant=event.get("project") or None,
    )


def _request_received(event: dict[str, Any], settings: DeploymentSettings) -> Event:
    return RequestReceived(request(event))


def _attempt_ended(event: dict[str, Any], settings: DeploymentSettings) -> Event:
    return AttemptEnded(required(event, "op_id", int), attempt_result(event, settings.load_report_fields))


def _response_started(event: dict[str, Any], settings: DeploymentSettings) -> Event:
    return ResponseStarted(required(event, "op_id", int))


def _client_gone(event: dict[str, Any], settings: DeploymentSettings) -> Event:
    return ClientGone(required(event, "op_id", int))


def _objects_purged(event: dict[str, Any], settings: DeploymentSettings) -> Event:
    age = required(event, "oldness_us", int)
    return ObjectsPurged(event.get("group"), event.get("object") or None, age)


def _health_check_done(event: dict[str, Any], settings: DeploymentSettings) -> Event:
    name, status = required(event, "cache", str), _attempt_status(event)
    return HealthCheckDone(name, status, _load(event.get("load"), settings.load_report_fields))


def _timer_fired(event: dict[str, Any], settings: DeploymentSettings) -> Event:
    return TimerFired(required(event, "tag", int))


DECODERS: dict[str, Callable[[dict[str, Any], DeploymentSettings], Event]] = {
    "DIRECTORY_UPDATE": _endpoint_list,
    "DEMAND": _request_received,
    "ANSWER": _attempt_ended,
    "BEGUN": _response_started,
    "DROPPED": _client_gone,
    "SUPERSEDED": _objects_purged,
    "PROBE_DONE": _health_check_done,
    "FIRED": _timer_fired,
}


def attempt_result(event: dict[str, Any], load_fields: list[str]) -> AttemptResult:
    """Decodes the result of an attempt.

    :param load_fields: the names of the values in a load report, in their order on the wire.
    """
    fill_status = event.get("note") or 0
    load = _load(event.get("load"), load_fields)
    return AttemptResult(
        attempt_number=required(event, "hop", int),
        status=_attempt_status(event),
        elapsed=required(event, "time_taken_us", int),
        fill_status=FillStatus(fill_status)
        if fill_status in FillStatus._value2member_map_
        else FillStatus.UNKNOWN,
        final=bool(event.get("ended")),
        load_report=LoadReport(event.get("first_byte_us"), load.get("busy"), load.get("x1")),
    )


def _attempt_status(event: dict[str, Any]) -> AttemptStatus:
    return ATTEMPT_STATUSES.get(required(event, "how", str), AttemptStatus.ERROR)


def _load(values: list[float] | None, load_fields: list[str]) -> dict[str, float]:
    """Returns the values of a load report by name; a report may have fewer values than there are names."""
    names = (LOAD_FIELDS.get(field, field) for field in load_fields)
    return dict(zip(names, values or [], strict=False))


# -- actions ---------------------------------------------------------------------------------------


def with_router(action: dict[str, Any], router: str) -> dict[str, Any]:
    """Adds the name of its router to an action."""
    return {"t": action.pop("t"), "router": router, **action}


def forward(request_id: int, decision: Forward) -> dict[str, Any]:
    """Encodes the action that sends a request to an endpoint."""
    manner = 0
    if decision.allow_collapsing:
        manner |= COLLAPSE_FLAG
    if decision.revalidate_in_background:
        manner |= REVALIDATE_FLAG
    return {
        "t": "ANSWER_FROM",
        "op_id": request_id,
        "cache": decision.endpoint,
        "fill_from": decision.fill_source,
        "keep": decision.cache_priority,
        "oldness_us": decision.max_age,
        "manner": manner,
        "timeout_us": decision.timeout,
    }


def cancel_attempt(request_id: int, attempt_number: int) -> dict[str, Any]:
    """Encodes the action that cancels an attempt."""
    return {"t": "CALL_OFF", "op_id": request_id, "hop": attempt_number}


def reject(request_id: int, retry_after: int) -> dict[str, Any]:
    """Encodes the action that rejects a request for lack of capacity.

    :param retry_after: microseconds after which the client may retry; 0 names no time.
    """
    return {"t": "REJECT", "op_id": request_id, "stay_away_us": retry_after}


def fail(request_id: int) -> dict[str, Any]:
    """Encodes the action that reports a request as failed."""
    return {"t": "REPORT_FAILURE", "op_id": request_id}


def start_health_check(endpoint: str) -> dict[str, Any]:
    """Encodes the action that starts a health check of an endpoint."""
    return {"t": "HEALTH_CHECK", "cache": endpoint}


def subscribe_to_endpoints() -> dict[str, Any]:
    """Encodes the action that asks the discovery service for the endpoint list and its changes."""
    return {"t": "KEEP_INFORMED", "on": True}


def set_timer(delay: int, number: int) -> dict[str, Any]:
    """Encodes the action that sets a timer, which fires after a delay in microseconds."""
    return {"t": "WAKE_AT", "wait_us": delay, "tag": number}


def log_line(text: str) -> dict[str, Any]:
    """Encodes a line of the router's log."""
    return {"t": "NOTE_DOWN", "msg": text}


def internal_error(error: Exception) -> dict[str, Any]:
    """Encodes an unexpected error in a router."""
    return {"t": "INTERNAL_ERROR", "msg": f"{type(error).__name__}: {error}"}
