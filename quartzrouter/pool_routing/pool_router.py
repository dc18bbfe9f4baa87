"""The router of one pool.  No I/O."""

from collections.abc import Iterable

from quartzrouter.config.model import Pool, is_pool_member
from quartzrouter.routing.model import CacheCount, Endpoint, MaintenanceActions, Tier
from quartzrouter.routing.router import Router
from quartzrouter.routing.units import MILLISECOND, NEVER

CACHE_COUNT_LIFETIME = 50 * MILLISECOND  # no endpoint is ejected, and its pool left, sooner than that


class PoolRouter:
    """A ``Router`` that sees the caches of one pool, and all parents and origins.

    :ivar pool: as the plan in force has it.
    :ivar next_maintenance_at: when the router wants to be asked for maintenance.
    """

    def __init__(self, pool: Pool, router: Router) -> None:
        self.pool = pool
        self.router = router
        self.next_maintenance_at = 0
        self.cache_count = CacheCount(0, 0)
        self.counted_at = -NEVER

    def uses(self, endpoint: Endpoint) -> bool:
        """:returns: whether an endpoint is one of the pool's caches, or no cache."""
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
        """Takes in the endpoint list, or changes to it; see ``Router.update_endpoints()``."""
        used = [endpoint for endpoint in endpoints if self.uses(endpoint)]
        self.router.update_endpoints(used, is_snapshot, now)
        self.next_maintenance_at = 0
        self.endpoints_changed()

    def endpoints_changed(self) -> None:
        """Has the caches counted anew."""
        self.counted_at = -NEVER

    def count_caches(self, now: int) -> CacheCount:
        """:returns: how many of the pool's caches may be sent requests, counted a moment ago at most."""
        if not 0 <= now - self.counted_at < CACHE_COUNT_LIFETIME:
            self.cache_count = self.router.count_caches(now)
            self.counted_at = now
        return self.cache_count

    def maintenance(self, now: int) -> MaintenanceActions:
        """Asks the router for maintenance, and notes when it wants to be asked again."""
        actions = self.router.maintenance(now)
        self.next_maintenance_at = now + actions.delay
        return actions
