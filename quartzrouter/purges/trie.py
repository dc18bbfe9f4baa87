"""Patterns over hosts and paths, as a trie by their parts: the newest that takes a path, without asking each.

A pattern is HOST/PATH; `*` is any number of characters of one part, `**` at the end is anything, and an empty
host is any host.  Every node knows the newest time below it, so a walk passes by all that can't be newer.
"""

from quartzrouter.purges.glob import Glob

GLOBS_MOST = 64  # of one node, tried one by one; beyond, the node takes all below it
VISITS_MOST = 1_024  # nodes of one walk, 0.3 ms; beyond, the newest time not yet ruled out is taken


class Node:
    __slots__ = ("deep", "globs", "here", "literals", "newest")

    def __init__(self) -> None:
        self.literals: dict[str, Node] = {}
        self.globs: dict[str, tuple[Glob, Node]] = {}
        self.here = self.deep = self.newest = 0  # us; a pattern that ends here, one with `**`, all below


class Trie:
    def __init__(self) -> None:
        self.root = Node()
        self.coarse = 0  # patterns that a node with too many took in

    def add(self, text: str, when: int) -> None:
        node, parts = self.root, text.split("/")
        parts[0] = parts[0].lower() or "*"
        deep = parts[-1] == "**"
        for part in parts[:-1] if deep else parts:
            node.newest = max(node.newest, when)
            if "*" not in part:
                node = node.literals.setdefault(part, Node())
            elif part in node.globs:
                node = node.globs[part][1]
            elif len(node.globs) < GLOBS_MOST:
                node.globs[part] = (Glob(part), Node())
                node = node.globs[part][1]
            else:
                self.coarse += 1
                deep = True
                break
        node.newest = max(node.newest, when)
        if deep:
            node.deep = max(node.deep, when)
        else:
            node.here = max(node.here, when)

    def newest(self, host: str, path: str, above: int = 0) -> int:
        """us of the newest pattern that takes the path, if newer than `above`; else `above`.

        :param path: begins with a '/'.
        """
        parts = [host.lower(), *path.split("/")[1:]]
        end, best, visits = len(parts), above, 0
        stack = [(self.root, 0)]
        while stack:
            node, at = stack.pop()
            if node.newest <= best:
                continue
            visits += 1
            if visits > VISITS_MOST:
                return max(best, node.newest, *(rest.newest for rest, _ in stack))
            if at == end:
                best = max(best, node.here)
                continue
            best = max(best, node.deep)
            part = parts[at]
            for glob, child in node.globs.values():
                if child.newest > best and glob.matches(part):
                    stack.append((child, at + 1))
            if child := node.literals.get(part):
                stack.append((child, at + 1))
        return best

    def remove(self, text: str, when: int) -> None:
        """Takes out a pattern of that time, where everything older has been taken out or is about to be.

        A node that has nothing newer is dropped whole, so that no time below it need be reckoned anew.
        """
        if self.root.newest <= when:
            self.root = Node()
            return
        node, parts = self.root, text.split("/")
        parts[0] = parts[0].lower() or "*"
        for part in parts:
            node.here = node.here if node.here > when else 0
            node.deep = node.deep if node.deep > when else 0
            glob = "*" in part
            child = node.globs[part][1] if glob and part in node.globs else node.literals.get(part)
            if child is None:
                return
            if child.newest <= when:
                del (node.globs if glob else node.literals)[part]
                return
            node = child
        node.here = node.here if node.here > when else 0
