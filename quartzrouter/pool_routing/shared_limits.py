"""The budgets of a plan's shared limits: one for the fleet, or one for each store.  Does no I/O."""

from collections.abc import Iterable

from quartzrouter.config.model import Limit, Plan
from quartzrouter.quota.budget import Budget
from quartzrouter.quota.slow_start_messages import SlowStartTerms

SLOW_START_KEYS = {"cache": "cold", "parent": "cold_parent"}  # keys in the plan's `deployment`, by tier
STORE_SEPARATOR = "@"  # between the names of limit and store, which can't contain it


def shared_budgets(plan: Plan, stores: Iterable[str]) -> list[Budget]:
    """Returns the budgets that the routers of some stores share.

    :param stores: all stores of the plan for an allocator, its own store for a router.
    """
    found = []
    for limit in plan.limits.values():
        if limit.across == "fleet":
            found.append(_budget(plan, limit, limit.name, plan.deployment["routers"]))
        elif limit.across == "store":
            routers = plan.deployment["routers_here"] or plan.deployment["routers"]
            found += [_budget(plan, limit, _store_budget_name(limit, store), routers) for store in stores]
    return found


def slow_start_terms(plan: Plan) -> dict[str, SlowStartTerms]:
    """Returns the terms of slow start, by tier, for the tiers whose budgets routers share."""
    deployment = plan.deployment
    found = {}
    for tier, key in SLOW_START_KEYS.items():
        slow_start = deployment[key]
        if slow_start["across"] != "all":
            continue
        routers_here = deployment["routers_here"] if tier == "cache" else None
        found[tier] = SlowStartTerms(
            window=slow_start["window"],
            guaranteed_share=slow_start["floors"],
            routers=routers_here or deployment["routers"],
            grant_ttl=slow_start["share_life"],
        )
    return found


def budget_name(limit: Limit, home: str) -> str:
    """Returns the name of the budget that a router uses; empty if it counts by itself.

    :param home: the name of the router's store.
    """
    if limit.across == "router":
        return ""
    return limit.name if limit.across == "fleet" else _store_budget_name(limit, home)


def max_request_times(plan: Plan) -> dict[str, int]:
    """Returns the longest time in flight of a request, in microseconds, by shared concurrency limit."""
    return {
        limit.name: _max_request_time(plan, limit)
        for limit in plan.limits.values()
        if limit.concurrent and limit.across != "router"
    }


def _store_budget_name(limit: Limit, store: str) -> str:
    return f"{limit.name}{STORE_SEPARATOR}{store}"


def _max_request_time(plan: Plan, limit: Limit) -> int:
    """Returns the longest client timeout of the routes that the limit applies to, in microseconds."""
    return max(
        (plan.vhosts[route.vhost].client_timeout for route in plan.routes if limit.name in route.limits),
        default=0,
    )


def _budget(plan: Plan, limit: Limit, name: str, routers: int) -> Budget:
    return Budget(
        name=name,
        rate=limit.rate,
        burst=float(limit.burst),
        slots=limit.concurrent,
        max_request_time=_max_request_time(plan, limit) if limit.concurrent else 0,
        guaranteed_share=limit.floors,
        routers=routers,
        grant_ttl=limit.life,
    )
