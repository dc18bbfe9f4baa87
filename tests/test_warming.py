"""What all routers may send a cold server: parts granted, within every window, whoever hears nothing."""

import random
from dataclasses import dataclass, replace

import pytest
from conftest import Drive

from quartzrouter.fault_harness import quota_mutations
from quartzrouter.quota import slow_start_allocator
from quartzrouter.quota.messages import QuotaRefusal
from quartzrouter.quota.slow_start_allocator import SlowStartAllocator
from quartzrouter.quota.slow_start_client import SlowStartClient
from quartzrouter.quota.slow_start_messages import SlowStartGrant, SlowStartRequest, SlowStartTerms
from quartzrouter.routing.model import Forward, SlowStartDemand, Tier

MS, S = 1_000, 1_000_000
TERMS = SlowStartTerms(window=S, guaranteed_share=0.2, routers=8, grant_ttl=500 * MS)
MOST = 800 * MS  # us that all may spend in a window
UNIT = 50 * MS


def ask(number=1, most=MOST, want=MOST, left=0, unit=UNIT, server="n0", figures=TERMS.figures, tier="cache"):
    return SlowStartRequest(server, tier, number, most, want, left, unit, figures)


def granter(now=0):
    made = SlowStartAllocator({"cache": TERMS}, now)
    return made, now + TERMS.accounting_period


# -- who grants ----------------------------------------------------------------------------------------------


def test_a_granter_waits_until_what_was_granted_before_it_is_over():
    made, free = granter()
    assert made.ask(ask(), "a", "t", free - 1) == SlowStartGrant("n0", 1, 0)
    assert (
        made.ask(ask(2), "a", "t", free).sending_time == 640 * MS
    )  # all but the floors: nobody else wants any


def test_what_is_granted_in_a_span_is_bounded_by_the_least_that_anybody_tells():
    made, now = granter()
    given = made.ask(ask(), "a", "t", now).sending_time
    assert (
        made.ask(ask(most=400 * MS), "b", "t", now).sending_time == 0
    )  # it knows that the server started later
    later = now + TERMS.accounting_period + 1
    assert made.ask(ask(2), "a", "t", later).sending_time <= 0.8 * MOST - 0 and given == 640 * MS
    assert made.ask(ask(2, most=400 * MS), "b", "t", later).sending_time == 0


def test_many_who_want_little_get_a_req_each_in_turn():
    made, now = granter()
    told = {n: made.ask(ask(want=UNIT), f"r{n}", "t", now).sending_time for n in range(30)}
    assert [time for time in told.values() if time] == [UNIT] * 12  # 640 ms, and no part of a req
    assert made.states(now)[0].granted == 600 * MS and made.states(now)[0].routers == 30


def test_one_who_wants_all_leaves_others_their_part():
    made, now = granter()
    for number, at in enumerate(range(now, now + 4 * S, TERMS.request_interval), 1):
        mine = made.ask(ask(number), "a", "t", at).sending_time
        theirs = made.ask(ask(number, want=300 * MS), "b", "t", at).sending_time
        if at - now > 2 * S:  # both have asked for a while
            assert mine <= 640 * MS - 300 * MS and theirs <= 320 * MS
    lately = made.accounts["n0"].grants
    assert sum(each.sending_time for each in lately if each.router == "b") >= 250 * MS


@pytest.mark.parametrize(
    "said,place",
    [
        (ask(figures=1), "figures"),
        (ask(tier="hub"), "tier"),
        (ask(server=""), "server"),
        (ask(server="x" * 65), "server"),
        (ask(most=-1), "most"),
        (ask(want=10**13), "want"),
        (ask(left=-5), "left"),
        (ask(unit=-1), "unit"),
    ],
)
def test_odd_words_are_counted_and_not_obeyed(said, place):
    made, now = granter()
    found = made.ask(said, "a", "t", now)
    assert (
        isinstance(found, QuotaRefusal) and found.place == place and made.refused == 1 and not made.accounts
    )


def test_late_and_doubled_words_are_not_obeyed_and_another_process_is():
    made, now = granter()
    assert made.ask(ask(5, want=UNIT), "a", "t", now).sending_time == UNIT
    for number in (5, 4):
        assert made.ask(ask(number, want=UNIT), "a", "t", now).place == "number"
    assert (
        made.ask(ask(1, want=UNIT), "a", "another", now + 1).sending_time == 0
    )  # its part was the first one's
    assert made.ask(ask(1, want=UNIT), "b", "t", now + 1).sending_time == UNIT


def test_pots_and_routers_are_bounded(monkeypatch):
    monkeypatch.setattr(slow_start_allocator, "MAX_ENDPOINTS", 3)
    monkeypatch.setattr(slow_start_allocator, "MAX_ROUTERS", 2)
    made, now = granter()
    for n in range(3):
        assert made.ask(ask(server=f"n{n}", want=UNIT), "a", "t", now).sending_time == UNIT
    assert made.ask(ask(server="n3", want=UNIT), "a", "t", now).place == "server"  # all have some out
    assert made.ask(ask(server="n3", want=UNIT), "a", "t", now + TERMS.accounting_period).sending_time == UNIT
    for name in "abc":
        made.ask(ask(number=2, server="n1", want=UNIT), name, "t", now + 1)
    assert set(made.accounts["n1"].demands) == {"b", "c"}


def test_a_new_plan_waits_for_what_the_old_one_granted():
    made, now = granter()
    made.ask(ask(), "a", "t", now)
    made.replace({"cache": TERMS}, now)
    assert made.ask(ask(2, want=UNIT), "b", "t", now + TERMS.accounting_period + 1).sending_time == UNIT
    other = TERMS._replace(grant_ttl=100 * MS)
    made.replace({"cache": other}, now + 2 * S)
    said = ask(3, want=UNIT, figures=other.figures)
    assert (
        made.ask(said, "b", "t", now + 2 * S + other.accounting_period).sending_time == 0
    )  # the old span was longer
    assert (
        made.ask(
            said._replace(sequence_number=4), "b", "t", now + 2 * S + TERMS.accounting_period
        ).sending_time
        == UNIT
    )


# -- one router ----------------------------------------------------------------------------------------------


class Clock:
    now = 100 * S

    def __call__(self):
        return self.now


def cold(wanted, most=MOST, unit=UNIT):
    return [SlowStartDemand("n0", Tier.CACHE, most, wanted, unit)]


def test_a_part_runs_out_by_itself_counted_from_the_asking():
    clock = Clock()
    parts = SlowStartClient({"cache": TERMS}, clock)
    (said,) = parts.due_requests(cold(2 * UNIT))
    clock.now += 300 * MS  # the answer is late
    parts.apply_grants([SlowStartGrant("n0", said.sequence_number, 2 * UNIT)])
    assert parts.left == {"n0": 2 * UNIT}
    parts.left["n0"] -= UNIT  # as the decisions do
    parts.refresh()
    assert parts.left == {"n0": UNIT}
    clock.now += 200 * MS  # half a second after the asking
    parts.refresh()
    assert parts.left == {}


def test_a_grant_counts_once_and_only_where_it_was_asked_for():
    clock = Clock()
    parts = SlowStartClient({"cache": TERMS}, clock)
    (said,) = parts.due_requests(cold(UNIT))
    grant = SlowStartGrant("n0", said.sequence_number, UNIT)
    parts.apply_grants(
        [grant, grant, SlowStartGrant("n0", 99, UNIT), SlowStartGrant("n9", said.sequence_number, UNIT)]
    )
    assert parts.left == {"n0": UNIT} and parts.invalid_grants == 3
    assert parts.due_requests([]) == () and parts.left == {} and not parts.allowances  # it is warm


def test_what_is_wanted_fades_and_is_then_asked_for_no_more():
    clock = Clock()
    parts = SlowStartClient({"cache": TERMS}, clock)
    assert parts.due_requests(cold(0)) == ()
    said = 0
    for n in range(40):
        clock.now += TERMS.request_interval
        said += len(parts.due_requests(cold(UNIT if n == 0 else 0)))
    assert 1 <= said < 10
    assert (
        SlowStartClient({}, clock).due_requests(cold(UNIT)) == ()
        and SlowStartClient({}, clock).request_interval() is None
    )


# -- in the decisions ----------------------------------------------------------------------------------------


def driven():
    played = Drive([])
    played.list(whole=True, c1="up", c2="up", c3="up", o="up")  # no parents: budgets of caches only
    return played


def test_a_granted_part_goes_to_a_cold_cache_beyond_the_routers_own():
    # Own parts of a fifth of the budget of thirty routers bear no req; what is granted does, once.
    def sent(granted):
        played = driven()
        router = played.router
        warm = router.warm[Tier.CACHE]
        warm.cold, warm.own = replace(warm.cold, routers=30), 0.2
        for at in router.roster.peers[Tier.CACHE]:
            router.roster.started[at] = played.now
        router.granted = dict(granted)
        router.set_fleet_load({}, played.now)  # nobody else has anything out
        found = [played.req(n, "page", f"obj-{n}", quiet=True) for n in range(8)]
        return [
            each.endpoint for each in found if isinstance(each, Forward) and each.endpoint[0] == "c"
        ], router

    assert sent({})[0] == []
    found, router = sent({"c1": 900 * MS})
    assert set(found) == {"c1"} and len(found) == 2 and router.granted["c1"] == 100 * MS  # 400 ms each
    told = {each.endpoint: each for each in router.slow_start_demand(10 * S)}
    assert set(told) == {"c1", "c2", "c3"} and any(
        each.demand >= each.largest_request > 0 for each in told.values()
    )
    assert all(each.demand == 0 for each in router.slow_start_demand(10 * S))  # since it was last asked
    assert router.slow_start_demand(100 * S) == []  # they are warm


def test_loads_that_are_told_stand_in_for_own_reqs_times_routers():
    played = driven()
    router = played.router
    router.warm[Tier.CACHE].cold = replace(router.warm[Tier.CACHE].cold, routers=8)
    one, two = router.roster.index["c1"], router.roster.index["c2"]
    router.load[one], router.load[two] = 2, 1
    assert router._load(one, played.now) == 16
    router.set_fleet_load({"c1": 3, "c2": -1, "gone": 4}, played.now)
    assert router._load(one, played.now) == 5
    assert router._load(two, played.now) == 8  # not known isn't none
    assert router._load(one, played.now + S) == 16  # too old


def test_routers_try_a_cache_again_one_after_the_other():
    turns = set()
    for me in range(12):
        played = driven()
        router, now = played.router, played.now
        router.me = me
        router.set_ejected_by_peers({"c1": now + S}, now)
        mark = router.health.of[router.roster.index["c1"]]
        turns.add(mark.told - now - S)
        router.set_ejected_by_peers({}, now + S)  # it has ended: this one's turn is still to come
        assert mark.told > now + S
        router.set_ejected_by_peers({}, now + 3 * S)
        assert mark.told == 0
    assert len(turns) > 8 and max(turns) < S


def test_few_servers_wait_for_their_turn():
    played = driven()
    router, now = played.router, played.now
    router.set_ejected_by_peers({"c1": now + 10 * MS}, now)
    router.set_ejected_by_peers({"c2": now + S}, now + 10 * MS)  # two of four would be out by others' word
    marks = {name: router.health.of[router.roster.index[name]] for name in ("c1", "c2")}
    assert marks["c1"].told == 0 and marks["c2"].told > now


# -- fleets by chance ----------------------------------------------------------------------------------------


@dataclass
class Told:
    at: int
    time: int


class Played:
    """Routers with clocks that are off, a granter that restarts, words that are lost, doubled and late.

    :param out: guards taken out.
    """

    STEP = 10 * MS

    def __init__(self, seed, out=(), routers=8, seconds=12, fast=150):
        self.chance, self.out, self.now, self.spent = random.Random(seed), out, 0, []
        chance = self.chance
        self.drift = [chance.randint(-fast, fast) for _ in range(routers)]
        self.offset = [chance.randint(0, 10**12) for _ in range(routers)]
        self.routers = [SlowStartClient({"cache": TERMS}, lambda n=n: self.clock(n)) for n in range(routers)]
        self.tokens = ["t"] * routers
        self.demand = [chance.choice((1.0, 8.0, 24.0)) for _ in range(routers)]  # reqs a second
        self.rests = [0] * routers  # until when it sends nothing, and goes on to ask
        self.wanted = [0.0] * routers
        self.began = self.now
        self.granter = self.begin()
        self.due: list[tuple[int, int, str, object]] = []
        self.deaf = [0] * routers
        self.restart_at = chance.randint(2, 9) * S
        while self.now < seconds * S:
            self.now += self.STEP
            self.step()

    def clock(self, n):
        return self.offset[n] + self.now + self.now * self.drift[n] // 1_000_000

    def begin(self):
        now = self.now - (10 * S if "waits" in self.out or not self.now else 0)
        return SlowStartAllocator({"cache": TERMS}, now)

    def send(self, n, what, said):
        chance = self.chance
        if self.now < self.deaf[n] or chance.random() < 0.05:
            return
        for _ in range(1 + (chance.random() < 0.1)):
            late = chance.choice((*[0] * 12, 20, 200, 300)) * MS
            self.due.append((self.now + late, n, what, said))

    def step(self):
        chance = self.chance
        if self.now >= self.restart_at:
            self.granter, self.restart_at = self.begin(), self.now + chance.choice((400, 3_000, 9_000)) * MS
        for at, n, what, said in [each for each in self.due if each[0] <= self.now]:
            self.due.remove((at, n, what, said))
            if what == "ask":
                given = self.granter.ask(said, f"r{n}", self.tokens[n], self.now)
                if isinstance(given, SlowStartGrant):
                    self.send(n, "grant", given)
            else:
                self.routers[n].apply_grants([said])
        for n, parts in enumerate(self.routers):
            if chance.random() < 0.001:
                self.deaf[n] = self.now + chance.randint(100, 3000) * MS
            if chance.random() < 0.0005:  # another process: what it held is gone, and its count begins anew
                self.routers[n] = parts = SlowStartClient({"cache": TERMS}, lambda n=n: self.clock(n))
                self.tokens[n] += "'"
            self.wanted[n] += self.demand[n] * self.STEP / S * chance.choice((0, 0, 0, 4))
            parts.refresh()
            used = 0
            if chance.random() < 0.03:
                self.rests[n] = self.now + chance.choice((100, 300, 460, 700)) * MS
            if self.now >= self.rests[n]:  # what has gathered goes all at once
                while self.wanted[n] >= 1 and parts.left.get("n0", 0) >= UNIT:
                    parts.left["n0"] -= UNIT
                    self.wanted[n] -= 1
                    used += UNIT
                    self.spent.append(Told(self.now, UNIT))
            if self.now % TERMS.request_interval == 0:
                for said in parts.due_requests(cold(used + int(self.wanted[n] * UNIT))):
                    self.send(n, "ask", said)
                self.wanted[n] = min(self.wanted[n], 12.0)

    def worst(self):
        """The most that was spent in a window, beyond the floors' part of which nothing was used."""
        most, first, total = 0, 0, 0
        for each in self.spent:
            total += each.time
            while self.spent[first].at <= each.at - TERMS.window:
                total -= self.spent[first].time
                first += 1
            most = max(most, total)
        return most - (1 - TERMS.guaranteed_share) * MOST


SEEDS = range(12)


def test_fleets_never_spend_more_than_is_left_beside_the_floors():
    found = [Played(seed) for seed in SEEDS]
    assert all(played.worst() <= 0 for played in found)
    assert sum(len(played.spent) for played in found) > 400  # something was shown
    assert max(played.worst() for played in found) > -300 * MS  # and the bound was near


GUARDS = {
    "a granter waits for what another may have granted": ("waits", None),
    "a part ends": (SlowStartTerms, "grant_expiry", lambda self, asked: asked + 60 * S),
    "a part counts from its asking": (
        SlowStartTerms,
        "grant_expiry",
        lambda self, asked: asked + 4 * self.grant_ttl,
    ),
    "grants of a life before count as well": (
        SlowStartTerms,
        "accounting_period",
        property(lambda self: self.window),
    ),
    "a grant counts once": (SlowStartClient, "apply_grants", None),
    "a granter looks at what is granted": (
        slow_start_allocator.EndpointAccount,
        "granted_since",
        lambda self, since: 0,
    ),
    "the floors are kept apart": (SlowStartAllocator, "_sending_time", None),
}


@pytest.mark.parametrize("guard", GUARDS)
def test_a_guard_of_cold_parts_taken_out_is_found(guard, monkeypatch):
    out, (of, name, *what) = (), GUARDS[guard]
    if of == "waits":
        out = ("waits",)
    elif guard == "a grant counts once":
        monkeypatch.setattr(*quota_mutations.SLOW_START["a doubled part of a cold server counts twice"])
    elif guard == "the floors are kept apart":
        time = SlowStartAllocator._sending_time

        def whole(self, pot, said, by, now):
            terms, self.terms = self.terms, {"cache": TERMS._replace(guaranteed_share=0.0)}
            try:
                return time(self, pot, said, by, now)
            finally:
                self.terms = terms

        monkeypatch.setattr(SlowStartAllocator, "_sending_time", whole)
    else:
        monkeypatch.setattr(of, name, what[0])
    assert any(Played(seed, out).worst() > 0 for seed in SEEDS)
