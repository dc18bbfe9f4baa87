"""TCP connections without buffering, read, written and closed only by their owners.

The event loop's own streams are not used because they read ahead, buffer bytes to be written, and close their
descriptor themselves on an error. The state of their sockets then says little about the connection, and a
descriptor that is checked a moment later may already belong to another connection with the same number.
"""

import contextlib
import errno
import os
import socket
from collections.abc import Awaitable, Callable
from enum import IntEnum

import anyio

# Connections accepted at one wake-up. Accepting one at a time would fall behind in a busy process. With more,
# descriptors would run out, as connections that are closed to make room hold theirs until the next iteration
# of the event loop.
MAX_ACCEPTED_AT_ONCE = 8
ACCEPT_RETRY_DELAY = 0.05  # seconds after a failed accept
MAX_DRAINED = 1 << 18  # bytes read and dropped before a close; more than a receive buffer holds here
DRAIN_CHUNK = 1 << 14  # bytes per read


class Pending(IntEnum):
    """The unread input of a connection, in the order in which connections are closed to make room."""

    ENDED = 0  # no data, and the peer has closed the connection or it is lost
    QUIET = 1  # no data, and the connection is open
    UNREAD = 2  # data; the end of the connection may follow it


class Stream:
    """One TCP connection.

    Once the connection has ended, reads and writes raise the exceptions that
    ``attempt_failure.CONNECTION_ERRORS`` lists.

    :param raw: a connected socket, which the stream owns from now on.
    :raises OSError: if the connection has already ended.
    """

    def __init__(self, raw: socket.socket):
        self.raw = raw
        self._is_readable = False  # data has been seen since the last read, so ``receive`` need not wait
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def receive(self, max_bytes: int) -> bytes:
        """Waits for the next bytes.

        :returns: at least one byte, at most ``max_bytes``.
        :raises anyio.EndOfStream: if the peer has ended its side.
        """
        while True:
            if not self._is_readable:
                await self.wait_readable()
            self._is_readable = False
            try:
                data = self.raw.recv(max_bytes)
            except BlockingIOError:
                continue
            if not data:
                raise anyio.EndOfStream
            return data

    async def wait_readable(self) -> None:
        """Waits until data or the end of the peer's side has arrived; ``receive`` then reads it at once."""
        await self._wait(anyio.wait_readable)
        self._is_readable = True

    async def send(self, data: bytes) -> None:
        """Writes all of the data; returns once the kernel has accepted it."""
        unsent = memoryview(data)
        while unsent:
            try:
                sent = self.raw.send(unsent)
            except BlockingIOError:
                await self._wait(anyio.wait_writable)
            else:
                unsent = unsent[sent:]

    async def _wait(self, wait_ready: Callable[[socket.socket], Awaitable[None]]) -> None:
        """Waits until the socket is ready; raises ClosedResourceError if it was closed."""
        if self.raw.fileno() < 0:
            raise anyio.ClosedResourceError
        await wait_ready(self.raw)

    def pending(self) -> Pending:
        """Returns what a read would find now, without reading it.

        Uses MSG_PEEK, which works with any kernel; TCP_INFO is all zeros with some.
        """
        try:
            self._is_readable = bool(self.raw.recv(1, socket.MSG_PEEK))
            return Pending.UNREAD if self._is_readable else Pending.ENDED
        except BlockingIOError:
            return Pending.QUIET
        except OSError:  # reset by the peer, or closed by this process
            return Pending.ENDED

    def finish_sending(self) -> None:
        """Ends this side of the connection; data that was written before still arrives."""
        self._shutdown(socket.SHUT_WR)

    def shutdown(self) -> None:
        """Ends both sides at once; a task that waits for the connection is woken."""
        self._shutdown(socket.SHUT_RDWR)

    def _shutdown(self, how: int) -> None:
        with contextlib.suppress(OSError):  # the connection has already ended
            self.raw.shutdown(how)

    def drain(self) -> None:
        """Reads and drops data that has arrived, up to a limit.

        Guards against a reset: if a socket is closed with unread data, the kernel resets the connection, and
        the peer loses the last responses if it hasn't read them yet.
        """
        try:
            for _ in range(MAX_DRAINED // DRAIN_CHUNK):
                if not self.raw.recv(DRAIN_CHUNK):
                    return
        except OSError:
            return

    def close(self) -> None:
        """Closes the socket; its descriptor number may then be reused for another connection."""
        self.raw.close()


def accept_waiting(listening_socket: socket.socket) -> list[Stream]:
    """Accepts the connections that wait at a socket, up to ``MAX_ACCEPTED_AT_ONCE``, without waiting.

    :raises OSError: if the system has no descriptors or memory left, and none could be accepted.
    """
    streams: list[Stream] = []
    while len(streams) < MAX_ACCEPTED_AT_ONCE:
        try:
            accepted, _ = listening_socket.accept()
        except BlockingIOError:
            break
        except OSError:
            if streams:
                break
            raise
        try:
            streams.append(Stream(accepted))
        except OSError:  # the connection has already ended
            accepted.close()
    return streams


async def connect(address: tuple[str, int]) -> Stream:
    """Opens a connection.

    :param address: an IP address and a port.
    :raises OSError: if it could not be opened; ``errno`` says why.
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
    except BaseException:  # the descriptor is closed also if the task is cancelled
        raw.close()
        raise
