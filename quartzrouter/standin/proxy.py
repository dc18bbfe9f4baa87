"""A proxy on loopback that misbehaves between a member and its ledger."""

import random

import anyio

from quartzrouter.ledger.wire import lines
from quartzrouter.standin.boxes import LOST


class Proxy:
    """:param to: the address behind it.

    `spoil` is the share of lines from the ledger that are lost, doubled or swapped.
    `late` the s by which each of them is late, and `held` stops all without a word.
    """

    def __init__(self, to: tuple[str, int], chance: random.Random):
        self.to, self.chance = to, chance
        self.spoil = self.late = 0.0
        self.held = False  # nothing passes, and nobody is told
        self.spoilt = 0
        self.port = 0

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self._serve)

    async def _serve(self, client: anyio.abc.ByteStream) -> None:
        try:
            async with (
                client,
                await anyio.connect_tcp(*self.to) as ledger,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(self._up, client, ledger, tasks)
                await self._down(ledger, client)
                tasks.cancel_scope.cancel()
        except* LOST:
            pass

    async def _open(self) -> None:
        while self.held:
            await anyio.sleep(0.01)

    async def _up(self, client, ledger, tasks) -> None:
        try:
            while True:
                data = await client.receive()
                await self._open()
                await ledger.send(data)
        except LOST:
            tasks.cancel_scope.cancel()

    async def _down(self, ledger, client) -> None:
        kept: bytes | None = None
        async for line in lines(ledger):
            await self._open()
            if self.late:
                await anyio.sleep(self.late)
            out = [line]
            if self.spoil and self.chance.random() < self.spoil:
                self.spoilt += 1
                what = self.chance.choice(("lose", "double", "swap"))
                out = [] if what == "lose" else [line, line] if what == "double" else []
                if what == "swap":
                    kept = line
                    continue
            if kept is not None:
                out, kept = [*out, kept], None
            for each in out:
                await client.send(each + b"\n")
