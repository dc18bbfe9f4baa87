"""`quartzrouter ledger ...`: run the ledger of purges, and look after its folder."""

import sys

import click

from quartzrouter.cli.parameter_types import ADDRESS, TIME

FOLDER = click.argument("folder", metavar="FOLDER")


@click.group()
def ledger() -> None:
    """Keep the ledger of purges."""


@ledger.command(epilog="Example: quartzrouter ledger run /var/lib/quartzrouter --listen 127.0.0.1:7700")
@FOLDER
@click.option("--listen", type=ADDRESS, default="127.0.0.1:7700", show_default=True, help="Where it listens.")
@click.option(
    "--grace",
    type=TIME,
    default="300ms",
    show_default=True,
    help="A purge holds this long after it is taken.",
)
@click.option(
    "--plan",
    type=click.Path(dir_okay=False),
    help="Grant shares of the limits that this plan has across a store or the fleet; read again at SIGHUP.",
)
@click.option(
    "--standby", type=ADDRESS, help="Take over the folder once the ledger at this address is silent."
)
@click.option("--task", help="Grant shares only while this task of the plan's `leases` is held here.")
@click.option("--name", help="With --task: the claimant's name, one for each process.")
def run(
    folder: str,
    listen: tuple[str, int],
    grace: int,
    plan: str | None,
    standby: tuple[str, int] | None,
    task: str | None,
    name: str | None,
) -> None:
    """Take purges and hand them to the fleet until SIGTERM; exit with 3 if another ledger took over."""
    import anyio

    from quartzrouter.purge_log import process
    from quartzrouter.server.clock import steady_clock, wall_clock
    from quartzrouter.server.event_loop import BACKEND_OPTIONS
    from quartzrouter.standalone.structured_log import StructuredLog, logger

    report, budgets = StructuredLog("ledger", wall_clock, logger()), budgets_of(plan) if plan else None
    try:
        claims = None
        if task and not plan:
            raise click.UsageError("--task needs --plan, which names the keepers")
        if task:
            from quartzrouter.cli.plan import checked
            from quartzrouter.cli.purge import claims_of

            claims = claims_of(checked(plan), plan, task, name, report)
        told = (folder, listen, grace, report, standby, wall_clock, budgets, steady_clock, claims, task or "")
        sys.exit(anyio.run(process.serve, *told, backend_options=BACKEND_OPTIONS))
    except Faulty as error:
        click.echo(f"quartzrouter: {error}", err=True)
        sys.exit(1)
    except process.START_ERRORS as error:
        click.echo(f"quartzrouter: {folder}: {error}", err=True)
        sys.exit(1)


class Faulty(ValueError):
    """A plan that can't be used."""


def budgets_of(path: str):
    """Reads a plan's budgets and the terms of cold servers, each time it is called.  Raises Faulty."""
    from quartzrouter.config.loader import load
    from quartzrouter.pool_routing.shared_limits import budgets, terms

    def read():
        loaded = load(path)
        if loaded.plan is None:
            faults = loaded.faults.errors
            more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
            raise Faulty(f"{faults[0].head}{more}; 'quartzrouter plan check {path}' shows all")
        return budgets(loaded.plan, loaded.plan.stores), terms(loaded.plan)

    return read


@ledger.command(epilog="Example: quartzrouter ledger check /var/lib/quartzrouter")
@FOLDER
def check(folder: str) -> None:
    """Read a folder whole, and say what it holds; exit with 1 if it is damaged."""
    from quartzrouter.purge_log.errors import LogDamagedError
    from quartzrouter.purge_log.segments import highest_epoch, read_log

    disk = _disk(folder)
    try:
        found = read_log(disk)
    except LogDamagedError as damage:
        click.echo(f"{folder}: {damage}", err=True)
        sys.exit(1)
    click.echo(
        f"{folder}: epoch {highest_epoch(disk)}, purges {found.trimmed_up_to + 1} to {found.head}, "
        f"{found.torn_bytes} bytes of a write that was cut short"
    )


@ledger.command(epilog="Example: quartzrouter ledger repair /var/lib/quartzrouter")
@FOLDER
def repair(folder: str) -> None:
    """Give up what follows the first damage.  It may have been promised, so purge all afterwards."""
    from quartzrouter.purge_log.errors import LogDamagedError
    from quartzrouter.purge_log.segments import repair as mend

    try:
        click.echo(f"{folder}: {mend(_disk(folder))}")
    except LogDamagedError as damage:
        click.echo(f"{folder}: {damage}", err=True)
        sys.exit(1)


def _disk(folder: str):
    from pathlib import Path

    from quartzrouter.purge_log.disk import RealDisk

    if not Path(folder).is_dir():
        raise click.UsageError(f"there is no folder {folder!r}")
    return RealDisk(folder)
