"""The corpus of broken plans: each has one fault and one message, which is stored beside the plan."""

import os
from functools import cache
from pathlib import Path

import pytest

from quartzrouter.config.loader import load

BROKEN = Path(__file__).parent / "broken"
PLANS = sorted(path for path in BROKEN.iterdir() if path.suffix == ".plan") + sorted(
    path / "main.plan" for path in BROKEN.iterdir() if (path / "main.plan").exists()
)


@cache
def check(path):
    """Returns the faults of a plan and their messages, with paths relative to the corpus."""
    before = Path.cwd()
    os.chdir(BROKEN)
    try:
        faults = load(str(path.relative_to(BROKEN))).faults
    finally:
        os.chdir(before)
    return faults, "\n".join(fault.shown() for fault in faults.in_order()) + "\n"


def message_file(path):
    return path.with_suffix(".txt") if path.parent == BROKEN else path.parent / "said.txt"


@pytest.mark.parametrize("path", PLANS, ids=lambda path: message_file(path).relative_to(BROKEN).as_posix())
def test_a_broken_plan_gives_its_one_message(path, request):
    faults, message = check(path)
    if request.config.getoption("--retrace"):
        message_file(path).write_text(message)
    assert len(faults.errors) == 1, message
    assert faults.errors[0].code
    assert message == message_file(path).read_text()


def test_the_corpus_is_large_and_each_kind_of_fault_is_in_it():
    codes = {check(path)[0].errors[0].code for path in PLANS}
    assert len(PLANS) >= 80
    assert codes >= {
        "syntax",
        "unit",
        "type",
        "name",
        "range",
        "bound",
        "depth",
        "key",
        "missing",
        "duplicate",
        "override",
        "value",
        "reference",
        "cycle",
        "empty",
        "sum",
        "never",
        "shadow",
        "include",
    }


def test_the_example_plans_are_valid_and_formatted():
    from quartzrouter.config.formatter import layout
    from quartzrouter.config.problems import Source

    examples = Path(__file__).parent.parent / "examples"
    for path in sorted(examples.glob("*/*.plan")):
        assert layout(Source(path.name, path.read_text())) == path.read_text()
    mains = sorted(examples.glob("*/main.plan"))
    assert len(mains) >= 5 and all(load(str(path)).plan for path in mains)
    assert max(len(load(str(path)).plan.routes) for path in mains) > 200
