"""Accepting clients' connections."""

import socket

import anyio

from quartzrouter.server.client_connections import ClientConnections
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.stream import Stream

BACKLOG = 1024  # connections that wait to be accepted
# Bytes in a socket's own buffer, read whole at once: a fast sender may not fill the memory.
SOCKET_RECEIVE_BUFFER = 1 << 15
# Connections accepted at a wake-up. One at a time would fall behind in a busy process; more would be short
# of descriptors, as connections that make room hold theirs until the next iteration of the loop.
MAX_ACCEPTED_AT_ONCE = 8
RETRY_DELAY = 0.05  # s after an accept that failed


class Listener:
    """The sockets that clients connect to.

    :param clients: admits and serves what is accepted.
    :param log: is told of what fails.
    """

    def __init__(self, clients: ClientConnections, log: RateLimitedLog):
        self._clients = clients
        self._log = log
        self.sockets: list[socket.socket] = []
        self._tasks: anyio.abc.TaskGroup
        self._scope: anyio.CancelScope  # of the tasks that accept, once it runs

    @property
    def is_open(self) -> bool:
        """Whether clients may still connect."""
        return bool(self.sockets)

    async def open(self, host: str, port: int) -> None:
        """Listens; connections wait until ``run`` accepts them.

        :raises OSError: the address can't be bound.
        """
        listeners = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=BACKLOG)
        self.sockets = [
            listener.extra(anyio.abc.SocketAttribute.raw_socket) for listener in listeners.listeners
        ]
        for listening_socket in self.sockets:  # accepted sockets inherit it
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_RECEIVE_BUFFER)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Accepts connections until ``stop``, then what still waits, and closes the sockets.

        :param tasks: runs what serves each connection.
        """
        self._tasks = tasks
        with anyio.CancelScope() as self._scope:
            async with anyio.create_task_group() as accepting:
                for listening_socket in self.sockets:
                    accepting.start_soon(self._accept_forever, listening_socket)
        while self.accept_waiting():  # nobody waits for these descriptors any more
            pass
        while self.sockets:
            self.sockets.pop().close()

    def stop(self) -> None:
        """Ends accepting; ``is_open`` tells when the sockets are closed."""
        self._scope.cancel()

    def accept_waiting(self) -> bool:
        """Accepts what waits, to a bound; tells whether there was anything.

        It asks the kernel right now, for the end of the process.
        """
        try:
            return any([self._accept_from(listening_socket) for listening_socket in self.sockets])
        except OSError as error:
            self._log.say("client", f"accept failed: {error}")
            return False

    async def _accept_forever(self, listening_socket: socket.socket) -> None:
        while True:
            await anyio.wait_readable(listening_socket)
            try:
                self._accept_from(listening_socket)
            except OSError as error:
                self._log.say("client", f"accept failed: {error}")
                await anyio.sleep(RETRY_DELAY)

    def _accept_from(self, listening_socket: socket.socket) -> bool:
        """Accepts what waits at one socket, to a bound.

        :returns: whether there was anything.
        :raises OSError: the system has no descriptors or memory left.
        """
        for accepted_count in range(MAX_ACCEPTED_AT_ONCE):
            try:
                accepted, _ = listening_socket.accept()
            except BlockingIOError:
                return accepted_count > 0
            try:
                stream = Stream(accepted)
            except OSError as error:  # it has ended already, say
                self._log.say("client", f"connection ended: {error}")
                accepted.close()
                continue
            if self._clients.admit():
                self._tasks.start_soon(self._clients.serve, stream)
            else:
                stream.drain()
                stream.close()
        return True
