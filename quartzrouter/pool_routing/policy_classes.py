"""The traffic classes of a plan with the overrides of its policies.  Does no I/O."""

from dataclasses import replace

from quartzrouter.config.model import POLICY_OVERRIDES, TRAFFIC_CLASS_FIELDS, Plan
from quartzrouter.pool_routing.route_selection import traffic_class_name
from quartzrouter.routing.model import TrafficClass


def effective_traffic_classes(plan: Plan) -> dict[str, TrafficClass]:
    """Returns the traffic classes that the routers of a plan need.

    :returns: by name, each class of the plan, and each class with the overrides of each policy of its routes.
    """
    classes: dict[str, TrafficClass] = dict(plan.vhosts)
    for route in plan.routes:
        if not route.policy:
            continue
        policy = plan.policies[route.policy]
        overrides = {key: getattr(policy, key) for key in POLICY_OVERRIDES}
        changes = {TRAFFIC_CLASS_FIELDS[key]: value for key, value in overrides.items() if value is not None}
        name = traffic_class_name(route)
        classes[name] = replace(plan.vhosts[route.vhost], name=name, **changes)
    return classes
