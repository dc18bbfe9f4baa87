"""Where a cache fills a miss from: parent or origin.  No I/O."""

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

# Requests in flight of this router that name a parent as their fill source, at most.  Most of them are hits
# and never reach it.
MAX_REQUESTS_PER_PARENT = 32
# Caches that are asked for a copy that they hold before one is made to fill.  Further copies are fewer, so
# that a third lookup would seldom find one.
MAX_LOOKUPS = 2


class FillConditions(NamedTuple):
    """How well fills go at the moment.

    :ivar are_fills_late: whether fills come late.
    :ivar crowding: transfers on the location's link over those with which fills still come in time.
    """

    are_fills_late: bool
    crowding: float

    @property
    def needs_lookup(self) -> bool:
        """Whether caches are asked for what they hold before they are made to fill."""
        return self.are_fills_late or self.crowding > 1


class FillSourceSelector:
    """Chooses the source of a fill: a parent in the object's rendezvous order, else the origin.

    All routers use the same order over all parents, so that the fills of an object from everywhere meet at
    one parent.
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
        """:returns: how well fills go."""
        return FillConditions(self.fills.are_fills_late(now), self.location_link.crowding(now))

    def select(
        self, in_flight: InFlightRequest, sending_time: int, conditions: FillConditions, now: int
    ) -> int | None:
        """Selects the source for a request.

        :param sending_time: that the request is charged with where the source is warming up.
        :returns: None where no source is free: the origin serves when no parent is healthy, not when all are
            busy, as it would be overloaded by what the parents can't do.
        """
        is_cacheable = not in_flight.traffic_class.uncacheable
        parents = self._parents(in_flight) if is_cacheable else []
        origins = self.endpoints.by_tier[Tier.ORIGIN]
        healthy = self._healthy(parents, sending_time, now) or self._healthy(origins, sending_time, now)
        self.slow_start.note_unmet_demand(Tier.PARENT, parents, sending_time, now)
        draw = self._draw(in_flight)
        if is_cacheable and draw * conditions.crowding > 1:
            return None
        for index in healthy:
            is_crowded = index not in origins and self.load.as_fill_source[index] >= MAX_REQUESTS_PER_PARENT
            if not is_crowded and (not conditions.are_fills_late or self.fills.has_room(index, draw)):
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
        """A number from 0 to 1 that is the same each time the request is decided again."""
        return zlib.crc32(b"%d" % in_flight.request.id) / 2**32
