"""A checked plan, as plain values: what the matcher, the limits and the pools take."""

from dataclasses import dataclass, field
from typing import Any

from quartzrouter.config.problems import Place
from quartzrouter.config.request_sets import Box
from quartzrouter.routing.model import TrafficClass

# The keys of a plan's vhost, and the fields of a traffic class that they set.
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

# Keys of a vhost that a policy may set in its place.
POLICY_OVERRIDES = ("fresh_for", "grace_for", "old_share", "first_byte_target", "value")


@dataclass(frozen=True, slots=True)
class Policy:
    """What a route changes of its vhost; None: as the vhost has it."""

    fresh_for: int | None = None  # us
    grace_for: int | None = None  # us
    old_share: float | None = None
    first_byte_target: int | None = None  # us
    value: float | None = None
    rank: int | None = None
    dispatches: int | None = None
    budget: float | None = None  # further dispatches for each req
    deny: bool | None = None
    come_back: int | None = None  # us


@dataclass(frozen=True, slots=True)
class Amount:
    """A number of caches, or a share of those listed."""

    count: int = 0
    share: float = 0.0

    def to_count(self, listed: int) -> float:
        return self.share * listed if self.share else self.count


@dataclass(frozen=True, slots=True)
class Pool:
    name: str
    stores: tuple[str, ...]
    kinds: tuple[str, ...] = ()  # none named: any
    cells: tuple[int, ...] = ()
    caches: tuple[str, ...] = ()
    fallback: str | None = None
    at_least: Amount | None = None
    back_at: Amount | None = None
    back_after: int = 0  # us


@dataclass(frozen=True, slots=True)
class Split:
    name: str
    by: str  # object or client
    parts: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class Limit:
    name: str
    per: str
    rate: float = 0.0  # reqs a second; 0: none
    burst: int = 0
    concurrent: int = 0  # 0: any
    keep_free: float = 0.0
    below: float = 0.0
    across: str = "router"  # or store or fleet: what all routers of it share
    floors: float = 0.0  # share of it that routers have whoever hears nothing
    life: int = 0  # us of a granted share
    counts: str = "reqs"  # or repeats


@dataclass(frozen=True, slots=True)
class Route:
    name: str
    order: int
    boxes: tuple[Box, ...]  # together what it takes
    vhost: str
    pool: str  # or a split
    policy: str | None
    limits: tuple[str, ...]
    tenant: str | None
    object: str | None
    group: str | None


@dataclass(frozen=True)
class Plan:
    deployment: dict[str, Any]
    stores: dict[str, str]  # its hub
    hubs: dict[str, str | None]  # the one above
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
        """The pools that a route's pool or split leads to, without fallbacks."""
        return [pool for pool, _ in self.splits[name].parts] if name in self.splits else [name]

    def members(self, pool: Pool) -> list[str]:
        """Caches listed in the plan that belong to a pool."""
        return [name for name, cache in self.caches.items() if is_pool_member(pool, name, cache)]


def is_pool_member(pool: Pool, name: str, cache: dict[str, Any]) -> bool:
    return (
        cache["tier"] == "cache"
        and (not pool.stores or cache["at"] in pool.stores)
        and (not pool.kinds or cache["kind"] in pool.kinds)
        and (not pool.cells or cache["cell"] in pool.cells)
        and (not pool.caches or name in pool.caches)
    )
