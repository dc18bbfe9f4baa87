"""The router of one pool.  Does no I/O."""

from collections.abc import Iterable

from quartzrouter.config.model import Pool, is_pool_member
from quartzrouter.routing.model import CacheCount, Endpoint, MaintenanceActions, Tier
from quartzrouter.routing.router import Router
from quartzrouter.routing.units import MILLISECOND, NEVER

CACHE_COUNT_LIFETIME = 50 * MILLISECOND  # an ejection affects the selection of pools within this time


class PoolRouter:
    """A ``Router`` that knows the caches of one pool, and all parents and origins.

    :ivar pool: the pool, from the current plan.
    :ivar next_maintenance_at: when the router's maintenance is due.
    """

    def __init__(self, pool: Pool, router: Router) -> None:
        self.pool = pool
        self.router = router
        self.next_maintenance_at = 0
        self.cache_count = CacheCount(0, 0)
        self.counted_at = -NEVER

    def uses(self, endpoint: Endpoint) -> bool:
        """Returns True if an endpoint is one of the pool's caches, or not a cache."""
        if endpoint.tier is not Tier.CACHE:
            return True
        attributes = {
            "tier": "cache",
            "at": endpoint.location,
            "kind": endpoint.machine_type,
            "cell": endpoint.cell,
        }
        return is_pool_member(self.pool, endpoint.name, attributes)

    def update_endpoints(self, endpoints: Iterable[Endpoint], is_snapshot: bool, now: int) -> None:
        """Applies the endpoint list, or changes to it; see ``Router.update_endpoints()``."""
        used = [endpoint for endpoint in endpoints if self.uses(endpoint)]
        self.router.update_endpoints(used, is_snapshot, now)
        self.next_maintenance_at = 0
        self.endpoints_changed()

    def endpoints_changed(self) -> None:
        """Discards the count of available caches."""
        self.counted_at = -NEVER

    def count_caches(self, now: int) -> CacheCount:
        """Returns how many of the pool's caches are available; at most ``CACHE_COUNT_LIFETIME`` old."""
        if not 0 <= now - self.counted_at < CACHE_COUNT_LIFETIME:
            self.cache_count = self.router.count_caches(now)
            self.counted_at = now
        return self.cache_count

    def maintenance(self, now: int) -> MaintenanceActions:
        """Runs the router's maintenance, and records when it is due again."""
        actions = self.router.maintenance(now)
        self.next_maintenance_at = now + actions.delay
        return actions
