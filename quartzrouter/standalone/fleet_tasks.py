"""Background tasks of a standalone router in a fleet: quota requests, reports, stored purges, and logs."""

from collections.abc import Callable

import anyio

from quartzrouter.fleet_health.reports import REPORT_INTERVAL, URGENT_REPORT_INTERVAL
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.purges.fleet_purges import FleetPurges
from quartzrouter.quota.client import QuotaCounters, describe_changes
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.standalone import purge_membership
from quartzrouter.standalone.state_machine import (
    ReportHealth,
    RequestQuota,
    StandaloneEvent,
    StandaloneStateMachine,
)

MICROSECONDS_PER_SECOND = 1e6


class FleetTasks:
    """The background tasks; each runs until it is cancelled.

    :param fleet: the fleet's purges at this router.
    :param multi_pool_router: holds this router's shares of shared limits.
    :param state_machine: holds refusals of quota, and which purges were applied.
    :param on_event: called with each event.
    :param log: receives lines about stale copies, merged purges, quota and failures to store purges.
    """

    def __init__(
        self,
        fleet: FleetPurges,
        multi_pool_router: MultiPoolRouter,
        state_machine: StandaloneStateMachine,
        on_event: Callable[[StandaloneEvent], None],
        log: RateLimitedLog,
    ):
        self._fleet = fleet
        self._multi_pool_router = multi_pool_router
        self._state_machine = state_machine
        self._on_event = on_event
        self._log = log

    def start(self, tasks: anyio.abc.TaskGroup, reports_health: bool, purges_file: str) -> None:
        """Starts the tasks.

        :param reports_health: True if the routers tell each other which endpoints fail.
        :param purges_file: the file for purges in force; empty if they are not stored.
        """
        tasks.start_soon(self._log_purge_costs)
        tasks.start_soon(self._request_quota)
        tasks.start_soon(self._log_quota)
        if reports_health:
            tasks.start_soon(self._report_health)
        if purges_file:
            tasks.start_soon(self._store_purges, purges_file)

    async def _log_purge_costs(self) -> None:
        """Logs the number of responses that were too old and of index entries that were merged, if any."""
        stale_copies = 0
        merged = 0
        while True:
            await anyio.sleep(purge_membership.REPORT_INTERVAL)
            new_stale_copies = self._fleet.stale_copies - stale_copies
            if new_stale_copies > 0:
                self._log.say("purges", f"{new_stale_copies} responses were older than a purge, and retried")
            new_merged = self._fleet.index.merged_entries - merged
            if new_merged > 0:
                self._log.say("purges", f"{new_merged} purges were widened to their scope: too many to keep")
            stale_copies = self._fleet.stale_copies
            merged = self._fleet.index.merged_entries

    async def _request_quota(self) -> None:
        """Requests shares of limits and of slow starts at the times at which they are due."""
        while True:
            wait = self._multi_pool_router.quota_client.time_until_next_request()
            if slow_start_wait := self._multi_pool_router.slow_start_client.request_interval():
                wait = min(wait, slow_start_wait)
            await anyio.sleep(wait / MICROSECONDS_PER_SECOND)
            self._on_event(RequestQuota())

    async def _report_health(self) -> None:
        """Reports failures at each short interval, and all observations at each long one."""
        reports_per_round = REPORT_INTERVAL // URGENT_REPORT_INTERVAL
        while True:
            for number in range(reports_per_round):
                await anyio.sleep(URGENT_REPORT_INTERVAL / MICROSECONDS_PER_SECOND)
                self._on_event(ReportHealth(only_failures=number < reports_per_round - 1))

    async def _log_quota(self) -> None:
        """Logs when this router starts and stops using its safe capacity, and which requests were refused."""
        counters_before: dict[str, QuotaCounters] = {}
        while True:
            await anyio.sleep(purge_membership.REPORT_INTERVAL)
            counters_by_limit = self._multi_pool_router.quota_client.counters()
            for limit, counters in counters_by_limit.items():
                if changes := describe_changes(counters, counters_before.get(limit, QuotaCounters())):
                    self._log.say("shares", f"limit {limit}: {changes}")
            counters_before = counters_by_limit
            for budget, (place, reason, remedy) in self._state_machine.quota_refusals.items():
                self._log.say("shares", f"limit {budget}: the ledger refuses {place}: {reason}; {remedy}")
            self._state_machine.quota_refusals.clear()

    async def _store_purges(self, path: str) -> None:
        """Stores the purges in force whenever there are new ones.

        This runs in a thread: encoding and writing 100,000 purges takes a tenth of a second, which would
        block the event loop.
        """
        stored_up_to = self._state_machine.replica.applied_up_to
        while True:
            await anyio.sleep(purge_membership.SAVE_INTERVAL)
            applied_up_to = self._state_machine.replica.applied_up_to
            if applied_up_to == stored_up_to:
                continue
            stored = purge_membership.stored_purges(self._fleet, applied_up_to)
            try:
                await anyio.to_thread.run_sync(purge_membership.save, path, stored)
                stored_up_to = applied_up_to
            except OSError as error:
                self._log.say("ledger", f"{path}: {error.strerror or error}; writing it is retried")
