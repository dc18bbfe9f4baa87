"""How old a copy may be by the fleet's purges, and whether one that came may be served.  No I/O."""

from collections.abc import Mapping

from quartzrouter.pool_routing.route_selection import RouteSelection, purge_lookup, traffic_class_name
from quartzrouter.purges.fleet_purges import CachedCopy, FleetPurges
from quartzrouter.routing.model import Endpoint, Forward, Tier, TrafficClass

ANY_STORE = "*"  # of a cache that is gone: it may have stood anywhere


class PurgeBounds:
    """Bounds the age of copies by the fleet's purges, where there is a purge log.

    Guards against serving what was purged by way of another router: a cache may hold a copy that was made
    before a purge it has not heard of.  The age is bounded when an attempt is sent, and checked when its
    answer comes.

    :ivar fleet: the fleet's purges; None: there is no purge log.
    :ivar endpoints: the endpoint list, by name.
    """

    def __init__(self, fleet: FleetPurges | None) -> None:
        self.fleet = fleet
        self.endpoints: Mapping[str, Endpoint] = {}

    def applies_to(self, selection: RouteSelection) -> bool:
        """:returns: whether purges bound the copies that a request may be answered with."""
        return self.fleet is not None and not selection.traffic_class.uncacheable

    def max_age(self, selection: RouteSelection, answer: Forward, now: int) -> int:
        """The age of the oldest copy that will do, by the fleet's purges as well.

        :param answer: the attempt, with the age that its router allows.
        :returns: an age; 0: the traffic class's.
        """
        assert self.fleet is not None
        named = (answer.endpoint, answer.fill_source)
        makers_of_copies = [name for name in named if not self._is_origin(name)]
        store = self._store(answer.endpoint)
        return self.fleet.max_age(purge_lookup(selection), store, makers_of_copies, answer.max_age, now)

    def is_outdated(self, selection: RouteSelection, answer: Forward, now: int) -> bool:
        """:returns: whether an attempt would now be sent with a lower maximal age."""
        max_age = self.max_age(selection, answer, now)
        return bool(max_age) and (not answer.max_age or max_age < answer.max_age)

    def may_serve(
        self,
        selection: RouteSelection,
        answer: Forward,
        copy: CachedCopy | None,
        written: int,
        traffic_classes: Mapping[str, TrafficClass],
    ) -> bool:
        """Whether a copy that came may be passed on.

        :param answer: the attempt that it came for.
        :param written: when the attempt was sent.
        :param traffic_classes: of the plan in force, by name.
        """
        if self.fleet is None or selection.traffic_class.uncacheable or copy is None:
            return True
        traffic_class = traffic_classes.get(traffic_class_name(selection.route), selection.traffic_class)
        is_bound = not traffic_class.max_age or answer.max_age < traffic_class.max_age
        max_age = answer.max_age if is_bound else 0
        return self.fleet.accepts(
            purge_lookup(selection), self._store(answer.endpoint), copy, written, max_age
        )

    def _is_origin(self, name: str) -> bool:
        return name in self.endpoints and self.endpoints[name].tier is Tier.ORIGIN

    def _store(self, name: str) -> str:
        return self.endpoints[name].location if name in self.endpoints else ANY_STORE
