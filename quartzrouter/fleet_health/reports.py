"""What the routers have reported of their caches, as far as it counts still. No I/O.

All times are microseconds of the aggregator's monotonic clock.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from quartzrouter.fleet_health.messages import CacheObservation
from quartzrouter.quota.budget import SECOND, clock_slack

REPORT_TTL = 1 * SECOND  # microseconds for which a report counts: five intervals, so four may be lost
REPORT_INTERVAL = REPORT_TTL // 5  # microseconds between two reports of a router, and two answers
URGENT_REPORT_INTERVAL = REPORT_INTERVAL // 5  # the same where an attempt has failed
SILENCE_LIMIT = 30 * SECOND  # microseconds after which a silent router is taken for ended
OUTCOME_HALF_LIFE = 500_000  # microseconds in which the weight of an outcome halves
NEGLIGIBLE_OUTCOMES = 0.05  # decayed attempts: less than that is forgotten
MIN_FAILURES = 0.3  # decayed attempts: one failure within the last second
FAILING_SHARE = 0.5  # of failures, above which a cache fails a router
CUT_OFF_SHARE = 0.5  # of caches that fail a router, above which the router itself is taken for cut off
MAX_OBSERVATIONS = 1_024  # caches in one report
MAX_ROUTERS = 4_096  # beyond it the one silent for longest is forgotten, which bounds memory
MAX_FIGURE = 1_000_000  # of one figure in a report: more can't be meant
MAX_NAME_LENGTH = 64  # characters of a cache's name


@dataclass(slots=True)
class RecentOutcomes:
    """Outcomes at one cache that a router has reported; the older, the less they weigh.

    :param ejected: the router has ejected it by itself.
    :param succeeded: attempts, decayed.
    :param failed: attempts, decayed.
    """

    ejected: bool = False
    succeeded: float = 0.0
    failed: float = 0.0

    @property
    def has_failures(self) -> bool:
        """Whether the router has seen it fail lately."""
        return self.ejected or self.failed >= MIN_FAILURES

    @property
    def mostly_fails(self) -> bool:
        """Whether it fails this router more often than not."""
        share_is_high = self.failed > FAILING_SHARE * (self.succeeded + self.failed)
        return self.ejected or (self.failed >= MIN_FAILURES and share_is_high)

    def decayed(self, factor: float) -> "RecentOutcomes":
        """What is left of it by the next report, which says anew whether the cache is ejected."""
        return RecentOutcomes(False, self.succeeded * factor, self.failed * factor)


@dataclass(slots=True)
class RouterReport:
    """The last report of one router, and what is left of earlier ones.

    :param store: of the router.
    :param process_token: of its process.
    :param received_at: microseconds.
    :param observations: of the last report, by cache.
    :param interval: microseconds between the last two reports.
    :param outcomes: by cache.
    :param known_caches: how many caches the router knows.
    """

    store: str
    process_token: str
    received_at: int
    observations: dict[str, CacheObservation] = field(default_factory=dict)
    interval: int = REPORT_INTERVAL
    outcomes: dict[str, RecentOutcomes] = field(default_factory=dict)
    known_caches: int = 0

    @property
    def is_cut_off(self) -> bool:
        """Whether the router itself is taken for cut off, as most caches fail it.

        Guards against ejections by a router that has lost its own network: it reports failures of caches that
        serve all others well.
        """
        failing = sum(outcomes.mostly_fails for outcomes in self.outcomes.values())
        return failing > CUT_OFF_SHARE * len(self.outcomes) and failing > 1


def is_valid_report(observations: Sequence[CacheObservation], known_caches: int) -> bool:
    """Whether a report can be meant: no amount is negative or too large."""
    if len(observations) > MAX_OBSERVATIONS or not 0 <= known_caches <= MAX_FIGURE:
        return False
    return all(_is_valid_observation(observation) for observation in observations)


def next_report(
    previous: RouterReport | None,
    process_token: str,
    store: str,
    observations: Iterable[CacheObservation],
    now: int,
    known_caches: int,
) -> RouterReport:
    """Joins a router's report with what is left of its earlier ones.

    Another process under the router's name starts from nothing: what the former one had in flight has ended.

    :param previous: the router's last report, if it is known.
    """
    if previous is None or previous.process_token != process_token:
        previous = RouterReport(store, process_token, now - REPORT_INTERVAL)
    since_previous = max(1, now - previous.received_at)
    factor = 0.5 ** (since_previous / OUTCOME_HALF_LIFE)
    outcomes: dict[str, RecentOutcomes] = {}
    for cache, old in previous.outcomes.items():
        if (old.succeeded + old.failed) * factor > NEGLIGIBLE_OUTCOMES:
            outcomes[cache] = old.decayed(factor)
    by_cache = {}
    for seen in observations:
        old = outcomes.get(seen.cache, RecentOutcomes())
        outcomes[seen.cache] = RecentOutcomes(
            seen.ejected, old.succeeded + seen.succeeded, old.failed + seen.failed
        )
        by_cache[seen.cache] = seen
    interval = min(REPORT_TTL, since_previous)
    return RouterReport(store, process_token, now, by_cache, interval, outcomes, known_caches)


def is_fresh(report: RouterReport, now: int) -> bool:
    """Whether a report counts still; the clocks of router and aggregator may differ in pace."""
    return report.received_at >= now - REPORT_TTL - clock_slack(REPORT_TTL)


def _is_valid_observation(seen: CacheObservation) -> bool:
    figures = (seen.succeeded, seen.failed, seen.in_flight, seen.started)
    has_name = 0 < len(seen.cache) <= MAX_NAME_LENGTH
    return has_name and all(0 <= figure <= MAX_FIGURE for figure in figures)
