"""Decides which caches of a store all its routers are to eject. No I/O.

An ejection needs a quorum of routers that report failures, and more of them than of routers that the cache
serves well.  Only a limited share of a store's caches is ejected this way, and each ejection expires by
itself.  All times are in microseconds.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from quartzrouter.fleet_health.messages import EjectionVerdict
from quartzrouter.fleet_health.reports import MIN_FAILURES, RecentOutcomes, RouterReport
from quartzrouter.quota.budget import SECOND

# Quorum of routers that report failures: one router alone cannot eject a cache for the others.
MIN_REPORTERS = 2
# Decayed failures over all reporters; fewer may be due to chance.
MIN_ERRORS = 3
# A cache is an outlier if its share of failures over all reporters exceeds both this value ...
MIN_ERROR_SHARE = 0.25
# ... and this multiple of the share at the other caches.
PEER_ERROR_FACTOR = 2
# Maximum share of a store's caches that are ejected: the others must be able to carry the load.
MAX_EJECTED_SHARE = 1 / 3
# Duration of an ejection after the last report that confirms it.
BASE_EJECTION_TIME = 1 * SECOND
# Maximum duration for a cache that is ejected repeatedly; the duration doubles each time.
MAX_EJECTION_TIME = 8 * SECOND
# Time after the end of an ejection from which the next one has the base duration again.
EJECTION_MEMORY = 30 * SECOND


@dataclass(slots=True)
class EjectionRecord:
    """The current or last ejection of a cache.

    :param expires_at: expiry in microseconds; 0 before the first ejection.
    :param duration: microseconds of the current or last ejection.
    :param failures: failures that were reported when the ejection was last confirmed.
    """

    expires_at: int = 0
    duration: int = BASE_EJECTION_TIME
    failures: int = 0

    def confirm(self, failures: int, now: int) -> None:
        """Begins an ejection, or extends the current one."""
        if self.expires_at <= now:
            is_repeated = self.expires_at and now - self.expires_at < EJECTION_MEMORY
            self.duration = min(MAX_EJECTION_TIME, 2 * self.duration) if is_repeated else BASE_EJECTION_TIME
        self.expires_at = now + self.duration
        self.failures = failures


class CacheVotes(NamedTuple):
    """The reporters' votes on one cache.

    :param cache: the cache's name.
    :param failing: names of routers with recent failures at the cache.
    :param served_well: names of routers that the cache serves well.
    :param ejected: number of routers that have ejected the cache by their own decision.
    """

    cache: str
    failing: tuple[str, ...]
    served_well: tuple[str, ...]
    ejected: int

    @property
    def margin(self) -> int:
        """Returns the number of routers with failures, less the number that are served well."""
        return len(self.failing) - len(self.served_well)


class OutcomeSum(NamedTuple):
    """Decayed numbers of attempts, summed over several routers."""

    succeeded: float
    failed: float


class CandidateVerdict(NamedTuple):
    """A verdict before the limit on ejected caches is applied.

    :param margin: margin of the votes; 0 if a current ejection is not confirmed, but has not expired either.
    :param verdict: the verdict.
    """

    margin: int
    verdict: EjectionVerdict


class EjectionDecider:
    """Decides on ejections, and keeps a record of them."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], EjectionRecord] = {}  # by store and cache

    def verdicts(
        self, store: str, reports: Mapping[str, RouterReport], now: int
    ) -> tuple[EjectionVerdict, ...]:
        """Returns the caches of a store that are to be ejected now.

        :param reports: fresh reports of the store's routers, by router.
        """
        reporters = {name: report for name, report in sorted(reports.items()) if not report.is_cut_off}
        total = _sum([outcomes for report in reporters.values() for outcomes in report.outcomes.values()])
        candidates = []
        for cache in self._candidates(store, reporters, now):
            candidate = self._evaluate_cache(store, cache, reporters, total, now)
            if candidate:
                candidates.append(candidate)
        candidates.sort(key=lambda candidate: (-candidate.margin, candidate.verdict.cache))
        self._forget_old_records(now)
        known_caches = max((report.known_caches for report in reports.values()), default=0)
        max_ejected = int(MAX_EJECTED_SHARE * known_caches)
        return tuple(self._record_ejection(store, candidate, now) for candidate in candidates[:max_ejected])

    def _candidates(self, store: str, reporters: Mapping[str, RouterReport], now: int) -> set[str]:
        """Returns the caches at which a reporter has observed failures, and those that are ejected."""
        failing = {
            cache
            for report in reporters.values()
            for cache, outcomes in report.outcomes.items()
            if outcomes.has_failures
        }
        ejected = {
            cache
            for (record_store, cache), record in self.records.items()
            if record_store == store and record.expires_at > now
        }
        return failing | ejected

    def _evaluate_cache(
        self, store: str, cache: str, reporters: Mapping[str, RouterReport], total: OutcomeSum, now: int
    ) -> CandidateVerdict | None:
        """Returns the verdict on one cache, or None if it is neither to be ejected nor still ejected."""
        votes = _count_votes(reporters, cache)
        own = _sum([each.outcomes[cache] for each in reporters.values() if cache in each.outcomes])
        verdict = EjectionVerdict(cache, 0, votes.failing, votes.served_well, round(own.failed))
        has_quorum = len(votes.failing) >= MIN_REPORTERS and votes.margin > 0
        if has_quorum and (votes.ejected >= MIN_REPORTERS or _is_outlier(own, total)):
            return CandidateVerdict(votes.margin, verdict)
        record = self.records.get((store, cache))
        if record and record.expires_at > now:
            return CandidateVerdict(0, verdict._replace(failures=record.failures))
        return None

    def _record_ejection(self, store: str, candidate: CandidateVerdict, now: int) -> EjectionVerdict:
        """Begins an ejection, or extends the current one if it is confirmed; returns the updated verdict."""
        verdict = candidate.verdict
        record = self.records.setdefault((store, verdict.cache), EjectionRecord())
        if candidate.margin > 0:
            record.confirm(verdict.failures, now)
        return verdict._replace(expires_in=record.expires_at - now, failures=record.failures)

    def _forget_old_records(self, now: int) -> None:
        old = [key for key, record in self.records.items() if record.expires_at + EJECTION_MEMORY < now]
        for key in old:
            del self.records[key]


def accepted_ejections(verdicts: Sequence[EjectionVerdict], known_caches: int, now: int) -> dict[str, int]:
    """Returns the ejections that a router accepts from the verdicts that it receives.

    Limits the effect of a faulty aggregator: whatever it sends, few caches are ejected, and none for long.

    :param known_caches: number of caches that the router knows.
    :param now: current time in microseconds of the router's clock.
    :returns: expiry of each ejection in microseconds of the same clock, by cache.
    """
    accepted = verdicts[: int(MAX_EJECTED_SHARE * known_caches)]
    return {
        verdict.cache: now + min(verdict.expires_in, MAX_EJECTION_TIME)
        for verdict in accepted
        if verdict.expires_in > 0
    }


def _count_votes(reporters: Mapping[str, RouterReport], cache: str) -> CacheVotes:
    """Counts the votes of the reporters that have recently used a cache."""
    failing, served_well = [], []
    ejected = 0
    for name, report in reporters.items():
        outcomes = report.outcomes.get(cache)
        if outcomes is None:
            continue
        if outcomes.has_failures:
            failing.append(name)
            ejected += outcomes.ejected
        elif outcomes.succeeded >= MIN_FAILURES:
            served_well.append(name)
    return CacheVotes(cache, tuple(failing), tuple(served_well), ejected)


def _is_outlier(own: OutcomeSum, total: OutcomeSum) -> bool:
    """Returns True if a cache fails far more often than the others do.

    Prevents ejections for errors that occur at all caches, such as those of the origin.

    :param own: outcomes at this cache, over all reporters.
    :param total: outcomes at all caches, over all reporters.
    """
    peer_attempts = total.succeeded + total.failed - own.succeeded - own.failed
    peer_error_share = (total.failed - own.failed) / max(1.0, peer_attempts)
    limit = max(MIN_ERROR_SHARE, PEER_ERROR_FACTOR * peer_error_share)
    return own.failed >= MIN_ERRORS and own.failed > limit * (own.succeeded + own.failed)


def _sum(outcomes: Sequence[RecentOutcomes]) -> OutcomeSum:
    return OutcomeSum(sum(each.succeeded for each in outcomes), sum(each.failed for each in outcomes))
