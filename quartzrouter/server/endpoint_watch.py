"""The journal service: what `known` and frames say, and a connection that comes back from the last number."""

import random
import struct
from collections.abc import Callable

import anyio

from quartzrouter.configuration import DeploymentSettings, Section, address
from quartzrouter.routing.model import Endpoint, EndpointState
from quartzrouter.server.attempt_failure import CONNECTION_LOST
from quartzrouter.server.events import EndpointUpdate, PurgeNotice
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.ring_buffer import RingBuffer
from quartzrouter.server.stream import connect

MS = 1_000
NOTHING, WHOLE, CHANGES, OBJECT, GROUP = range(5)
HEAD = struct.Struct(">IQB")
LINE = struct.Struct(">IIHBBBHIQ")
RING = 1 << 16  # bytes; a list of 2,400 lines
LENGTH_MOST = RING - 4
CONNECT_WITHIN = 1.0  # s: the service is near
SILENT_AFTER = 2.5  # s without a whole frame: two empty ones and a half have not come
PAUSE, PAUSE_MOST = 0.1, 1.0  # s until it connects anew at first, and at most: news may not wait longer
STATES = {"SERVING": EndpointState.UP, "DRAINING": EndpointState.DRAINING, "DELETED": EndpointState.GONE}
BY_NUMBER = (EndpointState.UP, EndpointState.DRAINING, EndpointState.GONE)


class MalformedFrame(Exception):
    """Bytes that no journal service writes; stops at the connection."""


def initial_snapshot(
    entries: list[Section], briefing: DeploymentSettings
) -> list[EndpointUpdate | PurgeNotice]:
    """The events present at start; kinds that are not known here are passed over."""
    found: list[EndpointUpdate | PurgeNotice] = []
    for entry in entries:
        if "hosts" in entry.told:
            hosts, lines, addresses = entry.part("hosts"), [], {}
            for host in hosts.parts("members"):
                name, kind = host.need("id", str), host.need("flavor", str)
                addresses[name] = address(host.need("host_port", str), host.key("host_port"))
                state = STATES.get(host.need("phase", str), EndpointState.DRAINING)
                lines.append(
                    Endpoint(
                        name,
                        host.need("locality", str),
                        briefing.tier(kind),
                        kind,
                        host.count("cell"),
                        state,
                        host.figure("size", 1.0),
                        host.count("up_since_ms") * MS,
                    )
                )
            found.append(EndpointUpdate(lines, addresses, hosts.may("complete", False, bool)))
        elif "expire" in entry.told:
            purge = entry.part("expire")
            when, obj = purge.need("stamp", int, least=0) * MS, purge.may("name", "", str).lower() or None
            found.append(PurgeNotice(None if obj else purge.need("set", int, least=0), obj, when))
    return found


def next_frame(ring: RingBuffer) -> tuple[int, int, bytes] | None:
    """Number, kind and payload of the next whole frame, or None until there is one."""
    if len(ring) < HEAD.size:
        return None
    length, number, kind = HEAD.unpack(ring.peek(HEAD.size))
    if not 9 <= length <= LENGTH_MOST:
        raise MalformedFrame(f"a frame of {length} bytes")
    if len(ring) < 4 + length:
        return None
    ring.drop(HEAD.size)
    return number, kind, ring.take(length - 9)


def frame(
    held: int, number: int, kind: int, payload: bytes, briefing: DeploymentSettings
) -> EndpointUpdate | PurgeNotice | None:
    """What a frame says, given the number of the last event held."""
    if number <= held:  # told before
        return None
    if kind == NOTHING or number != held + 1:
        raise MalformedFrame(f"frame {number} of kind {kind} after {held}")
    if kind in (WHOLE, CHANGES) and len(payload) % LINE.size == 0:
        return _lines(payload, kind == WHOLE, briefing)
    if kind == OBJECT and len(payload) == 16:
        return PurgeNotice(None, payload[:8].hex(), int.from_bytes(payload[8:], "big") * MS)
    if kind == GROUP and len(payload) == 10:
        return PurgeNotice(int.from_bytes(payload[:2], "big"), None, int.from_bytes(payload[2:], "big") * MS)
    raise MalformedFrame(f"frame {number} of kind {kind} with {len(payload)} bytes")


def _lines(payload: bytes, whole: bool, briefing: DeploymentSettings) -> EndpointUpdate:
    lines, addresses = [], {}
    for id, host, port, state, zone, model, cell, weight, started in LINE.iter_unpack(payload):
        if state >= len(BY_NUMBER) or zone >= len(briefing.zones) or model >= len(briefing.models):
            raise MalformedFrame(f"a line with state {state}, zone {zone}, kind {model}")
        name, kind = f"s-{id:08x}", briefing.models[model]
        addresses[name] = (".".join(str(byte) for byte in host.to_bytes(4, "big")), port)
        lines.append(
            Endpoint(
                name,
                briefing.zones[zone],
                briefing.tier(kind),
                kind,
                cell,
                BY_NUMBER[state],
                weight / 1000,
                started * MS,
            )
        )
    return EndpointUpdate(lines, addresses, whole)


class EndpointWatch:
    """Follows the journal service, wherever it is said to be, from the last number held."""

    def __init__(
        self,
        at: tuple[str, int],
        held: int,
        briefing: DeploymentSettings,
        feed: Callable[[EndpointUpdate | PurgeNotice], None],
        report: RateLimitedLog,
    ):
        self.at, self.held, self.briefing, self.feed, self.report = at, held, briefing, feed, report
        self.pause, self.scope = PAUSE, None

    def move(self, at: tuple[str, int]) -> None:
        """What was heard of the old address is left; the new one is asked at once."""
        self.at, self.pause = at, PAUSE
        if self.scope:
            self.scope.cancel()

    async def follow(self) -> None:
        """Feeds every later event, in order, for as long as it is left to run."""
        while True:
            with anyio.CancelScope() as self.scope:
                try:
                    await self._listen()
                except (*CONNECTION_LOST, MalformedFrame) as error:
                    fault = f"{type(error).__name__} {error} after event {self.held}, connecting anew"
                    self.report.say("journal", fault)
                await anyio.sleep(self.pause * random.uniform(0.5, 1.0))
                self.pause = min(PAUSE_MOST, self.pause * 2)

    async def _listen(self) -> None:
        with anyio.fail_after(CONNECT_WITHIN):
            stream = await connect(self.at)
        try:
            # whole frames count, not bytes: half a frame that trickles in tells no more than silence
            with anyio.fail_after(SILENT_AFTER) as silence:
                await stream.send(self.held.to_bytes(8, "big"))
                ring = RingBuffer(RING)
                while True:
                    ring.put(await stream.receive(ring.free))
                    while (found := next_frame(ring)) is not None:
                        silence.deadline = anyio.current_time() + SILENT_AFTER
                        said = frame(self.held, *found, self.briefing)
                        self.held, self.pause = max(self.held, found[0]), PAUSE
                        if said is not None:
                            self.feed(said)
        finally:
            stream.close()
