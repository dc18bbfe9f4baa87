"""The server of one acceptor: serves proposers, stores fencing tokens, and reloads its terms at SIGHUP."""

import signal
from collections.abc import Callable

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from quartzrouter.lease_service.plan_terms import Addresses
from quartzrouter.lease_service.queries import ask_all
from quartzrouter.lease_service.token_storage import TokenStorage
from quartzrouter.leases import messages
from quartzrouter.leases.acceptor import Acceptor
from quartzrouter.leases.terms import AcceptorStatus, LeaseTerms, VoteRefusal
from quartzrouter.purge_log.line_connection import CONNECTION_ENDED, ConnectionGuard, LineReader
from quartzrouter.purges.messages import MalformedMessageError, encode_line
from quartzrouter.server.byte_stream import serve_listener
from quartzrouter.server.clock import steady_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

MAX_CONNECTIONS = 4_096
MAX_QUEUED_REPLIES = 64  # lines for a proposer that reads nothing; beyond, its connection is closed
WRITE_TIMEOUT = 2.0  # seconds for a line
MICROSECONDS_PER_SECOND = 1e6
MAX_LOGGED_NAME = 60  # characters

ReplyQueue = MemoryObjectSendStream[messages.FromAcceptor]
# Reads the current terms and the addresses of all acceptors from the configuration.
TermsReader = Callable[[], tuple[LeaseTerms, Addresses]]


class LeaseServer:
    """One acceptor and its connections.

    :param storage: its fencing tokens on disk; None: it stores none, and learns them again after each start.
    :param steady: returns the time of the monotonic clock, in microseconds.
    """

    def __init__(
        self,
        terms: LeaseTerms,
        name: str,
        report: RateLimitedLog,
        storage: TokenStorage | None = None,
        steady: Callable[[], int] = steady_clock,
    ):
        self.report = report
        self.storage = storage
        self.steady = steady
        self.acceptor = Acceptor(terms, name, steady(), storage.found if storage else None)
        self._stored_tokens = self.acceptor.highest_tokens()
        self._reply_queues: dict[str, ReplyQueue] = {}  # by proposer, of its last connection with a request
        self._disk_lock = anyio.Lock()
        self._guard = ConnectionGuard(MAX_CONNECTIONS, report, (*CONNECTION_ENDED, anyio.WouldBlock))

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serves one connection until it ends."""
        await self._guard.serve(stream, self._serve)

    async def _serve(self, stream: anyio.abc.ByteStream, lines: LineReader) -> None:
        queue, replies = anyio.create_memory_object_stream[messages.FromAcceptor](MAX_QUEUED_REPLIES)

        async def write_replies() -> None:
            async for reply in replies:
                with anyio.fail_after(WRITE_TIMEOUT):
                    await stream.send(encode_line(reply))

        proposers: set[str] = set()
        async with anyio.create_task_group() as tasks, queue:
            tasks.start_soon(write_replies)
            try:
                async for line in lines:
                    reply = await self._handle(messages.decode_to_acceptor(line), queue, proposers)
                    if reply is not None:
                        queue.send_nowait(reply)
            except (messages.MalformedMessageError, MalformedMessageError) as error:
                queue.send_nowait(messages.MessageRejected(str(error), "see docs/leases.md for what is said"))
            finally:
                self._forget_queue(queue, proposers)

    def _forget_queue(self, queue: ReplyQueue, proposers: set[str]) -> None:
        for proposer in proposers:
            if self._reply_queues.get(proposer) is queue:
                del self._reply_queues[proposer]

    async def _handle(
        self, message: messages.ToAcceptor, queue: ReplyQueue, proposers: set[str]
    ) -> messages.FromAcceptor | None:
        """Handles one message; returns the reply to it, or None.

        :param queue: the reply queue of the connection that the message came on.
        :param proposers: the proposers that have requested votes on this connection; this adds to them.
        """
        match message:
            case messages.StatusQuery():
                return messages.StatusReply(self.acceptor.status(self.steady()))
            case messages.RevokeHolder(task):
                return self._revoke(task)
            case messages.VoteReleases(releases):
                for release in releases[: messages.MAX_VOTE_REQUESTS]:
                    for proposer in self.acceptor.release(release, self.steady()):
                        self._notify(proposer, release.task)
                return None
            case messages.VoteRequests():
                return await self._vote(message, queue, proposers)

    def _revoke(self, task: str) -> messages.StatusReply:
        holder = self.acceptor.revoke(task, self.steady())
        if holder:
            self.report.say("lease", f"{task[:MAX_LOGGED_NAME]}: an operator revokes the lease of {holder}")
        return messages.StatusReply(self.acceptor.status(self.steady()))

    async def _vote(
        self, message: messages.VoteRequests, queue: ReplyQueue, proposers: set[str]
    ) -> messages.VoteReplies:
        replies = []
        refused: dict[str, VoteRefusal] = {}
        for request in message.requests[: messages.MAX_VOTE_REQUESTS]:
            reply = self.acceptor.vote(request, self.steady())
            if isinstance(reply, VoteRefusal):
                refused[request.task[:MAX_LOGGED_NAME]] = reply
                proposer = request.proposer[:MAX_LOGGED_NAME]
                self.report.say("lease", f"{proposer}: {reply.field}: {reply.reason}")
                continue
            replies.append(reply)
            proposers.add(request.proposer)
            self._reply_queues[request.proposer] = queue
        if not await self._store_tokens():
            replies = []  # a vote isn't reported unless its token is on the disk; it expires by itself
        return messages.VoteReplies(tuple(replies), refused)

    def _notify(self, proposer: str, task: str) -> None:
        queue = self._reply_queues.get(proposer)
        if queue is None:
            return
        try:
            queue.send_nowait(messages.VoteAvailable(task))
        except (anyio.WouldBlock, anyio.ClosedResourceError, anyio.BrokenResourceError):
            del self._reply_queues[proposer]

    async def _store_tokens(self) -> bool:
        """Stores fencing tokens that have risen on the disk.

        Guards against a token that is used twice: an acceptor that lost it in a restart would vote for
        another proposer under the same token.

        :returns: True if all tokens are stored, or the acceptor has no disk.
        """
        if self.storage is None:
            return True
        async with self._disk_lock:
            tokens = self.acceptor.highest_tokens()
            if tokens == self._stored_tokens:
                return True
            try:
                await anyio.to_thread.run_sync(self.storage.write, tokens)
            except OSError as error:
                self.report.say("lease", f"no votes: {self.storage.path}: {error.strerror or error}")
                return False
            self._stored_tokens = tokens
            return True

    async def change_terms(self, terms: LeaseTerms, addresses: Addresses) -> VoteRefusal | None:
        """Applies reloaded terms, if that is safe.

        :param addresses: the addresses of the acceptors of the current and the new list.
        :returns: the reason why the terms are unchanged; None if they are applied.
        """
        others = {name: address for name, address in addresses.items() if name != self.acceptor.name}
        answers = await ask_all(others)
        versions = {
            name: answer.version for name, answer in answers.items() if isinstance(answer, AcceptorStatus)
        }
        return self.acceptor.change_terms(terms, versions)


class TermsReloader:
    """Reloads the terms at SIGHUP.

    :param addresses: the addresses of the acceptors in the current terms.
    """

    def __init__(self, server: LeaseServer, read: TermsReader, addresses: Addresses):
        self._server = server
        self._read = read
        self._addresses = addresses

    async def reload(self) -> None:
        """Reloads the configuration; if it can't be used, logs why and changes nothing."""
        report = self._server.report
        try:
            terms, addresses = await anyio.to_thread.run_sync(self._read)
        except (ValueError, OSError) as error:
            report.say("lease", f"SIGHUP: nothing changes: {error}")
            return
        refusal = await self._server.change_terms(terms, self._addresses | addresses)
        if refusal is not None:
            cause = f"{refusal.field}: {refusal.reason}; {refusal.remedy}"
            report.say("lease", f"SIGHUP: nothing changes: {cause}")
            return
        self._addresses = dict(addresses)
        report.say("lease", f"SIGHUP: version {terms.version}, keepers {', '.join(terms.acceptors)}")


async def serve(
    name: str,
    read: TermsReader,
    report: RateLimitedLog,
    storage: TokenStorage | None = None,
    steady: Callable[[], int] = steady_clock,
) -> None:
    """Runs an acceptor until SIGTERM; reloads the configuration at SIGHUP.

    :param read: reads the terms and addresses; raises ValueError if the configuration can't be used.
    :raises OSError: if the address can't be bound.
    :raises ValueError: if `read` raises it at the start.
    """
    terms, addresses = read()
    server = LeaseServer(terms, name, report, storage, steady)
    reloader = TermsReloader(server, read, dict(addresses))
    async with anyio.create_task_group() as tasks:
        host, port = addresses[name]
        listeners = await anyio.create_tcp_listener(local_host=host, local_port=port)
        time_until_voting = (server.acceptor.voting_starts_at - steady()) / MICROSECONDS_PER_SECOND
        report.say("process", f"keeper {name} at {host}:{port}, votes in {time_until_voting:.1f} s")
        for listener in listeners.listeners:
            tasks.start_soon(serve_listener, listener, server.serve, report)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    await reloader.reload()
                    continue
                report.say("process", f"{number.name}: stopping")
                tasks.cancel_scope.cancel()
                return
