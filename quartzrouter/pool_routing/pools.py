"""Which pool serves a request, by the splits and fallbacks of a plan.  No I/O."""

import math
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from quartzrouter.config.model import Pool, Split
from quartzrouter.routing.model import CacheCount

CountCaches = Callable[[str], CacheCount]  # of a pool, by its name


@dataclass(slots=True)
class PoolState:
    """Whether a pool with a fallback serves.

    :ivar is_serving: whether it does, or its fallback.
    :ivar recovered_at: since when it has had enough caches again, while it doesn't serve.
    :ivar changes: how often this has changed.
    """

    is_serving: bool = True
    recovered_at: int | None = None
    changes: int = 0

    def set_serving(self, is_serving: bool) -> None:
        """Changes whether the pool serves."""
        self.is_serving = is_serving
        self.recovered_at = None
        self.changes += 1


class PoolSelector:
    """Selects pools by a plan's splits and fallbacks.

    :ivar states: by pool.
    """

    def __init__(self, pools: dict[str, Pool], splits: dict[str, Split]) -> None:
        self.pools = pools
        self.splits = splits
        self.states: dict[str, PoolState] = {name: PoolState() for name in pools}

    def replace(self, pools: dict[str, Pool], splits: dict[str, Split]) -> None:
        """Takes over the pools and splits of a new plan; a pool's state stays where its name stays."""
        self.pools = pools
        self.splits = splits
        self.states = {name: self.states.get(name) or PoolState() for name in pools}

    def resolve_split(self, name: str, object_key: str, client: str) -> str:
        """Finds the pool of a request.

        Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): as shares change, only what has to
        move does.

        :param name: a pool's or a split's.
        :returns: the pool.
        """
        split = self.splits.get(name)
        if split is None:
            return name
        key = object_key if split.by == "object" else client
        pool, _ = max(split.parts, key=lambda part: _score(split.name, part[0], key, part[1]))
        return pool

    def select_serving_pool(self, name: str, count_caches: CountCaches, now: int) -> str:
        """Finds the pool that serves in place of another.

        :returns: the pool itself, or the first of its fallbacks that has enough caches, else the first that
            has any, else the pool itself.
        """
        tried: list[str] = []
        pool: str | None = name
        while pool is not None and pool not in tried:
            tried.append(pool)
            if self._is_serving(pool, count_caches(pool), now):
                return pool
            pool = self.pools[pool].fallback
        return next((each for each in tried if count_caches(each).available), name)

    def _is_serving(self, name: str, caches: CacheCount, now: int) -> bool:
        """Whether a pool has enough caches, with two thresholds and a delay.

        Guards against flapping: a pool that is about its threshold would move its objects to the fallback's
        caches and back all the time, and each move costs fills.
        """
        pool = self.pools[name]
        if pool.at_least is None or pool.fallback is None:
            return caches.available > 0
        state = self.states[name]
        needed = pool.at_least if state.is_serving else (pool.back_at or pool.at_least)
        has_enough = caches.available >= needed.to_count(caches.listed) and caches.available > 0
        if state.is_serving:
            if not has_enough:
                state.set_serving(False)
            return state.is_serving
        if not has_enough:
            state.recovered_at = None
        elif state.recovered_at is None:
            state.recovered_at = now
        if state.recovered_at is not None and now - state.recovered_at >= pool.back_after:
            state.set_serving(True)
        return state.is_serving


def _score(split: str, pool: str, key: str, weight: float) -> float:
    """The score of a pool for a key; the highest takes it, in proportion to the weights."""
    if not weight:
        return 0.0
    hashed = xxhash.xxh64_intdigest(f"{split}\0{pool}\0{key}".encode())
    draw = (hashed + 1) / ((1 << 64) + 1)
    return -weight / math.log(draw)
