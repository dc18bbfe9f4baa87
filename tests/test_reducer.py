"""The reducer without sockets: events in, effects out, as tests/traces/ has them."""

from conftest import listed

from quartzrouter.routing.model import AttemptStatus, Defer
from quartzrouter.server import events
from quartzrouter.server.attempt_failure import Cause, Stage


def empty(play):
    held = play.reducer
    assert not held.hands and not held.router.flights and not any(held.router.load.values())


def test_a_req_goes_out_and_its_answer_is_passed_on(play):
    play.came(1, if_none_match=f"{9:016x}")
    play.ready(1)
    play.answered(1, length=6)
    play.over(1, body=b"abcdef")
    play.came(2, if_none_match=f"{9:016x}")
    play.ready(2)
    play.answered(2, 304)
    play.over(2)
    play.came(3, vhost="hold", idempotency_key="k", body=b"two pots")
    play.ready(3)
    play.answered(3, length=0, marked=False)
    play.over(3)
    empty(play)


def test_an_abort_at_each_stage_leaves_nothing(play):
    for ticket, stage in enumerate(("connecting", "asking", "answered", "over"), 1):
        play.came(ticket)
        if stage != "connecting":
            play.ready(ticket)
        if stage in ("answered", "over"):
            play.answered(ticket, length=3)
        if stage == "over":
            play.over(ticket, body=b"abc")
        play.do(f"req {ticket} left while {stage}", events.ClientGone(ticket))
        play.over(ticket, body=b"abc")
    empty(play)


def test_a_drain_or_a_purge_before_the_write_asks_anew(play):
    play.came(1)
    be = play.reducer.hands[1].going.answer.endpoint
    play.list(**{be: "draining"})
    play.ready(1)
    play.came(2)
    play.do("purge of another group", events.PurgeNotice(6, None, play.now))
    play.do("purge of another object", events.PurgeNotice(None, f"{8:016x}", play.now))
    play.ready(2)
    play.came(3)
    play.do("purge of the object", events.PurgeNotice(None, f"{7:016x}", play.now))
    play.ready(3)
    play.came(4)
    play.do("purge of the group", events.PurgeNotice(5, None, play.now))
    play.ready(4)
    play.now += 2_500_000
    play.do("tick", events.TimerFired())
    play.came(5, timeout=1000)
    play.now += 2_000_000
    play.ready(5)


def test_an_answer_that_breaks_off_is_asked_for_again(play):
    play.came(1)
    play.ready(1)
    play.answered(1, length=9)
    play.over(1, Stage.ANSWERED, Cause.RESET)
    play.ready(1, hop=1)
    play.answered(1, length=9, hop=1)
    play.over(1, hop=1, body=b"abcdefghi")
    play.came(2)
    play.ready(2)
    play.answered(2, length=9)
    play.until(2_000)
    empty(play)


def test_what_proves_that_nothing_ran(play):
    """Reqs of a non-replayable vhost: what may have run is aborted, what did not goes out again."""
    ways = [
        (404, False),
        (503, True),
        (503, False),
        (504, True),
        (504, False),
        (500, False),
        (418, False),
        Cause.REFUSED,
        Cause.NO_ROOM,
        Cause.RESET,
        Cause.MALFORMED,
        Cause.DIED,
    ]
    for ticket, way in enumerate(ways, 1):
        play.came(ticket, vhost="sale")
        if way in (Cause.REFUSED, Cause.NO_ROOM):
            play.over(ticket, Stage.CONNECTING, way)
        else:
            play.ready(ticket)
            if isinstance(way, tuple):
                play.answered(ticket, way[0], never_ran=way[1])
                play.over(ticket)
            else:
                play.over(ticket, Stage.ASKING, way)
        play.do(f"req {ticket} left", events.ClientGone(ticket))
        play.until(10_000 * ticket)
    empty(play)


def test_answers_that_cannot_be_used_are_not_passed_on(play):
    play.came(1)
    play.ready(1)
    play.answered(1, length=3, marked=False)
    play.over(1, body=b"abc")
    play.came(2)
    play.ready(2)
    play.answered(2, 304)


def test_time_out_before_and_after_the_write(play):
    play.came(1)
    play.until(2_000)
    play.came(2)
    play.ready(2)
    play.until(4_100)
    play.came(3, vhost="hold", idempotency_key="k")
    play.ready(3)
    play.until(6_200)
    empty(play)


def test_addresses_of_what_has_gone_end(play):
    for n in range(100):
        for state in ("up", "gone"):
            lines = events.EndpointUpdate(
                listed({f"c{n + 10}": state}), {f"c{n + 10}": ("127.0.0.9", n)}, False
            )
            play.do("", lines, quiet=True)
    play.lines[1:] = [f"kept: {', '.join(play.reducer.addresses)}"]
    play.list(whole=True, c1="up", o="up")
    play.lines.append(f"kept: {', '.join(play.reducer.addresses)}")
    play.list(whole=True, c1="up", o="up")


def test_a_reload_asks_for_the_journal_at_its_new_address(play):
    play.do("reload", events.ConfigurationReloaded(("127.0.0.9", 4222)))
    play.do("stop", events.ShutdownRequested())
    play.do("reload", events.ConfigurationReloaded(("127.0.0.8", 4222)))


def test_sigterm_with_reqs_in_hand(play):
    play.do("health", events.StatusQueried(90))
    play.came(1, timeout=3_000_000)
    play.ready(1)
    play.do("stop", events.ShutdownRequested())
    play.do("health", events.StatusQueried(91))
    play.until(900)
    play.came(2)
    play.until(1_100)
    play.came(3)
    play.ready(2)
    for ticket in (1, 2):
        play.answered(ticket, length=1)
        play.over(ticket, body=b"x")
    play.until(1_200)
    empty(play)


def test_a_cache_that_is_lost_is_probed_and_its_connections_are_dropped(play):
    for ticket in (1, 2, 3):
        play.came(ticket, object_key=f"{ticket:016x}")
        play.over(ticket, Stage.CONNECTING, Cause.REFUSED)
    play.until(600)
    name = min(play.reducer.probing)
    play.do(f"probe of {name} done", events.HealthCheckDone(name, AttemptStatus.SUCCEEDED))
    play.list(c1="gone", c2="up")


def test_a_late_answer_that_is_read_ahead_of_its_timer_counts(play):
    """The process stood still: the answer had come, and any event fired the time-out ahead of it."""
    play.came(1)
    play.ready(1)
    play.now = play.reducer.due + 1
    play.answered(1, length=3)
    play.over(1, body=b"abc")
    empty(play)


def test_a_req_that_has_waited_is_turned_away_by_its_own_time(play):
    play.came(1, queueing_time=1_000)
    play.came(2, queueing_time=1_900_000)
    play.came(3, queueing_time=2_500_000)
    empty_but = {1}
    assert set(play.reducer.hands) == empty_but


def test_a_decision_that_always_says_now_comes_back_at_the_next_tick(play):
    play.reducer.router.route = lambda req, now: Defer(0)
    play.came(1)
    for _ in range(3):
        play.do("tick", events.TimerFired())
        assert play.reducer.due <= play.now
    play.now += 2_000_001
    play.do("tick", events.TimerFired())
    empty(play)
