"""Connections to caches, pooled by endpoint, and the limit on their number."""

import errno
from bisect import bisect_right, insort
from operator import attrgetter

import anyio

from quartzrouter.server.attempt_failure import AttemptFailure, AttemptStage, FailureCause
from quartzrouter.server.cache_connection import CacheConnection, LastExchange
from quartzrouter.server.cache_responses import CopyIdentity
from quartzrouter.server.errors import ServerError
from quartzrouter.server.stream import connect

# Seconds before a connection is used again. A response that its cache sends twice is detected in that time,
# and not taken for the response to the next request.
REUSE_DELAY = 0.005
# Seconds before a connection is used again after a response that names no copy. If such a response is sent
# twice, it can't be distinguished from the response to the next request.
REUSE_DELAY_AFTER_UNNAMED_COPY = 0.05
# Part of the configured idle timeout after which a pooled connection is closed, before its cache closes it.
IDLE_SHARE = 0.8
SWEEPS_PER_IDLE_TIME = 10

LOCAL_SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
RESET_ERRORS = (errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED)  # the cache listened, then dropped it

by_ready_at = attrgetter("ready_at")


class ConnectionUnavailableError(ServerError):
    """No connection to a cache is available; nothing was sent.

    :param cause: why there is none.
    :param detail: text for the log.
    """

    def __init__(self, cause: FailureCause, detail: str = ""):
        super().__init__(detail)
        self.cause = cause

    @property
    def failure(self) -> AttemptFailure:
        """The error as a failure of the attempt or health check that needed the connection."""
        return AttemptFailure(AttemptStage.CONNECTING, self.cause, str(self))


class ConnectionPool:
    """Opens connections to caches, keeps them for further requests, and closes them when they are idle.

    :param max_connections: the number that may be open at once, including those that are being opened.
    :param idle_timeout: seconds after which caches close an idle connection.
    :param connect_timeout: seconds after which opening a connection fails.
    """

    def __init__(self, max_connections: int, idle_timeout: float, connect_timeout: float):
        self.max_connections = max_connections
        self.idle_timeout = idle_timeout * IDLE_SHARE
        self.connect_timeout = connect_timeout
        self.idle: dict[str, list[CacheConnection]] = {}  # by endpoint, each list in order of ``ready_at``
        self.open = 0  # number of connections that are open or being opened

    async def acquire(self, endpoint: str, address: tuple[str, int]) -> CacheConnection:
        """Takes a connection from the pool, or opens one.

        :raises ConnectionUnavailableError: if the limit is reached, or the connection can't be opened.
        """
        pooled = self._take_idle(endpoint, address)
        if pooled is not None:
            return pooled
        if self.open >= self.max_connections and not self._close_longest_idle():
            raise ConnectionUnavailableError(FailureCause.OUT_OF_DESCRIPTORS)
        return await self._open(address)

    def _take_idle(self, endpoint: str, address: tuple[str, int]) -> CacheConnection | None:
        """Takes the most recently used connection that is ready; closes those that can't be used any more."""
        connections = self.idle.get(endpoint, [])
        while True:
            now = anyio.current_time()
            ready_count = bisect_right(connections, now, key=by_ready_at)
            if not ready_count:
                return None
            connection = connections.pop(ready_count - 1)
            is_fresh = now - connection.ready_at < self.idle_timeout
            if connection.address == address and is_fresh and connection.is_quiet():
                return connection
            self.discard(connection)

    async def _open(self, address: tuple[str, int]) -> CacheConnection:
        self.open += 1
        connection = None
        try:
            with anyio.fail_after(self.connect_timeout):
                stream = await connect(address)
            connection = CacheConnection(stream, address, anyio.current_time())
            return connection
        except TimeoutError:
            raise ConnectionUnavailableError(FailureCause.REFUSED, "connect timeout") from None
        except OSError as error:
            raise ConnectionUnavailableError(_connect_failure_cause(error), str(error)) from None
        finally:
            if connection is None:
                self.open -= 1

    def _close_longest_idle(self) -> bool:
        """Closes the pooled connection that has been idle for longest; returns False if there is none."""
        longest_idle = [
            (connections[0].ready_at, endpoint) for endpoint, connections in self.idle.items() if connections
        ]
        if not longest_idle:
            return False
        _, endpoint = min(longest_idle)
        self.discard(self.idle[endpoint].pop(0))
        return True

    def release(
        self, endpoint: str, connection: CacheConnection, target: str, copy: CopyIdentity | None
    ) -> None:
        """Keeps a connection for the next request, or closes it if it can't be used again.

        Guards against a response that is sent twice, and would be taken for the response to the next request.
        So the connection isn't used again for a while, and for longer if responses can't be distinguished.

        :param target: the target of the request that has been answered.
        :param copy: the copy that the response named.
        """
        if not connection.is_reusable:
            self.discard(connection)
            return
        now = anyio.current_time()
        reuse_delay = REUSE_DELAY_AFTER_UNNAMED_COPY if copy is None else REUSE_DELAY
        connection.start_next_exchange(LastExchange(target, now, copy), now + reuse_delay)
        insort(self.idle.setdefault(endpoint, []), connection, key=by_ready_at)

    def discard(self, connection: CacheConnection) -> None:
        """Closes a connection that isn't in the pool."""
        self.open -= 1
        connection.stream.close()

    def close_idle(self, endpoint: str) -> None:
        """Closes all pooled connections to an endpoint."""
        for connection in self.idle.pop(endpoint, []):
            self.discard(connection)

    async def sweep(self) -> None:
        """Closes connections before their caches do, because they are idle; runs until it is cancelled."""
        while True:
            await anyio.sleep(self.idle_timeout / SWEEPS_PER_IDLE_TIME)
            idle_since = anyio.current_time() - self.idle_timeout
            for endpoint, connections in list(self.idle.items()):
                while connections and connections[0].ready_at < idle_since:
                    self.discard(connections.pop(0))
                if not connections and self.idle.get(endpoint) is connections:
                    del self.idle[endpoint]


def _connect_failure_cause(error: OSError) -> FailureCause:
    if error.errno in RESET_ERRORS:
        return FailureCause.RESET
    if error.errno in LOCAL_SHORTAGE_ERRORS:
        return FailureCause.OUT_OF_DESCRIPTORS
    return FailureCause.REFUSED
