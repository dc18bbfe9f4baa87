"""Decoding and encoding of the wire's lines; no state."""

from typing import Any

from quartzrouter.configuration import DeploymentSettings
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

STATES = {"Running": EndpointState.UP, "Stopping": EndpointState.DRAINING, "Deleted": EndpointState.GONE}
ENDINGS = {
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
LOADS = {
    "rif": "outstanding",
    "q": "queued",
    "busy": "busy",
    "lat_ms": "time",
    "rate": "rate",
    "fail_rate": "errors",
}


class MalformedEvent(ValueError):
    """An event that cannot be read."""


def need(event: dict[str, Any], key: str, *kinds: type) -> Any:
    value = event.get(key)
    if value is None:
        raise MalformedEvent(f"{key} is missing")
    if (kinds and not isinstance(value, kinds)) or (isinstance(value, bool) and bool not in kinds):
        raise MalformedEvent(f"{key} is {value!r}")
    return value


def listed(entry: dict[str, Any], briefing: DeploymentSettings) -> Endpoint:
    kind = entry.get("model") or ""
    return Endpoint(
        name=need(entry, "cache", str),
        location=entry.get("campus") or "",
        tier=briefing.tier(kind),
        machine_type=kind,
        cell=entry.get("pack") or 0,
        state=STATES.get(need(entry, "condition", str), EndpointState.DRAINING),
        capacity_rating=entry.get("rating") or 1.0,
        started_at=entry.get("came_up_us") or 0,
    )


def report(load: list[float] | None, fields: list[str]) -> dict[str, float]:
    return dict(zip((LOADS.get(field, field) for field in fields), load or [], strict=False))


def request(event: dict[str, Any]) -> Request:
    return Request(
        id=need(event, "op_id", int),
        traffic_class=need(event, "band", str),
        object_key=need(event, "object", str),
        tag=event.get("tag"),
        chunk=event.get("piece") or 0,
        size_kb=event.get("size_kb") or 0.0,
        timeout=need(event, "time_budget_us", int),
        tenant=event.get("project") or None,
    )


def ending(event: dict[str, Any]) -> AttemptStatus:
    return ENDINGS.get(need(event, "how", str), AttemptStatus.ERROR)


def outcome(event: dict[str, Any], fields: list[str]) -> AttemptResult:
    note, told = event.get("note") or 0, report(event.get("load"), fields)
    return AttemptResult(
        attempt_number=need(event, "hop", int),
        status=ending(event),
        elapsed=need(event, "time_taken_us", int),
        fill_status=FillStatus(note) if note in FillStatus._value2member_map_ else FillStatus.UNKNOWN,
        final=bool(event.get("ended")),
        load_report=LoadReport(event.get("first_byte_us"), told.get("busy"), told.get("x1")),
    )


def dispatch(req_id: int, answer: Forward) -> dict[str, Any]:
    return {
        "t": "ANSWER_FROM",
        "op_id": req_id,
        "cache": answer.endpoint,
        "fill_from": answer.fill_source,
        "keep": answer.cache_priority,
        "oldness_us": answer.max_age,
        "manner": answer.allow_collapsing + 8 * answer.revalidate_in_background,
        "timeout_us": answer.timeout,
    }
