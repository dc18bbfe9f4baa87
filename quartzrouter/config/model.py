"""A checked plan as plain values: the input of the matcher, the limits and the pools.

Fields bear the names of the plan's keys; durations are in microseconds.
"""

from dataclasses import dataclass, field
from typing import Any

from quartzrouter.config.problems import Place
from quartzrouter.config.request_sets import Box
from quartzrouter.routing.model import TrafficClass

# By key of a plan's vhost, the field of a traffic class that it sets.
TRAFFIC_CLASS_FIELDS = {
    "name": "name",
    "effect": "idempotency",
    "value": "priority_weight",
    "first_byte_target": "latency_objective",
    "target_stretch": "objective_stretch",
    "client_timeout": "client_timeout",
    "late_share": "late_value_share",
    "repeats_within": "deduplication_scope",
    "repeats_for": "deduplication_window",
    "fresh_for": "max_age",
    "grace_for": "stale_grace",
    "old_share": "stale_value_share",
    "never_kept": "uncacheable",
}

# Keys of a vhost that a policy may override.
POLICY_OVERRIDES = ("fresh_for", "grace_for", "old_share", "first_byte_target", "value")


@dataclass(frozen=True, slots=True)
class Policy:
    """What a route overrides of its vhost; None: as the vhost or the deployment has it.

    :ivar rank: the highest cache priority of what the route's requests fill.
    :ivar dispatches: of one request, at most.
    :ivar budget: further dispatches for each request, on average.
    :ivar deny: whether all requests are rejected.
    :ivar come_back: microseconds after which a rejected client is told to try again.
    """

    fresh_for: int | None = None
    grace_for: int | None = None
    old_share: float | None = None
    first_byte_target: int | None = None
    value: float | None = None
    rank: int | None = None
    dispatches: int | None = None
    budget: float | None = None
    deny: bool | None = None
    come_back: int | None = None


@dataclass(frozen=True, slots=True)
class Amount:
    """A number of caches, or a share of those listed; a share of 0 means that ``count`` holds."""

    count: int = 0
    share: float = 0.0

    def to_count(self, listed: int) -> float:
        """Returns how many caches that is.

        :param listed: the number of caches that are listed.
        """
        return self.share * listed if self.share else self.count


@dataclass(frozen=True, slots=True)
class Pool:
    """Caches that serve routes: those that meet all conditions; an empty condition is met by any cache.

    :ivar kinds: machine types.
    :ivar fallback: the pool that is used while fewer than ``at_least`` caches are available.
    :ivar back_at: how many have to be available again before the pool is used again.
    :ivar back_after: microseconds for which they have to be.
    """

    name: str
    stores: tuple[str, ...]
    kinds: tuple[str, ...] = ()
    cells: tuple[int, ...] = ()
    caches: tuple[str, ...] = ()
    fallback: str | None = None
    at_least: Amount | None = None
    back_at: Amount | None = None
    back_after: int = 0


@dataclass(frozen=True, slots=True)
class Split:
    """Pools that share the requests of a route.

    :ivar by: "object" or "client": whose requests all go to the same pool.
    :ivar parts: pools with their shares, which add up to 1.
    """

    name: str
    by: str
    parts: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class Limit:
    """A limit on requests, with a counter for each route, pool, tenant or client, or with one for all.

    :ivar per: what has a counter of its own: "route", "pool", "tenant", "client" or "all".
    :ivar rate: requests a second; 0: no limit.
    :ivar concurrent: requests in flight; 0: no limit.
    :ivar keep_free: the share of ``concurrent`` that requests of a value under ``below`` may not use.
    :ivar across: "router", or "store" or "fleet" if all routers of it share the limit.
    :ivar floors: the share of it that routers have without a grant, in equal parts.
    :ivar life: microseconds after which a granted share expires.
    :ivar counts: "reqs", or "repeats" if it counts further dispatches.
    """

    name: str
    per: str
    rate: float = 0.0
    burst: int = 0
    concurrent: int = 0
    keep_free: float = 0.0
    below: float = 0.0
    across: str = "router"
    floors: float = 0.0
    life: int = 0
    counts: str = "reqs"


@dataclass(frozen=True, slots=True)
class Route:
    """What requests of a set get; of all routes that match a request, the first one is used.

    :ivar order: the position among the routes of the plan, from 0.
    :ivar boxes: the set of requests, in parts: one for each host pattern.
    :ivar pool: the name of a pool or a split.
    :ivar tenant: the capture or header that names the tenant.
    :ivar object: the object's name, with captures in braces; None: the path.
    :ivar group: the tag by which objects are purged together, written likewise.
    """

    name: str
    order: int
    boxes: tuple[Box, ...]
    vhost: str
    pool: str
    policy: str | None
    limits: tuple[str, ...]
    tenant: str | None
    object: str | None
    group: str | None


@dataclass(frozen=True)
class Plan:
    """A plan without faults; its parts by the names of their entries.

    :ivar stores: the hub of each.
    :ivar hubs: the hub above each.
    :ivar caches: caches, parents and origins, each with the values of its keys.
    :ivar places: where each value was given, by the path of keys that leads to it.
    """

    deployment: dict[str, Any]
    stores: dict[str, str]
    hubs: dict[str, str | None]
    caches: dict[str, dict[str, Any]]
    vhosts: dict[str, TrafficClass]
    policies: dict[str, Policy]
    pools: dict[str, Pool]
    splits: dict[str, Split]
    limits: dict[str, Limit]
    routes: tuple[Route, ...]
    purges: dict[str, Any] | None = None
    leases: dict[str, Any] | None = None
    places: dict[tuple[str, ...], Place] = field(default_factory=dict, compare=False)

    def pools_of(self, name: str) -> list[str]:
        """Returns the pools that a route's pool or split stands for, without fallbacks."""
        return [pool for pool, _ in self.splits[name].parts] if name in self.splits else [name]

    def members(self, pool: Pool) -> list[str]:
        """Returns the caches listed in the plan that belong to a pool."""
        return [name for name, cache in self.caches.items() if is_pool_member(pool, name, cache)]


def is_pool_member(pool: Pool, name: str, cache: dict[str, Any]) -> bool:
    """Returns whether a server is a cache that meets all conditions of a pool.

    :param cache: the values of its keys in the plan.
    """
    return (
        cache["tier"] == "cache"
        and (not pool.stores or cache["at"] in pool.stores)
        and (not pool.kinds or cache["kind"] in pool.kinds)
        and (not pool.cells or cache["cell"] in pool.cells)
        and (not pool.caches or name in pool.caches)
    )
