"""Encoding and decoding without sockets: records, frames, heads of responses, the configuration."""

import json

import h11
import pytest
from conftest import SETUP, frame

from quartzrouter.configuration import Configuration, read_configuration
from quartzrouter.configuration_section import ConfigurationError, ConfigurationSection
from quartzrouter.deployment_settings import DeploymentSettings
from quartzrouter.server import (
    cache_responses,
    discovery_protocol,
    fastcgi,
    memory_budget,
    request_reader,
    responses,
)
from quartzrouter.server.header_fields import HeaderFields
from quartzrouter.server.memory_budget import divide_memory
from quartzrouter.server.ring_buffer import RingBuffer


def test_a_ring_buffer_wraps_and_keeps_the_order(trace):
    ring, sent = RingBuffer(8), iter(range(100))
    for put, take in ((5, 3), (6, 4), (4, 8), (8, 5), (5, 8)):
        ring.put(bytes(next(sent) for _ in range(put)))
        trace.append(f"in {put}, out {list(ring.take(take))}, left {len(ring)}")
    for wrong in (lambda: ring.put(bytes(9)), lambda: ring.drop(1)):
        with pytest.raises(ValueError):
            wrong()


def test_records_are_read_whole_however_they_are_cut(trace):
    long = "x" * 200
    names = b"".join(
        bytes((len(name),)) + (len(value) | 1 << 31).to_bytes(4, "big") + name.encode() + value.encode()
        for name, value in (("LONG", long), ("EMPTY", ""))
    )
    names += b"\x01\x01A1"
    data = (
        fastcgi.encode_record(fastcgi.RecordType.BEGIN_REQUEST, 300, bytes((0, 1, 1, 0, 0, 0, 0, 0)))
        + fastcgi.encode_record(fastcgi.RecordType.PARAMS, 300, names)
        + fastcgi.encode_record(fastcgi.RecordType.STDIN, 300, b"")
    )
    for step in (1, 7, len(data)):
        ring, params, pieces = RingBuffer(1000), b"", 0
        records = fastcgi.RecordReader(ring)
        for start in range(0, len(data), step):
            ring.put(data[start : start + step])
            while record := records.next():
                if record.record_type == fastcgi.RecordType.PARAMS:
                    params, pieces = params + record.content, pieces + 1
                else:
                    trace.append(
                        f"step {step}: kind {record.record_type} id {record.request_id} {record.content}"
                    )
        trace.append(f"step {step}: {pieces} pieces, {fastcgi.decode_pairs(params)}".replace(long, "x * 200"))


@pytest.mark.parametrize("data", [b"\x05a", b"\x01\x01a", b"\x81\x00\x00", b"\xff\xff\xff\xff\x01ab"])
def test_truncated_pairs_are_refused(data):
    with pytest.raises(fastcgi.ProtocolError):
        fastcgi.decode_pairs(data)


def test_encoded_records_and_responses(trace):
    for data in (
        *fastcgi.encode_stdout(1, b"x" * 20_000),
        fastcgi.encode_end_request(258),
        fastcgi.encode_end_request(1, completed=False),
        fastcgi.encode_end_request(1, protocol_status=fastcgi.ProtocolStatus.OVERLOADED),
        fastcgi.encode_unknown_type(77),
        fastcgi.encode_values_result({"FCGI_MPXS_CONNS": "", "OTHER": ""}, {"FCGI_MPXS_CONNS": 1}),
        responses.head(200, 3),
        responses.not_modified(),
        responses.overloaded(1_500),
        responses.overloaded(0),
        responses.failed(),
        responses.invalid(404, "no such vhost"),
        responses.health(False),
    ):
        trace.append(f"{len(data)} bytes, {data[:120]}")


def test_requests_that_cannot_be_used(trace):
    whole = {
        "SCRIPT_NAME": "/rpc/page",
        "HTTP_X_CORRELATION_ID": "0123456789abcdef",
        "HTTP_X_DEADLINE_MS": "900",
        "HTTP_X_SUBJECT": "00000000000000ff",
        "HTTP_X_CHUNK": "3",
        "HTTP_X_TAG": "17",
    }
    key = {"HTTP_X_OPERATION_KEY": "0" * 32}
    for change in (
        {},
        {"HTTP_X_KNOWN": "0" * 16},
        {"HTTP_X_KNOWN": "?"},
        {"HTTP_X_CHUNK": "-1"},
        {"HTTP_X_CHUNK": None},
        {"HTTP_X_TAG": "256"},
        {"HTTP_X_TAG": None},
        {"HTTP_X_DEADLINE_MS": "0"},
        {"HTTP_X_DEADLINE_MS": "9" * 9},
        {"HTTP_X_SUBJECT": "00000000000000f\r"},
        {"HTTP_X_CORRELATION_ID": ""},
        {"SCRIPT_NAME": "/rpc/other"},
        {"SCRIPT_NAME": "/page"},
        {"SCRIPT_NAME": "/rpc/hold"},
        {"SCRIPT_NAME": "/rpc/hold"} | key,
    ):
        params = {name: value for name, value in (whole | change).items() if value is not None}
        try:
            result = request_reader.parse_request(params, {"page": False, "hold": True}.get)
        except request_reader.InvalidRequestError as error:
            result = f"{error.status} {error}"
        trace.append(f"{change}: {result}")


def test_heads_of_responses(trace):
    marks = [("X-Tag", "4be0"), ("X-Minted", "1764576000123")]
    for status, fields in (
        (200, [("Content-Length", "5"), *marks, ("X-Tell", "fetched")]),
        (200, [("Transfer-Encoding", "chunked")]),
        (200, [("Content-Length", "5"), *marks, ("X-Ttfb", "9.4"), ("X-Report", "busy:0.61;x1:1.2;x0:0.4")]),
        (200, [("Content-Length", "5"), *marks, ("X-Ttfb", "soon"), ("X-Report", "util:0.7;x1:nan;busy;:")]),
        (200, marks),
        (200, [("Content-Length", "5"), ("X-Tag", "4be0"), ("X-Minted", "soon")]),
        (304, marks),
        (200, [("Content-Length", "5"), ("X-Tell", "guessed")]),
        (503, [("X-No-Effect", "1")]),
        (503, []),
    ):
        response = h11.Response(status_code=status, headers=fields)
        try:
            fields_by_name = cache_responses.header_fields(response)
            result = cache_responses.parse_head(
                1, 0, response.status_code, fields_by_name, with_load_report=True
            )
        except cache_responses.MalformedResponseError as error:
            result = f"MalformedResponseError: {error}"
        trace.append(f"{status} {fields}: {result}")


# Guards against a response with two lines of one field of which the router reads the last one only.
def test_lines_of_one_header_field_are_combined():
    fields = HeaderFields(
        [(b"X-Tag", b"4be0"), (b"Cache-Tag", b"rose"), (b"x-tag", b"4be0"), (b"cache-tag", b"care")]
    )
    assert fields.get("cache-tag") == "rose, care" and fields.get("cache-tag", " ") == "rose care"
    assert fields.get("x-tag") == "4be0" and fields.get("x-minted") is None


# Guards against a copy that is dated by the later of two times in its response.
def test_a_copy_with_two_times_is_not_named():
    lines = [("Content-Length", "5"), ("X-Tag", "4be0"), ("X-Minted", "1764576000123"), ("X-Minted", "9")]
    response = h11.Response(status_code=200, headers=lines)
    head = cache_responses.parse_head(1, 0, 200, cache_responses.header_fields(response))
    assert not head.has_copy_headers


# Guards against heads of very many short fields, whose decoding holds up all other clients.
def test_a_request_with_very_many_fields_is_rejected():
    incoming = request_reader.IncomingRequest(True, 0.0)
    pairs = b"".join(bytes((4, 0)) + f"{number:04d}".encode() for number in range(fastcgi.MAX_PAIRS + 1))
    incoming.add(fastcgi.RecordType.PARAMS, pairs, len(pairs))
    with pytest.raises(request_reader.InvalidRequestError) as raised:
        incoming.end_params(lambda params: None)
    assert raised.value.status == 431
    assert len(fastcgi.decode_pairs(pairs[6:])) == fastcgi.MAX_PAIRS


# Guards against parts of a small limit that add up to more than the program leaves of it.
@pytest.mark.parametrize(("limit", "resident"), [(64, 27), (64, 38), (192, 27), (48, 27)])
def test_the_parts_of_the_memory_fit_beside_the_program(limit, resident):
    budget = divide_memory(limit << 20, resident << 20)
    connections = budget.client_connections * memory_budget.CONNECTION_MEMORY
    assert (resident << 20) + budget.requests + budget.responses + connections <= limit << 20
    assert budget.requests <= limit << 20 >> 3


def test_a_program_larger_than_the_limit_is_left_out_of_account():
    assert divide_memory(1 << 20, 1 << 27).requests == 1 << 17


LINE = bytes.fromhex("00c41f7a 7f080103 20fb 01 01 00 0002 00002904 0000019ab3c4d5e6".replace(" ", ""))


def test_discovery_frames(trace):
    """Frames are read in order after the last event received; malformed frames and bytes are refused.

    A frame that was lost or is malformed ends the connection: the next connection starts after the last event
    received, so no event is missed.
    """
    settings = DeploymentSettings(SETUP, 7)
    good = [
        frame(5, 0),
        frame(6, 1, LINE),
        frame(7, 2, LINE),
        frame(8, 3, bytes(7) + b"\x07" + bytes(8)),
        frame(9, 4, b"\x00\x11" + (1764576000480).to_bytes(8, "big")),
    ]
    for wrong in (
        b"",
        frame(9, 3, bytes(16)),
        frame(11, 3, bytes(16)),
        frame(10, 0),
        frame(10, 9),
        frame(10, 1, LINE[:-1]),
        frame(10, 2, LINE.replace(b"\x20\xfb\x01", b"\x20\xfb\x07")),
        b"\xff" * 13,
        bytes(13),
    ):
        buffer = RingBuffer(discovery_protocol.RECEIVE_BUFFER_SIZE)
        buffer.put(b"".join(good) + wrong)
        last_sequence = 5
        try:
            while taken := discovery_protocol.take_frame(buffer):
                event = discovery_protocol.decode_frame(taken, last_sequence, settings)
                last_sequence = taken.sequence
                if not wrong:
                    trace.append(f"event {last_sequence}: {event}")
        except discovery_protocol.MalformedFrameError as error:
            trace.append(f"after event {last_sequence}: {error}")


def test_initial_discovery_events(trace):
    host = {
        "id": "s-00c41f7a",
        "host_port": "10.1.0.9:8443",
        "locality": "north",
        "flavor": "box",
        "cell": 2,
        "phase": "SERVING",
        "size": 4,
        "up_since_ms": 0,
    }
    for entries in (
        [
            {"pos": 41, "hosts": {"revision": 7, "complete": True, "members": [host]}},
            {"pos": 42, "expire": {"name": "7f3a9c21e0b4d655", "stamp": 1764576000123}},
            {"pos": 43, "expire": {"set": 17, "stamp": 1764576000480}},
            {"pos": 44, "news": {}},
        ],
        [{"hosts": {"members": [host | {"host_port": "10.1.0.9"}]}}],
        [{"hosts": {"members": [{"id": "s-1"}]}}],
        [{"expire": {"set": 17}}],
        [{"hosts": {"members": 7}}],
        [{"expire": {"set": 17, "stamp": "now"}}],
    ):
        section = ConfigurationSection({"known": entries})
        try:
            found = discovery_protocol.initial_events(
                section.subsections("known"), DeploymentSettings(SETUP, 7)
            )
            trace += [str(event) for event in found]
        except ConfigurationError as error:
            trace.append(f"ConfigurationError {error}")


def test_an_unusable_configuration_is_refused_by_its_key(trace, tmp_path):
    valid = {
        "listen": "127.0.0.1:8443",
        "journal": "127.0.0.1:4222",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "known": {"pos": 0, "entries": []},
        "settings": SETUP,
        "news": 1,
    }
    path = tmp_path / "config.json"
    for change in (
        {},
        {"listen": None},
        {"listen": "here:1"},
        {"journal": "127.0.0.1:0"},
        {"seed": "?"},
        {"seed": 7},
        {"limits": {"sockets": 8}},
        {"limits": []},
        {"known": {"pos": -1}},
        {"known": {"entries": [7]}},
        {"settings": None},
        {"settings": {}},
        {"settings": SETUP | {"peers_total": "3"}},
        {"settings": SETUP | {"categories": [{"name": "page"}, {"deadline_us": 1}]}},
        {"settings": SETUP | {"limits": {"try_limit": 0}}},
        {"settings": SETUP | {"limits": {"cancel": 1}}},
        {"settings": SETUP | {"rules": {"cold_from": 1.5}}},
        {"settings": SETUP | {"family_info": {"good_for_us": [0, "long"]}}},
        {"settings": SETUP | {"load_report": {"how": "piggyback", "fields": ["x0", "busy"]}}},
        {"settings": SETUP | {"load_report": {"how": "pull"}, "limits": {"probes": True}}},
        # load reports in both responses and health checks, or without the fields that they need
        {"settings": SETUP | {"load_report": {"how": "pull", "fields": ["busy"]}}},
        {"settings": SETUP | {"load_report": {"how": "piggyback", "fields": ["x0"]}}},
        {"settings": SETUP | {"limits": {"probes": True}, "load_report": {"how": "piggyback"}}},
        {"settings": SETUP | {"load_report": {"how": "answers"}}},
    ):
        path.write_text(json.dumps(valid | change))
        try:
            result = Configuration(read_configuration({"NODE_CONFIG": str(path)}), {}).listen_address
        except ConfigurationError as error:
            result = error
        trace.append(f"{str(change)[:90]}: {result}")
    path.write_text("{")
    for environ in ({}, {"NODE_CONFIG": str(path)}, {"NODE_CONFIG": "/nowhere"}):
        with pytest.raises(ConfigurationError) as found:
            Configuration(read_configuration(environ), environ)
        trace.append(str(found.value).replace(str(path), "FILE"))
