"""Attempts and health checks: requests to caches, from connecting to the end of the response."""

from collections.abc import Callable
from functools import partial
from typing import Protocol

import anyio
import h11

from quartzrouter.routing.model import AttemptStatus
from quartzrouter.server import cache_responses
from quartzrouter.server.attempt_failure import CONNECTION_ERRORS, AttemptFailure, AttemptStage, FailureCause
from quartzrouter.server.byte_budget import ByteBudget
from quartzrouter.server.cache_connection import CacheConnection
from quartzrouter.server.cache_responses import (
    MAX_BODY_SIZE,
    CopyIdentity,
    CopyReader,
    MalformedResponseError,
)
from quartzrouter.server.connection_pool import ConnectionPool, ConnectionUnavailableError
from quartzrouter.server.effects import OpenConnection, SendRequest, StartHealthCheck
from quartzrouter.server.events import AttemptEnded, ConnectionReady, Event, HealthCheckDone

MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one; with more, the response is malformed
HEALTH_CHECK_TARGET = "/alive"


class AttemptOwner(Protocol):
    """The client's side of an attempt: it supplies the request and takes the response."""

    async def read_pending(self) -> None:
        """Returns once everything that the client has sent so far is read.

        :raises ConnectionUnavailableError: if that takes too long.
        """

    async def request_to_send(self) -> SendRequest:
        """Waits for the request, which is decided once the connection is ready."""

    def call_when_sent(self, callback: Callable[[], None]) -> None:
        """Calls the callback once no part of the response to the client is queued any more."""


class CacheConnections:
    """Makes attempts and health checks on pooled connections.

    :param on_event: takes events.
    :param pool: the connections to caches.
    :param response_memory: bytes that responses may hold until they are sent to their clients; raised if
        needed, so that at least one response always fits.
    :param read_copy: reads header fields beyond those of the platform's protocol, see ``parse_head``.
    :param with_load_report: True if caches report their load in responses.
    """

    def __init__(
        self,
        on_event: Callable[[Event], None],
        pool: ConnectionPool,
        response_memory: int,
        read_copy: CopyReader | None = None,
        with_load_report: bool = False,
    ):
        self.on_event = on_event
        self.pool = pool
        self.response_memory = ByteBudget(max(response_memory, MAX_BODY_SIZE))
        self.read_copy = read_copy
        self.with_load_report = with_load_report
        self.in_use: dict[tuple[int, int], CacheConnection] = {}  # by request_id and attempt number

    async def run_attempt(self, order: OpenConnection, owner: AttemptOwner) -> None:
        """Makes one attempt; feeds ConnectionReady, ResponseHead and, last, AttemptEnded."""
        await Attempt(self, order, owner).run()

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Ends an attempt's connection now, before its task does: the next attempt may start at once."""
        if connection := self.in_use.get((request_id, attempt_number)):
            connection.stream.shutdown()

    async def check_health(self, order: StartHealthCheck) -> None:
        """Makes one health check; always feeds HealthCheckDone, also if the check fails."""
        endpoint, address, timeout = order
        status = AttemptStatus.ERROR
        connection = None
        try:
            with anyio.move_on_after(timeout / 1e6) as scope:
                connection = await self.pool.acquire(endpoint, address)
                status = await self._exchange_health_check(connection)
                healthy_connection = connection
                connection = None
                self.pool.release(endpoint, healthy_connection, HEALTH_CHECK_TARGET, None)
            if scope.cancelled_caught:
                status = AttemptStatus.TIMED_OUT
        except ConnectionUnavailableError as error:
            status = error.failure.attempt_status()
        except CONNECTION_ERRORS:
            status = AttemptStatus.CONNECTION_LOST
        except Exception:
            status = AttemptStatus.ERROR
        finally:
            if connection is not None:
                self.pool.discard(connection)
            self.on_event(HealthCheckDone(endpoint, status))

    async def _exchange_health_check(self, connection: CacheConnection) -> AttemptStatus:
        status = AttemptStatus.ERROR
        await connection.send_request(HEALTH_CHECK_TARGET, [], b"")
        while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response) and event.status_code == 200:
                status = AttemptStatus.SUCCEEDED
        return status


class Attempt:
    """One attempt at a request, from connecting to its end.

    A response is buffered until it is complete. If it is truncated, the request can be sent again to another
    endpoint, and no part of the truncated response reaches the client.

    :param connections: the connections and limits that are shared with other attempts.
    :param order: the endpoint to connect to, and the request.
    :param owner: supplies the request and takes the response.
    """

    def __init__(self, connections: CacheConnections, order: OpenConnection, owner: AttemptOwner):
        self._connections = connections
        self._pool = connections.pool
        self._request_id, self._number, self._endpoint, self._address = order
        self._owner = owner
        self._stage = AttemptStage.CONNECTING
        self._has_ended = False
        self._connection: CacheConnection | None = None
        self._reserved = 0  # bytes of response memory
        self._body = bytearray()
        self._copy: CopyIdentity | None = None

    async def run(self) -> None:
        """Makes the attempt; any failure is reported as AttemptEnded."""
        try:
            await self._connect()
            await self._exchange()
        except ConnectionUnavailableError as error:
            self._end(error.cause, error)
        except (h11.RemoteProtocolError, MalformedResponseError) as error:
            self._end(FailureCause.MALFORMED, error)
        except CONNECTION_ERRORS as error:
            self._end(FailureCause.RESET, error)
        except Exception as error:
            if not self._has_ended:
                self._end(FailureCause.INTERNAL_ERROR, f"{type(error).__name__}: {error}")
        finally:
            self._connections.in_use.pop((self._request_id, self._number), None)
            self._connections.response_memory.release(self._reserved)
            if self._connection is not None:
                self._pool.discard(self._connection)

    async def _connect(self) -> None:
        """Gets an open connection on which no data has arrived.

        Guards against a request written to a connection that its cache has just closed: a request that may
        not run twice could then not be retried. The connection is checked again after the client's bytes are
        read, and a pooled one that has been closed is replaced.

        :raises ConnectionUnavailableError: if there is none, a new one was closed or received data before
            the request, or the client's bytes are not read in time.
        """
        while True:
            self._connection = await self._pool.acquire(self._endpoint, self._address)
            self._connections.in_use[self._request_id, self._number] = self._connection
            await self._owner.read_pending()
            if self._connection.is_quiet():
                return
            if self._connection.last_exchange is None:
                raise ConnectionUnavailableError(
                    FailureCause.RESET, "closed, or sent data, before the request"
                )
            self._pool.discard(self._connection)
            self._connection = None

    async def _exchange(self) -> None:
        """Sends the request and reads the response."""
        self._stage = AttemptStage.CONNECTED
        self._connections.on_event(ConnectionReady(self._request_id, self._number))
        request = await self._owner.request_to_send()
        self._stage = AttemptStage.SENDING
        sent_at = anyio.current_time()
        await self._connection.send_request(request.target, request.headers, request.body)
        interim_responses = 0
        while not isinstance(event := await self._connection.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                await self._handle_head(event, request, sent_at)
            elif isinstance(event, h11.Data):
                self._handle_data(event.data)
            else:
                interim_responses += 1
                if interim_responses > MAX_INTERIM_RESPONSES:
                    raise MalformedResponseError("too many 1xx responses")
        self._succeed(request)

    async def _handle_head(self, response: h11.Response, request: SendRequest, sent_at: float) -> None:
        """Feeds the head, and waits until there is memory for the body."""
        self._stage = AttemptStage.RECEIVING
        fields = cache_responses.header_fields(response)
        self._copy = cache_responses.copy_identity(fields)
        if self._connection.repeats_last_response(request, sent_at, self._copy):
            raise MalformedResponseError("the previous response, sent again")
        head = cache_responses.parse_head(
            self._request_id,
            self._number,
            response.status_code,
            fields,
            self._connections.read_copy,
            self._connections.with_load_report,
        )
        self._connections.on_event(head)
        needed = MAX_BODY_SIZE if head.content_length is None else head.content_length
        await self._connections.response_memory.acquire(needed)
        self._reserved = needed

    def _handle_data(self, data: bytes) -> None:
        if len(self._body) + len(data) > self._reserved:
            raise MalformedResponseError(f"a body of more than {self._reserved} bytes")
        self._body += data

    def _succeed(self, request: SendRequest) -> None:
        """Feeds the complete response; its memory is released once it has been sent to the client."""
        response_memory = self._connections.response_memory
        response_memory.release(self._reserved - len(self._body))  # more was reserved if there was no length
        self._reserved = len(self._body)
        self._end()
        connection = self._connection
        self._connection = None
        self._owner.call_when_sent(partial(response_memory.release, self._reserved))
        self._reserved = 0
        self._pool.release(self._endpoint, connection, request.target, self._copy)

    def _end(self, cause: FailureCause | None = None, detail: object = "") -> None:
        """Feeds the end of the attempt.

        :param cause: why the attempt failed; None if it succeeded.
        """
        self._has_ended = True
        failure = None if cause is None else AttemptFailure(self._stage, cause, f"{self._endpoint}: {detail}")
        self._connections.on_event(AttemptEnded(self._request_id, self._number, failure, bytes(self._body)))
