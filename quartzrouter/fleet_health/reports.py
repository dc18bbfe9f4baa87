"""Validation of the routers' health reports, and the outcomes in them, which decay with age. No I/O.

All times are in microseconds of the aggregator's monotonic clock.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from quartzrouter.fleet_health.messages import CacheObservation
from quartzrouter.quota.budget import SECOND, clock_slack

# Microseconds for which a report counts: five intervals, so four reports may be lost.
REPORT_TTL = 1 * SECOND
# Microseconds between two reports of a router, and between two messages with verdicts.
REPORT_INTERVAL = REPORT_TTL // 5
# Microseconds between two reports or messages with verdicts if an attempt has failed.
URGENT_REPORT_INTERVAL = REPORT_INTERVAL // 5
# Microseconds after which a silent router is considered to have ended.
SILENCE_LIMIT = 30 * SECOND
# Microseconds in which the weight of an outcome halves.
OUTCOME_HALF_LIFE = 500_000
# Decayed attempts; fewer are removed.
NEGLIGIBLE_OUTCOMES = 0.05
# Decayed attempts: about one failure within the last second.
MIN_FAILURES = 0.3
# Share of failed attempts above which a cache counts as failing for a router.
FAILING_SHARE = 0.5
# Share of failing caches above which the router itself is considered cut off.
CUT_OFF_SHARE = 0.5
# Caches in one report.
MAX_OBSERVATIONS = 1_024
# Caches of one router whose outcomes are kept; beyond, those that it reported longest ago are forgotten.
MAX_OUTCOMES = 2 * MAX_OBSERVATIONS
# Routers with a report, to bound memory; the one that has been silent for longest is evicted.
MAX_ROUTERS = 4_096
# Value of one number in a report; a larger value is invalid.
MAX_COUNT = 1_000_000
# Characters in a cache's name.
MAX_NAME_LENGTH = 64


@dataclass(slots=True)
class RecentOutcomes:
    """Outcomes at one cache that a router has reported, with a weight that decays with age.

    :param ejected: True if the router has ejected the cache by its own decision.
    :param succeeded: decayed number of successful attempts.
    :param failed: decayed number of failed attempts.
    """

    ejected: bool = False
    succeeded: float = 0.0
    failed: float = 0.0

    @property
    def has_failures(self) -> bool:
        """Returns True if the router has recently observed failures at the cache."""
        return self.ejected or self.failed >= MIN_FAILURES

    @property
    def mostly_fails(self) -> bool:
        """Returns True if the router has ejected the cache or most of its recent attempts failed."""
        share_is_high = self.failed > FAILING_SHARE * (self.succeeded + self.failed)
        return self.ejected or (self.failed >= MIN_FAILURES and share_is_high)

    def decayed(self, factor: float) -> "RecentOutcomes":
        """Returns the outcomes with reduced weight; the next report states again if the cache is ejected."""
        return RecentOutcomes(False, self.succeeded * factor, self.failed * factor)


@dataclass(slots=True)
class RouterReport:
    """The last report of one router, with the decayed outcomes of earlier ones.

    :param store: the router's store.
    :param process_token: identifies the router's process.
    :param received_at: time of receipt, in microseconds.
    :param observations: observations in the last report, by cache.
    :param interval: microseconds between the last two reports, at most ``REPORT_TTL``.
    :param outcomes: outcomes by cache.
    :param known_caches: number of caches that the router knows.
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
        """Returns True if most caches fail for the router, so that it is considered cut off itself.

        Prevents ejections by a router that has lost its own network: it reports failures of caches that serve
        all other routers well.
        """
        failing = sum(outcomes.mostly_fails for outcomes in self.outcomes.values())
        return failing > CUT_OFF_SHARE * len(self.outcomes) and failing > 1


def is_valid_report(observations: Sequence[CacheObservation], known_caches: int) -> bool:
    """Returns True if a report has a valid length, valid names, and no number below 0 or too large."""
    if len(observations) > MAX_OBSERVATIONS or not 0 <= known_caches <= MAX_COUNT:
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
    """Combines a router's report with the decayed outcomes of its earlier ones.

    If the report is of another process than the previous one, nothing of earlier reports counts, as the
    attempts in flight of the former process have ended.

    :param previous: the router's last report, or None if there is none.
    """
    if previous is None or previous.process_token != process_token:
        previous = RouterReport(store, process_token, now - REPORT_INTERVAL)
    since_previous = max(1, now - previous.received_at)
    factor = 0.5 ** (since_previous / OUTCOME_HALF_LIFE)
    outcomes: dict[str, RecentOutcomes] = {}
    for cache, earlier in previous.outcomes.items():
        if (earlier.succeeded + earlier.failed) * factor > NEGLIGIBLE_OUTCOMES:
            outcomes[cache] = earlier.decayed(factor)
    observations_by_cache = {}
    for observation in observations:
        earlier = outcomes.pop(observation.cache, RecentOutcomes())
        outcomes[observation.cache] = RecentOutcomes(
            observation.ejected,
            earlier.succeeded + observation.succeeded,
            earlier.failed + observation.failed,
        )
        observations_by_cache[observation.cache] = observation
    for cache in list(outcomes)[:-MAX_OUTCOMES]:
        del outcomes[cache]
    interval = min(REPORT_TTL, since_previous)
    return RouterReport(store, process_token, now, observations_by_cache, interval, outcomes, known_caches)


def is_fresh(report: RouterReport, now: int) -> bool:
    """Returns True if a report still counts; allows for clock drift between router and aggregator."""
    return report.received_at >= now - REPORT_TTL - clock_slack(REPORT_TTL)


def _is_valid_observation(observation: CacheObservation) -> bool:
    counts = (observation.succeeded, observation.failed, observation.in_flight, observation.started)
    has_name = 0 < len(observation.cache) <= MAX_NAME_LENGTH
    return has_name and all(0 <= count <= MAX_COUNT for count in counts)
