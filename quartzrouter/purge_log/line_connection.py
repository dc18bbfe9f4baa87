"""Connections of the line protocol: opening, reading lines, queued writing, and limits for a server.

The purge log and the lease service both exchange one JSON object per line. This module contains what their
servers and clients have in common; it doesn't parse the lines.
"""

import time
from collections import deque
from collections.abc import Awaitable, Callable

import anyio

from quartzrouter.purges.messages import MAX_LINE_BYTES, MalformedMessageError
from quartzrouter.server.attempt_failure import CONNECTION_ERRORS
from quartzrouter.server.byte_stream import ByteStream
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.stream import connect as open_stream
from quartzrouter.server.turns import Turn, TurnQueue

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_READ_BYTES = 1 << 15  # per call of receive()
CONNECTION_ENDED = (*CONNECTION_ERRORS, TimeoutError)  # errors that are no fault of this process
# Bytes that are held for all connections together of lines that take more than one read.
MAX_UNFINISHED_BYTES = 1 << 24
UNFINISHED_LINE_TIMEOUT = 5.0  # seconds from the first byte of a line to its last
RESERVE_RETRY_DELAY = 0.02  # seconds between attempts to reserve some of those bytes


class UnfinishedLines:
    """The memory that the unfinished lines of all connections of one server may take."""

    def __init__(self) -> None:
        self.free_bytes = MAX_UNFINISHED_BYTES


class LineReader:
    """Reads the lines of one connection, without their newlines; an asynchronous iterator.

    :param turns: the turns of all connections of the process; None if there are no others to delay.
    :param memory: that of the server's unfinished lines; None for a connection to a server.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        turns: TurnQueue | None = None,
        memory: UnfinishedLines | None = None,
    ):
        self._stream = stream
        self._turns = turns
        self._memory = memory
        self._unfinished = bytearray()
        self._unfinished_since = 0.0  # s of the monotonic clock
        self._reserved_bytes = 0  # of the server's memory
        self._lines: deque[bytes] = deque()
        self._turn = Turn()

    def __aiter__(self) -> "LineReader":
        """Returns the reader itself."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next line.

        :raises MalformedMessageError: if a line is too long; this bounds the memory that a sender can occupy.
        :raises TimeoutError: if the rest of a line takes too long.
        """
        if self._lines and self._turns and self._turn.is_over:
            self._turn = await self._turns.wait(self._turn.cost)
        while not self._lines:
            try:
                data = await self._receive()
            except anyio.EndOfStream:
                raise StopAsyncIteration from None
            self._turn = Turn()
            self._split(data)
        return self._lines.popleft()

    async def _receive(self) -> bytes:
        """Waits for data; at a server the rest of a line has to come in time, and fit into its memory.

        A connection for whose line there is no room is not read for a while, rather than closed: hostile
        clients would open another at once, which costs more.
        """
        if not (self._memory and self._unfinished):
            return await self._stream.receive(MAX_READ_BYTES)
        with anyio.fail_after(self._unfinished_since + UNFINISHED_LINE_TIMEOUT - time.monotonic()):
            while not self._reserve(len(self._unfinished) + MAX_READ_BYTES):
                await anyio.sleep(RESERVE_RETRY_DELAY)
            return await self._stream.receive(MAX_READ_BYTES)

    def _split(self, data: bytes) -> None:
        """Adds the lines that the data completes, and keeps the rest."""
        if not self._unfinished:
            self._unfinished_since = time.monotonic()
        self._unfinished += data
        *finished, rest = self._unfinished.split(b"\n")
        if finished:
            self._lines.extend(map(bytes, finished))
            self._unfinished = rest
            self._unfinished_since = time.monotonic()
            self._reserve(0)
        if len(self._unfinished) > MAX_LINE_BYTES:
            raise MalformedMessageError(f"a line is longer than {MAX_LINE_BYTES} bytes")

    def _reserve(self, count: int) -> bool:
        """Changes how much memory this connection takes; returns False if there is not enough."""
        if self._memory is None:
            return True
        missing = count - self._reserved_bytes
        if missing > self._memory.free_bytes:
            return False
        self._memory.free_bytes -= missing
        self._reserved_bytes = count
        return True

    def close(self) -> None:
        """Gives up the unfinished line, which then counts no more."""
        self._unfinished.clear()
        self._reserve(0)


def read_lines(stream: anyio.abc.ByteStream, turns: TurnQueue | None = None) -> LineReader:
    """Returns a reader of the lines that a server sends on a connection.

    :param turns: the turns of all connections of the process; None if there are no others to delay.
    """
    return LineReader(stream, turns)


async def connect(address: tuple[str, int]) -> anyio.abc.ByteStream:
    """Opens a connection.

    :param address: an IP address and a port.
    :raises OSError: if it is refused.
    :raises TimeoutError: if nothing answers.
    """
    with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
        return ByteStream(await open_stream(address))


def first_error(group: BaseExceptionGroup) -> BaseException:
    """Returns the first error inside nested exception groups, as a task group raises them."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def describe_error(error: BaseException) -> str:
    """Returns the text of an error, or the name of its type if it has no text."""
    return str(error) or type(error).__name__


class LineQueue:
    """Lines that wait to be written to the current connection.

    A line that is queued without a connection is dropped: a message is valid only on the connection that it
    was written for.

    :param max_lines: the number of lines kept while the peer accepts no data; the oldest are dropped first.
    """

    def __init__(self, max_lines: int | None = None):
        self.max_lines = max_lines
        self.lines: list[bytes] | None = None  # None while there is no connection
        self.changed = anyio.Event()

    @property
    def is_connected(self) -> bool:
        """Returns True if there is a connection to write to."""
        return self.lines is not None

    def open(self) -> None:
        """Starts queueing for a new connection."""
        self.lines = []

    def close(self) -> None:
        """Stops queueing and drops the lines that were not written."""
        self.lines = None

    def put(self, line: bytes) -> bool:
        """Queues a line; returns False if there is no connection."""
        if self.lines is None:
            return False
        self.lines.append(line)
        if self.max_lines is not None:
            del self.lines[: -self.max_lines]
        self.changed.set()
        return True

    async def write_to(self, stream: anyio.abc.ByteStream) -> None:
        """Writes queued lines until it is cancelled."""
        while True:
            while self.lines:
                data = b"".join(self.lines)
                self.lines = []
                await stream.send(data)
            self.changed = anyio.Event()
            await self.changed.wait()


class ConnectionGuard:
    """Limits what a server's connections take, and confines an error to the connection it occurred on.

    :param max_connections: the number of connections at a time; any further one is closed immediately.
    :param ended_by: the errors that end a connection without a log line.
    """

    def __init__(
        self,
        max_connections: int,
        report: RateLimitedLog,
        ended_by: tuple[type[Exception], ...] = CONNECTION_ENDED,
    ):
        self.max_connections = max_connections
        self.report = report
        self.ended_by = ended_by
        self.count = 0
        self._turns = TurnQueue()
        self._memory = UnfinishedLines()

    async def serve(
        self,
        stream: anyio.abc.ByteStream,
        handle: Callable[[anyio.abc.ByteStream, LineReader], Awaitable[None]],
    ) -> None:
        """Serves one connection and closes it.

        :param handle: handles the lines of the connection until they end.
        """
        if self.count >= self.max_connections:
            await anyio.aclose_forcefully(stream)
            return
        self.count += 1
        lines = LineReader(stream, self._turns, self._memory)
        try:
            async with stream:
                await handle(stream, lines)
        except* self.ended_by:
            pass
        except* Exception as group:  # a fault of this process ends only the connection
            errors = (f"{type(error).__name__}: {error}" for error in group.exceptions)
            self.report.say("fault", "; ".join(errors))
        finally:
            lines.close()
            self.count -= 1
