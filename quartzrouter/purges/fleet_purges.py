"""What a router does about the fleet's purges: how old a copy may be, and whether an answer will do.

Four things bound the age of a copy.  The marks of purges that name it.  The lease, where the router is cut
off.  The life of marks, where a cache or its source has not purged what no mark tells of any more.  And the
floor, where the ledger could no longer tell all.  The answer is then judged by its own age and tags.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from quartzrouter.purges.freshness_lease import FreshnessLease, lease
from quartzrouter.purges.messages import Purge
from quartzrouter.purges.purge_index import PurgeIndex, PurgeLookup
from quartzrouter.purges.replica import ApplyPurges
from quartzrouter.purges.tags import Tags


class CachedCopy(NamedTuple):
    """What an answer tells of the copy that it brings.

    :param minted: us, by its origin's clock.
    :param age: us by which it was made before the dispatch came to the cache, counted by those who held it;
        negative where it was made after, None where they don't tell.
    :param tags: None: not told.
    """

    minted: int
    age: int | None
    tags: tuple[str, ...] | None


class FleetPurges:
    """The fleet's purges at one router.

    :param grace: us after its taking in which a purge must hold.
    :param life: us for which purges are marked.
    :param marks: held at most.
    :param objects: whose tags are remembered at most.
    :param skew: us by which origins' clocks may be ahead of this router's, where no age is told.
    :param remembers: what the marks were made of, so that it can be kept in a file.
    """

    def __init__(
        self, grace: int, life: int, marks: int, objects: int, skew: int = 0, remembers: bool = False
    ):
        self.skew, self.remembers = skew, remembers
        self.lease = FreshnessLease(lease(grace))
        self.marks = PurgeIndex(life, marks)
        self.tags = Tags(objects)
        self.caught: dict[str, int] = {}  # by cache: it has purged all up to this number
        self.recent: deque[tuple[int, Purge]] = deque()  # what the marks were made of
        self.dropped = 0  # us, the newest that is no longer among them although its life goes on
        self.floor = 0  # us; of what was purged before, some was never told
        self.old = 0  # answers that were asked for again

    # -- what is heard -----------------------------------------------------------------------------------

    def apply(self, news: ApplyPurges, held: int, now: int) -> None:
        """Puts purges in force; what is in force stays so, whatever a snapshot leaves out.

        :param held: the number up to which all is then held.
        """
        for purge in news.purges:
            self._mark(purge, min(now, purge.when + news.offset))
        if news.whole:
            before = news.purges[0].number - 1 if news.purges else held
            self.marks.forgotten = max(self.marks.forgotten, before)
            self.floor = max(self.floor, min(now, news.floor + news.offset) if news.floor else 0)
        self.expire(now)

    def resume(self, recent: Iterable[tuple[int, Purge]], held: int, floor: int, now: int) -> None:
        """What was in force before a restart, by this machine's clock."""
        first = held + 1
        for when, purge in recent:
            self._mark(purge, min(when, now))
            first = min(first, purge.number)
        self.floor, self.marks.forgotten = floor, first - 1
        self.expire(now)

    def _mark(self, purge: Purge, when: int) -> None:
        self.marks.add(purge, when)
        if self.remembers:
            self.recent.append((when, purge))
        if len(self.recent) > self.marks.most:
            self.dropped = max(self.dropped, self.recent.popleft()[0])

    @property
    def known_from(self) -> int:
        """us; of what was purged before it, `recent` doesn't tell all."""
        return max(self.floor, self.dropped)

    def expire(self, now: int) -> None:
        self.marks.expire(now)
        while self.recent and self.recent[0][0] < now - self.marks.life:
            self.recent.popleft()

    # -- what is asked -------------------------------------------------------------------------------------

    def oldest(self, asked: PurgeLookup, store: str, held_by: Iterable[str], usual: int, now: int) -> int:
        """us, how old a copy may be at most; 0: any.

        :param store: where the cache stands.
        :param held_by: the cache and the source it fills from.
        :param usual: us, as decided without the fleet; 0: any.
        """
        self.marks.expire(now)
        when = self.marks.newest(asked, self.tags.known(asked.obj), store, self.floor)
        bounds = [usual] if usual else []
        if when:
            bounds.append(max(1, now - when))  # never 0, which is any
        if cut_off := self.lease.bound(now):
            bounds.append(cut_off)
        if not self.trusted(held_by):
            bounds.append(self.marks.life)
        return min(bounds, default=0)

    def trusted(self, held_by: Iterable[str]) -> bool:
        """Whether all of them have purged what no mark here tells of any more."""
        needed = self.marks.forgotten
        return not needed or all(self.caught.get(name, -1) >= needed for name in held_by)

    def good(self, asked: PurgeLookup, store: str, copy: CachedCopy, written: int, bound: int) -> bool:
        """Whether the copy that came may be passed on.

        :param written: us, when the dispatch went out or before.
        :param bound: us, the age that the dispatch named, where that was lower than usual; 0: it named none.
            Who joins a fill may get an older copy.
        """
        self.tags.learn(asked.obj, copy.tags)
        made = written - copy.age if copy.age is not None else copy.minted - self.skew
        when = self.marks.newest(asked, copy.tags, store, max(self.floor, made))
        if when <= made and not (bound and made < written - bound):
            return True
        self.old += 1
        return False
