"""The purges that a router must still know: by object, tag and pattern, within a scope, bounded and expiring.

A mark is a time: copies made before it are old.  Where there are more marks than may be held, the oldest
become one mark of their whole scope, which takes more copies for old and never fewer.
"""

from collections.abc import Iterable
from typing import NamedTuple

from quartzrouter.purges.messages import Purge
from quartzrouter.purges.object_names import of_object
from quartzrouter.purges.timer_wheel import TimerWheel
from quartzrouter.purges.trie import Trie

SLOTS = 64  # of the wheel over a mark's life: marks live at most one part in so many too long
SCOPES_MOST = 256  # vhosts by stores; beyond, a purge holds for all
KEPT = 0.9  # of the marks held at most, where there are more: merging walks over a tenth of them at a time
EVERYWHERE = ("", "")


class PurgeLookup(NamedTuple):
    """What marks look at of a req."""

    vhost: str
    obj: str  # as the router keys it
    host: str
    path: str


class Scope:
    """The marks of one vhost, store, both or neither."""

    __slots__ = ("all", "objects", "tags", "tags_newest", "trie")

    def __init__(self) -> None:
        self.all = self.tags_newest = 0
        self.objects: dict[str, int] = {}
        self.tags: dict[str, int] = {}
        self.trie = Trie()

    def newest(self, asked: PurgeLookup, tags: Iterable[str] | None, above: int) -> int:
        best = max(above, self.all, self.objects.get(asked.obj, 0))
        if tags is None:
            best = max(best, self.tags_newest)
        elif self.tags_newest > best:
            for tag in tags:
                best = max(best, self.tags.get(tag, 0))
        if self.trie.root.newest > best:
            best = self.trie.newest(asked.host, asked.path, best)
        return best

    @property
    def empty(self) -> bool:
        return not (self.all or self.objects or self.tags or self.trie.root.newest)


class PurgeIndex:
    """Marks of all scopes.

    :param life: us for which a mark is held.
    :param most: marks held at once.
    """

    def __init__(self, life: int, most: int):
        self.life, self.most = life, most
        self.scopes: dict[tuple[str, str], Scope] = {}
        self.wheel = TimerWheel(max(1, life // SLOTS))
        self.merged = 0  # marks that became one of their scope
        self.forgotten = 0  # the highest number among those whose life is over

    def __len__(self) -> int:
        return self.wheel.count

    def add(self, purge: Purge, when: int) -> None:
        """Takes a purge in.

        :param when: us, its time on this router's clock.
        """
        at = (purge.vhost, purge.store)
        if at not in self.scopes and len(self.scopes) >= SCOPES_MOST:
            at = EVERYWHERE
        scope = self.scopes.setdefault(at, Scope())
        if purge.kind == "all":
            scope.all = max(scope.all, when)
            self._hold(at, "all", "", when, purge.number)
        for value in purge.values:
            if purge.kind == "pattern":
                scope.trie.add(value, when)
                self._hold(at, "pattern", value, when, purge.number)
                continue
            if purge.kind == "tag":
                scope.tags[value] = max(when, scope.tags.get(value, 0))
                scope.tags_newest = max(scope.tags_newest, when)
                self._hold(at, "tag", value, when, purge.number)
                continue
            for name in of_object(value):
                scope.objects[name] = max(when, scope.objects.get(name, 0))
                self._hold(at, "object", name, when, purge.number)
        if self.wheel.count > self.most:
            self._merge()

    def newest(self, asked: PurgeLookup, tags: Iterable[str] | None, store: str, above: int = 0) -> int:
        """us of the newest purge that takes a copy; `above` where none is newer.

        :param tags: of the copy; None: not known, so that it may carry any.
        :param store: where the cache stands that holds it; "*": it may be anywhere.
        """
        best = above
        if store == "*":
            for (vhost, _), scope in self.scopes.items():
                if vhost in ("", asked.vhost):
                    best = scope.newest(asked, tags, best)
            return best
        for key in {(asked.vhost, store), (asked.vhost, ""), ("", store), EVERYWHERE}:
            if scope := self.scopes.get(key):
                best = scope.newest(asked, tags, best)
        return best

    def expire(self, now: int) -> None:
        """Forgets marks whose life is over."""
        if self.wheel.ends > (over := now - self.life):
            return
        touched = set()
        for at, kind, value, when, number in self.wheel.due(over):
            self.forgotten = max(self.forgotten, number)
            touched.add(at)
            self._drop(at, kind, value, when)
        for at in touched:
            if at in self.scopes and self.scopes[at].empty:
                del self.scopes[at]

    def _hold(self, at: tuple[str, str], kind: str, value: str, when: int, number: int) -> None:
        self.wheel.put(when, (at, kind, value, when, number))

    def _drop(self, at: tuple[str, str], kind: str, value: str, when: int) -> None:
        """Takes one mark out unless a later purge has renewed it."""
        scope = self.scopes.get(at)
        if scope is None:
            return
        if kind == "all":
            scope.all = scope.all if scope.all > when else 0
        elif kind == "pattern":
            scope.trie.remove(value, when)
        else:
            held = scope.objects if kind == "object" else scope.tags
            if held.get(value, 0) <= when:
                held.pop(value, None)
            if scope.tags_newest <= when:
                scope.tags_newest = 0

    def _merge(self) -> None:
        """The oldest marks, a tenth of all, become one for each of their scopes."""
        newest: dict[tuple[str, str], tuple[int, int]] = {}
        while self.wheel.slots and self.wheel.count > self.most * KEPT:
            for at, kind, value, when, number in self.wheel.oldest():
                newest[at] = max(newest.get(at, (0, 0)), (when, number))
                self._drop(at, kind, value, when)
                self.merged += 1
        for at, (when, number) in newest.items():
            scope = self.scopes.setdefault(at, Scope())
            scope.all = max(scope.all, when)
            self._hold(at, "all", "", when, number)
