"""One connection to a cache: HTTP/1.1, one request at a time."""

import socket
from typing import NamedTuple

import anyio
import h11

from quartzrouter.server.cache_responses import CopyIdentity, max_copy_age
from quartzrouter.server.effects import SendRequest
from quartzrouter.server.ring_buffer import RingBuffer
from quartzrouter.server.stream import Pending, Stream

READ_BUFFER_SIZE = 1 << 15  # bytes; most responses fit in one or two reads
WRITE_BUFFER_SIZE = 1 << 14  # bytes that are written to the socket at once, so that no body is copied whole
# Bytes in the socket's own receive buffer. All of them are read at once, so the size limits the memory that a
# fast sender can fill.
SOCKET_RECEIVE_BUFFER = 1 << 16
EVENTS_PER_STEP = 64  # parts of a response that are handled before other connections are served
MAX_HEAD_SIZE = 1 << 14  # bytes of a response's head

# The request that h11 is told was sent, so that it can parse the response. The bytes that are really sent are
# written by CacheConnection.send_request.
REQUEST_FOR_H11 = h11.Request(method="GET", target="/", headers=[("Host", "cache")])


class LastExchange(NamedTuple):
    """The last response on a connection: what is needed to detect that it is sent a second time."""

    target: str
    received_at: float  # s of the loop's clock
    copy: CopyIdentity | None  # None: the response doesn't identify its copy


class CacheConnection:
    """One connection to a cache.

    :param stream: the connection, which the pool closes.
    :param address: an IP address and a port.
    :param ready_at: the time from which the connection may carry a request, in s of the loop's clock.
    """

    def __init__(self, stream: Stream, address: tuple[str, int], ready_at: float):
        self.stream = stream
        self.address = address
        self.ready_at = ready_at
        self.last_exchange: LastExchange | None = None
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_SIZE)
        self._incoming = RingBuffer(READ_BUFFER_SIZE)
        self._events_read = 0
        stream.raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_RECEIVE_BUFFER)

    async def send_request(self, target: str, headers: list[tuple[str, str]], body: bytes) -> None:
        """Sends a request; raises the exceptions that ``attempt_failure.CONNECTION_ERRORS`` lists.

        :param headers: names and values of the header fields other than Host and Content-Length.
        """
        self._http.send(REQUEST_FOR_H11)
        self._http.send(h11.EndOfMessage())
        host, port = self.address
        lines = [f"GET {target} HTTP/1.1", f"Host: {host}:{port}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "\r\n"]).encode("latin-1")
        first_part = WRITE_BUFFER_SIZE - len(head)  # of the body, sent in one piece with the head
        await self.stream.send(head + body[: max(0, first_part)])
        for start in range(max(0, first_part), len(body), WRITE_BUFFER_SIZE):
            await self.stream.send(body[start : start + WRITE_BUFFER_SIZE])

    async def next_event(self) -> h11.Event:
        """Reads the next part of the response: an interim or final head, data, or its end.

        Raises the exceptions that ``attempt_failure.CONNECTION_ERRORS`` lists.

        :raises h11.RemoteProtocolError: if the bytes are not HTTP.
        """
        self._events_read += 1
        if self._events_read % EVENTS_PER_STEP == 0:  # one read may bring thousands of one-byte chunks
            await anyio.sleep(0)
        while (event := self._http.next_event()) is h11.NEED_DATA:
            if not len(self._incoming):
                try:
                    self._incoming.put(await self.stream.receive(self._incoming.free))
                except anyio.EndOfStream as end_of_stream:
                    return self._last_event(end_of_stream)
            self._http.receive_data(self._incoming.take(READ_BUFFER_SIZE))
        return event

    def _last_event(self, end_of_stream: anyio.EndOfStream) -> h11.Event:
        """Returns the end of a response that its connection ends; raises if the response is truncated."""
        self._http.receive_data(b"")
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError:
            raise end_of_stream from None
        if not isinstance(event, h11.EndOfMessage):
            raise end_of_stream
        return event

    def repeats_last_response(self, request: SendRequest, sent_at: float, copy: CopyIdentity | None) -> bool:
        """Returns True if a response can only be a repetition of the last one.

        Guards against a repeated response that arrives after the next request was sent: the client of that
        request would get another chunk's bytes. A response with the same copy as the last one is a
        repetition if the last request had another target, or if the last response came longer ago than this
        request's maximum age allows (the object was purged between them). Otherwise it doesn't matter which
        of the two it is: the copy is the right one, and recent enough.

        :param sent_at: when the request was sent, in s of the loop's clock.
        :param copy: the copy that the response names.
        """
        last = self.last_exchange
        if last is None or copy is None or copy != last.copy:
            return False
        return request.target != last.target or sent_at - last.received_at >= max_copy_age(request.headers)

    def is_quiet(self) -> bool:
        """Returns True if neither data nor an end of the connection has arrived since the last response.

        Requests are sent only on connections that are still open.
        """
        return self.stream.pending() is Pending.QUIET

    @property
    def is_reusable(self) -> bool:
        """Returns True if both sides are done, and no data followed the response."""
        both_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        return both_done and not len(self._incoming) and not self._http.trailing_data[0]

    def start_next_exchange(self, last: LastExchange, ready_at: float) -> None:
        """Prepares a reusable connection for its next request.

        :param last: the exchange that has ended.
        :param ready_at: the time from which the connection may carry a request, in s of the loop's clock.
        """
        self._http.start_next_cycle()
        self.last_exchange = last
        self.ready_at = ready_at
