"""Connections of the line protocol: opening, reading lines, queued writing, and limits for a server.

The purge log and the lease service both exchange one JSON object per line. This module contains what their
servers and clients have in common; it doesn't parse the lines.
"""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

from quartzrouter.purges.messages import MAX_LINE_BYTES, MalformedMessageError
from quartzrouter.server.attempt_failure import CONNECTION_LOST
from quartzrouter.server.rate_limited_log import RateLimitedLog

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_READ_BYTES = 1 << 16  # per call of receive()
CONNECTION_ENDED = (*CONNECTION_LOST, TimeoutError)  # errors that are no fault of this process


async def read_lines(stream: anyio.abc.ByteStream) -> AsyncIterator[bytes]:
    """Yields each line without its newline, until the stream ends.

    :raises MalformedMessageError: if a line is too long; this bounds the memory that a sender can occupy.
    """
    unfinished = bytearray()
    while True:
        try:
            unfinished += await stream.receive(MAX_READ_BYTES)
        except anyio.EndOfStream:
            return
        *finished, rest = unfinished.split(b"\n")
        for line in finished:
            yield bytes(line)
        unfinished = bytearray(rest)
        if len(unfinished) > MAX_LINE_BYTES:
            raise MalformedMessageError(f"a line is longer than {MAX_LINE_BYTES} bytes")


async def connect(address: tuple[str, int]) -> anyio.abc.SocketStream:
    """Opens a connection.

    :raises OSError: if it is refused.
    :raises TimeoutError: if nothing answers.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            return await anyio.connect_tcp(*address)
    except AttributeError:  # raised by the loop's stream if the peer has reset it already
        raise ConnectionResetError("the peer reset the connection right after it was opened") from None


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
    """Limits the number of a server's connections, and confines an error to the connection it occurred on.

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

    async def serve(
        self,
        stream: anyio.abc.ByteStream,
        handle: Callable[[anyio.abc.ByteStream], Awaitable[None]],
    ) -> None:
        """Serves one connection and closes it."""
        if self.count >= self.max_connections:
            await anyio.aclose_forcefully(stream)
            return
        self.count += 1
        try:
            async with stream:
                await handle(stream)
        except* self.ended_by:
            pass
        except* Exception as group:  # a fault of this process ends only the connection
            errors = (f"{type(error).__name__}: {error}" for error in group.exceptions)
            self.report.say("fault", "; ".join(errors))
        finally:
            self.count -= 1
