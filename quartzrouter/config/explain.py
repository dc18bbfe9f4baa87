"""Explains what one request gets under a plan, and which line of the plan each value comes from."""

import re
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from quartzrouter.config.keys import PLAN
from quartzrouter.config.matcher import box_contains, build_matcher
from quartzrouter.config.model import TRAFFIC_CLASS_FIELDS, Plan, Route
from quartzrouter.config.problems import Place
from quartzrouter.config.quantity import Duration
from quartzrouter.config.request_sets import RouteQuery

REQUEST = re.compile(
    r"(?:(?P<method>[A-Za-z]+)\s+)?(?:https?://)?(?P<host>[^/\s?]*)(?P<path>/[^?\s]*)(?:\?(?P<query>\S*))?"
)


class Line(NamedTuple):
    """A line of the explanation.

    :param what: the key or part that it is about, indented if it belongs to the line before.
    :param place: where the value was given; None: it is a default, or the plan does not give it.
    """

    what: str
    value: str
    place: Place | None


def parse_request(
    text: str, plan: Plan, store: str | None = None, headers: dict[str, str] | None = None
) -> RouteQuery | None:
    """Parses `[METHOD] [HOST]/PATH[?QUERY]`; returns None if it is written otherwise.

    :param store: the store at which the request arrives; None: the home store.
    """
    match = REQUEST.fullmatch(text.strip())
    if not match:
        return None
    return RouteQuery(
        store or plan.deployment["home"],
        match["host"].lower(),
        match["path"],
        (match["method"] or "GET").upper(),
        {k.lower(): v for k, v in (headers or {}).items()},
        dict(parse_qsl(match["query"] or "", True)),
    )


def explain(plan: Plan, query: RouteQuery) -> list[Line]:
    """Returns the route, vhost, pool, policy and limits of a request, each value with its place."""
    match = build_matcher(plan).find(query)
    if match is None:
        return [Line("route", "none: it is turned away with 404", None)]
    route = match.route
    lines = [_line(plan, "route", route.name, "routes", route.name)]
    lines += [Line(f"capture {name}", value, None) for name, value in match.captures.items()]
    lines.append(_line(plan, "vhost", route.vhost, "routes", route.name, "vhost"))
    vhost = plan.vhosts[route.vhost]
    vhost_entries = PLAN.entries["vhosts"].type.value.entries
    policy = plan.policies.get(route.policy) if route.policy else None
    for key in vhost_entries:
        override = getattr(policy, key, None) if policy else None
        if override is not None:
            lines.append(_value(plan, f"  {key}", override, "policies", route.policy, key))
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
    later_routes = plan.routes[route.order + 1 :]
    later = [other.name for other in later_routes if any(box_contains(box, query) for box in other.boxes)]
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
    printed: list[str] = []
    for name in plan.pools_of(route.pool):
        pool: str | None = name
        while pool and pool not in printed:
            printed.append(pool)
            members = plan.members(plan.pools[pool])
            listed = f"{', '.join(members[:6])}{f' and {len(members) - 6} more' if len(members) > 6 else ''}"
            lines.append(_line(plan, f"  members of {pool}", listed or "as the journal tells", "pools", pool))
            pool = plan.pools[pool].fallback
            if pool:
                lines.append(_line(plan, "  then", pool, "pools", printed[-1], "fallback"))
    return lines


def _line(plan: Plan, what: str, value: str, *path: str) -> Line:
    """Returns a line with the place of a value.

    :param path: the keys that lead to the value.
    """
    return Line(what, value, plan.places.get(path))


DURATION_KEYS = {"client_timeout", "first_byte_target", "repeats_for", "fresh_for", "grace_for", "come_back"}
SHARE_KEYS = {"late_share", "old_share", "budget", "keep_free"}


def _value(plan: Plan, what: str, value: Any, *path: str) -> Line:
    """Does the same for a value that has to be written in the unit of its key."""
    key = path[-1]
    if key in DURATION_KEYS:
        text = str(Duration(value))
    elif key in SHARE_KEYS:
        text = f"{value * 100:g}%"
    elif key == "rate":
        text = f"{value:g}/s"
    elif isinstance(value, float):
        text = f"{value:g}"
    else:
        text = str(getattr(value, "value", value)).lower()
    return Line(what, text, plan.places.get(path))
