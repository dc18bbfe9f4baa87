"""`quartzrouter lease ...`: shows who holds fleet-wide tasks, and releases them."""

import json
import sys
from typing import TYPE_CHECKING, Any

import click

from quartzrouter.cli.purge import AS_JSON

if TYPE_CHECKING:
    from quartzrouter.lease_service.plan_terms import Addresses
    from quartzrouter.leases.status import AcceptorAnswers, TaskStatus
    from quartzrouter.leases.terms import LeaseTerms

PLAN = click.argument("path", metavar="PLAN")


@click.group()
def lease() -> None:
    """Show who holds fleet-wide tasks."""


@lease.command("list", epilog="Example: quartzrouter lease list main.plan")
@PLAN
@AS_JSON
def list_(path: str, as_json: bool) -> None:
    """List tasks with holder, number and votes; exit with 1 if no majority of keepers answers."""
    from quartzrouter.leases.status import describe, task_statuses

    terms, answers = _ask(path)
    statuses = task_statuses(terms, answers)
    silent = {name: reason for name, reason in answers.items() if isinstance(reason, str)}
    if as_json:
        tasks = [_as_json(status) for status in statuses]
        click.echo(json.dumps({"tasks": tasks, "silent": silent}))
    else:
        lines = [describe(status) for status in statuses]
        lines += [f"keeper {name}: {reason}" for name, reason in silent.items()]
        click.echo("\n".join(lines))
    sys.exit(len(answers) - len(silent) < terms.majority)


def _as_json(status: "TaskStatus") -> dict[str, Any]:
    """Returns the status of a task under the keys that `--json` promises."""
    return {
        "task": status.task,
        "holder": status.holder,
        "number": status.fencing_token,
        "votes": status.votes,
        "since": status.held_for,
        "left": status.time_left,
        "waiting": status.waiting,
    }


@lease.command(epilog="Example: quartzrouter lease why main.plan deliver")
@PLAN
@click.argument("task")
def why(path: str, task: str) -> None:
    """Explain who holds a task, since when and by whose votes, or why nobody holds it."""
    from quartzrouter.leases.status import explain

    terms, answers = _ask(path)
    _check_task(terms, task, path)
    click.echo("\n".join(explain(terms, answers, task)))


@lease.command(epilog="Example: quartzrouter lease watch main.plan")
@PLAN
@click.option("--every", type=float, default=0.5, show_default=True, help="Seconds between two queries.")
def watch(path: str, every: float) -> None:
    """Print each change of a holder until interrupted."""
    import time

    from quartzrouter.leases.status import describe, task_statuses

    shown_leases: dict[str, tuple[str, int]] = {}
    try:
        while True:
            terms, answers = _ask(path)
            for status in task_statuses(terms, answers):
                current_lease = (status.holder, status.fencing_token)
                if shown_leases.get(status.task) != current_lease:
                    shown_leases[status.task] = current_lease
                    click.echo(f"{time.strftime('%H:%M:%S')} {describe(status)}")
            sys.stdout.flush()
            time.sleep(every)
    except KeyboardInterrupt:
        sys.exit(0)


@lease.command(epilog="Example: quartzrouter lease release main.plan deliver")
@PLAN
@click.argument("task")
def release(path: str, task: str) -> None:
    """Take a task from its holder when its lease ends: keepers then prefer others for three leases."""
    import anyio

    from quartzrouter.lease_service.queries import ask_all
    from quartzrouter.leases.messages import RevokeHolder

    terms, addresses = _lease_terms(path)
    _check_task(terms, task, path)
    answers = anyio.run(ask_all, addresses, RevokeHolder(task))
    answer_count = sum(not isinstance(answer, str) for answer in answers.values())
    click.echo(f"{task}: {answer_count} of {len(terms.acceptors)} keepers prefer other claimants now")
    sys.exit(answer_count < terms.majority)


def _check_task(terms: "LeaseTerms", task: str, path: str) -> None:
    names = [name for name, _ in terms.tasks]
    if task not in names:
        raise click.UsageError(f"there is no task {task!r} in {path}; there are {', '.join(names)}")


def _lease_terms(path: str) -> "tuple[LeaseTerms, Addresses]":
    """Returns the lease terms of a plan; exits if it has none."""
    from quartzrouter.cli.plan import load_plan_or_exit
    from quartzrouter.lease_service.plan_terms import LeasesNotConfiguredError, lease_terms

    try:
        return lease_terms(load_plan_or_exit(path))
    except LeasesNotConfiguredError as error:
        click.echo(f"quartzrouter: {path}: {error}", err=True)
        sys.exit(1)


def _ask(path: str) -> "tuple[LeaseTerms, AcceptorAnswers]":
    import anyio

    from quartzrouter.lease_service.queries import ask_all

    terms, addresses = _lease_terms(path)
    return terms, anyio.run(ask_all, addresses)
