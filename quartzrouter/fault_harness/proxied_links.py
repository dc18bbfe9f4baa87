"""TCP proxies on loopback that block, delay or reset connections, and lose, double or swap lines."""

import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import anyio

from quartzrouter.fakes.caches import CONNECTION_LOST
from quartzrouter.purge_log.line_connection import read_lines

BLOCKED_POLL_INTERVAL = 0.005  # seconds between checks of whether a blocked direction is open again
MAX_RECEIVE_BYTES = 1 << 16
MAX_CHUNKS_IN_TRANSIT = 4_096  # per connection and direction


@dataclass
class LinkDirection:
    """One direction of a link, and its faults.

    :param is_blocked: nothing passes, and neither side is notified of it.
    :param delay: seconds by which each line is delayed.
    :param fault_rate: the share of lines that are lost, doubled or swapped with the next one.
    :param fault_kinds: which of these happen.
    :param fault_count: lines to which it has happened.
    """

    is_blocked: bool = False
    delay: float = 0.0
    fault_rate: float = 0.0
    fault_kinds: tuple[str, ...] = ("lose", "double", "swap")
    fault_count: int = 0


class ProxiedLink:
    """A link from clients to one server; its faults affect all connections alike.

    :param server_address: host and port that connections are forwarded to.
    :param is_line_based: lines are forwarded, with faults of single lines; otherwise bytes.
    :param tap: is called with each chunk when it arrives from a client (False), and when it is sent to one
        (True).
    """

    def __init__(
        self,
        server_address: tuple[str, int],
        chance: random.Random,
        is_line_based: bool = True,
        tap: Callable[[bool, bytes], None] = lambda down, chunk: None,
    ):
        self.server_address, self.chance, self.is_line_based, self.tap = (
            server_address,
            chance,
            is_line_based,
            tap,
        )
        self.up, self.down = LinkDirection(), LinkDirection()  # to the server, to the client
        self.connections: set[anyio.CancelScope] = set()
        self.port = 0

    @property
    def directions(self) -> tuple[LinkDirection, LinkDirection]:
        """Both directions: to the server, and to the client."""
        return self.up, self.down

    @property
    def fault_count(self) -> int:
        """Lines that were lost, doubled or swapped in both directions."""
        return self.up.fault_count + self.down.fault_count

    def block(self, is_blocked: bool = True) -> None:
        """Blocks both directions, or opens them again."""
        for direction in self.directions:
            direction.is_blocked = is_blocked

    def restore(self) -> None:
        """Ends all faults of both directions."""
        for direction in self.directions:
            direction.is_blocked, direction.delay, direction.fault_rate = False, 0.0, 0.0

    def reset(self) -> None:
        """Closes all connections."""
        for scope in list(self.connections):
            scope.cancel()

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Listens at a free port, which it sets."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self._serve)

    async def _serve(self, client: anyio.abc.ByteStream) -> None:
        scope = anyio.CancelScope()
        self.connections.add(scope)
        try:
            with scope:
                await self._forward_connection(client)
        except* CONNECTION_LOST:
            pass
        finally:
            self.connections.discard(scope)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(client)

    async def _forward_connection(self, client: anyio.abc.ByteStream) -> None:
        await _wait_until_open(self.up)  # nothing reaches the server, so no connection is made
        async with (
            await anyio.connect_tcp(*self.server_address) as server,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._forward, client, server, self.up, tasks.cancel_scope)
            await self._forward(server, client, self.down, tasks.cancel_scope)

    async def _forward(self, source, sink, direction: LinkDirection, scope: anyio.CancelScope) -> None:
        """Forwards one direction: each chunk after its own delay, in order; delays don't add up."""
        give, take = anyio.create_memory_object_stream(MAX_CHUNKS_IN_TRANSIT)

        async def read() -> None:
            async with give:
                async for chunk in self._chunks(source, direction):
                    if direction is self.up:
                        self.tap(False, chunk)
                    await give.send((anyio.current_time() + direction.delay, chunk))

        try:
            async with anyio.create_task_group() as tasks, take:
                tasks.start_soon(read)
                async for due, chunk in take:
                    await anyio.sleep(max(0.0, due - anyio.current_time()))
                    await _wait_until_open(direction)
                    if direction is self.down:
                        self.tap(True, chunk)
                    await sink.send(chunk)
                tasks.cancel_scope.cancel()
        except* CONNECTION_LOST:
            pass
        scope.cancel()

    async def _chunks(self, source, direction: LinkDirection) -> AsyncIterator[bytes]:
        """Yields what one side sends, with lines lost, doubled or swapped."""
        if not self.is_line_based:
            while True:
                yield await source.receive(MAX_RECEIVE_BYTES)
        swapped: bytes | None = None
        async for line in read_lines(source):
            lines = [line]
            if direction.fault_rate and self.chance.random() < direction.fault_rate:
                direction.fault_count += 1
                fault_kind = self.chance.choice(direction.fault_kinds)
                lines = [] if fault_kind == "lose" else [line, line] if fault_kind == "double" else []
                if fault_kind == "swap":
                    swapped = line
                    continue
            if swapped is not None:
                lines, swapped = [*lines, swapped], None
            for each in lines:
                yield each + b"\n"


async def _wait_until_open(direction: LinkDirection) -> None:
    while direction.is_blocked:
        await anyio.sleep(BLOCKED_POLL_INTERVAL)
