"""The fleet's purges at one router: how old a copy may be, and whether a copy that came may be passed on.

Four rules bound the age of a copy: the purges in the index that name it; the lease, where the router is cut
off from the purge log; the lifetime of index entries, where a cache or its fill source has not applied
purges that the index no longer holds; and the low watermark, where the purge log could no longer send every
purge. The copy that comes is then judged by its own age and tags.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from quartzrouter.purges.freshness_lease import FreshnessLease, lease_length
from quartzrouter.purges.messages import Purge
from quartzrouter.purges.purge_index import PurgeIndex, PurgeLookup
from quartzrouter.purges.replica import ApplyPurges
from quartzrouter.purges.surrogate_tags import ObjectTags


class CachedCopy(NamedTuple):
    """What a response tells of the copy that it brings.

    :param made_at: microseconds of its origin's clock.
    :param age: microseconds from the making of the copy until the attempt came to the cache, as counted by
        those who held it; negative where it was made after; None where they don't tell.
    :param tags: None where the response names none.
    """

    made_at: int
    age: int | None
    tags: tuple[str, ...] | None


# A purge that is applied here, behind its time in microseconds of this router's clock. A plain tuple, as
# thousands of them are handed to the writer of the file between two turns of the event loop, as they are.
AppliedPurge = tuple[int, Purge]


class FleetPurges:
    """The fleet's purges at one router. All times are microseconds of this router's wall clock.

    :param grace: microseconds after its acceptance within which a purge must hold.
    :param lifetime: microseconds for which a purge is held in the index.
    :param max_entries: purged values held in the index.
    :param max_objects: objects whose tags are remembered.
    :param max_clock_skew: microseconds by which origins' clocks may be ahead of this router's; counts where
        a copy's age is not told.
    :param keeps_recent: whether purges are kept beside the index, so that they can be stored.
    """

    def __init__(
        self,
        grace: int,
        lifetime: int,
        max_entries: int,
        max_objects: int,
        max_clock_skew: int = 0,
        keeps_recent: bool = False,
    ):
        self.max_clock_skew = max_clock_skew
        self.keeps_recent = keeps_recent
        self.lease = FreshnessLease(lease_length(grace))
        self.index = PurgeIndex(lifetime, max_entries)
        self.object_tags = ObjectTags(max_objects)
        self.caches_caught_up: dict[str, int] = {}  # sequence number up to which each has purged
        self.recent: deque[AppliedPurge] = deque()
        self.newest_dropped_at = 0  # purged_at of the newest that is no longer in `recent`, though it lives
        self.low_watermark = 0  # some purges accepted before it never came
        self.stale_copies = 0  # responses that were not passed on

    # -- applying purges -----------------------------------------------------------------------------------

    def apply(self, update: ApplyPurges, applied_up_to: int, now: int) -> None:
        """Applies purges; those applied before stay, whatever a snapshot leaves out.

        :param applied_up_to: the sequence number up to which every purge is applied then.
        """
        for purge in update.purges:
            self._add(purge, min(now, purge.purged_at + update.clock_offset))
        if update.is_snapshot:
            first_number = update.purges[0].sequence_number if update.purges else applied_up_to + 1
            self.index.expired_up_to = max(self.index.expired_up_to, first_number - 1)
            if update.low_watermark:
                low_watermark = min(now, update.low_watermark + update.clock_offset)
                self.low_watermark = max(self.low_watermark, low_watermark)
        self.expire(now)

    def restore(
        self, recent: Iterable[AppliedPurge], applied_up_to: int, low_watermark: int, now: int
    ) -> None:
        """Applies again what was applied before a restart.

        :param applied_up_to: the sequence number up to which every purge was applied.
        """
        first_number = applied_up_to + 1
        for purged_at, purge in recent:
            self._add(purge, min(purged_at, now))
            first_number = min(first_number, purge.sequence_number)
        self.low_watermark = low_watermark
        self.index.expired_up_to = first_number - 1
        self.expire(now)

    def _add(self, purge: Purge, purged_at: int) -> None:
        self.index.add(purge, purged_at)
        if self.keeps_recent:
            self.recent.append((purged_at, purge))
        if len(self.recent) > self.index.max_entries:
            dropped_purged_at, _ = self.recent.popleft()
            self.newest_dropped_at = max(self.newest_dropped_at, dropped_purged_at)

    @property
    def recent_low_watermark(self) -> int:
        """Microseconds; some purges accepted before it are missing in ``recent``."""
        return max(self.low_watermark, self.newest_dropped_at)

    def expire(self, now: int) -> None:
        """Removes purges whose lifetime is over."""
        self.index.expire(now)
        while self.recent:
            oldest_purged_at, _ = self.recent[0]
            if oldest_purged_at >= now - self.index.lifetime:
                break
            self.recent.popleft()

    # -- judging copies ------------------------------------------------------------------------------------

    def max_age(
        self, lookup: PurgeLookup, store: str, held_by: Iterable[str], usual_max_age: int, now: int
    ) -> int:
        """Returns the age in microseconds that a copy may have at most; 0 for no limit.

        :param store: of the cache that is asked.
        :param held_by: the cache and its fill source.
        :param usual_max_age: microseconds, as decided without purges; 0 for no limit.
        """
        self.index.expire(now)
        limits = [usual_max_age] if usual_max_age else []
        known_tags = self.object_tags.known(lookup.object_key)
        newest_purge = self.index.newest(lookup, known_tags, store, self.low_watermark)
        if newest_purge:
            limits.append(max(1, now - newest_purge))  # never 0, which would be no limit
        cut_off_max_age = self.lease.max_age(now)
        if cut_off_max_age:
            limits.append(cut_off_max_age)
        if not self.have_caught_up(held_by):
            limits.append(self.index.lifetime)
        return min(limits, default=0)

    def have_caught_up(self, held_by: Iterable[str]) -> bool:
        """Tells whether caches have applied every purge that the index no longer holds.

        Guards against caches that were away for longer than the lifetime of index entries: they return
        with copies that no entry names any more. Such copies are bounded by that lifetime instead.

        :param held_by: names of caches.
        """
        needed = self.index.expired_up_to
        return not needed or all(self.caches_caught_up.get(name, -1) >= needed for name in held_by)

    def accepts(self, lookup: PurgeLookup, store: str, copy: CachedCopy, sent_at: int, max_age: int) -> bool:
        """Tells whether a copy that came may be passed on.

        Guards against two failures. Tags are known from an object's last response only, and another cache
        may hold a copy with others: such a copy comes although a purge by tag names it. And a request that
        joins a fill may get an older copy than its attempt allows.

        :param store: of the cache that sent it.
        :param sent_at: microseconds, when the attempt was sent or before.
        :param max_age: microseconds, as the attempt named it, where that was lower than usual; 0 where not.
        """
        self.object_tags.learn(lookup.object_key, copy.tags)
        made_at = self._made_at(copy, sent_at)
        newest_purge = self.index.newest(lookup, copy.tags, store, max(self.low_watermark, made_at))
        is_purged = newest_purge > made_at
        is_too_old = bool(max_age) and made_at < sent_at - max_age
        if is_purged or is_too_old:
            self.stale_copies += 1
            return False
        return True

    def _made_at(self, copy: CachedCopy, sent_at: int) -> int:
        """When a copy was made at the earliest, by this router's clock."""
        if copy.age is None:
            return copy.made_at - self.max_clock_skew
        return sent_at - copy.age
