"""A fake cache that records in the history when each request arrived, and when and how it ended."""

import random
from collections.abc import Callable

import anyio

from quartzrouter.fakes.caches import CONNECTION_LOST
from quartzrouter.fakes.loopback import OK_RESPONSE, Server, with_tag_of_request
from quartzrouter.fault_harness.history import History

HEALTH_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
ERROR_RESPONSE = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"


class CountingCache(Server):
    """A cache whose faults can be set while it runs.

    `error_rate` is the share of requests that it answers with an error. With `is_hanging` it answers none in
    time. With `cancels_abandoned` it gives up a request as soon as the router has closed its connection.

    :param delay: returns the seconds that a request takes, by its path.
    """

    def __init__(self, name: str, history: History, chance: random.Random, delay: Callable[[str], float]):
        self.name, self.history, self.chance, self.delay = name, history, chance, delay
        self.error_rate, self.is_hanging, self.cancels_abandoned = 0.0, False, True

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serves one connection to its end."""
        async with stream:
            data = b""
            try:
                while True:
                    while b"\r\n\r\n" not in data:
                        data += await stream.receive()
                    head, _, data = data.partition(b"\r\n\r\n")
                    if head.startswith(b"GET /alive"):
                        if self.is_hanging:
                            await anyio.sleep(5)
                        await stream.send(HEALTH_RESPONSE)
                        continue
                    data = await self._answer(stream, head, data)
            except CONNECTION_LOST:
                return

    async def _answer(self, stream: anyio.abc.ByteStream, head: bytes, data: bytes) -> bytes:
        """Answers a request after its delay; a router that closes the connection meanwhile cancels it.

        :returns: the data that was received beyond the request.
        """
        path = head.partition(b"X-Path: ")[2].partition(b"\r\n")[0].decode()
        self.history.add("arrive", self.name, path=path)
        outcome = "called off"
        delay = 60.0 if self.is_hanging else self.delay(path)
        try:
            if self.cancels_abandoned:
                with anyio.move_on_after(delay):
                    data += await stream.receive()
            else:
                await anyio.sleep(delay)
            is_error = self.chance.random() < self.error_rate
            await stream.send(ERROR_RESPONSE if is_error else with_tag_of_request(OK_RESPONSE, head))
            outcome = "failed" if is_error else "answered"
        finally:
            self.history.add("leave", self.name, path=path, how=outcome)
        return data
