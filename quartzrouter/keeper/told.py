"""The terms of leases, and where keepers listen, as a plan tells them."""

from quartzrouter.briefing import address
from quartzrouter.leases.terms import Terms
from quartzrouter.plan.model import Plan


class Untold(ValueError):
    """A plan that names no keepers, or not this one or this task."""


def terms(plan: Plan) -> tuple[Terms, dict[str, tuple[str, int]]]:
    """Raises Untold."""
    told = plan.leases
    if not told:
        raise Untold("the plan names no keepers: give it `leases`")
    addresses = {name: address(at, f"leases.keepers.{name}") for name, at in told["keepers"].items()}
    tasks = tuple((name, tuple(task["prefer"])) for name, task in sorted(told["tasks"].items()))
    names = tuple(sorted(addresses))
    return Terms(names, told["version"], told["length"], told["drift"], tasks), addresses
