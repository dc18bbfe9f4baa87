"""What a plan says of one req: its route, vhost, policy and limits, and by what names it is known."""

from typing import NamedTuple

from quartzrouter.config.matcher import Found, Matcher
from quartzrouter.config.model import Plan, Policy, Route
from quartzrouter.config.patterns import TOKEN
from quartzrouter.config.request_sets import Asked
from quartzrouter.pool_routing.rate_limits import LimitKey
from quartzrouter.purges import purge_index
from quartzrouter.purges.object_names import object_id
from quartzrouter.routing.model import TrafficClass

GROUPS = 256
NOTHING = Policy()


class RouteSelection(NamedTuple):
    route: Route
    policy: Policy
    vhost: TrafficClass  # as the plan has it, whatever the policy changes
    obj: str  # 16 hex digits
    part: int
    group: int | None
    tenant: str
    client: str
    path: str  # as it was asked for


def select_route(plan: Plan, matcher: Matcher, asked: Asked, client: str) -> RouteSelection | None:
    """The ruling on a req, or None where no route takes it.

    :param client: who asks, as its front tells.
    """
    found = matcher.find(asked)
    if found is None:
        return None
    route = found.route
    said = found.captures.get("part", "")
    part = int(said) if said.isdecimal() and len(said) <= 6 else 0
    obj = (
        _filled(route.object, found, asked)
        if route.object
        else _whole(found, asked, bool(part or said == "0"))
    )
    group = _filled(route.group, found, asked) if route.group else None
    return RouteSelection(
        route,
        plan.policies[route.policy] if route.policy else NOTHING,
        plan.vhosts[route.vhost],
        object_id(obj),
        part,
        None if group is None else int(object_id(group), 16) % GROUPS,
        _tenant(route, found, asked),
        client,
        f"{asked.host}{asked.path}",
    )


def repeats(plan: Plan) -> dict[str, tuple[str, ...]]:
    """By route, its limits that count further dispatches; routes without any lack."""
    counted = {name for name, limit in plan.limits.items() if limit.counts == "repeats"}
    found = {each.name: tuple(n for n in each.limits if n in counted) for each in plan.routes}
    return {name: limits for name, limits in found.items() if limits}


def keys(
    plan: Plan, ruling: RouteSelection, pool: str, limits: tuple[str, ...] | None = None
) -> list[LimitKey]:
    """Whom each limit of the req's route counts it for; those named only, if any are."""
    of = {
        "route": ruling.route.name,
        "pool": pool,
        "tenant": ruling.tenant,
        "client": ruling.client,
        "all": "",
    }
    names = ruling.route.limits if limits is None else limits
    return [LimitKey(name, of[plan.limits[name].per]) for name in names]


def marked(ruling: RouteSelection) -> purge_index.PurgeLookup:
    """What marks of purges look at."""
    host, slash, path = ruling.path.partition("/")
    return purge_index.PurgeLookup(ruling.vhost.name, ruling.obj.lower(), host, slash + path)


def vhost_name(route: Route) -> str:
    """By which the decisions know a vhost as a policy changes it."""
    return f"{route.vhost}@{route.policy}" if route.policy else route.vhost


def _tenant(route: Route, found: Found, asked: Asked) -> str:
    if not route.tenant:
        return ""
    return found.captures.get(route.tenant) or asked.headers.get(route.tenant.lower(), "")


def _filled(template: str, found: Found, asked: Asked) -> str:
    known = found.captures | {"host": asked.host, "path": asked.path}
    return TOKEN.sub(lambda token: known[token[1]] if token[1] is not None else token[0], template)


def _whole(found: Found, asked: Asked, parted: bool) -> str:
    """Host and path, without the number of the part where the path names one."""
    path = asked.path
    if parted:
        pattern = found.route.boxes[0].path.yes[0]
        match = pattern.expression.fullmatch(path)
        start, end = match.span(pattern.captures.index("part") + 1)
        path = f"{path[:start]}{{}}{path[end:]}"
    return f"{asked.host}{path}"
