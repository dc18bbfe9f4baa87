"""Estimates of the load of endpoints and of the location's link.  No I/O."""

from collections import defaultdict
from collections.abc import Mapping
from math import exp, log
from typing import NamedTuple

from quartzrouter.routing.capacity import TransferCapacity
from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.slow_start import SlowStartBudget
from quartzrouter.routing.units import MILLISECOND, SECOND

# Time, in microseconds, for which a load report is used.  An older one is less accurate than an estimate
# from this router's own requests.
REPORT_LIFETIME = 2 * SECOND
# Time, in microseconds, for which other routers' counts of requests in flight are used.  Three messages
# arrive in that time.
FLEET_LOAD_LIFETIME = 600 * MILLISECOND
# Utilization, from 0 to 1, from which an endpoint counts as full.  Reports are too noisy for a
# more precise threshold.
FULL_UTILIZATION = 0.9
# Weight, from 0 to 1, of one report in the moving average of the location link's utilization.  It is low, as
# reports are noisy.
LOCATION_LINK_WEIGHT = 0.3
# Weight, from 0 to 1, of one response in the moving average of slowdowns.  It is low, as sizes vary widely.
SLOWDOWN_WEIGHT = 0.1
# Transfers on the location's link, divided by those that fit, from which it is full.  Above that, fills are
# late.
LOCATION_LINK_FULL = 1.5


class UtilizationReport(NamedTuple):
    """An endpoint's report of its load.

    :ivar reported_at: time of the report.
    :ivar utilization: the share of its capacity that is in use.
    """

    reported_at: int
    utilization: float


class FleetLoad(NamedTuple):
    """The requests that other routers have in flight.

    :ivar reported_at: time of the report.
    :ivar in_flight: number of requests by endpoint index; below 0: unknown.  Missing endpoints have none.
    """

    reported_at: int
    in_flight: dict[int, int]


class LoadEstimator:
    """Estimates the load that all routers together put on each endpoint.

    :ivar in_flight: this router's attempts in flight, by endpoint.
    :ivar as_fill_source: this router's attempts in flight at other endpoints, by the fill source named.
    :ivar reports: the last load report of each endpoint.
    """

    def __init__(
        self, endpoints: EndpointList, capacity: TransferCapacity, cache_budget: SlowStartBudget
    ) -> None:
        """:param cache_budget: the slow-start budget of caches, which has the number of routers."""
        self.endpoints = endpoints
        self.capacity = capacity
        self.cache_budget = cache_budget
        self.in_flight: dict[int, int] = defaultdict(int)
        self.as_fill_source: dict[int, int] = defaultdict(int)
        self.reports: dict[int, UtilizationReport] = {}
        self.fleet_load = FleetLoad(-FLEET_LOAD_LIFETIME, {})

    def attempt_started(self, endpoint: int, fill_source: int) -> None:
        """Counts an attempt as in flight."""
        self.in_flight[endpoint] += 1
        self.as_fill_source[fill_source] += fill_source != endpoint

    def attempt_finished(self, endpoint: int, fill_source: int) -> None:
        """Removes an ended attempt from the counts."""
        self.in_flight[endpoint] -= 1
        self.as_fill_source[fill_source] -= fill_source != endpoint

    def record_utilization(self, index: int, utilization: float, now: int) -> None:
        """Records an endpoint's load report, which the estimates use while it is recent."""
        self.reports[index] = UtilizationReport(now, utilization)

    def set_fleet_load(self, in_flight_elsewhere: Mapping[str, int], now: int) -> None:
        """Records how many requests other routers have in flight at each endpoint.

        If demand is uneven, multiplying this router's own requests by the number of routers is far off.

        :param in_flight_elsewhere: number of requests by endpoint name; below 0: unknown.
        """
        index_of = self.endpoints.index_of
        known = {index_of[name]: count for name, count in in_flight_elsewhere.items() if name in index_of}
        self.fleet_load = FleetLoad(now, known)

    def estimate(self, index: int, now: int) -> float:
        """Estimates the requests that all routers together have in flight at an endpoint.

        :returns: an estimate from the endpoint's own report, if there is a recent one; otherwise from other
            routers' counts, if there are recent ones; otherwise as if all routers had as many as this one.
        """
        report = self.reports.get(index)
        if report is None or now - report.reported_at >= REPORT_LIFETIME:
            return self._in_flight_everywhere(index, now)
        capacity = self.capacity.of(index)
        if report.utilization < FULL_UTILIZATION:
            return report.utilization * capacity + self.in_flight[index]
        # The report of a full endpoint doesn't show by how much its capacity is exceeded.
        return max(self._in_flight_everywhere(index, now), capacity)

    def _in_flight_everywhere(self, index: int, now: int) -> int:
        own = self.in_flight[index]
        if now - self.fleet_load.reported_at < FLEET_LOAD_LIFETIME:
            elsewhere = self.fleet_load.in_flight.get(index, 0)
            if elsewhere >= 0:
                return own + elsewhere
        return own * self.cache_budget.terms.routers

    def contention(self, index: int, now: int) -> float:
        """Returns the transfers on an endpoint's link plus one, divided by the number that it carries."""
        return (self.estimate(index, now) + 1) / self.capacity.of(index)

    def is_idle(self, index: int) -> bool:
        """Returns True if no attempt of this router is at an endpoint or names it as fill source."""
        return not (self.in_flight[index] or self.as_fill_source[index])

    def forget(self, index: int) -> None:
        """Removes the load state of an endpoint that is no longer listed."""
        self.in_flight.pop(index, None)
        self.as_fill_source.pop(index, None)
        self.reports.pop(index, None)


class LocationLink:
    """Estimates the load of the link between the location's caches and parents and origins.

    :ivar measured_at: time of the last measurement.
    :ivar utilization: transfers on the link divided by those that fit.
    """

    def __init__(self) -> None:
        self.measured_at = -REPORT_LIFETIME
        self.utilization = 0.0
        self.log_slowdown_of_hits = 0.0
        self.log_slowdown_of_fills = 0.0

    def record_report(self, utilization: float, now: int) -> None:
        """Adds a cache's report of the link to the moving average."""
        self.utilization += LOCATION_LINK_WEIGHT * (utilization - self.utilization)
        self.measured_at = now

    def record_slowdown(self, is_fill: bool, slowdown: float) -> None:
        """Records how many times longer than at full rate a cache took to send a response.

        The value is a moving average of logarithms, so that a few large objects don't dominate it.
        """
        if is_fill:
            self.log_slowdown_of_fills += SLOWDOWN_WEIGHT * (log(slowdown) - self.log_slowdown_of_fills)
        else:
            self.log_slowdown_of_hits += SLOWDOWN_WEIGHT * (log(slowdown) - self.log_slowdown_of_hits)

    def infer_utilization(self, now: int) -> None:
        """Estimates the utilization by how much slower fills are than hits, if no cache reports it."""
        self.utilization = exp(self.log_slowdown_of_fills - self.log_slowdown_of_hits)
        self.measured_at = now

    def load_ratio(self, now: int) -> float:
        """Returns the transfers on the link over the number at which fills finish in time; 0: unknown."""
        if now - self.measured_at >= REPORT_LIFETIME:
            return 0.0
        return self.utilization / LOCATION_LINK_FULL
