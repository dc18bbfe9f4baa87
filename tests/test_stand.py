"""The fleet stand: its checkers, schedules, links and clocks; and fleets of processes that share limits."""

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
    """Events by hand: (us, what, path)."""
    made = History()
    made.events = [HistoryEvent(at, what, "x", {"path": path, "status": "200"}) for at, what, path in events]
    return made


def test_reqs_in_hand_count_each_req_once():
    seen = history(
        (1, "arrive", "/a/1"),
        (2, "arrive", "/a/1"),
        (3, "arrive", "/a/2"),
        (4, "leave", "/a/1"),
        (5, "arrive", "/b/1"),
        (5, "leave", "/a/1"),
        (5, "arrive", "/a/3"),
    )
    assert history_checks.peak_in_flight(seen, "/a/") == (2, 3)
    assert history_checks.peak_in_flight(seen, "/a/", since=4)[0] == 2 and history_checks.peak_in_flight(
        seen, "/c/"
    ) == (
        0,
        0,
    )


def test_a_window_counts_what_was_surely_let_through_in_it():
    budget = Budget("b", rate=10.0, burst=5.0, guaranteed_share=0.0, routers=1, grant_ttl=SECOND)
    at_once = [(n, n + 10) for n in range(60)]  # 60 reqs in 70 us, where 15 and 1 of a floor may be
    excess, since, until = history_checks.max_budget_excess(at_once, budget)
    assert excess == pytest.approx(60 - budget.max_use(until - since)) and (since, until) == (0, 69)
    assert history_checks.max_budget_excess(at_once[:16], budget)[0] <= 0
    waited = [(n, 10 * SECOND) for n in range(60)]  # let through at any time in ten seconds
    assert history_checks.max_budget_excess(waited, budget)[0] < 0


def test_reqs_without_an_answer_are_found():
    seen = history(
        (0, "send", "/a/1"),
        (0, "send", "/a/2"),
        (0, "send", "/a/3"),
        (3, "end", "/a/1"),
        (9, "end", "/a/2"),
        (4, "cut", "/a/4"),
        (9, "arrive", "/x"),
    )
    assert [event.details["path"] for event in history_checks.unanswered(seen, 5)] == ["/a/2", "/a/3"]
    assert history_checks.count_by_status(seen, "/a/", 0, 5) == {"200": 2, "none": 1}


# -- schedules -----------------------------------------------------------------------------------------------


def test_a_schedule_is_drawn_again_from_its_seed_written_and_read(tmp_path):
    kinds = {"cut": (["a", "b"], (10, 500), (0, 1)), "stop": (["c"], (1, 2), (0,))}
    first, again = (fault_schedule.draw(random.Random(4), kinds, 20, 3_000) for _ in range(2))
    assert first == again and all(fault.at_ms + fault.duration_ms <= 3_000 for fault in first)
    fault_schedule.write(tmp_path / "s", first)
    assert fault_schedule.read(tmp_path / "s") == first


def test_a_schedule_is_cut_down_to_what_fails():
    faults = [Fault(n, "cut", f"r{n}") for n in range(24)]
    tried = []

    def fails(some):
        tried.append(len(some))
        return {"r5", "r17"} <= {fault.target for fault in some}

    assert [fault.target for fault in fault_schedule.shrink(faults, fails)] == ["r5", "r17"]
    assert len(tried) <= 64
    assert len(fault_schedule.shrink(faults, lambda some: False)) == 24


# -- links and clocks ----------------------------------------------------------------------------------------


def linked(scene):
    """An echo of lines behind a link."""

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
                    await scene(link, client)
                tasks.cancel_scope.cancel()

    anyio.run(main)


async def heard(client, within):
    data = b""
    with anyio.move_on_after(within):
        while True:
            data += await client.receive()
    return data


@pytest.mark.parametrize("way", ["up", "down"])
def test_a_way_that_is_held_passes_nothing_until_it_is_healed(way):
    async def scene(link, client):
        getattr(link, way).is_blocked = True
        await client.send(b"a\n")
        assert await heard(client, 0.1) == b""
        link.restore()
        assert await client.receive() == b"a\n"

    linked(scene)


@pytest.mark.parametrize("only, said", [("lose", b""), ("double", b"a\na\nb\nb\n"), ("swap", b"")], ids=str)
def test_lines_are_spoilt_as_told(only, said):
    async def scene(link, client):
        link.up.fault_rate, link.up.fault_kinds = 1.0, (only,)
        await client.send(b"a\nb\n")
        assert await heard(client, 0.2) == said and link.fault_count == 2

    linked(scene)


def test_what_is_late_is_under_way_together_and_a_reset_ends_it():
    async def scene(link, client):
        link.up.delay = 0.2
        began = anyio.current_time()
        await client.send(b"".join(b"%d\n" % n for n in range(20)))
        data = b""
        while data.count(b"\n") < 20:
            data += await client.receive()
        assert 0.2 <= anyio.current_time() - began < 2  # not twenty times as late
        link.reset()
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await client.receive()

    linked(scene)


def test_a_process_reads_its_clocks_off_the_page(tmp_path):
    page = ClockPage(tmp_path / "p", 5 * SECOND, 100_000)
    wall, even = open_clocks(str(page.path))
    first, steadily = wall(), even()
    page.set_offset(-5 * SECOND)
    assert -10.1 * SECOND < wall() - first < -9 * SECOND and 0 <= even() - steadily < SECOND


class Machine:
    """A wall clock and a steady one, set by hand."""

    def __init__(self):
        self.wall = self.even = 1_000 * SECOND
        self.time = RouterClock(lambda: self.wall, lambda: self.even)

    def passes(self, time, off=0):
        """The reads over that time, with the wall clock set off at its start."""
        self.wall += off
        read = []
        for _ in range(time // 10_000):
            self.wall, self.even = self.wall + 10_000, self.even + 10_000
            read.append(self.time())
        return read


def test_time_goes_on_when_the_wall_clock_is_set_ahead_and_back():
    """It stood still for as long as the clock had been ahead: no timer fired, and reqs had no answer."""
    machine = Machine()
    first = machine.passes(SECOND)[-1]
    machine.passes(SECOND // 2, 10 * SECOND)
    read = machine.passes(2 * SECOND, -10 * SECOND)
    steps = [after - before for before, after in zip(read, read[1:], strict=False)]
    assert all(9_000 <= step <= 11_000 for step in steps)
    assert abs(read[-1] - first - 2.5 * SECOND) < 0.1 * SECOND


def test_time_follows_the_wall_clock():
    machine = Machine()
    assert machine.passes(12 * SECOND, SECOND)[-1] == machine.wall  # a second in ten
    assert machine.passes(12 * SECOND, -SECOND)[-1] == machine.wall
    assert machine.passes(10_000, 3_600 * SECOND)[-1] == machine.wall  # it was wrong by an hour before


# -- fleets --------------------------------------------------------------------------------------------------


SHARED = ScenarioSize(
    routers=6, rate=60, slots=12, demand=80.0, slot_clients=6, seconds=12.0, fault_free_time=4_000
)
TAKEN_OUT = ("a share doesn't end", "a share counts from its answer")  # all: `quartzrouter rehearse guards`


def drawn():
    tally = ScenarioReport()
    rehearse(3, tally, size=SHARED)
    return tally.broken, tally.figures


def jumped():
    seen = play(random.Random(1), replace(SMALL, seconds=4.5), [Fault(500, "jump", "r0", 300, 10.0)])
    return seen.broken, seen.lost, seen.faults, len(list(seen.fleet.history.events_of("send")))


def without(guard):
    size, faults = SCENES[guard]
    seen = play(random.Random(1), size, faults, (guard,))
    return seen.broken, seen.over_rate, seen.over_slots


@pytest.fixture(scope="module")
def plays():
    """All fleets at a time, each in a process of its own: one by one they take 40 s, most of it waiting."""
    with ProcessPoolExecutor(4, get_context("spawn")) as pool:
        yield {
            "drawn": pool.submit(drawn),
            "jumped": pool.submit(jumped),
            **{guard: pool.submit(without, guard) for guard in TAKEN_OUT},
        }


def test_six_routers_and_two_ledgers_share_limits_through_faults_of_all_kinds(plays):
    broken, figures = plays["drawn"].result()
    assert not broken, (broken, figures)


def test_a_clock_set_ahead_and_back_loses_no_req(plays):
    broken, lost, faults, sent = plays["jumped"].result()
    assert not broken and not lost and not faults and sent > 100


@pytest.mark.parametrize("guard", TAKEN_OUT)
def test_checkers_see_a_guard_taken_out(plays, guard):
    broken, *by = plays[guard].result()
    assert broken, by
