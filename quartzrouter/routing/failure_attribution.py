"""Attribution of failed attempts to the endpoint, its fill source or the request.  No I/O.

If a result doesn't say which side failed, an error, a timeout or a rejection counts against both the endpoint
and its fill source.  Each is compared with its peers, so failures that all caches share are attributed to
their source, and vice versa.
"""

from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.in_flight import Attempt, InFlightRequest
from quartzrouter.routing.model import AttemptResult, AttemptStatus, FillStatus, Tier
from quartzrouter.routing.outlier_detection import OutlierDetector
from quartzrouter.routing.retries import RetryPolicy
from quartzrouter.routing.units import MILLISECOND, SECOND

# Time, in microseconds, for which a cache counts as saturated after it has rejected a request.  Its queue
# takes about that long to drain.
CACHE_SATURATED_TIME = 1 * SECOND
# The same for a parent or the origin.  It is short, so that the source is soon tried again, as there is no
# second one to use in its place.
SOURCE_SATURATED_TIME = 250 * MILLISECOND

# These say nothing about the endpoint.
NO_ENDPOINT_FAILURE = frozenset({AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT})
AMBIGUOUS_STATUSES = frozenset({AttemptStatus.ERROR, AttemptStatus.TIMED_OUT, AttemptStatus.OVERLOADED})
FAILED_AT_SOURCE = frozenset(
    {FillStatus.SOURCE_OVERLOADED, FillStatus.SOURCE_UNREACHABLE, FillStatus.SOURCE_NOT_FOUND}
)
SERVED_BY_SOURCE = frozenset({FillStatus.FROM_PARENT, FillStatus.FROM_ORIGIN, FillStatus.UNKNOWN})


class FailureAttribution:
    """Records results of attempts as successes, failures or suspicions of endpoints."""

    def __init__(
        self,
        endpoints: EndpointList,
        health: OutlierDetector,
        retries: RetryPolicy,
        load_in_responses: bool,
    ) -> None:
        """:param load_in_responses: whether responses report load, and nothing may be health-checked."""
        self.endpoints = endpoints
        self.health = health
        self.retries = retries
        self.load_in_responses = load_in_responses

    def record(self, in_flight: InFlightRequest, attempt: Attempt, result: AttemptResult, now: int) -> None:
        """Records the result of an attempt as a success, failure or suspicion of the endpoints involved."""
        if result.status is AttemptStatus.SUCCEEDED:
            self._record_success(in_flight, attempt, result, now)
        elif result.status is AttemptStatus.NOT_FOUND and not attempt.may_fill:
            in_flight.caches_without_copy.add(attempt.endpoint)
        else:
            self._record_failure(in_flight, attempt, result, now)

    def _record_success(
        self, in_flight: InFlightRequest, attempt: Attempt, result: AttemptResult, now: int
    ) -> None:
        # The request can be served, so its earlier errors are attributed to the endpoints involved.
        for index in sorted(set().union(*in_flight.unexplained_errors)):
            self._attribute_failure(index, now)
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
                # The request itself may be at fault; the result of the next attempt shows that.
                return
        for index in sorted(candidates):
            self._record_failure_of(index, attempt, result, now)

    def _candidates(self, attempt: Attempt, result: AttemptResult) -> set[int]:
        """Returns the endpoints that may have caused a failure."""
        status, fill_status = result.status, result.fill_status
        if fill_status in FAILED_AT_SOURCE:
            return {attempt.fill_source}
        if fill_status is FillStatus.ORIGIN_UNREACHABLE:
            return set(self.endpoints.by_tier[Tier.ORIGIN])
        if fill_status is FillStatus.UNKNOWN and status in AMBIGUOUS_STATUSES:
            if attempt.is_known_miss and status is AttemptStatus.TIMED_OUT:
                return {attempt.fill_source}
            return {attempt.endpoint, attempt.fill_source}
        return set() if status in NO_ENDPOINT_FAILURE else {attempt.endpoint}

    def _record_failure_of(self, index: int, attempt: Attempt, result: AttemptResult, now: int) -> None:
        status = result.status
        tier = self.endpoints.by_index[index].tier
        if status is AttemptStatus.OVERLOADED:
            is_unexplained = result.fill_status is FillStatus.UNKNOWN
            if tier is Tier.CACHE and is_unexplained and index != attempt.fill_source:
                return  # the cache may have tried to fill, and far more often the source rejects
            duration = CACHE_SATURATED_TIME if tier is Tier.CACHE else SOURCE_SATURATED_TIME
            self.health.by_index[index].saturated_until = now + duration
        if self._needs_only_check(status, tier):
            self.health.suspect(index, now)
        else:
            is_refused = status is AttemptStatus.CONNECTION_REFUSED and index == attempt.endpoint
            self._attribute_failure(index, now, connection_failed=is_refused)

    def _needs_only_check(self, status: AttemptStatus, tier: Tier) -> bool:
        """Returns True if a result calls for a health check of an endpoint, but isn't a failure of it.

        A timeout may be due to a large object.  It counts as a failure of a cache if nothing may be
        health-checked.
        """
        if status is AttemptStatus.OVERLOADED:
            return tier is not Tier.PARENT
        if status is AttemptStatus.TIMED_OUT:
            return not (self.load_in_responses and tier is Tier.CACHE)
        return status in (AttemptStatus.NOT_FOUND, AttemptStatus.NOT_CONNECTED)

    def _attribute_failure(self, index: int, now: int, connection_failed: bool = False) -> None:
        if index not in self.endpoints.by_index:
            return
        if not connection_failed:
            self.health.suspect(index, now)
        self.health.record_failure(index, now, connection_failed)
