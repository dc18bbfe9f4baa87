"""Tests of the state machine without sockets: effects of events, compared with traces in tests/traces/."""

from conftest import StateMachineHarness, listed

from quartzrouter.routing.model import AttemptStatus, Defer
from quartzrouter.server import events, sent_ids
from quartzrouter.server.attempt_failure import AttemptStage, FailureCause


def assert_idle(machine):
    """Asserts that no request is left in the state machine or its router, and that none counts as load."""
    state_machine = machine.state_machine
    assert not state_machine.in_flight and not state_machine.open_correlation_ids
    assert not state_machine.router.in_flight
    assert not any(state_machine.router.load.in_flight.values())


def test_a_request_is_forwarded_and_its_response_passed_on(machine):
    machine.request_received(1, if_none_match=f"{9:016x}")
    machine.connection_ready(1)
    machine.response_head(1, length=6)
    machine.response_complete(1, body=b"abcdef")
    machine.request_received(2, if_none_match=f"{9:016x}")
    machine.connection_ready(2)
    machine.response_head(2, 304)
    machine.response_complete(2)
    machine.request_received(3, traffic_class="hold", idempotency_key="k", body=b"two pots")
    machine.connection_ready(3)
    machine.response_head(3, length=0, has_copy_headers=False)
    machine.response_complete(3)
    assert_idle(machine)


def test_a_client_that_goes_at_any_stage_leaves_no_state(machine):
    """A client may disconnect at any time, and the response may arrive after that.

    The attempt ends with the client if it can be cancelled, and its later events are ignored.
    """
    for request_id, stage in enumerate(("connecting", "sent", "response started", "complete"), 1):
        machine.request_received(request_id)
        if stage != "connecting":
            machine.connection_ready(request_id)
        if stage in ("response started", "complete"):
            machine.response_head(request_id, length=3)
        if stage == "complete":
            machine.response_complete(request_id, body=b"abc")
        machine.client_gone(request_id, f" while {stage}")
        machine.response_complete(request_id, body=b"abc")
    assert_idle(machine)


def test_a_drain_or_purge_before_sending_decides_anew(machine):
    """Opening a connection takes time, during which the decision may become outdated.

    A draining endpoint may get no new request, and a copy older than a purge may not be served: if either
    event arrives before the request is sent, the router decides again.
    """
    machine.request_received(1)
    endpoint = machine.state_machine.in_flight[1].attempt.decision.endpoint
    machine.endpoint_update(**{endpoint: "draining"})
    machine.connection_ready(1)
    machine.request_received(2)
    machine.step("purge of another tag", events.PurgeNotice(6, None, machine.now))
    machine.step("purge of another object", events.PurgeNotice(None, f"{8:016x}", machine.now))
    machine.connection_ready(2)
    machine.request_received(3)
    machine.step("purge of the object", events.PurgeNotice(None, f"{7:016x}", machine.now))
    machine.connection_ready(3)
    machine.request_received(4)
    machine.step("purge of the tag", events.PurgeNotice(5, None, machine.now))
    machine.connection_ready(4)
    machine.now += 2_500_000
    machine.timer_fired()
    machine.request_received(5, timeout=1000)
    machine.now += 2_000_000
    machine.connection_ready(5)


def test_a_truncated_response_is_retried(machine):
    """A cache closes the connection in the middle of a response.

    Nothing of it has been passed on, so an idempotent request is sent again, unnoticed by its client.
    """
    machine.request_received(1)
    machine.connection_ready(1)
    machine.response_head(1, length=9)
    machine.attempt_failed(1, AttemptStage.RECEIVING, FailureCause.RESET)
    machine.connection_ready(1, attempt=1)
    machine.response_head(1, length=9, attempt=1)
    machine.response_complete(1, attempt=1, body=b"abcdefghi")
    machine.request_received(2)
    machine.connection_ready(2)
    machine.response_head(2, length=9)
    machine.advance_to(2_000)
    assert_idle(machine)


def test_only_attempts_that_never_ran_are_retried_for_non_idempotent_requests(machine):
    """A request of the class ``sale`` may not be executed twice.

    If an attempt may have been executed, the request fails; if it certainly was not, it is sent again.
    """
    outcomes = [
        (404, False),
        (503, True),
        (503, False),
        (504, True),
        (504, False),
        (500, False),
        (418, False),
        FailureCause.REFUSED,
        FailureCause.OUT_OF_DESCRIPTORS,
        FailureCause.RESET,
        FailureCause.MALFORMED,
        FailureCause.INTERNAL_ERROR,
    ]
    for request_id, outcome in enumerate(outcomes, 1):
        machine.request_received(request_id, traffic_class="sale")
        if outcome in (FailureCause.REFUSED, FailureCause.OUT_OF_DESCRIPTORS):
            machine.attempt_failed(request_id, AttemptStage.CONNECTING, outcome)
        else:
            machine.connection_ready(request_id)
            if isinstance(outcome, tuple):
                status, never_ran = outcome
                machine.response_head(request_id, status, never_ran=never_ran)
                machine.response_complete(request_id)
            else:
                machine.attempt_failed(request_id, AttemptStage.SENDING, outcome)
        machine.client_gone(request_id)
        machine.advance_to(10_000 * request_id)
    assert_idle(machine)


def test_unusable_responses_are_not_passed_on(machine):
    """A cache doesn't identify the copy that it sends, or sends 304 to a client that has no copy."""
    machine.request_received(1)
    machine.connection_ready(1)
    machine.response_head(1, length=3, has_copy_headers=False)
    machine.response_complete(1, body=b"abc")
    machine.request_received(2)
    machine.connection_ready(2)
    machine.response_head(2, 304)


def test_attempt_timeout_before_and_after_sending(machine):
    """A connection doesn't open, or a cache doesn't respond: the attempt ends before the client's timeout."""
    machine.request_received(1)
    machine.advance_to(2_000)
    machine.request_received(2)
    machine.connection_ready(2)
    machine.advance_to(4_100)
    machine.request_received(3, traffic_class="hold", idempotency_key="k")
    machine.connection_ready(3)
    machine.advance_to(6_200)
    assert_idle(machine)


def test_addresses_of_gone_endpoints_are_dropped(machine):
    """Endpoints are added and removed for months under new names; state about them may not accumulate."""
    for number in range(100):
        name = f"c{number + 10}"
        for state in ("up", "gone"):
            update = events.EndpointUpdate(listed({name: state}), {name: ("127.0.0.9", number)}, False)
            machine.step("", update, quiet=True)
    machine.lines[1:] = [f"kept: {', '.join(machine.state_machine.addresses)}"]
    machine.endpoint_update(is_snapshot=True, c1="up", o="up")
    machine.lines.append(f"kept: {', '.join(machine.state_machine.addresses)}")
    machine.endpoint_update(is_snapshot=True, c1="up", o="up")


def test_a_reload_follows_discovery_at_its_new_address(machine):
    machine.step("reload", events.ConfigurationReloaded(("127.0.0.9", 4222)))
    machine.step("shutdown", events.ShutdownRequested())
    machine.step("reload", events.ConfigurationReloaded(("127.0.0.8", 4222)))


def test_sigterm_with_requests_in_flight(machine):
    """A router gets SIGTERM while requests are in flight and others still arrive.

    It accepts requests until the grace period is over, rejects later ones, and exits after the last response.
    """
    machine.step("health", events.StatusQueried(90))
    machine.request_received(1, timeout=3_000_000)
    machine.connection_ready(1)
    machine.step("shutdown", events.ShutdownRequested())
    machine.step("health", events.StatusQueried(91))
    machine.advance_to(900)
    machine.request_received(2)
    machine.advance_to(1_100)
    machine.request_received(3)
    machine.connection_ready(2)
    for request_id in (1, 2):
        machine.response_head(request_id, length=1)
        machine.response_complete(request_id, body=b"x")
    machine.advance_to(1_200)
    assert_idle(machine)


def test_a_refusing_endpoint_is_health_checked_and_its_connections_closed(machine):
    """A cache refuses connections; it is health-checked until it responds, and then removed from the list."""
    for request_id in (1, 2, 3):
        machine.request_received(request_id, object_key=f"{request_id:016x}")
        machine.attempt_failed(request_id, AttemptStage.CONNECTING, FailureCause.REFUSED)
    machine.advance_to(600)
    name = min(machine.state_machine.health_checks)
    machine.step(f"health check of {name} done", events.HealthCheckDone(name, AttemptStatus.SUCCEEDED))
    machine.endpoint_update(c1="gone", c2="up")


def test_a_response_read_before_its_overdue_timeout_counts(machine):
    """The process was stopped for a while, and a response had arrived in time.

    When every event fired the timers that were due, the attempt timed out before the response was read.
    """
    machine.request_received(1)
    machine.connection_ready(1)
    machine.now = machine.state_machine.due + 1
    machine.response_head(1, length=3)
    machine.response_complete(1, body=b"abc")
    assert_idle(machine)


def test_queueing_time_counts_against_the_client_timeout(machine):
    """A busy process reads requests late, but their clients have been waiting since they arrived."""
    machine.request_received(1, queueing_time=1_000)
    machine.request_received(2, queueing_time=1_900_000)
    machine.request_received(3, queueing_time=2_500_000)
    assert set(machine.state_machine.in_flight) == {1}


def test_a_decision_that_always_defers_by_zero_does_not_loop_in_one_step(machine):
    """A bug in the decisions defers a request by no time again and again.

    Each step nevertheless has to end, so that other requests proceed; the client's deadline ends this one.
    """
    machine.state_machine.router.route = lambda request, now: Defer(0)
    machine.request_received(1)
    for _ in range(3):
        machine.timer_fired()
        assert machine.state_machine.due <= machine.now
    machine.now += 2_000_001
    machine.timer_fired()
    assert_idle(machine)


# Guards against a request that must run once only and comes again under its id after it was answered.
def test_an_id_that_was_answered_runs_again_only_where_that_is_harmless():
    lines = []
    machine = StateMachineHarness(lines)
    for request_id, traffic_class in enumerate(("page", "page", "sale", "sale"), 1):
        correlation_id = f"{traffic_class:>016}".replace(" ", "0")
        machine.request_received(request_id, traffic_class, correlation_id=correlation_id)
        machine.connection_ready(request_id)
        machine.response_head(request_id)
        machine.response_complete(request_id)
    sent = [line for line in lines if "SendRequest" in line]
    assert len(sent) == 3 and "409" in "".join(lines)


# Guards against a table of ids that grows with the requests.
def test_ids_are_forgotten_in_time_and_number():
    ids = sent_ids.SentIds()
    for number in range(2 * sent_ids.MAX_IDS):
        ids.add(f"{number:016x}", number)
    assert not ids.contains(f"{0:016x}", 10) and ids.contains(f"{2 * sent_ids.MAX_IDS - 1:016x}", 10)
    assert not ids.contains(f"{2 * sent_ids.MAX_IDS - 1:016x}", 1 << 40)
    assert len(ids._expires_at) == sent_ids.MAX_IDS


# Guards against a new process at the address of one that has gone, to which the other's requests are sent.
def test_an_endpoint_is_gone_once_a_new_one_is_listed_at_its_address():
    lines = []
    machine = StateMachineHarness(lines)
    state_machine = machine.state_machine
    machine.request_received(1)
    (endpoint,) = [name for name in ("c1", "c2") if f" {name}," in lines[-1]]  # it is being connected to
    new = f"{endpoint}9"
    update = events.EndpointUpdate(
        listed({new: "up"}, started=machine.now), {new: state_machine.addresses[endpoint]}, False
    )
    machine.step("a new endpoint at its address", update)
    assert endpoint not in state_machine.addresses and new in state_machine.addresses
    machine.connection_ready(1)
    assert not any(
        "SendRequest 1, 0," in line for line in lines
    )  # the decision for the other is no longer valid
    later = len(lines)
    for request_id in range(2, 40):
        machine.request_received(request_id, object_key=f"{request_id:016x}")
    assert not any(f" {endpoint}," in line for line in lines[later:])
