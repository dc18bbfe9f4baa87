"""TCP connections whose sockets this process alone reads, writes and closes.

Nothing lies between a ``Stream`` and the kernel. The event loop's own streams read ahead of whoever asks,
hold back bytes that were handed to them, and close their descriptor on an error by themselves. A look at
such a connection says little about it, and a look at its descriptor a moment later may be a look at
another connection that was given the same number.
"""

import contextlib
import errno
import os
import socket
from collections.abc import Awaitable, Callable
from enum import IntEnum

import anyio

MAX_DRAINED = 1 << 18  # bytes read and dropped at a close: more than a receive buffer holds here
DRAIN_CHUNK = 1 << 14  # bytes of them in a read


class Pending(IntEnum):
    """What has arrived on a connection and wasn't read, in the order in which connections are given up."""

    ENDED = 0  # the peer has closed it, or it is lost
    QUIET = 1  # nothing
    UNREAD = 2  # bytes; an end may be behind them


class Stream:
    """One TCP connection, as its socket.

    Reads and writes raise what ``attempt_failure.CONNECTION_ERRORS`` lists once the connection has ended.

    :param raw: a connected socket, which the stream owns from now on.
    :raises OSError: the connection has ended already.
    """

    def __init__(self, raw: socket.socket):
        self.raw = raw
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def receive(self, max_bytes: int) -> bytes:
        """Waits for the next bytes.

        :returns: at least one byte, at most ``max_bytes``.
        :raises anyio.EndOfStream: the peer has ended its side.
        """
        while True:
            await self._wait(anyio.wait_readable)
            try:
                data = self.raw.recv(max_bytes)
            except BlockingIOError:
                continue
            if not data:
                raise anyio.EndOfStream
            return data

    async def send(self, data: bytes) -> None:
        """Writes all of the data; returns once the kernel has it."""
        unsent = memoryview(data)
        while unsent:
            try:
                sent = self.raw.send(unsent)
            except BlockingIOError:
                await self._wait(anyio.wait_writable)
            else:
                unsent = unsent[sent:]

    async def _wait(self, wait_ready: Callable[[socket.socket], Awaitable[None]]) -> None:
        """Waits for the socket, which may have been closed by its owner."""
        if self.raw.fileno() < 0:
            raise anyio.ClosedResourceError
        await wait_ready(self.raw)

    def pending(self) -> Pending:
        """Tells what a read would find at this instant, without reading it.

        It peeks, which works under any kernel; TCP_INFO is all zeros under some.
        """
        try:
            return Pending.UNREAD if self.raw.recv(1, socket.MSG_PEEK) else Pending.ENDED
        except BlockingIOError:
            return Pending.QUIET
        except OSError:  # reset by the peer, or closed here
            return Pending.ENDED

    def finish_sending(self) -> None:
        """Ends this side of the connection; what was written before still arrives."""
        self._shutdown(socket.SHUT_WR)

    def shutdown(self) -> None:
        """Ends both sides at once; a task that waits for the connection is woken."""
        self._shutdown(socket.SHUT_RDWR)

    def _shutdown(self, how: int) -> None:
        with contextlib.suppress(OSError):  # it has ended already
            self.raw.shutdown(how)

    def drain(self) -> None:
        """Reads and drops what has arrived, to a bound.

        Guards against a reset: the kernel answers a close over unread bytes with one, and the peer then
        loses the last responses, which it may not have read yet.
        """
        try:
            for _ in range(MAX_DRAINED // DRAIN_CHUNK):
                if not self.raw.recv(DRAIN_CHUNK):
                    return
        except OSError:
            return

    def close(self) -> None:
        """Closes the socket; its descriptor may be another connection's from now on."""
        self.raw.close()


async def connect(address: tuple[str, int]) -> Stream:
    """Opens a connection.

    :param address: an IP address and a port.
    :raises OSError: it could not be opened; ``errno`` says why.
    """
    host, _ = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        error_code = raw.connect_ex(address)
        if error_code == errno.EINPROGRESS:
            await anyio.wait_writable(raw)
            error_code = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code:
            raise OSError(error_code, os.strerror(error_code))
        return Stream(raw)
    except BaseException:  # a cancelled attempt, too, may not leave its descriptor open
        raw.close()
        raise
