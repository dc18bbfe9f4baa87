"""The top of the command line; each command imports what it needs when it is called."""

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

HELP = {"help_option_names": ["-h", "--help"], "max_content_width": 100}


@click.group(
    context_settings=HELP, epilog="Example: quartzrouter plan check main.plan && quartzrouter run main.plan"
)
@click.version_option(__version__, prog_name="quartzrouter")
def cli() -> None:
    """A req router for caches that fill from parent caches and an origin."""


@cli.command(epilog="Example: quartzrouter run --log json main.plan")
@click.argument("path", metavar="PLAN")
@click.option(
    "--log",
    "form",
    type=click.Choice(["auto", "logfmt", "json"]),
    default="auto",
    show_default=True,
    help="How log lines look; auto: logfmt on a terminal, JSON otherwise.",
)
@click.option(
    "--level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
    help="The least that is logged.",
)
def run(path: str, form: str, level: str) -> None:
    """Serve under a plan until SIGTERM; SIGHUP reads it anew, all or nothing."""
    from quartzrouter.cli.plan import checked
    from quartzrouter.standalone import process
    from quartzrouter.standalone.structured_log import logger

    with Signals() as signals:  # ahead of a plan that takes seconds to read
        sys.exit(process.run(path, checked(path), logger(level, form), signals))


@cli.command(epilog="Example: quartzrouter rehearse plan --seed 7")
@click.argument("name", required=False)
@click.option("--seed", type=int, default=1, show_default=True, help="For all that is left to chance.")
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON.")
@click.option(
    "--schedule",
    type=click.Path(exists=True, dir_okay=False),
    help="sharing: play the faults of this file instead of drawn ones.",
)
@click.option("--shrink", is_flag=True, help="sharing: cut down what breaks, for some minutes.")
def rehearse(name: str | None, seed: int, as_json: bool, schedule: str | None, shrink: bool) -> None:
    """Play a direction's hard cases, print its figures, and exit with 1 if anything broke."""
    from quartzrouter.fault_scenarios import SCENARIOS, play

    if name is None:
        click.echo("\n".join(f"{known}: {scenario.summary}" for known, scenario in SCENARIOS.items()))
        return
    if name not in SCENARIOS:
        raise click.UsageError(f"there is no rehearsal '{name}'; there are {', '.join(SCENARIOS)}")
    more = {"path": schedule, "shrink": shrink} if schedule or shrink else {}
    if more and name != "sharing":
        raise click.UsageError(f"--schedule and --shrink are for 'sharing', not for '{name}'")
    sys.exit(play(name, seed, as_json, **more))


@cli.command(epilog="Example: quartzrouter completion bash >> ~/.bashrc")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print what makes a shell complete this command's words."""
    from click.shell_completion import get_completion_class

    made = get_completion_class(shell)(cli, {}, "quartzrouter", "_QUARTZROUTER_COMPLETE")
    click.echo(made.source())


cli.add_command(plan)
cli.add_command(explore)
cli.add_command(ledger)
cli.add_command(purge)
cli.add_command(fleet)
cli.add_command(keeper)
cli.add_command(lease)


def main() -> None:
    """No traceback reaches a user: what is unforeseen costs one line and status 1."""
    try:
        cli(prog_name="quartzrouter")
    except Exception as error:
        import os

        if os.environ.get("QUARTZROUTER_TRACE"):
            raise
        print(
            f"quartzrouter: a fault of this program: {type(error).__name__}: {error}; "
            "QUARTZROUTER_TRACE=1 shows where",
            file=sys.stderr,
        )
        sys.exit(1)
