"""Connections whose sockets this process alone reads, writes and closes: nothing lies between it and the
kernel.

A stream of the loop's reads ahead of whoever asks, keeps bytes back that were handed to it, and closes its
descriptor on an error by itself: a look at such a connection says little of it, and what looks at the
descriptor a moment later may look at another connection's.
"""

import contextlib
import errno
import os
import socket
from collections.abc import Awaitable, Callable
from enum import IntEnum

import anyio

DRAINED_MOST = 1 << 18  # bytes read and dropped at a close: more than a receive buffer holds here
PIECE = 1 << 14  # bytes of them in a read


class Pending(IntEnum):
    """What has come of a connection and wasn't read, in the order in which connections are given up."""

    ENDED = 0  # the other side has closed it, or it is lost
    QUIET = 1
    UNREAD = 2  # bytes; an end may be behind them


class Stream:
    """One connection; errors are those of progress.LOST."""

    def __init__(self, raw: socket.socket):
        self.raw = raw
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def receive(self, most: int) -> bytes:
        """The next bytes, some at least; raises anyio.EndOfStream at the other side's end."""
        while True:
            await self._until(anyio.wait_readable)
            try:
                data = self.raw.recv(most)
            except BlockingIOError:
                continue
            if not data:
                raise anyio.EndOfStream
            return data

    async def send(self, data: bytes) -> None:
        """Returns once the kernel has all of it."""
        left = memoryview(data)
        while left:
            try:
                left = left[self.raw.send(left) :]
            except BlockingIOError:
                await self._until(anyio.wait_writable)

    async def _until(self, ready: Callable[[socket.socket], Awaitable[None]]) -> None:
        if self.raw.fileno() < 0:
            raise anyio.ClosedResourceError
        await ready(self.raw)

    def pending(self) -> Pending:
        """What a read would find, without reading it; of any kernel, at this instant."""
        try:
            return Pending.UNREAD if self.raw.recv(1, socket.MSG_PEEK) else Pending.ENDED
        except BlockingIOError:
            return Pending.QUIET
        except OSError:  # reset, or closed here
            return Pending.ENDED

    def finish(self) -> None:
        """Says that nothing more will be written; what was written still arrives."""
        self._shutdown(socket.SHUT_WR)

    def shut(self) -> None:
        """Ends it both ways; whoever waits for it is woken."""
        self._shutdown(socket.SHUT_RDWR)

    def _shutdown(self, how: int) -> None:
        with contextlib.suppress(OSError):  # it has ended already
            self.raw.shutdown(how)

    def drain(self) -> None:
        """Reads and drops what has come: a close over unread bytes would take the last answers with it."""
        try:
            for _ in range(DRAINED_MOST // PIECE):
                if not self.raw.recv(PIECE):
                    return
        except OSError:
            return

    def close(self) -> None:
        self.raw.close()


async def connect(address: tuple[str, int]) -> Stream:
    """A connection to an IP address and port; raises OSError, of which errno says why."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        code = raw.connect_ex(address)
        if code == errno.EINPROGRESS:
            await anyio.wait_writable(raw)
            code = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        return Stream(raw)
    except BaseException:
        raw.close()
        raise
