"""The traffic classes of a plan as its policies change them.  No I/O."""

from dataclasses import replace

from quartzrouter.config.model import POLICY_OVERRIDES, TRAFFIC_CLASS_FIELDS, Plan
from quartzrouter.pool_routing.route_selection import traffic_class_name
from quartzrouter.routing.model import TrafficClass


def effective_traffic_classes(plan: Plan) -> dict[str, TrafficClass]:
    """Makes the traffic classes that the routers of a plan need.

    :returns: by name, each class of the plan, and each as the policies of its routes change it.
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
