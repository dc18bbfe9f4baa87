"""Load for one router: a client that sends requests one after the other and records them in the history."""

import re
from collections.abc import Callable

import anyio

from quartzrouter.fakes.caches import CONNECTION_LOST
from quartzrouter.fakes.loopback import Client
from quartzrouter.fault_harness.history import History

RESPONSE = re.compile(r"\d+: Status: (\d+)")
RESPONSE_TIMEOUT = 6.0  # s: longer than any request may take
RECONNECT_DELAY = 0.05  # s until the next attempt to connect to a router that doesn't listen


class LoadGenerator:
    """A client with paths of its own.

    :param path: the prefix of all its paths.
    :param pace: returns the seconds from when one request was due to when the next one is.
    :param has_demand: returns False while no request is to be sent.
    """

    def __init__(
        self,
        path: str,
        history: History,
        port: int,
        pace: Callable[[], float],
        has_demand: Callable[[], bool] = lambda: True,
    ):
        self.path, self.history, self.port, self.pace, self.has_demand = path, history, port, pace, has_demand
        self.is_stopping, self.request_count = False, 0

    async def run(self) -> None:
        """Sends requests until `is_stopping` is set."""
        client, due = None, anyio.current_time()
        while not self.is_stopping:
            # Late requests are caught up, unless they are more than a second late.
            due = max(due + self.pace(), anyio.current_time() - 1)
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            if not self.has_demand():
                continue
            try:
                if client is None:
                    client = Client(await anyio.connect_tcp("127.0.0.1", self.port))
            except OSError:
                await anyio.sleep(RECONNECT_DELAY)
                continue
            if not await self._send_request(client):
                await anyio.aclose_forcefully(client.stream)
                client = None

    async def _send_request(self, client: Client) -> bool:
        """Sends one request and waits for its response; returns False if the connection can't be reused."""
        self.request_count += 1
        path = f"{self.path}/{self.request_count}"
        fields = {"HTTP_X_SUBJECT": None, "HTTP_X_CHUNK": None, "HTTP_X_DEADLINE_MS": None}
        fields["HTTP_X_CORRELATION_ID"] = None
        self.history.add("send", self.path, path=path)
        try:
            await client.send_request(1, path=path, **fields)
            with anyio.fail_after(RESPONSE_TIMEOUT):
                response = await client.receive_response()
        except CONNECTION_LOST:
            response = "closed"
        except TimeoutError:
            return False
        if match := RESPONSE.match(response):
            self.history.add("end", self.path, path=path, status=match[1])
            return True
        self.history.add("cut", self.path, path=path)  # the router closed the connection
        return False
