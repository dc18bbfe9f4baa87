"""The purge log's server: accepts purges, makes them durable, and sends them to its members in order.

The modules requests and sessions serve clients and members, leadership fences this process, quota_service
grants quota and health_service aggregates health reports. This module connects them to the log.
"""

from collections.abc import Callable

import anyio

from quartzrouter.purge_log.clock import NonDecreasingClock
from quartzrouter.purge_log.disk import Disk
from quartzrouter.purge_log.errors import DiskUnavailableError, FencedError
from quartzrouter.purge_log.health_service import HealthService
from quartzrouter.purge_log.leadership import Leadership
from quartzrouter.purge_log.line_connection import ConnectionGuard, LineReader
from quartzrouter.purge_log.log import PurgeLog
from quartzrouter.purge_log.quota_service import WITHOUT_LEASE, QuotaService
from quartzrouter.purge_log.requests import RequestHandler
from quartzrouter.purge_log.sessions import Sessions
from quartzrouter.purges.messages import Purge, RequestRejected
from quartzrouter.purges.registry import PurgeRegistry
from quartzrouter.quota.budget import Budget
from quartzrouter.quota.slow_start_messages import SlowStartTerms
from quartzrouter.server.byte_stream import serve_listener
from quartzrouter.server.clock import steady_clock, wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

MAX_BATCH = 4_096  # purges written and synced together: 1 MB
COMPACT_AFTER = 50_000  # purges after the last snapshot until the next one is written: 10 MB
MAX_CONNECTIONS = 8_192  # of routers, caches and clients
RETRY_AFTER_US = 1_000_000  # after which a client may retry a purge that the disk rejected
UPDATES_PER_HEARTBEAT = 2  # a purge is found complete at most half a heartbeat interval later


class PurgeLogServer:
    """A server of one purge log.

    :param grace: microseconds within which a purge must hold at every router.
    :param clock: returns microseconds of the wall clock.
    :param compact_after: the number of purges after which a snapshot is written.
    :param budgets: the budgets of which shares are granted to routers; None to grant none.
    :param steady: returns microseconds of the monotonic clock.
    :param slow_start_terms: the terms of slow start by tier.
    :param lease_token: returns the fencing token under which quota is granted; 0 while the lease isn't held.
    :raises LogDamagedError: if the folder can't be read completely.
    :raises DiskUnavailableError: if a disk operation fails.
    """

    def __init__(
        self,
        disk: Disk,
        grace: int,
        report: RateLimitedLog,
        clock: Callable[[], int] = wall_clock,
        compact_after: int = COMPACT_AFTER,
        budgets: list[Budget] | None = None,
        steady: Callable[[], int] = steady_clock,
        slow_start_terms: dict[str, SlowStartTerms] | None = None,
        lease_token: Callable[[], int] = lambda: WITHOUT_LEASE,
    ):
        self.now = NonDecreasingClock(clock)
        self.report = report
        self.compact_after = compact_after
        self.scope = anyio.CancelScope()
        self.has_pending = anyio.Event()  # set while admitted purges wait to be made durable
        self.connections = ConnectionGuard(MAX_CONNECTIONS, report)
        self.log = PurgeLog(disk)
        self.registry = self._recovered_registry(grace)
        self.leadership = Leadership(self.log, self.scope, report)
        self.quota = QuotaService(budgets, slow_start_terms or {}, steady, lease_token, report)
        self.health = HealthService(steady)
        self.sessions = Sessions(self.registry, self.leadership, self.quota, self.health, self.now, report)
        self.requests = RequestHandler(
            self.registry, self.quota, self.health, self.now, on_admitted=lambda: self.has_pending.set()
        )

    def _recovered_registry(self, grace: int) -> PurgeRegistry:
        recovered = self.log.recovered
        registry = PurgeRegistry(self.log.epoch, grace, self.now())
        registry.recover(recovered.purges, recovered.trimmed_up_to, recovered.low_watermark)
        if recovered.torn_bytes:
            torn_write = f"a torn write of {recovered.torn_bytes} bytes"
            self.report.say("log", f"{recovered.last_segment}: {torn_write} is ignored")
        return registry

    @property
    def is_fenced(self) -> bool:
        """Returns True if another writer has started."""
        return self.leadership.is_fenced

    async def run(self, listeners: list[anyio.abc.Listener]) -> bool:
        """Serves until it is cancelled.

        :returns: False if another writer has started.
        """
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write_log)
                tasks.start_soon(self._update_completeness_at_intervals)
                tasks.start_soon(self.health.run, self.sessions.by_name.values)
                for listener in listeners:
                    tasks.start_soon(serve_listener, listener, self.serve, self.report)
        self.log.close()
        return not self.is_fenced

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serves one connection: a client's, and a member's from its hello message on."""
        await self.connections.serve(stream, self._serve)

    async def _serve(self, stream: anyio.abc.ByteStream, lines: LineReader) -> None:
        hello = await self.requests.serve(stream, lines)
        if hello:
            await self.sessions.serve(stream, lines, hello)

    async def _write_log(self) -> None:
        """Makes admitted purges durable, up to ``MAX_BATCH`` in one write."""
        while True:
            await self.has_pending.wait()
            self.has_pending = anyio.Event()
            while batch := self.registry.purges_after(self.registry.head, MAX_BATCH):
                try:
                    await anyio.to_thread.run_sync(self.log.append, batch)
                except DiskUnavailableError as error:
                    self._reject_pending(str(error))
                except FencedError as error:
                    self.leadership.fence(error)
                    return
                else:
                    self._mark_durable(batch)
            if self.log.purges_since_snapshot >= self.compact_after:
                await self._compact()

    def _mark_durable(self, batch: list[Purge]) -> None:
        self.registry.mark_durable(batch[-1].sequence_number, self.now())
        for purge in batch:
            self.requests.resolve(purge.sequence_number, None)
        self.sessions.wake_all()

    def _reject_pending(self, reason: str) -> None:
        self.report.say("log", f"purges are rejected: {reason}")
        rejection = RequestRejected("disk", reason, "make room on the ledger's disk", RETRY_AFTER_US)
        for purge in self.registry.discard_pending():
            self.requests.resolve(purge.sequence_number, rejection)

    async def _compact(self) -> None:
        registry = self.registry
        registry.trim(self.now())
        durable = registry.purges_after(registry.trimmed_up_to, registry.head - registry.trimmed_up_to)
        try:
            await anyio.to_thread.run_sync(
                self.log.compact, durable, registry.trimmed_up_to, registry.low_watermark
            )
        except DiskUnavailableError as error:
            self.log.purges_since_snapshot = 0  # the next attempt follows after as many purges again
            self.report.say("log", f"compaction failed: {error}")
        except FencedError as error:
            self.leadership.fence(error)

    async def _update_completeness_at_intervals(self) -> None:
        """Updates which purges are complete, as a member that fell silent is no longer waited for."""
        while True:
            await anyio.sleep(self.sessions.heartbeat_interval / UPDATES_PER_HEARTBEAT)
            self.registry.update_completeness(self.now())
            self.sessions.update_caches_caught_up()
