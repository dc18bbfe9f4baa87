"""The task of one attempt, and what connects it with the client's request that it is made for."""

from collections.abc import Callable

import anyio

from quartzrouter.server.client_connection import ClientConnection
from quartzrouter.server.effects import SendRequest


class AttemptTask:
    """A running attempt, as its ``AttemptOwner``.

    :param request_id: the request that it is made for.
    :param client: its connection; None where the client has gone already.
    """

    def __init__(self, request_id: int, client: ClientConnection | None):
        self.scope = anyio.CancelScope()
        self._request_id = request_id
        self._client = client
        self._request: SendRequest | None = None
        self._has_request = anyio.Event()

    def set_request(self, request: SendRequest) -> None:
        """Hands over what the attempt is to send."""
        self._request = request
        self._has_request.set()

    async def read_pending(self) -> None:
        """Returns once what the client has sent by now is read."""
        if self._client:
            await self._client.read_pending(self._request_id)

    async def request_to_send(self) -> SendRequest:
        """Waits for ``set_request``, which mostly was called before."""
        if self._request is None:
            await self._has_request.wait()
        return self._request

    def call_when_sent(self, callback: Callable[[], None]) -> None:
        """Calls the callback once the response is on its way to the client."""
        if self._client:
            self._client.call_when_sent(self._request_id, callback)
        else:
            callback()
