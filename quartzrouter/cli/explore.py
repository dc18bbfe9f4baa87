"""`quartzrouter explore`: play all that can happen to the decisions, up to a bound."""

import sys

import click


@click.command(epilog="Example: quartzrouter explore purges --states 200000")
@click.argument("name", type=click.Choice(["purges", "sharing", "leases"]))
@click.option("--states", default=70_000, show_default=True, help="Of each case, at most.")
@click.option("--seconds", default=60.0, show_default=True, help="For each case, at most.")
def explore(name: str, states: int, seconds: float) -> None:
    """Explore a protocol over the real decisions; exit with 1 and the shortest trace if a property breaks."""
    from quartzrouter.model_checking import crossing_fill_model, lease_model, purge_model, quota_model
    from quartzrouter.model_checking.checker import explore as search

    models = {
        "purges": [
            (purge_model.PurgeModel, purge_model.CASES),
            (crossing_fill_model.CrossingFillModel, crossing_fill_model.CASES),
        ],
        "sharing": [(quota_model.QuotaModel, quota_model.CASES)],
        "leases": [(lease_model.LeaseModel, lease_model.CASES)],
    }
    broken = False
    cases = [(model, *case) for model, played in models[name] for case in played.items()]
    for model, case, bounds in cases:
        found = search(model(bounds), states, seconds)
        seen = "all" if found.is_complete else "not all"
        click.echo(
            f"{case:42} {found.states:8} states, {seen}, {found.steps:8} steps, depth {found.depth:3}, "
            f"{found.seconds:.1f} s"
        )
        if found.violation:
            broken = True
            click.echo(found.format_trace())
    sys.exit(1 if broken else 0)
