"""`quartzrouter purge ...`: sends purges, shows their progress, and delivers them to caches."""

import json
import sys
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Any, NoReturn

import click

from quartzrouter.cli.parameter_types import ADDRESS, TIME

if TYPE_CHECKING:
    from quartzrouter.config.model import Plan
    from quartzrouter.lease_service.client import ClusterLeaseClient
    from quartzrouter.purge_log.delivery import DeliveryTarget
    from quartzrouter.purges import messages
    from quartzrouter.server.rate_limited_log import RateLimitedLog

MIN_PURGES_FOR_PROGRESS_BAR = 100
COMPLETION_POLL_INTERVAL = 0.02  # seconds
FOLLOW_SILENCE_TIMEOUT = 10_000_000  # microseconds without a message after which `follow` reconnects
KINDS_WITH_VALUES = ("object", "tag", "pattern")
EXIT_SUCCESS = 0
EXIT_REJECTED = 1  # also if a purge is not complete, or if no purge log answers
EXIT_NOT_COMPLETE = 2  # within the time that --wait gives
MICROSECONDS_PER_SECOND = 1e6
MICROSECONDS_PER_MILLISECOND = 1000
Addresses = Sequence[tuple[str, int]]

LEDGERS = click.option(
    "--ledger",
    "ledgers",
    type=ADDRESS,
    multiple=True,
    default=("127.0.0.1:7700",),
    show_default=True,
    help="Address of a ledger; may be repeated.",
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def purge() -> None:
    """Purge objects by name, tag or pattern in all caches of the fleet."""


@purge.command(
    epilog='Example: quartzrouter purge send --tag rose --wait 5s  |  purge send --pattern "/photos/rose/**"'
)
@LEDGERS
@click.option(
    "--object", "objects", multiple=True, help="Name of an object, as routes make it; may be repeated."
)
@click.option("--tag", "tags", multiple=True, help="All objects with this tag; may be repeated.")
@click.option(
    "--pattern", "patterns", multiple=True, help="All objects whose [HOST]/PATH matches; may be repeated."
)
@click.option(
    "--all",
    "everything",
    is_flag=True,
    help="All objects of the vhost and store; without those, all objects.",
)
@click.option("--vhost", default="", help="Only objects of this vhost.")
@click.option("--store", default="", help="Only copies in caches at this store.")
@click.option(
    "--key",
    default="",
    help="Idempotency key: a purge sent again with the same key counts once; random by default.",
)
@click.option(
    "--from",
    "file",
    type=click.File(),
    help="File with a purge on each line: object, tag or pattern, and its value.",
)
@click.option("--wait", type=TIME, help="Wait until the purges are complete, for at most this long.")
@AS_JSON
def send(ledgers, objects, tags, patterns, everything, vhost, store, key, file, wait, as_json) -> None:
    """Send purges; exit with 1 if one is rejected, with 2 if they aren't complete after --wait."""
    import secrets

    from quartzrouter.purges.messages import RequestRejected

    values_by_kind = {"object": objects, "tag": tags, "pattern": patterns}
    requests = _requests_of_options(values_by_kind, everything, vhost, store, key)
    requests += _requests_of_file(file, vhost, store, key) if file else []
    if not requests:
        raise click.UsageError("nothing to purge: give --object, --tag, --pattern, --all or --from")
    for request in requests:
        request.key = request.key or secrets.token_hex(8)  # a retry with the same key is still one purge
    answers = run_or_exit(_send, ledgers, requests)
    rejections = [answer for answer in answers if isinstance(answer, RequestRejected)]
    accepted = [answer for answer in answers if not isinstance(answer, RequestRejected)]
    for rejection in rejections:
        _print_rejection(rejection)
    _print_accepted(accepted, as_json)
    is_complete = True
    if wait and accepted:
        status = run_or_exit(_wait_until_complete, ledgers, accepted[-1].sequence_number, wait)
        _print_status(status, as_json)
        is_complete = status.is_complete
    if rejections:
        sys.exit(EXIT_REJECTED)
    sys.exit(EXIT_SUCCESS if is_complete else EXIT_NOT_COMPLETE)


def _requests_of_options(
    values_by_kind: "dict[messages.PurgeKind, Sequence[str]]",
    everything: bool,
    vhost: str,
    store: str,
    key: str,
) -> "list[messages.PurgeRequest]":
    """Returns one purge for each kind; each gets a key of its own, made of the given one."""
    from quartzrouter.purges.messages import PurgeRequest

    requests = [
        PurgeRequest(kind, tuple(values), vhost, store, key and f"{key}-{kind}")
        for kind, values in values_by_kind.items()
        if values
    ]
    if everything:
        requests.append(PurgeRequest("all", (), vhost, store, key and f"{key}-all"))
    return requests


def _requests_of_file(file: Iterable[str], vhost: str, store: str, key: str) -> "list[messages.PurgeRequest]":
    """Returns one purge for each line, which has a kind, a blank, and values."""
    from quartzrouter.purges.messages import PurgeRequest

    requests = []
    for line_number, line in enumerate(file, 1):
        kind, _, values = line.strip().partition(" ")
        if kind not in KINDS_WITH_VALUES or not values.strip():
            place = f"{getattr(file, 'name', '')}:{line_number}"
            raise click.UsageError(f"{place}: not a purge: write object, tag or pattern, and its value")
        line_key = key and f"{key}-{line_number}"
        requests.append(PurgeRequest(kind, tuple(values.split()), vhost, store, line_key))
    return requests


async def _send(ledgers: Addresses, requests: "list[messages.PurgeRequest]") -> "list[messages.FromPurgeLog]":
    from quartzrouter.purge_log.query_client import QueryClient

    is_quiet = len(requests) < MIN_PURGES_FOR_PROGRESS_BAR
    with click.progressbar(length=len(requests), label="sending", file=sys.stderr, hidden=is_quiet) as bar:
        return await QueryClient(ledgers).ask_all(requests, bar.update)


def _print_accepted(accepted: "list[messages.PurgeAccepted]", as_json: bool) -> None:
    if as_json:
        answers = [
            {
                "number": answer.sequence_number,
                "promise_us": answer.promised_within,
                "again": answer.is_duplicate,
            }
            for answer in accepted
        ]
        click.echo(json.dumps(answers))
        return
    if len(accepted) > MIN_PURGES_FOR_PROGRESS_BAR:
        click.echo(f"purges {accepted[0].sequence_number} to {accepted[-1].sequence_number} are accepted")
        return
    for answer in accepted:
        again = " (it had been before)" if answer.is_duplicate else ""
        promised = f"promised within {_milliseconds(answer.promised_within)}"
        click.echo(f"purge {answer.sequence_number} is accepted{again}; {promised}")


def _print_rejection(rejection: "messages.RequestRejected") -> None:
    click.echo(f"refused: {rejection.place}: {rejection.reason}; {rejection.remedy}", err=True)


async def _wait_until_complete(
    ledgers: Addresses, sequence_number: int, wait: int
) -> "messages.PurgeStatus | messages.RequestRejected":
    """Polls until a purge is complete.

    :param wait: microseconds after which the last status is returned anyway.
    """
    import anyio

    from quartzrouter.purge_log.query_client import QueryClient
    from quartzrouter.purges.messages import StatusQuery

    client = QueryClient(ledgers)
    give_up_at = anyio.current_time() + wait / MICROSECONDS_PER_SECOND
    while True:
        status = await client.ask(StatusQuery(sequence_number))
        if getattr(status, "is_complete", True) or anyio.current_time() >= give_up_at:
            return status
        await anyio.sleep(COMPLETION_POLL_INTERVAL)


@purge.command(epilog="Example: quartzrouter purge status 42")
@click.argument("number", type=int, default=0)
@LEDGERS
@AS_JSON
def status(number: int, ledgers: Addresses, as_json: bool) -> None:
    """Show the progress of a purge, by default of the last one; exit with 1 if it isn't complete."""
    from quartzrouter.purges.messages import StatusQuery

    purge_status = run_or_exit(ask, ledgers, StatusQuery(number))
    _print_status(purge_status, as_json)
    sys.exit(EXIT_SUCCESS if purge_status.is_complete else EXIT_REJECTED)


def _print_status(status: "messages.PurgeStatus | messages.RequestRejected", as_json: bool) -> None:
    import msgspec

    from quartzrouter.purges.messages import RequestRejected

    if isinstance(status, RequestRejected):
        _print_rejection(status)
        sys.exit(EXIT_REJECTED)
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(status)))
        return
    if not status.sequence_number:
        click.echo("no purge has been accepted yet")
        return
    purge_name = f"purge {status.sequence_number}, {status.description}"
    promised = f"{_milliseconds(status.promised_within)} promised"
    if not status.is_complete:
        waiting_for = ", ".join(status.waiting_for) or "the ledger's own first lease"
        click.echo(f"{purge_name}: waiting for {waiting_for}; {promised}")
    elif status.completed_after:
        click.echo(f"{purge_name}: complete after {_milliseconds(status.completed_after)}, {promised}")
    else:
        click.echo(f"{purge_name}: complete before the ledger's last start")
    _print_delays(status.delays)


def _print_delays(delays: dict[str, int]) -> None:
    if not delays.get("purges"):
        return
    percentiles = ", ".join(
        f"{name} {delays[name] / MICROSECONDS_PER_MILLISECOND:.1f} ms" for name in ("p50", "p99", "highest")
    )
    click.echo(f"{delays['purges']} purges since the ledger's start: {percentiles}; {delays['missed']} late")


def _milliseconds(microseconds: int) -> str:
    return f"{microseconds / MICROSECONDS_PER_MILLISECOND:.0f} ms"


@purge.command(epilog="Example: quartzrouter purge members")
@LEDGERS
@AS_JSON
def members(ledgers: Addresses, as_json: bool) -> None:
    """List routers and caches, and the progress of each."""
    import msgspec

    from quartzrouter.purges.messages import MembersQuery

    reply = run_or_exit(ask, ledgers, MembersQuery())
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(reply)))
        return
    click.echo(f"epoch {reply.epoch}, {reply.head} purges")
    for member in reply.members:
        state = "away" if member.is_unreachable else "live" if member.is_live else "silent"
        lag = reply.head - member.applied_up_to
        progress = f"{lag} behind" if lag else "caught up"
        click.echo(
            f"{member.name:24} {member.kind:8} {state:7} at {member.applied_up_to:<10} "
            f"{progress:14} heard {_milliseconds(member.silent_for)} ago"
        )


@purge.command(epilog="Example: quartzrouter purge follow --after 0 | head")
@LEDGERS
@click.option(
    "--after", type=int, help="Start after the purge of this number; by default with the next purge."
)
def follow(ledgers: Addresses, after: int | None) -> None:
    """Print purges as they are accepted, one JSON object a line, until interrupted."""
    run_or_exit(_follow, ledgers, after)


async def _follow(ledgers: Addresses, after: int | None) -> None:
    import secrets

    from quartzrouter.purge_log.member_client import ConnectionOpened, MemberClient, MessageReceived
    from quartzrouter.purges.freshness_lease import FreshnessLease
    from quartzrouter.purges.messages import StatusQuery
    from quartzrouter.purges.replica import ApplyPurges, EndConnection, PurgeReplica, SendMessage
    from quartzrouter.server.clock import wall_clock
    from quartzrouter.server.rate_limited_log import RateLimitedLog

    applied_up_to = (await ask(ledgers, StatusQuery())).head if after is None else after
    token = secrets.token_hex(4)
    replica = PurgeReplica(f"watcher-{token}", "watcher", token, FreshnessLease(1), applied_up_to)

    def on_event(event: ConnectionOpened | MessageReceived) -> None:
        if isinstance(event, ConnectionOpened):
            client.send(replica.start_connection())
            return
        for effect in replica.receive(event.message, wall_clock()):
            match effect:
                case ApplyPurges(purges):
                    _print_purges(purges)
                case SendMessage(message):
                    client.send(message)
                case EndConnection(reason, reconnect_after):
                    client.reconnect(reason, reconnect_after)

    client = MemberClient(ledgers, FOLLOW_SILENCE_TIMEOUT, on_event, RateLimitedLog("follow", wall_clock))
    await client.run()


def _print_purges(purges: "Iterable[messages.Purge]") -> None:
    import msgspec

    for each in purges:
        click.echo(msgspec.json.encode(each).decode())
    sys.stdout.flush()


@purge.command(epilog="Example: quartzrouter purge deliver main.plan")
@click.argument("path", metavar="PLAN")
@click.option("--rate", type=float, default=500.0, show_default=True, help="Purges a second to each cache.")
@click.option("--only", multiple=True, help="Deliver to this cache only; may be repeated.")
@click.option("--task", help="Deliver only while this process holds this task of the plan's `leases`.")
@click.option("--name", help="With --task: name of the claimant, different for each process.")
def deliver(path: str, rate: float, only: tuple[str, ...], task: str | None, name: str | None) -> None:
    """Deliver purges to the caches that a plan lists, by HTTP PURGE, until SIGTERM."""
    import anyio

    from quartzrouter.cli.plan import load_plan_or_exit
    from quartzrouter.config.purge_settings import settle_time_of
    from quartzrouter.configuration_section import parse_address
    from quartzrouter.purge_log.delivery import DeliverySettings
    from quartzrouter.purge_log.delivery import deliver as run_delivery
    from quartzrouter.server.clock import wall_clock
    from quartzrouter.server.event_loop import BACKEND_OPTIONS
    from quartzrouter.standalone.structured_log import StructuredLog, logger

    plan = load_plan_or_exit(path)
    if not plan.purges:
        raise click.UsageError(f"{path} names no ledger: give it `purges`")
    targets = _delivery_targets(plan)
    if unknown := set(only) - set(targets):
        raise click.UsageError(f"there is no cache {sorted(unknown)[0]!r} in {path}")
    if only:
        targets = {name: target for name, target in targets.items() if name in only}
    purge_logs = [parse_address(text, "purges.ledgers") for text in plan.purges["ledgers"]]
    report = StructuredLog(name or "courier", wall_clock, logger())
    lease_client = lease_client_of(plan, path, task, name, report) if task else None
    settings = DeliverySettings(plan.purges["grace"], rate, settle_time_of(plan.purges, plan.vhosts))
    arguments = (targets, purge_logs, settings, report, lease_client, task)
    anyio.run(run_delivery, *arguments, backend_options=BACKEND_OPTIONS)


def _delivery_targets(plan: "Plan") -> "dict[str, DeliveryTarget]":
    """Returns the caches and parents of a plan; origins keep no copies."""
    from quartzrouter.configuration_section import parse_address
    from quartzrouter.purge_log.delivery import DeliveryTarget

    return {
        name: DeliveryTarget(
            parse_address(settings["address"], f"caches.{name}"), settings["tier"] == "parent"
        )
        for name, settings in plan.caches.items()
        if settings["tier"] != "origin"
    }


def lease_client_of(
    plan: "Plan", path: str, task: str, name: str | None, report: "RateLimitedLog"
) -> "ClusterLeaseClient":
    """Returns the client that claims a task of a plan's lease service; exits if there is none.

    :param path: of the plan, for messages.
    :param name: of the claimant.
    """
    from quartzrouter.lease_service.client import ClusterLeaseClient
    from quartzrouter.lease_service.plan_terms import LeasesNotConfiguredError
    from quartzrouter.lease_service.plan_terms import lease_terms as terms

    if not name:
        raise click.UsageError("--task needs --name, which tells claimants apart")
    try:
        lease_terms, addresses = terms(plan)
    except LeasesNotConfiguredError as error:
        _exit_with(f"quartzrouter: {path}: {error}")
    tasks = dict(lease_terms.tasks)
    if task not in tasks:
        place = plan.places.get(("leases", "tasks")) or plan.places.get(("leases",)) or path
        _exit_with(f"quartzrouter: {place}: there is no task {task!r}; there are {', '.join(tasks)}")
    return ClusterLeaseClient(lease_terms, addresses, name, report)


def _exit_with(message: str) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(EXIT_REJECTED)


async def ask(ledgers: Addresses, message: "messages.ToPurgeLog") -> "messages.FromPurgeLog":
    """Sends one request to the first purge log that answers; returns the answer."""
    from quartzrouter.purge_log.query_client import QueryClient

    return await QueryClient(ledgers).ask(message)


def run_or_exit(function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Runs an async function; exits with one line if no purge log answers.

    :returns: what the function returns.
    """
    import anyio

    from quartzrouter.purge_log.errors import UnreachableError

    try:
        return anyio.run(function, *arguments)
    except UnreachableError as error:
        _exit_with(f"no ledger answers: {error}; check that it runs, or name another with --ledger")
    except KeyboardInterrupt:
        sys.exit(EXIT_SUCCESS)
