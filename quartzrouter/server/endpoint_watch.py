"""Follows the discovery service: a connection that always resumes after the last event held.

On connecting, the router sends the number of the last event that it holds, and gets every later one in order,
with heartbeats between them.  What the bytes mean is said in ``discovery_protocol``.
"""

import random
from collections.abc import Callable

import anyio

from quartzrouter.deployment_settings import DeploymentSettings
from quartzrouter.server import discovery_protocol
from quartzrouter.server.attempt_failure import CONNECTION_ERRORS
from quartzrouter.server.discovery_protocol import RECEIVE_BUFFER_SIZE, Frame, MalformedFrameError, WatchEvent
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.ring_buffer import RingBuffer
from quartzrouter.server.stream import Stream, connect

CONNECT_TIMEOUT = 1.0  # s: the service is near
SILENCE_TIMEOUT = 2.5  # s without a whole frame: two heartbeats and a half have not come
MIN_RECONNECT_DELAY = 0.1  # s until it reconnects at first, ...
MAX_RECONNECT_DELAY = 1.0  # ... doubling to this: purges and drained endpoints may not wait longer
RECONNECT_JITTER = (0.5, 1.0)  # share of the delay, so that the routers of a fleet don't reconnect at once
SEQUENCE_SIZE = 8  # bytes of the number that is sent on connecting, big-endian


class EndpointWatch:
    """Follows the discovery service at an address that may change.

    :param address: host and port.
    :param last_sequence: the number of the last event held.
    :param on_event: is called with each later event, in order.
    """

    def __init__(
        self,
        address: tuple[str, int],
        last_sequence: int,
        settings: DeploymentSettings,
        on_event: Callable[[WatchEvent], None],
        log: RateLimitedLog,
    ):
        self.address = address
        self.last_sequence = last_sequence
        self.settings = settings
        self.on_event = on_event
        self.log = log
        self._reconnect_delay = MIN_RECONNECT_DELAY
        self._scope: anyio.CancelScope | None = None  # of the connection, or of the wait for the next one

    def move(self, address: tuple[str, int]) -> None:
        """Follows the service at another address from now on.

        Guards against a mix of the two: what the old connection has read but not fed yet is given up with
        it, and the new one is asked for the same events.
        """
        self.address = address
        self._reconnect_delay = MIN_RECONNECT_DELAY
        if self._scope:
            self._scope.cancel()

    async def follow(self) -> None:
        """Feeds every later event until it is cancelled; a connection that fails is made again."""
        while True:
            with anyio.CancelScope() as scope:
                self._scope = scope
                try:
                    await self._connect_and_read()
                except (*CONNECTION_ERRORS, MalformedFrameError) as error:
                    reason = f"{type(error).__name__} {error}"
                    self.log.say("discovery", f"{reason} after event {self.last_sequence}, reconnecting")
                await anyio.sleep(self._reconnect_delay * random.uniform(*RECONNECT_JITTER))
                self._reconnect_delay = min(MAX_RECONNECT_DELAY, self._reconnect_delay * 2)

    async def _connect_and_read(self) -> None:
        with anyio.fail_after(CONNECT_TIMEOUT):
            stream = await connect(self.address)
        try:
            await self._read_events(stream)
        finally:
            stream.close()

    async def _read_events(self, stream: Stream) -> None:
        """Reads frames until the connection ends.

        Guards against a service that hangs: whole frames put the end of the wait off, bytes don't, as half a
        frame that trickles in tells no more than silence.

        :raises TimeoutError: where no whole frame has come for ``SILENCE_TIMEOUT``.
        """
        with anyio.fail_after(SILENCE_TIMEOUT) as silence:
            await stream.send(self.last_sequence.to_bytes(SEQUENCE_SIZE, "big"))
            buffer = RingBuffer(RECEIVE_BUFFER_SIZE)
            while True:
                buffer.put(await stream.receive(buffer.free))
                while (frame := discovery_protocol.take_frame(buffer)) is not None:
                    silence.deadline = anyio.current_time() + SILENCE_TIMEOUT
                    self._take(frame)

    def _take(self, frame: Frame) -> None:
        event = discovery_protocol.decode_frame(frame, self.last_sequence, self.settings)
        self.last_sequence = max(self.last_sequence, frame.sequence)
        self._reconnect_delay = MIN_RECONNECT_DELAY
        if event is not None:
            self.on_event(event)
