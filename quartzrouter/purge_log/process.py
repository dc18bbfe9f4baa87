"""The purge log as a process: its start as primary or standby, its signals, and its exit status."""

import signal
from collections.abc import Callable

import anyio

from quartzrouter.leases.handle import LeaseClient
from quartzrouter.purge_log.disk import RealDisk
from quartzrouter.purge_log.errors import DiskUnavailableError, LogDamagedError
from quartzrouter.purge_log.leadership import wait_for_silent_primary
from quartzrouter.purge_log.quota_service import NOT_HELD, WITHOUT_LEASE
from quartzrouter.purge_log.server import PurgeLogServer
from quartzrouter.purges.registry import PurgeRegistry
from quartzrouter.quota.budget import Budget
from quartzrouter.quota.slow_start_messages import SlowStartTerms
from quartzrouter.server.clock import steady_clock, wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

EXIT_STOPPED = 0
EXIT_FENCED = 3  # another purge log has taken over
START_ERRORS = (LogDamagedError, DiskUnavailableError, OSError)  # with the place and the remedy as text

ReadBudgets = Callable[[], tuple[list[Budget], dict[str, SlowStartTerms]]]


async def serve(
    folder: str,
    address: tuple[str, int],
    grace: int,
    report: RateLimitedLog,
    primary: tuple[str, int] | None = None,
    clock: Callable[[], int] = wall_clock,
    read_budgets: ReadBudgets | None = None,
    steady: Callable[[], int] = steady_clock,
    lease_client: LeaseClient | None = None,
    task: str = "",
) -> int:
    """Runs a purge log until SIGTERM.

    :param grace: microseconds within which a purge must hold at every router.
    :param primary: the address of the process to take over from; None if this isn't a standby.
    :param clock: returns microseconds of the wall clock.
    :param read_budgets: reads the budgets of which shares are granted and the terms of slow start; called at
        the start and at SIGHUP; raises ValueError.
    :param steady: returns microseconds of the monotonic clock.
    :param lease_client: given if several processes with separate folders may grant quota; only the holder of
        the task's lease does.
    :param task: the task of granting quota.
    :returns: the exit status.
    :raises OSError, ValueError, LogDamagedError, DiskUnavailableError: if the start fails before serving.
    """
    process = _Process(report, read_budgets, lease_client)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(process.handle_signals, tasks.cancel_scope)
        listeners = await _listen(address)
        if primary:
            await _close(listeners)  # a standby must not accept connections
            await wait_for_silent_primary(primary, grace, report)
            listeners = await _listen(address)
        budgets, slow_start_terms = read_budgets() if read_budgets else (None, None)
        server = PurgeLogServer(
            RealDisk(folder),
            grace,
            report,
            clock,
            budgets=budgets,
            steady=steady,
            slow_start_terms=slow_start_terms,
            lease_token=_lease_token_reader(lease_client, task),
        )
        process.server = server
        if lease_client:
            tasks.start_soon(lease_client.run)
        process.report_start(server.registry, address)
        was_leader_until_stopped = await server.run(listeners)
        if not was_leader_until_stopped:
            process.exit_status = EXIT_FENCED
        tasks.cancel_scope.cancel()
    return process.exit_status


class _Process:
    """The state that signal handlers use.

    :ivar server: None until the server is created.
    """

    def __init__(
        self,
        report: RateLimitedLog,
        read_budgets: ReadBudgets | None,
        lease_client: LeaseClient | None,
    ):
        self.report = report
        self.read_budgets = read_budgets
        self.lease_client = lease_client
        self.server: PurgeLogServer | None = None
        self.exit_status = EXIT_STOPPED

    def report_start(self, registry: PurgeRegistry, address: tuple[str, int]) -> None:
        """Writes a log line about the start."""
        state = f"epoch {registry.epoch}, purges up to {registry.head}"
        self.report.say("process", f"{state}, at {address[0]}:{address[1]}")

    async def handle_signals(self, running: anyio.CancelScope) -> None:
        """Reloads the budgets at SIGHUP; ends the process at SIGTERM and SIGINT."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    await self._reload()
                    continue
                self.report.say("process", f"{number.name}: stopping")
                if self.lease_client:
                    await self.lease_client.release()
                running.cancel()
                return

    async def _reload(self) -> None:
        if self.read_budgets is None or self.server is None:
            return
        try:
            budgets, slow_start_terms = await anyio.to_thread.run_sync(self.read_budgets)
            self.server.quota.replace(budgets, slow_start_terms)
            self.report.say("shares", f"SIGHUP: {len(budgets)} budgets")
        except (ValueError, OSError) as error:
            self.report.say("shares", f"SIGHUP: the budgets stay as they were: {error}")


def _lease_token_reader(lease_client: LeaseClient | None, task: str) -> Callable[[], int]:
    """Returns a function that returns the fencing token under which quota may be granted right now."""
    if lease_client is None:
        return lambda: WITHOUT_LEASE
    proposer = lease_client.propose(task)

    def token() -> int:
        return proposer.fencing_token if proposer.may_act(lease_client.steady()) else NOT_HELD

    return token


async def _listen(address: tuple[str, int]) -> list[anyio.abc.Listener]:
    host, port = address
    listeners = await anyio.create_tcp_listener(local_host=host, local_port=port)
    return list(listeners.listeners)


async def _close(listeners: list[anyio.abc.Listener]) -> None:
    for listener in listeners:
        await listener.aclose()
