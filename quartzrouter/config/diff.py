"""Which requests a new version of a plan treats differently: disjoint sets, each with an example.

A set has all requests that reach a certain route of the old plan and a certain route of the new plan, if
these routes treat them differently.  So each request that is treated differently is in exactly one set, and
no other request is in any.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from quartzrouter.config.matcher import Matcher
from quartzrouter.config.model import POLICY_OVERRIDES, TRAFFIC_CLASS_FIELDS, Plan, Policy, Pool, Route
from quartzrouter.config.request_sets import Box, RouteQuery, subtract
from quartzrouter.config.shadowing import RoutesByPrefix

Pair = tuple[str | None, str | None]  # the names of the old and the new route; None: no route matches


@dataclass(frozen=True)
class Change:
    """A set of requests that are treated differently.

    :ivar pair: the routes that match them.
    :ivar what: the old and the new value of all that differs, by key.
    :ivar witness: one of the requests.
    """

    pair: Pair
    what: dict[str, tuple[str, str]]
    witness: RouteQuery

    def describe(self) -> str:
        """Returns the change as lines of text."""
        old, new = (f"route '{name}'" if name else "no route" for name in self.pair)
        lines = [f"{old} -> {new}" if self.pair[0] != self.pair[1] else old]
        lines += [f"    {key}: {was} -> {now}" for key, (was, now) in self.what.items()]
        return "\n".join([*lines, f"    e.g. {self.witness.describe()}"])

    def as_json(self) -> dict[str, Any]:
        """Returns the change under the keys that `--json` promises."""
        return {
            "from": self.pair[0],
            "to": self.pair[1],
            "what": {k: list(v) for k, v in self.what.items()},
            "witness": self.witness._asdict(),
        }


class Effects:
    """What the routes of a plan do, in a normal form: equal if they do the same, however it is written."""

    def __init__(self, plan: Plan):
        self.plan = plan

    def pool(self, name: str, seen: tuple[str, ...] = ()) -> tuple:
        """Returns which caches a pool or a split uses, with its fallbacks.

        :param seen: pools whose fallback this is, so that a cycle ends.
        """
        if name in self.plan.splits:
            split = self.plan.splits[name]
            return ("split", split.by, tuple((self.pool(pool), share) for pool, share in split.parts))
        pool: Pool = self.plan.pools[name]
        fallback = self.pool(pool.fallback, (*seen, name)) if pool.fallback and name not in seen else None
        conditions = (sorted(pool.stores), sorted(pool.kinds), sorted(pool.cells), sorted(pool.caches))
        members = tuple(sorted(self.plan.members(pool)))
        amounts = (pool.at_least, pool.back_at, pool.back_after) if pool.fallback else ()
        return ("pool", members or str(conditions), fallback, amounts)

    def of_route(self, route: Route | None) -> dict[str, Any]:
        """Returns what a route does with its requests, by key; None: no route matches."""
        if route is None:
            return {"route": None}
        plan = self.plan
        policy = asdict(plan.policies[route.policy]) if route.policy else asdict(Policy())
        traffic_class = plan.vhosts[route.vhost]
        vhost = {key: getattr(traffic_class, name) for key, name in TRAFFIC_CLASS_FIELDS.items()}
        for key in POLICY_OVERRIDES:
            if policy[key] is not None:
                vhost[key] = policy.pop(key)
            else:
                policy.pop(key)
        limits = {(name, *asdict(plan.limits[name]).values()) for name in route.limits}
        counted_per = {plan.limits[name].per for name in route.limits}
        return {
            "vhost": vhost,
            "pool": self.pool(route.pool),
            "policy": policy,
            "limits": limits,
            "tenant": route.tenant if "tenant" in counted_per else None,
            "object": self._object(route),
            "group": route.group,
            "counted": route.name if "route" in counted_per else None,
        }

    @staticmethod
    def _object(route: Route) -> str | None:
        """Returns how the object's name is made; None: it is the whole path."""
        if route.object:
            return route.object
        path = route.boxes[0].path.required
        return path[0].text if path and "part" in path[0].captures else None


def named_value(route: Route | None, key: str) -> str:
    """Returns what a route names under a key, for messages."""
    if route is None:
        return "none"
    value = getattr(route, key, None)
    if key == "limits":
        return ", ".join(route.limits) or "none"
    return "none" if value is None else str(value)


class Diff:
    """The differences between two plans.

    :ivar changes: the sets of requests that are treated differently.
    :ivar settings: what else differs: the key, its old and its new value.
    """

    def __init__(self, old: Plan, new: Plan):
        self.old, self.new = old, new
        self.effects = Effects(old), Effects(new)
        self._effects_by_route: dict[int, dict[str, Any]] = {}
        self.changes = sorted(self._changes(), key=lambda change: str(change.pair))
        self.settings = list(self._settings())

    def _effect(self, side: int, route: Route | None) -> dict[str, Any]:
        effect = self._effects_by_route.get(id(route) if route else -1)
        if effect is None:
            effect = self._effects_by_route[id(route) if route else -1] = self.effects[side].of_route(route)
        return effect

    def differs(self, old: Route | None, new: Route | None) -> bool:
        """Returns whether two routes, one of each plan, treat requests differently."""
        if old is None or new is None:
            return old is not new
        return self._effect(0, old) != self._effect(1, new)

    def _changes(self) -> Iterable[Change]:
        new_by_prefix, old_by_prefix = RoutesByPrefix(self.new.routes), RoutesByPrefix(self.old.routes)
        for old in self.old.routes:
            boxes = self._reached_by(old, old_by_prefix)
            for new in new_by_prefix.related_to(old):
                if (
                    boxes
                    and self.differs(old, new)
                    and (changed_boxes := self._reached_by_both(boxes, new, new_by_prefix))
                ):
                    yield self._change(old, new, changed_boxes)
            if boxes and (changed_boxes := self._matched_by_none(boxes, new_by_prefix.related_to(old))):
                yield self._change(old, None, changed_boxes)
        for new in self.new.routes:
            boxes = self._reached_by(new, new_by_prefix)
            if boxes and (changed_boxes := self._matched_by_none(boxes, old_by_prefix.related_to(new))):
                yield self._change(None, new, changed_boxes)

    def _reached_by(self, route: Route, by_prefix: RoutesByPrefix) -> list[Box]:
        """Returns the requests that reach a route: it matches them, and no earlier route does."""
        earlier = [
            box for other in by_prefix.related_to(route) if other.order < route.order for box in other.boxes
        ]
        return subtract(list(route.boxes), earlier)

    def _reached_by_both(self, boxes: list[Box], new: Route, by_prefix: RoutesByPrefix) -> list[Box]:
        """Returns those requests of the boxes that reach a route of the new plan."""
        shared = [both for box in boxes for theirs in new.boxes if (both := box.intersect(theirs))]
        if not shared:
            return []
        earlier = [
            box for other in by_prefix.related_to(new) if other.order < new.order for box in other.boxes
        ]
        return subtract(shared, earlier)

    @staticmethod
    def _matched_by_none(boxes: list[Box], others: list[Route]) -> list[Box]:
        return subtract(boxes, [box for other in others for box in other.boxes])

    def _change(self, old: Route | None, new: Route | None, boxes: list[Box]) -> Change:
        what: dict[str, tuple[str, str]] = {}
        if old is None or new is None:
            what["route"] = ("none" if old is None else old.name, "none" if new is None else new.name)
        else:
            was, now = self._effect(0, old), self._effect(1, new)
            for key in was:
                if was[key] != now.get(key):
                    name = "route" if key == "counted" else key
                    before, after = (named_value(route, key) for route in (old, new))
                    if key in ("vhost", "policy"):
                        changed_keys = [k for k in was[key] if was[key][k] != now[key].get(k)]
                        before, after = (
                            f"{n} ({', '.join(f'{k}={side[key][k]}' for k in changed_keys)})"
                            for n, side in ((before, was), (after, now))
                        )
                    what[name] = (before, after) if before != after else (before, f"{after}, changed")
        return Change((old.name if old else None, new.name if new else None), what, boxes[0].witness())

    def _settings(self) -> Iterable[tuple[str, str, str]]:
        """Yields what differs beside the routes: the key, its old and its new value."""
        for key, was in self.old.deployment.items():
            now = self.new.deployment.get(key)
            if was != now:
                yield f"deployment.{key}", str(was), str(now)
        old, new = self.old.purges or {}, self.new.purges or {}
        for key in {**old, **new}:
            if old.get(key) != new.get(key):
                yield f"purges.{key}", str(old.get(key, "none")), str(new.get(key, "none"))
        for part in ("stores", "hubs", "caches"):
            was, now = getattr(self.old, part), getattr(self.new, part)
            for name in [*was, *(n for n in now if n not in was)]:
                if was.get(name) != now.get(name):
                    before, after = ("none" if name not in side else str(side[name]) for side in (was, now))
                    yield f"{part}.{name}", before, after

    @property
    def is_empty(self) -> bool:
        """Whether nothing differs."""
        return not (self.changes or self.settings)

    def replay(self, queries: Iterable[RouteQuery]) -> tuple[Counter, Counter]:
        """Counts requests by the set that they are in, as a check of the sets themselves.

        :returns: by pair of routes, the requests in each set, with None for those that are treated as before;
            and those that are in a set by mistake, or by mistake in none, of which there should be none.
        """
        old, new = Matcher(self.old.routes), Matcher(self.new.routes)
        reported = {change.pair for change in self.changes}
        counts: Counter = Counter()
        stray: Counter = Counter()
        for query in queries:
            was, now = old.find(query), new.find(query)
            before, after = was.route if was else None, now.route if now else None
            pair = (before.name if before else None, after.name if after else None)
            if not self.differs(before, after):
                counts[None] += 1
                stray[pair] += pair in reported
            elif pair in reported:
                counts[pair] += 1
            else:
                stray[pair] += 1
        return counts, +stray
