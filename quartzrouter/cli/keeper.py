"""`quartzrouter keeper ...`: runs an acceptor, one of those whose majority grants leases."""

import sys
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from quartzrouter.lease_service.plan_terms import Addresses
    from quartzrouter.lease_service.server import TermsReader
    from quartzrouter.leases.terms import LeaseTerms


@click.group()
def keeper() -> None:
    """Run a keeper, which votes on who holds fleet-wide tasks."""


@keeper.command(epilog="Example: quartzrouter keeper run main.plan --name k0 --folder /var/lib/k0")
@click.argument("path", metavar="PLAN")
@click.option("--name", required=True, help="Name of this keeper in the plan.")
@click.option(
    "--folder",
    help="Folder that keeps fencing tokens through a restart; without it, holders report them again.",
)
def run(path: str, name: str, folder: str | None) -> None:
    """Vote until SIGTERM; SIGHUP reloads the plan, whose list of keepers may change by one."""
    import anyio

    from quartzrouter.lease_service import server
    from quartzrouter.lease_service.plan_terms import LeasesNotConfiguredError
    from quartzrouter.lease_service.token_storage import ForeignFolderError, TokenStorage
    from quartzrouter.server.clock import wall_clock
    from quartzrouter.server.event_loop import BACKEND_OPTIONS
    from quartzrouter.standalone.structured_log import StructuredLog, logger

    report = StructuredLog(name, wall_clock, logger())
    try:
        read = terms_reader(path, name)
        read()
        storage = TokenStorage(folder, name, lambda line: report.say("lease", line)) if folder else None
        anyio.run(server.serve, name, read, report, storage, backend_options=BACKEND_OPTIONS)
    except (LeasesNotConfiguredError, ForeignFolderError, OSError) as error:
        click.echo(f"quartzrouter: {path}: {error}", err=True)
        sys.exit(1)


def terms_reader(path: str, name: str) -> "TermsReader":
    """Returns a function that reads the terms out of a plan, each time it is called.

    That function raises LeasesNotConfiguredError if the plan can't be used, or doesn't name this acceptor.
    """
    from quartzrouter.config.loader import load
    from quartzrouter.lease_service.plan_terms import LeasesNotConfiguredError, lease_terms

    def read() -> "tuple[LeaseTerms, Addresses]":
        loaded = load(path)
        if loaded.plan is None:
            faults = loaded.faults.errors
            more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
            remedy = f"'quartzrouter plan check {path}' shows all"
            raise LeasesNotConfiguredError(f"{faults[0].head}{more}; {remedy}")
        terms, addresses = lease_terms(loaded.plan)
        if name not in addresses:
            raise LeasesNotConfiguredError(f"there is no keeper '{name}'; there are {', '.join(addresses)}")
        return terms, addresses

    return read
