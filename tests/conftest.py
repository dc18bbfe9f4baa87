"""Fixtures that drive a Router or a state machine step by step, and compare the output with a trace."""

import logging
from pathlib import Path

import pytest

from quartzrouter.deployment_settings import DeploymentSettings
from quartzrouter.routing import LOGGER_NAME
from quartzrouter.routing.model import (
    AttemptResult,
    AttemptStatus,
    Capabilities,
    Endpoint,
    EndpointState,
    FillStatus,
    Forward,
    Idempotency,
    LoadReport,
    Request,
    SlowStart,
    Tier,
    TrafficClass,
)
from quartzrouter.routing.router import Router
from quartzrouter.server import attempt_failure, events, state_machine

MS, S = 1_000, 1_000_000
SETUP = {
    "me": 0,
    "peers_total": 1,
    "zone": "north",
    "zones": ["hub", "north"],
    "models": ["box", "parent", "origin"],
    "categories": [
        {"name": "page", "effect": "retryable", "aim_us": 400000, "deadline_us": 3000000, "worth": 1.0},
        {"name": "sale", "effect": "unheard-of", "aim_us": 800000, "deadline_us": 3000000, "worth": 3.0},
    ],
    "limits": {"try_limit": 4, "cancel": True, "retry_after": True, "max_retry_after_us": 2000000, "news": 1},
    "family_info": {"shield_kind": 1, "store_kind": 2, "flow_kb_per_s": 1000, "never_kept": [False, True]},
    "rules": {"cold_from": 0.25, "ramp_time_us": 16000000, "tip_multiple": 2.0, "tip_after_us": 1000000},
}
TRACES = Path(__file__).parent / "traces"
KEYED = {"name": "hold", "effect": "dedup", "group": "all", "window_us": 3000000}


def traffic_class(name, idempotency=Idempotency.IDEMPOTENT, **other):
    """Returns a traffic class, by default a cacheable one with a latency objective of 400 ms."""
    defaults = dict(
        priority_weight=1.0,
        latency_objective=400 * MS,
        objective_stretch=2.0,
        client_timeout=3 * S,
        late_value_share=0.2,
        deduplication_scope="all",
        deduplication_window=3 * S,
        max_age=0,
        stale_grace=0,
        stale_value_share=0.7,
        uncacheable=False,
    )
    return TrafficClass(name, idempotency, **(defaults | other))


def listed(states, started=0):
    """Returns endpoints; the first letter of a name decides if it is a cache, a parent or the origin."""
    tiers = {
        "c": (Tier.CACHE, "box", 6.0),
        "p": (Tier.PARENT, "parent", 20.0),
        "o": (Tier.ORIGIN, "origin", 8.0),
    }
    endpoints = []
    for name, state in states.items():
        tier, kind, rating = tiers[name[0]]
        location = "north" if tier is Tier.CACHE else "hub"
        endpoints.append(Endpoint(name, location, tier, kind, 0, EndpointState(state), rating, started))
    return endpoints


def frame(number, kind, payload=b""):
    """Encodes a frame of the discovery service."""
    return (9 + len(payload)).to_bytes(4, "big") + number.to_bytes(8, "big") + bytes((kind,)) + payload


class RouterScenario(logging.Handler):
    """Drives one Router step by step, and records its decisions and log lines.

    There are the caches c1 to c3, the parents p1 and p2, and the origin o.  Sending 1000 KB takes a second.
    Of the traffic classes, clip and page are cacheable, sale has a key by which repeated requests are
    discarded, and vote must never be repeated.
    """

    def __init__(self, lines, rated=True, router_number=0, **capabilities):
        super().__init__()
        self.lines = lines
        self.now = 10 * S
        self.attempt_numbers = {}  # number of the last attempt by request id
        self.requests = {}  # by id
        decisions_log = logging.getLogger(LOGGER_NAME)
        decisions_log.handlers = [self]
        decisions_log.propagate = False
        decisions_log.setLevel(logging.INFO)
        defaults = dict(
            max_attempts=4,
            pass_through=True,
            request_collapsing=True,
            siblings=False,
            health_checks=True,
            cancellation=True,
            max_retry_after=2 * S,
            discovery_on_request=False,
        )
        slow_start = SlowStart(initial_share=0.25, ramp_time=16 * S, overload_factor=2.0, window=S, routers=2)
        self.router = Router(
            router_number=router_number,
            seed=7,
            home_location="north",
            capabilities=Capabilities(**(defaults | capabilities)),
            cache_slow_start=slow_start,
            parent_slow_start=slow_start,
            purge_lifetime=6 * S,
            transfer_rate=1000.0,
            has_capacity_ratings=rated,
            traffic_classes=[
                traffic_class("clip", priority_weight=2.0, latency_objective=500 * MS, client_timeout=5 * S),
                traffic_class("page", max_age=8 * S, stale_grace=20 * S),
                traffic_class("sale", Idempotency.IDEMPOTENT_WITH_KEY, priority_weight=3.0, uncacheable=True),
                traffic_class("vote", Idempotency.NON_IDEMPOTENT, priority_weight=3.0, uncacheable=True),
            ],
        )
        self.update_endpoints(is_snapshot=True, c1="up", c2="up", c3="up", p1="up", p2="up", o="up")

    def emit(self, record):
        self.print(f"log: {record.getMessage()}")

    def print(self, text):
        self.lines.append(f"{self.now // MS - 10_000:6d} ms  {text}")

    def update_endpoints(self, is_snapshot=False, started=0, **states):
        self.router.update_endpoints(listed(states, started), is_snapshot, self.now)

    def advance(self, ms):
        self.now += ms * MS

    def print_decision(self, cause, decision):
        if isinstance(decision, Forward):
            max_age = f"{decision.max_age // MS} ms" if decision.max_age else "usual"
            priority = decision.cache_priority
            source = decision.fill_source
            text = f"{decision.endpoint} filling from {source}, priority {priority}, max age {max_age}"
        else:
            text = "nothing" if decision is None else str(decision)
        self.print(f"{cause}: {text}")

    def request(
        self, id, class_name, object_key="a", size_kb=200.0, chunk=0, tag=1, timeout=None, quiet=False
    ):
        """Sends a new request; the timeout is in milliseconds."""
        timeout = timeout or self.router.traffic_classes[class_name].client_timeout // MS
        self.requests[id] = Request(id, class_name, object_key, tag, chunk, size_kb, timeout * MS)
        return self.ask(id, quiet)

    def ask(self, id, quiet=False):
        """Requests a decision, also for a request that was deferred."""
        request = self.requests[id]
        decision = self.router.route(request, self.now)
        cause = f"request {id} {request.traffic_class} {request.object_key}/{request.chunk}"
        return self._take(id, cause, decision, quiet)

    def finish(self, id, status, fill_status=FillStatus.UNKNOWN, elapsed=50, quiet=False, **report):
        """Ends the last attempt of a request; the elapsed time is in milliseconds."""
        result = AttemptResult(
            self.attempt_numbers[id],
            status,
            elapsed * MS,
            fill_status,
            status is AttemptStatus.SUCCEEDED,
            LoadReport(**report),
        )
        decision = self.router.attempt_finished(id, result, self.now)
        cause = f"request {id} {status.value[0]}"
        if fill_status:
            cause += f" {fill_status.name.lower()}"
        return self._take(id, cause, decision, quiet)

    def _take(self, id, cause, decision, quiet):
        if isinstance(decision, Forward):
            self.attempt_numbers[id] = decision.attempt_number
        if not quiet:
            self.print_decision(cause, decision)
        return decision


def pytest_addoption(parser):
    parser.addoption(
        "--retrace", action="store_true", help="write the traces anew, to be read before a commit"
    )


class StateMachineHarness:
    """Drives a state machine with two caches, a parent and the origin; records events and their effects."""

    def __init__(self, lines):
        self.lines = lines
        self.start = 10 * S
        self.now = self.start
        setup = SETUP | {"limits": SETUP["limits"] | {"probes": True}}
        setup["categories"] = [*SETUP["categories"], SETUP["categories"][1] | KEYED]
        setup["family_info"] = SETUP["family_info"] | {
            "never_kept": [False, True, True],
            "pass_through_ok": True,
        }
        router = Router(**DeploymentSettings(setup, 7).router_arguments)
        self.state_machine = state_machine.RouterStateMachine(router)
        self.endpoint_update(is_snapshot=True, c1="up", c2="up", p1="up", o="up")

    def endpoint_update(self, is_snapshot=False, **states):
        addresses = {name: (f"127.0.0.{number}", 80) for number, name in enumerate(states, 1)}
        self.step(f"endpoints {states}", events.EndpointUpdate(listed(states), addresses, is_snapshot))

    def request_received(self, request_id, traffic_class="page", **other):
        given = {
            "correlation_id": f"{request_id:016x}",
            "traffic_class": traffic_class,
            "object_key": f"{7:016x}",
            "chunk": 0,
            "tag": 5,
            "timeout": 2 * S,
        }
        client_request = events.ClientRequest(**(given | other))
        self.step(f"request {request_id} {traffic_class}", events.RequestReceived(request_id, client_request))

    def connection_ready(self, request_id, attempt=0):
        self.step(f"request {request_id} connection ready", events.ConnectionReady(request_id, attempt))

    def response_head(
        self, request_id, status=200, length=None, never_ran=False, has_copy_headers=True, attempt=0
    ):
        head = events.ResponseHead(
            request_id, attempt, status, length, never_ran, has_copy_headers, FillStatus.UNKNOWN
        )
        self.step(f"request {request_id} response head {status}", head)

    def response_complete(self, request_id, body=b"", attempt=0):
        event = events.AttemptEnded(request_id, attempt, None, body)
        self.step(f"request {request_id} response complete", event)

    def attempt_failed(self, request_id, stage, cause, attempt=0):
        event = events.AttemptEnded(request_id, attempt, attempt_failure.AttemptFailure(stage, cause))
        self.step(f"request {request_id} attempt failed: {cause.name.lower()}", event)

    def client_gone(self, request_id, when=""):
        self.step(f"request {request_id} client gone{when}", events.ClientGone(request_id))

    def timer_fired(self, quiet=False):
        self.step("timer", events.TimerFired(), quiet)

    def advance_to(self, ms):
        """Fires the timers that are due up to a time after the start, in milliseconds."""
        while self.state_machine.due <= self.start + ms * MS:
            self.now = max(self.now, self.state_machine.due)
            self.timer_fired(quiet=True)
        self.now = self.start + ms * MS

    def step(self, text, event, quiet=False):
        effects = self.state_machine.step(event, self.now)
        if effects or not quiet:
            self.lines.append(f"{(self.now - self.start) // MS:6d} ms  {text}")
        for effect in effects:
            shown = ", ".join(str(value) for value in effect)
            self.lines.append(f"{'':13s}{type(effect).__name__} {shown}")


@pytest.fixture
def trace(request):
    lines = []
    yield lines
    trace_path = TRACES / f"{request.node.originalname.removeprefix('test_')}.txt"
    text = "\n".join(lines) + "\n"
    if request.config.getoption("--retrace"):
        trace_path.parent.mkdir(exist_ok=True)
        trace_path.write_text(text)
    assert text == trace_path.read_text()


@pytest.fixture
def scenario(request, trace):
    return RouterScenario(trace, **getattr(request, "param", {}))


@pytest.fixture
def scenario_with_reports(trace):
    """Responses contain load reports, and health checks are not allowed."""
    return RouterScenario(trace, health_checks=False, load_in_responses=True)


@pytest.fixture
def machine(trace):
    return StateMachineHarness(trace)


@pytest.fixture
def harness(tmp_path):
    from standins import RouterHarness  # standins imports SETUP from this module

    return RouterHarness(tmp_path)


@pytest.fixture(autouse=True)
def reset_decisions_log():
    """Removes the handlers of the decisions' logger, which is shared by all tests of a process."""
    yield
    logging.getLogger(LOGGER_NAME).handlers = []
