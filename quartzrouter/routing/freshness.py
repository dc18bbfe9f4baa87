"""The highest age at which copies may be served, given the recent purges.  No I/O."""

from quartzrouter.routing.units import SECOND

# Time, in microseconds, for which a purge is remembered beyond its lifetime, to allow for late clocks and
# messages.
LIFETIME_MARGIN = 1 * SECOND

PurgeKey = tuple[int | None, str | None]  # (tag, None) or (None, object key)


class Freshness:
    """The times of recent purges, by object and by tag.

    A purge is removed once no copy older than it can exist, which bounds the number of entries.
    """

    def __init__(self, purge_lifetime: int) -> None:
        """:param purge_lifetime: time after which no cache holds a purged copy any more."""
        self.purge_lifetime = purge_lifetime
        self.purged_at: dict[PurgeKey, int] = {}

    def record(self, tag: int | None, object_key: str | None, purged_at: int, now: int) -> None:
        """Records a purge, and removes expired ones.

        :param tag: the tag to purge, if no object is given.
        :param object_key: the object to purge; None: all objects with the tag.
        :param purged_at: time of the purge; older copies must no longer be served.
        """
        key: PurgeKey = (None, object_key) if object_key else (tag, None)
        self.purged_at[key] = max(purged_at, self.purged_at.get(key, purged_at))
        for expired in [key for key, time in self.purged_at.items() if self._is_expired(time, now)]:
            del self.purged_at[expired]

    def max_age(self, tag: int | None, object_key: str, usual_max_age: int, now: int) -> int:
        """Returns the highest age at which a copy may be served.

        Prevents purged copies from being served: a cache that has not received the purge yet is asked for a
        copy made after it.  This works because each attempt carries the age.

        :param usual_max_age: the age allowed without a purge; 0: the traffic class's default.
        :returns: an age; 0 only if there was no purge, as 0 means the usual age on the wire.
        """
        purged_at = max(self.purged_at.get((None, object_key), -1), self.purged_at.get((tag, None), -1))
        if purged_at < 0 or self._is_expired(purged_at, now):
            return usual_max_age
        age = max(1, now - purged_at)
        return min(age, usual_max_age) if usual_max_age else age

    def _is_expired(self, purged_at: int, now: int) -> bool:
        return now - purged_at > self.purge_lifetime + LIFETIME_MARGIN

    def copy_from(self, other: "Freshness") -> None:
        """Replaces the recorded purges with a copy of those of another instance."""
        self.purged_at = dict(other.purged_at)
