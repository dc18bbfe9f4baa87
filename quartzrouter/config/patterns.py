"""Patterns over hosts, paths and texts, and whether any text meets some of them and none of others.

`{name}` stands for one or more characters but the separator, `*` for any number of them, `**` and `{name**}`
for anything.  A set of patterns is decided exactly, on the automata that they are, with a witness.
"""

import re
from collections import deque
from collections.abc import Iterable
from functools import cached_property, lru_cache

METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS")
WILDCARDS_MOST = 8  # of one pattern: more say nothing more
STATES_MOST = 40_000  # looked at for one question: a second of work
TOKEN = re.compile(r"\{([^{}]*)\}|\*\*|\*|[^{}*]+|[{}]")
CAPTURE = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*(\*\*)?")
OTHER = "qxzjkvwy0123456789_~"  # of these one stands for all characters that no pattern names
FILLERS = ("q7x", "zz", "k0v9")  # for a first guess at a witness

LIT, ONE, STAR = range(3)


class InvalidPattern(ValueError):
    """A text that is no pattern."""


class SearchLimitExceeded(Exception):
    """A question too large to be answered within its bound."""


class Pattern:
    """One pattern.  Equal texts are one object, by pattern()."""

    def __init__(self, text: str, sep: str):
        self.text, self.sep = text, sep
        self.captures: list[str] = []
        self.items: list[tuple[int, str, bool]] = []  # kind, the character, whether it takes the separator
        self.pieces: list[tuple[str, str]] = []  # for the expression and for guesses: what, text
        wild = False
        tokens = list(TOKEN.finditer(text))
        for n, token in enumerate(tokens):
            said, name = token[0], token[1]
            if said in "{}" and name is None:
                raise InvalidPattern(f"a '{said}' without its other half")
            if name is None and not said.startswith("*"):
                self.items += [(LIT, char, False) for char in said]
                self.pieces.append(("text", said))
                wild = False
                continue
            if wild:
                raise InvalidPattern("two wildcards side by side")
            wild = True
            if name is not None:
                if not CAPTURE.fullmatch(name):
                    raise InvalidPattern(f"'{{{name}}}' names no capture")
                name = name.removesuffix("**")
                if name in self.captures:
                    raise InvalidPattern(f"'{{{name}}}' stands twice")
                self.captures.append(name)
            deep = said in ("**",) or said.endswith("**}") or not sep
            last, first = n == len(tokens) - 1, n == 0
            if deep and sep and not (last if sep == "/" else first):
                raise InvalidPattern(f"'{said}' stands only at the {'end' if sep == '/' else 'start'}")
            if name is not None and not said.endswith("**}"):
                self.items += [(ONE, "", deep), (STAR, "", deep)]
                self.pieces.append(("one", name))
            else:
                self.items.append((STAR, "", deep))
                self.pieces.append(("deep" if deep else "star", name or ""))
        if len([piece for piece in self.pieces if piece[0] != "text"]) > WILDCARDS_MOST:
            raise InvalidPattern(f"more than {WILDCARDS_MOST} wildcards")
        self.steps: dict[tuple[int, str], int] = {}
        self.chars = {char for kind, char, _ in self.items if kind == LIT}
        self.begin = self._close(1)
        self.accept = 1 << len(self.items)

    def __repr__(self) -> str:
        return f"Pattern({self.text!r})"

    @cached_property
    def literal(self) -> str | None:
        return None if any(kind != "text" for kind, _ in self.pieces) else self.text

    @cached_property
    def prefix(self) -> str:
        """The characters with which all that it takes begins."""
        return self.pieces[0][1] if self.pieces and self.pieces[0][0] == "text" else ""

    @cached_property
    def expression(self) -> re.Pattern[str]:
        """As a regular expression that takes linear time: what can't be wrong isn't tried twice."""
        parts, skip = [], False
        inner = f"[^{re.escape(self.sep)}]" if self.sep else "."
        for n, (what, text) in enumerate(self.pieces):
            if skip:  # it went with the wildcard before it
                skip = False
                continue
            if what == "text":
                parts.append(re.escape(text))
                continue
            take = {"one": inner + "+", "star": inner + "*", "deep": ".*"}[what]
            skip = what != "deep" and any(piece[0] != "text" for piece in self.pieces[n + 1 :])
            take += "?" if skip else ""
            take = f"({take})" if text else take
            # the shortest that reaches the next text is as good as any other
            parts.append(f"(?>{take}{re.escape(self.pieces[n + 1][1])})" if skip else take)
        return re.compile("".join(parts), re.DOTALL)

    def match(self, text: str) -> bool:
        return text == self.text if self.literal is not None else bool(self.expression.fullmatch(text))

    def walk(self, text: str) -> bool:
        """The same by the automaton, which a search for a witness walks."""
        state = self.begin
        for char in text:
            state = self.step(state, char)
        return bool(state & self.accept)

    def capture(self, text: str) -> dict[str, str]:
        """What the names of a pattern that takes the text stand for."""
        if not self.captures:
            return {}
        found = self.expression.fullmatch(text)
        return dict(zip(self.captures, found.groups(), strict=True)) if found else {}

    # -- as an automaton: a state is a set of positions, one bit each --------------------------------------

    def _close(self, state: int) -> int:
        for at, (kind, _, _) in enumerate(self.items):
            if kind == STAR and state >> at & 1:
                state |= 1 << at + 1
        return state

    def step(self, state: int, char: str) -> int:
        known = self.steps.get((state, char))
        if known is not None:
            return known
        after = 0
        for at, (kind, taken, deep) in enumerate(self.items):
            if not state >> at & 1:
                continue
            if kind == LIT:
                after |= (taken == char) << at + 1
            elif deep or char != self.sep:
                after |= 1 << (at + 1 if kind == ONE else at)
        after = self._close(after)
        if len(self.steps) < STATES_MOST:
            self.steps[state, char] = after
        return after

    def guess(self, filler: str) -> str:
        return "".join(text if what == "text" else filler for what, text in self.pieces)


@lru_cache(maxsize=1 << 17)
def pattern(text: str, sep: str) -> Pattern:
    """The pattern that a text stands for; raises InvalidPattern with the reason."""
    return Pattern(text, sep)


def witness(yes: Iterable[Pattern], no: Iterable[Pattern]) -> str | None:
    """The shortest text, or a guess, that all of yes take and none of no; None where there is none."""
    yes, no = tuple(dict.fromkeys(yes)), tuple(dict.fromkeys(no))
    if any(one in yes for one in no):
        return None
    for one in yes:
        if one.literal is not None:
            fits = all(other.match(one.text) for other in yes) and not any(o.match(one.text) for o in no)
            return one.text if fits else None
    for one in yes or (pattern("{x}", ""),):
        for filler in FILLERS:
            guess = one.guess(filler)
            if all(other.match(guess) for other in yes) and not any(other.match(guess) for other in no):
                return guess
    return _search(yes, no)


def _search(yes: tuple[Pattern, ...], no: tuple[Pattern, ...]) -> str | None:
    both = yes + no
    chars = set().union(*(one.chars for one in both)) | {one.sep for one in both if one.sep}
    other = next((char for char in OTHER if char not in chars), None) or next(
        chr(code) for code in range(0x100, 0x1000) if chr(code) not in chars
    )
    alphabet = [other, *sorted(chars)]
    start = tuple(one.begin for one in both)
    seen, queue = {start}, deque([(start, "")])
    while queue:
        state, text = queue.popleft()
        taken = all(at & one.accept for one, at in zip(yes, state, strict=False))
        if taken and not any(at & one.accept for one, at in zip(no, state[len(yes) :], strict=True)):
            return text
        for char in alphabet:
            after = tuple(one.step(at, char) for one, at in zip(both, state, strict=True))
            if all(after[: len(yes)]) and after not in seen:
                if len(seen) >= STATES_MOST:
                    raise SearchLimitExceeded
                seen.add(after)
                queue.append((after, text + char))
    return None
