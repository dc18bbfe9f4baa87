"""Lines over a connection, each of a bounded length, and the dialogue of a client with a ledger."""

from collections.abc import AsyncIterator, Callable, Sequence

import anyio

from quartzrouter.purges import messages
from quartzrouter.purges.messages import LINE_MOST, MalformedMessage
from quartzrouter.server.attempt_failure import CONNECTION_LOST

CONNECT_WITHIN = 1.0  # s
ANSWER_WITHIN = 5.0  # s: a disk that is slow, and a ledger that takes over
READ = 1 << 16  # bytes at once


async def lines(stream: anyio.abc.ByteStream) -> AsyncIterator[bytes]:
    """Each line without its end; ends with the stream.  Raises Unreadable for one that is too long."""
    held = bytearray()
    while True:
        try:
            held += await stream.receive(READ)
        except anyio.EndOfStream:
            return
        *whole, rest = held.split(b"\n")
        for line in whole:
            yield bytes(line)
        held = bytearray(rest)
        if len(held) > LINE_MOST:
            raise MalformedMessage(f"a line of more than {LINE_MOST} bytes")


async def connect(address: tuple[str, int]) -> anyio.abc.SocketStream:
    """Raises OSError or TimeoutError."""
    try:
        with anyio.fail_after(CONNECT_WITHIN):
            return await anyio.connect_tcp(*address)
    except AttributeError:  # what the loop's stream raises where the other side has reset it already
        raise ConnectionResetError("gone at once") from None


class Unreachable(Exception):
    """No ledger answers at any address."""


class QueryClient:
    """Asks one ledger of several, one question at a time.

    :param addresses: tried in turn.
    """

    def __init__(self, addresses: Sequence[tuple[str, int]], within: float = ANSWER_WITHIN):
        self.addresses, self.within = list(addresses), within
        self.stream: anyio.abc.ByteStream | None = None
        self.lines: AsyncIterator[bytes] | None = None

    async def ask(self, said: messages.ToPurgeLog) -> messages.FromPurgeLog:
        """The answer; raises Unreachable.  A purge without a key may be taken twice if it is asked again."""
        why = "no address is named"
        for _ in range(len(self.addresses) * 2):
            try:
                with anyio.fail_after(self.within):
                    return await self._ask(said)
            except (*CONNECTION_LOST, TimeoutError, MalformedMessage) as error:
                host, port = self.addresses[0]
                why = f"{host}:{port}: {str(error) or type(error).__name__}"
                await self.close()
                self.addresses.append(self.addresses.pop(0))
        raise Unreachable(why)

    async def _ask(self, said: messages.ToPurgeLog) -> messages.FromPurgeLog:
        await self.connect()
        await self.stream.send(messages.encode_line(said))
        return await self.next()

    async def connect(self) -> None:
        if self.stream is None:
            self.stream = await connect(self.addresses[0])
            self.lines = lines(self.stream)

    async def next(self) -> messages.FromPurgeLog:
        async for line in self.lines:
            return messages.decode_from_purge_log(line)
        raise anyio.EndOfStream

    async def ask_all(
        self, many: Sequence[messages.PurgeRequest], seen: Callable[[int], None] = lambda n: None
    ) -> list:
        """Sends purges, a page at a time without waiting for each; gives the answers in order.

        All have keys, so that a page may be sent again elsewhere.  Raises Unreachable.
        """
        answers: list[messages.FromPurgeLog] = []
        for at in range(0, len(many), messages.PAGE):
            page = many[at : at + messages.PAGE]
            answers.append(await self.ask(page[0]))  # which finds a ledger that answers
            try:
                with anyio.fail_after(self.within):
                    await self.stream.send(b"".join(map(messages.encode_line, page[1:])))
                    found = [await self.next() for _ in page[1:]]
            except (*CONNECTION_LOST, TimeoutError, MalformedMessage):
                await self.close()
                found = [await self.ask(each) for each in page[1:]]
            answers += found
            seen(len(page))
        return answers

    async def close(self) -> None:
        if self.stream is not None:
            stream, self.stream = self.stream, None
            await anyio.aclose_forcefully(stream)
