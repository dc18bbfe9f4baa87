"""`quartzrouter plan ...`: check, format, compare, show, compile and explain plans."""

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from quartzrouter.config.problems import Broken, Fault, Faults, Source, Weight

if TYPE_CHECKING:  # each command imports what it needs, so that the others start sooner
    from quartzrouter.config.loader import Loaded
    from quartzrouter.config.model import Plan

AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON, for editors and CI.")
PLAN = click.argument("path", metavar="PLAN")


def read(path: str) -> "Loaded":
    """The plan at a path, `-` for standard input."""
    from quartzrouter.config.loader import from_disk, load

    if path == "-":
        return load("-", from_disk(sys.stdin.buffer.read().decode(errors="surrogateescape")))
    return load(path)


def tell(faults: Faults, err: bool = True) -> None:
    for fault in faults.in_order():
        colour = "red" if fault.weight is Weight.ERROR else "yellow"
        head, _, more = fault.shown().partition("\n")
        click.echo(click.style(head, fg=colour) + (f"\n{more}" if more else ""), err=err)
    if faults.left_out:
        click.echo(f"{faults.left_out} more are left out", err=err)


def checked(path: str) -> "Plan":
    """The plan, or its messages and exit status 1."""
    loaded = read(path)
    if loaded.plan is None:
        tell(loaded.faults)
        sys.exit(1)
    return loaded.plan


@click.group()
def plan() -> None:
    """Work on plans: routes, pools, limits and policies."""


@plan.command(epilog="Example: quartzrouter plan check --json main.plan")
@PLAN
@AS_JSON
@click.option("--strict", is_flag=True, help="Take warnings for errors.")
def check(path: str, as_json: bool, strict: bool) -> None:
    """Check a plan; exit with 1 if it has faults."""
    loaded = read(path)
    bad = bool(loaded.faults.errors) or (strict and bool(loaded.faults.warnings))
    if as_json:
        click.echo(
            json.dumps({"good": not bad, "faults": [f.as_json() for f in loaded.faults.in_order()]}, indent=2)
        )
    else:
        tell(loaded.faults, err=False)
        if loaded.plan:
            made = loaded.plan
            click.echo(
                f"{path}: {len(made.routes)} routes, {len(made.pools)} pools, {len(made.limits)} limits, "
                f"{len(loaded.faults.warnings)} warnings"
            )
    sys.exit(1 if bad else 0)


@plan.command(epilog="Example: quartzrouter plan fmt --check *.plan")
@click.argument("paths", metavar="FILE...", nargs=-1, required=True)
@click.option("--check", "only", is_flag=True, help="Change nothing; exit with 1 if a file would change.")
def fmt(paths: tuple[str, ...], only: bool) -> None:
    """Lay files out in the one layout; `-` reads standard input and prints."""
    from quartzrouter.config.evaluator import Unreadable
    from quartzrouter.config.formatter import layout
    from quartzrouter.config.loader import from_disk

    bad = False
    for path in paths:
        try:
            text = sys.stdin.read() if path == "-" else from_disk()(path)
            made = layout(Source(path, text))
        except Unreadable as error:
            click.echo(f"{path}: {error}", err=True)
            bad = True
        except Broken as error:
            tell(_one(error.fault))
            bad = True
        else:
            if path == "-":
                click.echo(made, nl=False)
            elif made != text and only:
                click.echo(f"{path} would change")
                bad = True
            elif made != text:
                Path(path).write_text(made)
                click.echo(f"{path} laid out")
    sys.exit(1 if bad else 0)


def _one(fault: Fault) -> Faults:
    faults = Faults()
    faults.add(fault)
    return faults


@plan.command(epilog="Example: quartzrouter plan diff --replay reqs.jsonl old.plan new.plan")
@click.argument("old")
@click.argument("new")
@click.option(
    "--replay",
    "reqs",
    type=click.Path(exists=True, dir_okay=False),
    help="Recorded reqs, a JSON object a line, to be counted by set.",
)
@AS_JSON
def diff(old: str, new: str, reqs: str | None, as_json: bool) -> None:
    """Say which reqs would route differently; exit with 1 if any would."""
    from quartzrouter.config.diff import Diff

    found = Diff(checked(old), checked(new))
    counts, stray = ({}, {}) if reqs is None else found.replay(_recorded(reqs))
    if as_json:
        told = {"changes": [change.as_json() for change in found.changes], "settings": found.settings}
        if reqs is not None:
            told["replayed"] = [
                {"from": p[0], "to": p[1], "reqs": n} for p, n in counts.items() if p is not None
            ]
            told["same"] = counts.get(None, 0)
        click.echo(json.dumps(told, indent=2))
    else:
        for change in found.changes:
            click.echo(
                change.describe() + (f"\n    {counts.get(change.pair, 0)} reqs replayed" if reqs else "")
            )
        for key, was, now in found.settings:
            click.echo(f"{key}: {was} -> {now}")
        if reqs:
            click.echo(f"{counts.get(None, 0)} reqs of {sum(counts.values())} route as before")
        if found.is_empty:
            click.echo("no req routes differently")
    for pair, n in stray.items():
        click.echo(f"{n} reqs route differently and lie in no set: {pair}: a fault of this program", err=True)
    sys.exit(0 if found.is_empty and not stray else 1)


def _recorded(path: str):
    from quartzrouter.config.request_sets import RouteQuery

    with open(path) as file:
        for at, line in enumerate(file, 1):
            if not line.strip():
                continue
            try:
                told = json.loads(line)
                yield RouteQuery(
                    told["store"],
                    told["host"].lower(),
                    told["path"],
                    told.get("method", "GET"),
                    {k.lower(): v for k, v in told.get("headers", {}).items()},
                    told.get("params", {}),
                )
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                click.echo(f"{path}:{at}: no req: {type(error).__name__} {error}", err=True)
                sys.exit(2)


@plan.command(epilog="Example: quartzrouter plan show main.plan | less")
@PLAN
def show(path: str) -> None:
    """Print a plan as evaluated: one record, as JSON, without templates and includes."""
    from quartzrouter.config.values import POISON, plain

    loaded = read(path)
    if loaded.value is POISON:
        tell(loaded.faults)
        sys.exit(1)
    click.echo(json.dumps(plain(loaded.value), indent=2))


@plan.command("compile", epilog="Example: quartzrouter plan compile main.plan > config.json")
@PLAN
def compile_(path: str) -> None:
    """Print the platform's JSON, for NODE_CONFIG and `python -m quartzrouter`."""
    from quartzrouter.config.platform_json import platform_configuration

    made = checked(path)
    if not made.deployment["journal"]:
        place = made.places[("deployment",)]
        tell(
            _one(
                Fault(place, "'journal' is missing in 'deployment'", "the platform's configuration names one")
            )
        )
        sys.exit(1)
    click.echo(json.dumps(platform_configuration(made), indent=2))


@plan.command(epilog='Example: quartzrouter plan explain main.plan "GET media.example/photos/rose/3.jpg"')
@PLAN
@click.argument("req")
@click.option("--store", help="The store it comes to; home, where not given.")
@click.option(
    "-H", "--header", "headers", multiple=True, metavar="NAME:VALUE", help="A header; may be repeated."
)
@AS_JSON
def explain(path: str, req: str, store: str | None, headers: tuple[str, ...], as_json: bool) -> None:
    """Say what a req gets, and from which line each value came."""
    from quartzrouter.config.explain import explain, parse_request

    made = checked(path)
    for header in headers:
        if ":" not in header:
            raise click.UsageError(f"the header {header!r} has no ':'")
    told = {name.strip(): value.strip() for name, _, value in (header.partition(":") for header in headers)}
    found = parse_request(req, made, store, told)
    if found is None:
        raise click.UsageError("a req is written as [METHOD] [HOST]/PATH[?QUERY]")
    if store and store not in made.stores:
        raise click.UsageError(f"there is no store '{store}'")
    lines = explain(made, found)
    if as_json:
        click.echo(
            json.dumps(
                [{"what": w.strip(), "value": v, "place": p and str(p)} for w, v, p in lines], indent=2
            )
        )
        return
    wide, long = max(len(line.what) for line in lines), max(min(len(line.value), 50) for line in lines)
    for what, value, place in lines:
        click.echo(f"{what:{wide}}  {value:{long}}  {click.style(str(place or ''), dim=True)}".rstrip())


@plan.command(epilog="Example: quartzrouter plan reference > docs/plan-reference.md")
def reference() -> None:
    """Print the reference page of all keys."""
    from quartzrouter.config.reference import reference

    click.echo(reference(), nl=False)
