"""Purge patterns over hosts and paths, as a trie by their parts.

A pattern is HOST/PATH: ``*`` is any number of characters of one part, ``**`` at the end is everything below,
and an empty host is any host. Every node knows the newest purge below it, so that a lookup skips all that
can't be newer than what it has found already.
"""

from quartzrouter.purges.glob import Glob

MAX_GLOBS_PER_NODE = 64  # tried one by one; a node with more takes everything below it
MAX_VISITED_NODES = 1_024  # of one lookup, 0.3 ms; after that the newest purge not yet ruled out is taken


class PatternNode:
    """The patterns that share their first parts; all times are microseconds of the router's clock."""

    __slots__ = ("ends_here", "globs", "literals", "newest", "subtree")

    def __init__(self) -> None:
        self.literals: dict[str, PatternNode] = {}
        self.globs: dict[str, tuple[Glob, PatternNode]] = {}
        self.ends_here = 0  # newest purge by a pattern that ends at this node
        self.subtree = 0  # newest purge by a pattern that goes on with `**`
        self.newest = 0  # newest purge by any pattern at or below this node

    def drop_until(self, time: int) -> None:
        """Forgets purges at this node itself that are not newer than a time."""
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
        """Returns the child for a part of a pattern; None where this node can't hold another glob."""
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
    """Purge patterns with the time of the newest purge by each."""

    def __init__(self) -> None:
        self.root = PatternNode()
        self.widened_patterns = 0  # patterns that became `**` of a node that has too many globs

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
            if child is None:  # taking too much is safe: more copies are renewed, none is missed
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
        """Finds the newest purge that matches a path.

        The number of visited nodes is bounded, as patterns come from outside: a lookup that would take
        longer counts every purge not yet ruled out as a match, which renews more copies and misses none.

        :param path: begins with a ``/``.
        :returns: its time in microseconds, or ``newer_than`` where there is none newer.
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
        """Removes a purge, where every older one has been removed or is about to be.

        A node without anything newer is removed whole, so that no newest time need be recomputed.

        :param purged_at: microseconds, as it was added with.
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
    """The host, or ``*`` for any, and the parts of the path."""
    parts = pattern.split("/")
    parts[0] = parts[0].lower() or "*"
    return parts
