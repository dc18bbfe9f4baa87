"""`quartzrouter keeper ...`: one of the processes that grant leases by majority."""

import sys

import click


@click.group()
def keeper() -> None:
    """Vote on who does fleet-wide tasks."""


@keeper.command(epilog="Example: quartzrouter keeper run main.plan --name k0 --folder /var/lib/k0")
@click.argument("path", metavar="PLAN")
@click.option("--name", required=True, help="Which of the plan's keepers it is.")
@click.option("--folder", help="Keeps numbers through a restart; none: holders tell them again.")
def run(path: str, name: str, folder: str | None) -> None:
    """Vote until SIGTERM; SIGHUP reads the plan anew: its list of keepers may change by one."""
    import anyio

    from quartzrouter.lease_service import server
    from quartzrouter.lease_service.plan_terms import LeasesNotConfigured
    from quartzrouter.lease_service.token_storage import ForeignFolder, TokenStorage
    from quartzrouter.server.clock import wall_clock
    from quartzrouter.server.event_loop import BACKEND_OPTIONS
    from quartzrouter.standalone.structured_log import StructuredLog, logger

    report = StructuredLog(name, wall_clock, logger())
    try:
        read = reader(path, name)
        read()
        numbers = TokenStorage(folder, name, lambda line: report.say("lease", line)) if folder else None
        anyio.run(server.serve, name, read, report, numbers, backend_options=BACKEND_OPTIONS)
    except (LeasesNotConfigured, ForeignFolder, OSError) as error:
        click.echo(f"quartzrouter: {path}: {error}", err=True)
        sys.exit(1)


def reader(path: str, name: str):
    """Reads a plan's leases for one keeper, each time it is called.  Raises Untold."""
    from quartzrouter.config.loader import load
    from quartzrouter.lease_service.plan_terms import LeasesNotConfigured, terms

    def read():
        loaded = load(path)
        if loaded.plan is None:
            faults = loaded.faults.errors
            more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
            raise LeasesNotConfigured(f"{faults[0].head}{more}; 'quartzrouter plan check {path}' shows all")
        told, addresses = terms(loaded.plan)
        if name not in addresses:
            raise LeasesNotConfigured(f"there is no keeper '{name}'; there are {', '.join(addresses)}")
        return told, addresses

    return read
