"""Recorded bytes of messages and stored files, which are read and written again byte for byte.

Messages and stored data must stay readable across versions: routers, ledgers and lease servers of two
versions run side by side during an upgrade, and a new version starts on the files of the old one.  So a
field that is renamed in the code keeps its old name on the wire and on disk.  `golden/` has what the code
wrote before its types and fields were renamed.  A difference from it is a change of format, which needs
more than a new recording.

Objects are built with positional arguments where the types allow it, so that fields may be renamed without a
change here.  `python tests/test_golden.py` records entries whose files are missing; it overwrites none.
"""

import json
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any, get_args

import msgspec
import orjson
import pytest
from click.testing import CliRunner

from quartzrouter.cli import fleet as cli_fleet
from quartzrouter.cli import lease as cli_lease
from quartzrouter.cli import plan as cli_plan
from quartzrouter.cli import purge as cli_purge
from quartzrouter.drill import wire
from quartzrouter.drill.host import RouterInstance
from quartzrouter.fault_harness import fault_schedule
from quartzrouter.fleet_health import messages as health_messages
from quartzrouter.lease_service.token_storage import TokenStorage
from quartzrouter.leases import acceptor as lease_acceptor
from quartzrouter.leases import messages as lease_messages
from quartzrouter.leases import terms as lease_terms
from quartzrouter.purge_log.disk import RealDisk
from quartzrouter.purge_log.log import PurgeLog
from quartzrouter.purge_log.records import read_records
from quartzrouter.purge_log.segments import LogContents, SegmentHeader, SnapshotHeader, read_log
from quartzrouter.purges import messages as purge_messages
from quartzrouter.purges import validation
from quartzrouter.purges.fleet_purges import FleetPurges
from quartzrouter.purges.replica import PurgeReplica
from quartzrouter.quota import allocator, budget, slow_start_allocator, slow_start_messages
from quartzrouter.quota import messages as quota_messages
from quartzrouter.routing.model import (
    AttemptResult,
    AttemptStatus,
    Endpoint,
    EndpointState,
    FillStatus,
    Forward,
    LoadReport,
    Request,
    Tier,
)
from quartzrouter.server import responses
from quartzrouter.standalone import purge_membership

GOLDEN = Path(__file__).parent / "golden"
SECOND = 1_000_000  # microseconds
NOW = 1_700_000_000 * SECOND  # microseconds of the wall clock

# -- terms whose checksums two parties compare -------------------------------------------------------------

BUDGET = budget.Budget("origin", 250.0, 50.0, 40, 3 * SECOND, 0.25, 4, 2 * SECOND)
SLOW_START_TERMS = slow_start_messages.SlowStartTerms(1 * SECOND, 0.3, 4, 500_000)
LEASE_TERMS = lease_terms.LeaseTerms(
    ("k1", "k2", "k3"), 2, 4 * SECOND, 150, (("deliver", ("a", "b")), ("sweep", ()))
)
CHECKSUMMED_TERMS = {
    "budget all": BUDGET,
    "budget defaults": budget.Budget("origin"),
    "budget renamed": budget.Budget("parent", 250.0, 50.0, 40, 3 * SECOND, 0.25, 4, 2 * SECOND),
    "budget rate only": budget.Budget("origin", 100.0, 10.0),
    "budget whole numbers": budget.Budget("origin", 100, 10),
    "budget slots only": budget.Budget("origin", 0.0, 0.0, 12, 2 * SECOND),
    "cold-server terms": SLOW_START_TERMS,
    "lease terms all": LEASE_TERMS,
    "lease terms defaults": lease_terms.LeaseTerms(("k1",)),
    "lease terms other tasks": lease_terms.LeaseTerms(("k1", "k2", "k3"), 2, 4 * SECOND, 150),
}

# -- messages to and from the ledger -----------------------------------------------------------------------

PURGES = (
    purge_messages.Purge(7, NOW + 7, "tag", ("rose", "tulip"), "media", "north", "key-7"),
    purge_messages.Purge(8, NOW + 8, "all"),
    purge_messages.Purge(9, NOW + 9, "pattern", ('media.example/photos/*/"3".jpg', "/video/**"), "", "south"),
    purge_messages.Purge(10, NOW + 10, "object", ("00000000000000a1",), "page", "", "key-10"),
)
QUOTA_REQUESTS = (
    quota_messages.QuotaRequest("origin", "t-0", "0123abcd", 5, 120.5, 7.25, 3, 9, 4_000_000_001),
    quota_messages.QuotaRequest("origin/tenant", "t-0", "0123abcd", 6),
)
SLOW_START_REQUESTS = (
    slow_start_messages.SlowStartRequest(
        "n1", "cache", 8, 900_000, 400_000, 50_000, 1_200, 4_000_000_002, 30_000
    ),
    slow_start_messages.SlowStartRequest("p1", "parent", 9, 800_000, 300_000, 0, 900, 4_000_000_003),
)
OBSERVATIONS = (
    health_messages.CacheObservation("n1", True, 10, 3, 2, 14),
    health_messages.CacheObservation("n2", False),
)
VERDICTS = (health_messages.EjectionVerdict("n1", 950_000, ("t-0", "t-1"), ("t-2",), 11),)
CACHE_LOADS = (
    health_messages.CacheLoad("n1", 12, 150_000, 4, 3),
    health_messages.CacheLoad("n2", -1, 0, 0, 1),
)
QUOTA_GRANTS = (
    quota_messages.QuotaGrant("origin", "0123abcd", 5, 30.125, 9),
    quota_messages.QuotaGrant("fills", "0123abcd", 6, 0.0, 0),
)
SLOW_START_GRANTS = (slow_start_messages.SlowStartGrant("n1", 8, 250_000),)
BUDGET_STATES = (
    quota_messages.BudgetState(
        "origin", 250.0, 40, 12.5, 1_000.75, 400_000, (quota_messages.HolderState("t-0", 120.5, 9, 80_000),)
    ),
    quota_messages.BudgetState("fills", 0.0, 8, 0.0, 0.0, 0, ()),
)
SLOW_START_STATES = (slow_start_messages.SlowStartState("n1", 250_000, 900_000, 3),)
MEMBERS = (
    purge_messages.MemberStatus("t-0", "router", 9, True, False, 12_000),
    purge_messages.MemberStatus("n1", "cache", 7, False, True, 3_400_000),
)
STATUS = purge_messages.PurgeStatus(
    9,
    "pattern /video/** at south",
    NOW + 9,
    False,
    0,
    2 * SECOND,
    ("t-1", "n1"),
    10,
    {"purges": 10, "p50": 1_500, "p99": 9_000, "highest": 12_000, "missed": 1},
)
COMPLETE = purge_messages.PurgeStatus(8, "all", NOW + 8, True, 34_000, 2 * SECOND, (), 10, {})

TO_PURGE_LOG = {
    "send": purge_messages.PurgeRequest("tag", ("rose", "tulip"), "media", "north", "key-7"),
    "send_defaults": purge_messages.PurgeRequest("all"),
    "hello": purge_messages.MemberHello("t-0", "router", "0123abcd", 42, 3, 3_600 * SECOND),
    "hello_defaults": purge_messages.MemberHello("n1", "cache", "89ef"),
    "ack": purge_messages.MemberAck(42, 17, True),
    "ack_defaults": purge_messages.MemberAck(42, 17),
    "ack_settling": purge_messages.MemberAck(42, 17, False, 40),
    "leave": purge_messages.MemberLeave(),
    "ask_status": purge_messages.StatusQuery(42),
    "ask_status_defaults": purge_messages.StatusQuery(),
    "ask_members": purge_messages.MembersQuery(),
    "asks": purge_messages.QuotaRequests(QUOTA_REQUESTS, SLOW_START_REQUESTS),
    "asks_defaults": purge_messages.QuotaRequests(()),
    "sights": purge_messages.HealthReport("north", OBSERVATIONS, 12, True),
    "sights_defaults": purge_messages.HealthReport("north", (), 12),
    "ask_views": purge_messages.HealthQuery(),
    "ask_budgets": purge_messages.QuotaQuery(),
}
FROM_PURGE_LOG = {
    "taken": purge_messages.PurgeAccepted(7, NOW + 7, 2 * SECOND, True),
    "taken_defaults": purge_messages.PurgeAccepted(7, NOW + 7, 2 * SECOND),
    "refused": purge_messages.RequestRejected("values", "no tag is named", "name one tag or more", 500_000),
    "refused_defaults": purge_messages.RequestRejected("kind", "there is none", "name one"),
    "welcome": purge_messages.Welcome(3, 42, NOW, 1_500_000, True, True),
    "welcome_defaults": purge_messages.Welcome(3, 42, NOW, 1_500_000),
    "purges": purge_messages.PurgeBatch(PURGES),
    "purges_none": purge_messages.PurgeBatch(()),
    "snapshot": purge_messages.Snapshot(10, NOW, PURGES, False),
    "snapshot_last": purge_messages.Snapshot(10, NOW, (), True),
    "beat": purge_messages.Heartbeat(3, 42, 17, NOW),
    "caught": purge_messages.CaughtUp({"n1": 42, "n2": 0}),
    "status": STATUS,
    "status_complete": COMPLETE,
    "members": purge_messages.MembersReply(3, 10, MEMBERS),
    "grants": purge_messages.QuotaGrants(
        QUOTA_GRANTS,
        {"fills": quota_messages.QuotaRefusal("figures", "it has others here", "give both the same plan")},
        SLOW_START_GRANTS,
    ),
    "grants_defaults": purge_messages.QuotaGrants(()),
    "budgets": purge_messages.QuotaStatus(3, BUDGET_STATES, 2, SLOW_START_STATES),
    "budgets_defaults": purge_messages.QuotaStatus(3, (), 0),
    "judged": purge_messages.EjectionVerdicts(VERDICTS, {"n1": 12, "n2": -1}),
    "judged_defaults": purge_messages.EjectionVerdicts(()),
    "views": purge_messages.HealthReply(
        3,
        (
            purge_messages.StoreHealth("north", VERDICTS, CACHE_LOADS),
            purge_messages.StoreHealth("south", (), ()),
        ),
    ),
}

# -- messages to and from a lease server -------------------------------------------------------------------

ACCEPTOR_ANSWERS = {
    "k1": lease_terms.AcceptorStatus(
        "k1",
        2,
        4_000_000_004,
        0,
        1,
        (
            lease_terms.VoteStatus("deliver", "a", "0123abcd", 6, 9 * SECOND, 2 * SECOND, ("b", "c")),
            lease_terms.VoteStatus("sweep", "", "", 2, 0, 0, ()),
        ),
    ),
    "k2": lease_terms.AcceptorStatus(
        "k2",
        2,
        4_000_000_004,
        0,
        0,
        (lease_terms.VoteStatus("deliver", "a", "0123abcd", 6, 8 * SECOND, 3 * SECOND, ()),),
    ),
    "k3": "it hung up",
}
TO_ACCEPTOR = {
    "votes": lease_messages.VoteRequests(
        (
            lease_terms.VoteRequest("deliver", "a", "0123abcd", 4, 6, 4_000_000_004, True),
            lease_terms.VoteRequest("sweep", "a", "0123abcd", 5, 0, 4_000_000_004),
        )
    ),
    "frees": lease_messages.VoteReleases((lease_terms.VoteRelease("deliver", "a", "0123abcd", 6),)),
    "ask_keeps": lease_messages.StatusQuery(),
    "shun": lease_messages.RevokeHolder("deliver"),
}
FROM_ACCEPTOR = {
    "answers": lease_messages.VoteReplies(
        (
            lease_terms.VoteReply("deliver", "k1", "0123abcd", 4, False, 6, 2 * SECOND, "b"),
            lease_terms.VoteReply("sweep", "k1", "0123abcd", 5, True, 2),
        ),
        {"other": lease_terms.VoteRefusal("task", "there is no such task", "read the plan anew")},
    ),
    "answers_defaults": lease_messages.VoteReplies(()),
    "free_again": lease_messages.VoteAvailable("deliver"),
    "kept": lease_messages.StatusReply(ACCEPTOR_ANSWERS["k1"]),
    "unheard": lease_messages.MessageRejected("it is no JSON", "mend the sender"),
}

MESSAGES = [
    pytest.param(f"{folder}/{name}.json", message, decode, id=f"{folder}-{name}")
    for folder, messages, decode in (
        ("to_ledger", TO_PURGE_LOG, purge_messages.decode_to_purge_log),
        ("from_ledger", FROM_PURGE_LOG, purge_messages.decode_from_purge_log),
        ("to_lease_server", TO_ACCEPTOR, lease_messages.decode_to_acceptor),
        ("from_lease_server", FROM_ACCEPTOR, lease_messages.decode_from_acceptor),
    )
    for name, message in messages.items()
]

# -- stored files ------------------------------------------------------------------------------------------

LOGGED_PURGES = [
    purge_messages.Purge(1, NOW + 1, "all"),
    purge_messages.Purge(2, NOW + 2, "tag", ("rose", "tulip"), "media", "north", "key-2"),
    purge_messages.Purge(3, NOW + 3, "pattern", ("/video/**",), "", "south"),
    purge_messages.Purge(4, NOW + 4, "object", ("00000000000000a1",), "page", "", "key-4"),
]
FENCING_TOKENS = {
    "deliver": lease_terms.FencingToken(6, "a", "0123abcd"),
    "sweep": lease_terms.FencingToken(2, "b", "89ef"),
}
STORED_PURGES = {
    "router_marks": purge_membership.StoredPurges(
        10, NOW, tuple((each.purged_at - 500, each) for each in PURGES)
    ),
    "router_marks_none": purge_membership.StoredPurges(0, 0, ()),
}
FAULTS = [
    fault_schedule.Fault(120, "cut", "t-0", 900, 0.25),
    fault_schedule.Fault(300, "kill", "ledger-1"),
    fault_schedule.Fault(450, "slots", "shared", 0, 8.0),
]


def write_log(folder: Path) -> None:
    """Writes a purge log of one writer: an epoch file and two segments."""
    log = PurgeLog(RealDisk(str(folder)))
    log.append(LOGGED_PURGES[:2])
    log.close()
    log.append(LOGGED_PURGES[2:])
    log.close()


def write_compacted_log(folder: Path) -> None:
    """Writes the log of a second writer, which has replaced the first purge by a snapshot."""
    write_log(folder)
    log = PurgeLog(RealDisk(str(folder)))
    log.compact(LOGGED_PURGES[1:], 1, LOGGED_PURGES[0].purged_at)
    log.append([purge_messages.Purge(5, NOW + 5, "tag", ("iris",))])
    log.close()


def write_fencing_tokens(folder: Path) -> None:
    TokenStorage(str(folder), "k1", print).write(FENCING_TOKENS)


def write_no_fencing_tokens(folder: Path) -> None:
    TokenStorage(str(folder), "k1", print).write({})


FOLDERS = {
    "ledger": write_log,
    "ledger_compacted": write_compacted_log,
    "lease_server": write_fencing_tokens,
    "lease_server_none": write_no_fencing_tokens,
}

# -- refusals, which name the field at fault ---------------------------------------------------------------


def refused_quota_requests() -> list[Any]:
    quota_allocator, terms_checksum, too_much = (
        allocator.QuotaAllocator([BUDGET], 0),
        BUDGET.terms_checksum,
        float(2**80),
    )
    quota_allocator.handle_request(
        quota_messages.QuotaRequest("origin", "t-0", "0123abcd", 5, 1.0, 0.0, 0, 0, terms_checksum), SECOND
    )
    return [
        quota_allocator.handle_request(quota_messages.QuotaRequest(*each), SECOND)
        for each in (
            ("fills", "t-0", "0123abcd", 6, 1.0, 0.0, 0, 0, terms_checksum),
            ("origin", "t-0", "0123abcd", 6, 1.0, 0.0, 0, 0, 1),
            ("origin", "t-0", "0123abcd", 6, too_much, 0.0, 0, 0, terms_checksum),
            ("origin", "t-0", "0123abcd", 6, 1.0, too_much, 0, 0, terms_checksum),
            ("origin", "t-0", "0123abcd", 6, 1.0, 0.0, -1, 0, terms_checksum),
            ("origin", "t-0", "0123abcd", 6, 1.0, 0.0, 0, -1, terms_checksum),
            ("origin", "t-0", "0123abcd", 5, 1.0, 0.0, 0, 0, terms_checksum),
        )
    ]


def refused_slow_start_requests() -> list[Any]:
    slow_start, terms_checksum = (
        slow_start_allocator.SlowStartAllocator({"cache": SLOW_START_TERMS}, 0),
        SLOW_START_TERMS.terms_checksum,
    )
    slow_start.handle_request(
        slow_start_messages.SlowStartRequest("n1", "cache", 5, 9, 9, 0, 1, terms_checksum),
        "t-0",
        "0123abcd",
        SECOND,
    )
    return [
        slow_start.handle_request(slow_start_messages.SlowStartRequest(*each), "t-0", "0123abcd", SECOND)
        for each in (
            ("n1", "parent", 6, 9, 9, 0, 1, terms_checksum),
            ("n1", "cache", 6, 9, 9, 0, 1, 1),
            ("", "cache", 6, 9, 9, 0, 1, terms_checksum),
            ("n1", "cache", 6, -1, 9, 0, 1, terms_checksum),
            ("n1", "cache", 6, 9, -1, 0, 1, terms_checksum),
            ("n1", "cache", 6, 9, 9, -1, 1, terms_checksum),
            ("n1", "cache", 6, 9, 9, 0, -1, terms_checksum),
            ("n1", "cache", 6, 9, 9, 0, 1, terms_checksum, -1),
            ("n1", "cache", 5, 9, 9, 0, 1, terms_checksum),
        )
    ]


def refused_votes() -> list[Any]:
    acceptor, terms_checksum = lease_acceptor.Acceptor(LEASE_TERMS, "k1", 0), LEASE_TERMS.checksum
    return [
        acceptor.vote(lease_terms.VoteRequest(*each), 9 * SECOND)
        for each in (
            ("deliver", "a", "0123abcd", 4, 6, 1),
            ("", "a", "0123abcd", 4, 6, terms_checksum),
            ("deliver", "", "0123abcd", 4, 6, terms_checksum),
            ("deliver", "a", "", 4, 6, terms_checksum),
            ("other", "a", "0123abcd", 4, 6, terms_checksum),
            ("deliver", "a", "0123abcd", 4, 0, terms_checksum),
        )
    ]


def refused_purges() -> list[Any]:
    return [
        validation.validate_request(each)
        for each in (
            purge_messages.PurgeRequest("all", ("rose",)),
            purge_messages.PurgeRequest("tag", ("rose",), "/"),
            purge_messages.PurgeRequest("tag", ("rose",), "", "/"),
            purge_messages.PurgeRequest("tag", ("rose",), "", "", " "),
        )
    ]


# The text of a refusal may change; the field that it names is compared by programs, and may not.
REFUSALS = {
    "budgets": refused_quota_requests,
    "cold_servers": refused_slow_start_requests,
    "leases": refused_votes,
    "purges": refused_purges,
}


def refused_field(refusal: Any) -> str:
    """Returns the field of a request that was at fault, as the refusal names it on the wire."""
    return refusal.field if isinstance(refusal, lease_terms.VoteRefusal) else refusal.place


def refused_fields(name: str) -> bytes:
    """Returns the fields that the refusals of a kind name, one a line."""
    return "".join(f"{refused_field(each)}\n" for each in REFUSALS[name]()).encode()


# -- edges: what other programs read -----------------------------------------------------------------------


def drill_action(method: str, *arguments: Any) -> bytes:
    """Returns the line that the simulator's adapter writes for one action."""
    instance = RouterInstance.__new__(RouterInstance)  # actions need none of what __init__ sets up
    instance.actions = []
    getattr(instance, method)(*arguments)
    (action,) = instance.actions
    return orjson.dumps(action) + b"\n"


EDGES = {
    "answer_done": lambda: responses.ok(b"rose"),
    "answer_still_good": lambda: responses.not_modified(),
    "answer_denied": lambda: responses.overloaded(1_500),
    "answer_denied_no_time": lambda: responses.overloaded(0),
    "answer_aborted": lambda: responses.failed(),
    "answer_refused": lambda: responses.invalid(400, "X-Tag is 'x'"),
    "answer_health_good": lambda: responses.health(True),
    "answer_health_bad": lambda: responses.health(False),
    "drill_dispatch.json": lambda: drill_action(
        "forward", 41, Forward(2, "n1", "p1", 3, 60 * SECOND, True, True, 400_000, 9 * SECOND), 8 * SECOND
    ),
    "drill_dispatch_plain.json": lambda: drill_action(
        "forward", 42, Forward(0, "n2", "n2", 0, 0, False, False, 400_000, 9 * SECOND), 8 * SECOND
    ),
    "drill_call_off.json": lambda: drill_action("cancel_attempt", 41, 2, 8 * SECOND),
    "drill_deny.json": lambda: drill_action("reject", 41, 250_000),
    "drill_abort.json": lambda: drill_action("fail", 41),
    "drill_probe.json": lambda: drill_action("start_health_check", "n1", 300_000),
    "drill_subscribe.json": lambda: drill_action("subscribe_to_endpoints"),
    "drill_timer.json": lambda: drill_action("set_timer", 9 * SECOND, 8 * SECOND, 5),
}

REPLIES = {
    purge_messages.StatusQuery: STATUS,
    purge_messages.MembersQuery: purge_messages.MembersReply(3, 10, MEMBERS),
    purge_messages.QuotaQuery: purge_messages.QuotaStatus(3, BUDGET_STATES, 2, SLOW_START_STATES),
    purge_messages.HealthQuery: purge_messages.HealthReply(
        3, (purge_messages.StoreHealth("north", VERDICTS, CACHE_LOADS),)
    ),
}
COMMANDS = {
    "purge_send": (["purge", "send", "--tag", "rose", "--key", "k", "--json"], 0),
    "purge_status": (["purge", "status", "9", "--json"], 1),
    "purge_members": (["purge", "members", "--json"], 0),
    "fleet_status": (["fleet", "status", "--json"], 0),
    "fleet_budgets": (["fleet", "budgets", "--json"], 0),
    "fleet_judgements": (["fleet", "judgements", "--json"], 0),
    "fleet_counts": (["fleet", "counts", "--json"], 0),
    "lease_list": (["lease", "list", "main.plan", "--json"], 0),
    "plan_check": (["plan", "check", "main.plan", "--json"], 0),
    "plan_check_broken": (["plan", "check", "broken.plan", "--json"], 1),
    "plan_diff": (["plan", "diff", "main.plan", "other.plan", "--json"], 1),
    "plan_explain": (["plan", "explain", "main.plan", "GET x.example/stock/rose", "--json"], 0),
    "plan_compile": (["plan", "compile", "main.plan"], 0),
}


def fake_reply(ask: Any, ledgers: Any, question: Any) -> Any:
    """Replies in place of a ledger."""
    return (
        [purge_messages.PurgeAccepted(7, NOW + 7, 2 * SECOND, True)]
        if isinstance(question, list)
        else REPLIES[type(question)]
    )


def command_output(name: str, patch: pytest.MonkeyPatch) -> bytes:
    for module in (cli_purge, cli_fleet):
        patch.setattr(module, "run_or_exit", fake_reply)
    patch.setattr(cli_lease, "_ask", lambda path: (LEASE_TERMS, ACCEPTOR_ANSWERS))
    arguments, status = COMMANDS[name]
    groups = {
        "purge": cli_purge.purge,
        "fleet": cli_fleet.fleet,
        "lease": cli_lease.lease,
        "plan": cli_plan.plan,
    }
    patch.chdir(GOLDEN / "plans")
    result = CliRunner().invoke(groups[arguments[0]], arguments[1:])
    assert result.exit_code == status, result.output
    return result.output.encode()


# -- tests -------------------------------------------------------------------------------------------------


def assert_same(found: Any, built: Any) -> None:
    """Asserts that two objects are equal and have equal types at all levels.

    Named tuples of different types compare equal, so their representations are compared as well.
    """
    assert found == built
    assert repr(found) == repr(built)


def file_contents(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


@pytest.mark.parametrize("path, message, decode", MESSAGES)
def test_message_bytes(path, message, decode):
    recorded = (GOLDEN / path).read_bytes()
    assert recorded.endswith(b"\n") and recorded.count(b"\n") == 1
    assert_same(decode(recorded[:-1]), message)
    assert purge_messages.encode_line(message) == recorded


@pytest.mark.parametrize("name, default", [("welcome", "welcome_defaults"), ("budgets", "budgets_defaults")])
def test_message_of_older_ledger_is_read(name, default):
    """Fields that were added in later versions are always written, and may be missing in what is read."""
    recorded = (GOLDEN / "from_older" / f"{name}.json").read_bytes()
    assert_same(purge_messages.decode_from_purge_log(recorded[:-1]), FROM_PURGE_LOG[default])


def nested_parts(value: Any) -> Iterator[Any]:
    """Yields a message and all messages and named tuples that are nested in it."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = [getattr(value, name) for name in value.__struct_fields__]
    elif isinstance(value, dict):
        value = list(value.values())
    elif hasattr(value, "_fields"):
        yield value
    if isinstance(value, list | tuple):
        for each in value:
            yield from nested_parts(each)


@pytest.mark.parametrize(
    "union, messages",
    [
        pytest.param(purge_messages.ToPurgeLog, TO_PURGE_LOG, id="to_ledger"),
        pytest.param(purge_messages.FromPurgeLog, FROM_PURGE_LOG, id="from_ledger"),
        pytest.param(lease_messages.ToAcceptor, TO_ACCEPTOR, id="to_lease_server"),
        pytest.param(lease_messages.FromAcceptor, FROM_ACCEPTOR, id="from_lease_server"),
    ],
)
def test_every_message_and_optional_field_is_recorded(union, messages):
    assert {type(each) for each in messages.values()} == set(get_args(union))
    optional: dict[tuple[type, str], set[bool]] = {}
    for part in (part for each in messages.values() for part in nested_parts(each)):
        if isinstance(part, msgspec.Struct):
            fields = msgspec.structs.fields(part)
            defaults = {
                each.name: each.default if each.default is not msgspec.NODEFAULT else each.default_factory()
                for each in fields
                if not each.required
            }
        else:
            defaults = part._field_defaults
        for name, default in defaults.items():
            optional.setdefault((type(part), name), set()).add(getattr(part, name) == default)
    assert [key for key, seen in optional.items() if seen != {True, False}] == []


@pytest.mark.parametrize("name", FOLDERS)
def test_stored_folder_bytes(name, tmp_path):
    FOLDERS[name](tmp_path)
    assert file_contents(tmp_path) == file_contents(GOLDEN / "stored" / name)


def test_purge_log_is_read():
    disk = RealDisk(str(GOLDEN / "stored" / "ledger"))
    assert disk.names() == ["00000001-00000001.log", "00000001-00000002.log", "epoch-00000001"]
    length = len(disk.read("00000001-00000002.log"))
    assert_same(read_log(disk), LogContents(LOGGED_PURGES, 0, 0, "00000001-00000002.log", length, 0, []))
    first = len(disk.read("00000001-00000001.log"))
    headers = {"00000001-00000001.log": SegmentHeader(1, 1, "", 0, 0)}
    headers["00000001-00000002.log"] = SegmentHeader(1, 1, "00000001-00000001.log", first, 2)
    for name, header in headers.items():
        data = disk.read(name)
        assert_same(
            msgspec.msgpack.decode(next(read_records(data, len(data))).payload, type=SegmentHeader), header
        )


def test_purge_log_snapshot_is_read():
    disk = RealDisk(str(GOLDEN / "stored" / "ledger_compacted"))
    assert disk.names() == [
        "0000000000000004.snapshot",
        "00000002-00000001.log",
        "epoch-00000001",
        "epoch-00000002",
    ]
    length = len(disk.read("00000002-00000001.log"))
    purges = [*LOGGED_PURGES[1:], purge_messages.Purge(5, NOW + 5, "tag", ("iris",))]
    assert_same(read_log(disk), LogContents(purges, 1, NOW + 1, "00000002-00000001.log", length, 0, []))
    data = disk.read("0000000000000004.snapshot")
    summary = next(read_records(data, len(data))).payload
    assert_same(msgspec.msgpack.decode(summary, type=SnapshotHeader), SnapshotHeader(1, 4, 1, NOW + 1))


@pytest.mark.parametrize("name, numbers", [("lease_server", FENCING_TOKENS), ("lease_server_none", {})])
def test_lease_numbers_are_read(name, numbers):
    log_lines = []
    assert_same(TokenStorage(str(GOLDEN / "stored" / name), "k1", log_lines.append).found, numbers)
    assert log_lines == []


@pytest.mark.parametrize("name", STORED_PURGES)
def test_router_marks_file(name, tmp_path):
    path, stored = GOLDEN / "stored" / name, STORED_PURGES[name]
    assert_same(msgspec.msgpack.decode(path.read_bytes(), type=purge_membership.StoredPurges), stored)
    fleet = FleetPurges(2 * SECOND, 3_600 * SECOND, 1_000, 1_000, 0, True)
    replica = PurgeReplica("t-0", "router", "0123abcd", fleet.lease)
    assert purge_membership.restore(str(path), fleet, replica, NOW + SECOND) == ""
    assert_same(purge_membership.stored_purges(fleet, replica.applied_up_to), stored)
    purge_membership.save(str(tmp_path / name), stored)
    assert (tmp_path / name).read_bytes() == path.read_bytes()


def test_fault_schedule_file(tmp_path):
    path = GOLDEN / "stored" / "faults.jsonl"
    assert_same(fault_schedule.read(path), FAULTS)
    fault_schedule.write(tmp_path / "faults", FAULTS)
    assert (tmp_path / "faults").read_bytes() == path.read_bytes()


def checksum_of(terms: Any) -> int:
    """Returns the checksum that two parties compare on the wire to see that their terms are the same."""
    return terms.checksum if isinstance(terms, lease_terms.LeaseTerms) else terms.terms_checksum


@pytest.mark.parametrize("name", CHECKSUMMED_TERMS)
def test_terms_checksum(name):
    recorded = json.loads((GOLDEN / "checksums.json").read_bytes())
    assert set(recorded) == set(CHECKSUMMED_TERMS)
    assert checksum_of(CHECKSUMMED_TERMS[name]) == recorded[name]


@pytest.mark.parametrize("name", REFUSALS)
def test_refusals_name_fields(name):
    assert refused_fields(name) == (GOLDEN / "refusals" / name).read_bytes()


@pytest.mark.parametrize("name", EDGES)
def test_edge_bytes(name):
    assert EDGES[name]() == (GOLDEN / "edges" / name).read_bytes()


@pytest.mark.parametrize("name", COMMANDS)
def test_command_json_output(name, monkeypatch):
    assert command_output(name, monkeypatch) == (GOLDEN / "commands" / f"{name}.json").read_bytes()


DRILL_READ = {
    "drill_listed.json": (
        lambda event: wire.endpoint(event, TierLookup()),
        Endpoint("n1", "north", Tier.CACHE, "box", 3, EndpointState.DRAINING, 2.5, NOW),
    ),
    "drill_req.json": (wire.request, Request(41, "page", "00a1", 7, 2, 12.5, 3 * SECOND, "acme")),
    "drill_req_defaults.json": (wire.request, Request(42, "page", "00a2", None, 0, 0.0, 3 * SECOND)),
    "drill_outcome.json": (
        lambda event: wire.attempt_result(event, ["busy", "x1", "rif"]),
        AttemptResult(
            2, AttemptStatus.OVERLOADED, 34_000, FillStatus(1), True, LoadReport(12_000, 0.75, 1.25)
        ),
    ),
    "drill_outcome_defaults.json": (
        lambda event: wire.attempt_result(event, []),
        AttemptResult(0, AttemptStatus.SUCCEEDED, 34_000),
    ),
}


class TierLookup:
    """The part of the settings that reading a listed cache needs."""

    def tier(self, kind: str) -> Tier:
        assert kind == "box"
        return Tier.CACHE


@pytest.mark.parametrize("name", DRILL_READ)
def test_drill_event_is_read(name):
    decode, built = DRILL_READ[name]
    assert_same(decode(orjson.loads((GOLDEN / "edges" / name).read_bytes())), built)


# -- recording ---------------------------------------------------------------------------------------------


def record() -> None:
    """Writes the files that are missing; existing ones are kept."""

    def put(path: str, data: bytes) -> None:
        if not (GOLDEN / path).exists():
            (GOLDEN / path).parent.mkdir(parents=True, exist_ok=True)
            (GOLDEN / path).write_bytes(data)
            print(f"{path}: {len(data)} bytes", file=sys.stderr)

    for entry in MESSAGES:
        put(entry.values[0], purge_messages.encode_line(entry.values[1]))
    with tempfile.TemporaryDirectory() as folder:
        for name, make in FOLDERS.items():
            make(Path(folder) / name)
            for file, data in file_contents(Path(folder) / name).items():
                put(f"stored/{name}/{file}", data)
        for name, stored in STORED_PURGES.items():
            purge_membership.save(f"{folder}/{name}", stored)
            put(f"stored/{name}", Path(folder, name).read_bytes())
        fault_schedule.write(Path(folder, "faults"), FAULTS)
        put("stored/faults.jsonl", Path(folder, "faults").read_bytes())
    checksums = {name: checksum_of(terms) for name, terms in CHECKSUMMED_TERMS.items()}
    put("checksums.json", json.dumps(checksums, indent=2).encode() + b"\n")
    for name, make in EDGES.items():
        put(f"edges/{name}", make())
    for name in REFUSALS:
        put(f"refusals/{name}", refused_fields(name))
    with pytest.MonkeyPatch.context() as patch:
        for name in COMMANDS:
            put(f"commands/{name}.json", command_output(name, patch))


if __name__ == "__main__":
    record()
