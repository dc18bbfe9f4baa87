"""One part of a pattern: literal pieces with `*` between them, each looked for once."""


class Glob:
    """`*`, which stands there at least once, is any number of characters, also none."""

    __slots__ = ("first", "last", "least", "middle", "text")

    def __init__(self, text: str):
        self.text = text
        self.first, *self.middle, self.last = text.split("*")
        self.least = len(self.first) + len(self.last)

    def matches(self, text: str) -> bool:
        """Each middle piece is taken where it first stands: no later place could leave more room."""
        if len(text) < self.least or not text.startswith(self.first) or not text.endswith(self.last):
            return False
        at, end = len(self.first), len(text) - len(self.last)
        for piece in self.middle:
            found = text.find(piece, at, end)
            if found < 0:
                return False
            at = found + len(piece)
        return True
