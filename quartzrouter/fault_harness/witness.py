"""Whoever is acted on by the holder of a task: takes acts, tells the history, and refuses lower numbers.

A claimant's process here does nothing but act, as often as it may, with a pause between its look at the clock
and each act, so that a stop may fall in between.
"""

import json
import os
import signal
import time
from collections.abc import Callable
from threading import Event

import anyio

from quartzrouter.config.loader import load
from quartzrouter.fakes.caches import CONNECTION_LOST
from quartzrouter.fakes.loopback import Server
from quartzrouter.fault_harness.history import History
from quartzrouter.lease_service.client import ClusterLeaseClient, HeldLease
from quartzrouter.lease_service.plan_terms import lease_terms
from quartzrouter.purge_log.line_connection import connect, read_lines
from quartzrouter.server.rate_limited_log import RateLimitedLog

LOOK_TO_ACT = 0.006  # s: a process is stopped anywhere, also there
ACT = 0.008  # s
PAUSE = 0.004  # s between two acts


class Witness(Server):
    """:param checks: it refuses numbers lower than it has seen.

    `failing_claimants` names those whose acts go wrong.
    """

    def __init__(self, history: History, checks: bool = True):
        self.history, self.checks = history, checks
        self.seen = 0
        self.refused_count = 0
        self.failing_claimants: set[str] = set()

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        async with stream:
            try:
                async for line in read_lines(stream):
                    who, what, number = json.loads(line)
                    await stream.send(json.dumps(self._take(who, what, number)).encode() + b"\n")
            except CONNECTION_LOST:
                return

    def _take(self, who: str, what: str, number: int) -> list:
        if self.checks and number < self.seen:
            self.refused_count += 1
            self.history.add("refuse", who, number=number)
            return ["no", self.seen]
        if who in self.failing_claimants and what == "begin":  # what has begun is ended
            return ["fails", 0]
        self.seen = max(self.seen, number)
        self.history.add(what, who, number=number)
        return ["yes", number]


class Failing(Exception):
    """The act goes wrong."""


async def claimant(
    path: str,
    task: str,
    name: str,
    port: int,
    report: RateLimitedLog,
    steady: Callable[[], int],
    clock: Callable[[], int],
) -> None:
    """Acts for as long as it holds the task, until SIGTERM; its party's name is the plan's file name."""
    told, addresses = lease_terms(load(path).plan)
    claims = ClusterLeaseClient(told, addresses, name, report, steady, clock)
    party = path.rpartition("/")[2].removesuffix(".plan")
    halts = Event()
    signal.signal(signal.SIGUSR1, lambda number, frame: halts.set())  # stop between a look and its act

    async def work(hold: HeldLease) -> None:
        async with await connect(("127.0.0.1", port)) as stream:
            heard = read_lines(stream)

            async def say(what: str) -> tuple[str, int]:
                await stream.send(json.dumps([party, what, hold.fencing_token]).encode() + b"\n")
                return json.loads(await anext(heard))

            while hold.may_act():
                time.sleep(LOOK_TO_ACT)  # the loop stands as well: what is stopped here knows nothing of it
                if halts.is_set():
                    halts.clear()
                    os.kill(os.getpid(), signal.SIGSTOP)
                with anyio.CancelScope(shield=True):  # an act that has begun is ended, within the time for it
                    answer, number = await say("begin")
                    if answer == "yes":
                        await anyio.sleep(ACT)
                        await say("finish")
                if answer == "fails":
                    raise Failing("the witness says so")
                if answer == "no":
                    hold.handle_superseding_token(number)
                    return
                await anyio.sleep(PAUSE)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(claims.run)
        tasks.start_soon(claims.perform, task, work)
        with anyio.open_signal_receiver(signal.SIGTERM) as received:
            async for _ in received:
                await claims.release()
                tasks.cancel_scope.cancel()
                return
