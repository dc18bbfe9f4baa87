"""Quota of a budget: the bound on what all routers use together holds despite faulty messages and clocks."""

from collections import Counter
from dataclasses import replace
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st
from quota_simulation import NO_FAULTS, USUAL_FAULTS, Faults, RouterPair, SimulatedFleet

from quartzrouter.fault_harness import quota_mutations
from quartzrouter.model_checking.checker import explore
from quartzrouter.model_checking.quota_model import CASES, Bounds, QuotaModel
from quartzrouter.quota.allocator import QuotaAllocator
from quartzrouter.quota.budget import SECOND, Budget
from quartzrouter.quota.client import QuotaClient, QuotaCounters, describe_changes
from quartzrouter.quota.fairness import max_min_fair_share
from quartzrouter.quota.local_quota import LocalQuota
from quartzrouter.quota.messages import QuotaGrant, QuotaRefusal, QuotaRequest

RATE = Budget("fills", rate=50.0, burst=20.0, guaranteed_share=0.2, routers=4)
SLOTS = Budget("origin", slots=20, max_request_time=600_000, guaranteed_share=0.2, routers=4)
# The burst and the guaranteed minimum are large in comparison with the rate.
BURSTS = Budget("bursts", rate=8.0, burst=40.0, guaranteed_share=0.5, routers=4)
UNEVEN_DEMAND = [120.0, 10.0, 10.0, 10.0]  # requests per second, by router
HIGH_DEMAND = [200.0] * 4


# -- simulated fleets --------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(6))
def test_tokens_used_together_stay_within_the_budget(seed):
    """Messages are lost, duplicated and late, routers and the allocator restart, clocks run fast and slow."""
    fleet = SimulatedFleet(RATE, seed, UNEVEN_DEMAND).run(40)
    print(len(fleet.admitted_at), fleet.denied, fleet.excess())
    assert fleet.excess() <= 0


@pytest.mark.parametrize("seed", range(6))
def test_slots_in_use_together_stay_within_the_budget(seed):
    """The same faults as above, while routers' demand comes and goes, so that slots move between them."""
    fleet = SimulatedFleet(SLOTS, seed, HIGH_DEMAND, demand_varies=True).run(40)
    print(len(fleet.admitted_at), fleet.denied, fleet.peak_in_flight)
    assert fleet.peak_in_flight <= SLOTS.slots


def test_uneven_demand_uses_the_budget_where_static_parts_do_not():
    """One router has four fifths of the demand, which equals the whole budget."""
    demand = [40.0, *[10.0 / 7] * 7]
    use = {}
    for guaranteed_share in (0.1, 1.0):
        budget = Budget("fills", rate=50.0, burst=20.0, guaranteed_share=guaranteed_share, routers=8)
        fleet = SimulatedFleet(budget, 1, demand, NO_FAULTS).run(30)
        use[guaranteed_share] = len(fleet.admitted_at) / 30 / budget.rate
    print(use)
    assert use[0.1] > 0.75 and use[1.0] < 0.4


class SimulatedMutation(NamedTuple):
    """A mutation that removes a guard from a simulated fleet.

    :param owner: the class whose attribute is replaced.
    :param attribute: the attribute's name.
    :param replacement: the value without the guard.
    :param budget: the budget that is exceeded without the guard.
    :param faults: the faults under which it is exceeded.
    """

    owner: type
    attribute: str
    replacement: object
    budget: Budget
    faults: Faults = USUAL_FAULTS


SIMULATED_MUTATIONS = {
    "tokens of a doubled grant count twice": SimulatedMutation(
        LocalQuota,
        "apply_grant",
        quota_mutations.doubled_grant_counts_twice,
        RATE,
        replace(NO_FAULTS, duplicated_messages=0.6),
    ),
    "an allocator starts with a full bucket": SimulatedMutation(
        QuotaAllocator,
        "__init__",
        quota_mutations.bucket_begins_full,
        BURSTS,
        replace(USUAL_FAULTS, allocator_restarts=1.0),
    ),
    "an allocator grants slots at once": SimulatedMutation(
        QuotaAllocator,
        "__init__",
        quota_mutations.slots_granted_at_once,
        SLOTS,
        replace(USUAL_FAULTS, allocator_restarts=0.02),
    ),
    "a restarted router has its guaranteed burst again": SimulatedMutation(
        LocalQuota,
        "__init__",
        quota_mutations.restart_has_burst,
        BURSTS,
        replace(USUAL_FAULTS, router_restarts=0.1),
    ),
    "a restarted router has its guaranteed slots at once": SimulatedMutation(
        LocalQuota, "__init__", quota_mutations.restart_has_slots_at_once, SLOTS
    ),
    "a grant doesn't expire": SimulatedMutation(
        Budget,
        "grant_expiry",
        quota_mutations.grant_never_expires,
        SLOTS,
        replace(USUAL_FAULTS, partitions=0.05),
    ),
    "a slot's request is over when its grant expires": SimulatedMutation(
        Budget, "slots_free_at", quota_mutations.slots_free_at_expiry, SLOTS
    ),
}


@pytest.mark.parametrize("name", SIMULATED_MUTATIONS)
def test_fleets_exceed_the_budget_without_each_guard(monkeypatch, name):
    """With the guard the faults do not exceed the budget; without it they do for at least one of 12 seeds."""
    mutation = SIMULATED_MUTATIONS[name]
    budget = mutation.budget

    def excess(seed):
        demand = HIGH_DEMAND if budget.slots else UNEVEN_DEMAND
        demand_varies = bool(budget.slots)
        fleet = SimulatedFleet(budget, seed, demand, mutation.faults, demand_varies=demand_varies).run(25)
        slots_excess = fleet.peak_in_flight - budget.slots if budget.slots else 0
        rate_excess = fleet.excess() if budget.rate else 0
        return max(slots_excess, rate_excess)

    assert all(excess(seed) <= 0 for seed in range(2))
    monkeypatch.setattr(mutation.owner, mutation.attribute, mutation.replacement)
    assert any(excess(seed) > 0 for seed in range(12))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("budget", [SLOTS, BURSTS, RATE], ids=lambda budget: budget.name)
def test_many_restarts_do_not_exceed_the_budget(seed, budget):
    """Routers and the allocator restart ten times as often as usual."""
    faults = replace(USUAL_FAULTS, router_restarts=0.1, allocator_restarts=0.1)
    fleet = SimulatedFleet(budget, seed, HIGH_DEMAND, faults, demand_varies=True).run(25)
    assert budget.slots == 0 or fleet.peak_in_flight <= budget.slots
    assert budget.rate == 0 or fleet.excess() <= 0


def test_a_router_that_holds_all_slots_makes_room():
    """The other three routers start five seconds later, and each must get slots within twenty seconds."""
    fleet = SimulatedFleet(SLOTS, 2, HIGH_DEMAND, NO_FAULTS)
    later = fleet.quotas[1:]
    fleet.quotas[1:] = []
    fleet.run(5)
    fleet.quotas += later
    fleet.admitted_at.clear()
    fleet.run(20)
    by_router = Counter(request.router for request in fleet.in_flight)
    assert fleet.peak_in_flight <= SLOTS.slots
    assert set(by_router) == {0, 1, 2, 3} and max(by_router.values()) <= 8


def test_a_budget_made_smaller_is_kept_once_the_grants_have_expired():
    """A plan with fewer slots is applied while all slots are in use."""
    fleet = SimulatedFleet(SLOTS, 3, HIGH_DEMAND, NO_FAULTS).run(5)
    small = replace(SLOTS, slots=8)
    fleet.allocator.replace([small], fleet.allocator_now())
    for quota in fleet.quotas:
        quota.budget = small
    fleet.run(5 + (small.grant_ttl + small.max_request_time) / SECOND + 0.5)
    fleet.peak_in_flight = 0
    fleet.run(20)
    assert 0 < fleet.peak_in_flight <= 8


# -- scenarios with two routers ----------------------------------------------------------------------------


def late_answer():
    """A grant arrives shortly before it expires, and its router is suspended until it has expired.

    By then the slot has been granted to the other router.
    """
    pair = RouterPair()
    pair.begin_all(pair.first)
    grant = pair.request_quota(pair.first)
    pair.now += SECOND * 9 // 10
    pair.first.apply_grant(grant, pair.now)
    pair.now += SECOND * 7 // 10
    pair.first.release()
    pair.begin_and_refresh(pair.second)
    pair.begin_all(pair.first)
    return pair.in_flight()


def overtaken_answer():
    """A grant arrives after the router has requested fewer slots and the other router was granted them."""
    pair = RouterPair()
    pair.begin_all(pair.first)
    grant = pair.request_quota(pair.first)
    pair.allocator.handle_request(pair.drop_demand(pair.first), pair.now)
    pair.begin_and_refresh(pair.second)
    pair.first.apply_grant(grant, pair.now)
    pair.begin_all(pair.first)
    return pair.in_flight()


def lost_answer():
    """A router requests fewer slots, the grant is lost, and the router's demand returns."""
    pair = RouterPair()
    pair.begin_and_refresh(pair.first)
    pair.allocator.handle_request(pair.drop_demand(pair.first), pair.now)
    pair.begin_and_refresh(pair.second)
    pair.begin_all(pair.first)
    return pair.in_flight()


def late_request():
    """A request for fewer slots arrives after a newer request for more."""
    pair = RouterPair()
    late = pair.drop_demand(pair.first)
    pair.begin_and_refresh(pair.first)
    pair.allocator.handle_request(late, pair.now)
    pair.begin_and_refresh(pair.second)
    return pair.in_flight()


def restart():
    """A router restarts while its requests are in flight, and then the other router uses slots."""
    pair = RouterPair()
    pair.begin_and_refresh(pair.first)
    pair.begin_and_refresh(pair.restarted_first())
    pair.begin_all(pair.second)
    return pair.in_flight()


def test_a_late_request_of_a_former_process_keeps_its_slots_recorded():
    """Guards against lost records of slots that a former process may have in use.

    A late request of the former process made it the holder under the name again, and the next request of its
    successor then discarded the former process's slots.
    """
    pair = RouterPair()
    pair.begin_and_refresh(pair.first)
    late = pair.first.next_request(pair.now)
    successor = pair.restarted_first()
    pair.request_quota(successor)
    pair.allocator.handle_request(late, pair.now)
    pair.begin_and_refresh(successor)
    pair.begin_and_refresh(pair.second)
    assert pair.in_flight() <= 3


SCENARIOS = {
    late_answer: (LocalQuota, "apply_grant", quota_mutations.grant_counts_from_answer),
    overtaken_answer: (LocalQuota, "apply_grant", quota_mutations.older_grant_sets_slots),
    lost_answer: (LocalQuota, "next_request", quota_mutations.request_does_not_confine),
    late_request: (QuotaAllocator, "_check_request", quota_mutations.late_request_is_granted),
    restart: (QuotaAllocator, "_get_or_create_holder", quota_mutations.former_process_forgotten),
}


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_slot_is_used_twice_while_each_guard_is_in_place(monkeypatch, scenario):
    """At most three slots are in use with the guard, and four without it."""
    assert scenario() <= 3
    monkeypatch.setattr(*SCENARIOS[scenario])
    assert scenario() == 4


# -- invalid messages --------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "changes, place",
    [
        ({"budget": "other"}, "budget"),
        ({"budget": "fills/" + 300 * "x"}, "budget"),
        ({"terms_checksum": 1}, "figures"),
        ({"wanted_rate": -1.0}, "want"),
        ({"wanted_rate": float("nan")}, "want"),
        ({"wanted_rate": 1e300}, "want"),
        ({"tokens_left": float("inf")}, "left"),
        ({"slots_kept": -1}, "keep"),
        ({"slots_wanted": 1 << 70}, "slots"),
        ({"sequence_number": 1}, "number"),
        ({"sequence_number": 0}, "number"),
    ],
)
def test_requests_that_an_allocator_refuses(changes, place):
    """Each request is refused with the field's name and counted, and uses no token."""
    allocator = QuotaAllocator([RATE], 0, first_allocator=True)
    valid = QuotaRequest("fills", "r", "t", 1, wanted_rate=5.0, terms_checksum=RATE.terms_checksum)
    assert isinstance(allocator.handle_request(valid, SECOND), QuotaGrant)
    before = allocator.accounts["fills"].tokens
    answer = allocator.handle_request(valid._replace(**({"sequence_number": 2} | changes)), SECOND)
    assert isinstance(answer, QuotaRefusal) and answer.place == place
    assert allocator.refused == 1 and allocator.accounts["fills"].tokens == before


@pytest.mark.parametrize(
    "changes",
    [
        {"budget": "other"},
        {"process_token": "x"},
        {"sequence_number": 9},
        {"tokens": -1.0},
        {"tokens": 1e9},
        {"slots": 99},
        {"tokens": float("nan")},
    ],
)
def test_grants_that_a_router_ignores(changes):
    """Each grant is counted as invalid, and none of its tokens may be used."""
    quota = LocalQuota(RATE, "r", "t", 0)
    quota.next_request(0)
    valid = QuotaGrant("fills", "t", 1, tokens=2.0, slots=0)
    assert not quota.apply_grant(valid._replace(**changes), 1)
    assert quota.invalid_grants == 1 and quota.tokens_left(1) == 0


class ManualClock:
    """A monotonic clock that the test sets, in microseconds."""

    def __init__(self):
        self.now = 0

    def __call__(self):
        return self.now


def test_grants_that_arrive_after_they_expired_are_logged():
    """A router whose grants are all late has only its guaranteed minimum, and its log must say why."""
    clock = ManualClock()
    client = QuotaClient([RATE], "r", "t", clock)
    for _ in range(3):
        client.time_until_admitted("fills")
        (request,) = client.due_requests()
        clock.now += 3 * RATE.grant_ttl
        client.apply_grants([QuotaGrant("fills", "t", request.sequence_number, tokens=2.0, slots=0)])
    client.time_until_admitted("fills")
    counters = client.counters()["fills"]
    assert counters.late_grants == 3 and counters.cut_off
    assert not client.quotas["fills"].tokens_left(clock.now)
    line = describe_changes(counters, QuotaCounters())
    assert (
        f"3 grants arrived after they had expired, the last grant took {3 * RATE.grant_ttl // 1_000} ms"
        in line
    )


@given(st.lists(st.floats(0, 1e6), min_size=1, max_size=12), st.floats(0.1, 1e6))
def test_max_min_uses_the_whole_capacity_and_grants_no_more_than_the_demand(demands, capacity):
    shares = [min(demand, max_min_fair_share(demands, capacity)) for demand in demands]
    assert sum(shares) == pytest.approx(min(capacity, sum(demands)), rel=1e-6, abs=1e-6)


# -- model checking ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", CASES)
def test_no_order_of_messages_and_stops_exceeds_the_budget(name):
    found = explore(QuotaModel(CASES[name]), 1_500)
    assert not found.violation, found.format_trace()


MODEL_MUTATIONS = {
    "a grant doesn't expire": (
        Bounds(steps=4, demand_changes=2, quota_requests=2),
        (Budget, "grant_expiry", quota_mutations.grant_never_expires),
    ),
    "a restarted router has its guaranteed slots at once": (
        Bounds(steps=0, demand_changes=3, quota_requests=1, restarts=1),
        (LocalQuota, "__init__", quota_mutations.restart_has_slots_at_once),
    ),
    "an allocator grants slots at once": (
        Bounds(steps=0, demand_changes=2, quota_requests=2, allocator_restarts=1),
        (QuotaAllocator, "__init__", quota_mutations.slots_granted_at_once),
    ),
}


@pytest.mark.parametrize("name", MODEL_MUTATIONS)
def test_the_model_checker_finds_each_guard_missing(monkeypatch, name):
    """It finds the other guards too; the scenarios above test them, and `rehearse guards` with processes."""
    bounds, mutation = MODEL_MUTATIONS[name]
    monkeypatch.setattr(*mutation)
    found = explore(QuotaModel(bounds), 20_000)
    print(found.format_trace())
    assert "4 reqs in hand" in found.violation


GRANT_EXPIRES = [("time",)] * 4
SECOND_ROUTER_BEGINS = [("turn", 1), ("ask", 1, 0), ("hear", 1)]
TRACES = {
    # A router reads its clock, is suspended until its grant has expired, and continues with the old reading.
    "rereads_clock": [
        ("turn", 0),
        ("ask", 0, 0),
        ("hear", 0),
        ("time",),
        ("stop", 0),
        *GRANT_EXPIRES[1:],
        *SECOND_ROUTER_BEGINS,
        ("wake", 0),
    ],
    # A router sends a request to an allocator that does not know that another one has taken over.
    "checks_takeover": [
        ("turn", 0),
        ("takeover",),
        *GRANT_EXPIRES,
        ("ask", 0, 0),
        ("hear", 0),
        ("turn", 1),
        ("ask", 1, 1),
        ("hear", 1),
    ],
}


@pytest.mark.parametrize("guard", TRACES)
def test_guards_outside_the_allocator_and_local_quota(guard):
    """Replays histories of 12 and more steps that the model checker has found, without searching for them."""
    for is_in_place in (True, False):
        model = QuotaModel(Bounds(stops=1, takeovers=1), **{guard: is_in_place})
        world = model.start()
        broken = ""
        for action in TRACES[guard]:
            was_not_answered = action[0] == "hear" and not world.routers[action[1]].to_router
            if was_not_answered:
                continue
            model.act(world, action)
            broken = broken or model.violation(world)
        assert bool(broken) is not is_in_place


def test_a_late_request_in_the_model(monkeypatch):
    """Two requests arrive out of order at an allocator that does not compare their sequence numbers."""
    monkeypatch.setattr(QuotaAllocator, "_check_request", quota_mutations.late_request_is_granted)
    model = QuotaModel(Bounds(steps=0))
    world = model.start()
    for action in [
        ("send", 0),
        ("turn", 0),
        ("send", 0),
        ("swap", 0, "to_allocator"),
        ("arrive", 0, 0),
        ("hear", 0),
        ("arrive", 0, 0),
        *SECOND_ROUTER_BEGINS,
    ]:
        model.act(world, action)
    assert model.violation(world)
