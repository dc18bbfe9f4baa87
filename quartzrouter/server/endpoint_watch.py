"""Follows the discovery service; each connection resumes after the last event received.

On connecting, the router sends the number of the last event that it received, and gets every later one in
order, with heartbeats between them.  ``discovery_protocol`` decodes the frames.
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

CONNECT_TIMEOUT = 1.0  # seconds; the service is near
SILENCE_TIMEOUT = 2.5  # seconds without a complete frame: two and a half heartbeat intervals
MIN_RECONNECT_DELAY = 0.1  # seconds before the first reconnection; each further delay is twice as long
MAX_RECONNECT_DELAY = 1.0  # seconds; purges and drained endpoints may not wait longer
RECONNECT_JITTER = (0.5, 1.0)  # factor of the delay, so that a fleet's routers don't reconnect all at once
SEQUENCE_SIZE = 8  # bytes of the sequence number that is sent on connecting, big-endian


class EndpointWatch:
    """Follows the discovery service at an address that may change.

    :param address: host and port.
    :param last_sequence: the number of the last event received.
    :param on_event: called with each later event, in order.
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
        self._scope: anyio.CancelScope | None = None  # of the connection, or of the delay before the next

    def move(self, address: tuple[str, int]) -> None:
        """Switches to the service at another address.

        Guards against a mix of the two services' events: what was read from the old connection but not yet
        handled is dropped with it, and the same events are requested on the new one.
        """
        self.address = address
        self._reconnect_delay = MIN_RECONNECT_DELAY
        if self._scope:
            self._scope.cancel()

    async def follow(self) -> None:
        """Reads events until it is cancelled; reconnects when a connection fails."""
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

        Guards against a service that hangs: only complete frames extend the timeout, as a part of a frame
        that arrives slowly shows no more than silence.

        :raises TimeoutError: if no complete frame has arrived for ``SILENCE_TIMEOUT``.
        """
        with anyio.fail_after(SILENCE_TIMEOUT) as silence:
            await stream.send(self.last_sequence.to_bytes(SEQUENCE_SIZE, "big"))
            buffer = RingBuffer(RECEIVE_BUFFER_SIZE)
            while True:
                buffer.put(await stream.receive(buffer.free))
                while (frame := discovery_protocol.take_frame(buffer)) is not None:
                    silence.deadline = anyio.current_time() + SILENCE_TIMEOUT
                    self._handle_frame(frame)

    def _handle_frame(self, frame: Frame) -> None:
        event = discovery_protocol.decode_frame(frame, self.last_sequence, self.settings)
        self.last_sequence = max(self.last_sequence, frame.sequence)
        self._reconnect_delay = MIN_RECONNECT_DELAY
        if event is not None:
            self.on_event(event)
