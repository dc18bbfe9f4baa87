"""`quartzrouter ledger ...`: runs the ledger of purges, and checks or repairs its folder."""

import sys
from typing import TYPE_CHECKING, NoReturn

import click

from quartzrouter.cli.parameter_types import ADDRESS, TIME

if TYPE_CHECKING:
    from quartzrouter.purge_log.disk import RealDisk
    from quartzrouter.purge_log.process import ReadBudgets

EXIT_FAILED = 1
FOLDER = click.argument("folder", metavar="FOLDER")


@click.group()
def ledger() -> None:
    """Run the ledger of purges."""


@ledger.command(epilog="Example: quartzrouter ledger run /var/lib/quartzrouter --listen 127.0.0.1:7700")
@FOLDER
@click.option(
    "--listen", type=ADDRESS, default="127.0.0.1:7700", show_default=True, help="Address on which it listens."
)
@click.option(
    "--grace",
    type=TIME,
    default="300ms",
    show_default=True,
    help="Time within which an accepted purge takes effect at every router.",
)
@click.option(
    "--plan",
    type=click.Path(dir_okay=False),
    help="Grant shares of the limits that this plan shares across a store or the fleet; reloaded at SIGHUP.",
)
@click.option(
    "--standby", type=ADDRESS, help="Take over the folder once the ledger at this address stops answering."
)
@click.option("--task", help="Grant shares only while this process holds this task of the plan's `leases`.")
@click.option("--name", help="With --task: name of the claimant, different for each process.")
def run(
    folder: str,
    listen: tuple[str, int],
    grace: int,
    plan: str | None,
    standby: tuple[str, int] | None,
    task: str | None,
    name: str | None,
) -> None:
    """Accept purges and send them to the fleet until SIGTERM; exit with 3 if another ledger took over."""
    import anyio

    from quartzrouter.purge_log import process
    from quartzrouter.server.clock import steady_clock, wall_clock
    from quartzrouter.server.event_loop import BACKEND_OPTIONS
    from quartzrouter.standalone.structured_log import StructuredLog, logger

    report = StructuredLog("ledger", wall_clock, logger())
    read_budgets = budget_reader(plan) if plan else None
    try:
        lease_client = _lease_client(plan, task, name, report)
        arguments = (
            folder,
            listen,
            grace,
            report,
            standby,
            wall_clock,
            read_budgets,
            steady_clock,
            lease_client,
            task or "",
        )
        sys.exit(anyio.run(process.serve, *arguments, backend_options=BACKEND_OPTIONS))
    except PlanUnusableError as error:
        _exit_with(f"quartzrouter: {error}")
    except process.START_ERRORS as error:
        _exit_with(f"quartzrouter: {folder}: {error}")


def _lease_client(plan_path: str | None, task: str | None, name: str | None, report):
    """Returns the client that claims the task of granting, or None if no task is named."""
    if not task:
        return None
    if not plan_path:
        raise click.UsageError("--task needs --plan, which names the keepers")
    from quartzrouter.cli.plan import load_plan_or_exit
    from quartzrouter.cli.purge import lease_client_of

    return lease_client_of(load_plan_or_exit(plan_path), plan_path, task, name, report)


class PlanUnusableError(ValueError):
    """A plan can't be used; the message names the place, the reason and the remedy."""


def budget_reader(path: str) -> "ReadBudgets":
    """Returns a function that reads a plan's budgets and slow-start terms anew each time it is called.

    That function raises PlanUnusableError.
    """
    from quartzrouter.config.loader import load
    from quartzrouter.pool_routing.shared_limits import shared_budgets, slow_start_terms

    def read():
        loaded = load(path)
        if loaded.plan is None:
            errors = loaded.faults.errors
            more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
            raise PlanUnusableError(f"{errors[0].head}{more}; 'quartzrouter plan check {path}' shows all")
        return shared_budgets(loaded.plan, loaded.plan.stores), slow_start_terms(loaded.plan)

    return read


@ledger.command(epilog="Example: quartzrouter ledger check /var/lib/quartzrouter")
@FOLDER
def check(folder: str) -> None:
    """Read all of a folder, and print what it contains; exit with 1 if it is damaged."""
    from quartzrouter.purge_log.errors import LogDamagedError
    from quartzrouter.purge_log.segments import highest_epoch, read_log

    disk = _existing_folder(folder)
    try:
        contents = read_log(disk)
    except LogDamagedError as damage:
        _exit_with(f"{folder}: {damage}")
    click.echo(
        f"{folder}: epoch {highest_epoch(disk)}, purges {contents.trimmed_up_to + 1} to {contents.head}, "
        f"{contents.torn_bytes} bytes of a write that was cut short"
    )


@ledger.command(epilog="Example: quartzrouter ledger repair /var/lib/quartzrouter")
@FOLDER
def repair(folder: str) -> None:
    """Drop all purges after the first damage.  They may have been confirmed, so purge all afterwards."""
    from quartzrouter.purge_log import segments
    from quartzrouter.purge_log.errors import LogDamagedError

    try:
        click.echo(f"{folder}: {segments.repair(_existing_folder(folder))}")
    except LogDamagedError as damage:
        _exit_with(f"{folder}: {damage}")


def _existing_folder(folder: str) -> "RealDisk":
    from pathlib import Path

    from quartzrouter.purge_log.disk import RealDisk

    if not Path(folder).is_dir():
        raise click.UsageError(f"there is no folder {folder!r}")
    return RealDisk(folder)


def _exit_with(message: str) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(EXIT_FAILED)
