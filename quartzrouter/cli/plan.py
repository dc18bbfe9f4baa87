"""`quartzrouter plan ...`: check, format, compare, show, compile and explain plans."""

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from quartzrouter.config.problems import Fault, Faults, PlanError, Severity, Source

if TYPE_CHECKING:  # each command imports what it needs when it is called, so that the others start sooner
    from quartzrouter.config.loader import LoadResult
    from quartzrouter.config.model import Plan

AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON, for editors and CI.")
PLAN = click.argument("path", metavar="PLAN")
MAX_VALUE_WIDTH = 50  # of the column of values in `plan explain`; longer ones push their place to the right


def load_plan(path: str) -> "LoadResult":
    """Loads the plan at a path, or from standard input for `-`."""
    from quartzrouter.config.loader import disk_loader, load

    if path == "-":
        return load("-", disk_loader(sys.stdin.buffer.read().decode(errors="surrogateescape")))
    return load(path)


def print_faults(faults: Faults, err: bool = True) -> None:
    """Prints messages in the order of their places, to standard error or to standard output."""
    for fault in faults.in_order():
        colour = "red" if fault.severity is Severity.ERROR else "yellow"
        head, _, more = fault.shown().partition("\n")
        click.echo(click.style(head, fg=colour) + (f"\n{more}" if more else ""), err=err)
    if faults.left_out:
        click.echo(f"{faults.left_out} more messages are left out", err=err)


def load_plan_or_exit(path: str) -> "Plan":
    """Loads a plan; if it has faults, prints them and exits with 1."""
    loaded = load_plan(path)
    if loaded.plan is None:
        print_faults(loaded.faults)
        sys.exit(1)
    return loaded.plan


@click.group()
def plan() -> None:
    """Work on plans: routes, pools, limits and policies."""


@plan.command(epilog="Example: quartzrouter plan check --json main.plan")
@PLAN
@AS_JSON
@click.option("--strict", is_flag=True, help="Treat warnings as errors.")
def check(path: str, as_json: bool, strict: bool) -> None:
    """Check a plan; exit with 1 if it has faults."""
    loaded = load_plan(path)
    bad = bool(loaded.faults.errors) or (strict and bool(loaded.faults.warnings))
    if as_json:
        click.echo(
            json.dumps({"good": not bad, "faults": [f.as_json() for f in loaded.faults.in_order()]}, indent=2)
        )
    else:
        print_faults(loaded.faults, err=False)
        if loaded.plan:
            checked_plan = loaded.plan
            click.echo(
                f"{path}: {len(checked_plan.routes)} routes, {len(checked_plan.pools)} pools, "
                f"{len(checked_plan.limits)} limits, {len(loaded.faults.warnings)} warnings"
            )
    sys.exit(1 if bad else 0)


@plan.command(epilog="Example: quartzrouter plan fmt --check *.plan")
@click.argument("paths", metavar="FILE...", nargs=-1, required=True)
@click.option(
    "--check", "check_only", is_flag=True, help="Change nothing; exit with 1 if a file would change."
)
def fmt(paths: tuple[str, ...], check_only: bool) -> None:
    """Format plan files in place; `-` reads standard input and prints the result."""
    from quartzrouter.config.evaluator import Unreadable
    from quartzrouter.config.formatter import layout
    from quartzrouter.config.loader import disk_loader

    failed = False
    for path in paths:
        try:
            text = sys.stdin.read() if path == "-" else disk_loader()(path)
            formatted = layout(Source(path, text))
        except Unreadable as error:
            click.echo(f"{path}: {error}", err=True)
            failed = True
        except PlanError as error:
            print_faults(_single(error.fault))
            failed = True
        else:
            if path == "-":
                click.echo(formatted, nl=False)
            elif formatted != text and check_only:
                click.echo(f"{path} would change")
                failed = True
            elif formatted != text:
                Path(path).write_text(formatted)
                click.echo(f"{path} formatted")
    sys.exit(1 if failed else 0)


def _single(fault: Fault) -> Faults:
    faults = Faults()
    faults.add(fault)
    return faults


@plan.command(epilog="Example: quartzrouter plan diff --replay reqs.jsonl old.plan new.plan")
@click.argument("old")
@click.argument("new")
@click.option(
    "--replay",
    "recorded",
    type=click.Path(exists=True, dir_okay=False),
    help="Recorded requests to count by set, a JSON object a line.",
)
@AS_JSON
def diff(old: str, new: str, recorded: str | None, as_json: bool) -> None:
    """List which requests would be routed differently; exit with 1 if any would."""
    from quartzrouter.config.diff import Diff

    difference = Diff(load_plan_or_exit(old), load_plan_or_exit(new))
    counts, stray = ({}, {}) if recorded is None else difference.replay(_recorded_requests(recorded))
    if as_json:
        report = {
            "changes": [change.as_json() for change in difference.changes],
            "settings": difference.settings,
        }
        if recorded is not None:
            report["replayed"] = [
                {"from": p[0], "to": p[1], "reqs": n} for p, n in counts.items() if p is not None
            ]
            report["same"] = counts.get(None, 0)
        click.echo(json.dumps(report, indent=2))
    else:
        for change in difference.changes:
            click.echo(
                change.describe()
                + (f"\n    {counts.get(change.pair, 0)} requests replayed" if recorded else "")
            )
        for key, was, now in difference.settings:
            click.echo(f"{key}: {was} -> {now}")
        if recorded:
            click.echo(f"{counts.get(None, 0)} of {sum(counts.values())} requests are routed as before")
        if difference.is_empty:
            click.echo("no request is routed differently")
    for pair, n in stray.items():
        click.echo(f"internal error: {n} requests of the routes {pair} don't fit the sets", err=True)
    sys.exit(0 if difference.is_empty and not stray else 1)


def _recorded_requests(path: str):
    """Yields the requests in a file; exits with 2 at a line that is none."""
    from quartzrouter.config.request_sets import RouteQuery

    with open(path) as file:
        for line_number, line in enumerate(file, 1):
            if not line.strip():
                continue
            try:
                fields = json.loads(line)
                yield RouteQuery(
                    fields["store"],
                    fields["host"].lower(),
                    fields["path"],
                    fields.get("method", "GET"),
                    {k.lower(): v for k, v in fields.get("headers", {}).items()},
                    fields.get("params", {}),
                )
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                click.echo(f"{path}:{line_number}: not a request: {type(error).__name__}: {error}", err=True)
                sys.exit(2)


@plan.command(epilog="Example: quartzrouter plan show main.plan | less")
@PLAN
def show(path: str) -> None:
    """Print a plan as evaluated: as JSON, with all templates and includes expanded."""
    from quartzrouter.config.values import POISON, to_json_value

    loaded = load_plan(path)
    if loaded.value is POISON:
        print_faults(loaded.faults)
        sys.exit(1)
    click.echo(json.dumps(to_json_value(loaded.value), indent=2))


@plan.command("compile", epilog="Example: quartzrouter plan compile main.plan > config.json")
@PLAN
def compile_(path: str) -> None:
    """Print a plan as the platform's JSON, for NODE_CONFIG and `python -m quartzrouter`."""
    from quartzrouter.config.platform_json import platform_configuration

    checked_plan = load_plan_or_exit(path)
    if not checked_plan.deployment["journal"]:
        place = checked_plan.places[("deployment",)]
        print_faults(
            _single(
                Fault(place, "'journal' is missing in 'deployment'", "the platform's configuration needs one")
            )
        )
        sys.exit(1)
    click.echo(json.dumps(platform_configuration(checked_plan), indent=2))


@plan.command(epilog='Example: quartzrouter plan explain main.plan "GET media.example/photos/rose/3.jpg"')
@PLAN
@click.argument("req")
@click.option("--store", help="Store at which the request arrives; the home store by default.")
@click.option(
    "-H",
    "--header",
    "headers",
    multiple=True,
    metavar="NAME:VALUE",
    help="Header of the request; may be repeated.",
)
@AS_JSON
def explain(path: str, req: str, store: str | None, headers: tuple[str, ...], as_json: bool) -> None:
    """Explain what a request gets, and which line of the plan each value comes from."""
    from quartzrouter.config.explain import explain, parse_request

    checked_plan = load_plan_or_exit(path)
    for header in headers:
        if ":" not in header:
            raise click.UsageError(f"the header {header!r} has no ':'")
    header_values = {
        name.strip(): value.strip() for name, _, value in (header.partition(":") for header in headers)
    }
    found = parse_request(req, checked_plan, store, header_values)
    if found is None:
        raise click.UsageError("write the request as [METHOD] [HOST]/PATH[?QUERY]")
    if store and store not in checked_plan.stores:
        raise click.UsageError(f"there is no store '{store}'")
    lines = explain(checked_plan, found)
    if as_json:
        click.echo(
            json.dumps(
                [{"what": w.strip(), "value": v, "place": p and str(p)} for w, v, p in lines], indent=2
            )
        )
        return
    what_width = max(len(line.what) for line in lines)
    value_width = max(min(len(line.value), MAX_VALUE_WIDTH) for line in lines)
    for what, value, place in lines:
        click.echo(
            f"{what:{what_width}}  {value:{value_width}}  {click.style(str(place or ''), dim=True)}".rstrip()
        )


@plan.command(epilog="Example: quartzrouter plan reference > docs/plan-reference.md")
def reference() -> None:
    """Print the reference page of all keys of a plan."""
    from quartzrouter.config.reference import reference

    click.echo(reference(), nl=False)
