"""Puts together the reports of all routers: which caches to eject, and how busy each is. No I/O."""

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
    """The reports of all routers; all times are microseconds of the purge log's monotonic clock."""

    def __init__(self) -> None:
        self.reports: dict[str, RouterReport] = {}  # by router, the one silent for longest first
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

        Of a cache that isn't mentioned the router has no news, and nothing in flight there.

        :param router: its name, as its connection shows.
        :param process_token: of its process, as its connection shows.
        :param known_caches: how many caches the router knows.
        :returns: whether the report is valid.
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
        """A router has ended: nothing of it is in flight any more."""
        self.reports.pop(router, None)

    def expire(self, now: int) -> None:
        """Forgets routers that are silent for long: what they had in flight must be over."""
        silent = [name for name, report in self.reports.items() if now - report.received_at > SILENCE_LIMIT]
        for name in silent:
            del self.reports[name]

    def stores(self) -> list[str]:
        """The stores whose routers report, sorted."""
        return sorted({report.store for report in self.reports.values()})

    def verdicts(self, store: str, now: int) -> tuple[EjectionVerdict, ...]:
        """The caches of a store that are to be ejected now."""
        return self.ejections.verdicts(store, self._fresh_reports(store, now), now)

    def loads(self, store: str, now: int) -> tuple[CacheLoad, ...]:
        """How busy the caches of a store are.

        Guards against a cache that looks idle because a router is silent: what is too old is unknown, and so
        is each sum that lacks it.
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
    using = [report for report in reports.values() if cache in report.observations]
    observations = [report.observations[cache] for report in using]
    age = max(now - report.received_at for report in using)
    error_bound = sum(
        _attempts_since(report, seen, now) for report, seen in zip(using, observations, strict=True)
    )
    in_flight = LOAD_UNKNOWN if has_silent_router else sum(seen.in_flight for seen in observations)
    return CacheLoad(cache, in_flight, age, error_bound, len(using))


def _attempts_since(report: RouterReport, seen: CacheObservation, now: int) -> int:
    """Attempts that a router may have started since its report, at its last pace, rounded up."""
    return -(-seen.started * (now - report.received_at) // report.interval)
