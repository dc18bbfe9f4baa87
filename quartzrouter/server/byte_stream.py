"""A TCP connection as an anyio byte stream that reads no more than its owner asks for.

The streams of anyio's asyncio backend go on reading while their owner is busy: reading is paused only in a
``receive`` that has to wait, so the data of a sender that never pauses accumulates without a limit.
"""

from collections.abc import Awaitable, Callable

import anyio

from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.stream import ACCEPT_RETRY_DELAY, Stream, accept_waiting

MAX_READ_BYTES = 1 << 16  # per call of receive() without an argument


class ByteStream(anyio.abc.ByteStream):
    """A connection whose unread data stays in the kernel, which then slows down its sender.

    :param stream: the connection, which this object owns from now on.
    """

    def __init__(self, stream: Stream):
        self._stream = stream

    async def receive(self, max_bytes: int = MAX_READ_BYTES) -> bytes:
        """Waits for the next bytes.

        :raises anyio.EndOfStream: if the peer has ended its side.
        :raises OSError: if the connection is lost.
        """
        return await self._stream.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        """Sends all bytes; lets other tasks run also if the kernel accepts them at once.

        :raises OSError: if the connection is lost.
        """
        await self._stream.send(item)
        await anyio.lowlevel.checkpoint()

    async def send_eof(self) -> None:
        """Ends this side of the connection."""
        self._stream.finish_sending()

    async def aclose(self) -> None:
        """Closes the connection; what was sent before still arrives."""
        if self._stream.raw.fileno() < 0:
            return
        self._stream.finish_sending()
        self._stream.drain()
        anyio.notify_closing(self._stream.raw)
        self._stream.close()


async def serve_listener(
    listener: anyio.abc.Listener,
    handle: Callable[[anyio.abc.ByteStream], Awaitable[None]],
    report: RateLimitedLog,
) -> None:
    """Accepts connections until it is cancelled, and handles each in a task of its own.

    :param listener: a TCP listener of anyio, whose own accept is not used.
    :param report: receives lines about failures, for example if no descriptor is free.
    """
    raw = listener.extra(anyio.abc.SocketAttribute.raw_socket)
    async with anyio.create_task_group() as tasks:
        while True:
            await anyio.wait_readable(raw)
            try:
                for stream in accept_waiting(raw):
                    tasks.start_soon(handle, ByteStream(stream))
            except OSError as error:
                report.say("connection", f"accept failed: {error}")
                await anyio.sleep(ACCEPT_RETRY_DELAY)
