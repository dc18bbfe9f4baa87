"""Scenario: purges of a whole fleet under load and injected faults.

Routers, the purge log and the courier run as processes on loopback; caches and clients run in this process.
A script injects the faults while the load runs, and a checker examines every response.
"""

import os
import random
import tempfile
from functools import partial
from pathlib import Path

import anyio

from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.fault_scenarios.purge_checker import SECOND, TAGS, CutOff
from quartzrouter.fault_scenarios.purge_fleet import (
    CUT_SHORT,
    LAG_INTERVAL_US,
    NO_RESPONSE,
    QUERY_TIMEOUT_SECONDS,
    PurgedFleet,
)
from quartzrouter.purge_log.disk import RealDisk
from quartzrouter.purge_log.query_client import QueryClient
from quartzrouter.purge_log.segments import read_log
from quartzrouter.purges.messages import (
    MemberHello,
    MembersQuery,
    PurgeRequest,
    RequestRejected,
    StatusQuery,
    encode_line,
)
from quartzrouter.server import process

ROUTERS = 6
CACHES = 12
CLIENTS_PER_ROUTER = 6
BURST_PURGES = 400  # sent at once: 14 caches in one process take some seconds for them
LOAD_SECONDS = 24.0  # long enough that a cache is unreachable for longer than INDEX_LIFETIME
SCRIPT_UNITS = 16  # parts of the load time, in which the script counts its waits
MIN_SUCCEEDED = 500  # requests; fewer leave the checker too little to examine
MIN_SUCCEEDED_SHARE = 0.9  # of the answered requests
# Seconds beyond the load time in which a busy machine must get as much done.
MAX_EXTRA_LOAD_SECONDS = 20.0
START_AND_END_SECONDS = 25
COMPLETION_TIMEOUT_SECONDS = 6  # until the last purge is complete
CHECK_BATCH = 5  # responses that the checker examines in one turn of the event loop during the load


def rehearse(
    seed: int,
    report: ScenarioReport,
    mutations: tuple[str, ...] = (),
    seconds: float = LOAD_SECONDS,
    min_stale_copies: int = 0,
) -> None:
    """Plays the scenario, and reports its violations and figures.

    :param report: takes the figures and the violations.
    :param mutations: mutations: mutations that are taken out of the routers.
    :param seconds: how long the load lasts at least.
    :param min_stale_copies: the load continues until the checker has found as many stale copies, but not
        longer than MAX_EXTRA_LOAD_SECONDS.
    """
    play = partial(_play, random.Random(seed), report, mutations, seconds, min_stale_copies)
    anyio.run(play, backend_options=process.BACKEND_OPTIONS)


async def _play(
    chance: random.Random,
    report: ScenarioReport,
    mutations: tuple[str, ...],
    seconds: float,
    min_stale_copies: int,
) -> None:
    time_limit = seconds + MAX_EXTRA_LOAD_SECONDS + START_AND_END_SECONDS
    with tempfile.TemporaryDirectory() as folder, anyio.fail_after(time_limit):
        fleet = PurgedFleet(chance, Path(folder), ROUTERS, CACHES, mutations)
        try:
            async with anyio.create_task_group() as tasks:
                await fleet.start(tasks)
                await fleet.wait_until_all_joined()
                async with anyio.create_task_group() as load:
                    for n in range(ROUTERS * CLIENTS_PER_ROUTER):
                        load.start_soon(fleet.run_client, n % ROUTERS, n + 1)
                    load.start_soon(fleet.run_purges)
                    load.start_soon(fleet.measure_lag)
                    load.start_soon(_script, fleet, report, tasks, seconds / SCRIPT_UNITS)
                    await anyio.sleep(seconds)
                    with anyio.move_on_after(MAX_EXTRA_LOAD_SECONDS):
                        await _wait_for_enough_requests(fleet, min_stale_copies)
                    fleet.stopping.set()
                await _wait_for_completion(fleet, report)
                tasks.cancel_scope.cancel()
        finally:
            fleet.close()
            _write_trace(fleet)
        _report_responses(fleet, report)
        _check_log(fleet, report)


async def _wait_for_enough_requests(fleet: PurgedFleet, min_stale_copies: int) -> None:
    """Waits until enough requests succeeded and enough stale copies were found.

    How much that takes of a given time depends on the machine.
    """
    while fleet.checker.outcomes["200"] <= MIN_SUCCEEDED:
        await anyio.sleep(LAG_INTERVAL_US / SECOND)
    checked_count = 0
    stale_copies = 0
    while stale_copies < min_stale_copies:
        stop = min(checked_count + CHECK_BATCH, len(fleet.checker.responses))
        stale_copies += len(fleet.checker.stale_copies(checked_count, stop))
        checked_count = stop
        await anyio.sleep(LAG_INTERVAL_US / SECOND)


# -- faults ------------------------------------------------------------------------------------------------


async def _script(
    fleet: PurgedFleet, report: ScenarioReport, tasks: anyio.abc.TaskGroup, unit: float
) -> None:
    """Injects all faults in a fixed order.

    :param unit: a sixteenth of the load time, in seconds.
    """
    await anyio.sleep(2 * unit)
    unreachable_cache = fleet.caches["n1"]
    await _partition(fleet, unreachable_cache, unit)
    await anyio.sleep(unit)
    await fleet.restart_purge_log(0.3 * unit)
    await anyio.sleep(unit)
    await _burst_over_faulty_links(fleet, unit)
    await unreachable_cache.start(tasks)  # with its old copies, while purges continue
    await anyio.sleep(unit)
    await fleet.purge([PurgeRequest("pattern", ("/**",)), PurgeRequest("pattern", ("/" + "*a" * 15,))])
    await _join_under_a_taken_name(fleet, report)
    await anyio.sleep(unit)
    await fleet.restart_purge_log(0.0)
    await fleet.restart_router(fleet.chance.randrange(ROUTERS), 0.0)


async def _partition(fleet: PurgedFleet, unreachable_cache, unit: float) -> None:
    """Cuts a router off for longer than a lease, and restores its link while purges continue.

    Meanwhile a cache becomes unreachable, for longer than routers keep purges in their indexes. It keeps its
    copies.
    """
    since = process.wall_clock()
    link = fleet.links[0][0]
    link.block()
    await fleet.purge([fleet.random_purge() for _ in range(5)])
    unreachable_cache.stop()
    await anyio.sleep(1.2 * unit)
    await fleet.purge([PurgeRequest("tag", (TAGS[0],)), PurgeRequest("tag", ("care",))])
    link.restore()
    await fleet.wait_until_joined()
    fleet.checker.cut_offs.append(CutOff(0, since, process.wall_clock()))


async def _burst_over_faulty_links(fleet: PurgedFleet, unit: float) -> None:
    """Sends many purges while one link spoils lines, another delays them, and caches refuse purges."""
    since = process.wall_clock()
    lossy_link, late_link = fleet.links[1][0], fleet.links[2][0]
    lossy_link.down.fault_rate = 0.1
    late_link.down.delay = 0.02
    await fleet.restart_router(ROUTERS - 1, 0.3 * unit)
    for cache in list(fleet.caches.values())[::3]:
        cache.refusal_rate = 0.2
    await fleet.purge([fleet.random_purge() for _ in range(BURST_PURGES)])
    await anyio.sleep(unit)
    for cache in fleet.caches.values():
        cache.refusal_rate = 0.0
    lossy_link.restore()
    late_link.restore()
    await fleet.wait_until_joined()
    until = process.wall_clock()
    fleet.checker.cut_offs += [CutOff(router, since, until) for router in (1, 2)]


async def _join_under_a_taken_name(fleet: PurgedFleet, report: ScenarioReport) -> None:
    """Joins under the name of a live router, as a second process with the same settings does."""
    client = QueryClient([("127.0.0.1", fleet.purge_log_port)], QUERY_TIMEOUT_SECONDS)
    reply = await client.ask(MembersQuery())
    live_routers = [member.name for member in reply.members if member.kind == "router" and member.is_live]
    if live_routers:
        await client.close()
        await client.connect()
        await client.stream.send(encode_line(MemberHello(live_routers[0], "router", "other", epoch=0)))
        answer = await client.receive()
        is_refused = isinstance(answer, RequestRejected) and answer.place == "name"
        report.expect(is_refused, f"a second process named {live_routers[0]} got {answer}, not a refusal")
    await client.close()


# -- checks ------------------------------------------------------------------------------------------------


async def _wait_for_completion(fleet: PurgedFleet, report: ScenarioReport) -> None:
    """Waits until the last purge is complete, and reports the purge log's status."""
    client = QueryClient([("127.0.0.1", fleet.purge_log_port)], 2 * QUERY_TIMEOUT_SECONDS)
    with anyio.move_on_after(COMPLETION_TIMEOUT_SECONDS):
        while not (status := await client.ask(StatusQuery())).is_complete:
            await anyio.sleep(0.05)
    members = (await client.ask(MembersQuery())).members
    report.figures["caches away"] = [member.name for member in members if member.is_unreachable]
    report.expect(status.is_complete, f"purge {status.sequence_number} waits for {status.waiting_for}")
    delays = {
        key: round(value / 1000, 1) for key, value in status.delays.items() if key.startswith(("p", "h"))
    }
    delays["purges"] = status.delays["purges"]
    report.figures["purges, delay since the last start in ms"] = f"{status.sequence_number}, {delays}"
    promised_ms = status.promised_within / 1000
    report.figures["promised in ms, missed"] = f"{promised_ms:.0f}, {status.delays['missed']}"


def _report_responses(fleet: PurgedFleet, report: ScenarioReport) -> None:
    """Reports stale copies, the outcomes of requests, and faults of the program itself."""
    checker = fleet.checker
    report.broken += checker.stale_copies()
    outcomes = checker.outcomes
    succeeded = outcomes["200"]
    answered = sum(count for outcome, count in outcomes.items() if outcome.isdecimal())
    figures = report.figures
    figures["reqs, done, denied, aborted"] = f"{answered}, {succeeded}, {outcomes['503']}, {outcomes['502']}"
    figures["reqs cut with the router that was killed"] = outcomes[CUT_SHORT]
    figures["answers looked at, against purges"] = f"{len(checker.responses)}, {len(checker.purges)}"
    caches = [cache for cache in fleet.caches.values() if not cache.is_origin]
    purged_copies = sum(cache.purged_copies for cache in caches)
    max_rate = max(cache.max_purges_per_second for cache in caches)
    figures["copies purged, most purges a second at one cache"] = f"{purged_copies}, {max_rate}"
    figures["latest wake of this process in ms"] = fleet.max_lag // 1000
    figures["copies made by the origin"] = fleet.caches["o"].requests
    spoilt_lines = sum(link.fault_count for links in fleet.links for link in links)
    figures["lines lost, doubled or swapped"] = spoilt_lines
    unanswered = outcomes[NO_RESPONSE]
    report.expect(not unanswered, f"{unanswered} requests without a response")
    is_share_enough = succeeded > answered * MIN_SUCCEEDED_SHARE
    report.expect(is_share_enough, f"{succeeded} of {answered} requests succeeded: {dict(outcomes)}")
    report.expect(succeeded > MIN_SUCCEEDED, f"only {succeeded} requests succeeded")
    faults = fleet.fault_log_lines()
    report.expect(not faults, f"faults: {faults[:1]}")


def _check_log(fleet: PurgedFleet, report: ScenarioReport) -> None:
    """Checks that the purge log's files contain every purge that was accepted."""
    contents = read_log(RealDisk(str(fleet.folder / "ledger")))
    logged = {purge.sequence_number for purge in contents.purges}
    lost = [number for number in fleet.checker.purges if number not in logged]
    report.expect(not lost, f"{len(lost)} accepted purges are not in the log: {lost[:5]}")


def _write_trace(fleet: PurgedFleet) -> None:
    """Writes the processes' log lines into a file if QUARTZROUTER_TRACE is set."""
    name = os.environ.get("QUARTZROUTER_TRACE")
    if name:
        Path(f"rehearse-{name}.log").write_bytes((fleet.folder / "log").read_bytes())
