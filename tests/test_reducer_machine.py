"""The real reducer, without I/O, under any order of what can reach it; each step is judged by its effects."""

import hypothesis.strategies as st
from conftest import KEYED, MS, SETUP, S, listed
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from quartzrouter.deployment_settings import DeploymentSettings
from quartzrouter.routing import router
from quartzrouter.routing.model import FillStatus
from quartzrouter.server import attempt_failure, effects, events, state_machine

CACHES = ("c1", "c2", "p1", "o")
PURGE_LIFE = 6 * S
VHOSTS = "page", "sale", "hold"  # may run again, may not, and with a key
FAILURES = [
    attempt_failure.Failure(stage, cause)
    for stage, cause in [
        (attempt_failure.Stage.CONNECTING, attempt_failure.Cause.REFUSED),
        (attempt_failure.Stage.CONNECTING, attempt_failure.Cause.NO_ROOM),
        (attempt_failure.Stage.CONNECTING, attempt_failure.Cause.RESET),
        (attempt_failure.Stage.ASKING, attempt_failure.Cause.RESET),
        (attempt_failure.Stage.ANSWERED, attempt_failure.Cause.MALFORMED),
    ]
]
STATUSES = [(200, False), (404, False), (503, True), (504, True), (500, False), (503, False)]


def setup(cancel):
    return SETUP | {
        "categories": [*SETUP["categories"], SETUP["categories"][1] | KEYED],
        "limits": SETUP["limits"] | {"cancel": cancel, "probes": True},
        "family_info": SETUP["family_info"]
        | {"never_kept": [False, True, True], "pass_through_ok": True, "gone_everywhere_us": PURGE_LIFE},
    }


class Crossings(RuleBasedStateMachine):
    """What clients and caches see: reqs by ticket, attempts that are out, and what was told of."""

    @initialize(cancel=st.booleans(), started=st.sampled_from([0, 9 * S]))
    def begin(self, cancel, started):
        self.now, self.tickets = 10 * S, 0
        self.window = KEYED["window_us"]
        self.reducer = state_machine.RouterStateMachine(
            router.Router(**DeploymentSettings(setup(cancel), 7).router_arguments)
        )
        self.replied, self.gone = {}, set()
        self.vhost, self.object = {}, {}
        self.opened, self.written = {}, {}  # attempts that are out: cache; when it was written
        self.ran = {}  # ticket: when the first attempt that may have run was written
        self.down, self.purged = set(), {}
        self.stopped = self.exited = False
        addresses = {name: (f"127.0.0.{n}", 80) for n, name in enumerate(CACHES, 1)}
        self.lines = lambda **states: events.EndpointUpdate(
            listed(states, started), addresses, len(states) > 1
        )
        self.step(self.lines(**dict.fromkeys(CACHES, "up")))

    def step(self, event):
        for effect in self.reducer.step(event, self.now):
            match effect:
                case effects.SendResponse(ticket, _) if ticket in self.vhost:
                    assert ticket not in self.replied, "a second answer"
                    self.replied[ticket] = effect
                case effects.OpenConnection(ticket, hop, name):
                    self.may_begin(ticket, name)
                    assert not any(other == ticket for other, _ in self.opened), "two at a time"
                    self.opened[ticket, hop] = name
                case effects.SendRequest(ticket, hop, _, fields):
                    name = self.opened[ticket, hop]
                    self.may_begin(ticket, name)
                    self.may_run(ticket)
                    self.young_enough(ticket, dict(fields))
                    self.written[ticket, hop] = self.now
                case effects.CancelAttempt(ticket, hop):
                    self.ended(ticket, hop, ran=True)
                case effects.ExitProcess():
                    assert not self.owed(), "an end before the last answer"
                    self.exited = True

    def may_begin(self, ticket, name):
        assert ticket not in self.gone, "for a client that has gone"
        assert ticket not in self.replied, "after the answer"
        assert name not in self.down, "to a cache that drains"

    def may_run(self, ticket):
        if ticket not in self.ran or self.vhost[ticket] == "page":
            return
        assert self.vhost[ticket] == "hold", "an effect twice"
        assert self.now < self.ran[ticket] + self.window, "a repeat whose key is forgotten"

    def young_enough(self, ticket, fields):
        obj, group = self.object[ticket]
        for what in (obj, group):
            age = self.now - self.purged.get(what, -S)
            if age <= PURGE_LIFE and self.vhost[ticket] == "page":
                most = max(1, age // MS)  # 1 ms is the least that the field can say
                assert 0 < int(fields.get("X-Fresh-Ms", 0)) <= most, "a copy older than a purge"

    def owed(self):
        return set(self.vhost) - self.gone - set(self.replied)

    def ended(self, ticket, hop, ran):
        self.opened.pop((ticket, hop), None)
        if (at := self.written.pop((ticket, hop), None)) is not None and ran:
            self.ran.setdefault(ticket, at)

    # -- clients -----------------------------------------------------------------------------------

    @rule(
        vhost=st.sampled_from(VHOSTS),
        obj=st.integers(1, 2),
        group=st.integers(1, 2),
        timeout=st.sampled_from([200, 1_000, 6_000]),
    )
    def came(self, vhost, obj, group, timeout):
        self.tickets += 1
        self.vhost[self.tickets], self.object[self.tickets] = vhost, (f"{obj:016x}", group)
        call = events.ClientRequest(
            f"{self.tickets:016x}", vhost, f"{obj:016x}", 0, group, timeout * MS, idempotency_key="a" * 32
        )
        self.step(events.RequestReceived(self.tickets, call))

    @precondition(lambda self: self.tickets)
    @rule(data=st.data())
    def left(self, data):
        ticket = data.draw(st.integers(1, self.tickets))
        if ticket not in self.replied:
            self.gone.add(ticket)
        self.step(events.ClientGone(ticket))

    # -- attempts ----------------------------------------------------------------------------------

    def attempt(self, data, written):
        among = [key for key in self.opened if (key in self.written) == written]
        return data.draw(st.sampled_from(among)) if among else None

    @rule(data=st.data())
    def ready(self, data):
        if key := self.attempt(data, written=False):
            self.step(events.ConnectionReady(*key))

    @rule(data=st.data(), failure=st.sampled_from(FAILURES))
    def failed(self, data, failure):
        key = self.attempt(data, written=failure.stage >= attempt_failure.Stage.ASKING)
        if key:
            self.ended(*key, ran=not failure.ending().never_ran)
            self.step(events.AttemptEnded(*key, failure))

    @rule(data=st.data(), answer=st.sampled_from(STATUSES), marked=st.booleans())
    def answered(self, data, answer, marked):
        key = self.attempt(data, written=True)
        if not key:
            return
        status, never_ran = answer
        self.step(events.ResponseHead(*key, status, 5, never_ran, marked, FillStatus.UNKNOWN))
        if key in self.opened:
            self.ended(*key, ran=not (never_ran or status == 404))
            self.step(events.AttemptEnded(*key, None, b"abcde"))

    @rule(passed=st.sampled_from([400, 2_900, 2_960, 3_100]))
    def breaks_off_and_tries_again(self, passed):
        """A req with a key, whose second connection comes up late: few orders drawn freely get there."""
        self.came("hold", 1, 1, 6_000)
        for again in (False, True):
            if key := next((key for key in self.opened if key[0] == self.tickets), None):
                self.step(events.ConnectionReady(*key))
                if not again and key in self.written:
                    self.ended(*key, ran=True)
                    self.step(events.AttemptEnded(*key, FAILURES[3]))
                    self.time(passed)

    # -- what is told ------------------------------------------------------------------------------

    @rule(name=st.sampled_from(CACHES[:3]), state=st.sampled_from(["up", "draining", "gone"]))
    def told(self, name, state):
        (self.down.discard if state == "up" else self.down.add)(name)
        self.step(self.lines(**{name: state}))

    @rule(whole=st.booleans(), obj=st.integers(1, 2), group=st.integers(1, 2))
    def purge(self, whole, obj, group):
        self.purged[group if whole else f"{obj:016x}"] = self.now
        self.step(events.PurgeNotice(group if whole else None, None if whole else f"{obj:016x}", self.now))

    @rule()
    def reload(self):
        self.step(events.ConfigurationReloaded(("127.0.0.9", 80)))

    @rule()
    def stop(self):
        self.stopped = True
        self.step(events.ShutdownRequested())

    @rule(passed=st.sampled_from([1, 10, 60, 400, 1_500, 3_100]))
    def time(self, passed):
        until = self.now + passed * MS
        while self.reducer.due <= until:
            self.now = max(self.now, self.reducer.due)
            self.step(events.TimerFired())
        self.now = until

    # -- ever, and at the end ------------------------------------------------------------------------

    @invariant()
    def tables_agree(self):
        if not hasattr(self, "reducer"):
            return
        attempts = {
            (request_id, pending.attempt.decision.attempt_number)
            for request_id, pending in self.reducer.in_flight.items()
            if pending.attempt
        }
        assert attempts == set(self.opened)
        assert not self.exited or self.stopped

    def teardown(self):
        if not hasattr(self, "reducer"):
            return
        for _ in range(10):  # the longest timeout is 6 s
            self.time(1_000)
        assert not self.owed(), "without an answer"
        held = self.reducer
        assert not (held.in_flight or held.open_correlation_ids or held.requests)
        assert not (held.router.in_flight or self.opened)
        assert not any(held.router.load.in_flight.values()) and not any(
            held.router.load.as_fill_source.values()
        )
        self.time(1_000)
        assert not held.deferred
        assert self.exited == self.stopped


Crossings.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
TestCrossings = Crossings.TestCase
