"""Wildcard matching for one path or host part of a purge pattern, in linear time."""


class Glob:
    """One part of a pattern in which ``*`` occurs at least once and matches any number of characters.

    The part is split at its wildcards into literal pieces, each of which is searched for once. So a hostile
    pattern (``*a*a*a*b``) costs one search per piece, unlike a regular expression with backtracking.

    :param text: the part, with at least one ``*``.
    """

    __slots__ = ("middle_pieces", "min_length", "prefix", "suffix", "text")

    def __init__(self, text: str):
        self.text = text
        self.prefix, *self.middle_pieces, self.suffix = text.split("*")
        self.min_length = len(self.prefix) + len(self.suffix)

    def matches(self, text: str) -> bool:
        """Returns True if the whole text matches.

        Each middle piece is matched at its first occurrence, which leaves the most text for the next pieces.

        :param text: one part of a path or a host name.
        """
        if len(text) < self.min_length:
            return False
        if not text.startswith(self.prefix) or not text.endswith(self.suffix):
            return False
        position = len(self.prefix)
        end = len(text) - len(self.suffix)
        for piece in self.middle_pieces:
            found = text.find(piece, position, end)
            if found < 0:
                return False
            position = found + len(piece)
        return True
