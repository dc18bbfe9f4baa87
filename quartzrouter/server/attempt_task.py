"""The task of one attempt, and its access to the connection of the client that sent the request."""

from collections.abc import Callable

import anyio

from quartzrouter.server.attempt_failure import FailureCause
from quartzrouter.server.client_connection import ClientConnection, UnreadDataError
from quartzrouter.server.connection_pool import ConnectionUnavailableError
from quartzrouter.server.effects import SendRequest


class AttemptTask:
    """A running attempt; implements ``AttemptOwner``.

    :param request_id: the request that the attempt is made for.
    :param client: the client's connection; None if the client has already disconnected.
    """

    def __init__(self, request_id: int, client: ClientConnection | None):
        self.scope = anyio.CancelScope()
        self._request_id = request_id
        self._client = client
        self._request: SendRequest | None = None
        self._has_request = anyio.Event()

    def set_request(self, request: SendRequest) -> None:
        """Sets the request that the attempt is to send."""
        self._request = request
        self._has_request.set()

    async def read_pending(self) -> None:
        """Returns once what the client has sent so far is read.

        :raises ConnectionUnavailableError: if that takes too long.
        """
        if not self._client:
            return
        try:
            await self._client.read_pending(self._request_id)
        except UnreadDataError as error:
            raise ConnectionUnavailableError(FailureCause.CLIENT_UNREAD, str(error)) from None

    async def request_to_send(self) -> SendRequest:
        """Returns the request; waits for ``set_request``, which has usually been called before."""
        if self._request is None:
            await self._has_request.wait()
        return self._request

    def call_when_sent(self, callback: Callable[[], None]) -> None:
        """Calls the callback once nothing of the response is queued, at once if the client has gone."""
        if self._client:
            self._client.call_when_sent(self._request_id, callback)
        else:
            callback()
