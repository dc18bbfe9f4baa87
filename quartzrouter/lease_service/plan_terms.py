"""The terms of leases, and where acceptors listen, as the configuration says: it calls them keepers."""

from quartzrouter.config.model import Plan
from quartzrouter.configuration_section import parse_address
from quartzrouter.leases.terms import LeaseTerms

Addresses = dict[str, tuple[str, int]]  # of acceptors, by name


class LeasesNotConfiguredError(ValueError):
    """A configuration that names no acceptors, or not this one, or not this task."""


def lease_terms(plan: Plan) -> tuple[LeaseTerms, Addresses]:
    """Returns the terms, and where each acceptor listens.

    :raises LeasesNotConfiguredError: where the configuration has no `leases`.
    """
    settings = plan.leases
    if not settings:
        raise LeasesNotConfiguredError("the plan names no keepers: give it `leases`")
    addresses = {
        name: parse_address(address, f"leases.keepers.{name}")
        for name, address in settings["keepers"].items()
    }
    tasks = tuple((name, tuple(task["prefer"])) for name, task in sorted(settings["tasks"].items()))
    acceptors = tuple(sorted(addresses))
    terms = LeaseTerms(acceptors, settings["version"], settings["length"], settings["drift"], tasks)
    return terms, addresses
