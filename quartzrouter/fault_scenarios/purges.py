"""Purges of a whole fleet on loopback: routers, purge log and courier as processes, all others here.

A script with all that goes wrong runs beside the load; a checker looks at every response.
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
    LAG_INTERVAL,
    NO_RESPONSE,
    QUERY_TIMEOUT,
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
STORM = 400  # purges at once: what 14 caches in one process take in some seconds
LOAD_TIME = 24.0  # s: a cache is away for longer than INDEX_LIFETIME
SCRIPT_UNITS = 16  # parts of the load time
MIN_SUCCEEDED = 500  # requests; with fewer, too little was looked at
MIN_SUCCEEDED_SHARE = 0.9  # of the requests that were answered
MAX_EXTRA_LOAD_TIME = 20.0  # s beyond the load time within which a busy machine has to get as much done
START_AND_END_TIME = 25  # s
COMPLETION_TIME = 6  # s until the last purge is complete
LOOK_BATCH = 5  # responses that the checker looks at in one turn of the event loop while the load goes on


def rehearse(
    seed: int,
    tally: ScenarioReport,
    guards: tuple[str, ...] = (),
    seconds: float = LOAD_TIME,
    min_stale_copies: int = 0,
) -> None:
    """Plays the scenario.

    :param tally: takes figures and what broke.
    :param guards: mutations: guards that are taken out of the routers.
    :param seconds: of load, at least.
    :param min_stale_copies: the load goes on until the checker has found as many, MAX_EXTRA_LOAD_TIME at
        most.
    """
    play = partial(_play, random.Random(seed), tally, guards, seconds, min_stale_copies)
    anyio.run(play, backend_options=process.BACKEND_OPTIONS)


async def _play(
    chance: random.Random,
    report: ScenarioReport,
    mutations: tuple[str, ...],
    seconds: float,
    min_stale_copies: int,
) -> None:
    time_limit = seconds + MAX_EXTRA_LOAD_TIME + START_AND_END_TIME
    with tempfile.TemporaryDirectory() as folder, anyio.fail_after(time_limit):
        fleet = PurgedFleet(chance, Path(folder), ROUTERS, CACHES, mutations)
        try:
            async with anyio.create_task_group() as tasks:
                await fleet.start(tasks)
                await fleet.wait_until_all_joined()
                async with anyio.create_task_group() as load:
                    for n in range(ROUTERS * CLIENTS_PER_ROUTER):
                        load.start_soon(fleet.run_client, n % ROUTERS, n + 1)
                    load.start_soon(fleet.keep_purging)
                    load.start_soon(fleet.measure_lag)
                    load.start_soon(_script, fleet, report, tasks, seconds / SCRIPT_UNITS)
                    await anyio.sleep(seconds)
                    with anyio.move_on_after(MAX_EXTRA_LOAD_TIME):
                        await _enough_done(fleet, min_stale_copies)
                    fleet.stopping.set()
                await _wait_for_completion(fleet, report)
                tasks.cancel_scope.cancel()
        finally:
            fleet.close()
            _keep_log(fleet)
        _judge(fleet, report)
        _judge_log(fleet, report)


async def _enough_done(fleet: PurgedFleet, min_stale_copies: int) -> None:
    """Returns once enough was done: how much that is in a given time is the machine's matter."""
    while fleet.checker.outcomes["200"] <= MIN_SUCCEEDED:
        await anyio.sleep(LAG_INTERVAL / SECOND)
    looked_at = 0
    stale_copies = 0
    while stale_copies < min_stale_copies:
        stop = min(looked_at + LOOK_BATCH, len(fleet.checker.responses))
        stale_copies += len(fleet.checker.stale_copies(looked_at, stop))
        looked_at = stop
        await anyio.sleep(LAG_INTERVAL / SECOND)


# -- what goes wrong ---------------------------------------------------------------------------------------


async def _script(
    fleet: PurgedFleet, report: ScenarioReport, tasks: anyio.abc.TaskGroup, unit: float
) -> None:
    """Plays all faults in their order.

    :param unit: seconds, a sixteenth of the load time.
    """
    await anyio.sleep(2 * unit)
    absent_cache = fleet.caches["n1"]
    await _partition(fleet, absent_cache, unit)
    await anyio.sleep(unit)
    await fleet.restart_purge_log(0.3 * unit)
    await anyio.sleep(unit)
    await _storm_over_bad_links(fleet, unit)
    await absent_cache.start(tasks)  # with its old copies, while purges keep coming
    await anyio.sleep(unit)
    await fleet.purge([PurgeRequest("pattern", ("/**",)), PurgeRequest("pattern", ("/" + "*a" * 15,))])
    await _second_process_of_one_name(fleet, report)
    await anyio.sleep(unit)
    await fleet.restart_purge_log(0.0)
    await fleet.restart_router(fleet.chance.randrange(ROUTERS), 0.0)


async def _partition(fleet: PurgedFleet, absent_cache, unit: float) -> None:
    """Cuts a router off for longer than a lease, and heals that while purges go on.

    A cache drains meanwhile, for longer than routers hold purges in their indexes; it keeps its disk.
    """
    since = process.wall_clock()
    link = fleet.links[0][0]
    link.block()
    await fleet.purge([fleet.random_purge() for _ in range(5)])
    absent_cache.stop()
    await anyio.sleep(1.2 * unit)
    await fleet.purge([PurgeRequest("tag", (TAGS[0],)), PurgeRequest("tag", ("care",))])
    link.restore()
    await fleet.wait_until_joined()
    fleet.checker.cut_offs.append(CutOff(0, since, process.wall_clock()))


async def _storm_over_bad_links(fleet: PurgedFleet, unit: float) -> None:
    """Sends many purges while two links lose, double and delay lines, and caches refuse purges."""
    since = process.wall_clock()
    spoilt_link, late_link = fleet.links[1][0], fleet.links[2][0]
    spoilt_link.down.fault_rate = 0.1
    late_link.down.delay = 0.02
    await fleet.restart_router(ROUTERS - 1, 0.3 * unit)
    for cache in list(fleet.caches.values())[::3]:
        cache.refusal_rate = 0.2
    await fleet.purge([fleet.random_purge() for _ in range(STORM)])
    await anyio.sleep(unit)
    for cache in fleet.caches.values():
        cache.refusal_rate = 0.0
    spoilt_link.restore()
    late_link.restore()
    await fleet.wait_until_joined()
    until = process.wall_clock()
    fleet.checker.cut_offs += [CutOff(router, since, until) for router in (1, 2)]


async def _second_process_of_one_name(fleet: PurgedFleet, report: ScenarioReport) -> None:
    """Joins under the name of a live router, as a second process with the same settings would."""
    client = QueryClient([("127.0.0.1", fleet.purge_log_port)], QUERY_TIMEOUT)
    reply = await client.ask(MembersQuery())
    live = [member.name for member in reply.members if member.kind == "router" and member.is_live]
    if live:
        await client.close()
        await client.connect()
        await client.stream.send(encode_line(MemberHello(live[0], "router", "other", epoch=0)))
        answer = await client.receive()
        is_refused = isinstance(answer, RequestRejected) and answer.place == "name"
        report.expect(is_refused, f"a second {live[0]} was told {answer}")
    await client.close()


# -- what is judged ----------------------------------------------------------------------------------------


async def _wait_for_completion(fleet: PurgedFleet, report: ScenarioReport) -> None:
    """Waits until the last purge is complete, and reports what the purge log says."""
    client = QueryClient([("127.0.0.1", fleet.purge_log_port)], 2 * QUERY_TIMEOUT)
    with anyio.move_on_after(COMPLETION_TIME):
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


def _judge(fleet: PurgedFleet, report: ScenarioReport) -> None:
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
    report.expect(not unanswered, f"{unanswered} reqs without an answer")
    is_most = succeeded > answered * MIN_SUCCEEDED_SHARE
    report.expect(is_most, f"{succeeded} of {answered} reqs done: {dict(outcomes)}")
    report.expect(succeeded > MIN_SUCCEEDED, f"only {succeeded} reqs done")
    faults = fleet.fault_log_lines()
    report.expect(not faults, f"faults: {faults[:1]}")


def _judge_log(fleet: PurgedFleet, report: ScenarioReport) -> None:
    contents = read_log(RealDisk(str(fleet.folder / "ledger")))
    kept = {purge.sequence_number for purge in contents.purges}
    lost = [number for number in fleet.checker.purges if number not in kept]
    report.expect(not lost, f"{len(lost)} purges were promised and are lost: {lost[:5]}")


def _keep_log(fleet: PurgedFleet) -> None:
    """Keeps the processes' log lines in a file, where the environment names one."""
    name = os.environ.get("QUARTZROUTER_TRACE")
    if name:
        Path(f"rehearse-{name}.log").write_bytes((fleet.folder / "log").read_bytes())
