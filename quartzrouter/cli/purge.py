"""`quartzrouter purge ...`: send purges, see how far they have come, bring them to caches."""

import json
import sys
from typing import TYPE_CHECKING

import click

from quartzrouter.cli.parameter_types import ADDRESS, TIME

if TYPE_CHECKING:
    from quartzrouter.purges import messages

MANY = 100  # purges sent, from which progress is shown
LOOK_EVERY = 0.02  # s between questions whether a purge is complete
LEDGERS = click.option(
    "--ledger",
    "ledgers",
    type=ADDRESS,
    multiple=True,
    default=("127.0.0.1:7700",),
    show_default=True,
    help="Where a ledger listens; may be repeated.",
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def purge() -> None:
    """Purge objects, tags and patterns at the whole fleet."""


@purge.command(
    epilog='Example: quartzrouter purge send --tag rose --wait 5s  |  purge send --pattern "/photos/rose/**"'
)
@LEDGERS
@click.option("--object", "objects", multiple=True, help="An object, as routes name it; may be repeated.")
@click.option("--tag", "tags", multiple=True, help="All that carry a tag; may be repeated.")
@click.option("--pattern", "patterns", multiple=True, help="All whose [HOST]/PATH matches; may be repeated.")
@click.option(
    "--all", "whole", is_flag=True, help="All of the vhost and store; of everything, if neither is given."
)
@click.option("--vhost", default="", help="Of this vhost only.")
@click.option("--store", default="", help="In caches at this store only.")
@click.option("--key", default="", help="By which the same purge sent twice is one; drawn, if not given.")
@click.option(
    "--from", "file", type=click.File(), help="One purge a line: object, tag or pattern, and its value."
)
@click.option("--wait", type=TIME, help="Wait until it is complete, for at most this long.")
@AS_JSON
def send(ledgers, objects, tags, patterns, whole, vhost, store, key, file, wait, as_json) -> None:
    """Send purges; exit with 1 if one is refused, with 2 if --wait runs out."""
    import secrets

    from quartzrouter.purges.messages import PurgeRequest, RequestRejected

    sends = [
        PurgeRequest(kind, tuple(values), vhost, store, key and f"{key}-{kind}")
        for kind, values in (("object", objects), ("tag", tags), ("pattern", patterns))
        if values
    ]
    sends += [PurgeRequest("all", (), vhost, store, key and f"{key}-all")] if whole else []
    for at, line in enumerate(file or (), 1):
        kind, _, value = line.strip().partition(" ")
        if kind not in ("object", "tag", "pattern") or not value.strip():
            raise click.UsageError(f"{file.name}:{at}: no purge: write object, tag or pattern, and its value")
        sends.append(PurgeRequest(kind, tuple(value.split()), vhost, store, key and f"{key}-{at}"))
    if not sends:
        raise click.UsageError("nothing to purge: give --object, --tag, --pattern, --all or --from")
    for each in sends:
        each.key = each.key or secrets.token_hex(8)  # asked again, it is still one purge
    answers = ran(_send, ledgers, sends)
    refused = [answer for answer in answers if isinstance(answer, RequestRejected)]
    for answer in refused:
        click.echo(f"refused: {answer.place}: {answer.reason}; {answer.remedy}", err=True)
    taken = [answer for answer in answers if not isinstance(answer, RequestRejected)]
    if as_json:
        click.echo(
            json.dumps(
                [
                    {"number": t.sequence_number, "promise_us": t.promised_within, "again": t.is_duplicate}
                    for t in taken
                ]
            )
        )
    elif len(taken) > MANY:
        click.echo(f"purges {taken[0].sequence_number} to {taken[-1].sequence_number} are taken")
    else:
        for answer in taken:
            again = ", as it had been before" if answer.is_duplicate else ""
            click.echo(
                f"purge {answer.sequence_number} is taken{again}; "
                f"promised within {answer.promised_within / 1000:.0f} ms"
            )
    complete = ran(_complete, ledgers, taken[-1].sequence_number, wait) if wait and taken else None
    if complete is not None:
        _show(complete, as_json)
    sys.exit(1 if refused else 2 if complete is not None and not complete.is_complete else 0)


async def _send(ledgers, sends: "list[messages.PurgeRequest]") -> list:
    from quartzrouter.purge_log.query_client import QueryClient

    with click.progressbar(
        length=len(sends), label="sending", file=sys.stderr, hidden=len(sends) < MANY
    ) as bar:
        return await QueryClient(ledgers).ask_all(sends, bar.update)


async def _complete(ledgers, number: int, wait: int) -> "messages.PurgeStatus":
    import anyio

    from quartzrouter.purge_log.query_client import QueryClient
    from quartzrouter.purges.messages import StatusQuery

    client, until = QueryClient(ledgers), anyio.current_time() + wait / 1e6
    while True:
        told = await client.ask(StatusQuery(number))
        if getattr(told, "is_complete", True) or anyio.current_time() >= until:
            return told
        await anyio.sleep(LOOK_EVERY)


@purge.command(epilog="Example: quartzrouter purge status 42")
@click.argument("number", type=int, default=0)
@LEDGERS
@AS_JSON
def status(number: int, ledgers, as_json: bool) -> None:
    """Say how far a purge has come, the last where none is named; exit with 1 if it isn't complete."""
    from quartzrouter.purges.messages import StatusQuery

    told = ran(ask, ledgers, StatusQuery(number))
    _show(told, as_json)
    sys.exit(0 if told.is_complete else 1)


def _show(told: "messages.PurgeStatus", as_json: bool) -> None:
    import msgspec

    from quartzrouter.purges.messages import RequestRejected

    if isinstance(told, RequestRejected):
        click.echo(f"refused: {told.place}: {told.reason}; {told.remedy}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(told)))
        return
    if not told.sequence_number:
        click.echo("no purge has been taken yet")
        return
    promised = f"{told.promised_within / 1000:.0f} ms promised"
    if told.is_complete:
        took = (
            f"after {told.completed_after / 1000:.0f} ms, {promised}"
            if told.completed_after
            else "before the ledger's last start"
        )
        click.echo(f"purge {told.sequence_number}, {told.description}: complete {took}")
    else:
        missing = ", ".join(told.waiting_for) or "the ledger's own first lease"
        click.echo(f"purge {told.sequence_number}, {told.description}: waits for {missing}; {promised}")
    if told.delays.get("purges"):
        figures = ", ".join(f"{k} {told.delays[k] / 1000:.1f} ms" for k in ("p50", "p99", "highest"))
        click.echo(f"{told.delays['purges']} purges since its start: {figures}; {told.delays['missed']} late")


@purge.command(epilog="Example: quartzrouter purge members")
@LEDGERS
@AS_JSON
def members(ledgers, as_json: bool) -> None:
    """List routers and caches, and how far each has come."""
    import msgspec

    from quartzrouter.purges.messages import MembersQuery

    told = ran(ask, ledgers, MembersQuery())
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(told)))
        return
    click.echo(f"epoch {told.epoch}, {told.head} purges")
    for member in told.members:
        state = "away" if member.is_unreachable else "live" if member.is_live else "silent"
        behind = told.head - member.applied_up_to
        click.echo(
            f"{member.name:24} {member.kind:8} {state:7} at {member.applied_up_to:<10} "
            f"{f'{behind} behind' if behind else 'caught up':14} heard {member.silent_for / 1000:.0f} ms ago"
        )


@purge.command(epilog="Example: quartzrouter purge follow --after 0 | head")
@LEDGERS
@click.option("--after", type=int, help="From behind this number; from now on, if not given.")
def follow(ledgers, after: int | None) -> None:
    """Print purges as they are taken, one JSON object a line, until interrupted."""
    ran(_follow, ledgers, after)


async def _follow(ledgers, after: int | None) -> None:
    import secrets

    import anyio
    import msgspec

    from quartzrouter.purge_log.member_client import ConnectionOpened, MemberClient, MessageReceived
    from quartzrouter.purges.freshness_lease import FreshnessLease
    from quartzrouter.purges.messages import StatusQuery
    from quartzrouter.purges.replica import ApplyPurges, EndConnection, PurgeReplica, SendMessage
    from quartzrouter.server.clock import wall_clock
    from quartzrouter.server.rate_limited_log import RateLimitedLog

    held = after
    if held is None:
        held = (await ask(ledgers, StatusQuery())).head
    token = secrets.token_hex(4)
    follower = PurgeReplica(f"watcher-{token}", "watcher", token, FreshnessLease(1), held)

    def feed(event: ConnectionOpened | MessageReceived) -> None:
        if isinstance(event, ConnectionOpened):
            link.send(follower.start_connection())
            return
        for given in follower.receive(event.message, wall_clock()):
            match given:
                case ApplyPurges(purges):
                    for each in purges:
                        click.echo(msgspec.json.encode(each).decode())
                    sys.stdout.flush()
                case SendMessage(said):
                    link.send(said)
                case EndConnection(reason, come_back):
                    link.reconnect(reason, come_back)

    link = MemberClient(ledgers, 10_000_000, feed, RateLimitedLog("follow", wall_clock))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)


@purge.command(epilog="Example: quartzrouter purge deliver main.plan")
@click.argument("path", metavar="PLAN")
@click.option("--rate", type=float, default=500.0, show_default=True, help="Purges a second to one cache.")
@click.option("--only", multiple=True, help="These caches only; may be repeated.")
@click.option("--task", help="Deliver only while this task of the plan's `leases` is held here.")
@click.option("--name", help="With --task: the claimant's name, one for each process.")
def deliver(path: str, rate: float, only: tuple[str, ...], task: str | None, name: str | None) -> None:
    """Bring purges to the caches that a plan lists, by HTTP PURGE, until SIGTERM."""
    import anyio

    from quartzrouter.cli.plan import checked
    from quartzrouter.configuration_section import parse_address
    from quartzrouter.purge_log.delivery import deliver as run
    from quartzrouter.server.clock import wall_clock
    from quartzrouter.server.event_loop import BACKEND_OPTIONS
    from quartzrouter.standalone.structured_log import StructuredLog, logger

    made = checked(path)
    if not made.purges:
        raise click.UsageError(f"{path} names no ledger: give it `purges`")
    caches = {
        name: parse_address(told["address"], f"caches.{name}")
        for name, told in made.caches.items()
        if told["tier"] != "origin"
    }
    if unknown := set(only) - set(caches):
        raise click.UsageError(f"there is no cache {sorted(unknown)[0]!r} in {path}")
    caches = {name: at for name, at in caches.items() if not only or name in only}
    ledgers = [parse_address(at, "purges.ledgers") for at in made.purges["ledgers"]]
    report = StructuredLog(name or "courier", wall_clock, logger())
    claims = claims_of(made, path, task, name, report) if task else None
    told = (caches, ledgers, made.purges["grace"], report, rate, claims, task)
    anyio.run(run, *told, backend_options=BACKEND_OPTIONS)


def claims_of(plan, path: str, task: str, name: str | None, report):
    """What a process claims; refuses a task that the plan doesn't name, with its place."""
    from quartzrouter.lease_service.client import ClusterLeaseClient
    from quartzrouter.lease_service.plan_terms import LeasesNotConfigured, terms

    if not name:
        raise click.UsageError("--task needs --name: claimants are told apart by it")
    try:
        told, addresses = terms(plan)
    except LeasesNotConfigured as error:
        click.echo(f"quartzrouter: {path}: {error}", err=True)
        sys.exit(1)
    if task not in dict(told.tasks):
        place = plan.places.get(("leases", "tasks")) or plan.places.get(("leases",))
        known = ", ".join(each for each, _ in told.tasks)
        where = place or path
        click.echo(f"quartzrouter: {where}: there is no task {task!r}; there are {known}", err=True)
        sys.exit(1)
    return ClusterLeaseClient(told, addresses, name, report)


async def ask(ledgers, said):
    from quartzrouter.purge_log.query_client import QueryClient

    return await QueryClient(ledgers).ask(said)


def ran(what, *arguments):
    import anyio

    from quartzrouter.purge_log.errors import UnreachableError

    try:
        return anyio.run(what, *arguments)
    except UnreachableError as error:
        click.echo(f"no ledger answers: {error}; see that it runs, or name another with --ledger", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        sys.exit(0)
