"""The HTTP/1.1 connection over which the delivery process sends purges to one cache."""

from collections.abc import Sequence
from typing import NamedTuple

import anyio
import h11

from quartzrouter.purge_log.errors import PurgeLogError
from quartzrouter.purge_log.line_connection import connect, describe_error
from quartzrouter.purges.delivery_plan import DELIVERY_TIMEOUT
from quartzrouter.server.attempt_failure import CONNECTION_ERRORS
from quartzrouter.server.header_fields import HeaderFields

PURGED_UP_TO = "x-purged-to"  # response header: the number up to which the cache has purged without a gap
HIGHEST_LEASE_SEEN = "x-purge-lease-seen"  # header of a 409 response: a later lease's fencing token
OK = 200
CONFLICT = 409
MAX_READ_BYTES = 1 << 14  # per call of receive()
MAX_BODY_PARTS = 64  # pieces of a response's body, which says nothing; a usual one has none
MICROSECONDS_PER_SECOND = 1e6
EXCHANGE_ERRORS = (*CONNECTION_ERRORS, TimeoutError, h11.ProtocolError, ValueError)


class DeliveryError(PurgeLogError):
    """Raised if a cache didn't answer."""


class DeliveryRefusedError(DeliveryError):
    """Raised if a cache answered, but rejected the request."""


class DeliveryFencedError(DeliveryRefusedError):
    """Raised if a cache has seen a later lease of the delivery task.

    :param highest_token: the fencing token of that lease.
    """

    def __init__(self, highest_token: int):
        super().__init__(f"the cache has seen a later delivery lease with fencing token {highest_token}")
        self.highest_token = highest_token


class _Response(NamedTuple):
    status: int
    purged_up_to: int
    highest_lease_seen: int


class CacheConnection:
    """A connection to a cache for one request at a time; it is opened again after a failure."""

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self.stream: anyio.abc.ByteStream | None = None
        self.http = h11.Connection(h11.CLIENT)
        self.lock = anyio.Lock()

    async def request(self, method: str, target: str, headers: Sequence[tuple[str, str]]) -> int:
        """Sends a request.

        :returns: the sequence number up to which the cache has purged without a gap.
        :raises DeliveryError: if the cache doesn't answer.
        :raises DeliveryRefusedError: if the cache answers with a status other than 200.
        """
        async with self.lock:
            is_reusable = False
            try:
                with anyio.fail_after(DELIVERY_TIMEOUT / MICROSECONDS_PER_SECOND):
                    purged_up_to = await self._request(method, target, headers)
                is_reusable = True
                return purged_up_to
            except DeliveryRefusedError:
                is_reusable = True
                raise
            except EXCHANGE_ERRORS as error:
                host, port = self.address
                raise DeliveryError(f"{host}:{port}: {describe_error(error)}") from None
            finally:
                if not is_reusable:  # the rest of a response may still arrive on it
                    await self.close()

    async def _request(self, method: str, target: str, headers: Sequence[tuple[str, str]]) -> int:
        stream = self.stream
        if stream is None:
            stream = self.stream = await connect(self.address)
            self.http = h11.Connection(h11.CLIENT)
        host, port = self.address
        request = h11.Request(method=method, target=target, headers=[("Host", f"{host}:{port}"), *headers])
        await stream.send(self.http.send(request) or b"")
        await stream.send(self.http.send(h11.EndOfMessage()) or b"")
        response = await self._read_response(stream)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            await self.close()
        if response.status == CONFLICT and response.highest_lease_seen:
            raise DeliveryFencedError(response.highest_lease_seen)
        if response.status != OK:
            raise DeliveryRefusedError(f"the cache answered with status {response.status}")
        return response.purged_up_to

    async def _read_response(self, stream: anyio.abc.ByteStream) -> _Response:
        """Reads a response.

        Guards against a cache that sends a body without end, which would hold up deliveries to the others.

        :raises ValueError: if the response is incomplete, or has a long body.
        """
        response = _Response(0, 0, 0)
        body_parts = 0
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.EndOfMessage):
                return response
            if event is h11.NEED_DATA:
                self.http.receive_data(await _receive(stream))
            elif isinstance(event, h11.Response):
                fields = HeaderFields(event.headers)  # int() rejects lines that contradict each other
                purged_up_to = int(fields.get(PURGED_UP_TO) or 0)
                highest_lease_seen = int(fields.get(HIGHEST_LEASE_SEEN) or 0)
                response = _Response(event.status_code, purged_up_to, highest_lease_seen)
            elif isinstance(event, h11.Data):
                body_parts += 1
                if body_parts > MAX_BODY_PARTS:
                    raise ValueError("the cache answers with a long body")
            elif isinstance(event, h11.ConnectionClosed):
                raise ValueError("the cache closed the connection without a complete response")

    async def close(self) -> None:
        """Closes the connection; the next request opens another."""
        stream = self.stream
        self.stream = None
        if stream is not None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)


async def _receive(stream: anyio.abc.ByteStream) -> bytes:
    """Returns the next bytes; empty at the end of the stream."""
    try:
        return await stream.receive(MAX_READ_BYTES)
    except anyio.EndOfStream:
        return b""
