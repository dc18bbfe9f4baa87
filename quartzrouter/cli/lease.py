"""`quartzrouter lease ...`: who does what for the fleet, and why nobody does."""

import json
import sys

import click

from quartzrouter.cli.purge import AS_JSON

PLAN = click.argument("path", metavar="PLAN")


@click.group()
def lease() -> None:
    """See who holds fleet-wide tasks."""


@lease.command("list", epilog="Example: quartzrouter lease list main.plan")
@PLAN
@AS_JSON
def list_(path: str, as_json: bool) -> None:
    """List tasks with holder, number and votes; exit with 1 where no majority of keepers answers."""
    from quartzrouter.leases.status import held, shown

    terms, found = _ask(path)
    views, silent = held(terms, found), {name: why for name, why in found.items() if isinstance(why, str)}
    if as_json:
        click.echo(json.dumps({"tasks": [view._asdict() for view in views], "silent": silent}))
    else:
        click.echo("\n".join([*map(shown, views), *(f"keeper {n}: {why}" for n, why in silent.items())]))
    sys.exit(len(found) - len(silent) < terms.majority)


@lease.command(epilog="Example: quartzrouter lease why main.plan deliver")
@PLAN
@click.argument("task")
def why(path: str, task: str) -> None:
    """Tell who holds a task, since when, who voted for whom; or why nobody holds it."""
    from quartzrouter.leases.status import why as lines

    terms, found = _ask(path)
    if task not in dict(terms.tasks):
        raise click.UsageError(f"there is no task {task!r} in {path}; there are {_names(terms)}")
    click.echo("\n".join(lines(terms, found, task)))


@lease.command(epilog="Example: quartzrouter lease watch main.plan")
@PLAN
@click.option("--every", type=float, default=0.5, show_default=True, help="Seconds between two looks.")
def watch(path: str, every: float) -> None:
    """Tell of each change until it is interrupted."""
    import time

    from quartzrouter.leases.status import held, shown

    before: dict[str, tuple] = {}
    try:
        while True:
            terms, found = _ask(path)
            for view in held(terms, found):
                if before.get(view.task) != (view.holder, view.number):
                    before[view.task] = (view.holder, view.number)
                    click.echo(f"{time.strftime('%H:%M:%S')} {shown(view)}")
            sys.stdout.flush()
            time.sleep(every)
    except KeyboardInterrupt:
        sys.exit(0)


@lease.command(epilog="Example: quartzrouter lease release main.plan deliver")
@PLAN
@click.argument("task")
def release(path: str, task: str) -> None:
    """Take a task from its holder once its lease is over: keepers vote for others first, for three leases."""
    import anyio

    from quartzrouter.lease_service.queries import ask_all
    from quartzrouter.leases.messages import RevokeHolder

    terms, addresses = _told(path)
    if task not in dict(terms.tasks):
        raise click.UsageError(f"there is no task {task!r} in {path}; there are {_names(terms)}")
    found = anyio.run(ask_all, addresses, RevokeHolder(task))
    heard = sum(not isinstance(said, str) for said in found.values())
    click.echo(f"{task}: {heard} of {len(terms.keepers)} keepers vote for others first now")
    sys.exit(heard < terms.majority)


def _told(path: str):
    from quartzrouter.cli.plan import checked
    from quartzrouter.lease_service.plan_terms import LeasesNotConfigured, terms

    try:
        return terms(checked(path))
    except LeasesNotConfigured as error:
        click.echo(f"quartzrouter: {path}: {error}", err=True)
        sys.exit(1)


def _ask(path: str):
    import anyio

    from quartzrouter.lease_service.queries import ask_all

    told, addresses = _told(path)
    return told, anyio.run(ask_all, addresses)


def _names(terms) -> str:
    return ", ".join(name for name, _ in terms.tasks)
