"""The simulator's adapter: input lines, output lines, and errors for invalid input."""

import io
import json

import pytest
from conftest import SETUP

from quartzrouter.drill import wire
from quartzrouter.drill.host import main

LIST = [
    {"cache": "c1", "campus": "north", "model": "box", "condition": "Running"},
    {"cache": "p1", "campus": "hub", "model": "parent", "condition": "Running"},
    {"cache": "o", "campus": "hub", "model": "origin", "condition": "Running"},
]
START = [
    {"t": "OPEN_INSTANCE", "prng": 7, "setup": SETUP},
    {"t": "DIRECTORY_UPDATE", "how": "remembered", "nodes_list": LIST},
]


def demand(op_id, **other):
    event = {"t": "DEMAND", "op_id": op_id, "band": "page", "object": "a", "time_budget_us": 2000000}
    return event | other


def answer(op_id, how, **other):
    return {"t": "ANSWER", "op_id": op_id, "how": how, "hop": 0, "time_taken_us": 9000} | other


def play_batches(*batches):
    """Passes batches to the adapter, one per second of simulated time.

    :returns: the lines of the answer, and a line with the exit status.
    """
    lines = []
    for serial, events in enumerate(batches, 1):
        lines.append({"t": "CLOCK", "sim_time_us": serial * 1000000, "serial": serial})
        lines += [{"router": "router/0"} | event for event in events] + [{"t": "GO"}]
    text = "".join(json.dumps(line) + "\n" for line in lines)
    out = io.BytesIO()
    status = main(io.BytesIO(text.encode()), out)
    return [*out.getvalue().decode().splitlines(), f"status {status}"]


def test_requests_are_routed_and_their_ends_taken_in(scenario):
    """Attempts succeed, fail and are dropped, for known and for unknown requests.

    A router that is stopped and started again keeps no state.
    """
    scenario.lines += play_batches(
        START + [demand(1), {"t": "NEWS", "what": "unknown"}],
        [answer(1, "success", ended=True), demand(2, band="sale")],
        [answer(2, "failure"), answer(9, "success"), demand(3, band="unknown")],
        [{"t": "STOP"}, *START, demand(4)],
        [{"t": "DROPPED", "op_id": 4}, {"t": "DROPPED", "op_id": 4}],
    )


@pytest.mark.parametrize(
    "batches, tail, expected_error",
    [
        ([START], ["{nonsense\n"], "is not JSON"),
        ([START], ['{"t":"CLOCK","sim_time_us":9,"serial":9}\n'], "its GO is missing"),
        ([START + [{"t": "DEMAND", "band": "page"}]], [], "batch 1: DEMAND: op_id is missing"),
        ([START], ["[]\n"], "has no t"),
    ],
)
def test_invalid_input_ends_the_adapter_with_one_line(batches, tail, expected_error, capsys):
    """The simulator waits for an answer to each batch, so invalid input ends the adapter at once."""
    out = io.BytesIO()
    lines = []
    for batch in batches:
        lines += [{"t": "CLOCK", "sim_time_us": 1, "serial": 1}, *batch, {"t": "GO"}]
    text = "".join(json.dumps({"router": "router/0"} | line) + "\n" for line in lines) + "".join(tail)
    assert main(io.BytesIO(text.encode()), out) == 1
    error = capsys.readouterr().err
    assert expected_error in error and error.count("\n") == 1


def test_load_in_attempt_results(trace):
    event = answer(1, "success", load=[0.43, 0.61, 1.5], first_byte_us=9400)
    for load_fields in (["x0", "busy", "x1"], []):
        trace.append(f"{load_fields}: {wire.attempt_result(event, load_fields).load_report}")
