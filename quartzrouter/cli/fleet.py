"""`quartzrouter fleet ...`: shows what routers share, as the purge log's server sees it.

The keys of ``--json`` are older than the names of the fields; they are mapped here and nowhere else.
"""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import click

from quartzrouter.cli.purge import AS_JSON, LEDGERS, ask, run_or_exit

# Keys of ``--json``, by the name of the field.
BUDGET_KEYS = {
    "budget": "budget",
    "rate": "rate",
    "slots": "slots",
    "tokens": "tokens",
    "tokens_granted": "granted",
    "slots_wait": "waits",
    "holders": "holders",
}
HOLDER_KEYS = {"router": "name", "wanted_rate": "want", "slots": "slots", "last_request_age": "heard"}
VERDICT_KEYS = {
    "cache": "cache",
    "expires_in": "ends",
    "reported_by": "by",
    "contradicted_by": "against",
    "failures": "failures",
}
LOAD_KEYS = {
    "cache": "cache",
    "in_flight": "in_hand",
    "age": "age",
    "error_bound": "error",
    "routers": "routers",
}


@click.group()
def fleet() -> None:
    """Show what the routers of a fleet share."""


@fleet.command(epilog="Example: quartzrouter fleet status --ledger 10.0.0.5:7700")
@LEDGERS
@AS_JSON
def status(ledgers, as_json: bool) -> None:
    """Show the epoch, the live routers and the refused quota requests; exit with 1 if no ledger answers."""
    from quartzrouter.purges.messages import MembersQuery, QuotaQuery

    members = run_or_exit(ask, ledgers, MembersQuery()).members
    quota = run_or_exit(ask, ledgers, QuotaQuery())
    routers = [member for member in members if member.kind == "router"]
    live = [router.name for router in routers if router.is_live]
    silent = [router.name for router in routers if not router.is_live]
    if as_json:
        found = {
            "epoch": quota.epoch,
            "live": live,
            "silent": silent,
            "budgets": len(quota.budgets),
            "refused": quota.refused,
        }
        click.echo(json.dumps(found))
        return
    click.echo(f"epoch {quota.epoch}, {len(quota.budgets)} budgets, {quota.refused} quota requests refused")
    click.echo(f"{len(live)} routers live, {len(silent)} silent {' '.join(silent)}".strip())


@fleet.command(epilog="Example: quartzrouter fleet budgets --json")
@LEDGERS
@AS_JSON
def budgets(ledgers, as_json: bool) -> None:
    """List the shared limits: what is granted to which router, and what each would use."""
    from quartzrouter.purges.messages import QuotaQuery

    states = run_or_exit(ask, ledgers, QuotaQuery()).budgets
    if as_json:
        click.echo(json.dumps([_budget_as_json(state) for state in states]))
        return
    if not states:
        click.echo("no budgets: this ledger was started without --plan, or the plan shares no limit")
    for state in states:
        click.echo(_budget_line(state))
        for holder in sorted(state.holders, key=lambda holder: holder.router):
            click.echo(
                f"  {holder.router:24} wants {holder.wanted_rate:8.1f}/s  {holder.slots:5} slots  "
                f"heard {holder.last_request_age / 1000:.0f} ms ago"
            )


@fleet.command(epilog="Example: quartzrouter fleet judgements")
@LEDGERS
@AS_JSON
def judgements(ledgers, as_json: bool) -> None:
    """List the caches that are ejected on reports of other routers, with the reporters and the time left."""

    def line(verdict) -> str:
        contradicted = verdict.contradicted_by
        against = f", contradicted by {' '.join(contradicted)}" if contradicted else ""
        reporters = " ".join(verdict.reported_by)
        return (
            f"{verdict.cache} is ejected for another {verdict.expires_in / 1e6:.1f} s, "
            f"reported by {reporters}{against}"
        )

    verdicts = [(view.store, verdict) for view in _views(ledgers) for verdict in view.verdicts]
    if as_json:
        _echo_json(verdicts, VERDICT_KEYS)
    else:
        _echo_lines(verdicts, line, "no cache is ejected on reports of other routers")


@fleet.command(epilog="Example: quartzrouter fleet counts --json")
@LEDGERS
@AS_JSON
def counts(ledgers, as_json: bool) -> None:
    """List how many dispatches of all routers are in flight at each cache, with the age and error bound."""

    def line(load) -> str:
        in_flight = "unknown" if load.in_flight < 0 else f"{load.in_flight} in flight"
        age = f"{load.age / 1000:.0f} ms old, from {load.routers} routers"
        return f"{load.cache:16} {in_flight:>16}, off by at most {load.error_bound}, {age}"

    loads = [(view.store, load) for view in _views(ledgers) for load in view.loads]
    if as_json:
        _echo_json(loads, LOAD_KEYS)
    else:
        none = "no router reports loads: set `hearsay: true` in `deployment` of the routers' plan"
        _echo_lines(loads, line, none)


def _budget_line(state) -> str:
    parts = []
    if state.rate:
        parts.append(
            f"{state.rate:g}/s, {state.tokens:.0f} in the bucket, {state.tokens_granted:.0f} granted"
        )
    if state.slots:
        parts.append(f"{state.slots} slots")
    waits = f", slots in {state.slots_wait / 1e6:.1f} s" if state.slots_wait and state.slots else ""
    return f"{state.budget}: {'; '.join(parts)}{waits}"


def _budget_as_json(state) -> dict[str, Any]:
    holders = [_with_keys(holder, HOLDER_KEYS) for holder in state.holders]
    return _with_keys(state, BUDGET_KEYS) | {"holders": holders}


def _with_keys(record: NamedTuple, keys: Mapping[str, str]) -> dict[str, Any]:
    """Returns a record as a JSON object, under the keys that `--json` promises."""
    return {key: getattr(record, field) for field, key in keys.items()}


def _echo_json(found: Iterable[tuple[str, NamedTuple]], keys: Mapping[str, str]) -> None:
    click.echo(json.dumps([{"store": store} | _with_keys(record, keys) for store, record in found]))


def _echo_lines(found: Sequence[tuple[str, Any]], line: Callable[[Any], str], none: str) -> None:
    """:param none: printed if nothing was found."""
    click.echo("\n".join(f"{store}: {line(record)}" for store, record in found) or none)


def _views(ledgers):
    from quartzrouter.purges.messages import HealthQuery

    return run_or_exit(ask, ledgers, HealthQuery()).stores
