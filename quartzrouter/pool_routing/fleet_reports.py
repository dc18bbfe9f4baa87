"""What the routers of all pools together tell the fleet.  No I/O."""

from collections.abc import Iterable
from dataclasses import replace

from quartzrouter.routing.model import HealthObservation, SlowStartDemand


def merge_observations(observations: Iterable[HealthObservation]) -> dict[str, HealthObservation]:
    """Adds up what several routers have seen of each cache; it is ejected if any has ejected it.

    :returns: by the cache's name.
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
    """Adds up what several routers would send endpoints that are warming up; the lowest limit holds."""
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
