"""Which pool serves: fallbacks that don't flap, and splits that stay with an object or a client."""

import math
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from quartzrouter.config.model import Pool, Split
from quartzrouter.routing.model import CacheCount

Up = Callable[[str], CacheCount]  # of a pool: caches that may be sent to, and those listed


@dataclass(slots=True)
class PoolState:
    serving: bool = True
    since: int | None = None  # us: since when enough are up again
    changes: int = 0  # of serving, for what is told of it


class PoolSelector:
    def __init__(self, pools: dict[str, Pool], splits: dict[str, Split]):
        self.pools, self.splits = pools, splits
        self.standing: dict[str, PoolState] = {name: PoolState() for name in pools}

    def replace(self, pools: dict[str, Pool], splits: dict[str, Split]) -> None:
        """What is known of a pool stays where its name stays."""
        self.pools, self.splits = pools, splits
        self.standing = {name: self.standing.get(name) or PoolState() for name in pools}

    def of(self, name: str, obj: str, client: str) -> str:
        """The pool of a req, by the split that its route names, if it is one.

        Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): as shares change, only what has to
        move does.
        """
        split = self.splits.get(name)
        if split is None:
            return name
        by = obj if split.by == "object" else client
        return max(split.parts, key=lambda part: _score(split.name, part[0], by, part[1]))[0]

    def serving(self, name: str, up: Up, now: int) -> str:
        """The pool itself, or the first of its fallbacks that has enough caches, else the first with any."""
        chain: list[str] = []
        at: str | None = name
        while at is not None and at not in chain:
            chain.append(at)
            if self._serves(at, up, now):
                return at
            at = self.pools[at].fallback
        return next((one for one in chain if up(one).available), name)

    def _serves(self, name: str, up: Up, now: int) -> bool:
        pool, standing = self.pools[name], self.standing[name]
        caches = up(name)
        there, listed = caches.available, caches.listed
        if pool.at_least is None or pool.fallback is None:
            return there > 0
        if standing.serving:
            if there < pool.at_least.of(listed) or not there:
                standing.serving, standing.since = False, None
                standing.changes += 1
        elif there < (pool.back_at or pool.at_least).of(listed) or not there:
            standing.since = None
        elif standing.since is None:
            standing.since = now
        if not standing.serving and standing.since is not None and now - standing.since >= pool.back_after:
            standing.serving, standing.since = True, None
            standing.changes += 1
        return standing.serving


def _score(split: str, pool: str, by: str, weight: float) -> float:
    draw = (xxhash.xxh64_intdigest(f"{split}\0{pool}\0{by}".encode()) + 1) / ((1 << 64) + 1)
    return -weight / math.log(draw) if weight else 0.0
