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

    from quartzrouter.keeper import serve
    from quartzrouter.keeper.numbers import Foreign, Numbers
    from quartzrouter.keeper.told import Untold
    from quartzrouter.net.clock import clock
    from quartzrouter.net.loop import LOOP
    from quartzrouter.site.logs import Structured, logger

    report = Structured(name, clock, logger())
    try:
        read = reader(path, name)
        read()
        numbers = Numbers(folder, name, lambda line: report.say("lease", line)) if folder else None
        anyio.run(serve.serve, name, read, report, numbers, backend_options=LOOP)
    except (Untold, Foreign, OSError) as error:
        click.echo(f"quartzrouter: {path}: {error}", err=True)
        sys.exit(1)


def reader(path: str, name: str):
    """Reads a plan's leases for one keeper, each time it is called.  Raises Untold."""
    from quartzrouter.keeper.told import Untold, terms
    from quartzrouter.plan.load import load

    def read():
        loaded = load(path)
        if loaded.plan is None:
            faults = loaded.faults.errors
            more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
            raise Untold(f"{faults[0].head}{more}; 'quartzrouter plan check {path}' shows all")
        told, addresses = terms(loaded.plan)
        if name not in addresses:
            raise Untold(f"there is no keeper '{name}'; there are {', '.join(addresses)}")
        return told, addresses

    return read
