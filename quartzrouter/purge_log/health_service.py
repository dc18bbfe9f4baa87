"""Aggregates routers' health reports, and tells routers which caches to eject."""

from collections.abc import Callable, Collection

import anyio

from quartzrouter.fleet_health.aggregator import HealthAggregator
from quartzrouter.fleet_health.reports import REPORT_INTERVAL, URGENT_REPORT_INTERVAL
from quartzrouter.purge_log.session import Session
from quartzrouter.purges.members import Member
from quartzrouter.purges.messages import EjectionVerdicts, HealthReply, HealthReport, StoreHealth

MICROSECONDS_PER_SECOND = 1e6


class HealthService:
    """Aggregates health reports, and remembers which caches routers were last told to eject.

    :param steady_clock: returns microseconds of the monotonic clock.
    """

    def __init__(self, steady_clock: Callable[[], int]):
        self.steady_clock = steady_clock
        self.aggregator = HealthAggregator()
        self.failure_reported = anyio.Event()  # set once a router reports failures after the last verdicts
        self.ejected: dict[str, set[str]] = {}  # caches by store, as last sent to routers
        self.next_full_at = 0  # microseconds; even unchanged verdicts of every store are sent then

    def record_report(self, member: Member, report: HealthReport) -> None:
        """Records a router's report."""
        self.aggregator.record_report(
            member.name,
            member.token,
            report.store,
            report.observations,
            self.steady_clock(),
            report.cache_count,
        )
        if any(observation.failed for observation in report.observations):
            self.failure_reported.set()

    def remove_router(self, member_name: str) -> None:
        """Forgets the reports of a router that left on purpose."""
        self.aggregator.remove_router(member_name)

    async def run(self, sessions: Callable[[], Collection[Session]]) -> None:
        """Sends verdicts until it is cancelled.

        Routers are sent verdicts at intervals while there are caches to eject, once more when there are none
        left, and immediately if reported failures have changed the verdicts.

        :param sessions: returns the sessions of all members.
        """
        while True:
            self.failure_reported = anyio.Event()
            await anyio.sleep(URGENT_REPORT_INTERVAL / MICROSECONDS_PER_SECOND)
            full_delay = max(0, self.next_full_at - self.steady_clock()) / MICROSECONDS_PER_SECOND
            with anyio.move_on_after(full_delay):
                await self.failure_reported.wait()
            self._send_verdicts([session for session in sessions() if session.reported_store])

    def _send_verdicts(self, sessions: list[Session]) -> None:
        now = self.steady_clock()
        is_full = now >= self.next_full_at
        self.aggregator.expire(now)
        stores = {session.reported_store for session in sessions}
        verdicts = {store: self.aggregator.verdicts(store, now) for store in stores}
        ejected = {store: {verdict.cache for verdict in verdicts[store]} for store in stores}
        stores_to_tell = {store for store in stores if is_full or ejected[store] != self.ejected.get(store)}
        self.ejected = ejected
        if is_full:
            self.next_full_at = now + REPORT_INTERVAL - URGENT_REPORT_INTERVAL
        sessions = [session for session in sessions if session.reported_store in stores_to_tell]
        stores_with_loads = {session.reported_store for session in sessions if session.wants_loads}
        loads = {store: self._requests_in_flight(store, now) for store in stores_with_loads}
        for session in sessions:
            store = session.reported_store
            if verdicts[store] or session.was_sent_verdicts or session.wants_loads:
                session.was_sent_verdicts = bool(verdicts[store])
                session_loads = loads[store] if session.wants_loads else None
                session.queue(EjectionVerdicts(verdicts[store], session_loads))

    def _requests_in_flight(self, store: str, now: int) -> dict[str, int]:
        """Returns the number of requests in flight at each cache of a store."""
        return {load.cache: load.in_flight for load in self.aggregator.loads(store, now)}

    def status(self, epoch: int) -> HealthReply:
        """Returns the health of all caches, by store."""
        now = self.steady_clock()
        return HealthReply(
            epoch,
            tuple(
                StoreHealth(store, self.aggregator.verdicts(store, now), self.aggregator.loads(store, now))
                for store in self.aggregator.stores()
            ),
        )
