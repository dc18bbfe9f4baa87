"""What a new version of a plan changes in effect: disjoint sets of reqs, each with a witness.

A set is all reqs that one route of the old plan took and one of the new takes, where the two do
different things.  So every req that routes differently lies in exactly one set, and no other req does.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from quartzrouter.config.matcher import Matcher
from quartzrouter.config.model import POLICY_OVERRIDES, TRAFFIC_CLASS_FIELDS, Plan, Policy, Pool, Route
from quartzrouter.config.request_sets import Box, RouteQuery, rest
from quartzrouter.config.shadowing import Near

Pair = tuple[str | None, str | None]  # the old route's name and the new one's; None: no route takes it


@dataclass(frozen=True)
class Change:
    """A set of reqs that get something else: by which routes, what, and one of them."""

    pair: Pair
    what: dict[str, tuple[str, str]]  # what differs: as it was, as it would be
    witness: RouteQuery

    def shown(self) -> str:
        old, new = (f"route '{name}'" if name else "no route" for name in self.pair)
        lines = [f"{old} -> {new}" if self.pair[0] != self.pair[1] else old]
        lines += [f"    {key}: {was} -> {now}" for key, (was, now) in self.what.items()]
        return "\n".join([*lines, f"    e.g. {self.witness.describe()}"])

    def as_json(self) -> dict[str, Any]:
        return {
            "from": self.pair[0],
            "to": self.pair[1],
            "what": {k: list(v) for k, v in self.what.items()},
            "witness": self.witness._asdict(),
        }


class Effects:
    """What routes of a plan do, spelt out: two spellings of the same are equal."""

    def __init__(self, plan: Plan):
        self.plan = plan

    def pool(self, name: str, seen: tuple[str, ...] = ()) -> tuple:
        if name in self.plan.splits:
            split = self.plan.splits[name]
            return ("split", split.by, tuple((self.pool(pool), share) for pool, share in split.parts))
        pool: Pool = self.plan.pools[name]
        fallback = self.pool(pool.fallback, (*seen, name)) if pool.fallback and name not in seen else None
        told = (sorted(pool.stores), sorted(pool.kinds), sorted(pool.cells), sorted(pool.caches))
        members = tuple(sorted(self.plan.members(pool)))
        amounts = (pool.at_least, pool.back_at, pool.back_after) if pool.fallback else ()
        return ("pool", members or str(told), fallback, amounts)

    def of(self, route: Route | None) -> dict[str, Any]:
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
        per = {plan.limits[name].per for name in route.limits}
        return {
            "vhost": vhost,
            "pool": self.pool(route.pool),
            "policy": policy,
            "limits": limits,
            "tenant": route.tenant if "tenant" in per else None,
            "object": self._object(route),
            "group": route.group,
            "counted": route.name if "route" in per else None,
        }

    @staticmethod
    def _object(route: Route) -> str | None:
        if route.object:
            return route.object
        path = route.boxes[0].path.required
        return path[0].text if path and "part" in path[0].captures else None


def named(plan: Plan, route: Route | None, key: str) -> str:
    if route is None:
        return "none"
    value = getattr(route, key, None)
    if key == "limits":
        return ", ".join(route.limits) or "none"
    return "none" if value is None else str(value)


class Diff:
    def __init__(self, old: Plan, new: Plan):
        self.old, self.new = old, new
        self.effects = Effects(old), Effects(new)
        self.told: dict[int, dict[str, Any]] = {}
        self.changes = sorted(self._changes(), key=lambda change: str(change.pair))
        self.settings = list(self._settings())

    def _effect(self, side: int, route: Route | None) -> dict[str, Any]:
        known = self.told.get(id(route) if route else -1)
        if known is None:
            known = self.told[id(route) if route else -1] = self.effects[side].of(route)
        return known

    def differs(self, old: Route | None, new: Route | None) -> bool:
        if old is None or new is None:
            return old is not new
        return self._effect(0, old) != self._effect(1, new)

    def _changes(self) -> Iterable[Change]:
        near = Near(self.new.routes), Near(self.old.routes)
        for old in self.old.routes:
            boxes = self._own(old, near[1])
            for new in near[0].of(old):
                if boxes and self.differs(old, new) and (found := self._both(boxes, new, near[0])):
                    yield self._change(old, new, found)
            if boxes and (found := self._left(boxes, near[0].of(old))):
                yield self._change(old, None, found)
        for new in self.new.routes:
            boxes = self._own(new, near[0])
            if boxes and (found := self._left(boxes, near[1].of(new))):
                yield self._change(None, new, found)

    def _own(self, route: Route, near: Near) -> list[Box]:
        """What a route takes behind those before it."""
        earlier = [box for other in near.of(route) if other.order < route.order for box in other.boxes]
        return rest(list(route.boxes), earlier)

    def _both(self, boxes: list[Box], new: Route, near: Near) -> list[Box]:
        shared = [both for box in boxes for theirs in new.boxes if (both := box.meet(theirs))]
        if not shared:
            return []
        earlier = [box for other in near.of(new) if other.order < new.order for box in other.boxes]
        return rest(shared, earlier)

    @staticmethod
    def _left(boxes: list[Box], others: list[Route]) -> list[Box]:
        return rest(boxes, [box for other in others for box in other.boxes])

    def _change(self, old: Route | None, new: Route | None, boxes: list[Box]) -> Change:
        what: dict[str, tuple[str, str]] = {}
        if old is None or new is None:
            what["route"] = ("none" if old is None else old.name, "none" if new is None else new.name)
        else:
            was, now = self._effect(0, old), self._effect(1, new)
            for key in was:
                if was[key] != now.get(key):
                    name = "route" if key == "counted" else key
                    before, after = (named(p, r, key) for p, r in ((self.old, old), (self.new, new)))
                    if key in ("vhost", "policy"):
                        inner = [k for k in was[key] if was[key][k] != now[key].get(k)]
                        before, after = (
                            f"{n} ({', '.join(f'{k}={side[key][k]}' for k in inner)})"
                            for n, side in ((before, was), (after, now))
                        )
                    what[name] = (before, after) if before != after else (before, f"{after}, changed")
        return Change((old.name if old else None, new.name if new else None), what, boxes[0].witness())

    def _settings(self) -> Iterable[tuple[str, str, str]]:
        """What differs beside the routes: key, as it was, as it would be."""
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
    def same(self) -> bool:
        return not (self.changes or self.settings)

    def replay(self, asked: Iterable[RouteQuery]) -> tuple[Counter, Counter]:
        """How many reqs lie in each set, and how many route differently in no reported set (none should)."""
        old, new = Matcher(self.old.routes), Matcher(self.new.routes)
        reported = {change.pair for change in self.changes}
        counts: Counter = Counter()
        stray: Counter = Counter()
        for req in asked:
            was, now = old.find(req), new.find(req)
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
