"""Which side has failed where an attempt has: the endpoint, its fill source, or the request.  No I/O.

Results may tell.  Where they don't, an error, a hang or a refusal counts against the endpoint and the source
it was given; each is judged against its peers, so that what all caches share points at the source, and the
reverse.
"""

from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.in_flight import Attempt, InFlightRequest
from quartzrouter.routing.model import AttemptResult, AttemptStatus, FillStatus, Tier
from quartzrouter.routing.outlier_detection import OutlierDetector
from quartzrouter.routing.retries import RetryPolicy
from quartzrouter.routing.units import MILLISECOND, SECOND

# Time, in microseconds, for which a cache counts as saturated after a refusal.  A refusal speaks of a queue
# that takes about that long to drain.
CACHE_SATURATED_TIME = 1 * SECOND
# The same for a parent or the origin.  It is short, so that the source is soon
# tried again, as it has no second one beside it.
SOURCE_SATURATED_TIME = 250 * MILLISECOND

NOT_SENT = frozenset({AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT})  # these say nothing of the endpoint
EITHER_SIDE = frozenset({AttemptStatus.ERROR, AttemptStatus.TIMED_OUT, AttemptStatus.OVERLOADED})
FAILED_AT_SOURCE = frozenset(
    {FillStatus.SOURCE_OVERLOADED, FillStatus.SOURCE_UNREACHABLE, FillStatus.SOURCE_NOT_FOUND}
)
SERVED_BY_SOURCE = frozenset({FillStatus.FROM_PARENT, FillStatus.FROM_ORIGIN, FillStatus.UNKNOWN})


class FailureAttribution:
    """Turns attempts' results into successes, failures and suspicions of endpoints."""

    def __init__(
        self,
        endpoints: EndpointList,
        health: OutlierDetector,
        retries: RetryPolicy,
        load_in_responses: bool,
    ) -> None:
        """:param load_in_responses: whether responses tell of load and nothing may be health-checked."""
        self.endpoints = endpoints
        self.health = health
        self.retries = retries
        self.load_in_responses = load_in_responses

    def record(self, in_flight: InFlightRequest, attempt: Attempt, result: AttemptResult, now: int) -> None:
        """Records the result of an attempt as a success, failure or suspicion of those it is due to."""
        if result.status is AttemptStatus.SUCCEEDED:
            self._record_success(in_flight, attempt, result, now)
        elif result.status is AttemptStatus.NOT_FOUND and not attempt.may_fill:
            in_flight.caches_without_copy.add(attempt.endpoint)
        else:
            self._record_failure(in_flight, attempt, result, now)

    def _record_success(
        self, in_flight: InFlightRequest, attempt: Attempt, result: AttemptResult, now: int
    ) -> None:
        # Another endpoint has served the request, so its errors were the fault of those that gave them.
        for index in sorted(set().union(*in_flight.unexplained_errors)):
            self._blame(index, now)
        self.health.record_success(attempt.endpoint, now)
        if attempt.may_fill and result.fill_status in SERVED_BY_SOURCE:
            self.health.record_success(attempt.fill_source, now)
        if result.fill_status is FillStatus.HIT and attempt.parent_charge:
            attempt.parent_charge.refund()

    def _record_failure(
        self, in_flight: InFlightRequest, attempt: Attempt, result: AttemptResult, now: int
    ) -> None:
        candidates = self._candidates(attempt, result)
        in_flight.failed_endpoints |= candidates
        if result.status is AttemptStatus.ERROR and result.fill_status is FillStatus.UNKNOWN:
            in_flight.unexplained_errors.append(candidates)
            has_several = len(in_flight.unexplained_errors) > 1
            if has_several or self.retries.allows_attempt(in_flight, now):
                # It may be the request that can't be served: the endpoint that is asked next decides.
                return
        for index in sorted(candidates):
            self._record_failure_of(index, attempt, result, now)

    def _candidates(self, attempt: Attempt, result: AttemptResult) -> set[int]:
        """The endpoints that a failure may be due to."""
        status, fill_status = result.status, result.fill_status
        if fill_status in FAILED_AT_SOURCE:
            return {attempt.fill_source}
        if fill_status is FillStatus.ORIGIN_UNREACHABLE:
            return set(self.endpoints.by_tier[Tier.ORIGIN])
        if fill_status is FillStatus.UNKNOWN and status in EITHER_SIDE:
            if attempt.is_known_miss and status is AttemptStatus.TIMED_OUT:
                return {attempt.fill_source}
            return {attempt.endpoint, attempt.fill_source}
        return set() if status in NOT_SENT else {attempt.endpoint}

    def _record_failure_of(self, index: int, attempt: Attempt, result: AttemptResult, now: int) -> None:
        status = result.status
        tier = self.endpoints.by_index[index].tier
        if status is AttemptStatus.OVERLOADED:
            is_unexplained = result.fill_status is FillStatus.UNKNOWN
            if tier is Tier.CACHE and is_unexplained and index != attempt.fill_source:
                return  # a fill was asked for, and far more often it is the source that refuses
            duration = CACHE_SATURATED_TIME if tier is Tier.CACHE else SOURCE_SATURATED_TIME
            self.health.by_index[index].saturated_until = now + duration
        if self._needs_only_check(status, tier):
            self.health.suspect(index, now)
        else:
            is_refused = status is AttemptStatus.CONNECTION_REFUSED and index == attempt.endpoint
            self._blame(index, now, connection_failed=is_refused)

    def _needs_only_check(self, status: AttemptStatus, tier: Tier) -> bool:
        """Whether a result is a reason to check an endpoint's health, but no failure of it.

        A hang may be a large object.  It counts as a failure of a cache where nothing may be health-checked.
        """
        if status is AttemptStatus.OVERLOADED:
            return tier is not Tier.PARENT
        if status is AttemptStatus.TIMED_OUT:
            return not (self.load_in_responses and tier is Tier.CACHE)
        return status in (AttemptStatus.NOT_FOUND, AttemptStatus.NOT_CONNECTED)

    def _blame(self, index: int, now: int, connection_failed: bool = False) -> None:
        if index not in self.endpoints.by_index:
            return
        if not connection_failed:
            self.health.suspect(index, now)
        self.health.record_failure(index, now, connection_failed)
