"""A keeper's process: votes for claimants over their connections, and keeps numbers on its disk."""

import signal
from collections.abc import Callable

import anyio

from quartzrouter.lease_service.queries import ask_all
from quartzrouter.lease_service.token_storage import TokenStorage
from quartzrouter.leases import messages
from quartzrouter.leases.acceptor import Acceptor
from quartzrouter.leases.terms import AcceptorStatus, LeaseTerms, VoteRefusal
from quartzrouter.purge_log.line_connection import read_lines
from quartzrouter.purges.messages import MalformedMessage, encode_line
from quartzrouter.server.attempt_failure import CONNECTION_LOST
from quartzrouter.server.clock import steady_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

CONNECTIONS_MOST = 4_096
ANSWERS_MOST = 64  # lines on their way to one claimant; beyond, it is given up: it takes nothing
WRITE_WITHIN = 2.0  # s


class LeaseServer:
    """:param numbers: on the disk; None: it has none, and hears numbers anew after each start.
    :param steady: reads the monotonic clock, us.
    """

    def __init__(
        self,
        terms: LeaseTerms,
        name: str,
        report: RateLimitedLog,
        numbers: TokenStorage | None = None,
        steady: Callable[[], int] = steady_clock,
    ):
        self.report, self.numbers, self.steady = report, numbers, steady
        self.keeper = Acceptor(terms, name, steady(), numbers.found if numbers else None)
        self.kept = self.keeper.highest()
        self.heard: dict[str, anyio.abc.ObjectSendStream] = {}  # by claimant: the line it asks on
        self.disk = anyio.Lock()
        self.connections = 0

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        if self.connections >= CONNECTIONS_MOST:
            await anyio.aclose_forcefully(stream)
            return
        self.connections += 1
        try:
            async with stream:
                await self._serve(stream)
        except* (*CONNECTION_LOST, TimeoutError, anyio.WouldBlock):
            pass
        except* Exception as group:  # a fault of ours ends at its connection
            self.report.say("fault", "; ".join(f"{type(e).__name__}: {e}" for e in group.exceptions))
        finally:
            self.connections -= 1

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        give, take = anyio.create_memory_object_stream(ANSWERS_MOST)

        async def write() -> None:
            async for said in take:
                with anyio.fail_after(WRITE_WITHIN):
                    await stream.send(encode_line(said))

        names: set[str] = set()
        async with anyio.create_task_group() as tasks, give:
            tasks.start_soon(write)
            try:
                async for heard in read_lines(stream):
                    if answer := await self._hear(messages.decode_to_acceptor(heard), give, names):
                        give.send_nowait(answer)
            except (messages.MalformedMessage, MalformedMessage) as error:
                give.send_nowait(messages.MessageRejected(str(error), "see docs/leases.md for what is said"))
            finally:
                for name in names:
                    if self.heard.get(name) is give:
                        del self.heard[name]

    async def _hear(self, said: messages.ToAcceptor, give, names: set[str]) -> messages.FromAcceptor | None:
        if isinstance(said, messages.StatusQuery):
            return messages.StatusReply(self.keeper.told(self.steady()))
        if isinstance(said, messages.RevokeHolder):
            if holder := self.keeper.shun(said.task, self.steady()):
                self.report.say("lease", f"{said.task:.60}: an operator takes it from {holder}")
            return messages.StatusReply(self.keeper.told(self.steady()))
        if isinstance(said, messages.VoteReleases):
            for free in said.frees[: messages.VOTES_MOST]:
                for name in self.keeper.free(free, self.steady()):
                    self._tell(name, free.task)
            return None
        answers, refused = [], {}
        for vote in said.votes[: messages.VOTES_MOST]:
            given = self.keeper.vote(vote, self.steady())
            if isinstance(given, VoteRefusal):
                refused[vote.task[:60]] = given
                self.report.say("lease", f"{vote.name:.60}: {given.place}: {given.reason}")
                continue
            answers.append(given)
            names.add(vote.name)
            self.heard[vote.name] = give
        if not await self._keep():
            answers = []  # what isn't kept isn't said: the votes run out by themselves
        return messages.VoteReplies(tuple(answers), refused)

    def _tell(self, name: str, task: str) -> None:
        if (line_of := self.heard.get(name)) is not None:
            try:
                line_of.send_nowait(messages.VoteAvailable(task))
            except (anyio.WouldBlock, anyio.ClosedResourceError, anyio.BrokenResourceError):
                del self.heard[name]

    async def _keep(self) -> bool:
        """Numbers that have risen are on the disk before they are spoken of."""
        if self.numbers is None:
            return True
        async with self.disk:
            now = self.keeper.highest()
            if now == self.kept:
                return True
            try:
                await anyio.to_thread.run_sync(self.numbers.write, now)
            except OSError as error:
                self.report.say("lease", f"no votes: {self.numbers.path}: {error.strerror or error}")
                return False
            self.kept = now
            return True

    async def replace(self, terms: LeaseTerms, addresses: dict[str, tuple[str, int]]) -> VoteRefusal | None:
        """The plan was read anew; gives why it isn't followed."""
        others = {name: at for name, at in addresses.items() if name != self.keeper.name}
        found = await ask_all(others)
        versions = {name: said.version for name, said in found.items() if isinstance(said, AcceptorStatus)}
        return self.keeper.next(terms, versions, self.steady())


Told = Callable[[], tuple[LeaseTerms, dict[str, tuple[str, int]]]]


async def serve(
    name: str,
    read: Told,
    report: RateLimitedLog,
    numbers: TokenStorage | None = None,
    steady: Callable[[], int] = steady_clock,
) -> None:
    """Keeps until SIGTERM; reads the plan anew at SIGHUP.  Raises OSError, ValueError before it votes.

    :param read: the terms and where all keepers listen, as the plan has them now; raises ValueError.
    """
    terms, addresses = read()
    service = LeaseServer(terms, name, report, numbers, steady)
    where = dict(addresses)

    async def reread() -> None:
        try:
            terms, addresses = await anyio.to_thread.run_sync(read)
        except (ValueError, OSError) as error:
            report.say("lease", f"SIGHUP: nothing changes: {error}")
            return
        refused = await service.replace(terms, where | addresses)
        if refused:
            place, reason, remedy = refused
            report.say("lease", f"SIGHUP: nothing changes: {place}: {reason}; {remedy}")
            return
        where.clear()
        where.update(addresses)
        report.say("lease", f"SIGHUP: version {terms.version}, keepers {', '.join(terms.keepers)}")

    async with anyio.create_task_group() as tasks:
        host, port = addresses[name]
        listeners = await anyio.create_tcp_listener(local_host=host, local_port=port)
        silent = service.keeper.from_ - steady()
        report.say("process", f"keeper {name} at {host}:{port}, votes in {silent / 1e6:.1f} s")
        for listener in listeners.listeners:
            tasks.start_soon(listener.serve, service.serve)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    await reread()
                    continue
                report.say("process", f"{number.name}: stopping")
                tasks.cancel_scope.cancel()
                return
