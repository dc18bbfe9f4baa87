"""Links on loopback that misbehave, each way by itself: held, late, reset; lines lost, doubled, swapped."""

import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import anyio

from quartzrouter.fakes.caches import CONNECTION_LOST
from quartzrouter.purge_log.line_connection import read_lines

LOOK_EVERY = 0.005  # s between looks whether a held way is open again
READ = 1 << 16
UNDER_WAY = 4_096  # pieces of a connection and way


@dataclass
class LinkDirection:
    """One direction.

    :param is_blocked: nothing passes, and nobody is told.
    :param delay: s by which each line is late.
    :param fault_rate: the share of lines that are lost, doubled or swapped with the next, as `fault_kinds`
        says.
    """

    is_blocked: bool = False
    delay: float = 0.0
    fault_rate: float = 0.0
    fault_kinds: tuple[str, ...] = ("lose", "double", "swap")
    fault_count: int = 0


class ProxiedLink:
    """From a client to a server, the same for all its connections.

    :param to: the server's address.
    :param is_line_based: what passes is lines, which can be spoilt one by one; else bytes.
    :param tap: is told of each piece as it comes from a client, and as it goes to one: then with True.
    """

    def __init__(
        self,
        to: tuple[str, int],
        chance: random.Random,
        is_line_based: bool = True,
        tap: Callable[[bool, bytes], None] = lambda down, piece: None,
    ):
        self.to, self.chance, self.is_line_based, self.tap = to, chance, is_line_based, tap
        self.up, self.down = LinkDirection(), LinkDirection()  # to the server, to the client
        self.open: set[anyio.CancelScope] = set()
        self.port = 0

    @property
    def directions(self) -> tuple[LinkDirection, LinkDirection]:
        return self.up, self.down

    @property
    def fault_count(self) -> int:
        return self.up.fault_count + self.down.fault_count

    def block(self, is_blocked: bool = True) -> None:
        for way in self.directions:
            way.is_blocked = is_blocked

    def restore(self) -> None:
        for way in self.directions:
            way.is_blocked, way.delay, way.fault_rate = False, 0.0, 0.0

    def reset(self) -> None:
        """All its connections end."""
        for scope in list(self.open):
            scope.cancel()

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self._serve)

    async def _serve(self, client: anyio.abc.ByteStream) -> None:
        scope = anyio.CancelScope()
        self.open.add(scope)
        try:
            with scope:
                await self._pass(client)
        except* CONNECTION_LOST:
            pass
        finally:
            self.open.discard(scope)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(client)

    async def _pass(self, client: anyio.abc.ByteStream) -> None:
        await _opened(self.up)  # where nothing gets there, no connection does
        async with (
            await anyio.connect_tcp(*self.to) as server,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._carry, client, server, self.up, tasks.cancel_scope)
            await self._carry(server, client, self.down, tasks.cancel_scope)

    async def _carry(self, source, sink, way: LinkDirection, scope: anyio.CancelScope) -> None:
        """What is late is under way together: each piece by its own time, none ahead of another."""
        give, take = anyio.create_memory_object_stream(UNDER_WAY)

        async def read() -> None:
            async with give:
                async for piece in self._pieces(source, way):
                    if way is self.up:
                        self.tap(False, piece)
                    await give.send((anyio.current_time() + way.delay, piece))

        try:
            async with anyio.create_task_group() as tasks, take:
                tasks.start_soon(read)
                async for due, piece in take:
                    await anyio.sleep(max(0.0, due - anyio.current_time()))
                    await _opened(way)
                    if way is self.down:
                        self.tap(True, piece)
                    await sink.send(piece)
                tasks.cancel_scope.cancel()
        except* CONNECTION_LOST:
            pass
        scope.cancel()

    async def _pieces(self, source, way: LinkDirection) -> AsyncIterator[bytes]:
        """What comes from one side, spoilt."""
        if not self.is_line_based:
            while True:
                yield await source.receive(READ)
        kept: bytes | None = None
        async for line in read_lines(source):
            out = [line]
            if way.fault_rate and self.chance.random() < way.fault_rate:
                way.fault_count += 1
                what = self.chance.choice(way.fault_kinds)
                out = [] if what == "lose" else [line, line] if what == "double" else []
                if what == "swap":
                    kept = line
                    continue
            if kept is not None:
                out, kept = [*out, kept], None
            for each in out:
                yield each + b"\n"


async def _opened(way: LinkDirection) -> None:
    while way.is_blocked:
        await anyio.sleep(LOOK_EVERY)
