"""Reads the lease terms and the acceptors' addresses from a plan, which calls acceptors keepers."""

from quartzrouter.config.model import Plan
from quartzrouter.configuration_section import parse_address
from quartzrouter.leases.terms import LeaseTerms

Addresses = dict[str, tuple[str, int]]  # of acceptors, by name


class LeasesNotConfiguredError(ValueError):
    """The plan has no acceptors, or lacks the requested acceptor or task."""


def lease_terms(plan: Plan) -> tuple[LeaseTerms, Addresses]:
    """Returns the lease terms, and the address of each acceptor.

    :raises LeasesNotConfiguredError: if the plan has no `leases`.
    """
    settings = plan.leases
    if not settings:
        raise LeasesNotConfiguredError("the plan has no keepers: add `leases`")
    addresses = {
        name: parse_address(address, f"leases.keepers.{name}")
        for name, address in settings["keepers"].items()
    }
    tasks = tuple((name, tuple(task["prefer"])) for name, task in sorted(settings["tasks"].items()))
    acceptors = tuple(sorted(addresses))
    terms = LeaseTerms(acceptors, settings["version"], settings["length"], settings["drift"], tasks)
    return terms, addresses
