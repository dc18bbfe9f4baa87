"""The corpus of broken plans: one cause each, one message each, kept beside the plan."""

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
def message(path):
    """What a check says, with places as seen from the corpus."""
    before = Path.cwd()
    os.chdir(BROKEN)
    try:
        faults = load(str(path.relative_to(BROKEN))).faults
    finally:
        os.chdir(before)
    return faults, "\n".join(fault.shown() for fault in faults.in_order()) + "\n"


def kept(path):
    return path.with_suffix(".txt") if path.parent == BROKEN else path.parent / "said.txt"


@pytest.mark.parametrize("path", PLANS, ids=lambda path: kept(path).relative_to(BROKEN).as_posix())
def test_a_broken_plan_costs_its_one_message(path, request):
    faults, said = message(path)
    if request.config.getoption("--retrace"):
        kept(path).write_text(said)
    assert len(faults.errors) == 1, said
    assert faults.errors[0].code
    assert said == kept(path).read_text()


def test_the_corpus_is_large_and_each_kind_of_fault_is_in_it():
    codes = {message(path)[0].errors[0].code for path in PLANS}
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


def test_examples_are_good_and_laid_out():
    from quartzrouter.config.formatter import layout
    from quartzrouter.config.problems import Source

    examples = Path(__file__).parent.parent / "examples"
    for path in sorted(examples.glob("*/*.plan")):
        assert layout(Source(path.name, path.read_text())) == path.read_text()
    mains = sorted(examples.glob("*/main.plan"))
    assert len(mains) >= 5 and all(load(str(path)).plan for path in mains)
    assert max(len(load(str(path)).plan.routes) for path in mains) > 200
