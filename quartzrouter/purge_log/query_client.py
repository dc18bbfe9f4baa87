"""A client of the purge log that sends one request at a time to the first address that answers."""

from collections.abc import AsyncIterator, Callable, Sequence

import anyio

from quartzrouter.purge_log.errors import UnreachableError
from quartzrouter.purge_log.line_connection import CONNECTION_ENDED, connect, describe_error, read_lines
from quartzrouter.purges import messages
from quartzrouter.purges.messages import MalformedMessageError

REPLY_TIMEOUT_SECONDS = 5.0  # long enough for a slow disk and for a takeover
ROUNDS = 2  # how often each address is tried before a request fails
RETRIED_ERRORS = (*CONNECTION_ENDED, MalformedMessageError)


class QueryClient:
    """Sends requests to one purge log of several.

    :param addresses: the addresses of the purge logs; they are tried in turn.
    :param timeout: the seconds to wait for a reply.
    """

    def __init__(self, addresses: Sequence[tuple[str, int]], timeout: float = REPLY_TIMEOUT_SECONDS):
        self.addresses = list(addresses)
        self.timeout = timeout
        self.stream: anyio.abc.ByteStream | None = None
        self.lines: AsyncIterator[bytes] | None = None

    async def ask(self, message: messages.ToPurgeLog) -> messages.FromPurgeLog:
        """Sends a request; if an address fails, sends it again to the next one.

        A purge without an idempotency key may be accepted twice that way.

        :returns: the reply.
        :raises UnreachableError: if no address answers.
        """
        failure = "no address is configured"
        for _ in range(len(self.addresses) * ROUNDS):
            try:
                with anyio.fail_after(self.timeout):
                    return await self._ask_once(message)
            except RETRIED_ERRORS as error:
                host, port = self.addresses[0]
                failure = f"{host}:{port}: {describe_error(error)}"
                await self.close()
                self.addresses.append(self.addresses.pop(0))
        raise UnreachableError(failure)

    async def _ask_once(self, message: messages.ToPurgeLog) -> messages.FromPurgeLog:
        stream = await self.connect()
        await stream.send(messages.encode_line(message))
        return await self.receive()

    async def connect(self) -> anyio.abc.ByteStream:
        """Connects to the first address if there is no connection.

        :returns: the connection.
        """
        if self.stream is None:
            self.stream = await connect(self.addresses[0])
            self.lines = read_lines(self.stream)
        return self.stream

    async def receive(self) -> messages.FromPurgeLog:
        """Returns the next message.

        :raises anyio.EndOfStream: if the purge log has closed the connection.
        """
        line = await anext(self.lines, None) if self.lines else None
        if line is None:
            raise anyio.EndOfStream
        return messages.decode_from_purge_log(line)

    async def ask_all(
        self,
        requests: Sequence[messages.PurgeRequest],
        on_answered: Callable[[int], None] | None = None,
    ) -> list[messages.FromPurgeLog]:
        """Sends purges in pages, without waiting for each reply within a page.

        :param requests: all with idempotency keys, so that a page may be sent again to another purge log.
        :param on_answered: called after each page with the number of its replies.
        :returns: the replies in order.
        :raises UnreachableError: if no address answers.
        """
        replies: list[messages.FromPurgeLog] = []
        for start in range(0, len(requests), messages.MAX_PURGES_PER_LINE):
            first, *rest = requests[start : start + messages.MAX_PURGES_PER_LINE]
            replies.append(await self.ask(first))  # finds a purge log that answers
            try:
                replies += await self._ask_pipelined(rest)
            except RETRIED_ERRORS:
                await self.close()
                replies += [await self.ask(request) for request in rest]
            if on_answered:
                on_answered(1 + len(rest))
        return replies

    async def _ask_pipelined(self, requests: Sequence[messages.PurgeRequest]) -> list[messages.FromPurgeLog]:
        with anyio.fail_after(self.timeout):
            stream = await self.connect()
            await stream.send(b"".join(map(messages.encode_line, requests)))
            return [await self.receive() for _ in requests]

    async def close(self) -> None:
        """Closes the connection; the next request opens another."""
        stream = self.stream
        self.stream = None
        if stream is not None:
            await anyio.aclose_forcefully(stream)
