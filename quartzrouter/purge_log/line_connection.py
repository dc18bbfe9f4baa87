"""The line protocol's connections: opening one, reading lines, queued writing, and a server's accept guard.

Purge log and lease service both speak one JSON object a line; what is common to their servers and clients
is here. Nothing in this module knows what a line says.
"""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

from quartzrouter.purges.messages import MAX_LINE_BYTES, MalformedMessageError
from quartzrouter.server.attempt_failure import CONNECTION_LOST
from quartzrouter.server.rate_limited_log import RateLimitedLog

CONNECT_TIMEOUT = 1.0  # s
READ_BYTES = 1 << 16  # at once
CONNECTION_ENDED = (*CONNECTION_LOST, TimeoutError)  # what ends a connection without a fault of this process


async def read_lines(stream: anyio.abc.ByteStream) -> AsyncIterator[bytes]:
    """Yields each line without its end, until the stream ends.

    :raises MalformedMessageError: where a line is too long; so no sender makes this process hold more.
    """
    unfinished = bytearray()
    while True:
        try:
            unfinished += await stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return
        *finished, rest = unfinished.split(b"\n")
        for line in finished:
            yield bytes(line)
        unfinished = bytearray(rest)
        if len(unfinished) > MAX_LINE_BYTES:
            raise MalformedMessageError(f"a line of more than {MAX_LINE_BYTES} bytes")


async def connect(address: tuple[str, int]) -> anyio.abc.SocketStream:
    """Opens a connection.

    :raises OSError: where it is refused.
    :raises TimeoutError: where nothing answers.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT):
            return await anyio.connect_tcp(*address)
    except AttributeError:  # what the loop's stream raises where the other side has reset it already
        raise ConnectionResetError("gone at once") from None


def first_error(group: BaseExceptionGroup) -> BaseException:
    """Returns the first error inside nested groups, as a task group raises them."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def describe_error(error: BaseException) -> str:
    """Returns the text of an error, or its type where it has none."""
    return str(error) or type(error).__name__


class LineQueue:
    """Lines that wait to be written to the current connection.

    What is queued without a connection is dropped: a message counts only on the connection that it was
    written for.

    :param max_lines: kept where the other side takes nothing; the oldest are dropped first.
    """

    def __init__(self, max_lines: int | None = None):
        self.max_lines = max_lines
        self.lines: list[bytes] | None = None  # None: there is no connection
        self.changed = anyio.Event()

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection to write to."""
        return self.lines is not None

    def open(self) -> None:
        """Begins a connection."""
        self.lines = []

    def close(self) -> None:
        """Ends a connection and drops what was not written."""
        self.lines = None

    def put(self, line: bytes) -> bool:
        """Queues a line; returns False where there is no connection."""
        if self.lines is None:
            return False
        self.lines.append(line)
        if self.max_lines is not None:
            del self.lines[: -self.max_lines]
        self.changed.set()
        return True

    async def write_to(self, stream: anyio.abc.ByteStream) -> None:
        """Writes what is queued, until it is cancelled."""
        while True:
            while self.lines:
                data = b"".join(self.lines)
                self.lines = []
                await stream.send(data)
            self.changed = anyio.Event()
            await self.changed.wait()


class ConnectionGuard:
    """Around every connection of a server: bounds their number, and keeps an error at its own connection.

    :param max_connections: at once; one more is closed right away.
    :param ended_by: errors that end a connection silently.
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
        except* Exception as group:  # a fault of this process ends at its connection
            errors = (f"{type(error).__name__}: {error}" for error in group.exceptions)
            self.report.say("fault", "; ".join(errors))
        finally:
            self.count -= 1
