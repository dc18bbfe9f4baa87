"""Selects the pool that serves a request, by the splits and fallbacks of a plan.  Does no I/O."""

import math
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from quartzrouter.config.model import Pool, Split
from quartzrouter.routing.model import CacheCount

CountCaches = Callable[[str], CacheCount]  # counts the caches of the pool of a name


@dataclass(slots=True)
class PoolState:
    """The state of a pool with a fallback.

    :ivar is_serving: True if the pool serves requests, False if its fallback does.
    :ivar recovered_at: when the pool had enough caches again; None while it serves or lacks caches.
    :ivar changes: the number of changes of `is_serving`.
    """

    is_serving: bool = True
    recovered_at: int | None = None
    changes: int = 0

    def set_serving(self, is_serving: bool) -> None:
        """Switches between the pool and its fallback."""
        self.is_serving = is_serving
        self.recovered_at = None
        self.changes += 1


class PoolSelector:
    """Selects pools by a plan's splits and fallbacks.

    :ivar states: the state of each pool, by name.
    """

    def __init__(self, pools: dict[str, Pool], splits: dict[str, Split]) -> None:
        self.pools = pools
        self.splits = splits
        self.states: dict[str, PoolState] = {name: PoolState() for name in pools}

    def replace(self, pools: dict[str, Pool], splits: dict[str, Split]) -> None:
        """Applies the pools and splits of a new plan; pools whose names stay keep their states."""
        self.pools = pools
        self.splits = splits
        self.states = {name: self.states.get(name) or PoolState() for name in pools}

    def resolve_split(self, name: str, object_key: str, client: str) -> str:
        """Returns the pool of a request, by weighted rendezvous hashing (Schindelhauer and Schomaker, 2005).

        If the weights of a split change, only the keys that must move change their pool.

        :param name: the name of a pool or a split.
        :returns: the name of the pool.
        """
        split = self.splits.get(name)
        if split is None:
            return name
        key = object_key if split.by == "object" else client
        pool, _ = max(split.parts, key=lambda part: _score(split.name, part[0], key, part[1]))
        return pool

    def select_serving_pool(self, name: str, count_caches: CountCaches, now: int) -> str:
        """Selects the pool that serves the requests of a pool.

        :returns: the first of the pool and its fallbacks that has enough caches, else the first that has any,
            else the pool itself.
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
        """Returns True if a pool serves: it has enough caches, by two thresholds and a delay.

        Guards against flapping: a pool near its threshold would keep moving its objects to the fallback's
        caches and back, and each move costs fills.
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
    """Returns the score of a pool for a key; the highest score gets the key, in proportion to the weights."""
    if not weight:
        return 0.0
    hashed = xxhash.xxh64_intdigest(f"{split}\0{pool}\0{key}".encode())
    draw = (hashed + 1) / ((1 << 64) + 1)
    return -weight / math.log(draw)
