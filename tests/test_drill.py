"""The bench adapter: lines in, lines out, and what it says of lines that it can't read."""

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


def play(scenario, *batches, tail=()):
    lines = []
    for serial, events in enumerate(batches, 1):
        lines.append({"t": "CLOCK", "sim_time_us": serial * 1000000, "serial": serial})
        lines += [{"router": "router/0"} | event for event in events] + [{"t": "GO"}]
    text = "".join(json.dumps(line) + "\n" for line in lines) + "".join(tail)
    out = io.BytesIO()
    status = main(io.BytesIO(text.encode()), out)
    scenario.lines += [*out.getvalue().decode().splitlines(), f"status {status}"]


def test_a_req_is_routed_and_its_end_is_taken_in(scenario):
    play(
        scenario,
        START + [demand(1), {"t": "NEWS", "what": "unknown"}],
        [answer(1, "success", ended=True), demand(2, band="sale")],
        [answer(2, "failure"), answer(9, "success"), demand(3, band="unknown")],
        [{"t": "STOP"}, *START, demand(4)],
        [{"t": "DROPPED", "op_id": 4}, {"t": "DROPPED", "op_id": 4}],
    )


@pytest.mark.parametrize(
    "batches, tail, said",
    [
        ([START], ["{nonsense\n"], "is not JSON"),
        ([START], ['{"t":"CLOCK","sim_time_us":9,"serial":9}\n'], "its GO is missing"),
        ([START + [{"t": "DEMAND", "band": "page"}]], [], "batch 1: DEMAND: op_id is missing"),
        ([START], ["[]\n"], "has no t"),
    ],
)
def test_what_cannot_be_read_ends_it_with_a_line(batches, tail, said, capsys):
    out = io.BytesIO()
    lines = []
    for batch in batches:
        lines += [{"t": "CLOCK", "sim_time_us": 1, "serial": 1}, *batch, {"t": "GO"}]
    text = "".join(json.dumps({"router": "router/0"} | line) + "\n" for line in lines) + "".join(tail)
    assert main(io.BytesIO(text.encode()), out) == 1
    error = capsys.readouterr().err
    assert said in error and error.count("\n") == 1


def test_what_an_answer_says_of_load_is_passed_on(trace):
    event = answer(1, "success", load=[0.43, 0.61, 1.5], first_byte_us=9400)
    for fields in (["x0", "busy", "x1"], []):
        trace.append(f"{fields}: {wire.attempt_result(event, fields).load_report}")
