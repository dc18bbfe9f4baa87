"""`quartzrouter explore`: model checking of the protocols, up to a bound."""

import sys

import click


@click.command(epilog="Example: quartzrouter explore purges --states 200000")
@click.argument("name", type=click.Choice(["purges", "sharing", "leases"]))
@click.option(
    "--states", default=70_000, show_default=True, help="Explore at most this many states of each case."
)
@click.option(
    "--seconds", default=60.0, show_default=True, help="Explore each case for at most this many seconds."
)
def explore(name: str, states: int, seconds: float) -> None:
    """Model-check a protocol on the real code; if a property fails, print the trace and exit with 1."""
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
    is_violated = False
    cases = [(model, *case) for model, bounds_by_case in models[name] for case in bounds_by_case.items()]
    for model, case, bounds in cases:
        result = search(model(bounds), states, seconds)
        extent = "all" if result.is_complete else "not all"
        click.echo(
            f"{case:42} {result.states:8} states, {extent}, {result.steps:8} steps, depth {result.depth:3}, "
            f"{result.seconds:.1f} s"
        )
        if result.violation:
            is_violated = True
            click.echo(result.format_trace())
    sys.exit(1 if is_violated else 0)
