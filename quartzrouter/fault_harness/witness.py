"""The target of a lease holder's actions: records them in the history, and rejects lower fencing tokens.

A claimant's process does nothing but act, as often as it may. Between its check of the lease and each action
it pauses, so that it may be stopped in between.
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

CHECK_TO_ACTION_PAUSE = 0.006  # seconds in which a process may be stopped between check and action
ACTION_DURATION_SECONDS = 0.008
PAUSE_BETWEEN_ACTIONS_SECONDS = 0.004


class Witness(Server):
    """The server that claimants act on.

    `failing_claimants` holds the processes whose actions fail when they begin.

    :param rejects_old_tokens: it rejects fencing tokens lower than the highest that it has seen.
    """

    def __init__(self, history: History, rejects_old_tokens: bool = True):
        self.history, self.rejects_old_tokens = history, rejects_old_tokens
        self.highest_token = 0
        self.refused_count = 0
        self.failing_claimants: set[str] = set()

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serves one connection to its end: a JSON line per message, and one per answer."""
        async with stream:
            try:
                async for line in read_lines(stream):
                    claimant, phase, token = json.loads(line)
                    await stream.send(json.dumps(self._handle(claimant, phase, token)).encode() + b"\n")
            except CONNECTION_LOST:
                return

    def _handle(self, claimant: str, phase: str, token: int) -> list:
        """Handles the begin or the finish of an action.

        :param phase: "begin" or "finish".
        :returns: "yes", "no" or "fails", and a token: for "no" the highest one that was seen.
        """
        if self.rejects_old_tokens and token < self.highest_token:
            self.refused_count += 1
            self.history.add("refuse", claimant, number=token)
            return ["no", self.highest_token]
        if claimant in self.failing_claimants and phase == "begin":  # an action that has begun may finish
            return ["fails", 0]
        self.highest_token = max(self.highest_token, token)
        self.history.add(phase, claimant, number=token)
        return ["yes", token]


class ActionFailed(Exception):
    """The witness answered that an action failed."""


async def run_claimant(
    path: str,
    task: str,
    name: str,
    port: int,
    report: RateLimitedLog,
    steady: Callable[[], int],
    clock: Callable[[], int],
) -> None:
    """Claims a task, and acts on the witness for as long as it holds the lease, until SIGTERM.

    SIGUSR1 makes the process stop itself (SIGSTOP) between its next check of the lease and the action.

    :param path: of the plan; the file's name is the name of the process in the history.
    :param name: under which it asks for the lease.
    :param port: of the witness.
    """
    terms, addresses = lease_terms(load(path).plan)
    lease_client = ClusterLeaseClient(terms, addresses, name, report, steady, clock)
    process_name = path.rpartition("/")[2].removesuffix(".plan")
    stop_before_action = Event()
    signal.signal(signal.SIGUSR1, lambda number, frame: stop_before_action.set())

    async def work(lease: HeldLease) -> None:
        async with await connect(("127.0.0.1", port)) as stream:
            answers = read_lines(stream)

            async def send(phase: str) -> tuple[str, int]:
                await stream.send(json.dumps([process_name, phase, lease.fencing_token]).encode() + b"\n")
                return json.loads(await anext(answers))

            while lease.may_act():
                # Blocks the event loop as well, so that a process that is stopped here doesn't notice it.
                time.sleep(CHECK_TO_ACTION_PAUSE)
                if stop_before_action.is_set():
                    stop_before_action.clear()
                    os.kill(os.getpid(), signal.SIGSTOP)
                # An action that has begun is finished, within the time that actions may take.
                with anyio.CancelScope(shield=True):
                    answer, token = await send("begin")
                    if answer == "yes":
                        await anyio.sleep(ACTION_DURATION_SECONDS)
                        await send("finish")
                if answer == "fails":
                    raise ActionFailed("the witness answered that the action failed")
                if answer == "no":
                    lease.handle_superseding_token(token)
                    return
                await anyio.sleep(PAUSE_BETWEEN_ACTIONS_SECONDS)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lease_client.run)
        tasks.start_soon(lease_client.perform, task, work)
        with anyio.open_signal_receiver(signal.SIGTERM) as received:
            async for _ in received:
                await lease_client.release()
                tasks.cancel_scope.cancel()
                return
