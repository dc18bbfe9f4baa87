"""Connections to caches, pooled by endpoint, and the bound on their number."""

import errno
from bisect import bisect_right, insort
from operator import attrgetter

import anyio

from quartzrouter.server.attempt_failure import AttemptFailure, AttemptStage, FailureCause
from quartzrouter.server.cache_connection import CacheConnection, LastExchange
from quartzrouter.server.cache_responses import CopyIdentity
from quartzrouter.server.errors import ServerError
from quartzrouter.server.stream import connect

# s for which a connection waits before it is used again, so that a stray second response is noticed in the
# meantime and not taken for the next request's.
REUSE_DELAY = 0.005
# The same, after a response that names no copy: a second one could not be told from the next request's.
REUSE_DELAY_AFTER_UNNAMED_COPY = 0.05
IDLE_SHARE = 0.8  # of the configured idle time: then we close a pooled connection, before its cache does
SWEEPS_PER_IDLE_TIME = 10

LOCAL_SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
RESET_ERRORS = (errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED)  # somebody had listened

by_ready_at = attrgetter("ready_at")


class ConnectionUnavailableError(ServerError):
    """No connection to a cache could be had; nothing was sent.

    :param cause: why.
    """

    def __init__(self, cause: FailureCause, detail: str = ""):
        super().__init__(detail)
        self.cause = cause

    @property
    def failure(self) -> AttemptFailure:
        """The same, as a failure of whatever needed the connection."""
        return AttemptFailure(AttemptStage.CONNECTING, self.cause, str(self))


class ConnectionPool:
    """Connections to caches: opened, kept for the next request, closed when idle.

    :param max_connections: that may be open at once, with those that are coming up.
    :param idle_timeout: s after which caches close an idle connection.
    :param connect_timeout: s.
    """

    def __init__(self, max_connections: int, idle_timeout: float, connect_timeout: float):
        self.max_connections = max_connections
        self.idle_timeout = idle_timeout * IDLE_SHARE
        self.connect_timeout = connect_timeout
        self.idle: dict[str, list[CacheConnection]] = {}  # by endpoint, by the time they are ready
        self.open = 0  # connections, and those that are coming up

    async def acquire(self, endpoint: str, address: tuple[str, int]) -> CacheConnection:
        """Takes a pooled connection, or opens one.

        :raises ConnectionUnavailableError: none could be had.
        """
        pooled = self._take_idle(endpoint, address)
        if pooled is not None:
            return pooled
        if self.open >= self.max_connections and not self._close_longest_idle():
            raise ConnectionUnavailableError(FailureCause.OUT_OF_DESCRIPTORS)
        return await self._open(address)

    def _take_idle(self, endpoint: str, address: tuple[str, int]) -> CacheConnection | None:
        """Takes the last used connection that is ready; closes those that can't be used any more."""
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
            raise ConnectionUnavailableError(FailureCause.REFUSED, "no connection in time") from None
        except OSError as error:
            raise ConnectionUnavailableError(_connect_failure_cause(error), str(error)) from None
        finally:
            if connection is None:
                self.open -= 1

    def _close_longest_idle(self) -> bool:
        """Closes the pooled connection that has been idle for longest; False where there is none."""
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
        """Keeps a connection for the next request, or closes it where it can't be used again.

        Guards against a second response: it would be taken for the next request's. So the connection
        waits before it is used again, for longer where nothing tells the responses apart.

        :param target: of the request whose response has come.
        :param copy: what that response named.
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
        """Closes what has been idle for nearly as long as caches keep it; runs for ever."""
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
