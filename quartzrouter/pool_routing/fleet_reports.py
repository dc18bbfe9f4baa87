"""Merges the reports of the routers of all pools into one report to the fleet.  Does no I/O."""

from collections.abc import Iterable
from dataclasses import replace

from quartzrouter.routing.model import HealthObservation, SlowStartDemand


def merge_observations(observations: Iterable[HealthObservation]) -> dict[str, HealthObservation]:
    """Merges several routers' observations of each cache, which counts as ejected if any has ejected it.

    :returns: the observations by the cache's name.
    """
    merged: dict[str, HealthObservation] = {}
    for new in observations:
        old = merged.get(new.cache, HealthObservation(new.cache, False, 0, 0, 0))
        merged[new.cache] = HealthObservation(
            cache=new.cache,
            ejected=old.ejected or new.ejected,
            completed=old.completed + new.completed,
            failed=old.failed + new.failed,
            in_flight=old.in_flight + new.in_flight,
        )
    return merged


def merge_demand(demands: Iterable[SlowStartDemand]) -> list[SlowStartDemand]:
    """Sums the demand of several routers for endpoints in slow start; the lowest limit applies."""
    merged: dict[str, SlowStartDemand] = {}
    for new in demands:
        old = merged.get(new.endpoint, replace(new, demand=0, largest_request=0))
        merged[new.endpoint] = SlowStartDemand(
            endpoint=new.endpoint,
            tier=new.tier,
            limit=min(old.limit, new.limit),
            demand=old.demand + new.demand,
            largest_request=max(old.largest_request, new.largest_request),
        )
    return list(merged.values())
