"""Recorded bytes of messages and stored files, read and written again byte for byte.

Stored data and messages between versions must stay readable: routers, ledgers and lease servers of two
versions run side by side during an upgrade, and a new version starts on the files of the old one.  So a
field that is renamed in the code keeps its old name on the wire and on the disk.  `golden/` holds what the
code wrote before the renaming of types and fields; a difference from it is a change of format, which needs
more than a new recording.

Objects are built with positional arguments where the types allow it, so that names may change without a
change here.  `python tests/test_golden.py` records entries whose files are missing; it never overwrites one.
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
from quartzrouter.leases import acceptor as lease_keeper
from quartzrouter.leases import messages as lease_words
from quartzrouter.leases import terms as lease_terms
from quartzrouter.purge_log.disk import RealDisk
from quartzrouter.purge_log.log import PurgeLog
from quartzrouter.purge_log.records import read_records
from quartzrouter.purge_log.segments import LogContents, SegmentHeader, SnapshotHeader, read_log
from quartzrouter.purges import messages as messages_module
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
from quartzrouter.standalone import purge_membership as site_purges

GOLDEN = Path(__file__).parent / "golden"
S = 1_000_000  # us
WHEN = 1_700_000_000 * S  # us of a wall clock

# -- checksums that two parties compare --------------------------------------------------------------------

BUDGET = budget.Budget("origin", 250.0, 50.0, 40, 3 * S, 0.25, 4, 2 * S)
COLD = slow_start_messages.SlowStartTerms(1 * S, 0.3, 4, 500_000)
LEASES = lease_terms.LeaseTerms(("k1", "k2", "k3"), 2, 4 * S, 150, (("deliver", ("a", "b")), ("sweep", ())))
CHECKSUMMED_TERMS = {
    "budget all": BUDGET,
    "budget defaults": budget.Budget("origin"),
    "budget renamed": budget.Budget("parent", 250.0, 50.0, 40, 3 * S, 0.25, 4, 2 * S),
    "budget rate only": budget.Budget("origin", 100.0, 10.0),
    "budget whole numbers": budget.Budget("origin", 100, 10),
    "budget slots only": budget.Budget("origin", 0.0, 0.0, 12, 2 * S),
    "cold-server terms": COLD,
    "lease terms all": LEASES,
    "lease terms defaults": lease_terms.LeaseTerms(("k1",)),
    "lease terms other tasks": lease_terms.LeaseTerms(("k1", "k2", "k3"), 2, 4 * S, 150),
}

# -- messages to and from the ledger -----------------------------------------------------------------------

PURGES = (
    messages_module.Purge(7, WHEN + 7, "tag", ("rose", "tulip"), "media", "north", "key-7"),
    messages_module.Purge(8, WHEN + 8, "all"),
    messages_module.Purge(
        9, WHEN + 9, "pattern", ('media.example/photos/*/"3".jpg', "/video/**"), "", "south"
    ),
    messages_module.Purge(10, WHEN + 10, "object", ("00000000000000a1",), "page", "", "key-10"),
)
ASKS = (
    quota_messages.QuotaRequest("origin", "t-0", "0123abcd", 5, 120.5, 7.25, 3, 9, 4_000_000_001),
    quota_messages.QuotaRequest("origin/tenant", "t-0", "0123abcd", 6),
)
COLD_ASKS = (
    slow_start_messages.SlowStartRequest(
        "n1", "cache", 8, 900_000, 400_000, 50_000, 1_200, 4_000_000_002, 30_000
    ),
    slow_start_messages.SlowStartRequest("p1", "parent", 9, 800_000, 300_000, 0, 900, 4_000_000_003),
)
SIGHTS = (
    health_messages.CacheObservation("n1", True, 10, 3, 2, 14),
    health_messages.CacheObservation("n2", False),
)
JUDGEMENTS = (health_messages.EjectionVerdict("n1", 950_000, ("t-0", "t-1"), ("t-2",), 11),)
COUNTS = (health_messages.CacheLoad("n1", 12, 150_000, 4, 3), health_messages.CacheLoad("n2", -1, 0, 0, 1))
GRANTS = (
    quota_messages.QuotaGrant("origin", "0123abcd", 5, 30.125, 9),
    quota_messages.QuotaGrant("fills", "0123abcd", 6, 0.0, 0),
)
COLD_GRANTS = (slow_start_messages.SlowStartGrant("n1", 8, 250_000),)
BUDGETS = (
    quota_messages.BudgetState(
        "origin", 250.0, 40, 12.5, 1_000.75, 400_000, (quota_messages.HolderState("t-0", 120.5, 9, 80_000),)
    ),
    quota_messages.BudgetState("fills", 0.0, 8, 0.0, 0.0, 0, ()),
)
COLD_STATES = (slow_start_messages.SlowStartState("n1", 250_000, 900_000, 3),)
MEMBERS = (
    messages_module.MemberStatus("t-0", "router", 9, True, False, 12_000),
    messages_module.MemberStatus("n1", "cache", 7, False, True, 3_400_000),
)
STATUS = messages_module.PurgeStatus(
    9,
    "pattern /video/** at south",
    WHEN + 9,
    False,
    0,
    2 * S,
    ("t-1", "n1"),
    10,
    {"purges": 10, "p50": 1_500, "p99": 9_000, "highest": 12_000, "missed": 1},
)
COMPLETE = messages_module.PurgeStatus(8, "all", WHEN + 8, True, 34_000, 2 * S, (), 10, {})

TO_LEDGER = {
    "send": messages_module.PurgeRequest("tag", ("rose", "tulip"), "media", "north", "key-7"),
    "send_defaults": messages_module.PurgeRequest("all"),
    "hello": messages_module.MemberHello("t-0", "router", "0123abcd", 42, 3, 3_600 * S),
    "hello_defaults": messages_module.MemberHello("n1", "cache", "89ef"),
    "ack": messages_module.MemberAck(42, 17, True),
    "ack_defaults": messages_module.MemberAck(42, 17),
    "ack_settling": messages_module.MemberAck(42, 17, False, 40),
    "leave": messages_module.MemberLeave(),
    "ask_status": messages_module.StatusQuery(42),
    "ask_status_defaults": messages_module.StatusQuery(),
    "ask_members": messages_module.MembersQuery(),
    "asks": messages_module.QuotaRequests(ASKS, COLD_ASKS),
    "asks_defaults": messages_module.QuotaRequests(()),
    "sights": messages_module.HealthReport("north", SIGHTS, 12, True),
    "sights_defaults": messages_module.HealthReport("north", (), 12),
    "ask_views": messages_module.HealthQuery(),
    "ask_budgets": messages_module.QuotaQuery(),
}
FROM_LEDGER = {
    "taken": messages_module.PurgeAccepted(7, WHEN + 7, 2 * S, True),
    "taken_defaults": messages_module.PurgeAccepted(7, WHEN + 7, 2 * S),
    "refused": messages_module.RequestRejected("values", "no tag is named", "name one tag or more", 500_000),
    "refused_defaults": messages_module.RequestRejected("kind", "there is none", "name one"),
    "welcome": messages_module.Welcome(3, 42, WHEN, 1_500_000, True, True),
    "welcome_defaults": messages_module.Welcome(3, 42, WHEN, 1_500_000),
    "purges": messages_module.PurgeBatch(PURGES),
    "purges_none": messages_module.PurgeBatch(()),
    "snapshot": messages_module.Snapshot(10, WHEN, PURGES, False),
    "snapshot_last": messages_module.Snapshot(10, WHEN, (), True),
    "beat": messages_module.Heartbeat(3, 42, 17, WHEN),
    "caught": messages_module.CaughtUp({"n1": 42, "n2": 0}),
    "status": STATUS,
    "status_complete": COMPLETE,
    "members": messages_module.MembersReply(3, 10, MEMBERS),
    "grants": messages_module.QuotaGrants(
        GRANTS,
        {"fills": quota_messages.QuotaRefusal("figures", "it has others here", "give both the same plan")},
        COLD_GRANTS,
    ),
    "grants_defaults": messages_module.QuotaGrants(()),
    "budgets": messages_module.QuotaStatus(3, BUDGETS, 2, COLD_STATES),
    "budgets_defaults": messages_module.QuotaStatus(3, (), 0),
    "judged": messages_module.EjectionVerdicts(JUDGEMENTS, {"n1": 12, "n2": -1}),
    "judged_defaults": messages_module.EjectionVerdicts(()),
    "views": messages_module.HealthReply(
        3,
        (
            messages_module.StoreHealth("north", JUDGEMENTS, COUNTS),
            messages_module.StoreHealth("south", (), ()),
        ),
    ),
}

# -- messages to and from a lease server -------------------------------------------------------------------

KEEPS = {
    "k1": lease_terms.AcceptorStatus(
        "k1",
        2,
        4_000_000_004,
        0,
        1,
        (
            lease_terms.VoteStatus("deliver", "a", "0123abcd", 6, 9 * S, 2 * S, ("b", "c")),
            lease_terms.VoteStatus("sweep", "", "", 2, 0, 0, ()),
        ),
    ),
    "k2": lease_terms.AcceptorStatus(
        "k2",
        2,
        4_000_000_004,
        0,
        0,
        (lease_terms.VoteStatus("deliver", "a", "0123abcd", 6, 8 * S, 3 * S, ()),),
    ),
    "k3": "it hung up",
}
TO_KEEPER = {
    "votes": lease_words.VoteRequests(
        (
            lease_terms.VoteRequest("deliver", "a", "0123abcd", 4, 6, 4_000_000_004, True),
            lease_terms.VoteRequest("sweep", "a", "0123abcd", 5, 0, 4_000_000_004),
        )
    ),
    "frees": lease_words.VoteReleases((lease_terms.VoteRelease("deliver", "a", "0123abcd", 6),)),
    "ask_keeps": lease_words.StatusQuery(),
    "shun": lease_words.RevokeHolder("deliver"),
}
FROM_KEEPER = {
    "answers": lease_words.VoteReplies(
        (
            lease_terms.VoteReply("deliver", "k1", "0123abcd", 4, False, 6, 2 * S, "b"),
            lease_terms.VoteReply("sweep", "k1", "0123abcd", 5, True, 2),
        ),
        {"other": lease_terms.VoteRefusal("task", "there is no such task", "read the plan anew")},
    ),
    "answers_defaults": lease_words.VoteReplies(()),
    "free_again": lease_words.VoteAvailable("deliver"),
    "kept": lease_words.StatusReply(KEEPS["k1"]),
    "unheard": lease_words.MessageRejected("it is no JSON", "mend the sender"),
}

MESSAGES = [
    pytest.param(f"{folder}/{name}.json", message, decode, id=f"{folder}-{name}")
    for folder, messages, decode in (
        ("to_ledger", TO_LEDGER, messages_module.decode_to_purge_log),
        ("from_ledger", FROM_LEDGER, messages_module.decode_from_purge_log),
        ("to_lease_server", TO_KEEPER, lease_words.decode_to_acceptor),
        ("from_lease_server", FROM_KEEPER, lease_words.decode_from_acceptor),
    )
    for name, message in messages.items()
]

# -- stored files ------------------------------------------------------------------------------------------

LOGGED = [
    messages_module.Purge(1, WHEN + 1, "all"),
    messages_module.Purge(2, WHEN + 2, "tag", ("rose", "tulip"), "media", "north", "key-2"),
    messages_module.Purge(3, WHEN + 3, "pattern", ("/video/**",), "", "south"),
    messages_module.Purge(4, WHEN + 4, "object", ("00000000000000a1",), "page", "", "key-4"),
]
NUMBERS = {
    "deliver": lease_terms.FencingToken(6, "a", "0123abcd"),
    "sweep": lease_terms.FencingToken(2, "b", "89ef"),
}
MARKS = {
    "router_marks": site_purges.StoredPurges(
        10, WHEN, tuple((each.purged_at - 500, each) for each in PURGES)
    ),
    "router_marks_none": site_purges.StoredPurges(0, 0, ()),
}
FAULTS = [
    fault_schedule.Fault(120, "cut", "t-0", 900, 0.25),
    fault_schedule.Fault(300, "kill", "ledger-1"),
    fault_schedule.Fault(450, "slots", "shared", 0, 8.0),
]


def logged(folder: Path) -> None:
    """A purge log of one writer: an epoch file, and two segments, of which the second follows the first."""
    log = PurgeLog(RealDisk(str(folder)))
    log.append(LOGGED[:2])
    log.close()
    log.append(LOGGED[2:])
    log.close()


def compacted(folder: Path) -> None:
    """The log of a second writer, which has put a snapshot in place of the first purge."""
    logged(folder)
    log = PurgeLog(RealDisk(str(folder)))
    log.compact(LOGGED[1:], 1, LOGGED[0].purged_at)
    log.append([messages_module.Purge(5, WHEN + 5, "tag", ("iris",))])
    log.close()


def numbered(folder: Path) -> None:
    TokenStorage(str(folder), "k1", print).write(NUMBERS)


def numbered_none(folder: Path) -> None:
    TokenStorage(str(folder), "k1", print).write({})


FOLDERS = {
    "ledger": logged,
    "ledger_compacted": compacted,
    "lease_server": numbered,
    "lease_server_none": numbered_none,
}

# -- refusals: they name fields of the message that was refused ---------------------------------------------


def refused_budgets() -> list[Any]:
    grants, terms_checksum, most = allocator.QuotaAllocator([BUDGET], 0), BUDGET.terms_checksum, float(2**80)
    grants.handle_request(
        quota_messages.QuotaRequest("origin", "t-0", "0123abcd", 5, 1.0, 0.0, 0, 0, terms_checksum), S
    )
    return [
        grants.handle_request(quota_messages.QuotaRequest(*each), S)
        for each in (
            ("fills", "t-0", "0123abcd", 6, 1.0, 0.0, 0, 0, terms_checksum),
            ("origin", "t-0", "0123abcd", 6, 1.0, 0.0, 0, 0, 1),
            ("origin", "t-0", "0123abcd", 6, most, 0.0, 0, 0, terms_checksum),
            ("origin", "t-0", "0123abcd", 6, 1.0, most, 0, 0, terms_checksum),
            ("origin", "t-0", "0123abcd", 6, 1.0, 0.0, -1, 0, terms_checksum),
            ("origin", "t-0", "0123abcd", 6, 1.0, 0.0, 0, -1, terms_checksum),
            ("origin", "t-0", "0123abcd", 5, 1.0, 0.0, 0, 0, terms_checksum),
        )
    ]


def refused_colds() -> list[Any]:
    grants, terms_checksum = slow_start_allocator.SlowStartAllocator({"cache": COLD}, 0), COLD.terms_checksum
    grants.handle_request(
        slow_start_messages.SlowStartRequest("n1", "cache", 5, 9, 9, 0, 1, terms_checksum),
        "t-0",
        "0123abcd",
        S,
    )
    return [
        grants.handle_request(slow_start_messages.SlowStartRequest(*each), "t-0", "0123abcd", S)
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
    keeper, terms_checksum = lease_keeper.Acceptor(LEASES, "k1", 0), LEASES.checksum
    return [
        keeper.vote(lease_terms.VoteRequest(*each), 9 * S)
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
            messages_module.PurgeRequest("all", ("rose",)),
            messages_module.PurgeRequest("tag", ("rose",), "/"),
            messages_module.PurgeRequest("tag", ("rose",), "", "/"),
            messages_module.PurgeRequest("tag", ("rose",), "", "", " "),
        )
    ]


# The texts of a refusal are for people and may change; the field that it names is compared with the asker's.
REFUSALS = {
    "budgets": refused_budgets,
    "cold_servers": refused_colds,
    "leases": refused_votes,
    "purges": refused_purges,
}


def refused_field(refusal: Any) -> str:
    """Which field of a request was at fault, as the refusal says on the wire."""
    return refusal.field if isinstance(refusal, lease_terms.VoteRefusal) else refusal.place


def refused(name: str) -> bytes:
    """The fields that are named, one a line."""
    return "".join(f"{refused_field(each)}\n" for each in REFUSALS[name]()).encode()


# -- edges: what others read -------------------------------------------------------------------------------


def acted(what: str, *arguments: Any) -> bytes:
    """The drill's line for one action, as its host writes it."""
    instance = RouterInstance.__new__(RouterInstance)  # its actions need no setup
    instance.actions = []
    getattr(instance, what)(*arguments)
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
    "drill_dispatch.json": lambda: acted(
        "forward", 41, Forward(2, "n1", "p1", 3, 60 * S, True, True, 400_000, 9 * S), 8 * S
    ),
    "drill_dispatch_plain.json": lambda: acted(
        "forward", 42, Forward(0, "n2", "n2", 0, 0, False, False, 400_000, 9 * S), 8 * S
    ),
    "drill_call_off.json": lambda: acted("cancel_attempt", 41, 2, 8 * S),
    "drill_deny.json": lambda: acted("reject", 41, 250_000),
    "drill_abort.json": lambda: acted("fail", 41),
    "drill_probe.json": lambda: acted("start_health_check", "n1", 300_000),
    "drill_subscribe.json": lambda: acted("subscribe_to_endpoints"),
    "drill_timer.json": lambda: acted("set_timer", 9 * S, 8 * S, 5),
}

ANSWERS = {
    messages_module.StatusQuery: STATUS,
    messages_module.MembersQuery: messages_module.MembersReply(3, 10, MEMBERS),
    messages_module.QuotaQuery: messages_module.QuotaStatus(3, BUDGETS, 2, COLD_STATES),
    messages_module.HealthQuery: messages_module.HealthReply(
        3, (messages_module.StoreHealth("north", JUDGEMENTS, COUNTS),)
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


def answered(ask: Any, ledgers: Any, said: Any) -> Any:
    """What a ledger answers, without one."""
    return (
        [messages_module.PurgeAccepted(7, WHEN + 7, 2 * S, True)]
        if isinstance(said, list)
        else ANSWERS[type(said)]
    )


def printed(name: str, patch: pytest.MonkeyPatch) -> bytes:
    for module in (cli_purge, cli_fleet):
        patch.setattr(module, "run_or_exit", answered)
    patch.setattr(cli_lease, "_ask", lambda path: (LEASES, KEEPS))
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


def same(found: Any, built: Any) -> None:
    """Equal, and of the same types all the way down: tuples compare equal whatever their names."""
    assert found == built
    assert repr(found) == repr(built)


def contents(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


@pytest.mark.parametrize("path, message, decode", MESSAGES)
def test_message_bytes(path, message, decode):
    recorded = (GOLDEN / path).read_bytes()
    assert recorded.endswith(b"\n") and recorded.count(b"\n") == 1
    same(decode(recorded[:-1]), message)
    assert messages_module.encode_line(message) == recorded


@pytest.mark.parametrize("name, default", [("welcome", "welcome_defaults"), ("budgets", "budgets_defaults")])
def test_message_of_older_ledger_is_read(name, default):
    """Fields that were added since are always written, and may be missing in what is read."""
    recorded = (GOLDEN / "from_older" / f"{name}.json").read_bytes()
    same(messages_module.decode_from_purge_log(recorded[:-1]), FROM_LEDGER[default])


def parts(value: Any) -> Iterator[Any]:
    """A message and all that is nested in it."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = [getattr(value, name) for name in value.__struct_fields__]
    elif isinstance(value, dict):
        value = list(value.values())
    elif hasattr(value, "_fields"):
        yield value
    if isinstance(value, list | tuple):
        for each in value:
            yield from parts(each)


@pytest.mark.parametrize(
    "union, messages",
    [
        pytest.param(messages_module.ToPurgeLog, TO_LEDGER, id="to_ledger"),
        pytest.param(messages_module.FromPurgeLog, FROM_LEDGER, id="from_ledger"),
        pytest.param(lease_words.ToAcceptor, TO_KEEPER, id="to_lease_server"),
        pytest.param(lease_words.FromAcceptor, FROM_KEEPER, id="from_lease_server"),
    ],
)
def test_every_message_and_optional_field_is_recorded(union, messages):
    assert {type(each) for each in messages.values()} == set(get_args(union))
    optional: dict[tuple[type, str], set[bool]] = {}
    for part in (part for each in messages.values() for part in parts(each)):
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
    assert contents(tmp_path) == contents(GOLDEN / "stored" / name)


def test_purge_log_is_read():
    disk = RealDisk(str(GOLDEN / "stored" / "ledger"))
    assert disk.names() == ["00000001-00000001.log", "00000001-00000002.log", "epoch-00000001"]
    length = len(disk.read("00000001-00000002.log"))
    same(read_log(disk), LogContents(LOGGED, 0, 0, "00000001-00000002.log", length, 0, []))
    first = len(disk.read("00000001-00000001.log"))
    headers = {"00000001-00000001.log": SegmentHeader(1, 1, "", 0, 0)}
    headers["00000001-00000002.log"] = SegmentHeader(1, 1, "00000001-00000001.log", first, 2)
    for name, header in headers.items():
        data = disk.read(name)
        same(msgspec.msgpack.decode(next(read_records(data, len(data))).payload, type=SegmentHeader), header)


def test_purge_log_snapshot_is_read():
    disk = RealDisk(str(GOLDEN / "stored" / "ledger_compacted"))
    assert disk.names() == [
        "0000000000000004.snapshot",
        "00000002-00000001.log",
        "epoch-00000001",
        "epoch-00000002",
    ]
    length = len(disk.read("00000002-00000001.log"))
    purges = [*LOGGED[1:], messages_module.Purge(5, WHEN + 5, "tag", ("iris",))]
    same(read_log(disk), LogContents(purges, 1, WHEN + 1, "00000002-00000001.log", length, 0, []))
    data = disk.read("0000000000000004.snapshot")
    summary = next(read_records(data, len(data))).payload
    same(msgspec.msgpack.decode(summary, type=SnapshotHeader), SnapshotHeader(1, 4, 1, WHEN + 1))


@pytest.mark.parametrize("name, numbers", [("lease_server", NUMBERS), ("lease_server_none", {})])
def test_lease_numbers_are_read(name, numbers):
    said = []
    same(TokenStorage(str(GOLDEN / "stored" / name), "k1", said.append).found, numbers)
    assert said == []


@pytest.mark.parametrize("name", MARKS)
def test_router_marks_file(name, tmp_path):
    path, memo = GOLDEN / "stored" / name, MARKS[name]
    same(msgspec.msgpack.decode(path.read_bytes(), type=site_purges.StoredPurges), memo)
    fleet = FleetPurges(2 * S, 3_600 * S, 1_000, 1_000, 0, True)
    follower = PurgeReplica("t-0", "router", "0123abcd", fleet.lease)
    assert site_purges.restore(str(path), fleet, follower, WHEN + S) == ""
    same(site_purges.stored_purges(fleet, follower.applied_up_to), memo)
    site_purges.save(str(tmp_path / name), memo)
    assert (tmp_path / name).read_bytes() == path.read_bytes()


def test_fault_schedule_file(tmp_path):
    path = GOLDEN / "stored" / "faults.jsonl"
    same(fault_schedule.read(path), FAULTS)
    fault_schedule.write(tmp_path / "faults", FAULTS)
    assert (tmp_path / "faults").read_bytes() == path.read_bytes()


def checksum_of(terms: Any) -> int:
    """Two parties compare it on the wire to see that they go by the same terms."""
    return terms.checksum if isinstance(terms, lease_terms.LeaseTerms) else terms.terms_checksum


@pytest.mark.parametrize("name", CHECKSUMMED_TERMS)
def test_terms_checksum(name):
    recorded = json.loads((GOLDEN / "checksums.json").read_bytes())
    assert set(recorded) == set(CHECKSUMMED_TERMS)
    assert checksum_of(CHECKSUMMED_TERMS[name]) == recorded[name]


@pytest.mark.parametrize("name", REFUSALS)
def test_refusals_name_fields(name):
    assert refused(name) == (GOLDEN / "refusals" / name).read_bytes()


@pytest.mark.parametrize("name", EDGES)
def test_edge_bytes(name):
    assert EDGES[name]() == (GOLDEN / "edges" / name).read_bytes()


@pytest.mark.parametrize("name", COMMANDS)
def test_command_json_output(name, monkeypatch):
    assert printed(name, monkeypatch) == (GOLDEN / "commands" / f"{name}.json").read_bytes()


DRILL_READ = {
    "drill_listed.json": (
        lambda event: wire.endpoint(event, Tiers()),
        Endpoint("n1", "north", Tier.CACHE, "box", 3, EndpointState.DRAINING, 2.5, WHEN),
    ),
    "drill_req.json": (wire.request, Request(41, "page", "00a1", 7, 2, 12.5, 3 * S, "acme")),
    "drill_req_defaults.json": (wire.request, Request(42, "page", "00a2", None, 0, 0.0, 3 * S)),
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


class Tiers:
    """All of a briefing that a listed cache needs."""

    def tier(self, kind: str) -> Tier:
        assert kind == "box"
        return Tier.CACHE


@pytest.mark.parametrize("name", DRILL_READ)
def test_drill_event_is_read(name):
    decode, built = DRILL_READ[name]
    same(decode(orjson.loads((GOLDEN / "edges" / name).read_bytes())), built)


# -- recording ---------------------------------------------------------------------------------------------


def record() -> None:
    """Writes the files that are missing; those that are there stay as they are."""

    def put(path: str, data: bytes) -> None:
        if not (GOLDEN / path).exists():
            (GOLDEN / path).parent.mkdir(parents=True, exist_ok=True)
            (GOLDEN / path).write_bytes(data)
            print(f"{path}: {len(data)} bytes", file=sys.stderr)

    for entry in MESSAGES:
        put(entry.values[0], messages_module.encode_line(entry.values[1]))
    with tempfile.TemporaryDirectory() as made:
        for name, make in FOLDERS.items():
            make(Path(made) / name)
            for file, data in contents(Path(made) / name).items():
                put(f"stored/{name}/{file}", data)
        for name, memo in MARKS.items():
            site_purges.save(f"{made}/{name}", memo)
            put(f"stored/{name}", Path(made, name).read_bytes())
        fault_schedule.write(Path(made, "faults"), FAULTS)
        put("stored/faults.jsonl", Path(made, "faults").read_bytes())
    checksums = {name: checksum_of(terms) for name, terms in CHECKSUMMED_TERMS.items()}
    put("checksums.json", json.dumps(checksums, indent=2).encode() + b"\n")
    for name, make in EDGES.items():
        put(f"edges/{name}", make())
    for name in REFUSALS:
        put(f"refusals/{name}", refused(name))
    with pytest.MonkeyPatch.context() as patch:
        for name in COMMANDS:
            put(f"commands/{name}.json", printed(name, patch))


if __name__ == "__main__":
    record()
