"""What a plan says of one request: route, traffic class, policy, limits, and the object's key. No I/O."""

from typing import NamedTuple

from quartzrouter.config.matcher import Found, Matcher
from quartzrouter.config.model import Plan, Policy, Route
from quartzrouter.config.patterns import TOKEN
from quartzrouter.config.request_sets import RouteQuery
from quartzrouter.pool_routing.rate_limits import COUNTS_RETRIES, LimitKey
from quartzrouter.purges import purge_index
from quartzrouter.purges.object_names import object_id
from quartzrouter.routing.model import TrafficClass

TAGS = 256  # numbers of tags that a request may have: the platform's field is one byte
MAX_CHUNK_DIGITS = 6  # of a chunk's number in a path; what is longer is no chunk
NO_POLICY = Policy()


class RouteSelection(NamedTuple):
    """What a plan says of one request.

    :param route: that takes it.
    :param policy: of the route.
    :param traffic_class: its traffic class, as the plan has it, whatever the policy changes.
    :param object_key: the object's key, 16 hexadecimal digits.
    :param chunk: the chunk of the object; 0 where the path names none.
    :param tag: the number of its tag.
    :param tenant: empty where the route names none.
    :param client: who asks.
    :param path: host and path, as asked for.
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
    """What the plan says of a request, or None where no route takes it.

    :param client: who asks, as the router's front tells.
    """
    found = matcher.find(asked)
    if found is None:
        return None
    route = found.route
    chunk_text = found.captures.get("part", "")
    has_chunk = chunk_text.isdecimal() and len(chunk_text) <= MAX_CHUNK_DIGITS
    chunk = int(chunk_text) if has_chunk else 0
    if route.object:
        object_name = _filled(route.object, found, asked)
    else:
        object_name = _path_without_chunk(found, asked, bool(chunk or chunk_text == "0"))
    tag_name = _filled(route.group, found, asked) if route.group else None
    return RouteSelection(
        route=route,
        policy=plan.policies[route.policy] if route.policy else NO_POLICY,
        traffic_class=plan.vhosts[route.vhost],
        object_key=object_id(object_name),
        chunk=chunk,
        tag=None if tag_name is None else int(object_id(tag_name), 16) % TAGS,
        tenant=_tenant(route, found, asked),
        client=client,
        path=f"{asked.host}{asked.path}",
    )


def retry_limits_by_route(plan: Plan) -> dict[str, tuple[str, ...]]:
    """The names of the limits on retries, by route; routes without any are left out."""
    retry_limits = {name for name, limit in plan.limits.items() if limit.counts == COUNTS_RETRIES}
    by_route = {
        route.name: tuple(name for name in route.limits if name in retry_limits) for route in plan.routes
    }
    return {name: limits for name, limits in by_route.items() if limits}


def limit_keys(
    plan: Plan, selection: RouteSelection, pool: str, limits: tuple[str, ...] | None = None
) -> list[LimitKey]:
    """The counters of a request, one for each limit of its route.

    :param pool: the name of the pool that serves it.
    :param limits: the limits to look at; None: all of the route.
    """
    counted = {
        "route": selection.route.name,
        "pool": pool,
        "tenant": selection.tenant,
        "client": selection.client,
        "all": "",
    }
    names = selection.route.limits if limits is None else limits
    return [LimitKey(name, counted[plan.limits[name].per]) for name in names]


def purge_lookup(selection: RouteSelection) -> purge_index.PurgeLookup:
    """By what the purges that concern a request are looked up."""
    host, slash, path = selection.path.partition("/")
    return purge_index.PurgeLookup(
        selection.traffic_class.name, selection.object_key.lower(), host, slash + path
    )


def traffic_class_name(route: Route) -> str:
    """The name by which the routing decisions know a traffic class as a policy changes it."""
    return f"{route.vhost}@{route.policy}" if route.policy else route.vhost


def _tenant(route: Route, found: Found, asked: RouteQuery) -> str:
    """From the path where the route captures it, else from the header of that name."""
    if not route.tenant:
        return ""
    return found.captures.get(route.tenant) or asked.headers.get(route.tenant.lower(), "")


def _filled(template: str, found: Found, asked: RouteQuery) -> str:
    """A template of the plan with its names replaced by what the path captures."""
    known = found.captures | {"host": asked.host, "path": asked.path}
    return TOKEN.sub(lambda token: known[token[1]] if token[1] is not None else token[0], template)


def _path_without_chunk(found: Found, asked: RouteQuery, has_chunk: bool) -> str:
    """Host and path, with the chunk's number left out where the path names one."""
    path = asked.path
    if has_chunk:
        pattern = found.route.boxes[0].path.required[0]
        match = pattern.expression.fullmatch(path)
        start, end = match.span(pattern.captures.index("part") + 1)
        path = f"{path[:start]}{{}}{path[end:]}"
    return f"{asked.host}{path}"
