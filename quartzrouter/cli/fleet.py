"""`quartzrouter fleet ...`: what routers share, as the ledger that grants it sees it."""

import json

import click

from quartzrouter.cli.purge import AS_JSON, LEDGERS, ask, ran


@click.group()
def fleet() -> None:
    """See what the routers of a fleet share."""


@fleet.command(epilog="Example: quartzrouter fleet status --ledger 10.0.0.5:7700")
@LEDGERS
@AS_JSON
def status(ledgers, as_json: bool) -> None:
    """Tell who grants, which routers are there, and what was not obeyed; exit with 1 if no ledger answers."""
    from quartzrouter.purges.messages import MembersQuery, QuotaQuery

    members, told = ran(ask, ledgers, MembersQuery()), ran(ask, ledgers, QuotaQuery())
    routers = [each for each in members.members if each.kind == "router"]
    silent = [each.name for each in routers if not each.is_live]
    if as_json:
        live = [each.name for each in routers if each.is_live]
        said = {"epoch": told.epoch, "live": live, "silent": silent, "budgets": len(told.budgets)}
        click.echo(json.dumps(said | {"refused": told.refused}))
        return
    click.echo(f"epoch {told.epoch}, {len(told.budgets)} budgets, {told.refused} asks not obeyed")
    click.echo(f"{len(routers) - len(silent)} routers live, {len(silent)} silent {' '.join(silent)}".strip())


@fleet.command(epilog="Example: quartzrouter fleet budgets --json")
@LEDGERS
@AS_JSON
def budgets(ledgers, as_json: bool) -> None:
    """List the shared limits: what is granted, to whom, and what each router would use."""
    from quartzrouter.purges.messages import QuotaQuery

    told = ran(ask, ledgers, QuotaQuery())
    if as_json:
        click.echo(json.dumps([_plain(each) for each in told.budgets]))
        return
    if not told.budgets:
        click.echo("no budgets: this ledger was started without --plan, or the plan shares no limit")
    for each in told.budgets:
        waits = f", slots in {each.waits / 1e6:.1f} s" if each.waits and each.slots else ""
        rate = f"{each.rate:g}/s, {each.tokens:.0f} in the bucket, {each.granted:.0f} granted"
        said = [rate] * bool(each.rate) + [f"{each.slots} in hand"] * bool(each.slots)
        click.echo(f"{each.budget}: {'; '.join(said)}{waits}")
        for holder in sorted(each.holders, key=lambda one: one.name):
            click.echo(
                f"  {holder.name:24} wants {holder.want:8.1f}/s  {holder.slots:5} in hand  "
                f"heard {holder.heard / 1000:.0f} ms ago"
            )


@fleet.command(epilog="Example: quartzrouter fleet judgements")
@LEDGERS
@AS_JSON
def judgements(ledgers, as_json: bool) -> None:
    """List the caches that routers leave out by each other's word: who says so, who not, until when."""

    def shown(each) -> str:
        against = f", against {' '.join(each.against)}" if each.against else ""
        return f"{each.cache} is out for {each.ends / 1e6:.1f} s by {' '.join(each.by)}{against}"

    _list(ledgers, as_json, "judgements", shown, "no cache is left out by others' word")


@fleet.command(epilog="Example: quartzrouter fleet counts --json")
@LEDGERS
@AS_JSON
def counts(ledgers, as_json: bool) -> None:
    """List how many dispatches are out at each cache, by all routers of its store, with age and error."""

    def shown(each) -> str:
        in_hand = "unknown" if each.in_hand < 0 else f"{each.in_hand} out"
        age = f"{each.age / 1000:.0f} ms old, from {each.routers} routers"
        return f"{each.cache:16} {in_hand:>12}, {each.error} more or less, {age}"

    none = "no router tells of caches in use: give their plan `hearsay: true` in `deployment`"
    _list(ledgers, as_json, "counts", shown, none)


def _list(ledgers, as_json: bool, what: str, shown, none: str) -> None:
    found = [(view.store, each) for view in _views(ledgers) for each in getattr(view, what)]
    if as_json:
        click.echo(json.dumps([{"store": store} | each._asdict() for store, each in found]))
        return
    click.echo("\n".join(f"{store}: {shown(each)}" for store, each in found) or none)


def _views(ledgers):
    from quartzrouter.purges.messages import HealthQuery

    return ran(ask, ledgers, HealthQuery()).views


def _plain(state) -> dict:
    return state._asdict() | {"holders": [each._asdict() for each in state.holders]}
