"""A member's connection to the purge log: turns lines into events, and queues messages to be sent."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio

from quartzrouter.purge_log.line_connection import (
    LineQueue,
    connect,
    describe_error,
    first_error,
    read_lines,
)
from quartzrouter.purges import messages
from quartzrouter.purges.reconnect_backoff import ReconnectBackoff
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.turns import TurnQueue

MICROSECONDS_PER_SECOND = 1e6


class ConnectionOpened(NamedTuple):
    """Event: a connection to a purge log is open."""


class MessageReceived(NamedTuple):
    """Event: the purge log has sent a message."""

    message: messages.FromPurgeLog


class QueueMessage(NamedTuple):
    """Effect: send a message to the purge log."""

    message: messages.ToPurgeLog


class CloseConnection(NamedTuple):
    """Effect: close the connection and reconnect.

    :param reconnect_after: the microseconds to wait, at least, before the next connection.
    """

    reason: str
    reconnect_after: int


class MemberClient:
    """Keeps a connection to one of several purge logs, without any protocol decisions of its own.

    :param addresses: the addresses of the purge logs; they are tried in turn.
    :param silence_timeout: microseconds without a message after which a connection counts as broken.
    :param on_event: called with each event.
    """

    def __init__(
        self,
        addresses: Sequence[tuple[str, int]],
        silence_timeout: int,
        on_event: Callable[[ConnectionOpened | MessageReceived], None],
        report: RateLimitedLog,
    ):
        self.backoff = ReconnectBackoff(addresses, report.name)
        self.silence_timeout = silence_timeout
        self.on_event = on_event
        self.report = report
        self.outgoing = LineQueue()
        self._turns = TurnQueue()
        self.scope: anyio.CancelScope | None = None  # contains the current connection

    @property
    def is_connected(self) -> bool:
        """Returns True if there is a connection."""
        return self.outgoing.is_connected

    def send(self, message: messages.ToPurgeLog) -> None:
        """Queues a message for the current connection; drops it if there is none."""
        self.outgoing.put(messages.encode_line(message))

    def reconnect(self, reason: str, reconnect_after: int) -> None:
        """Closes the current connection.

        :param reconnect_after: the microseconds to wait, at least, before the next connection.
        """
        self.report.say("ledger", reason)
        self.backoff.wait_at_least(reconnect_after)
        if self.scope:
            self.scope.cancel()

    async def run(self) -> None:
        """Connects, and reconnects whenever a connection ends, until it is cancelled."""
        while True:
            host, port = self.backoff.address
            try:
                with anyio.CancelScope() as self.scope:
                    await self._run_connection(host, port)
            except* Exception as group:  # an error of a connection ends only that connection
                failure = describe_error(first_error(group))
                self.report.say("ledger", f"{host}:{port}: {failure}; reconnecting")
            self.outgoing.close()
            await anyio.sleep(self.backoff.next_delay() / MICROSECONDS_PER_SECOND)

    async def _run_connection(self, host: str, port: int) -> None:
        stream = await connect((host, port))
        self.outgoing.open()
        async with stream, anyio.create_task_group() as tasks:
            tasks.start_soon(self.outgoing.write_to, stream)
            self.on_event(ConnectionOpened())
            lines = read_lines(stream, self._turns)
            while True:
                with anyio.fail_after(self.silence_timeout / MICROSECONDS_PER_SECOND):
                    line = await anext(lines, None)
                if line is None:
                    raise anyio.EndOfStream("the ledger has closed the connection")
                message = messages.decode_from_purge_log(line)
                if isinstance(message, messages.Heartbeat):
                    self.backoff.record_success()
                self.on_event(MessageReceived(message))
