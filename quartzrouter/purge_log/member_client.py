"""A member's connection to the ledger: lines in as events, words out as asked for; it decides nothing."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio

from quartzrouter.purge_log.line_connection import connect, lines
from quartzrouter.purges import messages
from quartzrouter.purges.reconnect_backoff import ReconnectBackoff
from quartzrouter.server.rate_limited_log import RateLimitedLog


class ConnectionOpened(NamedTuple):
    """A connection to a ledger is there."""


class MessageReceived(NamedTuple):
    """What the ledger says."""

    said: messages.FromPurgeLog


class QueueMessage(NamedTuple):
    """Effect: say this to the ledger."""

    said: messages.ToPurgeLog


class CloseConnection(NamedTuple):
    """Effect: close the connection, and come back after a while."""

    reason: str
    come_back: int  # us


class MemberClient:
    """:param addresses: of ledgers, tried in turn.
    :param silent: us without a word after which the connection is taken for broken.
    """

    def __init__(
        self,
        addresses: Sequence[tuple[str, int]],
        silent: int,
        feed: Callable[[ConnectionOpened | MessageReceived], None],
        report: RateLimitedLog,
    ):
        self.attempts, self.silent = ReconnectBackoff(addresses, report.name), silent / 1e6
        self.feed, self.report = feed, report
        self.out: list[bytes] | None = None  # None: there is no connection
        self.wake = anyio.Event()
        self.scope: anyio.CancelScope | None = None

    def tell(self, said: messages.ToPurgeLog) -> None:
        """Says it where there is a connection; what is said without one counts for nothing."""
        if self.out is not None:
            self.out.append(messages.encode_line(said))
            self.wake.set()

    def hang(self, reason: str, come_back: int) -> None:
        self.report.say("ledger", reason)
        self.attempts.wait(come_back)
        if self.scope:
            self.scope.cancel()

    async def run(self) -> None:
        """Follows ledgers for as long as it is left to run."""
        while True:
            host, port = self.attempts.address
            try:
                with anyio.CancelScope() as self.scope:
                    await self._follow(host, port)
            except* Exception as group:  # what ends a connection ends nothing else
                error = group.exceptions[0]
                while isinstance(error, BaseExceptionGroup):
                    error = error.exceptions[0]
                why = str(error) or type(error).__name__
                self.report.say("ledger", f"{host}:{port}: {why}; connecting anew")
            self.out = None
            await anyio.sleep(self.attempts.ended() / 1e6)

    async def _follow(self, host: str, port: int) -> None:
        stream = await connect((host, port))
        self.out = []
        async with stream, anyio.create_task_group() as tasks:
            tasks.start_soon(self._write, stream)
            self.feed(ConnectionOpened())
            heard = lines(stream)
            while True:
                with anyio.fail_after(self.silent):
                    line = await anext(heard, None)
                if line is None:
                    raise anyio.EndOfStream("the ledger has closed the connection")
                said = messages.decode_from_purge_log(line)
                if isinstance(said, messages.Heartbeat):
                    self.attempts.heard()
                self.feed(MessageReceived(said))

    async def _write(self, stream: anyio.abc.ByteStream) -> None:
        while True:
            while self.out:
                data, self.out = b"".join(self.out), []
                await stream.send(data)
            self.wake = anyio.Event()
            await self.wake.wait()
