"""Property tests of the state machine, without I/O: events in any order, checked by the effects of each step.

Hypothesis draws the events. The test tracks what clients and caches see, independently of the state machine,
and checks the guarantees: one response for each request, no operation executed twice, no copy older than a
purge, and no attempt for a client that has disconnected or at an endpoint that is draining.
"""

import hypothesis.strategies as st
from conftest import KEYED, MS, SETUP, S, listed
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from quartzrouter.deployment_settings import DeploymentSettings
from quartzrouter.routing import router
from quartzrouter.routing.model import FillStatus
from quartzrouter.server import effects, events, state_machine
from quartzrouter.server.attempt_failure import AttemptFailure, AttemptStage, FailureCause

ENDPOINTS = ("c1", "c2", "p1", "o")
ENDPOINTS_THAT_DRAIN = ENDPOINTS[:3]
PURGE_LIFETIME = 6 * S
IDEMPOTENT, NON_IDEMPOTENT, WITH_KEY = "page", "sale", "hold"
TRAFFIC_CLASSES = IDEMPOTENT, NON_IDEMPOTENT, WITH_KEY
RESET_WHILE_SENDING = AttemptFailure(AttemptStage.SENDING, FailureCause.RESET)
FAILURES = [
    AttemptFailure(AttemptStage.CONNECTING, FailureCause.REFUSED),
    AttemptFailure(AttemptStage.CONNECTING, FailureCause.OUT_OF_DESCRIPTORS),
    AttemptFailure(AttemptStage.CONNECTING, FailureCause.RESET),
    RESET_WHILE_SENDING,
    AttemptFailure(AttemptStage.RECEIVING, FailureCause.MALFORMED),
]
RESPONSES = [(200, False), (404, False), (503, True), (504, True), (500, False), (503, False)]


def setup(cancel):
    return SETUP | {
        "categories": [*SETUP["categories"], SETUP["categories"][1] | KEYED],
        "limits": SETUP["limits"] | {"cancel": cancel, "probes": True},
        "family_info": SETUP["family_info"]
        | {"never_kept": [False, True, True], "pass_through_ok": True, "gone_everywhere_us": PURGE_LIFETIME},
    }


class AnyOrderOfEvents(RuleBasedStateMachine):
    """What clients and caches see: requests by id, attempts that are out, endpoints and purges."""

    @initialize(cancel=st.booleans(), started=st.sampled_from([0, 9 * S]))
    def begin(self, cancel, started):
        self.now = 10 * S
        self.last_request_id = 0
        self.deduplication_window = KEYED["window_us"]
        arguments = DeploymentSettings(setup(cancel), 7).router_arguments
        self.state_machine = state_machine.RouterStateMachine(router.Router(**arguments))
        self.responses = {}  # by request id
        self.clients_gone = set()
        self.traffic_class, self.object_and_tag = {}, {}
        self.opened = {}  # endpoint of each attempt that is out
        self.sent = {}  # when the request of each of them was sent
        self.first_run = {}  # when the first attempt that may have run was sent, by request id
        self.unusable = set()  # endpoints that are draining or gone
        self.purged_at = {}  # by object or tag
        self.is_shutting_down = self.has_exited = False
        addresses = {name: (f"127.0.0.{number}", 80) for number, name in enumerate(ENDPOINTS, 1)}
        self.endpoint_update = lambda **states: events.EndpointUpdate(
            listed(states, started), addresses, len(states) > 1
        )
        self.step(self.endpoint_update(**dict.fromkeys(ENDPOINTS, "up")))

    def step(self, event):
        for effect in self.state_machine.step(event, self.now):
            match effect:
                case effects.SendResponse(request_id, _) if request_id in self.traffic_class:
                    assert request_id not in self.responses, "a second response"
                    self.responses[request_id] = effect
                case effects.OpenConnection(request_id, attempt_number, endpoint):
                    self.check_may_begin(request_id, endpoint)
                    assert not any(other == request_id for other, _ in self.opened), "two at a time"
                    self.opened[request_id, attempt_number] = endpoint
                case effects.SendRequest(request_id, attempt_number, _, headers):
                    self.check_may_begin(request_id, self.opened[request_id, attempt_number])
                    self.check_may_run(request_id)
                    self.check_max_age(request_id, dict(headers))
                    self.sent[request_id, attempt_number] = self.now
                case effects.CancelAttempt(request_id, attempt_number):
                    self.attempt_over(request_id, attempt_number, may_have_run=True)
                case effects.ExitProcess():
                    assert not self.owed(), "an end before the last response"
                    self.has_exited = True

    def check_may_begin(self, request_id, endpoint):
        assert request_id not in self.clients_gone, "for a client that has gone"
        assert request_id not in self.responses, "after the response"
        assert endpoint not in self.unusable, "to an endpoint that drains"

    def check_may_run(self, request_id):
        if request_id not in self.first_run or self.traffic_class[request_id] == IDEMPOTENT:
            return
        assert self.traffic_class[request_id] == WITH_KEY, "an effect twice"
        key_is_kept_until = self.first_run[request_id] + self.deduplication_window
        assert self.now < key_is_kept_until, "a repeat whose key is forgotten"

    def check_max_age(self, request_id, headers):
        for what in self.object_and_tag[request_id]:
            age = self.now - self.purged_at.get(what, -S)
            if age <= PURGE_LIFETIME and self.traffic_class[request_id] == IDEMPOTENT:
                most = max(1, age // MS)  # 1 ms is the least that the header can say
                assert 0 < int(headers.get("X-Fresh-Ms", 0)) <= most, "a copy older than a purge"

    def owed(self):
        return set(self.traffic_class) - self.clients_gone - set(self.responses)

    def attempt_over(self, request_id, attempt_number, may_have_run):
        self.opened.pop((request_id, attempt_number), None)
        sent_at = self.sent.pop((request_id, attempt_number), None)
        if sent_at is not None and may_have_run:
            self.first_run.setdefault(request_id, sent_at)

    # -- clients -----------------------------------------------------------------------------------

    @rule(
        traffic_class=st.sampled_from(TRAFFIC_CLASSES),
        object_number=st.integers(1, 2),
        tag=st.integers(1, 2),
        timeout=st.sampled_from([200, 1_000, 6_000]),
    )
    def request_received(self, traffic_class, object_number, tag, timeout):
        self.last_request_id += 1
        request_id, object_key = self.last_request_id, f"{object_number:016x}"
        self.traffic_class[request_id] = traffic_class
        self.object_and_tag[request_id] = object_key, tag
        client_request = events.ClientRequest(
            f"{request_id:016x}", traffic_class, object_key, 0, tag, timeout * MS, idempotency_key="a" * 32
        )
        self.step(events.RequestReceived(request_id, client_request))

    @precondition(lambda self: self.last_request_id)
    @rule(data=st.data())
    def client_gone(self, data):
        request_id = data.draw(st.integers(1, self.last_request_id))
        if request_id not in self.responses:
            self.clients_gone.add(request_id)
        self.step(events.ClientGone(request_id))

    # -- attempts ----------------------------------------------------------------------------------

    def draw_attempt(self, data, is_sent):
        among = [attempt for attempt in self.opened if (attempt in self.sent) == is_sent]
        return data.draw(st.sampled_from(among)) if among else None

    @rule(data=st.data())
    def connection_ready(self, data):
        if attempt := self.draw_attempt(data, is_sent=False):
            self.step(events.ConnectionReady(*attempt))

    @rule(data=st.data(), failure=st.sampled_from(FAILURES))
    def attempt_failed(self, data, failure):
        attempt = self.draw_attempt(data, is_sent=failure.stage >= AttemptStage.SENDING)
        if attempt:
            self.attempt_over(*attempt, may_have_run=not failure.attempt_status().never_ran)
            self.step(events.AttemptEnded(*attempt, failure))

    @rule(data=st.data(), response=st.sampled_from(RESPONSES), has_copy_headers=st.booleans())
    def response_comes(self, data, response, has_copy_headers):
        attempt = self.draw_attempt(data, is_sent=True)
        if not attempt:
            return
        status, never_ran = response
        self.step(events.ResponseHead(*attempt, status, 5, never_ran, has_copy_headers, FillStatus.UNKNOWN))
        if attempt in self.opened:
            self.attempt_over(*attempt, may_have_run=not (never_ran or status == 404))
            self.step(events.AttemptEnded(*attempt, None, b"abcde"))

    @rule(passed=st.sampled_from([400, 2_900, 2_960, 3_100]))
    def breaks_off_and_tries_again(self, passed):
        """A request with a key, whose second connection comes up late: few orders drawn freely get there."""
        self.request_received(WITH_KEY, 1, 1, 6_000)
        for is_retry in (False, True):
            attempts = (attempt for attempt in self.opened if attempt[0] == self.last_request_id)
            if attempt := next(attempts, None):
                self.step(events.ConnectionReady(*attempt))
                if not is_retry and attempt in self.sent:
                    self.attempt_over(*attempt, may_have_run=True)
                    self.step(events.AttemptEnded(*attempt, RESET_WHILE_SENDING))
                    self.time_passes(passed)

    # -- endpoints, purges, signals, time ----------------------------------------------------------

    @rule(name=st.sampled_from(ENDPOINTS_THAT_DRAIN), state=st.sampled_from(["up", "draining", "gone"]))
    def endpoint_changes(self, name, state):
        (self.unusable.discard if state == "up" else self.unusable.add)(name)
        self.step(self.endpoint_update(**{name: state}))

    @rule(whole_tag=st.booleans(), object_number=st.integers(1, 2), tag=st.integers(1, 2))
    def purge(self, whole_tag, object_number, tag):
        object_key = f"{object_number:016x}"
        self.purged_at[tag if whole_tag else object_key] = self.now
        notice = (tag, None) if whole_tag else (None, object_key)
        self.step(events.PurgeNotice(*notice, self.now))

    @rule()
    def reload(self):
        self.step(events.ConfigurationReloaded(("127.0.0.9", 80)))

    @rule()
    def shutdown(self):
        self.is_shutting_down = True
        self.step(events.ShutdownRequested())

    @rule(passed=st.sampled_from([1, 10, 60, 400, 1_500, 3_100]))
    def time_passes(self, passed):
        until = self.now + passed * MS
        while self.state_machine.due <= until:
            self.now = max(self.now, self.state_machine.due)
            self.step(events.TimerFired())
        self.now = until

    # -- ever, and at the end ------------------------------------------------------------------------

    @invariant()
    def attempts_are_those_that_effects_began(self):
        if not hasattr(self, "state_machine"):
            return
        attempts = {
            (request_id, pending.attempt.decision.attempt_number)
            for request_id, pending in self.state_machine.in_flight.items()
            if pending.attempt
        }
        assert attempts == set(self.opened)
        assert not self.has_exited or self.is_shutting_down

    def teardown(self):
        if not hasattr(self, "state_machine"):
            return
        for _ in range(10):  # the longest timeout is 6 s
            self.time_passes(1_000)
        assert not self.owed(), "without a response"
        left = self.state_machine
        assert not (left.in_flight or left.open_correlation_ids or left.requests or self.opened)
        assert not left.router.in_flight
        assert not any(left.router.load.in_flight.values())
        assert not any(left.router.load.as_fill_source.values())
        self.time_passes(1_000)
        assert not left.deferred
        assert self.has_exited == self.is_shutting_down


AnyOrderOfEvents.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
TestAnyOrderOfEvents = AnyOrderOfEvents.TestCase
