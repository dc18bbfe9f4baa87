"""Slow start shared by routers: grants of sending time, and its bound within every window."""

import random
from typing import NamedTuple

import pytest

from quartzrouter.fault_harness import quota_mutations
from quartzrouter.quota import slow_start_allocator
from quartzrouter.quota.budget import SECOND
from quartzrouter.quota.messages import QuotaRefusal
from quartzrouter.quota.slow_start_allocator import EndpointAccount, SlowStartAllocator
from quartzrouter.quota.slow_start_client import SlowStartClient
from quartzrouter.quota.slow_start_messages import SlowStartGrant, SlowStartRequest, SlowStartTerms
from quartzrouter.routing.model import GrantCharge, SlowStartDemand, Tier

MILLISECOND = 1_000  # microseconds
TERMS = SlowStartTerms(window=SECOND, guaranteed_share=0.2, routers=8, grant_ttl=500 * MILLISECOND)
LIMIT = 800 * MILLISECOND  # sending time that all routers may use in a window
GRANTABLE = 640 * MILLISECOND  # LIMIT without the guaranteed share
REQUEST_TIME = 50 * MILLISECOND


def request(
    sequence_number=1,
    limit=LIMIT,
    wanted=LIMIT,
    sending_time_left=0,
    request_time=REQUEST_TIME,
    endpoint="n0",
    terms_checksum=TERMS.terms_checksum,
    tier="cache",
):
    return SlowStartRequest(
        endpoint, tier, sequence_number, limit, wanted, sending_time_left, request_time, terms_checksum
    )


class Allocator(SlowStartAllocator):
    """An allocator that starts at 0 and grants from ``ready_at``, when an earlier one's grants are over."""

    def __init__(self):
        super().__init__({"cache": TERMS}, 0)
        self.ready_at = TERMS.accounting_period

    def sending_time(self, slow_start_request, router, now, process_token="t"):
        """Returns the sending time granted for one request."""
        return self.handle_request(slow_start_request, router, process_token, now).sending_time


# -- allocator ---------------------------------------------------------------------------------------------


def test_an_allocator_waits_until_earlier_grants_are_over():
    """Another allocator may have granted the whole limit right before this one started."""
    allocator = Allocator()
    early = allocator.handle_request(request(), "a", "t", allocator.ready_at - 1)
    assert early == SlowStartGrant("n0", 1, 0)
    assert allocator.sending_time(request(2), "a", allocator.ready_at) == GRANTABLE


def test_the_lowest_limit_that_any_router_states_applies():
    """A router that has learned of the endpoint's start later than the other one states a lower limit."""
    allocator = Allocator()
    now = allocator.ready_at
    granted = allocator.sending_time(request(), "a", now)
    assert allocator.sending_time(request(limit=LIMIT // 2), "b", now) == 0
    later = now + TERMS.accounting_period + 1
    assert allocator.sending_time(request(2), "a", later) <= GRANTABLE and granted == GRANTABLE
    assert allocator.sending_time(request(2, limit=LIMIT // 2), "b", later) == 0


def test_many_routers_with_little_demand_get_one_request_each():
    """Thirty routers want one request each, and there is time for twelve; none is granted part of one."""
    allocator = Allocator()
    now = allocator.ready_at
    granted = [
        allocator.sending_time(request(wanted=REQUEST_TIME), f"r{router}", now) for router in range(30)
    ]
    assert [sending_time for sending_time in granted if sending_time] == [REQUEST_TIME] * 12
    state = allocator.states(now)[0]
    assert state.granted == 12 * REQUEST_TIME and state.routers == 30


def test_a_router_that_wants_everything_leaves_others_their_share():
    """One router wants the whole limit, another one less than half; both send requests for four seconds."""
    allocator = Allocator()
    now = allocator.ready_at
    other_wants = 300 * MILLISECOND
    times = range(now, now + 4 * SECOND, TERMS.request_interval)
    for sequence_number, at in enumerate(times, 1):
        first = allocator.sending_time(request(sequence_number), "a", at)
        second = allocator.sending_time(request(sequence_number, wanted=other_wants), "b", at)
        if at - now > 2 * SECOND:
            assert first <= GRANTABLE - other_wants and second <= GRANTABLE // 2
    grants = allocator.accounts["n0"].grants
    second_has = sum(grant.sending_time for grant in grants if grant.router == "b")
    assert second_has >= 250 * MILLISECOND


@pytest.mark.parametrize(
    "invalid, place",
    [
        (request(terms_checksum=1), "figures"),
        (request(tier="hub"), "tier"),
        (request(endpoint=""), "server"),
        (request(endpoint="x" * 65), "server"),
        (request(limit=-1), "most"),
        (request(wanted=10**13), "want"),
        (request(sending_time_left=-5), "left"),
        (request(request_time=-1), "unit"),
    ],
)
def test_invalid_requests_are_counted_and_refused(invalid, place):
    allocator = Allocator()
    refusal = allocator.handle_request(invalid, "a", "t", allocator.ready_at)
    assert isinstance(refusal, QuotaRefusal) and refusal.place == place
    assert allocator.refused == 1 and not allocator.accounts


def test_late_and_duplicated_requests_are_refused_and_those_of_a_new_process_are_not():
    """A router's new process counts from 1 again, and the former process's grant counts as the router's."""
    allocator = Allocator()
    now = allocator.ready_at
    assert allocator.sending_time(request(5, wanted=REQUEST_TIME), "a", now) == REQUEST_TIME
    for sequence_number in (5, 4):
        late = request(sequence_number, wanted=REQUEST_TIME)
        assert allocator.handle_request(late, "a", "t", now).place == "number"
    first = request(1, wanted=REQUEST_TIME)
    assert allocator.sending_time(first, "a", now + 1, process_token="another") == 0
    assert allocator.sending_time(first, "b", now + 1) == REQUEST_TIME


def test_accounts_and_routers_are_bounded(monkeypatch):
    """A fourth endpoint is refused until the grants at another one are over."""
    monkeypatch.setattr(slow_start_allocator, "MAX_ENDPOINTS", 3)
    monkeypatch.setattr(slow_start_allocator, "MAX_ROUTERS", 2)
    allocator = Allocator()
    now = allocator.ready_at
    for index in range(3):
        slow_start_request = request(endpoint=f"n{index}", wanted=REQUEST_TIME)
        assert allocator.sending_time(slow_start_request, "a", now) == REQUEST_TIME
    fourth = request(endpoint="n3", wanted=REQUEST_TIME)
    assert allocator.handle_request(fourth, "a", "t", now).place == "server"
    assert allocator.sending_time(fourth, "a", now + TERMS.accounting_period) == REQUEST_TIME
    for router in "abc":
        allocator.handle_request(request(2, endpoint="n1", wanted=REQUEST_TIME), router, "t", now + 1)
    assert set(allocator.accounts["n1"].demands) == {"b", "c"}


def test_a_new_plan_waits_until_the_old_grants_are_over():
    """Unchanged terms have no effect; with a shorter TTL, nothing is granted until old grants are over."""
    allocator = Allocator()
    now = allocator.ready_at
    allocator.handle_request(request(), "a", "t", now)
    allocator.replace({"cache": TERMS}, now)
    second = request(2, wanted=REQUEST_TIME)
    assert allocator.sending_time(second, "b", now + TERMS.accounting_period + 1) == REQUEST_TIME
    short = TERMS._replace(grant_ttl=100 * MILLISECOND)
    changed_at = now + 2 * SECOND
    allocator.replace({"cache": short}, changed_at)
    third = request(3, wanted=REQUEST_TIME, terms_checksum=short.terms_checksum)
    assert allocator.sending_time(third, "b", changed_at + short.accounting_period) == 0
    fourth = third._replace(sequence_number=4)
    assert allocator.sending_time(fourth, "b", changed_at + TERMS.accounting_period) == REQUEST_TIME


# -- one router --------------------------------------------------------------------------------------------


class Clock:
    """A clock that the test sets."""

    now = 100 * SECOND

    def __call__(self):
        return self.now


def demand_of(sending_time):
    """Returns the demand of a sending time, in microseconds, at a starting endpoint."""
    return [SlowStartDemand("n0", Tier.CACHE, LIMIT, sending_time, REQUEST_TIME)]


def test_a_grant_expires_by_itself_counting_from_the_request():
    """The grant arrives 300 ms after the request and expires 500 ms after the request."""
    clock = Clock()
    client = SlowStartClient({"cache": TERMS}, clock)
    (slow_start_request,) = client.due_requests(demand_of(2 * REQUEST_TIME))
    clock.now += 300 * MILLISECOND
    client.apply_grants([SlowStartGrant("n0", slow_start_request.sequence_number, 2 * REQUEST_TIME)])
    assert client.sending_time_left() == {"n0": 2 * REQUEST_TIME}
    client.spend([GrantCharge("n0", REQUEST_TIME)])
    assert client.sending_time_left() == {"n0": REQUEST_TIME}
    clock.now += 200 * MILLISECOND
    assert client.sending_time_left() == {}


def test_a_grant_that_overtakes_an_earlier_one_does_not_prolong_it():
    """The grant of the first request arrives after that of the second one, and was used until its end."""
    clock = Clock()
    client = SlowStartClient({"cache": TERMS}, clock)
    (first,) = client.due_requests(demand_of(REQUEST_TIME))
    clock.now += 300 * MILLISECOND
    (second,) = client.due_requests(demand_of(REQUEST_TIME))
    client.apply_grants([SlowStartGrant("n0", second.sequence_number, REQUEST_TIME)])
    client.apply_grants([SlowStartGrant("n0", first.sequence_number, 2 * REQUEST_TIME)])
    clock.now += 200 * MILLISECOND  # the first grant expires
    (third,) = client.due_requests(demand_of(REQUEST_TIME))
    assert third.sending_time_left == REQUEST_TIME and third.returned == 2 * REQUEST_TIME


def test_a_grant_counts_once_and_only_for_its_request():
    """One grant is duplicated in transit, one answers no request, and one is for another endpoint."""
    clock = Clock()
    client = SlowStartClient({"cache": TERMS}, clock)
    (slow_start_request,) = client.due_requests(demand_of(REQUEST_TIME))
    grant = SlowStartGrant("n0", slow_start_request.sequence_number, REQUEST_TIME)
    unasked = SlowStartGrant("n0", 99, REQUEST_TIME)
    elsewhere = SlowStartGrant("n9", slow_start_request.sequence_number, REQUEST_TIME)
    client.apply_grants([grant, grant, unasked, elsewhere])
    assert client.sending_time_left() == {"n0": REQUEST_TIME} and client.invalid_grants == 3
    assert client.due_requests([]) == ()  # the endpoint has warmed up
    assert client.sending_time_left() == {} and not client.allowances


def test_nothing_is_requested_once_demand_has_ended():
    clock = Clock()
    client = SlowStartClient({"cache": TERMS}, clock)
    assert client.due_requests(demand_of(0)) == ()
    request_count = 0
    for interval in range(40):
        clock.now += TERMS.request_interval
        request_count += len(client.due_requests(demand_of(REQUEST_TIME if interval == 0 else 0)))
    assert 1 <= request_count < 10


def test_nothing_is_requested_if_no_slow_start_is_shared():
    client = SlowStartClient({}, Clock())
    assert client.due_requests(demand_of(REQUEST_TIME)) == () and client.request_interval() is None


# -- simulated fleets --------------------------------------------------------------------------------------


class SpentTime(NamedTuple):
    """Sending time that a router has used.

    :param at: time of use, in microseconds of true time.
    :param sending_time: microseconds used.
    """

    at: int
    sending_time: int


class DelayedMessage(NamedTuple):
    """A message in transit between a router and the allocator.

    :param arrives_at: arrival in microseconds of true time.
    :param router: index of the router that sends or receives it.
    :param to_allocator: True if the allocator receives it, False if the router does.
    :param content: a request for sending time, or a grant.
    """

    arrives_at: int
    router: int
    to_allocator: bool
    content: object


class SimulatedFleet:
    """Routers with clock drift, an allocator that restarts, and messages that are lost, duplicated and late.

    :param allocator_waits: True if a restarted allocator waits until the grants of the earlier one are over.
    """

    STEP = 10 * MILLISECOND
    ROUTERS = 8
    SECONDS = 12
    MAX_CLOCK_DRIFT = 150  # parts per million

    def __init__(self, seed, allocator_waits=True):
        self.rng = rng = random.Random(seed)
        self.allocator_waits = allocator_waits
        self.now = 0
        self.spent: list[SpentTime] = []
        routers = range(self.ROUTERS)
        self.drift = [rng.randint(-self.MAX_CLOCK_DRIFT, self.MAX_CLOCK_DRIFT) for _ in routers]
        self.offset = [rng.randint(0, 10**12) for _ in routers]
        self.clients = [self._start_client(router) for router in routers]
        self.process_tokens = ["t"] * self.ROUTERS
        self.demand = [rng.choice((1.0, 8.0, 24.0)) for _ in routers]  # requests per second
        self.paused_until = [0] * self.ROUTERS  # it sends nothing, but continues to request sending time
        self.waiting_requests = [0.0] * self.ROUTERS
        self.allocator = self._start_allocator()
        self.messages: list[DelayedMessage] = []
        self.disconnected_until = [0] * self.ROUTERS
        self.allocator_restarts_at = rng.randint(2, 9) * SECOND
        while self.now < self.SECONDS * SECOND:
            self.now += self.STEP
            self._step()

    def excess(self):
        """Returns the most sending time used in a window above the grantable time; only grants are used."""
        most, first, total = 0, 0, 0
        for spent in self.spent:
            total += spent.sending_time
            while self.spent[first].at <= spent.at - TERMS.window:
                total -= self.spent[first].sending_time
                first += 1
            most = max(most, total)
        return most - (1 - TERMS.guaranteed_share) * LIMIT

    def _clock(self, router):
        return self.offset[router] + self.now + self.now * self.drift[router] // 1_000_000

    def _start_client(self, router):
        return SlowStartClient({"cache": TERMS}, lambda: self._clock(router))

    def _start_allocator(self):
        """Starts an allocator; the first one started long ago, so it does not wait."""
        is_first = not self.now
        began_earlier = 10 * SECOND if is_first or not self.allocator_waits else 0
        return SlowStartAllocator({"cache": TERMS}, self.now - began_earlier)

    def _step(self):
        if self.now >= self.allocator_restarts_at:
            self.allocator = self._start_allocator()
            delay = self.rng.choice((400, 3_000, 9_000)) * MILLISECOND
            self.allocator_restarts_at = self.now + delay
        self._deliver()
        for router in range(self.ROUTERS):
            self._step_router(router)

    def _send(self, router, to_allocator, content):
        rng = self.rng
        if self.now < self.disconnected_until[router] or rng.random() < 0.05:
            return
        for _ in range(1 + (rng.random() < 0.1)):
            delay = rng.choice((*[0] * 12, 20, 200, 300)) * MILLISECOND
            self.messages.append(DelayedMessage(self.now + delay, router, to_allocator, content))

    def _deliver(self):
        for message in [message for message in self.messages if message.arrives_at <= self.now]:
            self.messages.remove(message)
            _, router, to_allocator, content = message
            if not to_allocator:
                self.clients[router].apply_grants([content])
                continue
            answer = self.allocator.handle_request(
                content, f"r{router}", self.process_tokens[router], self.now
            )
            if isinstance(answer, SlowStartGrant):
                self._send(router, False, answer)

    def _step_router(self, router):
        rng = self.rng
        if rng.random() < 0.001:
            self.disconnected_until[router] = self.now + rng.randint(100, 3000) * MILLISECOND
        if rng.random() < 0.0005:  # a restart: grants are lost, and it counts from 1 again
            self.clients[router] = self._start_client(router)
            self.process_tokens[router] += "'"
        arrived = self.demand[router] * self.STEP / SECOND * rng.choice((0, 0, 0, 4))
        self.waiting_requests[router] += arrived
        client = self.clients[router]
        if rng.random() < 0.03:
            self.paused_until[router] = self.now + rng.choice((100, 300, 460, 700)) * MILLISECOND
        spent = self._spend(router, client) if self.now >= self.paused_until[router] else 0
        if self.now % TERMS.request_interval == 0:
            demand = spent + int(self.waiting_requests[router] * REQUEST_TIME)
            for slow_start_request in client.due_requests(demand_of(demand)):
                self._send(router, True, slow_start_request)
            self.waiting_requests[router] = min(self.waiting_requests[router], 12.0)

    def _spend(self, router, client):
        """Sends all waiting requests that grants admit, and returns their sending time."""
        spent = 0
        while self.waiting_requests[router] >= 1 and client.sending_time_left().get("n0", 0) >= REQUEST_TIME:
            client.spend([GrantCharge("n0", REQUEST_TIME)])
            self.waiting_requests[router] -= 1
            spent += REQUEST_TIME
            self.spent.append(SpentTime(self.now, REQUEST_TIME))
        return spent


SEEDS = range(12)


def test_fleets_never_use_more_than_the_grantable_sending_time():
    """The use must also come close to the bound, or the simulation would not test it."""
    fleets = [SimulatedFleet(seed) for seed in SEEDS]
    assert all(fleet.excess() <= 0 for fleet in fleets)
    assert sum(len(fleet.spent) for fleet in fleets) > 400
    assert max(fleet.excess() for fleet in fleets) > -300 * MILLISECOND


def no_guaranteed_share(
    allocator, account, slow_start_request, router, now, sending_time=SlowStartAllocator._sending_time
):
    """Replaces ``SlowStartAllocator._sending_time``: the guaranteed share is granted as well."""
    terms = allocator.terms
    allocator.terms = {"cache": TERMS._replace(guaranteed_share=0.0)}
    try:
        return sending_time(allocator, account, slow_start_request, router, now)
    finally:
        allocator.terms = terms


MUTATIONS = {
    "a grant expires": (
        SlowStartTerms,
        "grant_expiry",
        lambda _terms, requested_at: requested_at + 60 * SECOND,
    ),
    "a grant counts from its request": (
        SlowStartTerms,
        "grant_expiry",
        lambda terms, requested_at: requested_at + 4 * terms.grant_ttl,
    ),
    "grants of a time to live before count as well": (
        SlowStartTerms,
        "accounting_period",
        property(lambda terms: terms.window),
    ),
    "a grant counts once": (
        SlowStartClient,
        "apply_grants",
        quota_mutations.doubled_slow_start_grant_counts_twice,
    ),
    "an allocator looks at what is granted": (
        EndpointAccount,
        "granted_since",
        quota_mutations.granted_time_forgotten,
    ),
    "the guaranteed share is kept apart": (SlowStartAllocator, "_sending_time", no_guaranteed_share),
}


def test_an_allocator_that_does_not_wait_exceeds_the_bound():
    """Such an allocator grants at once what an earlier one may have granted too."""
    assert any(SimulatedFleet(seed, allocator_waits=False).excess() > 0 for seed in SEEDS)


@pytest.mark.parametrize("guard", MUTATIONS)
def test_fleets_exceed_the_bound_without_each_guard(guard, monkeypatch):
    monkeypatch.setattr(*MUTATIONS[guard])
    assert any(SimulatedFleet(seed).excess() > 0 for seed in SEEDS)
