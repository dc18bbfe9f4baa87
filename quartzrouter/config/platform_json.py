"""A plan as the platform's configuration: the JSON that NODE_CONFIG names, in the platform's own words."""

from typing import Any

from quartzrouter.config.model import Plan
from quartzrouter.routing.model import Idempotency

EFFECTS = {
    Idempotency.IDEMPOTENT: "retryable",
    Idempotency.IDEMPOTENT_WITH_KEY: "dedup",
    Idempotency.NON_IDEMPOTENT: "fragile",
}
KINDS = {"parent": "parent", "origin": "origin"}  # of servers that aren't caches


def zones(plan: Plan) -> list[str]:
    return [*plan.stores, *(hub for hub in plan.hubs if hub not in plan.stores)]


def kind(cache: dict[str, Any]) -> str:
    return KINDS.get(cache["tier"], cache["kind"])


def models(plan: Plan) -> list[str]:
    boxes = dict.fromkeys(kind(cache) for cache in plan.caches.values() if cache["tier"] == "cache")
    return [*boxes, "parent", "origin"]


def endpoint_list(plan: Plan) -> list[dict[str, Any]]:
    """The cache list, as the journal's events have it."""
    return [
        {
            "id": name,
            "host_port": cache["address"],
            "locality": cache["at"],
            "flavor": kind(cache),
            "cell": cache["cell"],
            "phase": "SERVING",
            "size": cache["weight"],
            "up_since_ms": 0,
        }
        for name, cache in plan.caches.items()
    ]


def platform_configuration(plan: Plan) -> dict[str, Any]:
    """What `python -m quartzrouter` reads; routes, pools and limits have no words there and are left out."""
    told, vhosts = plan.deployment, list(plan.vhosts.values())
    here = [told["routers_here"] if zone == told["home"] else told["routers"] for zone in zones(plan)]
    cold, parent, names = told["cold"], told["cold_parent"], models(plan)
    config = {
        "name": f"{told['name']}-{told['number']}",
        "listen": told["listen"],
        "seed": told["seed"],
        "limits": {"memory_mb": told["memory"] >> 20, "sockets": told["descriptors"]},
        "known": {
            "pos": 1,
            "entries": [{"pos": 1, "hosts": {"complete": True, "members": endpoint_list(plan)}}],
        }
        if plan.caches
        else {"pos": 0, "entries": []},
        "settings": {
            "me": told["number"],
            "peers_total": told["routers"],
            "zone": told["home"],
            "zones": zones(plan),
            "models": names,
            "weights": "listed",
            "categories": [
                {
                    "name": vhost.name,
                    "effect": EFFECTS[vhost.idempotency],
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
                "try_limit": told["dispatches"],
                "cancel": told["call_off"],
                "probes": told["probes"],
                "retry_after": told["longest_wait"] > 0,
                "max_retry_after_us": told["longest_wait"],
                "dial_timeout_us": told["connect_within"],
                "conn_idle_us": told["idle_most"],
            },
            "rules": {
                "cold_from": cold["floor"],
                "ramp_time_us": cold["ramp"],
                "tip_multiple": cold["multiple"],
                "tip_after_us": cold["window"],
            },
            "family_info": {
                "shield_kind": names.index("parent"),
                "store_kind": names.index("origin"),
                "zone_balancers": here,
                "shares_fills": told["joins"],
                "pass_through_ok": told["pass_through"],
                "flow_kb_per_s": (told["flow"] or 0) / 1000,
                "gone_everywhere_us": told["purge_life"],
                "parent_floor": parent["floor"],
                "parent_cold_us": parent["ramp"],
                "parent_fall_multiple": parent["multiple"],
                "never_kept": [vhost.uncacheable for vhost in vhosts],
                "good_for_us": [vhost.max_age for vhost in vhosts],
                "grace_for_us": [vhost.stale_grace for vhost in vhosts],
                "class_stale_worth": [vhost.stale_value_share for vhost in vhosts],
            },
        },
    }
    if told["journal"]:
        config["journal"] = told["journal"]
    return config
