"""Caches that tell the history what really arrived, when, and when it was over."""

import random
from collections.abc import Callable

import anyio

from quartzrouter.fakes.caches import CONNECTION_LOST
from quartzrouter.fakes.loopback import OK_RESPONSE, Server, with_tag_of_request
from quartzrouter.fault_harness.history import History

ALIVE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
LOST_ANSWER = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"


class CountingCache(Server):
    """:param delay: s that a req takes, by its path.

    `error_rate` is the share of reqs that it answers with an error, `hangs` whether it answers none,
    `cancels_abandoned` whether it gives up a req whose router has hung up.
    """

    def __init__(self, name: str, history: History, chance: random.Random, delay: Callable[[str], float]):
        self.name, self.history, self.chance, self.delay = name, history, chance, delay
        self.error_rate, self.hangs, self.cancels_abandoned = 0.0, False, True

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        async with stream:
            data = b""
            try:
                while True:
                    while b"\r\n\r\n" not in data:
                        data += await stream.receive()
                    head, _, data = data.partition(b"\r\n\r\n")
                    if head.startswith(b"GET /alive"):
                        if self.hangs:
                            await anyio.sleep(5)
                        await stream.send(ALIVE)
                        continue
                    data = await self._answer(stream, head, data)
            except CONNECTION_LOST:
                return

    async def _answer(self, stream: anyio.abc.ByteStream, head: bytes, data: bytes) -> bytes:
        """Answers after a while; a router that hangs up meanwhile has called the req off."""
        path = head.partition(b"X-Path: ")[2].partition(b"\r\n")[0].decode()
        self.history.add("arrive", self.name, path=path)
        how = "called off"
        delay = 60.0 if self.hangs else self.delay(path)
        try:
            if self.cancels_abandoned:
                with anyio.move_on_after(delay):
                    data += await stream.receive()
            else:
                await anyio.sleep(delay)
            wrong = self.chance.random() < self.error_rate
            await stream.send(LOST_ANSWER if wrong else with_tag_of_request(OK_RESPONSE, head))
            how = "failed" if wrong else "answered"
        finally:
            self.history.add("leave", self.name, path=path, how=how)
        return data
