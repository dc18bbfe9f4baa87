"""Which caches of a store all its routers are to eject. No I/O.

An ejection needs a quorum of reporters, and more of them than of routers that the cache serves well.  Few
caches of a store are ever ejected this way, and each ejection expires by itself.  All times are
microseconds.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from quartzrouter.fleet_health.messages import EjectionVerdict
from quartzrouter.fleet_health.reports import MIN_FAILURES, RecentOutcomes, RouterReport
from quartzrouter.quota.budget import SECOND

MIN_REPORTERS = 2  # quorum: one router alone takes no cache from the others
MIN_ERRORS = 3  # decayed failures over all reporters: fewer are chance
MIN_ERROR_SHARE = 0.25  # of failures in a cache's outcomes, over all reporters ...
PEER_ERROR_FACTOR = 2  # ... and by how much it must exceed the share at the other caches
MAX_EJECTED_SHARE = 1 / 3  # of a store's caches: the others must be able to carry the load
BASE_EJECTION_TIME = 1 * SECOND  # of an ejection, after the last report that confirms it
MAX_EJECTION_TIME = 8 * SECOND  # of a cache that is ejected again and again: twice as long each time
EJECTION_MEMORY = 30 * SECOND  # after an ejection's end, from which the next one is as short as the first


@dataclass(slots=True)
class EjectionRecord:
    """A cache that is or was ejected.

    :param expires_at: microseconds; 0 before the first ejection.
    :param duration: microseconds of the current or last ejection.
    :param failures: that the reporters told of when it was last confirmed.
    """

    expires_at: int = 0
    duration: int = BASE_EJECTION_TIME
    failures: int = 0

    def confirm(self, failures: int, now: int) -> None:
        """Begins an ejection, or prolongs the current one."""
        if self.expires_at <= now:
            is_repeated = self.expires_at and now - self.expires_at < EJECTION_MEMORY
            self.duration = min(MAX_EJECTION_TIME, 2 * self.duration) if is_repeated else BASE_EJECTION_TIME
        self.expires_at = now + self.duration
        self.failures = failures


class CacheVotes(NamedTuple):
    """What the reporters say of one cache.

    :param cache: its name.
    :param failing: names of routers that it fails.
    :param served_well: names of routers that it serves well.
    :param ejected: how many routers have ejected it by themselves.
    """

    cache: str
    failing: tuple[str, ...]
    served_well: tuple[str, ...]
    ejected: int

    @property
    def margin(self) -> int:
        """By how many routers those that it fails outnumber the others."""
        return len(self.failing) - len(self.served_well)


class OutcomeSum(NamedTuple):
    """Decayed attempts, over several routers."""

    succeeded: float
    failed: float


class CandidateVerdict(NamedTuple):
    """A verdict before the limit on ejected caches.

    :param margin: of the votes; 0 where a current ejection is not confirmed, but has not expired either.
    """

    margin: int
    verdict: EjectionVerdict


class EjectionDecider:
    """Decides on ejections, and remembers them."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], EjectionRecord] = {}  # by store and cache

    def verdicts(
        self, store: str, reports: Mapping[str, RouterReport], now: int
    ) -> tuple[EjectionVerdict, ...]:
        """The caches of a store that are to be ejected now.

        :param reports: those of the store's routers that are fresh, by router.
        """
        reporters = {name: report for name, report in sorted(reports.items()) if not report.is_cut_off}
        total = _sum([outcomes for report in reporters.values() for outcomes in report.outcomes.values()])
        found = []
        for cache in self._candidates(store, reporters, now):
            candidate = self._judge(store, cache, reporters, total, now)
            if candidate:
                found.append(candidate)
        found.sort(key=lambda candidate: (-candidate.margin, candidate.verdict.cache))
        self._forget_old_records(now)
        known_caches = max((report.known_caches for report in reports.values()), default=0)
        most = int(MAX_EJECTED_SHARE * known_caches)
        return tuple(self._enforce(store, candidate, now) for candidate in found[:most])

    def _candidates(self, store: str, reporters: Mapping[str, RouterReport], now: int) -> set[str]:
        """Caches that a reporter has seen fail, and those that are ejected."""
        failing = {
            cache
            for report in reporters.values()
            for cache, outcomes in report.outcomes.items()
            if outcomes.has_failures
        }
        ejected = {
            cache for (of, cache), record in self.records.items() if of == store and record.expires_at > now
        }
        return failing | ejected

    def _judge(
        self, store: str, cache: str, reporters: Mapping[str, RouterReport], total: OutcomeSum, now: int
    ) -> CandidateVerdict | None:
        """The verdict on one cache, where it is to be ejected or is ejected still."""
        votes = _votes(reporters, cache)
        own = _sum([each.outcomes[cache] for each in reporters.values() if cache in each.outcomes])
        verdict = EjectionVerdict(cache, 0, votes.failing, votes.served_well, round(own.failed))
        has_quorum = len(votes.failing) >= MIN_REPORTERS and votes.margin > 0
        if has_quorum and (votes.ejected >= MIN_REPORTERS or _is_outlier(own, total)):
            return CandidateVerdict(votes.margin, verdict)
        record = self.records.get((store, cache))
        if record and record.expires_at > now:
            return CandidateVerdict(0, verdict._replace(failures=record.failures))
        return None

    def _enforce(self, store: str, candidate: CandidateVerdict, now: int) -> EjectionVerdict:
        """Begins an ejection, or goes on with it for as long as it is confirmed."""
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
    """What a router obeys of the verdicts that it receives.

    Guards against a faulty aggregator: whatever it says, few caches are ejected, and none for long.

    :param known_caches: how many caches the router knows.
    :param now: microseconds of the router's clock.
    :returns: by cache, until when it is ejected, microseconds of the same clock.
    """
    accepted = verdicts[: int(MAX_EJECTED_SHARE * known_caches)]
    return {
        verdict.cache: now + min(verdict.expires_in, MAX_EJECTION_TIME)
        for verdict in accepted
        if verdict.expires_in > 0
    }


def _votes(reporters: Mapping[str, RouterReport], cache: str) -> CacheVotes:
    """What each reporter that has used a cache lately says of it."""
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
    """Whether a cache fails far more often than the others do.

    Guards against ejections for errors that all caches show, those of the origin say.

    :param own: over all reporters, at this cache.
    :param total: over all reporters, at all caches.
    """
    peer_attempts = total.succeeded + total.failed - own.succeeded - own.failed
    peer_error_share = (total.failed - own.failed) / max(1.0, peer_attempts)
    limit = max(MIN_ERROR_SHARE, PEER_ERROR_FACTOR * peer_error_share)
    return own.failed >= MIN_ERRORS and own.failed > limit * (own.succeeded + own.failed)


def _sum(outcomes: Sequence[RecentOutcomes]) -> OutcomeSum:
    return OutcomeSum(sum(each.succeeded for each in outcomes), sum(each.failed for each in outcomes))
