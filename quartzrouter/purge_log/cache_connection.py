"""An HTTP/1.1 connection over which the delivery process sends purges to one cache."""

from collections.abc import Sequence
from typing import NamedTuple

import anyio
import h11

from quartzrouter.purge_log.errors import PurgeLogError
from quartzrouter.purge_log.line_connection import connect, describe_error
from quartzrouter.purges.delivery_plan import DELIVERY_TIMEOUT
from quartzrouter.server.attempt_failure import CONNECTION_LOST

PURGED_UP_TO = b"x-purged-to"  # response field: up to which number the cache has purged without a gap
HIGHEST_LEASE_SEEN = b"x-purge-lease-seen"  # response field with 409: a later lease's fencing token
OK = 200
CONFLICT = 409
READ_BYTES = 1 << 14  # at once
MICROSECONDS_PER_SECOND = 1e6
EXCHANGE_ERRORS = (*CONNECTION_LOST, TimeoutError, h11.ProtocolError, ValueError)


class DeliveryError(PurgeLogError):
    """The cache did not answer."""


class DeliveryRefusedError(DeliveryError):
    """The cache answered, and did not do what was asked."""


class CourierFencedError(DeliveryRefusedError):
    """The cache has seen a later lease of the task of delivering.

    :param highest_token: that lease's fencing token.
    """

    def __init__(self, highest_token: int):
        super().__init__(f"a later lease has delivered, number {highest_token}")
        self.highest_token = highest_token


class _Response(NamedTuple):
    status: int
    purged_up_to: int
    highest_lease_seen: int


class CacheConnection:
    """One connection to a cache, one request at a time; opened again after a failure."""

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self.stream: anyio.abc.ByteStream | None = None
        self.http = h11.Connection(h11.CLIENT)
        self.lock = anyio.Lock()

    async def request(self, method: str, target: str, headers: Sequence[tuple[str, str]]) -> int:
        """Sends a request.

        :returns: the sequence number up to which the cache has purged without a gap.
        :raises DeliveryError: where it doesn't answer.
        :raises DeliveryRefusedError: where it answers with another status than 200.
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
                if not is_reusable:  # nobody knows what is still to come on it
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
        response = await self._response(stream)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            await self.close()
        if response.status == CONFLICT and response.highest_lease_seen:
            raise CourierFencedError(response.highest_lease_seen)
        if response.status != OK:
            raise DeliveryRefusedError(f"it answered {response.status}")
        return response.purged_up_to

    async def _response(self, stream: anyio.abc.ByteStream) -> _Response:
        response = _Response(0, 0, 0)
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.EndOfMessage):
                return response
            if event is h11.NEED_DATA:
                self.http.receive_data(await _receive(stream))
            elif isinstance(event, h11.Response):
                headers = dict(event.headers)
                purged_up_to = int(headers.get(PURGED_UP_TO, b"0"))
                highest_lease_seen = int(headers.get(HIGHEST_LEASE_SEEN, b"0"))
                response = _Response(event.status_code, purged_up_to, highest_lease_seen)
            elif isinstance(event, h11.ConnectionClosed):
                raise ValueError("closed without an answer")

    async def close(self) -> None:
        """Closes the connection; the next request opens another."""
        stream = self.stream
        self.stream = None
        if stream is not None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)


async def _receive(stream: anyio.abc.ByteStream) -> bytes:
    """What comes next; empty at the end of the stream."""
    try:
        return await stream.receive(READ_BYTES)
    except anyio.EndOfStream:
        return b""
