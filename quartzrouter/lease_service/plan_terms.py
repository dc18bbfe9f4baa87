"""The terms of leases, and where keepers listen, as a plan tells them."""

from quartzrouter.config.model import Plan
from quartzrouter.configuration_section import parse_address
from quartzrouter.leases.terms import LeaseTerms


class LeasesNotConfigured(ValueError):
    """A plan that names no keepers, or not this one or this task."""


def terms(plan: Plan) -> tuple[LeaseTerms, dict[str, tuple[str, int]]]:
    """Raises Untold."""
    told = plan.leases
    if not told:
        raise LeasesNotConfigured("the plan names no keepers: give it `leases`")
    addresses = {name: parse_address(at, f"leases.keepers.{name}") for name, at in told["keepers"].items()}
    tasks = tuple((name, tuple(task["prefer"])) for name, task in sorted(told["tasks"].items()))
    names = tuple(sorted(addresses))
    return LeaseTerms(names, told["version"], told["length"], told["drift"], tasks), addresses
