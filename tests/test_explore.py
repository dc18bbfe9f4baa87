"""Model checking of the purge protocol: no violation is found, unless a guard is removed."""

import pytest

from quartzrouter.model_checking import crossing_fill_model
from quartzrouter.model_checking.checker import explore
from quartzrouter.model_checking.crossing_fill_model import CrossingFillModel
from quartzrouter.model_checking.purge_model import CASES, Bounds, PurgeModel
from quartzrouter.purges.fleet_purges import FleetPurges
from quartzrouter.purges.freshness_lease import FreshnessLease
from quartzrouter.purges.registry import PurgeRegistry

STATES = 2_500  # per case, about a second; `quartzrouter explore purges` explores more


class Jugs:
    """Two jugs that hold 3 and 5, one of which must hold 4: known to take six steps."""

    def start(self):
        return [0, 0]

    def actions(self, state):
        return [(action, n) for action in ("fill", "empty", "pour") for n in (0, 1)]

    def act(self, state, action):
        name, n = action
        size = (3, 5)
        if name == "pour":
            amount = min(state[n], size[1 - n] - state[1 - n])
            state[n] -= amount
            state[1 - n] += amount
        else:
            state[n] = size[n] if name == "fill" else 0

    def key(self, state):
        return tuple(state)

    def violation(self, state):
        return "four" if 4 in state else ""


def test_a_shortest_trace_is_found_and_all_states_are_explored():
    found = explore(Jugs(), 100)
    assert (found.violation, len(found.trace)) == ("four", 6) and found.format_trace().endswith("four")
    jugs = Jugs()
    jugs.violation = lambda state: ""
    found = explore(jugs, 100)
    assert (found.states, found.is_complete) == (16, True)
    assert not explore(jugs, 5).is_complete


@pytest.mark.parametrize("name", CASES)
def test_the_purge_model_has_no_violation(name):
    found = explore(PurgeModel(CASES[name]), STATES)
    assert not found.violation, found.format_trace()
    assert found.states >= STATES


def find_violation(bounds, model=PurgeModel):
    """Returns the search result, which must contain a violation."""
    found = explore(model(bounds), 40_000)
    assert found.violation, f"{found.states} states without a violation"
    return found


def test_without_the_lease_a_partitioned_router_serves_stale_copies(monkeypatch):
    """A router is cut off from the purge log, and a purge comes that it doesn't receive."""
    monkeypatch.setattr(FreshnessLease, "max_age", lambda self, now: 0)
    assert "answers at" in find_violation(Bounds(steps=2, cuts=1)).violation


def test_without_the_purge_index_received_purges_do_not_hold(monkeypatch):
    """A router receives a purge and forgets it: its cache still has the old copy."""
    monkeypatch.setattr(FleetPurges, "_add", lambda self, purge, purged_at: None)
    found = find_violation(Bounds(steps=2))
    assert "answers at" in found.violation and ("hear", 0) in found.trace


def test_without_the_wait_for_older_leases_purges_are_complete_too_early(monkeypatch):
    """A purge log restarts and counts a purge as complete while a router serves under an older lease."""
    initialize = PurgeRegistry.__init__

    def without_wait(self, *arguments, **keywords):
        initialize(self, *arguments, **keywords)
        self.older_leases_end = 0

    monkeypatch.setattr(PurgeRegistry, "__init__", without_wait)
    assert "is told complete" in find_violation(Bounds(steps=1, crashes=1)).violation


def test_an_echo_of_purges_that_are_not_durable_is_detected(monkeypatch):
    """A purge is admitted and not durable when the purge log crashes: no router may hold a lease past it."""
    monkeypatch.setattr(
        PurgeRegistry, "ack_to_echo", lambda self, member: member.acks[-1].ack_id if member.acks else 0
    )
    assert "answers at" in find_violation(Bounds(steps=3, crashes=1)).violation


def test_a_purge_log_that_does_not_check_the_epoch_is_detected():
    """A purge log wakes after a takeover: its heartbeats renew leases without the new purges."""

    class WithoutEpochCheck(PurgeModel):
        def _check(self, world, number):
            connection = world.routers[number].connection
            connection.may_beat = False
            purge_log = world.purge_logs[connection.purge_log]
            member = purge_log.registry.members.by_name[f"r{number}"]
            purge_log.checked_echoes[number] = purge_log.registry.ack_to_echo(member)
            self._beat(world, number)

    assert "serves without it" in find_violation(Bounds(steps=2, takeovers=1), WithoutEpochCheck).violation


def test_no_copy_that_crosses_a_purge_is_served():
    found = explore(CrossingFillModel(crossing_fill_model.Bounds()), 10_000)
    assert found.is_complete and not found.violation, found.format_trace()
    assert found.states > 2_500


@pytest.mark.parametrize(
    "bounds",
    [
        pytest.param(crossing_fill_model.Bounds(settle_time=0), id="one delivery"),
        pytest.param(
            crossing_fill_model.Bounds(
                settle_time=crossing_fill_model.GRACE + crossing_fill_model.CLIENT_TIMEOUT
            ),
            id="time for one fill",
        ),
        pytest.param(crossing_fill_model.Bounds(waits_for_parents=False), id="parents are not waited for"),
    ],
)
def test_a_copy_that_crosses_a_purge_is_served_without_each_guard(bounds):
    find_violation(bounds, CrossingFillModel)
