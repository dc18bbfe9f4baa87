"""The budgets that a plan's limits name: one for the fleet, or one for each store."""

from collections.abc import Iterable

from quartzrouter.config.model import Limit, Plan
from quartzrouter.quota.budget import Budget
from quartzrouter.quota.slow_start import SlowStartTerms

COLD = {"cache": "cold", "parent": "cold_parent"}  # keys of `deployment`, by tier
AT = "@"  # between a limit's name and the store's: in no name


def budgets(plan: Plan, stores: Iterable[str]) -> list[Budget]:
    """What routers of those stores share; whoever grants names all stores, a router its own."""
    found = []
    for limit in plan.limits.values():
        if limit.across == "fleet":
            found.append(_budget(plan, limit, limit.name, plan.deployment["routers"]))
        elif limit.across == "store":
            here = plan.deployment["routers_here"] or plan.deployment["routers"]
            found += [_budget(plan, limit, f"{limit.name}{AT}{store}", here) for store in stores]
    return found


def terms(plan: Plan) -> dict[str, SlowStartTerms]:
    """By tier, how routers share what a cold server may be sent, where they do."""
    told, found = plan.deployment, {}
    for tier, key in COLD.items():
        cold = told[key]
        here = told["routers_here"] if tier == "cache" else None
        if cold["across"] == "all":
            routers = here or told["routers"]
            found[tier] = SlowStartTerms(cold["window"], cold["floors"], routers, cold["share_life"])
    return found


def budget_of(limit: Limit, home: str) -> str:
    """The name of the budget in which a router of that store counts; nothing: it counts by itself."""
    if limit.across == "router":
        return ""
    return limit.name if limit.across == "fleet" else f"{limit.name}{AT}{home}"


def holds(plan: Plan) -> dict[str, int]:
    """By limit on reqs in hand that is shared: us for which a req may be in hand in it."""
    shared = (each for each in plan.limits.values() if each.concurrent and each.across != "router")
    return {each.name: _hold(plan, each) for each in shared}


def _hold(plan: Plan, limit: Limit) -> int:
    """The longest client timeout of its routes."""
    return max(
        (plan.vhosts[each.vhost].client_timeout for each in plan.routes if limit.name in each.limits),
        default=0,
    )


def _budget(plan: Plan, limit: Limit, name: str, routers: int) -> Budget:
    return Budget(
        name,
        limit.rate,
        float(limit.burst),
        limit.concurrent,
        _hold(plan, limit) if limit.concurrent else 0,
        limit.floors,
        routers,
        limit.life,
    )
