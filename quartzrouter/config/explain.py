"""What one req gets under a plan, and from which line each of it came."""

import re
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from quartzrouter.config.keys import PLAN
from quartzrouter.config.matcher import matcher, takes
from quartzrouter.config.model import TRAFFIC_CLASS_FIELDS, Plan, Route
from quartzrouter.config.problems import Place
from quartzrouter.config.quantity import Duration
from quartzrouter.config.request_sets import RouteQuery

REQ = re.compile(
    r"(?:(?P<method>[A-Za-z]+)\s+)?(?:https?://)?(?P<host>[^/\s?]*)(?P<path>/[^?\s]*)(?:\?(?P<query>\S*))?"
)


class Line(NamedTuple):
    what: str
    value: str
    place: Place | None


def asked(
    text: str, plan: Plan, store: str | None = None, headers: dict[str, str] | None = None
) -> RouteQuery | None:
    """`[METHOD] [HOST]/PATH[?QUERY]` as a req; None where it reads otherwise."""
    found = REQ.fullmatch(text.strip())
    if not found:
        return None
    return RouteQuery(
        store or plan.deployment["home"],
        found["host"].lower(),
        found["path"],
        (found["method"] or "GET").upper(),
        {k.lower(): v for k, v in (headers or {}).items()},
        dict(parse_qsl(found["query"] or "", True)),
    )


def explain(plan: Plan, req: RouteQuery) -> list[Line]:
    """Route, vhost, pool, policy and limits of a req, each value with its place."""
    found = matcher(plan).find(req)
    if found is None:
        return [Line("route", "none: it is turned away with 404", None)]
    route = found.route
    lines = [_line(plan, "route", route.name, "routes", route.name)]
    lines += [Line(f"capture {name}", value, None) for name, value in found.captures.items()]
    lines.append(_line(plan, "vhost", route.vhost, "routes", route.name, "vhost"))
    vhost = plan.vhosts[route.vhost]
    entries = PLAN.entries["vhosts"].type.value.entries
    policy = plan.policies.get(route.policy) if route.policy else None
    for key in entries:
        own = getattr(policy, key, None) if policy else None
        if own is not None:
            lines.append(_value(plan, f"  {key}", own, "policies", route.policy, key))
        else:
            value = not vhost.uncacheable if key == "kept" else getattr(vhost, TRAFFIC_CLASS_FIELDS[key])
            lines.append(_value(plan, f"  {key}", value, "vhosts", route.vhost, key))
    lines += _pool(plan, route)
    if policy:
        lines.append(_line(plan, "policy", route.policy, "routes", route.name, "policy"))
        for key in ("rank", "dispatches", "budget", "deny", "come_back"):
            if getattr(policy, key) is not None:
                lines.append(_value(plan, f"  {key}", getattr(policy, key), "policies", route.policy, key))
    for name in route.limits:
        limit = plan.limits[name]
        lines.append(_line(plan, "limit", f"{name} per {limit.per}", "limits", name))
        shared = ("across", "floors", "life") if limit.across != "router" else ()
        for key in ("rate", "burst", "concurrent", "keep_free", "below", *shared):
            if getattr(limit, key):
                lines.append(_value(plan, f"  {key}", getattr(limit, key), "limits", name, key))
    behind = plan.routes[route.order + 1 :]
    later = [other.name for other in behind if any(takes(box, req) for box in other.boxes)]
    if later:
        lines.append(Line("also matched by", ", ".join(later[:5]), plan.places.get(("routes", later[0]))))
    return lines


def _pool(plan: Plan, route: Route) -> list[Line]:
    lines = [_line(plan, "pool", route.pool, "routes", route.name, "pool")]
    if route.pool in plan.splits:
        split = plan.splits[route.pool]
        for name, share in split.parts:
            lines.append(
                _line(plan, f"  {share * 100:g}% by {split.by}", name, "splits", split.name, "parts", name)
            )
    seen: list[str] = []
    for name in plan.pools_of(route.pool):
        at: str | None = name
        while at and at not in seen:
            seen.append(at)
            members = plan.members(plan.pools[at])
            told = f"{', '.join(members[:6])}{f' and {len(members) - 6} more' if len(members) > 6 else ''}"
            lines.append(_line(plan, f"  members of {at}", told or "as the journal tells", "pools", at))
            at = plan.pools[at].fallback
            if at:
                lines.append(_line(plan, "  then", at, "pools", seen[-1], "fallback"))
    return lines


def _line(plan: Plan, what: str, value: str, *path: str) -> Line:
    return Line(what, value, plan.places.get(path))


DURATIONS = {"client_timeout", "first_byte_target", "repeats_for", "fresh_for", "grace_for", "come_back"}
SHARES = {"late_share", "old_share", "budget", "keep_free"}


def _value(plan: Plan, what: str, value: Any, *path: str) -> Line:
    key = path[-1]
    if key in DURATIONS:
        text = str(Duration(value))
    elif key in SHARES:
        text = f"{value * 100:g}%"
    elif key == "rate":
        text = f"{value:g}/s"
    elif isinstance(value, float):
        text = f"{value:g}"
    else:
        text = str(getattr(value, "value", value)).lower()
    return Line(what, text, plan.places.get(path))
