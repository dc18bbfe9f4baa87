"""All clients' connections: which are admitted, served, and given up; the limits that they share."""

import contextlib
from collections.abc import Callable

import anyio

from quartzrouter.server.attempt_failure import CONNECTION_ERRORS
from quartzrouter.server.client_connection import ClientConnection
from quartzrouter.server.events import Event
from quartzrouter.server.fastcgi import ProtocolError
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.request_reader import InvalidRequestError, ParamsParser
from quartzrouter.server.stream import Pending, Stream

SWEEP_INTERVAL = 0.25  # s between looks for connections whose time is over
SEND_TIMEOUT = 10.0  # s in which a client takes no byte of its responses: then it counts as gone
# s from a connection's start to its first complete request, and for each request: no front server waits.
REQUEST_TIMEOUT = 2.0
IDLE_TIMEOUT = 6.0  # s without a byte or an open request: front servers close after 4 s themselves
# s in which what crosses the end of a connection is read and dropped, so that the last responses arrive.
LINGER_TIME = 0.5
# Idle connections among which one that its client has closed is looked for: 25 us each.
MAX_IDLE_PEEKS = 2
# s in which a new connection's first request may still be on its way; then it is given up first.
FIRST_REQUEST_GRACE = 0.25


class ClientConnections:
    """Serves clients' connections, to a bound on their number and on the bytes of their requests.

    :param on_event: takes events.
    :param max_connections: that may be open at once.
    :param request_memory: bytes that requests of all clients may hold.
    :param parse_params: makes a request of a client's parameters.
    :param log: is told of clients that misbehave.
    :param retry_after: us, named to a client whose request finds no memory; 0: no time is named.
    """

    def __init__(
        self,
        on_event: Callable[[Event], None],
        max_connections: int,
        request_memory: int,
        parse_params: ParamsParser,
        log: RateLimitedLog,
        retry_after: int = 0,
    ):
        self.on_event = on_event
        self.max_connections = max_connections
        self.free_request_memory = request_memory
        self.parse_params = parse_params
        self.log = log
        self.retry_after = retry_after
        self.by_request_id: dict[int, ClientConnection] = {}  # of requests whose response is awaited
        self.open: set[ClientConnection] = set()
        self.admitted = 0  # connections that were admitted, and aren't served yet
        self._last_request_id = 0

    @property
    def all_read(self) -> bool:
        """Whether nothing has arrived that this process hasn't read."""
        return not any(client.stream.pending() is Pending.UNREAD for client in self.open)

    def issue_request_id(self, client: ClientConnection) -> int:
        """Numbers a request of this client, from 1."""
        self._last_request_id += 1
        self.by_request_id[self._last_request_id] = client
        return self._last_request_id

    def close_when_answered(self) -> None:
        """Closes all connections, each once its requests have their responses."""
        for client in self.open:
            client.close_when_answered()

    def admit(self) -> bool:
        """Tells whether one more connection may be served; an idle one makes room for it."""
        if len(self.open) + self.admitted >= self.max_connections and not self._close_one_idle():
            self.log.say("client", "connection limit reached: a new connection is closed")
            return False
        self.admitted += 1
        return True

    async def serve(self, stream: Stream) -> None:
        """Serves one connection that was admitted, to its end; raises nothing."""
        self.admitted -= 1
        client = ClientConnection(self, stream)
        self.open.add(client)
        try:
            with client.scope:
                await self._read_and_write(client)
        except Exception as error:
            self.log.say("client", f"connection ended: {type(error).__name__}: {error}")
        finally:
            self.open.discard(client)
            client.abandon_requests()
            stream.drain()
            stream.close()

    async def _read_and_write(self, client: ClientConnection) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write, client, tasks)
            try:
                await client.read()
            except CONNECTION_ERRORS:
                pass
            except ProtocolError as error:
                self.log.say("client", f"connection ended: {error}")
            tasks.cancel_scope.cancel()

    async def _write(self, client: ClientConnection, tasks: anyio.abc.TaskGroup) -> None:
        """Writes responses; at their end lingers, so that a close over unread bytes resets nothing."""
        with contextlib.suppress(*CONNECTION_ERRORS):
            await client.writer.run()
            client.responses_ended = True
            client.stream.finish_sending()
            await anyio.sleep(LINGER_TIME)
        tasks.cancel_scope.cancel()

    def _close_one_idle(self) -> bool:
        """Closes an idle connection on which nothing waits to be read.

        First one that its client has closed, then one that was silent from the start, then the one that
        was silent longest. Guards against a lost request: a busy process hasn't read all that has
        arrived, so each is looked at right before.

        :returns: whether one was closed.
        """
        grace_start = anyio.current_time() - FIRST_REQUEST_GRACE

        def closing_order(client: ClientConnection) -> tuple[bool, float]:
            may_bring_request = client.has_begun_request or client.opened_at > grace_start
            return may_bring_request, client.last_active_at

        idle = [client for client in self.open if client.is_idle]
        idle.sort(key=closing_order)
        first_quiet = None
        for peeks, client in enumerate(idle):
            if peeks >= MAX_IDLE_PEEKS and first_quiet:
                break
            pending = client.stream.pending()
            if pending is Pending.ENDED:
                return client.close_if_idle()
            if first_quiet is None and pending is Pending.QUIET:
                first_quiet = client
        return first_quiet is not None and first_quiet.close_if_idle()

    async def sweep(self) -> None:
        """Gives up clients that bring nothing complete, ask nothing more, or take no response."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL)
            now = anyio.current_time()
            for client in list(self.open):
                self._reject_overdue(client, now)
                self._close_overdue(client, now)

    def _reject_overdue(self, client: ClientConnection, now: float) -> None:
        """Rejects requests of which records have been coming for too long."""
        overdue = [
            fastcgi_id
            for fastcgi_id, incoming in client.incoming.items()
            if now - incoming.started_at > REQUEST_TIMEOUT
        ]
        for fastcgi_id in overdue:
            client.reject_invalid(fastcgi_id, InvalidRequestError("still not whole", 408))

    def _close_overdue(self, client: ClientConnection, now: float) -> None:
        """Closes a connection whose time is over."""
        if len(client.writer.buffer) and now - client.writer.sending_since > SEND_TIMEOUT:
            self.log.say("client", f"connection closed: its client took no byte for {SEND_TIMEOUT:.0f} s")
            client.scope.cancel()
        elif client.has_begun_request:
            if now - client.last_active_at > IDLE_TIMEOUT:
                client.close_if_idle()
        elif now - client.opened_at > REQUEST_TIMEOUT and client.close_if_idle():
            self.log.say("client", f"connection closed: no request within {REQUEST_TIMEOUT:.0f} s")
