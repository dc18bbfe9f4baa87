"""Selection of the parent or origin that a cache fills a miss from.  No I/O."""

import zlib
from collections.abc import Iterable
from typing import NamedTuple

from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.fill_limits import FillLimiter
from quartzrouter.routing.in_flight import InFlightRequest
from quartzrouter.routing.load import LoadEstimator, LocationLink
from quartzrouter.routing.model import Tier
from quartzrouter.routing.outlier_detection import OutlierDetector
from quartzrouter.routing.placement import Placement
from quartzrouter.routing.slow_start import SlowStartLimiter

# The most requests in flight of this router that name the same parent as their fill source.  Most of them are
# hits and never reach it.
MAX_REQUESTS_PER_PARENT = 32
# The most caches that are asked for a copy that they hold before one of them fills.  Further copies
# are rare, so a third lookup would seldom find one.
MAX_LOOKUPS = 2


class FillConditions(NamedTuple):
    """The current conditions for fills.

    :ivar are_fills_late: whether fills are late; see ``FillLimiter.are_fills_late()``.
    :ivar link_load_ratio: transfers on the location's link divided by the number at which fills still finish
        in time.
    """

    are_fills_late: bool
    link_load_ratio: float

    @property
    def needs_lookup(self) -> bool:
        """Returns True if caches are to be asked for copies that they hold before one of them fills."""
        return self.are_fills_late or self.link_load_ratio > 1


class FillSourceSelector:
    """Selects the source of a fill: a parent in the object's rendezvous order, otherwise the origin.

    All routers use the same order of all parents, so that all fills of an object go to the same parent.
    """

    def __init__(
        self,
        endpoints: EndpointList,
        placement: Placement,
        health: OutlierDetector,
        load: LoadEstimator,
        location_link: LocationLink,
        fills: FillLimiter,
        slow_start: SlowStartLimiter,
    ) -> None:
        self.endpoints = endpoints
        self.placement = placement
        self.health = health
        self.load = load
        self.location_link = location_link
        self.fills = fills
        self.slow_start = slow_start

    def conditions(self, now: int) -> FillConditions:
        """Returns the current conditions for fills."""
        return FillConditions(self.fills.are_fills_late(now), self.location_link.load_ratio(now))

    def select(
        self, in_flight: InFlightRequest, sending_time: int, conditions: FillConditions, now: int
    ) -> int | None:
        """Selects the source for a request.

        :param sending_time: the sending time to charge if the source is in slow start.
        :returns: an index; None if no source is available.  The origin is used if no parent is healthy, but
            not if all parents are busy, as the load beyond their capacity would overload it.
        """
        is_cacheable = not in_flight.traffic_class.uncacheable
        parents = self._parents(in_flight) if is_cacheable else []
        origins = self.endpoints.by_tier[Tier.ORIGIN]
        healthy = self._healthy(parents, sending_time, now) or self._healthy(origins, sending_time, now)
        self.slow_start.record_unmet_demand(Tier.PARENT, parents, sending_time, now)
        draw = self._draw(in_flight)
        if is_cacheable and draw * conditions.link_load_ratio > 1:
            return None
        for index in healthy:
            is_at_limit = index not in origins and self.load.as_fill_source[index] >= MAX_REQUESTS_PER_PARENT
            if not is_at_limit and (not conditions.are_fills_late or self.fills.allows_fill(index, draw)):
                return index
        return None

    def _parents(self, in_flight: InFlightRequest) -> list[int]:
        order = self.placement.rendezvous_order(in_flight.request.object_key, Tier.PARENT, self.endpoints)
        failed = in_flight.failed_endpoints
        return [index for index in order if self.endpoints.is_up(index) and index not in failed]

    def _healthy(self, indices: Iterable[int], sending_time: int, now: int) -> list[int]:
        return [index for index in indices if self._is_healthy(index, sending_time, now)]

    def _is_healthy(self, index: int, sending_time: int, now: int) -> bool:
        if not self.health.is_usable(index, self.load.as_fill_source[index], now):
            return False
        if self.health.by_index[index].saturated_until > now:
            return False
        return self.slow_start.allows(index, sending_time, now)

    @staticmethod
    def _draw(in_flight: InFlightRequest) -> float:
        """Returns a random number from 0 to 1 that is the same for each decision on the request."""
        return zlib.crc32(b"%d" % in_flight.request.id) / 2**32
