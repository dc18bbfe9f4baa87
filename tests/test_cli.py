"""The command line: what it prints, and its exit status."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from quartzrouter.cli.main import cli
from quartzrouter.config.loader import load
from quartzrouter.config.reference import reference

ROOT = Path(__file__).parent.parent
REGIONS = str(ROOT / "examples/regions/main.plan")
HOLDS = str(ROOT / "examples/holds/main.plan")
BROKEN = str(ROOT / "tests/broken/key_unknown.plan")


def run_cli(*arguments, stdin=None):
    """Runs a command; returns its exit status and what it prints."""
    result = CliRunner().invoke(cli, arguments, input=stdin, catch_exceptions=False)
    return result.exit_code, result.output


@pytest.mark.parametrize(
    "words, status",
    [
        (("plan", "check", REGIONS), 0),
        (("plan", "check", "--strict", REGIONS), 1),
        (("plan", "check", BROKEN), 1),
        (("plan", "check", "none.plan"), 1),
        (("plan", "check"), 2),
        (("plan", "fmt", "--check", REGIONS), 0),
        (("plan", "fmt", "--check", BROKEN, "none.plan"), 1),
        (("plan", "diff", REGIONS, REGIONS), 0),
        (("plan", "diff", REGIONS, HOLDS), 1),
        (("plan", "compile", REGIONS), 1),
        (("plan", "compile", HOLDS), 0),
        (("plan", "explain", REGIONS, "no req"), 2),
        (("plan", "explain", REGIONS, "GET /a", "--store", "moon"), 2),
        (("rehearse", "nothing"), 2),
        (("rehearse",), 0),
        (("completion", "bash"), 0),
        (("--version",), 0),
        (("run", BROKEN), 1),
    ],
)
def test_exit_status(words, status):
    code, output = run_cli(*words)
    assert code == status, output
    assert "Traceback" not in output


def test_check_reads_standard_input_and_prints_json():
    code, output = run_cli("plan", "check", "--json", "-", stdin="{ deployment: { naem: 3 } }")
    report = json.loads(output)
    assert code == 1 and not report["good"]
    assert ("-", 1, 17) in [(fault["file"], fault["line"], fault["column"]) for fault in report["faults"]]


def test_fmt_of_standard_input():
    assert run_cli("plan", "fmt", "-", stdin="{a:1,b:[1,2]}") == (0, "{ a: 1, b: [1, 2] }\n")


def test_explain_names_the_line_of_each_value():
    code, output = run_cli("plan", "explain", "--json", REGIONS, "media.lakes.example/video/rose/3")
    lines = {line["what"]: line for line in json.loads(output)}
    assert code == 0 and lines["route"]["value"] == "video" and lines["capture clip"]["value"] == "rose"
    assert lines["client_timeout"]["place"].endswith("vhosts.plan:16:21")
    assert lines["come_back"]["value"] == "1s" and lines["also matched by"]["value"] == "pages"


def test_compiled_plans_start_the_platforms_router():
    from quartzrouter.configuration import Configuration

    _, output = run_cli("plan", "compile", HOLDS)
    configuration = Configuration(json.loads(output), {})
    assert configuration.discovery_address == ("127.0.0.1", 4222) and [
        v.name for v in configuration.settings.traffic_classes
    ] == [
        "hold",
        "release",
        "stock",
    ]
    plan = load(HOLDS).plan
    assert configuration.settings.traffic_classes == list(plan.vhosts.values())


def test_diff_replays_recorded_reqs(tmp_path):
    old, new, reqs = tmp_path / "old", tmp_path / "new", tmp_path / "reqs"
    text = (ROOT / "tests/broken/base/base.plan").read_text()
    old.write_text(text)
    new.write_text(
        text.replace("all: {", 'care: { match: { path: "/care/**" }, vhost: "page", pool: "far" }, all: {')
    )
    paths = ["/care/rose", "/care/lily", "/a", "/b"]
    requests = [json.dumps({"store": "north", "host": "x", "path": path}) for path in paths]
    reqs.write_text("\n".join(requests))
    code, output = run_cli("plan", "diff", "--json", "--replay", str(reqs), str(old), str(new))
    report = json.loads(output)
    assert (
        code == 1 and report["replayed"] == [{"from": "all", "to": "care", "reqs": 2}] and report["same"] == 2
    )
    (change,) = report["changes"]
    assert change["what"]["pool"] == ["near", "far"] and change["witness"]["path"].startswith("/care/")
    reqs.write_text("{}\n")
    assert run_cli("plan", "diff", "--replay", str(reqs), str(old), str(new))[0] == 2


def test_the_reference_page_is_as_the_vocabulary_has_it():
    assert (ROOT / "docs/plan-reference.md").read_text() == reference()


def test_the_platforms_router_imports_no_library_of_the_tools():
    """The platform installs only the dependencies of the router, not those of the optional tools."""
    import subprocess
    import sys

    code = "import sys, quartzrouter.server.process, quartzrouter.drill.host; print(*sys.modules)"
    modules = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert not {
        "click",
        "lark",
        "structlog",
        "xxhash",
        "quartzrouter.config",
        "quartzrouter.pool_routing",
    } & set(modules)
