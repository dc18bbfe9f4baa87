"""Updates of estimated capacities, sending times and fill limits by attempt results.  No I/O."""

from quartzrouter.routing.capacity import TransferCapacity
from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.fill_limits import FillLimiter
from quartzrouter.routing.in_flight import Attempt, InFlightRequest
from quartzrouter.routing.load import LocationLink
from quartzrouter.routing.model import AttemptResult, AttemptStatus, FillStatus, Tier
from quartzrouter.routing.sending_times import SendingTimes
from quartzrouter.routing.units import MILLISECOND

# Shortest transfer time that is measured, in microseconds.  Clocks can't measure a shorter one.
MIN_TRANSFER_TIME = 1 * MILLISECOND

WHOLE_RESPONSES = frozenset({FillStatus.HIT, FillStatus.FROM_PARENT, FillStatus.FROM_ORIGIN})
FAILED_FILLS = frozenset(
    {
        FillStatus.SOURCE_OVERLOADED,
        FillStatus.SOURCE_UNREACHABLE,
        FillStatus.NO_FILL_SLOT,
        FillStatus.ORIGIN_UNREACHABLE,
    }
)
NO_RESPONSE = frozenset({AttemptStatus.NOT_FOUND, AttemptStatus.CANCELLED})  # neither in time nor late


class Measurements:
    """Passes the result of each attempt to the estimators."""

    def __init__(
        self,
        endpoints: EndpointList,
        capacity: TransferCapacity,
        sending_times: SendingTimes,
        location_link: LocationLink,
        fills: FillLimiter,
        load_in_responses: bool,
    ) -> None:
        """:param load_in_responses: whether responses report load, and the wait for their first byte."""
        self.endpoints = endpoints
        self.capacity = capacity
        self.sending_times = sending_times
        self.location_link = location_link
        self.fills = fills
        self.load_in_responses = load_in_responses

    def record(self, in_flight: InFlightRequest, attempt: Attempt, result: AttemptResult, now: int) -> None:
        """Updates the estimators by the result of an attempt."""
        has_succeeded = result.status is AttemptStatus.SUCCEEDED
        is_at_cache = self.endpoints.by_index[attempt.endpoint].tier is Tier.CACHE
        if has_succeeded:
            self._update_capacity_or_sending_time(in_flight, attempt, result)
        if has_succeeded and is_at_cache and self.load_in_responses and result.fill_status in WHOLE_RESPONSES:
            self._update_location_link(in_flight, result, now)
        if is_at_cache and result.status not in NO_RESPONSE:
            self._update_fill_limits(in_flight, attempt, result, now)

    def _update_capacity_or_sending_time(
        self, in_flight: InFlightRequest, attempt: Attempt, result: AttemptResult
    ) -> None:
        """Updates the link's capacity if the size is known, otherwise the class's sending times."""
        fill_status = result.fill_status
        if in_flight.request.size_kb and fill_status in (FillStatus.HIT, FillStatus.UNKNOWN):
            sending_time = self.sending_times.expected(in_flight)
            self.capacity.learn(attempt.endpoint, attempt.contention, sending_time, result.elapsed)
        elif fill_status is FillStatus.HIT:
            sending_time = result.elapsed / max(1.0, attempt.contention)
            self.sending_times.by_class[in_flight.request.traffic_class].add(sending_time)

    def _update_location_link(self, in_flight: InFlightRequest, result: AttemptResult, now: int) -> None:
        sending_time = self.sending_times.expected(in_flight)
        if not sending_time:
            return
        is_fill = result.fill_status is not FillStatus.HIT
        first_byte_delay = result.load_report.time_to_first_byte or 0
        transfer_time = max(MIN_TRANSFER_TIME, result.elapsed - first_byte_delay)
        self.location_link.record_slowdown(is_fill, transfer_time / sending_time)
        if is_fill and result.load_report.link_utilization is None:
            self.location_link.infer_utilization(now)

    def _update_fill_limits(
        self, in_flight: InFlightRequest, attempt: Attempt, result: AttemptResult, now: int
    ) -> None:
        is_in_time = self._is_in_time(in_flight, result)
        is_late = self._is_late(result, is_in_time)
        is_fill = attempt.may_fill and result.fill_status is not FillStatus.HIT
        if is_in_time or is_late:
            self.fills.record_response(is_fill, is_late, now)
        if not is_fill:
            return
        is_known_fill = attempt.is_known_miss or result.fill_status is not FillStatus.UNKNOWN
        if is_in_time and is_known_fill:
            self.fills.fill_succeeded(attempt.fill_source)
        elif is_late:
            self.fills.fill_failed(attempt.fill_source, now)

    def _is_in_time(self, in_flight: InFlightRequest, result: AttemptResult) -> bool:
        if result.status is not AttemptStatus.SUCCEEDED:
            return False
        if self.load_in_responses and not in_flight.request.size_kb:
            # Large objects take long because of their size, so only the wait for the first byte counts.
            first_byte_delay = result.load_report.time_to_first_byte or 0
            return first_byte_delay <= in_flight.traffic_class.latency_objective
        return result.elapsed <= self.sending_times.latency_objective(in_flight)

    @staticmethod
    def _is_late(result: AttemptResult, is_in_time: bool) -> bool:
        if result.fill_status in FAILED_FILLS:
            return True
        is_response = result.status in (AttemptStatus.SUCCEEDED, AttemptStatus.TIMED_OUT)
        return is_response and not is_in_time
