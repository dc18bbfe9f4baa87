"""Converts a plan to the platform's configuration: the JSON that NODE_CONFIG names."""

from typing import Any

from quartzrouter.config.model import Plan
from quartzrouter.routing.model import Idempotency

EFFECT_NAMES = {
    Idempotency.IDEMPOTENT: "retryable",
    Idempotency.IDEMPOTENT_WITH_KEY: "dedup",
    Idempotency.NON_IDEMPOTENT: "fragile",
}
MACHINE_TYPES_BY_TIER = {"parent": "parent", "origin": "origin"}  # of servers that aren't caches


def zones(plan: Plan) -> list[str]:
    """Returns all locations: the stores, and behind them the hubs that aren't stores too."""
    return [*plan.stores, *(hub for hub in plan.hubs if hub not in plan.stores)]


def machine_type(cache: dict[str, Any]) -> str:
    """Returns the machine type that the platform knows a server by: for parents and origins their tier."""
    return MACHINE_TYPES_BY_TIER.get(cache["tier"], cache["kind"])


def machine_types(plan: Plan) -> list[str]:
    """Returns the machine types of the plan's caches, and behind them those of parents and origins."""
    cache_types = dict.fromkeys(
        machine_type(cache) for cache in plan.caches.values() if cache["tier"] == "cache"
    )
    return [*cache_types, "parent", "origin"]


def endpoint_list(plan: Plan) -> list[dict[str, Any]]:
    """Returns the plan's caches, parents and origins as the events of the journal list them."""
    return [
        {
            "id": name,
            "host_port": cache["address"],
            "locality": cache["at"],
            "flavor": machine_type(cache),
            "cell": cache["cell"],
            "phase": "SERVING",
            "size": cache["weight"],
            "up_since_ms": 0,
        }
        for name, cache in plan.caches.items()
    ]


def platform_configuration(plan: Plan) -> dict[str, Any]:
    """Returns what `python -m quartzrouter` reads; it has no keys for routes, pools and limits."""
    deployment, vhosts = plan.deployment, list(plan.vhosts.values())
    router_counts = [
        deployment["routers_here"] if zone == deployment["home"] else deployment["routers"]
        for zone in zones(plan)
    ]
    cold, cold_parent, type_names = deployment["cold"], deployment["cold_parent"], machine_types(plan)
    config = {
        "name": f"{deployment['name']}-{deployment['number']}",
        "listen": deployment["listen"],
        "seed": deployment["seed"],
        "limits": {"memory_mb": deployment["memory"] >> 20, "sockets": deployment["descriptors"]},
        "known": {
            "pos": 1,
            "entries": [{"pos": 1, "hosts": {"complete": True, "members": endpoint_list(plan)}}],
        }
        if plan.caches
        else {"pos": 0, "entries": []},
        "settings": {
            "me": deployment["number"],
            "peers_total": deployment["routers"],
            "zone": deployment["home"],
            "zones": zones(plan),
            "models": type_names,
            "weights": "listed",
            "categories": [
                {
                    "name": vhost.name,
                    "effect": EFFECT_NAMES[vhost.idempotency],
                    "worth": vhost.priority_weight,
                    "aim_us": vhost.latency_objective,
                    "aim_stretch": vhost.objective_stretch,
                    "deadline_us": vhost.client_timeout,
                    "late_share": vhost.late_value_share,
                    "group": vhost.deduplication_scope,
                    "window_us": vhost.deduplication_window,
                }
                for vhost in vhosts
            ],
            "limits": {
                "try_limit": deployment["dispatches"],
                "cancel": deployment["call_off"],
                "probes": deployment["probes"],
                "retry_after": deployment["longest_wait"] > 0,
                "max_retry_after_us": deployment["longest_wait"],
                "dial_timeout_us": deployment["connect_within"],
                "conn_idle_us": deployment["idle_most"],
            },
            "rules": {
                "cold_from": cold["floor"],
                "ramp_time_us": cold["ramp"],
                "tip_multiple": cold["multiple"],
                "tip_after_us": cold["window"],
            },
            "family_info": {
                "shield_kind": type_names.index("parent"),
                "store_kind": type_names.index("origin"),
                "zone_balancers": router_counts,
                "shares_fills": deployment["joins"],
                "pass_through_ok": deployment["pass_through"],
                "flow_kb_per_s": (deployment["flow"] or 0) / 1000,
                "gone_everywhere_us": deployment["purge_life"],
                "parent_floor": cold_parent["floor"],
                "parent_cold_us": cold_parent["ramp"],
                "parent_fall_multiple": cold_parent["multiple"],
                "never_kept": [vhost.uncacheable for vhost in vhosts],
                "good_for_us": [vhost.max_age for vhost in vhosts],
                "grace_for_us": [vhost.stale_grace for vhost in vhosts],
                "class_stale_worth": [vhost.stale_value_share for vhost in vhosts],
            },
        },
    }
    if deployment["journal"]:
        config["journal"] = deployment["journal"]
    return config
