"""The root of the command line.  Each command imports what it needs only when it is called."""

import sys

import click

from quartzrouter import __version__
from quartzrouter.cli.explore import explore
from quartzrouter.cli.fleet import fleet
from quartzrouter.cli.keeper import keeper
from quartzrouter.cli.lease import lease
from quartzrouter.cli.ledger import ledger
from quartzrouter.cli.plan import plan
from quartzrouter.cli.purge import purge
from quartzrouter.signals import Signals

CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"], "max_content_width": 100}


@click.group(
    context_settings=CONTEXT_SETTINGS,
    epilog="Example: quartzrouter plan check main.plan && quartzrouter run main.plan",
)
@click.version_option(__version__, prog_name="quartzrouter")
def cli() -> None:
    """A request router for caches that fill from parent caches and an origin."""


@cli.command(epilog="Example: quartzrouter run --log json main.plan")
@click.argument("path", metavar="PLAN")
@click.option(
    "--log",
    "log_format",
    type=click.Choice(["auto", "logfmt", "json"]),
    default="auto",
    show_default=True,
    help="Format of log lines; auto: logfmt on a terminal, JSON otherwise.",
)
@click.option(
    "--level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
    help="Lowest level that is logged.",
)
def run(path: str, log_format: str, level: str) -> None:
    """Route requests by a plan until SIGTERM; SIGHUP reloads the plan if the new one has no faults."""
    from quartzrouter.cli.plan import load_plan_or_exit
    from quartzrouter.standalone import process
    from quartzrouter.standalone.structured_log import logger

    with Signals() as signals:  # installed before the plan is read, which may take seconds
        sys.exit(process.run(path, load_plan_or_exit(path), logger(level, log_format), signals))


@cli.command(epilog="Example: quartzrouter rehearse plan --seed 7")
@click.argument("name", required=False)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of all random choices.")
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON.")
@click.option(
    "--schedule",
    type=click.Path(exists=True, dir_okay=False),
    help="Only for `sharing`: inject the faults in this file instead of random ones.",
)
@click.option(
    "--shrink",
    is_flag=True,
    help="Only for `sharing`: reduce a schedule that fails to a smaller one; takes some minutes.",
)
def rehearse(name: str | None, seed: int, as_json: bool, schedule: str | None, shrink: bool) -> None:
    """Run a fault scenario, print its figures, and exit with 1 if a check fails.  Without NAME, list them."""
    from quartzrouter.fault_scenarios import SCENARIOS, play

    if name is None:
        click.echo("\n".join(f"{known}: {scenario.summary}" for known, scenario in SCENARIOS.items()))
        return
    if name not in SCENARIOS:
        raise click.UsageError(f"there is no scenario '{name}'; there are {', '.join(SCENARIOS)}")
    options = {"path": schedule, "shrink": shrink} if schedule or shrink else {}
    if options and name != "sharing":
        raise click.UsageError(f"--schedule and --shrink are for 'sharing', not for '{name}'")
    sys.exit(play(name, seed, as_json, **options))


@cli.command(epilog="Example: quartzrouter completion bash >> ~/.bashrc")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the script that enables completion in a shell."""
    from click.shell_completion import get_completion_class

    completion_script = get_completion_class(shell)(cli, {}, "quartzrouter", "_QUARTZROUTER_COMPLETE")
    click.echo(completion_script.source())


cli.add_command(plan)
cli.add_command(explore)
cli.add_command(ledger)
cli.add_command(purge)
cli.add_command(fleet)
cli.add_command(keeper)
cli.add_command(lease)


def main() -> None:
    """Runs the command line; an unexpected error is printed on one line, without its traceback."""
    try:
        cli(prog_name="quartzrouter")
    except Exception as error:
        import os

        if os.environ.get("QUARTZROUTER_TRACE"):
            raise
        print(
            f"quartzrouter: internal error: {type(error).__name__}: {error}; "
            "QUARTZROUTER_TRACE=1 shows the traceback",
            file=sys.stderr,
        )
        sys.exit(1)
