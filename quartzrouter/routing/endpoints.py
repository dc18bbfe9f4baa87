"""The list of known endpoints, with an index for each.  No I/O.

The other modules of this package store their state of an endpoint under its index.
"""

import logging
from collections.abc import Iterable
from dataclasses import replace

from quartzrouter.routing.model import Endpoint, EndpointState, Tier

log = logging.getLogger(__name__)


class EndpointList:
    """The endpoint list as last received from discovery, and the endpoints that may be selected.

    :ivar locations: the locations whose caches are used.
    :ivar by_index: all endpoints that have not been removed, by index.
    :ivar started_at: clock time of an endpoint's last known start, listed or observed; 0: long ago.
    :ivar by_tier: for each tier the indices that may be selected, in the order in which they were first
        listed: the caches of ``locations`` and the origins that are up, and all parents that are listed.  A
        draining parent stays included, so that the rendezvous order of the others does not change.
    """

    def __init__(self, home_location: str) -> None:
        self.locations: tuple[str, ...] = (home_location,)
        self.next_index = 0
        self.index_of: dict[str, int] = {}
        self.by_index: dict[int, Endpoint] = {}
        self.started_at: dict[int, int] = {}
        self.by_tier: dict[Tier, list[int]] = {tier: [] for tier in Tier}

    def update(self, endpoints: Iterable[Endpoint], is_snapshot: bool) -> list[int]:
        """Applies a snapshot of the endpoint list, or changes to it.

        :param is_snapshot: whether endpoints that are not included are gone.
        :returns: the indices of endpoints whose last start is later than the known one.
        """
        changed = {endpoint.name: endpoint for endpoint in endpoints}
        if is_snapshot:
            missing = [endpoint for endpoint in self.by_index.values() if endpoint.name not in changed]
            changed |= {endpoint.name: replace(endpoint, state=EndpointState.GONE) for endpoint in missing}
        restarted = [index for index in map(self._apply, changed.values()) if index is not None]
        self.by_tier = {tier: self._selectable(tier) for tier in Tier}
        return restarted

    def _apply(self, endpoint: Endpoint) -> int | None:
        """Adds or updates one endpoint, and returns its index if its start is later than the known one."""
        if endpoint.name not in self.index_of:
            self.index_of[endpoint.name] = self.next_index
            self.next_index += 1
        index = self.index_of[endpoint.name]
        if endpoint.state != self.by_index.get(index, endpoint).state:
            log.info("endpoint %s is %s", endpoint.name, endpoint.state.value)
        self.by_index[index] = endpoint
        if endpoint.started_at <= self.started_at.setdefault(index, 0):
            return None
        self.started_at[index] = endpoint.started_at
        return index

    def _selectable(self, tier: Tier) -> list[int]:
        return [
            index
            for index, endpoint in self.by_index.items()
            if endpoint.tier is tier and self._is_selectable(endpoint)
        ]

    def _is_selectable(self, endpoint: Endpoint) -> bool:
        if endpoint.tier is Tier.CACHE and endpoint.location not in self.locations:
            return False
        if endpoint.tier is Tier.PARENT:
            return endpoint.state is not EndpointState.GONE
        return endpoint.state is EndpointState.UP

    def is_up(self, index: int) -> bool:
        """Returns True if the endpoint is listed as up, not as draining or gone."""
        return self.by_index[index].state is EndpointState.UP

    def gone(self) -> list[int]:
        """Returns the indices of endpoints that are no longer listed and have not been removed yet."""
        return [index for index, endpoint in self.by_index.items() if endpoint.state is EndpointState.GONE]

    def listed_caches(self) -> list[int]:
        """Returns the indices of all listed caches, at any location, up or draining."""
        return [
            index
            for index, endpoint in self.by_index.items()
            if endpoint.tier is Tier.CACHE and endpoint.state is not EndpointState.GONE
        ]

    def forget(self, index: int) -> None:
        """Removes an endpoint.  If its name is listed again, it becomes a new endpoint with a new index."""
        del self.index_of[self.by_index[index].name]
        del self.by_index[index]
        self.started_at.pop(index, None)
