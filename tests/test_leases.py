"""Leases: keepers' votes, claimants' rounds, numbers on disk, lines, and processes with faults."""

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
from quartzrouter.fault_harness.linearizability import Operation, fenced, is_linearizable
from quartzrouter.fault_scenarios.leases import DRAWN, SCENES, UNCHECKED, drawn, killed, play
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

S = 1_000_000
TERMS = LeaseTerms(("k0", "k1", "k2"), tasks=(("sweep", ()), ("look", ("b",))))
LENGTH = TERMS.ttl


def vote(name="a", token="t", round=1, number=1, task="sweep", figures=TERMS.checksum, holds=False):
    return VoteRequest(task, name, token, round, number, figures, holds)


def keeper(now=0, **other):
    return Acceptor(TERMS, "k0", now - 2 * LENGTH, **other)


# -- keepers -------------------------------------------------------------------------------------------------


def test_a_keeper_votes_for_one_until_its_vote_runs_out():
    made = keeper()
    assert made.vote(vote(), 0).granted
    no = made.vote(vote("b", number=5), LENGTH // 2)
    assert not no.granted and no.time_left == LENGTH // 2 and no.holder == "a" and no.highest_token == 1
    assert made.vote(vote(round=2, holds=True), LENGTH // 2).granted  # it goes on with it
    assert not made.vote(vote("b", number=5), LENGTH).granted
    assert made.vote(vote("b", number=5), LENGTH * 3 // 2).granted
    assert not made.vote(vote(round=3, number=4), 3 * LENGTH).granted  # a lower number than one it voted for


def test_a_keeper_that_has_just_begun_votes_for_nobody_and_hears_numbers_of_holders():
    made = Acceptor(TERMS, "k0", 0)
    no = made.vote(vote(number=7, holds=True), LENGTH)
    assert not no.granted and 0 < no.time_left <= TERMS.clock_slack(LENGTH) and no.holder == ""
    free = TERMS.voting_starts_at(0)
    assert not made.vote(vote("b", number=7), free).granted  # the number was another's
    assert made.vote(vote("b", number=8), free).granted


def test_a_vote_that_is_given_up_is_free_at_once_and_a_late_word_on_it_undoes_nothing():
    made = keeper()
    made.vote(vote(number=3), 0)
    for name in "bcd":
        made.vote(vote(name, number=1), 0)
    assert (
        made.release(VoteRelease("sweep", "a", "other", 3), 1)
        == ()
        == made.release(VoteRelease("sweep", "a", "t", 2), 1)
    )
    assert made.release(VoteRelease("sweep", "a", "t", 3), 1) == ("b", "c")  # few are told: one gets it
    assert made.vote(vote("b", number=4), 2).granted
    assert (
        made.release(VoteRelease("sweep", "a", "t", 3), 3) == ()
        and not made.vote(vote("c", number=9), 3).granted
    )


@pytest.mark.parametrize(
    "said,place",
    [
        (vote(figures=1), "figures"),
        (vote(task="none"), "task"),
        (vote(name=""), "name"),
        (vote(name="x" * 65), "name"),
        (vote(token="x" * 65), "token"),
        (vote(number=0), "number"),
        (vote(number=1 << 60), "number"),
        (vote(round=-1), "number"),
    ],
)
def test_odd_words_are_refused_and_counted(said, place):
    made = keeper()
    found = made.vote(said, 0)
    assert isinstance(found, VoteRefusal) and found.field == place and made.status(0).refused_requests == 1


def test_an_operator_takes_a_task_from_its_holder():
    made = keeper()
    made.vote(vote(number=2), 0)
    assert made.revoke("sweep", 1) == "a" and made.revoke("look", 1) == ""
    assert not made.vote(vote(round=2, number=2, holds=True), 2).granted
    assert made.vote(vote("b", number=3), LENGTH).granted
    assert made.vote(vote(round=3, number=9), 4 * LENGTH).granted  # later it may have it again


def test_the_list_of_keepers_changes_by_one_at_a_time():
    made, four = keeper(), LeaseTerms(("k0", "k1", "k2", "k3"), 2, tasks=TERMS.tasks)
    five = LeaseTerms(("k0", "k1", "k2", "k3", "k4"), 3, tasks=TERMS.tasks)
    all_ = {"k1": 1, "k2": 1}
    assert (
        made.change_terms(five._replace(version=2) if hasattr(five, "_replace") else five, all_).field
        == "keepers"
    )
    assert "k2 may not" in made.change_terms(four, {"k1": 1}).reason
    assert made.change_terms(LeaseTerms(("k1", "k2", "k3"), 2), all_).reason == "k0 is not among them"
    assert made.change_terms(LeaseTerms(TERMS.acceptors, 1, ttl=9), all_).field == "length"
    assert made.change_terms(four, all_) is None and made.terms == four
    assert made.vote(vote(), 0).field == "figures"  # claimants of the old list are refused
    assert made.change_terms(five, {"k1": 2, "k2": 1, "k3": 2}).reason.startswith("k2 may not")
    assert made.change_terms(five, {"k1": 2, "k2": 2, "k3": 2}) is None


# -- claimants -----------------------------------------------------------------------------------------------


class Three:
    """Three keepers and some claimants that are heard at once."""

    def __init__(self, *names):
        self.now, self.wall = 10 * S, 1_000
        self.keepers = [Acceptor(TERMS, name, 0) for name in TERMS.acceptors]
        self.claims = [Proposer(TERMS, "sweep", name, f"t-{name}", self.now) for name in names]
        self.log = []
        self.deaf = set()

    def do(self, claim, effects):
        for effect in effects:
            if isinstance(effect, (LeaseAcquired, LeaseLost)):
                self.log.append((claim.name, type(effect).__name__))
                continue
            for made in self.keepers:
                if (claim.name, made.name) in self.deaf:
                    continue
                if isinstance(effect.message, VoteRelease):
                    for name in made.release(effect.message, self.now):
                        next(each for each in self.claims if each.name == name).handle_vote_available(
                            self.now
                        )
                elif isinstance(answer := made.vote(effect.message, self.now), VoteReply):
                    self.do(claim, claim.handle_reply(answer, self.now))

    def pass_(self, time):
        until = self.now + time
        while self.now < until:
            self.now = min(until, self.now + 10_000)
            for claim in self.claims:
                self.do(claim, claim.tick(self.now, self.wall))

    def holders(self):
        return [claim.name for claim in self.claims if claim.may_act(self.now)]


def test_one_holds_goes_on_and_hands_over_at_once():
    three = Three("a", "b", "c")
    three.pass_(LENGTH)
    (first,) = three.holders()
    three.pass_(10 * LENGTH)
    assert three.holders() == [first] and len(three.log) == 1  # others don't unseat one that works
    holder = next(claim for claim in three.claims if claim.name == first)
    three.do(holder, holder.release(three.now))
    three.pass_(50_000)
    (second,) = three.holders()
    assert second != first and [what for _, what in three.log] == [
        "LeaseAcquired",
        "LeaseLost",
        "LeaseAcquired",
    ]


def test_one_that_is_cut_off_ends_before_another_begins():
    three = Three("a", "b")
    three.pass_(LENGTH)
    (first,) = three.holders()
    numbers = [claim.fencing_token for claim in three.claims if claim.name == first]
    three.deaf = {(first, name) for name in TERMS.acceptors}
    seen = []
    for _ in range(2 * LENGTH // 10_000):
        three.pass_(10_000)
        seen.append(tuple(three.holders()))
    assert all(len(each) <= 1 for each in seen) and seen[0] == (first,) and seen[-1] != (first,)
    empty = seen.count(()) * 10_000
    assert LENGTH // 8 <= empty <= LENGTH * 3 // 4
    assert next(claim.fencing_token for claim in three.claims if claim.may_act(three.now)) > numbers[0]


def test_a_minority_of_keepers_matters_not():
    three = Three("a")
    three.deaf = {("a", "k1")}
    three.pass_(3 * LENGTH)
    assert three.holders() == ["a"]
    three.deaf.add(("a", "k2"))
    three.pass_(2 * LENGTH)
    assert three.holders() == [] and three.log[-1] == ("a", "LeaseLost")


def test_all_keepers_restarted_without_folders_grant_higher_numbers_after_a_lease():
    three = Three("a")
    three.pass_(LENGTH)
    number = three.claims[0].fencing_token
    three.keepers = [Acceptor(TERMS, name, three.now) for name in TERMS.acceptors]
    three.claims = [Proposer(TERMS, "sweep", "b", "t-b", three.now)]
    began = three.now
    while not three.holders():
        three.pass_(10_000)
    assert three.now - began >= LENGTH
    three.wall = 500  # and where the clock was set back, whoever is acted on says so
    claim = three.claims[0]
    claim.fencing_token = number - 1
    three.do(claim, claim.handle_superseding_token(number, three.now))
    three.pass_(2 * LENGTH)
    assert three.holders() == ["b"] and claim.fencing_token > number


def test_one_that_fails_leaves_the_task_to_another():
    three = Three("a", "b")
    three.pass_(LENGTH)
    (first,) = three.holders()
    holder = next(claim for claim in three.claims if claim.name == first)
    three.do(holder, holder.handle_task_failure(three.now))
    three.pass_(LENGTH)
    assert three.holders() not in ([], [first])
    assert holder.next_request_at > three.now - LENGTH // 2 and holder.failures == 1
    other = next(claim for claim in three.claims if claim.name != first)
    three.do(other, other.release(three.now))
    three.pass_(4 * LENGTH)
    assert three.holders() == [first] and holder.failures == 0  # it has worked for a lease


def test_the_preferred_come_first():
    prefers = LeaseTerms(TERMS.acceptors, tasks=(("sweep", ("b",)),))
    plain = Proposer(prefers, "sweep", "a", "t", 0)
    preferred = Proposer(prefers, "sweep", "b", "t", 0)
    assert plain.next_request_at >= LENGTH // 2 > preferred.next_request_at


def test_many_claimants_ask_a_bounded_number_of_times():
    three = Three(*(f"c{n}" for n in range(60)))
    three.pass_(3 * LENGTH)
    asked = sum(claim.round for claim in three.claims)
    assert len(three.holders()) == 1 and asked <= 60 * 5


# -- the model -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("case", ["a holder stopped ahead of its act", "one name, two processes"])
def test_leases_hold_in_all_states(case):
    found = explore(LeaseModel(model.PLAYED[case]), 60_000, 60)
    assert found.whole and not found.broken, found.shown()


def _old_answers(self, said, now, answer=Proposer.handle_reply):
    return answer(self, said._replace(round=self.round), now)


def _frees_all(self, said, now, release=Acceptor.release):
    ballot = self.votes.get(said.task)
    return release(self, said._replace(fencing_token=ballot.fencing_token) if ballot else said, now)


def _any_number(self, said, now, vote=Acceptor.vote):
    if said.task in self.votes:
        self.votes[said.task].highest_token = 0
    return vote(self, said, now)


LATE, ONCE = ("late back",), Bounds(steps=1, asks=3, faults=0)
TAKEN_OUT = {
    "a keeper votes right after its start": (None, Bounds(steps=1, asks=3, faults=0, falls=2)),
    "a lease counts from its answers": (None, Bounds(steps=5, asks=3, faults=2, ways=LATE)),
    "the drift is left out": (None, Bounds(steps=17, step=FINE, asks=3, faults=0)),
    "half of the keepers will do": (None, Bounds(steps=1, asks=2, faults=2, keepers=4)),
    "a keeper votes for all": (None, ONCE),
    "a name is enough": (None, Bounds(steps=1, asks=2, faults=0, same=True)),
    "a holder looks at no clock": (
        (Proposer, "may_act", lambda self, now: self.is_holder),
        Bounds(steps=6, asks=3, faults=0, stops=1),
    ),
    "answers to older asks count": (
        (Proposer, "handle_reply", _old_answers),
        Bounds(steps=3, asks=2, faults=2, ways=LATE),
    ),
    "a late word frees a later vote": (
        (Acceptor, "release", _frees_all),
        Bounds(steps=2, asks=4, faults=2, releases=1, ways=("late there",)),
    ),
    "a keeper takes any number": ((Acceptor, "vote", _any_number), Bounds(steps=5, asks=2, faults=0)),
}


@pytest.mark.parametrize("guard", TAKEN_OUT)
def test_a_guard_taken_out_breaks_the_model(guard, monkeypatch):
    told, bounds = TAKEN_OUT[guard]
    monkeypatch.setattr(*(told or mutations.LEASES[guard]))
    assert explore(LeaseModel(bounds), 60_000, 60).broken


def test_acts_fall_in_number_where_nobody_checks():
    bounds = Bounds(steps=6, asks=3, faults=0, stops=1, acts=1)
    assert explore(LeaseModel(bounds, checks=False), 60_000, 60).broken
    assert not explore(LeaseModel(bounds), 60_000, 60).broken


# -- numbers on a disk ---------------------------------------------------------------------------------------


def test_numbers_are_found_again_and_damage_is_named_and_passed_over(tmp_path):
    said = []
    kept = {"sweep": FencingToken(7, "a", "t"), "look": FencingToken(1 << 50, "b", "u")}
    TokenStorage(str(tmp_path), "k0", said.append).write(kept)
    assert TokenStorage(str(tmp_path), "k0", said.append).found == kept and not said
    path = tmp_path / "numbers"
    whole = path.read_bytes()
    for cut in range(len(whole)):
        path.write_bytes(whole[:cut])
        assert TokenStorage(str(tmp_path), "k0", said.append).found == {}
    assert len(said) == len(whole)
    taken = 0
    for bit in range(8 * len(whole)):
        flipped = bytearray(whole)
        flipped[bit // 8] ^= 1 << bit % 8
        path.write_bytes(flipped)
        try:
            found = TokenStorage(str(tmp_path), "k0", said.append).found
        except ForeignFolderError:  # the name was struck
            continue
        assert found in ({}, kept)  # a flipped letter of a key that nobody reads
        taken += found == kept
    assert taken < 8
    path.write_bytes(whole)
    with pytest.raises(ForeignFolderError, match="k0's; give k1 a folder of its own"):
        TokenStorage(str(tmp_path), "k1", said.append)


def test_no_vote_is_given_that_the_disk_does_not_keep(tmp_path):
    said = []
    numbers = TokenStorage(str(tmp_path), "k0", said.append)
    service = LeaseServer(TERMS, "k0", RateLimitedLog("k0", net.wall_clock), numbers, lambda: 100 * S)
    service.acceptor.voting_starts_at = 0

    def fails(found):
        raise OSError(28, "No space left on device")

    async def asked():
        return await service._handle(messages.VoteRequests((vote(),)), None, set())

    numbers.write = fails
    assert anyio.run(asked).replies == ()
    del numbers.write
    assert anyio.run(asked).replies[0].granted
    assert TokenStorage(str(tmp_path), "k0", said.append).found["sweep"].number == 1


# -- over sockets --------------------------------------------------------------------------------------------


class KeeperHere(Server):
    def __init__(self, name, terms, storage=None):
        self.service = LeaseServer(terms, name, RateLimitedLog(name, net.wall_clock), storage)
        self.service.acceptor.voting_starts_at = 0

    async def serve(self, stream):
        await self.service.serve(stream)


def over_sockets(scene, names=("a", "b"), length=600_000, storage_of=lambda name: None):
    terms = LeaseTerms(("k0", "k1", "k2"), ttl=length, tasks=(("sweep", ()),))

    async def main():
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                keepers = {name: KeeperHere(name, terms, storage_of(name)) for name in terms.acceptors}
                for each in keepers.values():
                    await each.start(tasks)
                addresses = {name: ("127.0.0.1", each.port) for name, each in keepers.items()}
                claims = [
                    ClusterLeaseClient(terms, addresses, name, RateLimitedLog(name, net.wall_clock))
                    for name in names
                ]
                for each in claims:
                    tasks.start_soon(each.run)
                await scene(tasks, keepers, claims)
                tasks.cancel_scope.cancel()

    anyio.run(main, backend_options=net.BACKEND_OPTIONS)


def test_a_task_goes_to_another_within_milliseconds_once_its_work_has_ended():
    done = []

    async def scene(tasks, keepers, claims):
        async def work(claimer, hold):
            done.append((claimer, "begins"))
            try:
                await anyio.sleep_forever()
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(0.05)
                done.append((claimer, "ends"))

        for each in claims:
            tasks.start_soon(each.perform, "sweep", lambda hold, name=each.name: work(name, hold))
        while not done:
            await anyio.sleep(0.01)
        first = next(each for each in claims if each.name == done[0][0])
        await anyio.sleep(0.7)  # it goes on with it, and the other has been turned away
        await first.release()
        while len(done) < 3:
            await anyio.sleep(0.005)

    over_sockets(scene)
    assert done[1] == (done[0][0], "ends") and done[2][0] != done[0][0]


class SlowStorage(TokenStorage):
    """A disk on which each write takes its time."""

    def __init__(self, folder, name, write_time):
        super().__init__(str(folder), name, lambda line: None)
        self.write_time = write_time

    def write(self, tokens):
        time.sleep(self.write_time)
        super().write(tokens)


LEASES_UNTIL_HELD = 4


@pytest.mark.parametrize("write_time", [0.2, 0.5])
def test_disks_slower_than_a_round_of_requests_delay_a_lease_and_prevent_none(tmp_path, write_time):
    """Rounds follow each other in 150 ms: a vote that waits for the disk comes after the next request."""
    begins, active = [], []

    async def scene(tasks, keepers, claims):
        async def work(name, hold):
            active.append(name)
            assert len(active) == 1
            begins.append(hold.fencing_token)
            try:
                await anyio.sleep_forever()
            finally:
                active.remove(name)

        for each in claims:
            tasks.start_soon(each.perform, "sweep", lambda hold, name=each.name: work(name, hold))
        for handovers in range(3):
            with anyio.fail_after(LEASES_UNTIL_HELD * 0.6):
                while len(begins) == handovers or not active:
                    await anyio.sleep(0.01)
            await anyio.sleep(1.3)  # it is renewed, with no write
            assert len(begins) == handovers + 1
            await next(each for each in claims if each.name == active[0]).release()

    over_sockets(
        scene, names=("a", "b", "c"), storage_of=lambda name: SlowStorage(tmp_path / name, name, write_time)
    )
    assert begins == sorted(set(begins))


def test_work_that_raises_costs_the_task_and_no_traceback():
    began = []

    async def scene(tasks, keepers, claims):
        async def fails(hold):
            began.append("a")
            raise ValueError("no")

        async def works(hold):
            began.append("b")
            await anyio.sleep_forever()

        tasks.start_soon(claims[0].perform, "sweep", fails)
        while not began:
            await anyio.sleep(0.01)
        tasks.start_soon(claims[1].perform, "sweep", works)
        while began[-1] != "b":
            await anyio.sleep(0.01)

    over_sockets(scene)


def test_what_a_keeper_can_not_read_is_answered_and_ends_the_line():
    async def scene(tasks, keepers, claims):
        for sent in (b"hello\n", b'{"say":"votes","votes":[["x"]]}\n', b'{"say":"votes"' + b" " * 300_000):
            async with await anyio.connect_tcp("127.0.0.1", keepers["k0"].port) as stream:
                await stream.send(sent)
                said = json.loads(await stream.receive())
                assert said["say"] == "unheard" and "docs/leases.md" in said["remedy"]

    over_sockets(scene)


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
    said = run(cli, ["lease", "why", str(path), "sweep"]).output
    assert "0 of 2 keepers answer, 2 are needed: start them" in said
    assert "there are sweep" in run(cli, ["lease", "why", str(path), "other"]).output
    refused = run(cli, ["purge", "deliver", str(path), "--task", "other", "--name", "a"])
    assert refused.exit_code == 1 and ".plan:6" in refused.output and "there are sweep" in refused.output
    refused = run(cli, ["keeper", "run", str(path), "--name", "k7"])
    assert refused.exit_code == 1 and "there is no keeper 'k7'; there are k0, k1" in refused.output


def test_views_tell_holders_from_what_all_keepers_say():
    made = {name: keeper() for name in TERMS.acceptors}
    for name, each in made.items():
        each.name = name
        each.vote(vote(number=4), 0)
        each.vote(vote("b", number=2), 1)
    found = {name: each.status(S) for name, each in made.items()}
    view, free = task_statuses(TERMS, found)
    assert (view.task, view.holder, view.fencing_token, view.votes, view.waiting) == (
        "sweep",
        "a",
        4,
        3,
        ("b",),
    )
    assert "a, number 4" in describe(view) and free.holder == "" and "nobody" in describe(free)
    assert "nobody asks for it" in explain(TERMS, found, "look")[-1]
    found["k1"] = found["k2"] = "ConnectionRefusedError"
    assert "1 of 3 keepers answer" in explain(TERMS, found, "sweep")[-1]


# -- processes -----------------------------------------------------------------------------------------------


def acts(*events):
    made = History()
    made.events = [HistoryEvent(at, what, who, {"number": number}) for at, what, who, number in events]
    return made


def test_checkers_tell_overlaps_from_acts_that_were_broken_off():
    both = acts((0, "begin", "a", 1), (5, "begin", "b", 2), (9, "finish", "a", 1), (12, "finish", "b", 2))
    assert len(history_checks.overlaps(both, 100)) == 1 and not history_checks.falls(both)
    stopped = acts((0, "begin", "a", 1), (2, "stop", "a", 0), (5, "begin", "b", 2))
    assert not history_checks.overlaps(stopped, 100) and not history_checks.overlaps(both, 4)
    one = acts((0, "begin", "a", 2), (1, "finish", "a", 2), (3, "begin", "b", 1), (4, "finish", "b", 1))
    assert not history_checks.overlaps(one, 100) and len(history_checks.falls(one)) == 1
    assert history_checks.pauses(one, 0, 10) == [0, 2, 6]


def op(called, back, number, *answer):
    return Operation(called, back, (number,), answer or None)


def test_answers_that_no_order_explains_are_found():
    well = [op(0, 9, 1, "yes", 1), op(1, 5, 3, "yes", 3), op(6, 8, 2, "no", 3), op(7, None, 5)]
    assert is_linearizable(well, fenced, 0) is True
    assert (
        is_linearizable([*well, op(10, 12, 4, "no", 5)], fenced, 0) is True
    )  # the one without an answer has acted
    assert is_linearizable([*well, op(10, 12, 4, "yes", 4), op(13, 14, 4, "no", 5)], fenced, 0) is True
    assert is_linearizable([*well, op(10, 12, 2, "yes", 2)], fenced, 0) is False
    assert is_linearizable([op(0, 1, 3, "yes", 3), op(2, 3, 2, "yes", 2)], fenced, 0) is False
    assert (
        is_linearizable([op(0, 4, 3, "yes", 3), op(2, 3, 2, "yes", 2)], fenced, 0) is True
    )  # at the same time
    many = [op(10 * n, 10 * n + 25, n, "yes", n) for n in range(400)]
    assert is_linearizable(many, fenced, 0) is True
    assert is_linearizable([*many, op(4_100, 4_101, 5, "yes", 5)], fenced, 0) is False


def test_orders_are_found_as_by_trying_all():
    chance = random.Random(5)
    found = set()
    for _ in range(400):
        ops = []
        for _ in range(5):
            called, number = chance.randint(0, 9), chance.randint(1, 3)
            answer = chance.choice((("yes", number), ("no", chance.randint(1, 3)), ()))
            ops.append(op(called, called + chance.randint(1, 6) if answer else None, number, *answer))
        found.add(is_linearizable(ops, fenced, 0))
        assert is_linearizable(ops, fenced, 0) == by_trying(ops)
    assert found == {True, False}


def by_trying(ops):
    known = [each for each in ops if each.answer]
    for size in range(len(known), len(ops) + 1):
        for some in permutations(ops, size):
            if not set(known) <= set(some) or len(known) > size:
                continue
            if any(
                a.back is not None and b.called > a.back and some.index(b) < n
                for n, a in enumerate(some)
                for b in some
            ):
                continue
            state = 0
            for each in some:
                state, answer = fenced(state, each.what)
                if each.answer and each.answer != answer:
                    break
            else:
                return True
    return False


def _played(seed):
    chance = random.Random(seed)
    seen = play(chance, DRAWN, drawn(chance, DRAWN, 26))
    return len(seen.overlaps), len(seen.falls), seen.faults, seen.linear, seen.acts


def _killed(guard):
    there, out = killed(1, guard)
    return there.broken, out.broken


@pytest.fixture(scope="module")
def pool():
    with ProcessPoolExecutor(4, mp_context=get_context("spawn")) as made:
        yield made


@pytest.fixture(scope="module")
def found(pool):
    """All plays at once: each takes some seconds, most of which it waits."""
    play_ = pool.submit(_played, 1)
    return play_, {guard: pool.submit(_killed, guard) for guard in PLAYED_HERE}


PLAYED_HERE = ("half of the keepers will do", "a keeper votes for all", UNCHECKED)


def test_five_keepers_and_six_claimants_have_one_holder_through_faults_of_all_kinds(found):
    overlaps, falls, faults, in_order, done = found[0].result(120)
    assert (overlaps, falls, faults, in_order) == (0, 0, (), True) and done > 200


@pytest.mark.parametrize("guard", PLAYED_HERE)
def test_a_guard_taken_out_of_processes_is_seen_by_the_witness(found, guard):
    assert guard in SCENES and found[1][guard].result(120) == (False, True)


# -- tasks on it ---------------------------------------------------------------------------------------------


class HeldBy:
    """A hold by hand."""

    def __init__(self, number, holds=True):
        self.fencing_token, self.holds, self.told = number, holds, []

    def may_act(self):
        return self.holds

    def handle_superseding_token(self, fencing_token):
        self.told.append(fencing_token)


def test_a_cache_refuses_a_courier_whose_lease_is_over():
    # A courier that was stopped ahead of a purge, and wakes behind another's lease.
    told = {}

    async def main():
        async with anyio.create_task_group() as tasks:
            box = caches.PurgeableCache("n", {}, random.Random(1))
            await box.start(tasks)
            holds = {"old": HeldBy(4), "new": HeldBy(7), "ended": HeldBy(9, False)}
            for name in ("old", "new", "old", "ended"):
                at, report = ("127.0.0.1", box.port), RateLimitedLog("c", net.wall_clock)
                courier = DeliveryWorker("n", at, [("127.0.0.1", 1)], 300_000, report, 500.0, holds[name])
                await courier._deliver(Delivery(Purge(len(told) + 1, 1, "object", ("a",)), 0))
                told[len(told)] = (
                    name,
                    box.highest_lease_token,
                    len(box.purged_out_of_order) + box.purged_up_to,
                )
            told["passed"] = {name: hold.told for name, hold in holds.items()}
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options=net.BACKEND_OPTIONS)
    assert [told[n] for n in range(4)] == [("old", 4, 1), ("new", 7, 2), ("old", 7, 2), ("ended", 7, 2)]
    assert told["passed"] == {"old": [7], "new": [], "ended": []}


def test_a_granter_starts_anew_under_each_lease_and_grants_under_none_without():
    now, number = [100 * S], [0]
    budget = Budget("calls", rate=50.0, burst=20.0, guaranteed_share=0.2, routers=4)

    async def made():
        told = {"budgets": [budget], "steady": lambda: now[0], "lease_token": lambda: number[0]}
        return PurgeLogServer(FaultyDisk(), 300_000, RateLimitedLog("l", net.wall_clock), **told)

    ledger = anyio.run(made)

    def granted(token):
        if not ledger.quota._holds_lease():
            return None
        now[0] += S
        said = QuotaRequest("calls", "r", token, 1, wanted_rate=50.0, terms_checksum=budget.terms_checksum)
        return ledger.quota.allocator.handle_request(said, now[0]).tokens

    assert granted("a") is None
    number[0] = 5
    assert granted("b") > 10  # filled for a second
    number[0] = 0
    assert granted("c") is None
    now[0] += 60 * S
    number[0] = 8
    before = ledger.quota.allocator
    assert 0 < granted("d") <= 0.8 * 50 and ledger.quota.allocator is not before  # not for a minute
    assert granted("e") >= 0 and ledger.quota.allocator is not before


def test_a_keeper_is_added_in_service_and_the_task_goes_on():
    four = LeaseTerms(("k0", "k1", "k2", "k3"), 2, 600_000, tasks=(("sweep", ()),))
    held_by = []

    async def scene(tasks, keepers, claims):
        async def work(hold):
            held_by.append(hold.fencing_token)
            await anyio.sleep_forever()

        tasks.start_soon(claims[0].perform, "sweep", work)
        while not held_by:
            await anyio.sleep(0.01)
        keepers["k3"] = KeeperHere("k3", four)
        await keepers["k3"].start(tasks)
        addresses = {name: ("127.0.0.1", each.port) for name, each in keepers.items()}
        keepers["k1"].stop()
        refused = await keepers["k0"].service.change_terms(four, addresses)
        assert refused.reason == "k1 may not have version 1 yet"  # it can't be asked
        await keepers["k1"].start(tasks)
        for name in ("k0", "k1", "k2"):
            assert await keepers[name].service.change_terms(four, addresses) is None
        other = ClusterLeaseClient(four, addresses, "b", RateLimitedLog("b", net.wall_clock))
        tasks.start_soon(other.run)
        tasks.start_soon(other.perform, "sweep", work)
        while len(held_by) < 2:
            await anyio.sleep(0.01)
        assert not claims[0].proposers["sweep"].may_act(claims[0].steady())  # it goes by the old list
        assert held_by[1] > held_by[0]
        seen = await ask_all(addresses)
        assert task_statuses(four, seen)[0].holder == "b" and task_statuses(four, seen)[0].votes >= 3

    over_sockets(scene, names=("a",))


def test_split_votes_are_given_back_and_asked_for_again_soon():
    # Each waited a whole lease for the other, who had given up as well.
    terms = LeaseTerms(TERMS.acceptors, tasks=TERMS.tasks)
    claim = Proposer(terms, "sweep", "a", "t", 0)
    claim._request_votes(0, 1)
    told = {"task": "sweep", "process_token": "t", "round": 1, "highest_token": 1}
    claim.handle_reply(VoteReply(acceptor="k0", granted=True, **told), 1)
    claim.handle_reply(VoteReply(acceptor="k1", granted=False, time_left=LENGTH, holder="b", **told), 1)
    effects = claim.handle_reply(
        VoteReply(acceptor="k2", granted=False, time_left=LENGTH, holder="c", **told), 1
    )
    assert isinstance(effects[0].message, VoteRelease) and claim.next_request_at <= LENGTH // 4 + 1
    claim._request_votes(LENGTH, 1)
    for keeper_ in ("k0", "k1"):  # a majority holds with one
        told["round"] = claim.round
        claim.handle_reply(
            VoteReply(acceptor=keeper_, granted=False, time_left=LENGTH, holder="b", **told), LENGTH
        )
    assert claim.next_request_at >= 2 * LENGTH


def test_work_that_ends_with_its_lease_has_not_failed():
    # Each time counted as a failure, and the pause after it doubled: gaps of 4 and 8 leases.
    runs = []

    async def scene(tasks, keepers, claims):
        claim = claims[0].propose("sweep")

        async def work(hold):
            runs.append(hold.fencing_token)
            if len(runs) == 1:
                claim.lease_ends_at = claims[0].steady()  # no renewal came
                assert not hold.may_act()
                return
            await anyio.sleep_forever()

        tasks.start_soon(claims[0].perform, "sweep", work)
        while len(runs) < 2:
            await anyio.sleep(0.01)
        assert claim.failures == 0

    over_sockets(scene, names=("a",))
