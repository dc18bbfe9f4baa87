"""Clients of one router: each asks for paths of its own, one after the other, and tells the history."""

import re
from collections.abc import Callable

import anyio

from quartzrouter.fakes.caches import CONNECTION_LOST
from quartzrouter.fakes.loopback import Client
from quartzrouter.fault_harness.history import History

ANSWER = re.compile(r"\d+: Status: (\d+)")
GIVEN_UP = 6.0  # s: longer than any req may take
AGAIN = 0.05  # s until a router that isn't there is tried anew


class LoadGenerator:
    """:param path: what all its paths begin with.
    :param pace: s from an answer, or from when it should have come, to the next req.
    :param awake: whether it asks at all for now.
    """

    def __init__(
        self,
        path: str,
        history: History,
        port: int,
        pace: Callable[[], float],
        awake: Callable[[], bool] = lambda: True,
    ):
        self.path, self.history, self.port, self.pace, self.awake = path, history, port, pace, awake
        self.is_stopping, self.asked = False, 0

    async def run(self) -> None:
        client, due = None, anyio.current_time()
        while not self.is_stopping:
            due = max(
                due + self.pace(), anyio.current_time() - 1
            )  # what was late is caught up, within reason
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            if not self.awake():
                continue
            try:
                if client is None:
                    client = Client(await anyio.connect_tcp("127.0.0.1", self.port))
            except OSError:
                await anyio.sleep(AGAIN)
                continue
            if not await self._ask(client):
                await anyio.aclose_forcefully(client.stream)
                client = None

    async def _ask(self, client: Client) -> bool:
        """Whether the connection goes on."""
        self.asked += 1
        path = f"{self.path}/{self.asked}"
        fields = {"HTTP_X_SUBJECT": None, "HTTP_X_CHUNK": None, "HTTP_X_DEADLINE_MS": None}
        fields["HTTP_X_CORRELATION_ID"] = None
        self.history.add("send", self.path, path=path)
        try:
            await client.send_request(1, path=path, **fields)
            with anyio.fail_after(GIVEN_UP):
                said = await client.receive_response()
        except CONNECTION_LOST:
            said = "closed"
        except TimeoutError:
            return False
        if found := ANSWER.match(said):
            self.history.add("end", self.path, path=path, status=found[1])
            return True
        self.history.add("cut", self.path, path=path)  # its router is gone
        return False
