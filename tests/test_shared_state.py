"""Routers in one process share no mutable object, and the pools of one router keep to its grants together.

Nor do the parties of models and simulated fleets, which stand for processes on machines of their own.
"""

import copy
import json
import random
import sys
from concurrent.futures import ThreadPoolExecutor
from threading import Event

import pytest
from conftest import MS, S
from object_graph import common_mutable_objects
from quota_simulation import SimulatedFleet as QuotaFleet
from test_drill import START, answer, demand
from test_leases import TTL, LeaseScenario
from test_pool_routing import PlanScenario
from test_quota import SLOTS
from test_slow_start_quota import SimulatedFleet as SlowStartFleet

from quartzrouter.config.loader import load
from quartzrouter.config.parser import parse
from quartzrouter.config.patterns import pattern, witness
from quartzrouter.config.problems import PlanError, Source
from quartzrouter.drill.host import SimulatorHost
from quartzrouter.fakes.caches import PurgeableCache
from quartzrouter.model_checking import crossing_fill_model, lease_model, purge_model, quota_model
from quartzrouter.quota.slow_start_client import SlowStartClient
from quartzrouter.quota.slow_start_messages import SlowStartGrant, SlowStartTerms
from quartzrouter.routing.model import AttemptStatus, Endpoint, EndpointState, Forward, SlowStartDemand, Tier

REQUEST_TIME = 400 * MS  # charged for each request, as there are no samples of sending times
GRANT = 6 * S  # of sending time
PLAYED_GRANT_TTL = 500 * MS
RESTART_INTERVAL = 10 * S  # shorter than slow start
THREAD_TIMEOUT = 60  # seconds
TERMS = SlowStartTerms(window=S, guaranteed_share=0.0, routers=8, grant_ttl=10 * S)
PLAN = """{
  deployment: { name: "t", home: "north" },
  stores: { north: { hub: "h" } }, hubs: { h: {} },
  caches: {
    n1: { address: "127.0.0.1:1", at: "north", weight: 6 },
    n2: { address: "127.0.0.1:2", at: "north", weight: 6 },
    p: { address: "127.0.2.1:1", at: "h", tier: "parent", weight: 20 },
    o: { address: "127.0.3.1:1", at: "h", tier: "origin", weight: 8 },
  },
  vhosts: { page: { effect: "replayable", client_timeout: 3s, first_byte_target: 400ms, fresh_for: 8s } },
  pools: { a: {}, b: {}, c: {} },
  routes: {
    ["to_${name}"]: { match: { path: "/${name}/**" }, vhost: "page", pool: name } for name in ["a", "b", "c"]
  },
}"""


class PoolsScenario(PlanScenario):
    """Three pools with the same caches, of which n1 is in slow start and n2 is listed only if asked for."""

    def __init__(self, lists_both=False, terms=TERMS):
        super().__init__(PLAN)
        self.router = type(self.router)(
            self.plan,
            self.router.router_arguments,
            slow_start_client=SlowStartClient({"cache": terms}, lambda: self.now),
        )
        endpoints = [
            Endpoint("p", "h", Tier.PARENT, "parent", 0, EndpointState.UP, 20, 0),
            Endpoint("o", "h", Tier.ORIGIN, "origin", 0, EndpointState.UP, 8, 0),
        ]
        if lists_both:
            endpoints.append(Endpoint("n2", "north", Tier.CACHE, "cache", 0, EndpointState.UP, 6, 0))
        self.router.update_endpoints(endpoints, True, self.now)
        self.start_n1()

    def start_n1(self):
        """Lists n1 as started now."""
        self.n1_started_at = self.now
        n1 = Endpoint("n1", "north", Tier.CACHE, "cache", 0, EndpointState.UP, 6, self.now)
        self.router.update_endpoints([n1], False, self.now)

    @property
    def client(self):
        return self.router.slow_start_client

    def grant(self, sending_time):
        """Requests and applies a grant for n1."""
        demands = [SlowStartDemand("n1", Tier.CACHE, 10 * S, sending_time, REQUEST_TIME)]
        requests = self.client.due_requests(demands)
        self.client.apply_grants(
            [SlowStartGrant("n1", request.sequence_number, sending_time) for request in requests]
        )

    def send(self, pools, count):
        """Sends requests to the pools in turn, and returns how many were forwarded to n1."""
        decisions = [self.request(f"/{pools[number % len(pools)]}/{number}") for number in range(count)]
        return sum(isinstance(each, Forward) and each.endpoint == "n1" for each in decisions)


# -- the pools of one router ---------------------------------------------------------------------------------


@pytest.mark.parametrize("pools", ["abc", "a"])
def test_pools_together_send_what_one_grant_allows(pools):
    """With a copy of the grant for each pool, three pools together sent 45 requests."""
    scenario = PoolsScenario()
    assert scenario.send(pools, 9) == 0
    scenario.grant(GRANT)
    assert scenario.send(pools, 300) == GRANT // REQUEST_TIME == 15
    assert scenario.send(pools, 9) == 0


def test_pool_routers_share_no_mutable_object():
    """The pools of one process changed one table of granted sending time together."""
    scenario = PoolsScenario(lists_both=True)
    router, now = scenario.router, scenario.now
    scenario.grant(GRANT)
    assert scenario.send("abc", 60)
    for request_id in list(scenario.attempt_numbers):
        failed = request_id % 5 == 0
        scenario.finish(AttemptStatus.CONNECTION_LOST if failed else AttemptStatus.SUCCEEDED, request_id)
    router.pool_routers.set_fleet_load({"n1": 4, "n2": 2}, {"n1": 1}, now)
    router.pool_routers.set_ejected_by_peers({"n2": now + S}, now)
    router.record_purge(7, None, 0, now)
    router.record_purge(None, "0f" * 8, 0, now)
    router.record_health_check("n1", AttemptStatus.SUCCEEDED, now)
    router.maintenance(now)
    assert router.pool_routers.slow_start_demand(now) and router.pool_routers.health_observations(now)
    scenario.request("/a/in-flight")
    plan = PLAN.replace("pools: { a: {},", "pools: { d: {},").replace('["a", "b"', '["d", "b"')
    router.replace(scenario.load(plan), now)
    scenario.send("dbc", 30)
    assert len(list(scenario.router.pool_routers)) == 4
    parties = [*scenario.router.pool_routers, scenario.client]
    assert common_mutable_objects(parties, known=[scenario]) == []  # the client's clock is the scenario's


def test_what_a_failed_decision_has_used_counts(monkeypatch):
    """The request is forwarded to n1, and then an error ends the decision."""
    scenario = PoolsScenario()
    scenario.grant(GRANT)
    router = scenario.router.pool_routers.by_pool["a"].router
    start = router.attempts.start

    def start_and_fail(*arguments):
        start(*arguments)
        raise RuntimeError("a fault in a decision")

    monkeypatch.setattr(router.attempts, "start", start_and_fail)
    with pytest.raises(RuntimeError):
        scenario.request("/a/1")
    assert scenario.send("bc", 300) == GRANT // REQUEST_TIME - 1


class GrantsPlay(PoolsScenario):
    """Requests of all pools, their ends, grants, expiry and new plans, in an order drawn from a seed.

    Sending to n1 needs a grant, as no share of its budget is guaranteed, and n1 starts again before its slow
    start is over.
    """

    def __init__(self, seed):
        super().__init__(lists_both=True, terms=TERMS._replace(grant_ttl=PLAYED_GRANT_TTL))
        self.rng = random.Random(seed)
        self.unanswered = []  # requests for sending time, each with the time at which it was made
        self.left = []  # of each grant, by the request's time: until when it may be used, and what is unused
        self.granted = self.used = self.expired = 0
        self.plans = [self.plan, self.load(PLAN.replace("c: {} }", "c: {}, d: {} }"))]

    def play(self, steps):
        """Returns the sending time that was granted, used, and not used before its end."""
        actions = [self.send_one, self.end_one, self.ask_for_grants, self.answer_one, self.change_plan]
        for _ in range(steps):
            self.now += self.rng.choice((1, 5, 40)) * MS
            self.rng.choices(actions, (50, 30, 8, 8, 1))[0]()
            if self.now - self.n1_started_at >= RESTART_INTERVAL:
                self.start_n1()
        return self.granted, self.used, self.expired

    def record_use(self, decision):
        """Takes a request to n1 from the grants that are valid now, those that end first before others."""
        if not (isinstance(decision, Forward) and decision.endpoint == "n1"):
            return
        self.used += REQUEST_TIME
        self.expired += sum(unused for ends_at, unused in self.left if ends_at <= self.now)
        self.left = sorted([ends_at, unused] for ends_at, unused in self.left if ends_at > self.now)
        assert sum(unused for _, unused in self.left) >= REQUEST_TIME, "used without a valid grant"
        missing = REQUEST_TIME
        for each in self.left:
            taken = min(missing, each[1])
            each[1] -= taken
            missing -= taken

    def send_one(self):
        self.record_use(self.request(f"/{self.rng.choice('abc')}/{self.rng.randrange(90)}"))

    def end_one(self):
        if self.attempt_numbers:
            request_id = self.rng.choice(list(self.attempt_numbers))
            status = self.rng.choice([AttemptStatus.SUCCEEDED] * 5 + [AttemptStatus.CONNECTION_LOST])
            decision = self.finish(status, request_id)
            if not isinstance(decision, Forward):
                del self.attempt_numbers[request_id]
            self.record_use(decision)

    def ask_for_grants(self):
        demands = self.router.pool_routers.slow_start_demand(self.now)
        self.unanswered += [(self.now, request) for request in self.client.due_requests(demands)]

    def answer_one(self):
        """Applies a late or an early grant, now and then twice."""
        if self.unanswered:
            asked_at, asked = self.unanswered.pop(self.rng.randrange(len(self.unanswered)))
            sending_time = min(asked.wanted, self.rng.choice((1, 3, 7)) * REQUEST_TIME)
            grant = SlowStartGrant(asked.endpoint, asked.sequence_number, sending_time)
            self.granted += sending_time
            self.left.append([asked_at + PLAYED_GRANT_TTL, sending_time])
            self.client.apply_grants([grant] * self.rng.choice((1, 1, 2)))

    def change_plan(self):
        self.router.replace(self.rng.choice(self.plans), self.now)


def test_pools_never_use_more_than_was_granted():
    """Grants must be used and must end unused in the plays, or these would not test it."""
    plays = [GrantsPlay(seed).play(600) for seed in range(20)]
    assert sum(used for _, used, _ in plays) > 200 * REQUEST_TIME
    assert sum(expired for _, _, expired in plays) > 200 * REQUEST_TIME


# -- routers of several machines in one process --------------------------------------------------------------


def test_routers_in_the_simulators_adapter_share_no_mutable_object():
    host, names = SimulatorHost(), [f"router/{number}" for number in range(4)]
    started = [{"router": name} | event for name in names for event in START]
    requested = [{"router": name} | demand(number) for number, name in enumerate(names)]
    answered = [{"router": name} | answer(number, "success", ended=True) for number, name in enumerate(names)]
    for now, events in enumerate([started, requested, answered], 1):
        host.process_batch(now * S, [json.loads(json.dumps(event)) for event in events])
    assert len(host.instances) == 4
    assert common_mutable_objects(list(host.instances.values())) == []


def test_routers_whose_plans_were_loaded_one_by_one_share_no_mutable_object():
    """All plans of a process have their patterns from one cache."""
    scenarios = [PlanScenario(), PlanScenario()]
    for scenario in scenarios:
        for path in ("/once/a", "/far/a", "/few/a", "/a"):
            scenario.request(path)
            scenario.finish(AttemptStatus.SUCCEEDED)
    patterns = {
        each
        for scenario in scenarios
        for route in scenario.plan.routes
        for box in route.boxes
        for each in box.path.required
    }
    assert len(patterns) == 6
    assert common_mutable_objects([scenario.router for scenario in scenarios], known=patterns) == []


def test_a_pattern_does_not_change_by_its_use():
    """A table of the steps of its automaton grew with each plan that was checked."""
    used = pattern("/shared-*/{item}/b*", "/")
    assert used.match("/shared-a/c/b") and used.capture("/shared-a/c/b") == {"item": "c"}
    before = copy.deepcopy(vars(used))
    assert used.walk("/shared-a/c/b") and witness([used], [pattern("/shared-a*/**", "/")])
    assert witness([used, pattern("/*b/c/**", "/")], [pattern("/*-b/**", "/")])
    after = vars(used)
    assert {name: after[name] for name in before} == before
    parts = tuple(after.values())
    assert common_mutable_objects([parts, parts]) == []


@pytest.fixture
def frequent_thread_switches():
    interval = sys.getswitchinterval()
    sys.setswitchinterval(1e-5)  # seconds
    yield
    sys.setswitchinterval(interval)


def test_plans_that_are_parsed_at_once_keep_their_own_places_and_comments(frequent_thread_switches):
    """All files had one tree builder: a router that reloads its plan got lines and comments of another's."""
    lines = 60

    def parse_often(name):
        parsed = []
        for _ in range(10):
            fields = "".join(f'  f{number}: "${{{number} + 1}}",  // {name}\n' for number in range(lines))
            whole = parse(Source(name, f"{{\n{fields}}}"))
            with pytest.raises(PlanError) as broken:
                parse(Source(name, f"{{\n{fields}}} }}"))
            parsed.append((whole, broken.value.fault))
        return parsed

    names = ["north", "south"]
    with ThreadPoolExecutor(len(names)) as threads:
        results = list(threads.map(parse_often, names))
    for name, parsed in zip(names, results, strict=True):
        for whole, fault in parsed:
            assert whole.root.place.source.name == fault.place.source.name == name
            assert [str(comment) for comment in whole.comments] == [f"// {name}"] * lines


def test_a_plan_that_is_evaluated_does_not_fail_for_the_end_of_another():
    """The second plan is half evaluated when the first one ends, and is deep in its other half."""
    limit_before = sys.getrecursionlimit()
    is_first_half_done, is_second_half_done, is_first_over = Event(), Event(), Event()
    functions = " ".join(f"local f{n}(x) = f{n - 1}(x) + 1;" for n in range(1, 301))

    def read_first(path):
        if path == "first":
            return '{ gate: include "gate" }'
        is_first_half_done.set()
        assert is_second_half_done.wait(THREAD_TIMEOUT)
        return "1"

    def read_second(path):
        if path == "second":
            return f'local f0(x) = x; {functions} {{ gate: include "gate", deep: f300(1) }}'
        is_second_half_done.set()
        assert is_first_over.wait(THREAD_TIMEOUT)
        return "1"

    def load_first():
        load("first", read_first)
        is_first_over.set()

    def load_second():
        assert is_first_half_done.wait(THREAD_TIMEOUT)
        return load("second", read_second).value.slots["deep"].value

    with ThreadPoolExecutor(2) as threads:
        first, second = threads.submit(load_first), threads.submit(load_second)
        first.result()
        assert second.result() == 301
    assert sys.getrecursionlimit() == limit_before


# -- models and simulated fleets -----------------------------------------------------------------------------

# By name: the model, its cases, and the parties in one of its states.
MODELS = {
    "leases": (
        lease_model.LeaseModel,
        lease_model.CASES,
        lambda world: [*world.keepers, *world.claimants],
    ),
    "quotas": (
        quota_model.QuotaModel,
        quota_model.CASES,
        lambda world: [*world.allocators, *world.routers],
    ),
    "purges": (
        purge_model.PurgeModel,
        purge_model.CASES,
        lambda world: [world.disk, *world.purge_logs, *world.routers],
    ),
    "fills": (
        crossing_fill_model.CrossingFillModel,
        crossing_fill_model.CASES,
        lambda world: [*world.caches.values(), world.queues, world.fleet_purges],
    ),
}


@pytest.mark.parametrize("name", MODELS)
def test_parties_of_a_model_share_no_mutable_object(name):
    """What one party of a model learns without a message, the checker takes for known."""
    model_type, cases, parties_of = MODELS[name]
    rng = random.Random(1)
    for bounds in cases.values():
        for _ in range(4):
            model = model_type(bounds)
            world = model.start()
            for _ in range(15):
                actions = list(model.actions(world))
                if not actions:
                    break
                model.act(world, rng.choice(actions))
                assert common_mutable_objects(parties_of(world)) == []


def quota_fleet():
    fleet = QuotaFleet(SLOTS, 1, [100.0] * SLOTS.routers).run(5)
    return [*fleet.quotas, fleet.allocator], []


def slow_start_fleet():
    fleet = SlowStartFleet(1)
    return [*fleet.clients, fleet.allocator], [fleet]  # the clients' clocks are the fleet's


def lease_fleet():
    scenario = LeaseScenario("a", "b", "c")
    scenario.advance(3 * TTL)
    return [*scenario.acceptors, *scenario.proposers], []


@pytest.mark.parametrize("play", [quota_fleet, slow_start_fleet, lease_fleet])
def test_parties_of_a_simulated_fleet_share_no_mutable_object(play):
    parties, known = play()
    assert common_mutable_objects(parties, known) == []


def test_simulated_caches_share_no_index_of_a_purge(monkeypatch):
    """All caches of a process looked up a purge in one cached index, which any of them could change."""
    indexes = []
    monkeypatch.setattr(
        PurgeableCache, "_remove_copies", lambda cache, index, min_age, now: indexes.append(index)
    )
    purge = {"x-purge-kind": "tag", "x-purge-older-ms": "0", "x-purge-values": "rose", "x-purge-number": "1"}
    for name in ("n1", "n2"):
        PurgeableCache(name, {}, random.Random(1))._purge(purge)
    assert len(indexes) == 2 and common_mutable_objects(indexes) == []
