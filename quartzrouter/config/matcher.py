"""Which route takes a req: compiled from the plan, no I/O.

Routes hang in a tree by the literal text with which their path begins, cut at '/'; a lookup walks the req's
path down the tree, and on the way tries what hangs there in the order of the plan.  Each node knows the
first route below it, so that a walk ends as soon as nothing earlier can come.
"""

from bisect import insort
from typing import NamedTuple

from quartzrouter.config.model import Plan, Route
from quartzrouter.config.request_sets import Box, RouteQuery, TextSet

NEVER = 1 << 31  # an order that no route has


class Node:
    __slots__ = ("below", "first", "here", "literal")

    def __init__(self) -> None:
        self.below: dict[str, Node] = {}
        self.first = NEVER  # the order of the first route here or below
        self.here: list[tuple[int, int, Box]] = []  # order, which of its boxes, the box
        self.literal: dict[str, list[tuple[int, int, Box]]] = {}  # whole paths that end here


class Found(NamedTuple):
    route: Route
    captures: dict[str, str]


class Matcher:
    def __init__(self, routes: tuple[Route, ...]):
        self.routes, self.root = routes, Node()
        for route in routes:
            for n, box in enumerate(route.boxes):
                self._hang(route.order, n, box)

    def _hang(self, order: int, n: int, box: Box) -> None:
        pattern = box.path.required[0] if box.path.required else None
        node = self.root
        node.first = min(node.first, order)
        if pattern is None:
            insort(node.here, (order, n, box), key=lambda item: item[:2])
            return
        whole = pattern.literal is not None
        for part in pattern.prefix.split("/")[1:-1]:
            node = node.below.setdefault(part, Node())
            node.first = min(node.first, order)
        into = node.literal.setdefault(pattern.text, []) if whole else node.here
        insort(into, (order, n, box), key=lambda item: item[:2])

    def find(self, asked: RouteQuery) -> Found | None:
        """The first route that takes the req."""
        best, node, path = NEVER, self.root, asked.path
        parts = path.split("/")[1:-1]
        for depth in range(len(parts) + 1):
            for items, literal in ((node.literal.get(path, ()), True), (node.here, False)):
                for order, _, box in items:
                    if order >= best:
                        break
                    if takes(box, asked, literal):
                        best = order
                        break
            if depth == len(parts):
                break
            node = node.below.get(parts[depth])
            if node is None or node.first >= best:
                break
        if best == NEVER:
            return None
        route = self.routes[best]
        pattern = route.boxes[0].path.required
        return Found(route, pattern[0].capture(path) if pattern else {})


def takes(box: Box, asked: RouteQuery, path_known: bool = False) -> bool:
    """Whether a req lies in a box."""
    if asked.store not in box.stores or asked.method not in box.methods:
        return False
    if not path_known and not all(one.expression.fullmatch(asked.path) for one in box.path.required):
        return False
    if box.host.required and not all(one.expression.fullmatch(asked.host) for one in box.host.required):
        return False
    return _hold(box.headers, asked.headers) and _hold(box.params, asked.params)


def _hold(told: dict[str, TextSet], given: dict[str, str]) -> bool:
    for name, lang in told.items():
        value = given.get(name)
        if value is None:
            if not lang.allows_absent:
                return False
        elif not lang.allows_present or not all(one.expression.fullmatch(value) for one in lang.required):
            return False
    return True


def plain(routes: tuple[Route, ...], asked: RouteQuery) -> Route | None:
    """The same by trying one route after the other: what the tree is measured against."""
    return next((route for route in routes if any(takes(box, asked) for box in route.boxes)), None)


def matcher(plan: Plan) -> Matcher:
    return Matcher(plan.routes)
