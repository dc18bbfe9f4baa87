"""Routes that others take the reqs from: decided exactly on sets of reqs, with a witness."""

from bisect import bisect_left

from quartzrouter.config.matcher import Matcher
from quartzrouter.config.model import Plan, Route
from quartzrouter.config.patterns import Undecided
from quartzrouter.config.problems import Weight
from quartzrouter.config.request_sets import Box, TooMany, rest
from quartzrouter.config.schema import PlanCheck

NAMED_MOST = 3  # routes that one message names
PAIRS_MOST = 60_000  # looked at for partial overlaps, some seconds


class Near:
    """For each route the earlier ones that could meet it, by the text with which their paths begin."""

    def __init__(self, routes: tuple[Route, ...]):
        self.by_prefix: dict[str, list[Route]] = {}
        for route in routes:
            self.by_prefix.setdefault(prefix(route), []).append(route)
        self.sorted = sorted(self.by_prefix)

    def of(self, route: Route) -> list[Route]:
        """All that could meet it, in their order, itself too."""
        mine = prefix(route)
        found = [other for cut in range(len(mine)) for other in self.by_prefix.get(mine[:cut], ())]
        for at in range(bisect_left(self.sorted, mine), len(self.sorted)):
            if not self.sorted[at].startswith(mine):
                break
            found += self.by_prefix[self.sorted[at]]
        return sorted(found, key=lambda other: other.order)


def prefix(route: Route) -> str:
    path = route.boxes[0].path.required
    return path[0].prefix if path else ""


def meeting(a: Route, b: Route) -> list[Box]:
    """What both would take."""
    return [both for one in a.boxes for other in b.boxes if (both := one.meet(other))]


def check_routes(plan: Plan, check: PlanCheck) -> None:
    """Notes routes that can never be reached, and warns of those that overlap in part."""
    near, matcher, pairs = Near(plan.routes), Matcher(plan.routes), PAIRS_MOST
    for route in plan.routes:
        earlier = [other for other in near.of(route) if other.order < route.order]
        try:
            if not _reached(route, matcher) and _shadowed(check, route, earlier):
                continue
        except (Undecided, TooMany):
            check.report(
                check.place(("routes", route.name)),
                f"whether route '{route.name}' can be reached takes too long to say",
                "its patterns overlap in too many ways",
                "overlap",
                weight=Weight.WARNING,
            )
        found: list[tuple[Route, Box]] = []
        for other in earlier[:pairs]:
            pairs -= 1
            try:
                if shared := _overlap(other, route):
                    found.append((other, shared))
            except (Undecided, TooMany):
                continue
        if found:
            _warn(check, route, found)


def _reached(route: Route, matcher: Matcher) -> bool:
    """A guess that most often settles it: a req of this route's own."""
    for box in route.boxes:
        asked = box.witness()
        found = matcher.find(asked) if asked else None
        if found and found.route is route:
            return True
    return False


def _shadowed(check: PlanCheck, route: Route, earlier: list[Route]) -> bool:
    """Notes a route of which nothing is left behind those before it."""
    place = check.place(("routes", route.name))
    if not any(box.some for box in route.boxes):
        check.report(
            place, f"route '{route.name}' takes no req", "its conditions rule each other out", "shadow"
        )
        return True
    left = list(route.boxes)
    taking: list[tuple[Route, list[Box]]] = []
    for other in earlier:
        shared = [both for box in left for theirs in other.boxes if (both := box.meet(theirs))]
        if not shared:
            continue
        taking.append((other, shared))
        left = rest(left, list(other.boxes))
        if not left:
            break
    if left:
        return False
    alone = next((t for t in taking if not rest(list(route.boxes), list(t[0].boxes))), None)
    by = [alone] if alone else taking
    asked = by[0][1][0].witness()
    also = [(check.place(("routes", other.name)), f"route '{other.name}'") for other, _ in by[:NAMED_MOST]]
    said = " and ".join(f"'{other.name}'" for other, _ in by[:NAMED_MOST])
    more = f" and {len(by) - NAMED_MOST} more" if len(by) > NAMED_MOST else ""
    take = "takes" if len(by) == 1 else "take"
    check.report(
        place,
        f"route '{route.name}' is never reached: {said}{more} {take} all of it",
        f"{asked.describe()} goes to '{by[0][0].name}'; put '{route.name}' before it",
        "shadow",
        also,
    )
    return True


def _overlap(earlier: Route, later: Route) -> Box | None:
    """What both take, where each takes something that the other doesn't and they do different things."""
    if outcome(earlier) == outcome(later):
        return None
    shared = meeting(earlier, later)
    if not shared or not rest(list(earlier.boxes), list(later.boxes)):
        return None
    return shared[0] if rest(list(later.boxes), list(earlier.boxes)) else None


def _warn(check: PlanCheck, later: Route, found: list[tuple[Route, Box]]) -> None:
    """One warning a route, however many it overlaps."""
    first, shared = found[0]
    said = ", ".join(f"'{other.name}'" for other, _ in found[:NAMED_MOST])
    more = f" and {len(found) - NAMED_MOST} more" if len(found) > NAMED_MOST else ""
    also = [(check.place(("routes", other.name)), f"route '{other.name}'") for other, _ in found[:NAMED_MOST]]
    check.report(
        check.place(("routes", later.name)),
        f"route '{later.name}' overlaps {said}{more} in part",
        f"{shared.witness().describe()} goes to '{first.name}'",
        "overlap",
        also,
        Weight.WARNING,
    )


def outcome(route: Route) -> tuple:
    return route.vhost, route.pool, route.policy, route.limits, route.tenant, route.object, route.group
