"""Finds the route that matches a request.  The index is compiled from the plan; there is no I/O.

Routes are kept in a prefix tree, by the literal text at the start of their path, split at '/'.  A lookup
walks down the tree along the request's path and tries the routes of each node in the order of the plan.
Each node holds the order of the first route in its subtree, so that a walk ends as soon as no earlier route
can follow.
"""

from bisect import insort
from typing import NamedTuple

from quartzrouter.config.model import Plan, Route
from quartzrouter.config.request_sets import Box, RouteQuery, TextSet

NO_ORDER = 1 << 31  # greater than the order of any route


class Node:
    """A node of the prefix tree.

    :param children: the nodes below it, by the next part of the path.
    :param first_order: the order of the first route at or below it.
    :param patterns: the boxes whose path isn't a literal: the route's order, the box's index in it, the box.
    :param literals: the boxes whose path is a literal, by that path.
    """

    __slots__ = ("children", "first_order", "literals", "patterns")

    def __init__(self) -> None:
        self.children: dict[str, Node] = {}
        self.first_order = NO_ORDER
        self.patterns: list[tuple[int, int, Box]] = []
        self.literals: dict[str, list[tuple[int, int, Box]]] = {}


class RouteMatch(NamedTuple):
    """The route that matches a request, and the text that each capture of its path stands for."""

    route: Route
    captures: dict[str, str]


class Matcher:
    """The index of a plan's routes."""

    def __init__(self, routes: tuple[Route, ...]):
        self.routes, self.root = routes, Node()
        for route in routes:
            for index, box in enumerate(route.boxes):
                self._insert(route.order, index, box)

    def _insert(self, order: int, index: int, box: Box) -> None:
        pattern = box.path.required[0] if box.path.required else None
        node = self.root
        node.first_order = min(node.first_order, order)
        if pattern is None:
            insort(node.patterns, (order, index, box), key=lambda item: item[:2])
            return
        is_literal = pattern.literal is not None
        for part in pattern.prefix.split("/")[1:-1]:
            node = node.children.setdefault(part, Node())
            node.first_order = min(node.first_order, order)
        entries = node.literals.setdefault(pattern.text, []) if is_literal else node.patterns
        insort(entries, (order, index, box), key=lambda item: item[:2])

    def find(self, asked: RouteQuery) -> RouteMatch | None:
        """Returns the first route that matches a request, or None."""
        best, node, path = NO_ORDER, self.root, asked.path
        parts = path.split("/")[1:-1]
        for depth in range(len(parts) + 1):
            for entries, path_matches in ((node.literals.get(path, ()), True), (node.patterns, False)):
                for order, _, box in entries:
                    if order >= best:
                        break
                    if box_contains(box, asked, path_matches):
                        best = order
                        break
            if depth == len(parts):
                break
            node = node.children.get(parts[depth])
            if node is None or node.first_order >= best:
                break
        if best == NO_ORDER:
            return None
        route = self.routes[best]
        pattern = route.boxes[0].path.required
        return RouteMatch(route, pattern[0].capture(path) if pattern else {})


def box_contains(box: Box, asked: RouteQuery, path_matches: bool = False) -> bool:
    """Returns True if a request lies in a box.

    :param path_matches: True if the path is known to match.
    """
    if asked.store not in box.stores or asked.method not in box.methods:
        return False
    if not path_matches and not all(one.expression.fullmatch(asked.path) for one in box.path.required):
        return False
    if box.host.required and not all(one.expression.fullmatch(asked.host) for one in box.host.required):
        return False
    return _all_match(box.headers, asked.headers) and _all_match(box.params, asked.params)


def _all_match(conditions: dict[str, TextSet], values: dict[str, str]) -> bool:
    for name, lang in conditions.items():
        value = values.get(name)
        if value is None:
            if not lang.allows_absent:
                return False
        elif not lang.allows_present or not all(one.expression.fullmatch(value) for one in lang.required):
            return False
    return True


def first_match(routes: tuple[Route, ...], asked: RouteQuery) -> Route | None:
    """Returns the route that ``Matcher.find`` finds, by trying each in turn; for tests and benchmarks."""
    return next((route for route in routes if any(box_contains(box, asked) for box in route.boxes)), None)


def build_matcher(plan: Plan) -> Matcher:
    """Returns the index of a plan's routes."""
    return Matcher(plan.routes)
