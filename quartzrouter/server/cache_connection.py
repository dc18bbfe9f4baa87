"""One connection to a cache: HTTP/1.1, one request at a time."""

import socket
from typing import NamedTuple

import anyio
import h11

from quartzrouter.server.cache_responses import CopyIdentity, max_copy_age
from quartzrouter.server.effects import SendRequest
from quartzrouter.server.ring_buffer import RingBuffer
from quartzrouter.server.stream import Pending, Stream

READ_BUFFER_SIZE = 1 << 15  # bytes: most responses in one or two reads
WRITE_BUFFER_SIZE = 1 << 14  # bytes
# bytes in a socket's own buffer, read whole at once: a fast sender may not fill the memory
SOCKET_RECEIVE_BUFFER = 1 << 16
MAX_HEAD_SIZE = 1 << 14  # bytes of a response's head

# What h11 is told was sent: it reads the response by this, and the bytes that go out are written here.
REQUEST_FOR_H11 = h11.Request(method="GET", target="/", headers=[("Host", "cache")])


class LastExchange(NamedTuple):
    """A response, as far as one that comes behind it may have to be told from it."""

    target: str
    received_at: float  # s of the loop's clock
    copy: CopyIdentity | None  # None: nothing tells it from another


class CacheConnection:
    """One connection to a cache.

    :param stream: the connection, which the pool closes.
    :param address: an IP address and a port.
    :param ready_at: s of the loop's clock from which on it may carry a request.
    """

    def __init__(self, stream: Stream, address: tuple[str, int], ready_at: float):
        self.stream = stream
        self.address = address
        self.ready_at = ready_at
        self.last_exchange: LastExchange | None = None
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_SIZE)
        self._incoming = RingBuffer(READ_BUFFER_SIZE)
        self._outgoing = RingBuffer(WRITE_BUFFER_SIZE)
        stream.raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_RECEIVE_BUFFER)

    async def send_request(self, target: str, headers: list[tuple[str, str]], body: bytes) -> None:
        """Sends a request; raises what ``attempt_failure.CONNECTION_ERRORS`` lists.

        :param headers: name and value, beside Host and Content-Length.
        """
        self._http.send(REQUEST_FOR_H11)
        self._http.send(h11.EndOfMessage())
        host, port = self.address
        lines = [f"GET {target} HTTP/1.1", f"Host: {host}:{port}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        await self._send("\r\n".join([*lines, "\r\n"]).encode("latin-1") + body)

    async def _send(self, data: bytes) -> None:
        for start in range(0, len(data), WRITE_BUFFER_SIZE):
            self._outgoing.put(data[start : start + WRITE_BUFFER_SIZE])
            await self.stream.send(self._outgoing.take(WRITE_BUFFER_SIZE))

    async def next_event(self) -> h11.Event:
        """Reads the next part of the response: an interim or final head, data, or its end.

        Raises what ``attempt_failure.CONNECTION_ERRORS`` lists.

        :raises h11.RemoteProtocolError: the bytes are no HTTP.
        """
        while (event := self._http.next_event()) is h11.NEED_DATA:
            if not len(self._incoming):
                try:
                    self._incoming.put(await self.stream.receive(self._incoming.free))
                except anyio.EndOfStream as end_of_stream:
                    return self._last_event(end_of_stream)
            self._http.receive_data(self._incoming.take(READ_BUFFER_SIZE))
        return event

    def _last_event(self, end_of_stream: anyio.EndOfStream) -> h11.Event:
        """What the end of the stream ends: a response that has no other end, else it broke off."""
        self._http.receive_data(b"")
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError:
            raise end_of_stream from None
        if not isinstance(event, h11.EndOfMessage):
            raise end_of_stream
        return event

    def repeats_last_response(self, request: SendRequest, sent_at: float, copy: CopyIdentity | None) -> bool:
        """Tells whether a response can only be the last one, sent once more.

        Guards against a second response that arrives after the next request was written: the client of
        that request would get another chunk's bytes. It is one where its copy is another target's, or was
        here longer ago than this request allows (a purge of the object came between them). A cache's own
        response with the same copy, as young as it must be, does as well.

        :param sent_at: s of the loop's clock, when the request went out.
        :param copy: what the response names.
        """
        last = self.last_exchange
        if last is None or copy is None or copy != last.copy:
            return False
        return request.target != last.target or sent_at - last.received_at >= max_copy_age(request.headers)

    def is_quiet(self) -> bool:
        """Whether nothing has come since the last response, no end either.

        A request goes out on a live connection only.
        """
        return self.stream.pending() is Pending.QUIET

    @property
    def is_reusable(self) -> bool:
        """Whether both sides are done, and nothing came behind the response."""
        both_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        return both_done and not len(self._incoming) and not self._http.trailing_data[0]

    def start_next_exchange(self, last: LastExchange, ready_at: float) -> None:
        """Makes a reusable connection ready for its next request.

        :param last: the exchange that is over.
        :param ready_at: s of the loop's clock from which on it may carry a request.
        """
        self._http.start_next_cycle()
        self.last_exchange = last
        self.ready_at = ready_at
