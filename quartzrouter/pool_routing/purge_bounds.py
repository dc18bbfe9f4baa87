"""Bounds the age of copies by the fleet's purges, and checks received copies.  Does no I/O."""

from collections.abc import Mapping

from quartzrouter.pool_routing.route_selection import RouteSelection, purge_lookup, traffic_class_name
from quartzrouter.purges.fleet_purges import CachedCopy, FleetPurges
from quartzrouter.routing.model import Endpoint, Forward, Tier, TrafficClass

ANY_STORE = "*"  # the store of a cache that is gone, which may have been in any store


class PurgeBounds:
    """Bounds the age of copies by the fleet's purges, if there is a purge log.

    Guards against serving a copy that was purged through another router: a cache may hold a copy that was
    made before a purge that the cache has not received yet.  The age is bounded when an attempt is sent, and
    checked when its response arrives.

    :ivar fleet: the fleet's purges; None if there is no purge log.
    :ivar endpoints: the endpoint list, by name.
    """

    def __init__(self, fleet: FleetPurges | None) -> None:
        self.fleet = fleet
        self.endpoints: Mapping[str, Endpoint] = {}

    def applies_to(self, selection: RouteSelection) -> bool:
        """Returns True if purges bound the age of the copies that may answer a request."""
        return self.fleet is not None and not selection.traffic_class.uncacheable

    def max_age(self, selection: RouteSelection, decision: Forward, now: int) -> int:
        """Returns the maximal age of a copy, by the router's decision and the fleet's purges.

        :param decision: the attempt, with the maximal age that its router allows.
        :returns: the maximal age; 0 for that of the traffic class.
        """
        assert self.fleet is not None
        endpoint_names = (decision.endpoint, decision.fill_source)
        caching_endpoints = [name for name in endpoint_names if not self._is_origin(name)]
        store = self._store(decision.endpoint)
        return self.fleet.max_age(purge_lookup(selection), store, caching_endpoints, decision.max_age, now)

    def is_outdated(self, selection: RouteSelection, decision: Forward, now: int) -> bool:
        """Returns True if an attempt would now be sent with a lower maximal age."""
        max_age = self.max_age(selection, decision, now)
        return bool(max_age) and (not decision.max_age or max_age < decision.max_age)

    def may_serve(
        self,
        selection: RouteSelection,
        decision: Forward,
        copy: CachedCopy | None,
        written: int,
        traffic_classes: Mapping[str, TrafficClass],
    ) -> bool:
        """Returns True if a received copy may be passed on to the client.

        :param decision: the attempt that the copy is the response to.
        :param written: when the attempt was sent.
        :param traffic_classes: the traffic classes of the current plan, by name.
        """
        if self.fleet is None or selection.traffic_class.uncacheable or copy is None:
            return True
        traffic_class = traffic_classes.get(traffic_class_name(selection.route), selection.traffic_class)
        is_bound = not traffic_class.max_age or decision.max_age < traffic_class.max_age
        max_age = decision.max_age if is_bound else 0
        return self.fleet.accepts(
            purge_lookup(selection), self._store(decision.endpoint), copy, written, max_age
        )

    def _is_origin(self, name: str) -> bool:
        return name in self.endpoints and self.endpoints[name].tier is Tier.ORIGIN

    def _store(self, name: str) -> str:
        return self.endpoints[name].location if name in self.endpoints else ANY_STORE
