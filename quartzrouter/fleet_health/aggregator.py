"""Aggregates the reports of all routers: which caches to eject, and how busy each is. No I/O."""

from quartzrouter.fleet_health.ejection import EjectionDecider
from quartzrouter.fleet_health.messages import LOAD_UNKNOWN, CacheLoad, CacheObservation, EjectionVerdict
from quartzrouter.fleet_health.reports import (
    MAX_ROUTERS,
    SILENCE_LIMIT,
    RouterReport,
    is_fresh,
    is_valid_report,
    next_report,
)


class HealthAggregator:
    """Holds the reports of all routers; all times are microseconds of the purge log's monotonic clock."""

    def __init__(self) -> None:
        self.reports: dict[str, RouterReport] = {}  # by router, longest silent first
        self.ejections = EjectionDecider()
        self.invalid_reports = 0

    def record_report(
        self,
        router: str,
        process_token: str,
        store: str,
        observations: tuple[CacheObservation, ...],
        now: int,
        known_caches: int,
    ) -> bool:
        """Records a router's report; an invalid one is counted and ignored as a whole.

        A cache that is not mentioned has nothing new to report, and no attempt of the router in flight.

        :param router: the router's name, as known from its connection.
        :param process_token: identifies the router's process, as known from its connection.
        :param known_caches: number of caches that the router knows.
        :returns: True if the report is valid.
        """
        if not is_valid_report(observations, known_caches):
            self.invalid_reports += 1
            return False
        previous = self.reports.pop(router, None)
        report = next_report(previous, process_token, store, observations, now, known_caches)
        if len(self.reports) >= MAX_ROUTERS:
            del self.reports[next(iter(self.reports))]
        self.reports[router] = report
        return True

    def remove_router(self, router: str) -> None:
        """Removes a router that has ended, so it has nothing in flight any more."""
        self.reports.pop(router, None)

    def expire(self, now: int) -> None:
        """Removes routers that have been silent for long, as their requests in flight must have ended."""
        silent = [name for name, report in self.reports.items() if now - report.received_at > SILENCE_LIMIT]
        for name in silent:
            del self.reports[name]

    def stores(self) -> list[str]:
        """Returns the stores whose routers report, sorted."""
        return sorted({report.store for report in self.reports.values()})

    def verdicts(self, store: str, now: int) -> tuple[EjectionVerdict, ...]:
        """Returns the caches of a store that are to be ejected now."""
        return self.ejections.verdicts(store, self._fresh_reports(store, now), now)

    def loads(self, store: str, now: int) -> tuple[CacheLoad, ...]:
        """Returns how busy the caches of a store are.

        Prevents a cache from looking idle because a router is silent: a report that is too old is ignored,
        and sums that lack a router's report are unknown.
        """
        reports = self._fresh_reports(store, now)
        routers = sum(report.store == store for report in self.reports.values())
        has_silent_router = routers > len(reports)
        caches = sorted({cache for report in reports.values() for cache in report.observations})
        return tuple(_load(cache, reports, has_silent_router, now) for cache in caches)

    def _fresh_reports(self, store: str, now: int) -> dict[str, RouterReport]:
        return {
            name: report
            for name, report in self.reports.items()
            if report.store == store and is_fresh(report, now)
        }


def _load(cache: str, reports: dict[str, RouterReport], has_silent_router: bool, now: int) -> CacheLoad:
    reporting = [report for report in reports.values() if cache in report.observations]
    observations = [report.observations[cache] for report in reporting]
    age = max(now - report.received_at for report in reporting)
    error_bound = sum(
        _attempts_since(report, observation, now)
        for report, observation in zip(reporting, observations, strict=True)
    )
    in_flight = (
        LOAD_UNKNOWN if has_silent_router else sum(observation.in_flight for observation in observations)
    )
    return CacheLoad(cache, in_flight, age, error_bound, len(reporting))


def _attempts_since(report: RouterReport, observation: CacheObservation, now: int) -> int:
    """Returns the attempts that a router may have started since its report at its last rate, rounded up."""
    return -(-observation.started * (now - report.received_at) // report.interval)
