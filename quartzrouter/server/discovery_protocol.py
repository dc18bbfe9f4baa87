"""Decoding of the discovery service's data: initial events from the configuration, and its frames.

The platform's documentation calls it the journal service.  It numbers its events.  Each is a snapshot of the
endpoint list, a change of it, or a purge.  Only this module translates its field names to the router's.  It
does no I/O.

A frame is big-endian: a length of 4 bytes that counts what follows, a sequence number of 8 bytes, a kind of
1 byte, and the payload.  An empty frame of kind ``HEARTBEAT`` shows that the service is alive.
"""

import struct
from typing import NamedTuple

from quartzrouter.configuration_section import ConfigurationSection, parse_address
from quartzrouter.deployment_settings import DeploymentSettings
from quartzrouter.routing.model import Endpoint, EndpointState
from quartzrouter.server.errors import ServerError
from quartzrouter.server.events import EndpointUpdate, PurgeNotice
from quartzrouter.server.ring_buffer import RingBuffer

MICROSECONDS_PER_MS = 1_000

# Kinds of frames.
HEARTBEAT = 0
ENDPOINT_SNAPSHOT = 1
ENDPOINT_CHANGES = 2
PURGE_OF_OBJECT = 3
PURGE_OF_TAG = 4

FRAME_HEAD = struct.Struct(">IQB")  # length, sequence number, kind
LENGTH_SIZE = 4  # bytes of the length field, which doesn't count itself
HEAD_SIZE_COUNTED = FRAME_HEAD.size - LENGTH_SIZE  # bytes of the head that the length counts
# Id, IPv4 address, port, state, zone, machine type, cell, capacity rating in thousandths, start time in
# milliseconds.
ENDPOINT_RECORD = struct.Struct(">IIHBBBHIQ")
CAPACITY_RATING_SCALE = 1_000
OBJECT_KEY_SIZE = 8  # bytes of the object key in a purge notice
TAG_SIZE = 2  # bytes of the tag in a purge notice
PURGE_TIME_SIZE = 8  # bytes of the time of a purge, which is in milliseconds since the epoch

RECEIVE_BUFFER_SIZE = 1 << 16  # bytes, enough for a snapshot of 2,400 endpoints
MAX_FRAME_LENGTH = RECEIVE_BUFFER_SIZE - LENGTH_SIZE

STATES_BY_NAME = {
    "SERVING": EndpointState.UP,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
STATES_BY_NUMBER = (EndpointState.UP, EndpointState.DRAINING, EndpointState.GONE)

WatchEvent = EndpointUpdate | PurgeNotice


class MalformedFrameError(ServerError):
    """Bytes that violate the discovery protocol; the connection is closed."""


class Frame(NamedTuple):
    """A received frame.

    :param sequence: the number of its event; in a heartbeat, that of the last event.
    """

    sequence: int
    kind: int
    payload: bytes


# -- initial events --------------------------------------------------------------------------------


def initial_events(entries: list[ConfigurationSection], settings: DeploymentSettings) -> list[WatchEvent]:
    """Returns the events that the configuration contains; entries of unknown kinds are ignored.

    :raises ConfigurationError: if an entry is invalid.
    """
    events: list[WatchEvent] = []
    for entry in entries:
        if "hosts" in entry.values:
            events.append(_initial_endpoints(entry.subsection("hosts"), settings))
        elif "expire" in entry.values:
            events.append(_initial_purge(entry.subsection("expire")))
    return events


def _initial_endpoints(section: ConfigurationSection, settings: DeploymentSettings) -> EndpointUpdate:
    endpoints = []
    addresses = {}
    for member in section.subsections("members"):
        name = member.required("id", str)
        machine_type = member.required("flavor", str)
        host_port = member.required("host_port", str)
        addresses[name] = parse_address(host_port, member.path_of("host_port"))
        state = STATES_BY_NAME.get(member.required("phase", str), EndpointState.DRAINING)
        endpoint = Endpoint(
            name=name,
            location=member.required("locality", str),
            tier=settings.tier(machine_type),
            machine_type=machine_type,
            cell=member.integer("cell"),
            state=state,
            capacity_rating=member.number("size", 1.0),
            started_at=member.integer("up_since_ms") * MICROSECONDS_PER_MS,
        )
        endpoints.append(endpoint)
    return EndpointUpdate(endpoints, addresses, section.boolean("complete"))


def _initial_purge(section: ConfigurationSection) -> PurgeNotice:
    purged_at = section.required("stamp", int, minimum=0) * MICROSECONDS_PER_MS
    object_key = section.text("name").lower()
    if object_key:
        return PurgeNotice(None, object_key, purged_at)
    return PurgeNotice(section.required("set", int, minimum=0), None, purged_at)


# -- frames ----------------------------------------------------------------------------------------


def take_frame(buffer: RingBuffer) -> Frame | None:
    """Removes and returns the next frame of a receive buffer.

    :returns: None if the frame is still incomplete.
    :raises MalformedFrameError: if no frame can have its length.
    """
    if len(buffer) < FRAME_HEAD.size:
        return None
    length, sequence, kind = FRAME_HEAD.unpack(buffer.peek(FRAME_HEAD.size))
    if not HEAD_SIZE_COUNTED <= length <= MAX_FRAME_LENGTH:
        raise MalformedFrameError(f"frame length {length} is out of range")
    if len(buffer) < LENGTH_SIZE + length:
        return None
    buffer.drop(FRAME_HEAD.size)
    return Frame(sequence, kind, buffer.take(length - HEAD_SIZE_COUNTED))


def decode_frame(frame: Frame, last_sequence: int, settings: DeploymentSettings) -> WatchEvent | None:
    """Returns the event that a frame contains.

    :param last_sequence: the number of the last event received.
    :returns: None for a heartbeat, and for an event that was received before.
    :raises MalformedFrameError: if the frame is invalid, or an event between the two is missing.
    """
    sequence, kind, payload = frame
    if sequence <= last_sequence:
        return None
    if kind == HEARTBEAT or sequence != last_sequence + 1:
        raise MalformedFrameError(f"frame {sequence} of kind {kind} after {last_sequence}")
    if kind in (ENDPOINT_SNAPSHOT, ENDPOINT_CHANGES) and len(payload) % ENDPOINT_RECORD.size == 0:
        return _decode_endpoints(payload, kind == ENDPOINT_SNAPSHOT, settings)
    if kind == PURGE_OF_OBJECT and len(payload) == OBJECT_KEY_SIZE + PURGE_TIME_SIZE:
        object_key = payload[:OBJECT_KEY_SIZE].hex()
        return PurgeNotice(None, object_key, _decode_time(payload[OBJECT_KEY_SIZE:]))
    if kind == PURGE_OF_TAG and len(payload) == TAG_SIZE + PURGE_TIME_SIZE:
        tag = int.from_bytes(payload[:TAG_SIZE], "big")
        return PurgeNotice(tag, None, _decode_time(payload[TAG_SIZE:]))
    raise MalformedFrameError(f"frame {sequence} of kind {kind} with {len(payload)} bytes")


def _decode_time(data: bytes) -> int:
    """Returns a time in microseconds since the epoch."""
    return int.from_bytes(data, "big") * MICROSECONDS_PER_MS


def _decode_endpoints(payload: bytes, is_snapshot: bool, settings: DeploymentSettings) -> EndpointUpdate:
    endpoints = []
    addresses = {}
    for record in ENDPOINT_RECORD.iter_unpack(payload):
        number, ip, port, state, zone, machine_type_index, cell, rating, started_ms = record
        _check_indices(state, zone, machine_type_index, settings)
        name = f"s-{number:08x}"
        machine_type = settings.machine_types[machine_type_index]
        addresses[name] = (".".join(str(byte) for byte in ip.to_bytes(4, "big")), port)
        endpoint = Endpoint(
            name=name,
            location=settings.zones[zone],
            tier=settings.tier(machine_type),
            machine_type=machine_type,
            cell=cell,
            state=STATES_BY_NUMBER[state],
            capacity_rating=rating / CAPACITY_RATING_SCALE,
            started_at=started_ms * MICROSECONDS_PER_MS,
        )
        endpoints.append(endpoint)
    return EndpointUpdate(endpoints, addresses, is_snapshot)


def _check_indices(state: int, zone: int, machine_type: int, settings: DeploymentSettings) -> None:
    """Checks that the numbers in a record exist in this deployment.

    :raises MalformedFrameError: if one doesn't.
    """
    is_known = (
        state < len(STATES_BY_NUMBER)
        and zone < len(settings.zones)
        and machine_type < len(settings.machine_types)
    )
    if not is_known:
        raise MalformedFrameError(
            f"endpoint record with state {state}, zone {zone}, machine type {machine_type}"
        )
