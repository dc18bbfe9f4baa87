"""Accepts clients' connections."""

import socket

import anyio

from quartzrouter.server.client_connections import ClientConnections
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.stream import ACCEPT_RETRY_DELAY, accept_waiting

BACKLOG = 1024  # connections that may wait to be accepted
# Bytes in the socket's own receive buffer. All of them are read at once, so the size limits the memory that a
# fast sender can fill.
SOCKET_RECEIVE_BUFFER = 1 << 15


class Listener:
    """The sockets that clients connect to.

    :param clients: admits and serves the accepted connections.
    :param log: receives lines about failures.
    """

    def __init__(self, clients: ClientConnections, log: RateLimitedLog):
        self._clients = clients
        self._log = log
        self.sockets: list[socket.socket] = []
        self._tasks: anyio.abc.TaskGroup
        self._scope: anyio.CancelScope  # cancels the tasks that accept connections; set by ``run``

    @property
    def is_open(self) -> bool:
        """Returns True while clients can connect."""
        return bool(self.sockets)

    async def open(self, host: str, port: int) -> None:
        """Starts to listen; connections wait until ``run`` accepts them.

        :raises OSError: if the address can't be bound.
        """
        listeners = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=BACKLOG)
        self.sockets = [
            listener.extra(anyio.abc.SocketAttribute.raw_socket) for listener in listeners.listeners
        ]
        for listening_socket in self.sockets:  # accepted sockets inherit the size
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_RECEIVE_BUFFER)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Accepts connections until ``stop``, then those that still wait, and closes the listening sockets.

        :param tasks: runs a task for each connection.
        """
        self._tasks = tasks
        with anyio.CancelScope() as self._scope:
            async with anyio.create_task_group() as accepting:
                for listening_socket in self.sockets:
                    accepting.start_soon(self._accept_forever, listening_socket)
        while self.accept_waiting():  # no task waits for these sockets any more
            pass
        while self.sockets:
            self.sockets.pop().close()

    def stop(self) -> None:
        """Stops accepting; ``is_open`` is False once the sockets are closed."""
        self._scope.cancel()

    def accept_waiting(self) -> bool:
        """Accepts waiting connections, up to a limit, without waiting for the event loop.

        It is used when the process ends.

        :returns: True if there were any.
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
                await anyio.sleep(ACCEPT_RETRY_DELAY)

    def _accept_from(self, listening_socket: socket.socket) -> bool:
        """Accepts the connections that wait at one socket, up to a limit.

        :returns: True if there were any.
        :raises OSError: if the system has no descriptors or memory left.
        """
        streams = accept_waiting(listening_socket)
        for stream in streams:
            if self._clients.admit():
                self._tasks.start_soon(self._clients.serve, stream)
            else:
                stream.drain()
                stream.close()
        return bool(streams)
