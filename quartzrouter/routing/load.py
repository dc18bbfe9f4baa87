"""Estimates of the load of endpoints and of the link of the location.  No I/O."""

from collections import defaultdict
from collections.abc import Mapping
from math import exp, log
from typing import NamedTuple

from quartzrouter.routing.capacity import TransferCapacity
from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.slow_start import SlowStartBudget
from quartzrouter.routing.units import MILLISECOND, SECOND

# Time, in microseconds, for which a load report is used.  An older one says less than this router's own
# requests.
REPORT_LIFETIME = 2 * SECOND
# Time, in microseconds, for which the count of requests in flight at other routers is used.  In that time
# three messages come.
FLEET_LOAD_LIFETIME = 600 * MILLISECOND
# Utilization, from 0 to 1, from which a cache counts as full.  Reports are too noisy for a finer line.
FULL_UTILIZATION = 0.9
# Weight, from 0 to 1, of one report of the location's link in the running mean.  It is low as reports are
# noisy.
LOCATION_LINK_WEIGHT = 0.3
# Weight, from 0 to 1, of one answer in the running mean of slowdowns.  It is low as sizes vary widely.
SLOWDOWN_WEIGHT = 0.1
# Transfers on the location's link, over those that fit, from which it is full.  With more, fills come late.
LOCATION_LINK_FULL = 1.5


class UtilizationReport(NamedTuple):
    """What an endpoint said of its load.

    :ivar reported_at: when it said so.
    :ivar utilization: the share of its capacity in use.
    """

    reported_at: int
    utilization: float


class FleetLoad(NamedTuple):
    """Requests that other routers have in flight.

    :ivar reported_at: when they said so.
    :ivar in_flight: by endpoint index; below 0: not known; endpoints that are not named have none.
    """

    reported_at: int
    in_flight: dict[int, int]


class LoadEstimator:
    """The load of endpoints, of all routers together as far as that is known.

    :ivar in_flight: this router's attempts in flight, by endpoint.
    :ivar as_fill_source: how many of those sent to others name an endpoint as the source of a fill.
    :ivar reports: the last load report of an endpoint.
    """

    def __init__(
        self, endpoints: EndpointList, capacity: TransferCapacity, cache_budget: SlowStartBudget
    ) -> None:
        """:param cache_budget: the slow-start budget of caches, which knows how many routers reach them."""
        self.endpoints = endpoints
        self.capacity = capacity
        self.cache_budget = cache_budget
        self.in_flight: dict[int, int] = defaultdict(int)
        self.as_fill_source: dict[int, int] = defaultdict(int)
        self.reports: dict[int, UtilizationReport] = {}
        self.fleet_load = FleetLoad(-FLEET_LOAD_LIFETIME, {})

    def attempt_started(self, endpoint: int, fill_source: int) -> None:
        """Counts an attempt in flight."""
        self.in_flight[endpoint] += 1
        self.as_fill_source[fill_source] += fill_source != endpoint

    def attempt_finished(self, endpoint: int, fill_source: int) -> None:
        """Removes an attempt that has ended from the counts."""
        self.in_flight[endpoint] -= 1
        self.as_fill_source[fill_source] -= fill_source != endpoint

    def record_utilization(self, index: int, utilization: float, now: int) -> None:
        """Records an endpoint's load report, which the estimates use while it is recent."""
        self.reports[index] = UtilizationReport(now, utilization)

    def set_fleet_load(self, in_flight_elsewhere: Mapping[str, int], now: int) -> None:
        """Records how many requests other routers have in flight at each endpoint.

        Where demand is uneven, this router's own requests times the number of routers are far off.

        :param in_flight_elsewhere: by endpoint name; below 0: not known.
        """
        index_of = self.endpoints.index_of
        known = {index_of[name]: count for name, count in in_flight_elsewhere.items() if name in index_of}
        self.fleet_load = FleetLoad(now, known)

    def estimate(self, index: int, now: int) -> float:
        """Estimates the requests in flight at an endpoint, of all routers.

        :returns: by the endpoint's own report where there is a recent one, else by what other routers say,
            else as if all routers had as many as this one.
        """
        report = self.reports.get(index)
        if report is None or now - report.reported_at >= REPORT_LIFETIME:
            return self._in_flight_everywhere(index, now)
        capacity = self.capacity.of(index)
        if report.utilization < FULL_UTILIZATION:
            return report.utilization * capacity + self.in_flight[index]
        # A full endpoint doesn't tell by how much it is over.
        return max(self._in_flight_everywhere(index, now), capacity)

    def _in_flight_everywhere(self, index: int, now: int) -> int:
        own = self.in_flight[index]
        if now - self.fleet_load.reported_at < FLEET_LOAD_LIFETIME:
            elsewhere = self.fleet_load.in_flight.get(index, 0)
            if elsewhere >= 0:
                return own + elsewhere
        return own * self.cache_budget.terms.routers

    def contention(self, index: int, now: int) -> float:
        """:returns: the transfers on an endpoint's link with one more, over those that it carries."""
        return (self.estimate(index, now) + 1) / self.capacity.of(index)

    def is_idle(self, index: int) -> bool:
        """:returns: whether this router has nothing in flight at an endpoint, nor names it for fills."""
        return not (self.in_flight[index] or self.as_fill_source[index])

    def forget(self, index: int) -> None:
        """Removes the load state of an endpoint that is no longer listed."""
        self.in_flight.pop(index, None)
        self.as_fill_source.pop(index, None)
        self.reports.pop(index, None)


class LocationLink:
    """How full the link is by which the location's caches reach parents and origins.

    :ivar measured_at: time of the last measurement.
    :ivar utilization: transfers on the link over those that fit.
    """

    def __init__(self) -> None:
        self.measured_at = -REPORT_LIFETIME
        self.utilization = 0.0
        self.log_slowdown_of_hits = 0.0
        self.log_slowdown_of_fills = 0.0

    def record_report(self, utilization: float, now: int) -> None:
        """Records a cache's report of the link in the running mean."""
        self.utilization += LOCATION_LINK_WEIGHT * (utilization - self.utilization)
        self.measured_at = now

    def record_slowdown(self, is_fill: bool, slowdown: float) -> None:
        """Records how much slower than at full rate an answer of a cache was sent.

        Kept as a running mean of logarithms, so that few large objects don't decide.
        """
        if is_fill:
            self.log_slowdown_of_fills += SLOWDOWN_WEIGHT * (log(slowdown) - self.log_slowdown_of_fills)
        else:
            self.log_slowdown_of_hits += SLOWDOWN_WEIGHT * (log(slowdown) - self.log_slowdown_of_hits)

    def infer_utilization(self, now: int) -> None:
        """Where no cache reports it: fills that are slower than hits show how full the link is."""
        self.utilization = exp(self.log_slowdown_of_fills - self.log_slowdown_of_hits)
        self.measured_at = now

    def crowding(self, now: int) -> float:
        """:returns: transfers on the link over those with which fills still come in time; 0: not known."""
        if now - self.measured_at >= REPORT_LIFETIME:
            return 0.0
        return self.utilization / LOCATION_LINK_FULL
