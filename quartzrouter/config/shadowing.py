"""Finds routes that earlier routes hide, and routes that overlap in part.

Both are decided exactly, on sets of requests; each message shows a request as an example.
"""

from bisect import bisect_left

from quartzrouter.config.matcher import Matcher
from quartzrouter.config.model import Plan, Route
from quartzrouter.config.patterns import SearchLimitExceeded
from quartzrouter.config.problems import Severity
from quartzrouter.config.request_sets import Box, TooManyBoxesError, subtract
from quartzrouter.config.schema import PlanCheck

MAX_ROUTES_IN_MESSAGE = 3
MAX_OVERLAP_PAIRS = 60_000  # pairs of routes that are compared for partial overlaps: some seconds


class RoutesByPrefix:
    """Routes by the literal prefix of their paths, to find those that could match the same paths."""

    def __init__(self, routes: tuple[Route, ...]):
        self.by_prefix: dict[str, list[Route]] = {}
        for route in routes:
            self.by_prefix.setdefault(path_prefix(route), []).append(route)
        self.sorted_prefixes = sorted(self.by_prefix)

    def related_to(self, route: Route) -> list[Route]:
        """Returns all routes that could overlap with a route, itself included, in the order of the plan."""
        prefix = path_prefix(route)
        related = [other for end in range(len(prefix)) for other in self.by_prefix.get(prefix[:end], ())]
        for index in range(bisect_left(self.sorted_prefixes, prefix), len(self.sorted_prefixes)):
            if not self.sorted_prefixes[index].startswith(prefix):
                break
            related += self.by_prefix[self.sorted_prefixes[index]]
        return sorted(related, key=lambda other: other.order)


def path_prefix(route: Route) -> str:
    """Returns the literal text with which all paths of a route begin."""
    patterns = route.boxes[0].path.required
    return patterns[0].prefix if patterns else ""


def intersection(a: Route, b: Route) -> list[Box]:
    """Returns the requests that both routes match."""
    return [both for one in a.boxes for other in b.boxes if (both := one.intersect(other))]


def check_routes(plan: Plan, check: PlanCheck) -> None:
    """Reports routes that can never be reached, and warns of those that overlap in part."""
    by_prefix, matcher, pairs_left = RoutesByPrefix(plan.routes), Matcher(plan.routes), MAX_OVERLAP_PAIRS
    for route in plan.routes:
        earlier = [other for other in by_prefix.related_to(route) if other.order < route.order]
        try:
            if not _is_surely_reached(route, matcher) and _report_if_hidden(check, route, earlier):
                continue
        except (SearchLimitExceeded, TooManyBoxesError):
            check.report(
                check.place(("routes", route.name)),
                f"route '{route.name}': it takes too long to decide if it can be reached",
                "its patterns overlap with others in too many ways",
                "overlap",
                severity=Severity.WARNING,
            )
        overlaps: list[tuple[Route, Box]] = []
        for other in earlier[:pairs_left]:
            pairs_left -= 1
            try:
                if shared := _partial_overlap(other, route):
                    overlaps.append((other, shared))
            except (SearchLimitExceeded, TooManyBoxesError):
                continue
        if overlaps:
            _warn_of_overlaps(check, route, overlaps)


def _is_surely_reached(route: Route, matcher: Matcher) -> bool:
    """Returns whether an example request of a route reaches it.

    That is cheap, and settles most cases; if it returns False, the route may still be reached by others.
    """
    for box in route.boxes:
        query = box.witness()
        match = matcher.find(query) if query else None
        if match and match.route is route:
            return True
    return False


def _report_if_hidden(check: PlanCheck, route: Route, earlier: list[Route]) -> bool:
    """Reports a route if earlier routes leave no request to it.

    :returns: whether it was reported.
    """
    place = check.place(("routes", route.name))
    if not any(box.is_not_empty for box in route.boxes):
        check.report(
            place,
            f"route '{route.name}' matches no request",
            "its conditions exclude each other",
            "shadow",
        )
        return True
    left = list(route.boxes)
    hiding: list[tuple[Route, list[Box]]] = []
    for other in earlier:
        shared = [both for box in left for theirs in other.boxes if (both := box.intersect(theirs))]
        if not shared:
            continue
        hiding.append((other, shared))
        left = subtract(left, list(other.boxes))
        if not left:
            break
    if left:
        return False
    alone = next((each for each in hiding if not subtract(list(route.boxes), list(each[0].boxes))), None)
    hiding_routes = [alone] if alone else hiding
    query = hiding_routes[0][1][0].witness()
    also = [
        (check.place(("routes", other.name)), f"route '{other.name}'")
        for other, _ in hiding_routes[:MAX_ROUTES_IN_MESSAGE]
    ]
    quoted = " and ".join(f"'{other.name}'" for other, _ in hiding_routes[:MAX_ROUTES_IN_MESSAGE])
    more = (
        f" and {len(hiding_routes) - MAX_ROUTES_IN_MESSAGE} more"
        if len(hiding_routes) > MAX_ROUTES_IN_MESSAGE
        else ""
    )
    verb = "takes" if len(hiding_routes) == 1 else "take"
    check.report(
        place,
        f"route '{route.name}' is never reached: {quoted}{more} {verb} all of it",
        f"{query.describe()} goes to '{hiding_routes[0][0].name}'; put '{route.name}' before it",
        "shadow",
        also,
    )
    return True


def _partial_overlap(earlier: Route, later: Route) -> Box | None:
    """Returns requests that both match, if each matches others as well and they treat them differently."""
    if outcome(earlier) == outcome(later):
        return None
    shared = intersection(earlier, later)
    if not shared or not subtract(list(earlier.boxes), list(later.boxes)):
        return None
    return shared[0] if subtract(list(later.boxes), list(earlier.boxes)) else None


def _warn_of_overlaps(check: PlanCheck, later: Route, overlaps: list[tuple[Route, Box]]) -> None:
    """Gives one warning for a route, however many routes it overlaps with."""
    first, shared = overlaps[0]
    quoted = ", ".join(f"'{other.name}'" for other, _ in overlaps[:MAX_ROUTES_IN_MESSAGE])
    more = (
        f" and {len(overlaps) - MAX_ROUTES_IN_MESSAGE} more" if len(overlaps) > MAX_ROUTES_IN_MESSAGE else ""
    )
    also = [
        (check.place(("routes", other.name)), f"route '{other.name}'")
        for other, _ in overlaps[:MAX_ROUTES_IN_MESSAGE]
    ]
    check.report(
        check.place(("routes", later.name)),
        f"route '{later.name}' overlaps {quoted}{more} in part",
        f"{shared.witness().describe()} goes to '{first.name}'",
        "overlap",
        also,
        Severity.WARNING,
    )


def outcome(route: Route) -> tuple:
    """Returns what a route does with its requests: all but its name and what it matches."""
    return route.vhost, route.pool, route.policy, route.limits, route.tenant, route.object, route.group
