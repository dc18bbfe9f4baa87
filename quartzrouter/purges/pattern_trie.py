"""A trie of purge patterns over hosts and paths, with one level for each part.

A pattern is HOST/PATH: ``*`` matches any number of characters of one part, ``**`` at the end matches
everything below, and an empty host matches any host. Every node stores the time of the newest purge at or
below it, so that a lookup skips nodes that can't contain a newer purge than the one already found.
"""

from quartzrouter.purges.glob import Glob

MAX_GLOBS_PER_NODE = 64  # they are tried one by one; further patterns become `**` of their node
MAX_VISITED_NODES = 1_024  # per lookup, 0.3 ms; beyond them, all purges not yet ruled out count as matches


class PatternNode:
    """The patterns with the same leading parts. All times are microseconds of the router's clock."""

    __slots__ = ("ends_here", "globs", "literals", "newest", "subtree")

    def __init__(self) -> None:
        self.literals: dict[str, PatternNode] = {}
        self.globs: dict[str, tuple[Glob, PatternNode]] = {}
        self.ends_here = 0  # time of the newest purge by a pattern that ends at this node
        self.subtree = 0  # time of the newest purge by a pattern that continues with `**`
        self.newest = 0  # time of the newest purge by any pattern at or below this node

    def drop_until(self, time: int) -> None:
        """Removes the purges at this node itself that are not newer than a time."""
        if self.ends_here <= time:
            self.ends_here = 0
        if self.subtree <= time:
            self.subtree = 0

    def child(self, part: str) -> "PatternNode | None":
        """Returns the child for a part of a pattern, if there is one."""
        if "*" not in part:
            return self.literals.get(part)
        entry = self.globs.get(part)
        return entry[1] if entry else None

    def remove_child(self, part: str) -> None:
        """Removes the child for a part of a pattern."""
        if "*" in part:
            del self.globs[part]
        else:
            del self.literals[part]

    def add_child(self, part: str) -> "PatternNode | None":
        """Returns the child for a part of a pattern, adding it if necessary.

        :returns: None if this node can't hold another glob.
        """
        child = self.child(part)
        if child is not None:
            return child
        child = PatternNode()
        if "*" not in part:
            self.literals[part] = child
            return child
        if len(self.globs) >= MAX_GLOBS_PER_NODE:
            return None
        self.globs[part] = (Glob(part), child)
        return child


class PatternTrie:
    """Purge patterns, each with the time of its newest purge."""

    def __init__(self) -> None:
        self.root = PatternNode()
        self.widened_patterns = 0  # patterns that became `**` of a node with too many globs

    def add(self, pattern: str, purged_at: int) -> None:
        """Adds a purge.

        :param purged_at: microseconds.
        """
        parts = _parts(pattern)
        purges_subtree = parts[-1] == "**"
        if purges_subtree:
            parts.pop()
        node = self.root
        for part in parts:
            node.newest = max(node.newest, purged_at)
            child = node.add_child(part)
            if child is None:  # a wider pattern is safe: more copies are renewed, and none is missed
                self.widened_patterns += 1
                purges_subtree = True
                break
            node = child
        node.newest = max(node.newest, purged_at)
        if purges_subtree:
            node.subtree = max(node.subtree, purged_at)
        else:
            node.ends_here = max(node.ends_here, purged_at)

    def newest(self, host: str, path: str, newer_than: int = 0) -> int:
        """Returns the time of the newest purge that matches a path.

        The number of visited nodes is bounded because patterns come from clients: a lookup that would visit
        more counts every purge not yet ruled out as a match, which renews more copies and misses none.

        :param path: begins with a ``/``.
        :returns: microseconds, or ``newer_than`` if no matching purge is newer.
        """
        parts = [host.lower(), *path.split("/")[1:]]
        newest = newer_than
        visited = 0
        unvisited = [(self.root, 0)]
        while unvisited:
            node, depth = unvisited.pop()
            if node.newest <= newest:
                continue
            visited += 1
            if visited > MAX_VISITED_NODES:
                return max(newest, node.newest, *(other.newest for other, _ in unvisited))
            if depth == len(parts):
                newest = max(newest, node.ends_here)
                continue
            newest = max(newest, node.subtree)
            part = parts[depth]
            for glob, child in node.globs.values():
                if child.newest > newest and glob.matches(part):
                    unvisited.append((child, depth + 1))
            literal_child = node.literals.get(part)
            if literal_child:
                unvisited.append((literal_child, depth + 1))
        return newest

    def remove(self, pattern: str, purged_at: int) -> None:
        """Removes a purge; every older one must have been removed or be removed next.

        A node that contains no newer purge is removed with its subtree, so no newest time is recomputed.

        :param purged_at: microseconds, the same time as in add().
        """
        if self.root.newest <= purged_at:
            self.root = PatternNode()
            return
        node = self.root
        for part in _parts(pattern):
            node.drop_until(purged_at)
            child = node.child(part)
            if child is None:
                return
            if child.newest <= purged_at:
                node.remove_child(part)
                return
            node = child
        if node.ends_here <= purged_at:
            node.ends_here = 0


def _parts(pattern: str) -> list[str]:
    """Returns the host, or ``*`` for any host, and the parts of the path."""
    parts = pattern.split("/")
    parts[0] = parts[0].lower() or "*"
    return parts
