"""The oldest copy of an object that may be served, given what was purged.  No I/O."""

from quartzrouter.routing.units import SECOND

# Time, in microseconds, that a purge is remembered beyond its lifetime, as clocks and messages are late.
LIFETIME_MARGIN = 1 * SECOND

PurgeKey = tuple[int | None, str | None]  # (tag, None) or (None, object key)


class Freshness:
    """The times of recent purges, by object and by tag.

    Bounded: a purge is forgotten once all copies that are older than it are gone anyway.
    """

    def __init__(self, purge_lifetime: int) -> None:
        """:param purge_lifetime: time after which copies that were purged are gone everywhere."""
        self.purge_lifetime = purge_lifetime
        self.purged_at: dict[PurgeKey, int] = {}

    def record(self, tag: int | None, object_key: str | None, purged_at: int, now: int) -> None:
        """Records a purge, and removes those that are over.

        :param tag: what to purge where no object is named.
        :param object_key: the object to purge; None: all with the tag.
        :param purged_at: copies that are older are not to be served any more.
        """
        key: PurgeKey = (None, object_key) if object_key else (tag, None)
        self.purged_at[key] = max(purged_at, self.purged_at.get(key, purged_at))
        for expired in [key for key, time in self.purged_at.items() if self._is_over(time, now)]:
            del self.purged_at[expired]

    def max_age(self, tag: int | None, object_key: str, usual_max_age: int, now: int) -> int:
        """The age of the oldest copy that will do.

        Guards against serving what was purged: a cache that has not heard of the purge yet is asked for a
        copy that is younger.  It holds as the age is named in each attempt.

        :param usual_max_age: the age allowed without a purge; 0: the traffic class's default.
        :returns: an age; 0 only where there was no purge, as on the wire it means the usual age.
        """
        purged_at = max(self.purged_at.get((None, object_key), -1), self.purged_at.get((tag, None), -1))
        if purged_at < 0 or self._is_over(purged_at, now):
            return usual_max_age
        age = max(1, now - purged_at)
        return min(age, usual_max_age) if usual_max_age else age

    def _is_over(self, purged_at: int, now: int) -> bool:
        return now - purged_at > self.purge_lifetime + LIFETIME_MARGIN

    def copy_from(self, other: "Freshness") -> None:
        """Replaces the recorded purges by a copy of another instance's."""
        self.purged_at = dict(other.purged_at)
