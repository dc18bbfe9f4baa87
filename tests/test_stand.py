"""Tests of the fault harness: checks, schedules, links, clocks, and fleets of processes that share limits."""

import contextlib
import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context

import anyio
import pytest

from quartzrouter.fakes.caches import CONNECTION_LOST
from quartzrouter.fault_harness import fault_schedule, history_checks
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_harness.history import History, HistoryEvent
from quartzrouter.fault_harness.proxied_links import ProxiedLink
from quartzrouter.fault_harness.skewed_clocks import ClockPage, open_clocks
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.fault_scenarios.quota import rehearse
from quartzrouter.fault_scenarios.quota_fleet import ScenarioSize
from quartzrouter.fault_scenarios.quota_mutation_scenes import SCENES, SMALL
from quartzrouter.fault_scenarios.quota_play import play
from quartzrouter.quota.budget import SECOND, Budget
from quartzrouter.server.clock import RouterClock

# -- checkers ------------------------------------------------------------------------------------------------


def history(*events):
    """Returns a history of events, each given as time in us, kind and path."""
    recorded = History()
    recorded.events = [
        HistoryEvent(time, kind, "x", {"path": path, "status": "200"}) for time, kind, path in events
    ]
    return recorded


def test_peak_in_flight_counts_each_request_once():
    events = history(
        (1, "arrive", "/a/1"),
        (2, "arrive", "/a/1"),
        (3, "arrive", "/a/2"),
        (4, "leave", "/a/1"),
        (5, "arrive", "/b/1"),
        (5, "leave", "/a/1"),
        (5, "arrive", "/a/3"),
    )
    assert history_checks.peak_in_flight(events, "/a/") == (2, 3)
    assert history_checks.peak_in_flight(events, "/a/", since=4)[0] == 2 and (
        history_checks.peak_in_flight(events, "/c/") == (0, 0)
    )


def test_a_window_counts_requests_certainly_admitted_in_it():
    budget = Budget("b", rate=10.0, burst=5.0, guaranteed_share=0.0, routers=1, grant_ttl=SECOND)
    # 60 requests in 70 us; the budget allows 15, and 1 of a guaranteed share
    at_once = [(n, n + 10) for n in range(60)]
    excess, since, until = history_checks.max_budget_excess(at_once, budget)
    assert excess == pytest.approx(60 - budget.max_use(until - since)) and (since, until) == (0, 69)
    assert history_checks.max_budget_excess(at_once[:16], budget)[0] <= 0
    waited = [(n, 10 * SECOND) for n in range(60)]  # admitted at any time within ten seconds
    assert history_checks.max_budget_excess(waited, budget)[0] < 0


def test_unanswered_requests_are_found():
    events = history(
        (0, "send", "/a/1"),
        (0, "send", "/a/2"),
        (0, "send", "/a/3"),
        (3, "end", "/a/1"),
        (9, "end", "/a/2"),
        (4, "cut", "/a/4"),
        (9, "arrive", "/x"),
    )
    assert [event.details["path"] for event in history_checks.unanswered(events, 5)] == ["/a/2", "/a/3"]
    assert history_checks.count_by_status(events, "/a/", 0, 5) == {"200": 2, "none": 1}


# -- schedules -----------------------------------------------------------------------------------------------


def test_a_schedule_is_reproduced_from_its_seed_and_from_its_file(tmp_path):
    kinds = {"cut": (["a", "b"], (10, 500), (0, 1)), "stop": (["c"], (1, 2), (0,))}
    first, again = (fault_schedule.draw(random.Random(4), kinds, 20, 3_000) for _ in range(2))
    assert first == again and all(fault.at_ms + fault.duration_ms <= 3_000 for fault in first)
    fault_schedule.write(tmp_path / "s", first)
    assert fault_schedule.read(tmp_path / "s") == first


def test_a_schedule_is_shrunk_to_the_faults_that_make_it_fail():
    faults = [Fault(n, "cut", f"r{n}") for n in range(24)]
    plays = []

    def fails(schedule):
        plays.append(len(schedule))
        return {"r5", "r17"} <= {fault.target for fault in schedule}

    assert [fault.target for fault in fault_schedule.shrink(faults, fails)] == ["r5", "r17"]
    assert len(plays) <= 64
    assert len(fault_schedule.shrink(faults, lambda schedule: False)) == 24


# -- links and clocks ----------------------------------------------------------------------------------------


def run_with_echo_server(body):
    """Runs a test body with a link to an echo server, and a client connected to the link.

    :param body: an async function of link and client.
    """

    async def main():
        async def echo(stream):
            async with stream:
                while True:
                    await stream.send(await stream.receive())

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        link = ProxiedLink(("127.0.0.1", port), random.Random(1))
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:

                async def serve(stream):
                    with contextlib.suppress(*CONNECTION_LOST):
                        await echo(stream)

                tasks.start_soon(listener.serve, serve)
                await link.start(tasks)
                async with await anyio.connect_tcp("127.0.0.1", link.port) as client:
                    await body(link, client)
                tasks.cancel_scope.cancel()

    anyio.run(main)


async def receive_for(client, seconds):
    """Returns all that a client receives within some seconds."""
    data = b""
    with anyio.move_on_after(seconds):
        while True:
            data += await client.receive()
    return data


@pytest.mark.parametrize("way", ["up", "down"])
def test_a_blocked_direction_forwards_nothing_until_it_is_restored(way):
    async def body(link, client):
        getattr(link, way).is_blocked = True
        await client.send(b"a\n")
        assert await receive_for(client, 0.1) == b""
        link.restore()
        assert await client.receive() == b"a\n"

    run_with_echo_server(body)


@pytest.mark.parametrize("only, said", [("lose", b""), ("double", b"a\na\nb\nb\n"), ("swap", b"")], ids=str)
def test_lines_are_lost_doubled_and_swapped(only, said):
    async def body(link, client):
        link.up.fault_rate, link.up.fault_kinds = 1.0, (only,)
        await client.send(b"a\nb\n")
        assert await receive_for(client, 0.2) == said and link.fault_count == 2

    run_with_echo_server(body)


def test_delays_do_not_add_up_and_a_reset_closes_connections():
    async def body(link, client):
        link.up.delay = 0.2
        began = anyio.current_time()
        await client.send(b"".join(b"%d\n" % n for n in range(20)))
        data = b""
        while data.count(b"\n") < 20:
            data += await client.receive()
        assert 0.2 <= anyio.current_time() - began < 2  # not twenty times the delay
        link.reset()
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await client.receive()

    run_with_echo_server(body)


def test_a_process_reads_its_clocks_from_the_clock_page(tmp_path):
    page = ClockPage(tmp_path / "p", 5 * SECOND, 100_000)
    wall, steady = open_clocks(str(page.path))
    first_wall, first_steady = wall(), steady()
    page.set_offset(-5 * SECOND)
    assert -10.1 * SECOND < wall() - first_wall < -9 * SECOND and 0 <= steady() - first_steady < SECOND


class SimulatedClocks:
    """A wall clock and a steady clock that the test advances, and the router's clock over both."""

    def __init__(self):
        self.wall = self.steady = 1_000 * SECOND
        self.router_clock = RouterClock(lambda: self.wall, lambda: self.steady)

    def advance(self, duration, wall_offset=0):
        """Returns the router's clock every 10 ms of a duration.

        :param duration: us.
        :param wall_offset: us by which the wall clock is set ahead first.
        """
        self.wall += wall_offset
        readings = []
        for _ in range(duration // 10_000):
            self.wall, self.steady = self.wall + 10_000, self.steady + 10_000
            readings.append(self.router_clock())
        return readings


def test_the_router_clock_runs_on_when_the_wall_clock_is_set_ahead_and_back():
    """The router's clock must not stand still after the wall clock is set back.

    It once did, for as long as the wall clock had been ahead: no timer fired, and requests had no answer.
    """
    clocks = SimulatedClocks()
    first = clocks.advance(SECOND)[-1]
    clocks.advance(SECOND // 2, 10 * SECOND)
    readings = clocks.advance(2 * SECOND, -10 * SECOND)
    steps = [after - before for before, after in zip(readings, readings[1:], strict=False)]
    assert all(9_000 <= step <= 11_000 for step in steps)
    assert abs(readings[-1] - first - 2.5 * SECOND) < 0.1 * SECOND


def test_the_router_clock_follows_the_wall_clock():
    clocks = SimulatedClocks()
    assert clocks.advance(12 * SECOND, SECOND)[-1] == clocks.wall  # it catches up one second in ten
    assert clocks.advance(12 * SECOND, -SECOND)[-1] == clocks.wall
    # An offset of an hour is followed at once: the wall clock was wrong before.
    assert clocks.advance(10_000, 3_600 * SECOND)[-1] == clocks.wall


# -- fleets --------------------------------------------------------------------------------------------------


SHARED = ScenarioSize(
    routers=6, rate=60, slots=12, demand=80.0, slot_clients=6, seconds=12.0, fault_free_time=4_000
)
MUTATIONS = ("a share doesn't end", "a share counts from its answer")  # all: `quartzrouter rehearse guards`


def drawn():
    """Plays a drawn schedule with faults of all kinds."""
    report = ScenarioReport()
    rehearse(3, report, size=SHARED)
    return report.broken, report.figures


def jumped():
    """Plays a jump of one router's wall clock, ahead and back."""
    result = play(random.Random(1), replace(SMALL, seconds=4.5), [Fault(500, "jump", "r0", 300, 10.0)])
    return result.broken, result.lost, result.faults, len(list(result.fleet.history.events_of("send")))


def mutated(mutation):
    """Plays the scene of a mutation, with the mutation applied."""
    size, faults = SCENES[mutation]
    result = play(random.Random(1), size, faults, (mutation,))
    return result.broken, result.over_rate, result.over_slots


@pytest.fixture(scope="module")
def plays():
    """Plays all fleets concurrently, each in its own process: in sequence they take 40 s, mostly waiting."""
    with ProcessPoolExecutor(4, get_context("spawn")) as pool:
        yield {
            "drawn": pool.submit(drawn),
            "jumped": pool.submit(jumped),
            **{mutation: pool.submit(mutated, mutation) for mutation in MUTATIONS},
        }


def test_six_routers_and_two_ledgers_share_limits_through_faults_of_all_kinds(plays):
    broken, figures = plays["drawn"].result()
    assert not broken, (broken, figures)


def test_a_clock_set_ahead_and_back_loses_no_request(plays):
    broken, lost, faults, sent = plays["jumped"].result()
    assert not broken and not lost and not faults and sent > 100


@pytest.mark.parametrize("guard", MUTATIONS)
def test_checkers_detect_a_mutation(plays, guard):
    broken, *excess = plays[guard].result()
    assert broken, excess
