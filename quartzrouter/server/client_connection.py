"""One client's connection: reads requests from FastCGI records, hands them on as events, writes responses."""

import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from quartzrouter.server import fastcgi, responses
from quartzrouter.server.errors import ServerError
from quartzrouter.server.events import ClientGone, RequestReceived, StatusQueried
from quartzrouter.server.fastcgi import ProtocolStatus, RecordType
from quartzrouter.server.request_reader import IncomingRequest, InvalidRequestError, RequestMemoryError
from quartzrouter.server.response_writer import NO_REQUEST, ResponseWriter
from quartzrouter.server.ring_buffer import RingBuffer
from quartzrouter.server.stream import Pending, Stream
from quartzrouter.server.turns import Turn

if TYPE_CHECKING:
    from quartzrouter.server.client_connections import ClientConnections

READ_BUFFER_SIZE = 1 << 14  # bytes; longer records are read in pieces
MAX_OPEN_REQUESTS = 32  # per connection; a request is open until its response has been sent
MAX_REJECTED_REQUESTS = 32  # per connection, which is then closed
SMALL_REQUEST_MEMORY = 1 << 12  # bytes of requests that each connection may hold in any case
MAX_IGNORED_BYTES = 1 << 18  # bytes received after a response; beyond, no further request is accepted

# Seconds between reads from a client that doesn't read its responses. All that a receive buffer holds is then
# read within 0.1 s, including an abort or the end of the connection.
BACKLOG_READ_INTERVAL = 0.02
# Iterations of the event loop in which the data of a usual client is read; afterwards the wait is by time.
PENDING_READ_ITERATIONS = 16
PENDING_READ_INTERVAL = 0.002  # seconds between two looks whether the client's data is read
MAX_PENDING_READ = 0.5  # seconds; an attempt for a client that has more unread data is not sent
# Seconds without data after which a connection that has sent much is taken for a usual one again.
QUIET_TIME = 0.05
RECORDS_PER_CLOCK_READ = 16  # records that are handled between two looks at the turn's clock

LAST_DATA_RECEIVED = slice(52, 56)  # tcpi_last_data_recv in struct tcp_info: ms since data last arrived


class UnreadDataError(ServerError):
    """A client has more unread data than can be read for now, which may hide that it has gone."""


@dataclass(slots=True)
class AwaitedResponse:
    """A request that was handed on, and whose response hasn't been queued yet."""

    fastcgi_id: int
    keep_connection: bool
    size: int  # bytes of request memory that it holds


class ClientConnection:
    """One client's connection: its requests, and the responses to be written.

    A request is incoming until all of its records have arrived, under the id that its client gave it
    (``fastcgi_id``). Then it gets a ``request_id``, a number that the router assigns, and is handed on as an
    event. Its response is awaited until ``respond`` is called.

    :param connections: all clients' connections of the process, and the limits that they share.
    :param stream: the connection, which its creator closes.
    """

    def __init__(self, connections: "ClientConnections", stream: Stream):
        self._connections = connections
        self.stream = stream
        self._incoming_bytes = RingBuffer(READ_BUFFER_SIZE)
        self._records = fastcgi.RecordReader(self._incoming_bytes)
        self.incoming: dict[int, IncomingRequest] = {}  # by FastCGI id
        self.request_ids: dict[int, int] = {}  # by FastCGI id, of requests whose responses are awaited
        self.awaited: dict[int, AwaitedResponse] = {}  # by request id
        self.writer = ResponseWriter(stream, self._may_finish)
        self.scope = anyio.CancelScope()  # cancels the task that serves the connection
        self.rejected_requests = 0
        self.has_begun_request = False  # True once a request has been handed on
        self.ignored_bytes = 0  # received after the response to their request, or after all responses
        self.closing = False  # no further request is accepted; the connection ends after the last response
        self._turn = Turn()
        self._is_turn_granted = False  # it had to wait for the turn, and may read on until the turn is over
        self._turn_cost = 0.0  # seconds of CPU time of the last turn
        self._has_much = False  # the last turn was used up, or a read filled the buffer
        self.responses_ended = False  # sending has ended; data that arrives now is dropped
        now = anyio.current_time()
        self.opened_at = now  # s of the loop's clock
        self.last_active_at = now  # when data last arrived, or a response was queued; s of the loop's clock

    # -- reading -----------------------------------------------------------------------------------

    async def read(self) -> None:
        """Reads until the client has gone, and slowly while it doesn't read its responses.

        Guards against running requests whose client has gone: a request that is read late may be followed by
        the end of its connection, a reset or an ABORT_REQUEST. So complete requests are handed on only once
        all data that has arrived is read; from a client that never pauses they are rejected instead, see
        ``ClientConnections.sweep``. Reading also never stops: when it stopped while the client didn't read
        its responses, neither an abort nor the end of the connection was noticed.

        Guards against clients that delay others: a connection that has sent much, or only parts of requests,
        is read when it is its turn.

        Raises the exceptions that ``attempt_failure.CONNECTION_ERRORS`` lists.

        :raises fastcgi.ProtocolError: if the client doesn't follow the FastCGI specification.
        """
        while True:
            if self.writer.is_backlogged or self.ignored_bytes > MAX_IGNORED_BYTES:
                await self.writer.wait_for_progress(BACKLOG_READ_INTERVAL)
            await self._wait_for_data()
            data = await self.stream.receive(self._incoming_bytes.free)
            self._connections.reads += 1
            if self.responses_ended:
                self.ignored_bytes += len(data)
                continue
            await self._handle_bytes(data)
            complete = [id for id, incoming in self.incoming.items() if incoming.is_complete]
            pending = self.stream.pending() if complete else Pending.QUIET
            if pending is Pending.ENDED:
                return
            if pending is Pending.QUIET:
                queueing_time = self.time_since_last_byte if complete else 0
                for fastcgi_id in complete:
                    self._begin_request(fastcgi_id, queueing_time)

    async def _wait_for_data(self) -> None:
        """Waits until data has arrived, and for the connection's turn if it has sent much."""
        goes_on = self._is_turn_granted and self._has_much and not self._turn.is_over
        if goes_on and self.stream.pending() is Pending.UNREAD:
            return
        waits_since = anyio.current_time()
        await self.stream.wait_readable()
        if anyio.current_time() - waits_since > QUIET_TIME:
            self._has_much = False
        if self.responses_ended:  # reading and dropping takes no time to speak of
            return
        self._is_turn_granted = self._has_much or bool(self.incoming)
        if self._is_turn_granted:
            self._turn = await self._connections.turns.wait(self._turn_cost)
        else:
            self._turn = Turn()

    async def read_pending(self, request_id: int) -> None:
        """Returns once all data that the client has sent is read.

        Guards against an attempt for a client that has gone, which a busy process may not have read yet.

        :param request_id: the request that the attempt is made for.
        :raises UnreadDataError: if the client sends more than can be read for now.
        """
        deadline = anyio.current_time() + MAX_PENDING_READ
        iterations = 0
        while anyio.current_time() < deadline:
            pending = self.stream.pending()
            if pending is Pending.ENDED:
                self.abandon_requests()
                self.scope.cancel()
            if pending is not Pending.UNREAD or request_id not in self.awaited:
                return
            iterations += 1
            await anyio.sleep(0 if iterations <= PENDING_READ_ITERATIONS else PENDING_READ_INTERVAL)
        raise UnreadDataError("the client never pauses")

    @property
    def open_requests(self) -> int:
        """The number of open requests; a request is open until its whole response has been sent."""
        return len(self.incoming) + len(self.request_ids) + self.writer.unsent_responses

    @property
    def time_since_last_byte(self) -> int:
        """Microseconds since data last arrived, as reported by the kernel; 0 if it reports nothing.

        A router short of CPU reads requests late, and the time until then counts against their timeouts.
        """
        try:
            tcp_info = self.stream.raw.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.stop
            )
        except OSError:
            return 0
        return int.from_bytes(tcp_info[LAST_DATA_RECEIVED], sys.byteorder) * 1000

    async def _handle_bytes(self, data: bytes) -> None:
        """Handles all records that the data completes, in as many turns as that takes."""
        self._has_much = len(data) == self._incoming_bytes.free
        self._incoming_bytes.put(data)
        self.last_active_at = anyio.current_time()
        records_handled = 0
        while (record := self._records.next()) is not None:
            self._handle_record(record)
            records_handled += 1
            if records_handled % RECORDS_PER_CLOCK_READ == 0 and self._turn.is_over:
                self._has_much = True
                self._turn = await self._connections.turns.wait(self._turn.cost)
        self._turn_cost = self._turn.cost

    def _handle_record(self, record: fastcgi.Record) -> None:
        record_type, fastcgi_id, content = record
        if fastcgi_id == fastcgi.MANAGEMENT_ID:
            self._handle_management_record(record_type, content)
        elif record_type == RecordType.BEGIN_REQUEST:
            self._handle_begin(fastcgi_id, content)
        elif record_type == RecordType.ABORT_REQUEST:
            self._handle_abort(fastcgi_id)
        elif record_type in (RecordType.PARAMS, RecordType.STDIN):
            incoming = self.incoming.get(fastcgi_id)
            if incoming and not incoming.is_complete:
                self._handle_content(fastcgi_id, incoming, record_type, content)
            else:
                self._ignore_content(content)
        elif record_type != RecordType.DATA:
            raise fastcgi.ProtocolError(f"unexpected record of type {record_type} for request {fastcgi_id}")

    def _handle_management_record(self, record_type: int, content: bytes) -> None:
        """Answers a record about the connection, except while the client doesn't read its responses.

        Otherwise these answers would accumulate as well.
        """
        if self.writer.is_backlogged:
            self._count_rejection([])
        elif record_type == RecordType.GET_VALUES:
            max_connections = self._connections.max_connections
            values = {
                "FCGI_MAX_CONNS": max_connections,
                "FCGI_MAX_REQS": max_connections * MAX_OPEN_REQUESTS,
                "FCGI_MPXS_CONNS": 1,
            }
            result = fastcgi.encode_values_result(fastcgi.decode_pairs(content), values)
            self.writer.queue(NO_REQUEST, [result])
        else:
            self.writer.queue(NO_REQUEST, [fastcgi.encode_unknown_type(record_type)])

    def _ignore_content(self, content: bytes) -> None:
        """Ignores content of a request that has its response; beyond a limit it closes the connection."""
        self.ignored_bytes += len(content)
        if self.ignored_bytes > MAX_IGNORED_BYTES and not self.closing:
            self.close_when_answered()

    def _handle_begin(self, fastcgi_id: int, content: bytes) -> None:
        role, flags = fastcgi.decode_begin_request(content)
        if fastcgi_id in self.incoming or fastcgi_id in self.request_ids:
            raise fastcgi.ProtocolError(f"request id {fastcgi_id} is already in use")
        if role != fastcgi.ROLE_RESPONDER:
            refusal = fastcgi.encode_end_request(fastcgi_id, protocol_status=ProtocolStatus.UNKNOWN_ROLE)
            self._count_rejection([refusal])
        elif self.closing or self.open_requests >= MAX_OPEN_REQUESTS:
            # The client may send the request again. No refusal is queued while the client doesn't read its
            # responses.
            refusal = fastcgi.encode_end_request(fastcgi_id, protocol_status=ProtocolStatus.OVERLOADED)
            self._count_rejection([] if self.writer.is_backlogged else [refusal])
        else:
            incoming = IncomingRequest(bool(flags & fastcgi.FLAG_KEEP_CONNECTION), self.last_active_at)
            self.incoming[fastcgi_id] = incoming
            self._connections.free_request_memory -= incoming.size

    def _handle_abort(self, fastcgi_id: int) -> None:
        incoming = self.incoming.pop(fastcgi_id, None)
        if incoming is not None:
            self._connections.free_request_memory += incoming.size
            self.writer.queue(NO_REQUEST, [fastcgi.encode_end_request(fastcgi_id, completed=False)])
            return
        request_id = self.request_ids.get(fastcgi_id)
        if request_id is not None:
            self._connections.on_event(ClientGone(request_id))
            self.respond(request_id, b"", completed=False)

    def _handle_content(
        self, fastcgi_id: int, incoming: IncomingRequest, record_type: int, content: bytes
    ) -> None:
        """Handles a record of a request; an invalid request is rejected at once, before its other records."""
        size_before = incoming.size
        try:
            if content:
                incoming.add(record_type, content, self._free_request_memory)
            elif record_type == RecordType.PARAMS:
                incoming.end_params(self._connections.parse_params)
            else:
                incoming.end_body()
        except (InvalidRequestError, fastcgi.ProtocolError) as error:
            self.reject_invalid(fastcgi_id, error)
        except RequestMemoryError:
            self._connections.log.say("client", "request memory exhausted: a request is rejected with 503")
            self._reject(fastcgi_id, responses.overloaded(self._connections.retry_after))
        else:
            self._connections.free_request_memory -= incoming.size - size_before

    @property
    def _free_request_memory(self) -> int:
        """Returns the bytes that the connection's requests may still take.

        A connection that holds little may exceed the memory that all share, so that clients with small
        requests are served while others fill it.
        """
        shared = self._connections.free_request_memory
        if shared >= SMALL_REQUEST_MEMORY:
            return shared
        held = sum(incoming.size for incoming in self.incoming.values())
        held += sum(awaited.size for awaited in self.awaited.values())
        return max(shared, SMALL_REQUEST_MEMORY - held)

    def _begin_request(self, fastcgi_id: int, queueing_time: int) -> None:
        """Hands on a complete request, which its client has not aborted.

        :param queueing_time: microseconds for which the request waited unread.
        """
        incoming = self.incoming.pop(fastcgi_id)
        request_id = self._connections.issue_request_id(self)
        self.request_ids[fastcgi_id] = request_id
        self.awaited[request_id] = AwaitedResponse(fastcgi_id, incoming.keep_connection, incoming.size)
        self.has_begun_request = True
        if incoming.request is None:
            self._connections.on_event(StatusQueried(request_id))
        else:
            request = incoming.request._replace(body=incoming.body, queueing_time=queueing_time)
            self._connections.on_event(RequestReceived(request_id, request))

    # -- rejecting ---------------------------------------------------------------------------------

    def reject_invalid(self, fastcgi_id: int, error: ServerError) -> None:
        """Rejects an incoming request that is invalid, with a response that says why."""
        self._connections.log.say("client", f"invalid request: {error}")
        status = error.status if isinstance(error, InvalidRequestError) else 400
        self._reject(fastcgi_id, responses.invalid(status, str(error)))

    def reject_overdue(self, fastcgi_id: int) -> None:
        """Rejects an incoming request that is still incomplete, or whose client has never paused since."""
        if self.incoming[fastcgi_id].is_complete:
            self._connections.log.say("client", "a request is rejected with 503: its client never pauses")
            self._reject(fastcgi_id, responses.overloaded(self._connections.retry_after))
        else:
            self.reject_invalid(fastcgi_id, InvalidRequestError("still not whole", 408))

    def _reject(self, fastcgi_id: int, response: bytes) -> None:
        incoming = self.incoming.pop(fastcgi_id)
        self._connections.free_request_memory += incoming.size
        self.closing |= not incoming.keep_connection
        self._count_rejection(fastcgi.encode_response(fastcgi_id, response))

    def _count_rejection(self, records: list[bytes]) -> None:
        """Queues the records that reject a request; closes the connection after many rejections."""
        self.rejected_requests += 1
        self.closing |= self.rejected_requests >= MAX_REJECTED_REQUESTS
        if records:
            self.writer.queue(NO_REQUEST, records)

    # -- responding --------------------------------------------------------------------------------

    def respond(self, request_id: int, response: bytes, completed: bool = True) -> None:
        """Queues the only response to a request; does nothing if it already has one.

        :param response: status, headers and body.
        :param completed: False if the request was aborted; then only END_REQUEST is written.
        """
        if request_id not in self.awaited:
            return
        awaited = self.awaited.pop(request_id)
        self.last_active_at = anyio.current_time()  # the idle timeout starts anew with the response
        del self.request_ids[awaited.fastcgi_id]
        self._connections.by_request_id.pop(request_id, None)
        self._connections.free_request_memory += awaited.size
        self.closing |= not awaited.keep_connection
        if completed:
            records = fastcgi.encode_response(awaited.fastcgi_id, response)
        else:
            records = [fastcgi.encode_end_request(awaited.fastcgi_id, completed=False)]
        self.writer.queue(request_id, records)

    def call_when_sent(self, request_id: int, callback: Callable[[], None]) -> None:
        """Calls the callback once no part of the response to a request is queued any more."""
        self.writer.call_when_sent(request_id, callback)

    # -- closing -----------------------------------------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """Returns True if no request is incoming or awaits its response, and nothing is left to write."""
        return not (self.awaited or self.incoming or self.writer.has_unsent)

    def _may_finish(self) -> bool:
        return self.closing and not (self.awaited or self.incoming)

    def close_when_answered(self) -> None:
        """Accepts no further request, and closes the connection once all requests have their responses."""
        self.closing = True
        self.writer.recheck()

    def close_if_idle(self) -> bool:
        """Closes an idle connection at once, unless there is unread data on it.

        Guards against a reset, with which the client would lose the last response: sending is ended first,
        then data that has arrived is read and dropped. A request that arrives between the check for unread
        data and the end of sending is dropped and never begun, and its bytes cause no reset.

        :returns: True if the connection was closed.
        """
        if not self.is_idle or self.stream.pending() is Pending.UNREAD:
            return False
        self.responses_ended = True
        self.stream.finish_sending()
        self.stream.drain()
        self.scope.cancel()
        self._connections.open.discard(self)
        return True

    @property
    def is_flooding_after_end(self) -> bool:
        """Returns True if all responses are written, and the client has sent much more than it should."""
        return self.responses_ended and self.ignored_bytes > MAX_IGNORED_BYTES

    def close_now(self) -> None:
        """Closes the connection, although data may still be unread."""
        self.scope.cancel()
        self._connections.open.discard(self)

    def abandon_requests(self) -> None:
        """Drops all requests of a client that has gone, and releases their memory."""
        self._connections.free_request_memory += sum(incoming.size for incoming in self.incoming.values())
        for request_id, awaited in list(self.awaited.items()):
            self._connections.free_request_memory += awaited.size
            self._connections.by_request_id.pop(request_id, None)
            self._connections.on_event(ClientGone(request_id))
        self.incoming.clear()
        self.awaited.clear()
        self.writer.discard()
