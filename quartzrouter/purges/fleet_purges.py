"""The fleet's purges at one router: how old a copy may be, and whether a received copy may be forwarded.

Four rules bound the age of a copy:

- the purges in the index that match it;
- the lease, if the router is cut off from the purge log;
- the lifetime of index entries, if a cache or its fill source has not applied purges that the index no
  longer holds;
- the low watermark, if the purge log could no longer send every purge.

The copy in a response is then checked by its own age and tags.
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
    """What a response states about the copy in it.

    :param made_at: microseconds of the origin's clock.
    :param age: microseconds from the creation of the copy until the attempt reached the cache, as counted by
        the caches that held it; negative if it was created later; None if they don't report it.
    :param tags: None if the response names no tags.
    """

    made_at: int
    age: int | None
    tags: tuple[str, ...] | None


# A purge that is applied here, preceded by its time in microseconds of this router's clock. It is a plain
# tuple because thousands of them are passed unconverted to the file writer between two event loop iterations.
AppliedPurge = tuple[int, Purge]


class FleetPurges:
    """The fleet's purges at one router. All times are microseconds of this router's wall clock.

    :param grace: microseconds after its acceptance within which a purge must take effect.
    :param lifetime: microseconds for which a purge is held in the index.
    :param max_entries: the maximum number of purged values in the index.
    :param max_objects: the maximum number of objects whose tags are remembered.
    :param max_clock_skew: microseconds by which origins' clocks may be ahead of this router's; used if the
        age of a copy is not reported.
    :param keeps_recent: True if purges are also kept in ``recent``, so that they can be stored.
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
        self.caches_caught_up: dict[str, int] = {}  # the sequence number up to which each cache has purged
        self.recent: deque[AppliedPurge] = deque()
        self.newest_dropped_at = 0  # time of the newest purge dropped from `recent` before it expired
        self.low_watermark = 0  # some purges accepted before this time were never received
        self.stale_copies = 0  # responses that were not forwarded

    # -- applying purges -----------------------------------------------------------------------------------

    def apply(self, update: ApplyPurges, applied_up_to: int, now: int) -> None:
        """Applies purges; purges applied before are kept even if a snapshot omits them.

        :param applied_up_to: the sequence number up to which every purge is applied afterwards.
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
        """Applies the stored purges after a restart.

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
        """A time in microseconds; some purges accepted before it are missing from ``recent``."""
        return max(self.low_watermark, self.newest_dropped_at)

    def expire(self, now: int) -> None:
        """Removes purges whose lifetime has ended."""
        self.index.expire(now)
        while self.recent:
            oldest_purged_at, _ = self.recent[0]
            if oldest_purged_at >= now - self.index.lifetime:
                break
            self.recent.popleft()

    # -- checking copies -----------------------------------------------------------------------------------

    def max_age(
        self, lookup: PurgeLookup, store: str, held_by: Iterable[str], usual_max_age: int, now: int
    ) -> int:
        """Returns the maximum age of a copy in microseconds; 0 for no limit.

        :param store: the store of the cache that is asked.
        :param held_by: names of the cache and its fill source.
        :param usual_max_age: the limit in microseconds without purges; 0 for no limit.
        """
        self.index.expire(now)
        limits = [usual_max_age] if usual_max_age else []
        known_tags = self.object_tags.known(lookup.object_key)
        newest_purge = self.index.newest(lookup, known_tags, store, self.low_watermark)
        if newest_purge:
            limits.append(max(1, now - newest_purge))  # 0 would mean no limit
        cut_off_max_age = self.lease.max_age(now)
        if cut_off_max_age:
            limits.append(cut_off_max_age)
        if not self.have_caught_up(held_by):
            limits.append(self.index.lifetime)
        return min(limits, default=0)

    def have_caught_up(self, held_by: Iterable[str]) -> bool:
        """Returns True if caches have applied every purge that the index no longer holds.

        Guards against caches that were unreachable for longer than the lifetime of index entries: they return
        with copies that no entry matches any more. The age of such copies is bounded by that lifetime.

        :param held_by: names of caches.
        """
        expired_up_to = self.index.expired_up_to
        return not expired_up_to or all(
            self.caches_caught_up.get(name, -1) >= expired_up_to for name in held_by
        )

    def accepts(self, lookup: PurgeLookup, store: str, copy: CachedCopy, sent_at: int, max_age: int) -> bool:
        """Returns True if a received copy may be forwarded.

        Guards against two failures. Tags are known from an object's last response only, but another cache may
        hold a copy with other tags, which is then received although a purge by tag matches it. And a request
        that joins a fill may get an older copy than its attempt allows.

        :param store: the store of the cache that sent the copy.
        :param sent_at: a time in microseconds, not later than the attempt was sent.
        :param max_age: microseconds, as the attempt named it if that was lower than usual; otherwise 0.
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
        """Returns the earliest time at which a copy can have been made, by this router's clock."""
        if copy.age is None:
            return copy.made_at - self.max_clock_skew
        return sent_at - copy.age
