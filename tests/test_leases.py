"""Tests of leases: acceptors, proposers, stored tokens, connections, and processes with injected faults.

Operators' texts call an acceptor a keeper, a proposer a claimant, and a fencing token a number.
"""

import json
import random
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import permutations
from multiprocessing import get_context

import anyio
import pytest
from click.testing import CliRunner

from quartzrouter.cli.main import cli
from quartzrouter.fakes import caches
from quartzrouter.fakes.faulty_disk import FaultyDisk
from quartzrouter.fakes.loopback import Server
from quartzrouter.fault_harness import history_checks, mutations
from quartzrouter.fault_harness.history import History, HistoryEvent
from quartzrouter.fault_harness.linearizability import Operation, fencing_spec, is_linearizable
from quartzrouter.fault_scenarios.leases import (
    ACCEPT_ANY_TOKEN,
    DEFAULT_SIZE,
    SCENES,
    draw_schedule,
    play,
    play_with_and_without,
)
from quartzrouter.lease_service.client import ClusterLeaseClient
from quartzrouter.lease_service.queries import ask_all
from quartzrouter.lease_service.server import LeaseServer
from quartzrouter.lease_service.token_storage import ForeignFolderError, TokenStorage
from quartzrouter.leases import messages
from quartzrouter.leases.acceptor import Acceptor
from quartzrouter.leases.proposer import LeaseAcquired, LeaseLost, Proposer
from quartzrouter.leases.status import describe, explain, task_statuses
from quartzrouter.leases.terms import (
    FencingToken,
    LeaseTerms,
    VoteRefusal,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from quartzrouter.model_checking import lease_model as model
from quartzrouter.model_checking.checker import explore
from quartzrouter.model_checking.lease_model import FINE, Bounds, LeaseModel
from quartzrouter.purge_log.delivery import DeliveryWorker
from quartzrouter.purge_log.server import PurgeLogServer
from quartzrouter.purges.delivery_plan import Delivery
from quartzrouter.purges.messages import Purge
from quartzrouter.quota.budget import Budget
from quartzrouter.quota.messages import QuotaRequest
from quartzrouter.server import process as net
from quartzrouter.server.rate_limited_log import RateLimitedLog

SECOND = 1_000_000
TERMS = LeaseTerms(("k0", "k1", "k2"), tasks=(("sweep", ()), ("look", ("b",))))
TTL = TERMS.ttl


def vote_request(
    name="a", token="t", round=1, number=1, task="sweep", checksum=TERMS.checksum, is_holder=False
):
    return VoteRequest(task, name, token, round, number, checksum, is_holder)


def running_acceptor(now=0, **arguments):
    """Returns an acceptor that started long enough ago to vote."""
    return Acceptor(TERMS, "k0", now - 2 * TTL, **arguments)


# -- acceptors -----------------------------------------------------------------------------------------------


def test_an_acceptor_votes_for_one_proposer_until_its_vote_expires():
    acceptor = running_acceptor()
    assert acceptor.vote(vote_request(), 0).granted
    denial = acceptor.vote(vote_request("b", number=5), TTL // 2)
    assert (
        not denial.granted
        and denial.time_left == TTL // 2
        and denial.holder == "a"
        and denial.highest_token == 1
    )
    assert acceptor.vote(vote_request(round=2, is_holder=True), TTL // 2).granted  # a renewal
    assert not acceptor.vote(vote_request("b", number=5), TTL).granted
    assert acceptor.vote(vote_request("b", number=5), TTL * 3 // 2).granted
    # It denies a lower token than one that it voted for.
    assert not acceptor.vote(vote_request(round=3, number=4), 3 * TTL).granted


def test_an_acceptor_that_has_just_started_denies_votes_and_learns_tokens_of_holders():
    acceptor = Acceptor(TERMS, "k0", 0)
    denial = acceptor.vote(vote_request(number=7, is_holder=True), TTL)
    assert not denial.granted and 0 < denial.time_left <= TERMS.clock_slack(TTL) and denial.holder == ""
    voting_starts_at = TERMS.voting_starts_at(0)
    # The token is another proposer's.
    assert not acceptor.vote(vote_request("b", number=7), voting_starts_at).granted
    assert acceptor.vote(vote_request("b", number=8), voting_starts_at).granted


def test_a_released_vote_is_available_at_once_and_a_late_release_has_no_effect():
    acceptor = running_acceptor()
    acceptor.vote(vote_request(number=3), 0)
    for name in "bcd":
        acceptor.vote(vote_request(name, number=1), 0)
    assert (
        acceptor.release(VoteRelease("sweep", "a", "other", 3), 1)
        == ()
        == acceptor.release(VoteRelease("sweep", "a", "t", 2), 1)
    )
    # Few waiting proposers are notified, as only one can get the vote.
    assert acceptor.release(VoteRelease("sweep", "a", "t", 3), 1) == ("b", "c")
    assert acceptor.vote(vote_request("b", number=4), 2).granted
    assert (
        acceptor.release(VoteRelease("sweep", "a", "t", 3), 3) == ()
        and not acceptor.vote(vote_request("c", number=9), 3).granted
    )


@pytest.mark.parametrize(
    "said,place",
    [
        (vote_request(checksum=1), "figures"),
        (vote_request(task="none"), "task"),
        (vote_request(name=""), "name"),
        (vote_request(name="x" * 65), "name"),
        (vote_request(token="x" * 65), "token"),
        (vote_request(number=0), "number"),
        (vote_request(number=1 << 60), "number"),
        (vote_request(round=-1), "number"),
    ],
)
def test_invalid_requests_are_refused_and_counted(said, place):
    acceptor = running_acceptor()
    refusal = acceptor.vote(said, 0)
    assert (
        isinstance(refusal, VoteRefusal)
        and refusal.field == place
        and acceptor.status(0).refused_requests == 1
    )


def test_a_revoked_holder_gets_no_vote_for_some_leases():
    acceptor = running_acceptor()
    acceptor.vote(vote_request(number=2), 0)
    assert acceptor.revoke("sweep", 1) == "a" and acceptor.revoke("look", 1) == ""
    assert not acceptor.vote(vote_request(round=2, number=2, is_holder=True), 2).granted
    assert acceptor.vote(vote_request("b", number=3), TTL).granted
    # Later it may hold the lease again.
    assert acceptor.vote(vote_request(round=3, number=9), 4 * TTL).granted


def test_the_list_of_acceptors_changes_by_one_at_a_time():
    acceptor, four_acceptors = running_acceptor(), LeaseTerms(("k0", "k1", "k2", "k3"), 2, tasks=TERMS.tasks)
    five_acceptors = LeaseTerms(("k0", "k1", "k2", "k3", "k4"), 3, tasks=TERMS.tasks)
    current_versions = {"k1": 1, "k2": 1}
    assert (
        acceptor.change_terms(
            five_acceptors._replace(version=2) if hasattr(five_acceptors, "_replace") else five_acceptors,
            current_versions,
        ).field
        == "keepers"
    )
    assert "k2 may not" in acceptor.change_terms(four_acceptors, {"k1": 1}).reason
    assert (
        acceptor.change_terms(LeaseTerms(("k1", "k2", "k3"), 2), current_versions).reason
        == "k0 is not among them"
    )
    assert acceptor.change_terms(LeaseTerms(TERMS.acceptors, 1, ttl=9), current_versions).field == "length"
    assert (
        acceptor.change_terms(four_acceptors, current_versions) is None and acceptor.terms == four_acceptors
    )
    assert acceptor.vote(vote_request(), 0).field == "figures"  # proposers with the old list are refused
    assert acceptor.change_terms(five_acceptors, {"k1": 2, "k2": 1, "k3": 2}).reason.startswith("k2 may not")
    assert acceptor.change_terms(five_acceptors, {"k1": 2, "k2": 2, "k3": 2}) is None


# -- proposers -----------------------------------------------------------------------------------------------


class LeaseScenario:
    """Three acceptors and some proposers, whose messages arrive at once."""

    def __init__(self, *names):
        self.now, self.wall_clock = 10 * SECOND, 1_000
        self.acceptors = [Acceptor(TERMS, name, 0) for name in TERMS.acceptors]
        self.proposers = [Proposer(TERMS, "sweep", name, f"t-{name}", self.now) for name in names]
        self.lease_changes = []
        self.cut_links = set()

    def apply_effects(self, proposer, effects):
        for effect in effects:
            if isinstance(effect, (LeaseAcquired, LeaseLost)):
                self.lease_changes.append((proposer.name, type(effect).__name__))
                continue
            for acceptor in self.acceptors:
                if (proposer.name, acceptor.name) in self.cut_links:
                    continue
                if isinstance(effect.message, VoteRelease):
                    for name in acceptor.release(effect.message, self.now):
                        next(each for each in self.proposers if each.name == name).handle_vote_available(
                            self.now
                        )
                elif isinstance(reply := acceptor.vote(effect.message, self.now), VoteReply):
                    self.apply_effects(proposer, proposer.handle_reply(reply, self.now))

    def advance(self, duration):
        until = self.now + duration
        while self.now < until:
            self.now = min(until, self.now + 10_000)
            for proposer in self.proposers:
                self.apply_effects(proposer, proposer.tick(self.now, self.wall_clock))

    def holders(self):
        return [proposer.name for proposer in self.proposers if proposer.may_act(self.now)]


def test_one_proposer_holds_the_lease_renews_it_and_hands_it_over_at_once():
    scenario = LeaseScenario("a", "b", "c")
    scenario.advance(TTL)
    (first,) = scenario.holders()
    scenario.advance(10 * TTL)
    # Other proposers don't replace a holder that renews its lease.
    assert scenario.holders() == [first] and len(scenario.lease_changes) == 1
    holder = next(proposer for proposer in scenario.proposers if proposer.name == first)
    scenario.apply_effects(holder, holder.release(scenario.now))
    scenario.advance(50_000)
    (second,) = scenario.holders()
    assert second != first and [change for _, change in scenario.lease_changes] == [
        "LeaseAcquired",
        "LeaseLost",
        "LeaseAcquired",
    ]


def test_a_holder_that_is_cut_off_stops_before_another_starts():
    scenario = LeaseScenario("a", "b")
    scenario.advance(TTL)
    (first,) = scenario.holders()
    old_tokens = [proposer.fencing_token for proposer in scenario.proposers if proposer.name == first]
    scenario.cut_links = {(first, name) for name in TERMS.acceptors}
    holders = []
    for _ in range(2 * TTL // 10_000):
        scenario.advance(10_000)
        holders.append(tuple(scenario.holders()))
    assert all(len(each) <= 1 for each in holders) and holders[0] == (first,) and holders[-1] != (first,)
    time_without_holder = holders.count(()) * 10_000
    assert TTL // 8 <= time_without_holder <= TTL * 3 // 4
    assert (
        next(proposer.fencing_token for proposer in scenario.proposers if proposer.may_act(scenario.now))
        > old_tokens[0]
    )


def test_the_loss_of_a_minority_of_acceptors_has_no_effect():
    scenario = LeaseScenario("a")
    scenario.cut_links = {("a", "k1")}
    scenario.advance(3 * TTL)
    assert scenario.holders() == ["a"]
    scenario.cut_links.add(("a", "k2"))
    scenario.advance(2 * TTL)
    assert scenario.holders() == [] and scenario.lease_changes[-1] == ("a", "LeaseLost")


def test_acceptors_that_all_lost_their_tokens_grant_higher_ones_after_a_lease():
    scenario = LeaseScenario("a")
    scenario.advance(TTL)
    old_token = scenario.proposers[0].fencing_token
    scenario.acceptors = [Acceptor(TERMS, name, scenario.now) for name in TERMS.acceptors]
    scenario.proposers = [Proposer(TERMS, "sweep", "b", "t-b", scenario.now)]
    restarted_at = scenario.now
    while not scenario.holders():
        scenario.advance(10_000)
    assert scenario.now - restarted_at >= TTL
    # If the wall clock was set back too, the target of an action reports the higher token.
    scenario.wall_clock = 500
    proposer = scenario.proposers[0]
    proposer.fencing_token = old_token - 1
    scenario.apply_effects(proposer, proposer.handle_superseding_token(old_token, scenario.now))
    scenario.advance(2 * TTL)
    assert scenario.holders() == ["b"] and proposer.fencing_token > old_token


def test_a_holder_whose_task_fails_leaves_it_to_another():
    scenario = LeaseScenario("a", "b")
    scenario.advance(TTL)
    (first,) = scenario.holders()
    holder = next(proposer for proposer in scenario.proposers if proposer.name == first)
    scenario.apply_effects(holder, holder.handle_task_failure(scenario.now))
    scenario.advance(TTL)
    assert scenario.holders() not in ([], [first])
    assert holder.next_request_at > scenario.now - TTL // 2 and holder.failures == 1
    other = next(proposer for proposer in scenario.proposers if proposer.name != first)
    scenario.apply_effects(other, other.release(scenario.now))
    scenario.advance(4 * TTL)
    assert scenario.holders() == [first] and holder.failures == 0  # it has worked for the time of a lease


def test_preferred_proposers_request_first():
    terms = LeaseTerms(TERMS.acceptors, tasks=(("sweep", ("b",)),))
    other = Proposer(terms, "sweep", "a", "t", 0)
    preferred = Proposer(terms, "sweep", "b", "t", 0)
    assert other.next_request_at >= TTL // 2 > preferred.next_request_at


def test_many_proposers_send_a_bounded_number_of_requests():
    scenario = LeaseScenario(*(f"c{n}" for n in range(60)))
    scenario.advance(3 * TTL)
    requests = sum(proposer.round for proposer in scenario.proposers)
    assert len(scenario.holders()) == 1 and requests <= 60 * 5


# -- the model -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("case", ["a holder stopped ahead of its act", "one name, two processes"])
def test_the_lease_model_has_no_violation_in_any_state(case):
    exploration = explore(LeaseModel(model.CASES[case]), 60_000, 60)
    assert exploration.is_complete and not exploration.violation, exploration.format_trace()


def _handle_old_replies(self, reply, now, handle_reply=Proposer.handle_reply):
    return handle_reply(self, reply._replace(round=self.round), now)


def _release_any_token(self, request, now, release=Acceptor.release):
    vote = self.votes.get(request.task)
    return release(self, request._replace(fencing_token=vote.fencing_token) if vote else request, now)


def _vote_for_any_token(self, request, now, cast_vote=Acceptor.vote):
    if request.task in self.votes:
        self.votes[request.task].highest_token = 0
    return cast_vote(self, request, now)


LATE_REPLIES, NO_FAULTS = ("late back",), Bounds(steps=1, requests=3, faults=0)
MODEL_MUTATIONS = {
    "a keeper votes right after its start": (None, Bounds(steps=1, requests=3, faults=0, restarts=2)),
    "a lease counts from its answers": (None, Bounds(steps=5, requests=3, faults=2, ways=LATE_REPLIES)),
    "the drift is left out": (None, Bounds(steps=17, step=FINE, requests=3, faults=0)),
    "half of the keepers will do": (None, Bounds(steps=1, requests=2, faults=2, keepers=4)),
    "a keeper votes for all": (None, NO_FAULTS),
    "a name is enough": (None, Bounds(steps=1, requests=2, faults=0, same_name=True)),
    "a holder looks at no clock": (
        (Proposer, "may_act", lambda self, now: self.is_holder),
        Bounds(steps=6, requests=3, faults=0, stops=1),
    ),
    "answers to older asks count": (
        (Proposer, "handle_reply", _handle_old_replies),
        Bounds(steps=3, requests=2, faults=2, ways=LATE_REPLIES),
    ),
    "a late word frees a later vote": (
        (Acceptor, "release", _release_any_token),
        Bounds(steps=2, requests=4, faults=2, releases=1, ways=("late there",)),
    ),
    "a keeper takes any number": (
        (Acceptor, "vote", _vote_for_any_token),
        Bounds(steps=5, requests=2, faults=0),
    ),
}


@pytest.mark.parametrize("guard", MODEL_MUTATIONS)
def test_the_model_checker_detects_each_mutation(guard, monkeypatch):
    replacement, bounds = MODEL_MUTATIONS[guard]
    monkeypatch.setattr(*(replacement or mutations.LEASES[guard]))
    assert explore(LeaseModel(bounds), 60_000, 60).violation


def test_fencing_tokens_of_actions_decrease_only_if_the_target_does_not_check():
    bounds = Bounds(steps=6, requests=3, faults=0, stops=1, acts=1)
    assert explore(LeaseModel(bounds, rejects_old_tokens=False), 60_000, 60).violation
    assert not explore(LeaseModel(bounds), 60_000, 60).violation


# -- stored tokens -------------------------------------------------------------------------------------------


def test_stored_tokens_are_read_again_and_damage_is_logged_and_ignored(tmp_path):
    log_lines = []
    tokens = {"sweep": FencingToken(7, "a", "t"), "look": FencingToken(1 << 50, "b", "u")}
    TokenStorage(str(tmp_path), "k0", log_lines.append).write(tokens)
    assert TokenStorage(str(tmp_path), "k0", log_lines.append).found == tokens and not log_lines
    path = tmp_path / "numbers"
    content = path.read_bytes()
    for length in range(len(content)):
        path.write_bytes(content[:length])
        assert TokenStorage(str(tmp_path), "k0", log_lines.append).found == {}
    assert len(log_lines) == len(content)
    unharmed = 0
    for bit in range(8 * len(content)):
        flipped = bytearray(content)
        flipped[bit // 8] ^= 1 << bit % 8
        path.write_bytes(flipped)
        try:
            found = TokenStorage(str(tmp_path), "k0", log_lines.append).found
        except ForeignFolderError:  # the flipped bit is in the name
            continue
        assert found in ({}, tokens)  # flipped bits of unread keys are harmless
        unharmed += found == tokens
    assert unharmed < 8
    path.write_bytes(content)
    with pytest.raises(ForeignFolderError, match="k0's; give k1 a folder of its own"):
        TokenStorage(str(tmp_path), "k1", log_lines.append)


def test_no_vote_is_granted_unless_its_token_is_on_the_disk(tmp_path):
    log_lines = []
    storage = TokenStorage(str(tmp_path), "k0", log_lines.append)
    server = LeaseServer(TERMS, "k0", RateLimitedLog("k0", net.wall_clock), storage, lambda: 100 * SECOND)
    server.acceptor.voting_starts_at = 0

    def fail(tokens):
        raise OSError(28, "No space left on device")

    async def request_vote():
        return await server._handle(messages.VoteRequests((vote_request(),)), None, set())

    storage.write = fail
    assert anyio.run(request_vote).replies == ()
    del storage.write
    assert anyio.run(request_vote).replies[0].granted
    assert TokenStorage(str(tmp_path), "k0", log_lines.append).found["sweep"].number == 1


# -- over loopback connections -------------------------------------------------------------------------------


class LoopbackLeaseServer(Server):
    def __init__(self, name, terms, storage=None):
        self.lease_server = LeaseServer(terms, name, RateLimitedLog(name, net.wall_clock), storage)
        self.lease_server.acceptor.voting_starts_at = 0

    async def serve(self, stream):
        await self.lease_server.serve(stream)


def run_over_loopback(scenario, names=("a", "b"), ttl=600_000, storage_of=lambda name: None):
    terms = LeaseTerms(("k0", "k1", "k2"), ttl=ttl, tasks=(("sweep", ()),))

    async def main():
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                servers = {
                    name: LoopbackLeaseServer(name, terms, storage_of(name)) for name in terms.acceptors
                }
                for each in servers.values():
                    await each.start(tasks)
                addresses = {name: ("127.0.0.1", each.port) for name, each in servers.items()}
                clients = [
                    ClusterLeaseClient(terms, addresses, name, RateLimitedLog(name, net.wall_clock))
                    for name in names
                ]
                for each in clients:
                    tasks.start_soon(each.run)
                await scenario(tasks, servers, clients)
                tasks.cancel_scope.cancel()

    anyio.run(main, backend_options=net.BACKEND_OPTIONS)


def test_a_released_task_goes_to_another_once_its_work_has_ended():
    events = []

    async def scenario(tasks, servers, clients):
        async def work(client_name, lease):
            events.append((client_name, "begins"))
            try:
                await anyio.sleep_forever()
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(0.05)
                events.append((client_name, "ends"))

        for each in clients:
            tasks.start_soon(each.perform, "sweep", lambda lease, name=each.name: work(name, lease))
        while not events:
            await anyio.sleep(0.01)
        first = next(each for each in clients if each.name == events[0][0])
        await anyio.sleep(0.7)  # it renews its lease, and the other's requests are denied
        await first.release()
        while len(events) < 3:
            await anyio.sleep(0.005)

    run_over_loopback(scenario)
    assert events[1] == (events[0][0], "ends") and events[2][0] != events[0][0]


class SlowStorage(TokenStorage):
    """A storage whose writes take a given time."""

    def __init__(self, folder, name, write_time):
        super().__init__(str(folder), name, lambda line: None)
        self.write_time = write_time

    def write(self, tokens):
        time.sleep(self.write_time)
        super().write(tokens)


LEASES_UNTIL_HELD = 4


@pytest.mark.parametrize("write_time", [0.2, 0.5])
def test_disks_slower_than_a_round_of_requests_delay_leases_but_do_not_prevent_them(tmp_path, write_time):
    """A round is sent every 150 ms, so a vote that waits for the disk comes after the next request."""
    acquired_tokens, holders = [], []

    async def scenario(tasks, servers, clients):
        async def work(name, lease):
            holders.append(name)
            assert len(holders) == 1
            acquired_tokens.append(lease.fencing_token)
            try:
                await anyio.sleep_forever()
            finally:
                holders.remove(name)

        for each in clients:
            tasks.start_soon(each.perform, "sweep", lambda lease, name=each.name: work(name, lease))
        for handovers in range(3):
            with anyio.fail_after(LEASES_UNTIL_HELD * 0.6):
                while len(acquired_tokens) == handovers or not holders:
                    await anyio.sleep(0.01)
            await anyio.sleep(1.3)  # it is renewed, which needs no write
            assert len(acquired_tokens) == handovers + 1
            await next(each for each in clients if each.name == holders[0]).release()

    run_over_loopback(
        scenario,
        names=("a", "b", "c"),
        storage_of=lambda name: SlowStorage(tmp_path / name, name, write_time),
    )
    assert acquired_tokens == sorted(set(acquired_tokens))


def test_work_that_raises_an_exception_releases_the_task_without_a_traceback():
    attempts = []

    async def scenario(tasks, servers, clients):
        async def fail(lease):
            attempts.append("a")
            raise ValueError("no")

        async def work(lease):
            attempts.append("b")
            await anyio.sleep_forever()

        tasks.start_soon(clients[0].perform, "sweep", fail)
        while not attempts:
            await anyio.sleep(0.01)
        tasks.start_soon(clients[1].perform, "sweep", work)
        while attempts[-1] != "b":
            await anyio.sleep(0.01)

    run_over_loopback(scenario)


def test_a_malformed_message_is_rejected_and_ends_the_connection():
    async def scenario(tasks, servers, clients):
        for line in (b"hello\n", b'{"say":"votes","votes":[["x"]]}\n', b'{"say":"votes"' + b" " * 300_000):
            async with await anyio.connect_tcp("127.0.0.1", servers["k0"].port) as stream:
                await stream.send(line)
                reply = json.loads(await stream.receive())
                assert reply["say"] == "unheard" and "docs/leases.md" in reply["remedy"]

    run_over_loopback(scenario)


PLAN = """{
  deployment: { name: "t", home: "north" }, stores: { north: { hub: "h" } }, hubs: { h: {} },
  caches: { n: { address: "127.0.0.1:1", at: "north" } },
  vhosts: { page: { effect: "replayable", client_timeout: 3s } }, pools: { near: {} },
  purges: { ledgers: "127.0.0.1:7700" },
  leases: { keepers: { k0: "127.0.0.1:%d", k1: "127.0.0.1:%d" }, tasks: { sweep: {} } },
  routes: { all: { match: {}, vhost: "page", pool: "near" } },
}"""


def test_operators_see_why_nobody_holds_a_task(tmp_path):
    path = tmp_path / "main.plan"
    path.write_text(PLAN % (1, 2))
    run = CliRunner().invoke
    listed = run(cli, ["lease", "list", str(path), "--json"])
    assert listed.exit_code == 1 and set(json.loads(listed.output)["silent"]) == {"k0", "k1"}
    explanation = run(cli, ["lease", "why", str(path), "sweep"]).output
    assert "0 of 2 keepers answer, 2 are needed: start them" in explanation
    assert "there are sweep" in run(cli, ["lease", "why", str(path), "other"]).output
    refused = run(cli, ["purge", "deliver", str(path), "--task", "other", "--name", "a"])
    assert refused.exit_code == 1 and ".plan:6" in refused.output and "there are sweep" in refused.output
    refused = run(cli, ["keeper", "run", str(path), "--name", "k7"])
    assert refused.exit_code == 1 and "there is no keeper 'k7'; there are k0, k1" in refused.output


def test_task_statuses_show_the_holder_from_the_votes_of_all_acceptors():
    acceptors = {name: running_acceptor() for name in TERMS.acceptors}
    for name, each in acceptors.items():
        each.name = name
        each.vote(vote_request(number=4), 0)
        each.vote(vote_request("b", number=2), 1)
    statuses = {name: each.status(SECOND) for name, each in acceptors.items()}
    held, free = task_statuses(TERMS, statuses)
    assert (held.task, held.holder, held.fencing_token, held.votes, held.waiting) == (
        "sweep",
        "a",
        4,
        3,
        ("b",),
    )
    assert "a, number 4" in describe(held) and free.holder == "" and "nobody" in describe(free)
    assert "nobody asks for it" in explain(TERMS, statuses, "look")[-1]
    statuses["k1"] = statuses["k2"] = "ConnectionRefusedError"
    assert "1 of 3 keepers answer" in explain(TERMS, statuses, "sweep")[-1]


# -- processes -----------------------------------------------------------------------------------------------


def history_of(*events):
    history = History()
    history.events = [HistoryEvent(at, what, who, {"number": number}) for at, what, who, number in events]
    return history


def test_history_checks_find_overlapping_actions_and_ignore_interrupted_ones():
    overlapping = history_of(
        (0, "begin", "a", 1), (5, "begin", "b", 2), (9, "finish", "a", 1), (12, "finish", "b", 2)
    )
    assert len(
        history_checks.overlapping_actions(overlapping, 100)
    ) == 1 and not history_checks.decreasing_tokens(overlapping)
    interrupted = history_of((0, "begin", "a", 1), (2, "stop", "a", 0), (5, "begin", "b", 2))
    assert not history_checks.overlapping_actions(
        interrupted, 100
    ) and not history_checks.overlapping_actions(overlapping, 4)
    sequential = history_of(
        (0, "begin", "a", 2), (1, "finish", "a", 2), (3, "begin", "b", 1), (4, "finish", "b", 1)
    )
    assert (
        not history_checks.overlapping_actions(sequential, 100)
        and len(history_checks.decreasing_tokens(sequential)) == 1
    )
    assert history_checks.idle_times(sequential, 0, 10) == [0, 2, 6]


def operation(called, back, number, *answer):
    return Operation(called, back, (number,), answer or None)


def test_answers_that_no_order_explains_are_not_linearizable():
    linearizable = [
        operation(0, 9, 1, "yes", 1),
        operation(1, 5, 3, "yes", 3),
        operation(6, 8, 2, "no", 3),
        operation(7, None, 5),
    ]
    assert is_linearizable(linearizable, fencing_spec, 0) is True
    # The operation without an answer took effect.
    assert is_linearizable([*linearizable, operation(10, 12, 4, "no", 5)], fencing_spec, 0) is True
    assert (
        is_linearizable(
            [*linearizable, operation(10, 12, 4, "yes", 4), operation(13, 14, 4, "no", 5)], fencing_spec, 0
        )
        is True
    )
    assert is_linearizable([*linearizable, operation(10, 12, 2, "yes", 2)], fencing_spec, 0) is False
    assert (
        is_linearizable([operation(0, 1, 3, "yes", 3), operation(2, 3, 2, "yes", 2)], fencing_spec, 0)
        is False
    )
    # Concurrent operations may take effect in any order.
    assert (
        is_linearizable([operation(0, 4, 3, "yes", 3), operation(2, 3, 2, "yes", 2)], fencing_spec, 0) is True
    )
    many = [operation(10 * n, 10 * n + 25, n, "yes", n) for n in range(400)]
    assert is_linearizable(many, fencing_spec, 0) is True
    assert is_linearizable([*many, operation(4_100, 4_101, 5, "yes", 5)], fencing_spec, 0) is False


def test_the_linearizability_checker_agrees_with_a_brute_force_search():
    generator = random.Random(5)
    results = set()
    for _ in range(400):
        operations = []
        for _ in range(5):
            called, number = generator.randint(0, 9), generator.randint(1, 3)
            answer = generator.choice((("yes", number), ("no", generator.randint(1, 3)), ()))
            operations.append(
                operation(called, called + generator.randint(1, 6) if answer else None, number, *answer)
            )
        results.add(is_linearizable(operations, fencing_spec, 0))
        assert is_linearizable(operations, fencing_spec, 0) == is_linearizable_by_brute_force(operations)
    assert results == {True, False}


def is_linearizable_by_brute_force(operations):
    known = [each for each in operations if each.result]
    for size in range(len(known), len(operations) + 1):
        for some in permutations(operations, size):
            if not set(known) <= set(some) or len(known) > size:
                continue
            if any(
                a.returned_at is not None and b.called_at > a.returned_at and some.index(b) < n
                for n, a in enumerate(some)
                for b in some
            ):
                continue
            state = 0
            for each in some:
                state, answer = fencing_spec(state, each.arguments)
                if each.result and each.result != answer:
                    break
            else:
                return True
    return False


def _run_scenario(seed):
    generator = random.Random(seed)
    outcome = play(generator, DEFAULT_SIZE, draw_schedule(generator, DEFAULT_SIZE, 26))
    return (
        len(outcome.overlapping_actions),
        len(outcome.decreasing_tokens),
        outcome.faults,
        outcome.linearizable,
        outcome.action_count,
    )


def _run_with_and_without_mutation(guard):
    unchanged, mutated = play_with_and_without(1, guard)
    return unchanged.broken, mutated.broken


@pytest.fixture(scope="module")
def pool():
    with ProcessPoolExecutor(4, mp_context=get_context("spawn")) as executor:
        yield executor


@pytest.fixture(scope="module")
def results(pool):
    """Runs all scenarios concurrently: each takes some seconds, and mostly waits."""
    unmutated = pool.submit(_run_scenario, 1)
    return unmutated, {
        guard: pool.submit(_run_with_and_without_mutation, guard) for guard in SCENARIO_MUTATIONS
    }


SCENARIO_MUTATIONS = ("half of the keepers will do", "a keeper votes for all", ACCEPT_ANY_TOKEN)


def test_five_keepers_and_six_claimants_have_one_holder_through_faults_of_all_kinds(results):
    overlaps, falls, faults, is_linear, actions = results[0].result(120)
    assert (overlaps, falls, faults, is_linear) == (0, 0, (), True) and actions > 200


@pytest.mark.parametrize("guard", SCENARIO_MUTATIONS)
def test_the_witness_detects_each_mutation_of_running_processes(results, guard):
    assert guard in SCENES and results[1][guard].result(120) == (False, True)


# -- tasks under leases --------------------------------------------------------------------------------------


class FakeLeaseHandle:
    """A lease handle whose state a test sets."""

    def __init__(self, fencing_token, is_held=True):
        self.fencing_token, self.is_held, self.superseding_tokens = fencing_token, is_held, []

    def may_act(self):
        return self.is_held

    def handle_superseding_token(self, fencing_token):
        self.superseding_tokens.append(fencing_token)


def test_a_cache_rejects_a_delivery_worker_whose_lease_has_ended():
    # A delivery worker may be suspended before it sends a purge, and resume under another worker's lease.
    results = {}

    async def main():
        async with anyio.create_task_group() as tasks:
            cache = caches.PurgeableCache("n", {}, random.Random(1))
            await cache.start(tasks)
            leases = {
                "old": FakeLeaseHandle(4),
                "new": FakeLeaseHandle(7),
                "ended": FakeLeaseHandle(9, False),
            }
            for name in ("old", "new", "old", "ended"):
                address, report = ("127.0.0.1", cache.port), RateLimitedLog("c", net.wall_clock)
                worker = DeliveryWorker(
                    "n", address, [("127.0.0.1", 1)], 300_000, report, 500.0, leases[name]
                )
                await worker._deliver(Delivery(Purge(len(results) + 1, 1, "object", ("a",)), 0))
                results[len(results)] = (
                    name,
                    cache.highest_lease_token,
                    len(cache.purged_out_of_order) + cache.purged_up_to,
                )
            results["passed"] = {name: lease.superseding_tokens for name, lease in leases.items()}
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options=net.BACKEND_OPTIONS)
    assert [results[n] for n in range(4)] == [("old", 4, 1), ("new", 7, 2), ("old", 7, 2), ("ended", 7, 2)]
    assert results["passed"] == {"old": [7], "new": [], "ended": []}


def test_a_quota_allocator_starts_anew_under_each_lease_and_grants_nothing_without_one():
    now, lease_token = [100 * SECOND], [0]
    budget = Budget("calls", rate=50.0, burst=20.0, guaranteed_share=0.2, routers=4)

    async def make_purge_log():
        arguments = {"budgets": [budget], "steady": lambda: now[0], "lease_token": lambda: lease_token[0]}
        return PurgeLogServer(FaultyDisk(), 300_000, RateLimitedLog("l", net.wall_clock), **arguments)

    purge_log = anyio.run(make_purge_log)

    def granted_tokens(process_token):
        if not purge_log.quota._holds_lease():
            return None
        now[0] += SECOND
        request = QuotaRequest(
            "calls", "r", process_token, 1, wanted_rate=50.0, terms_checksum=budget.terms_checksum
        )
        return purge_log.quota.allocator.handle_request(request, now[0]).tokens

    assert granted_tokens("a") is None
    lease_token[0] = 5
    assert granted_tokens("b") > 10  # a second has refilled the bucket
    lease_token[0] = 0
    assert granted_tokens("c") is None
    now[0] += 60 * SECOND
    lease_token[0] = 8
    previous = purge_log.quota.allocator
    # The bucket isn't refilled for the whole minute.
    assert 0 < granted_tokens("d") <= 0.8 * 50 and purge_log.quota.allocator is not previous
    assert granted_tokens("e") >= 0 and purge_log.quota.allocator is not previous


def test_an_acceptor_is_added_while_a_task_is_held():
    four_acceptors = LeaseTerms(("k0", "k1", "k2", "k3"), 2, 600_000, tasks=(("sweep", ()),))
    held_tokens = []

    async def scenario(tasks, servers, clients):
        async def work(lease):
            held_tokens.append(lease.fencing_token)
            await anyio.sleep_forever()

        tasks.start_soon(clients[0].perform, "sweep", work)
        while not held_tokens:
            await anyio.sleep(0.01)
        servers["k3"] = LoopbackLeaseServer("k3", four_acceptors)
        await servers["k3"].start(tasks)
        addresses = {name: ("127.0.0.1", each.port) for name, each in servers.items()}
        servers["k1"].stop()
        refused = await servers["k0"].lease_server.change_terms(four_acceptors, addresses)
        assert refused.reason == "k1 may not have version 1 yet"  # it does not answer
        await servers["k1"].start(tasks)
        for name in ("k0", "k1", "k2"):
            assert await servers[name].lease_server.change_terms(four_acceptors, addresses) is None
        other_client = ClusterLeaseClient(four_acceptors, addresses, "b", RateLimitedLog("b", net.wall_clock))
        tasks.start_soon(other_client.run)
        tasks.start_soon(other_client.perform, "sweep", work)
        while len(held_tokens) < 2:
            await anyio.sleep(0.01)
        assert not clients[0].proposers["sweep"].may_act(clients[0].steady())  # it still uses the old list
        assert held_tokens[1] > held_tokens[0]
        statuses = await ask_all(addresses)
        assert (
            task_statuses(four_acceptors, statuses)[0].holder == "b"
            and task_statuses(four_acceptors, statuses)[0].votes >= 3
        )

    run_over_loopback(scenario, names=("a",))


def test_split_votes_are_released_and_requested_again_soon():
    # Each proposer waited a whole lease for the other, which had given up as well.
    terms = LeaseTerms(TERMS.acceptors, tasks=TERMS.tasks)
    proposer = Proposer(terms, "sweep", "a", "t", 0)
    proposer._request_votes(0, 1)
    reply_fields = {"task": "sweep", "process_token": "t", "round": 1, "highest_token": 1}
    proposer.handle_reply(VoteReply(acceptor="k0", granted=True, **reply_fields), 1)
    proposer.handle_reply(
        VoteReply(acceptor="k1", granted=False, time_left=TTL, holder="b", **reply_fields), 1
    )
    effects = proposer.handle_reply(
        VoteReply(acceptor="k2", granted=False, time_left=TTL, holder="c", **reply_fields), 1
    )
    assert isinstance(effects[0].message, VoteRelease) and proposer.next_request_at <= TTL // 4 + 1
    proposer._request_votes(TTL, 1)
    for acceptor_name in ("k0", "k1"):  # a majority voted for one proposer
        reply_fields["round"] = proposer.round
        proposer.handle_reply(
            VoteReply(acceptor=acceptor_name, granted=False, time_left=TTL, holder="b", **reply_fields), TTL
        )
    assert proposer.next_request_at >= 2 * TTL


def test_work_that_ends_because_of_its_lease_has_not_failed():
    # Each such end counted as a failure and doubled the pause, which left gaps of 4 and 8 leases.
    acquired_tokens = []

    async def scenario(tasks, servers, clients):
        proposer = clients[0].propose("sweep")

        async def work(lease):
            acquired_tokens.append(lease.fencing_token)
            if len(acquired_tokens) == 1:
                proposer.lease_ends_at = clients[0].steady()  # as if no renewal had come
                assert not lease.may_act()
                return
            await anyio.sleep_forever()

        tasks.start_soon(clients[0].perform, "sweep", work)
        while len(acquired_tokens) < 2:
            await anyio.sleep(0.01)
        assert proposer.failures == 0

    run_over_loopback(scenario, names=("a",))
