"""Placement of requests at caches by Fine Dynamic Replication.  No I/O.

Source: Wang, Pai and Peterson, "The Effectiveness of Request Redirection on CDN Robustness", section 3.4.2.
"""

import zlib
from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.model import Tier
from quartzrouter.routing.units import SECOND

# Time, in microseconds, after which an unchanged replication degree drops by one.  This is the value that the
# paper starts with.
QUIET_PERIOD = 10 * SECOND
# Entries of the table of replication degrees.  The paper requires far more entries than there are caches.
TABLE_SIZE = 8_192
# Objects whose rendezvous order is cached.  They take 2 MB, and recomputing a dropped order is cheap.
MAX_CACHED_ORDERS = 4_096


class ReplicationDegree(NamedTuple):
    """How many caches share the requests for the objects of one table entry.

    :ivar degree: the size of the replica set.
    :ivar changed_at: time of the last change of the degree.
    """

    degree: int
    changed_at: int


class Placement:
    """The rendezvous order of endpoints for each object, and replica sets that grow with an object's load."""

    def __init__(self, quiet_period: int = QUIET_PERIOD, table_size: int = TABLE_SIZE) -> None:
        """:param quiet_period: time after which an unchanged replication degree drops by one.
        :param table_size: entries of the table of replication degrees.
        """
        self.quiet_period = quiet_period
        self.table = [ReplicationDegree(1, 0)] * table_size
        self.orders: dict[tuple[str, Tier], list[int]] = {}

    def rendezvous_order(self, object_key: str, tier: Tier, endpoints: EndpointList) -> list[int]:
        """Orders a tier's endpoints by a hash of object and endpoint, the same at every router.

        The hash is BLAKE2b with 8 bytes.  With a cyclic redundancy check, the scores of endpoints would
        correlate, and their shares of the objects would become uneven.

        :returns: indices, the highest hash first.
        """
        order = self.orders.get((object_key, tier))
        if order is None:
            order = self._compute_order(object_key, endpoints.by_tier[tier], endpoints)
            self.orders[object_key, tier] = order
            if len(self.orders) > MAX_CACHED_ORDERS:
                del self.orders[next(iter(self.orders))]
        return order

    @staticmethod
    def _compute_order(object_key: str, indices: list[int], endpoints: EndpointList) -> list[int]:
        scores = {}
        for index in indices:
            text = f"{object_key}\0{endpoints.by_index[index].name}"
            scores[index] = blake2b(text.encode(), digest_size=8).digest()
        return sorted(indices, key=scores.__getitem__, reverse=True)

    def endpoints_changed(self) -> None:
        """Clears the cached orders, which were computed for the previous endpoint list."""
        self.orders.clear()

    def pick(
        self,
        object_key: str,
        order: list[int],
        load: Callable[[int], float],
        is_saturated: Callable[[int], bool],
        now: int,
    ) -> int:
        """Picks the least loaded endpoint of the object's replica set.

        If that endpoint is saturated, the replica set is resized to end with the first endpoint of the order
        that isn't, or with the last one if all are saturated.  After ``quiet_period`` without a change, the
        set shrinks by one.

        :param order: indices of the eligible endpoints in rendezvous order; not empty.
        :param load: returns the load of an endpoint; of equally loaded ones, the first in order is picked.
        :param is_saturated: returns True if an endpoint should receive no further request.
        :returns: an index from ``order``; its first one if all are saturated.
        """
        slot = zlib.crc32(object_key.encode()) % len(self.table)
        degree, changed_at = self.table[slot]
        picked = min(order[:degree], key=load)
        new_degree = degree
        if is_saturated(picked):
            new_degree, picked = self._first_unsaturated(order, is_saturated)
        elif degree > 1 and now - changed_at > self.quiet_period:
            new_degree = degree - 1
        if new_degree != degree:
            self.table[slot] = ReplicationDegree(new_degree, now)
        return picked

    @staticmethod
    def _first_unsaturated(order: list[int], is_saturated: Callable[[int], bool]) -> tuple[int, int]:
        """Returns the new size of the replica set, and the picked endpoint."""
        for position, index in enumerate(order, 1):
            if not is_saturated(index):
                return position, index
        return len(order), order[0]
