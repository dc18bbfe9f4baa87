"""A bounded index of recent purges by scope and by object, tag or pattern.

An entry is the time of a purge: copies made before it are stale. Entries expire. If there are too many, the
oldest are merged into one purge of their whole scope, which makes more copies stale and never fewer.
"""

from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

from quartzrouter.purges.messages import Purge
from quartzrouter.purges.object_names import object_keys
from quartzrouter.purges.pattern_trie import PatternTrie
from quartzrouter.purges.timer_wheel import TimerWheel

SLOTS_PER_LIFETIME = 64  # slots of the timer wheel: entries expire at most 1/64 of their lifetime late
MAX_SCOPES = 256  # pairs of a vhost and a store; beyond them, a purge applies to every scope
MERGE_DOWN_TO = 0.9  # share of the maximum that is left after merging, so a tenth is merged at a time
ANY_STORE = "*"  # used for a cache whose store is not known


class ScopeKey(NamedTuple):
    """The vhost and store that a purge is limited to; an empty field means no limit."""

    vhost: str
    store: str


GLOBAL_SCOPE = ScopeKey("", "")


@lru_cache(MAX_SCOPES)
def _scopes_of(vhost: str, store: str) -> tuple[ScopeKey, ...]:
    """Returns the scopes that apply to a vhost and a store.

    The result is cached, as every request asks for it twice.
    """
    scopes = (ScopeKey(vhost, store), ScopeKey(vhost, ""), ScopeKey("", store), GLOBAL_SCOPE)
    return tuple(dict.fromkeys(scopes))


class PurgeLookup(NamedTuple):
    """The properties of one request that purges are matched against."""

    vhost: str
    object_key: str
    host: str
    path: str


class IndexEntry(NamedTuple):
    """One purged value, which the timer wheel holds until its lifetime ends.

    :param purged_at: microseconds of this router's clock.
    """

    scope: ScopeKey
    kind: str
    value: str
    purged_at: int
    sequence_number: int


class PurgeScope:
    """The purges of one scope. All times are microseconds of the router's clock."""

    __slots__ = ("all", "newest_tag", "objects", "patterns", "tags")

    def __init__(self) -> None:
        self.all = 0  # time of the newest purge of everything in the scope
        self.newest_tag = 0  # time of the newest purge by any tag
        self.objects: dict[str, int] = {}
        self.tags: dict[str, int] = {}
        self.patterns = PatternTrie()

    def newest(self, lookup: PurgeLookup, tags: Iterable[str] | None, newer_than: int) -> int:
        """Returns the time of the newest purge that matches, or ``newer_than`` if none is newer.

        :param tags: None if they are not known, so that any purge by tag matches.
        """
        newest = max(newer_than, self.all, self.objects.get(lookup.object_key, 0))
        if tags is None:
            newest = max(newest, self.newest_tag)
        elif self.newest_tag > newest:
            for tag in tags:
                newest = max(newest, self.tags.get(tag, 0))
        if self.patterns.root.newest > newest:
            newest = self.patterns.newest(lookup.host, lookup.path, newest)
        return newest

    def add(self, kind: str, value: str, purged_at: int) -> None:
        """Adds one purged value."""
        if kind == "all":
            self.all = max(self.all, purged_at)
        elif kind == "pattern":
            self.patterns.add(value, purged_at)
        elif kind == "tag":
            self.tags[value] = max(purged_at, self.tags.get(value, 0))
            self.newest_tag = max(self.newest_tag, purged_at)
        else:
            self.objects[value] = max(purged_at, self.objects.get(value, 0))

    def remove(self, kind: str, value: str, purged_at: int) -> None:
        """Removes one purged value, unless a newer purge names the same value."""
        if kind == "all":
            if self.all <= purged_at:
                self.all = 0
        elif kind == "pattern":
            self.patterns.remove(value, purged_at)
        else:
            purged_values = self.objects if kind == "object" else self.tags
            if purged_values.get(value, 0) <= purged_at:
                purged_values.pop(value, None)
            if self.newest_tag <= purged_at:
                self.newest_tag = 0

    @property
    def is_empty(self) -> bool:
        """True if the scope contains no purge."""
        return not (self.all or self.objects or self.tags or self.patterns.root.newest)


class PurgeIndex:
    """The purges of all scopes.

    :param lifetime: microseconds for which a purge is held.
    :param max_entries: the maximum number of purged values.
    """

    def __init__(self, lifetime: int, max_entries: int):
        self.lifetime = lifetime
        self.max_entries = max_entries
        self.scopes: dict[ScopeKey, PurgeScope] = {}
        self.expiry: TimerWheel[IndexEntry] = TimerWheel(max(1, lifetime // SLOTS_PER_LIFETIME))
        self.merged_entries = 0  # entries that were merged into a purge of their whole scope
        self.expired_up_to = 0  # the highest sequence number among expired purges

    def __len__(self) -> int:
        return self.expiry.count

    def add(self, purge: Purge, purged_at: int) -> None:
        """Adds a purge.

        :param purged_at: the time of the purge in microseconds of this router's clock.
        """
        scope = ScopeKey(purge.vhost, purge.store)
        if scope not in self.scopes and len(self.scopes) >= MAX_SCOPES:
            scope = GLOBAL_SCOPE
        for value in _indexed_values(purge):
            self._add(IndexEntry(scope, purge.kind, value, purged_at, purge.sequence_number))
        if self.expiry.count > self.max_entries:
            self._merge_oldest()

    def newest(self, lookup: PurgeLookup, tags: Iterable[str] | None, store: str, newer_than: int = 0) -> int:
        """Returns the time of the newest purge that makes a copy stale.

        :param tags: the tags of the copy; None if they are not known, so that it may have any tag.
        :param store: the store of the cache that holds the copy; ANY_STORE if it is not known.
        :returns: microseconds, or ``newer_than`` if no matching purge is newer.
        """
        newest = newer_than
        if store == ANY_STORE:
            for key, scope in self.scopes.items():
                if key.vhost in ("", lookup.vhost):
                    newest = scope.newest(lookup, tags, newest)
            return newest
        for key in _scopes_of(lookup.vhost, store):
            matching_scope = self.scopes.get(key)
            if matching_scope:
                newest = matching_scope.newest(lookup, tags, newest)
        return newest

    def expire(self, now: int) -> None:
        """Removes purges whose lifetime has ended.

        :param now: microseconds of this router's clock.
        """
        ended_before = now - self.lifetime
        if self.expiry.oldest_slot_end > ended_before:
            return
        changed_scopes = set()
        for entry in self.expiry.pop_ended(ended_before):
            self.expired_up_to = max(self.expired_up_to, entry.sequence_number)
            changed_scopes.add(entry.scope)
            self._remove(entry)
        for key in changed_scopes:
            if key in self.scopes and self.scopes[key].is_empty:
                del self.scopes[key]

    def _add(self, entry: IndexEntry) -> None:
        scope = self.scopes.setdefault(entry.scope, PurgeScope())
        scope.add(entry.kind, entry.value, entry.purged_at)
        self.expiry.put(entry.purged_at, entry)

    def _remove(self, entry: IndexEntry) -> None:
        scope = self.scopes.get(entry.scope)
        if scope is not None:
            scope.remove(entry.kind, entry.value, entry.purged_at)

    def _merge_oldest(self) -> None:
        """Replaces the oldest tenth of the entries with one purge of everything in each of their scopes."""
        newest_by_scope: dict[ScopeKey, tuple[int, int]] = {}  # purged_at and sequence number
        while self.expiry.slots and self.expiry.count > self.max_entries * MERGE_DOWN_TO:
            for entry in self.expiry.pop_oldest_slot():
                newest = newest_by_scope.get(entry.scope, (0, 0))
                newest_by_scope[entry.scope] = max(newest, (entry.purged_at, entry.sequence_number))
                self._remove(entry)
                self.merged_entries += 1
        for scope, (purged_at, sequence_number) in newest_by_scope.items():
            self._add(IndexEntry(scope, "all", "", purged_at, sequence_number))


def _indexed_values(purge: Purge) -> list[str]:
    """Returns the values under which a purge is indexed."""
    if purge.kind == "all":
        return [""]
    if purge.kind == "object":
        return [key for name in purge.values for key in object_keys(name)]
    return list(purge.values)
