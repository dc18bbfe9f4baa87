"""Selects the route of a request from a plan, with its traffic class, policy and object key.  Does no I/O."""

from typing import NamedTuple

from quartzrouter.config.matcher import Matcher, RouteMatch
from quartzrouter.config.model import Plan, Policy, Route
from quartzrouter.config.patterns import TOKEN
from quartzrouter.config.request_sets import RouteQuery
from quartzrouter.pool_routing.rate_limits import COUNTS_RETRIES, LimitKey
from quartzrouter.purges import purge_index
from quartzrouter.purges.object_names import object_id
from quartzrouter.routing.model import TrafficClass

TAG_COUNT = 256  # the platform's field for a request's tag is one byte
MAX_CHUNK_DIGITS = 6  # in a chunk number in a path; a longer number is not a chunk number
NO_POLICY = Policy()


class RouteSelection(NamedTuple):
    """The route of a request, and what the plan derives from it.

    :param route: the route that matches the request.
    :param policy: the policy of the route.
    :param traffic_class: the traffic class of the route, without the overrides of the policy.
    :param object_key: the object's key, 16 hexadecimal digits.
    :param chunk: the chunk of the object; 0 if the path has none.
    :param tag: the number of the request's tag; None if the route has none.
    :param tenant: the tenant; empty if the route has none.
    :param client: the client, as identified by the router's front end.
    :param path: the host and path of the request.
    """

    route: Route
    policy: Policy
    traffic_class: TrafficClass
    object_key: str
    chunk: int
    tag: int | None
    tenant: str
    client: str
    path: str


def select_route(plan: Plan, matcher: Matcher, asked: RouteQuery, client: str) -> RouteSelection | None:
    """Selects the route of a request; returns None if no route matches.

    :param client: the client, as identified by the router's front end.
    """
    found = matcher.find(asked)
    if found is None:
        return None
    route = found.route
    chunk_text = found.captures.get("part", "")
    has_chunk = chunk_text.isdecimal() and len(chunk_text) <= MAX_CHUNK_DIGITS
    chunk = int(chunk_text) if has_chunk else 0
    if route.object:
        object_name = _fill_template(route.object, found, asked)
    else:
        object_name = _path_without_chunk(found, asked, bool(chunk or chunk_text == "0"))
    tag_name = _fill_template(route.group, found, asked) if route.group else None
    return RouteSelection(
        route=route,
        policy=plan.policies[route.policy] if route.policy else NO_POLICY,
        traffic_class=plan.vhosts[route.vhost],
        object_key=object_id(object_name),
        chunk=chunk,
        tag=None if tag_name is None else int(object_id(tag_name), 16) % TAG_COUNT,
        tenant=_tenant(route, found, asked),
        client=client,
        path=f"{asked.host}{asked.path}",
    )


def retry_limits_by_route(plan: Plan) -> dict[str, tuple[str, ...]]:
    """Returns the names of the limits on retries, by route; omits routes without any."""
    retry_limits = {name for name, limit in plan.limits.items() if limit.counts == COUNTS_RETRIES}
    by_route = {
        route.name: tuple(name for name in route.limits if name in retry_limits) for route in plan.routes
    }
    return {name: limits for name, limits in by_route.items() if limits}


def limit_keys(
    plan: Plan, selection: RouteSelection, pool: str, limits: tuple[str, ...] | None = None
) -> list[LimitKey]:
    """Returns the keys of a request's counters, one for each limit.

    :param pool: the name of the pool that serves the request.
    :param limits: the names of the limits; None for all of the route.
    """
    subjects = {
        "route": selection.route.name,
        "pool": pool,
        "tenant": selection.tenant,
        "client": selection.client,
        "all": "",
    }
    names = selection.route.limits if limits is None else limits
    return [LimitKey(name, subjects[plan.limits[name].per]) for name in names]


def purge_lookup(selection: RouteSelection) -> purge_index.PurgeLookup:
    """Returns the keys by which the purges of a request's object are looked up."""
    host, slash, path = selection.path.partition("/")
    return purge_index.PurgeLookup(
        selection.traffic_class.name, selection.object_key.lower(), host, slash + path
    )


def traffic_class_name(route: Route) -> str:
    """Returns the name of a route's traffic class with the overrides of its policy, as routers use it."""
    return f"{route.vhost}@{route.policy}" if route.policy else route.vhost


def _tenant(route: Route, found: RouteMatch, asked: RouteQuery) -> str:
    """Returns the tenant, from a capture of the path, else from the header of that name."""
    if not route.tenant:
        return ""
    return found.captures.get(route.tenant) or asked.headers.get(route.tenant.lower(), "")


def _fill_template(template: str, found: RouteMatch, asked: RouteQuery) -> str:
    """Returns a template of the plan with its placeholders replaced by captures of the path."""
    values = found.captures | {"host": asked.host, "path": asked.path}
    return TOKEN.sub(lambda token: values[token[1]] if token[1] is not None else token[0], template)


def _path_without_chunk(found: RouteMatch, asked: RouteQuery, has_chunk: bool) -> str:
    """Returns the host and path, without the chunk number if the path has one."""
    path = asked.path
    if has_chunk:
        pattern = found.route.boxes[0].path.required[0]
        match = pattern.expression.fullmatch(path)
        start, end = match.span(pattern.captures.index("part") + 1)
        path = f"{path[:start]}{{}}{path[end:]}"
    return f"{asked.host}{path}"
