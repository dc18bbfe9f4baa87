"""All clients' connections: admits, serves and closes them within the limits that they share."""

import contextlib
from collections.abc import Callable

import anyio

from quartzrouter.server.attempt_failure import CONNECTION_ERRORS
from quartzrouter.server.client_connection import ClientConnection
from quartzrouter.server.events import Event
from quartzrouter.server.fastcgi import ProtocolError
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.request_reader import ParamsParser
from quartzrouter.server.stream import Pending, Stream
from quartzrouter.server.turns import TurnQueue

SWEEP_INTERVAL = 0.25  # s between checks for overdue requests and connections
SEND_TIMEOUT = 10.0  # s; a client to which a write has been blocked for so long counts as gone
# Seconds from the start of a connection to its first complete request, and from the first record of a request
# to its last. Front servers send a request without pauses.
REQUEST_TIMEOUT = 2.0
IDLE_TIMEOUT = 6.0  # s without data or an open request; front servers close idle connections after 4 s
# Seconds for which data that arrives after the end of sending is read and dropped. Otherwise the close would
# reset the connection, and the client could lose its last responses.
LINGER_TIME = 0.5
# The number of idle connections that are checked for one that its client has closed; a check takes 25 us.
MAX_IDLE_PEEKS = 2
# Seconds in which the first request of a new connection may still arrive. Later, a connection without a
# request is among the first to be closed.
FIRST_REQUEST_GRACE = 0.25


class ClientConnections:
    """Serves clients' connections, within limits on their number and on the bytes of their requests.

    :param on_event: takes events.
    :param max_connections: the number of connections that may be open at once.
    :param request_memory: bytes that requests of all clients may hold.
    :param parse_params: parses the parameters of a request.
    :param log: receives lines about invalid requests and lost connections.
    :param retry_after: microseconds after which a client may retry that was rejected for lack of memory; 0
        names no time.
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
        self.turns = TurnQueue()
        self.reads = 0  # reads that brought data
        self.admitted = 0  # connections that were admitted and are not yet in ``open``
        self._last_request_id = 0

    @property
    def all_read(self) -> bool:
        """Returns True if no connection has unread data."""
        return not any(client.stream.pending() is Pending.UNREAD for client in self.open)

    def issue_request_id(self, client: ClientConnection) -> int:
        """Returns the id of a new request of this client; ids count from 1."""
        self._last_request_id += 1
        self.by_request_id[self._last_request_id] = client
        return self._last_request_id

    def close_when_answered(self) -> None:
        """Closes each connection once its requests have their responses."""
        for client in self.open:
            client.close_when_answered()

    def admit(self) -> bool:
        """Returns True if one more connection may be served; closes an idle one for it if necessary."""
        if len(self.open) + self.admitted >= self.max_connections and not self._close_one_idle():
            self.log.say("client", "connection limit reached: a new connection is closed")
            return False
        self.admitted += 1
        return True

    async def serve(self, stream: Stream) -> None:
        """Serves one admitted connection to its end; failures are logged and not raised."""
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
        """Writes responses; afterwards lingers, so that no unread data makes the close a reset."""
        with contextlib.suppress(*CONNECTION_ERRORS):
            await client.writer.run()
            client.responses_ended = True
            client.stream.finish_sending()
            await anyio.sleep(LINGER_TIME)
        tasks.cancel_scope.cancel()

    def _close_one_idle(self) -> bool:
        """Closes one idle connection that has no unread data, or one that only its client's flood keeps open.

        Prefers a connection that its client has closed, then one that has never sent a request, then the one
        that has been inactive for longest. Guards against a lost request: a busy process hasn't read all data
        that has arrived, so each connection is checked right before it is closed.

        :returns: True if one was closed.
        """
        for client in self.open:
            if client.is_flooding_after_end:
                client.close_now()
                return True
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
        """Repeatedly rejects overdue requests and closes overdue connections; runs until it is cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL)
            now = anyio.current_time()
            for client in list(self.open):
                self._reject_overdue(client, now)
                self._close_overdue(client, now)

    def _reject_overdue(self, client: ClientConnection, now: float) -> None:
        """Rejects requests that are not handed on within ``REQUEST_TIMEOUT``."""
        overdue = [
            fastcgi_id
            for fastcgi_id, incoming in client.incoming.items()
            if now - incoming.started_at > REQUEST_TIMEOUT
        ]
        for fastcgi_id in overdue:
            client.reject_overdue(fastcgi_id)

    def _close_overdue(self, client: ClientConnection, now: float) -> None:
        """Closes a connection that has exceeded one of its timeouts."""
        if len(client.writer.buffer) and now - client.writer.sending_since > SEND_TIMEOUT:
            self.log.say("client", f"connection closed: writing was blocked for {SEND_TIMEOUT:.0f} s")
            client.scope.cancel()
        elif client.has_begun_request:
            if now - client.last_active_at > IDLE_TIMEOUT:
                client.close_if_idle()
        elif now - client.opened_at > REQUEST_TIMEOUT and client.close_if_idle():
            self.log.say("client", f"connection closed: no request within {REQUEST_TIMEOUT:.0f} s")
