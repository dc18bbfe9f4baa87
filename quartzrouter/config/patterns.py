"""Patterns over hosts, paths and texts, and the search for a text that matches some and none of others.

`{name}` matches one or more characters other than the separator, `*` any number of them, `**` and `{name**}`
any text.  The search is exact: it runs the patterns as automata, and returns a text as a witness.
"""

import re
from collections import deque
from collections.abc import Iterable
from functools import cached_property, lru_cache

METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS")
MAX_WILDCARDS = 8  # of one pattern; more would express nothing more
MAX_STATES = 40_000  # that one search visits (a second of work), and steps of each pattern that it keeps
TOKEN = re.compile(r"\{([^{}]*)\}|\*\*|\*|[^{}*]+|[{}]")
CAPTURE = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*(\*\*)?")
# one of these represents all characters that no pattern contains
OTHER_CHARACTERS = "qxzjkvwy0123456789_~"
FILLERS = ("q7x", "zz", "k0v9")  # replace the wildcards in a first guess at a witness

# what a position of the automaton takes: a given character, one character, any number of characters
LITERAL, ONE, ANY_NUMBER = range(3)


class InvalidPattern(ValueError):
    """A text isn't a pattern; the message says why."""


class SearchLimitExceeded(Exception):
    """A search for a witness visits more than ``MAX_STATES`` states."""


class Pattern:
    """One pattern, both as a regular expression and as an automaton.

    ``pattern()`` returns the same object for equal texts, to all plans of a process: it never changes.

    :param text: the pattern as the plan writes it.
    :param sep: the separator that `{name}` and `*` don't match; empty if they match all characters.
    """

    def __init__(self, text: str, sep: str):
        self.text, self.sep = text, sep
        captures: list[str] = []
        positions: list[tuple[int, str, bool]] = []
        pieces: list[tuple[str, str]] = []
        after_wildcard = False
        tokens = list(TOKEN.finditer(text))
        for index, token in enumerate(tokens):
            token_text, name = token[0], token[1]
            if token_text in "{}" and name is None:
                raise InvalidPattern(f"unmatched '{token_text}'")
            if name is None and not token_text.startswith("*"):
                positions += [(LITERAL, char, False) for char in token_text]
                pieces.append(("text", token_text))
                after_wildcard = False
                continue
            if after_wildcard:
                raise InvalidPattern("two adjacent wildcards")
            after_wildcard = True
            if name is not None:
                if not CAPTURE.fullmatch(name):
                    raise InvalidPattern(f"'{{{name}}}' isn't a valid capture name")
                name = name.removesuffix("**")
                if name in captures:
                    raise InvalidPattern(f"'{{{name}}}' is used twice")
                captures.append(name)
            takes_separator = token_text in ("**",) or token_text.endswith("**}") or not sep
            is_last, is_first = index == len(tokens) - 1, index == 0
            if takes_separator and sep and not (is_last if sep == "/" else is_first):
                raise InvalidPattern(
                    f"'{token_text}' is allowed only at the {'end' if sep == '/' else 'start'}"
                )
            if name is not None and not token_text.endswith("**}"):
                positions += [(ONE, "", takes_separator), (ANY_NUMBER, "", takes_separator)]
                pieces.append(("one", name))
            else:
                positions.append((ANY_NUMBER, "", takes_separator))
                pieces.append(("deep" if takes_separator else "star", name or ""))
        if len([piece for piece in pieces if piece[0] != "text"]) > MAX_WILDCARDS:
            raise InvalidPattern(f"more than {MAX_WILDCARDS} wildcards")
        self.captures = tuple(captures)
        # the automaton's positions: the kind, the character of a literal, True if it takes the separator too
        self.positions = tuple(positions)
        # for the expression and for guesses: the kind, with the literal text or the capture's name
        self.pieces = tuple(pieces)
        self.literal_chars = frozenset(char for kind, char, _ in positions if kind == LITERAL)
        self.start_state = self._skip_optional(1)
        self.accepting_bit = 1 << len(positions)

    def __repr__(self) -> str:
        return f"Pattern({self.text!r})"

    @cached_property
    def literal(self) -> str | None:
        """The only text that the pattern matches, or None if it has a wildcard."""
        return None if any(kind != "text" for kind, _ in self.pieces) else self.text

    @cached_property
    def prefix(self) -> str:
        """The text with which every match begins."""
        return self.pieces[0][1] if self.pieces and self.pieces[0][0] == "text" else ""

    @cached_property
    def expression(self) -> re.Pattern[str]:
        """The pattern as a regular expression, which takes linear time: atomic groups avoid backtracking."""
        parts, is_consumed = [], False
        character = f"[^{re.escape(self.sep)}]" if self.sep else "."
        for index, (kind, text) in enumerate(self.pieces):
            if is_consumed:  # this text is in the group of the wildcard before it
                is_consumed = False
                continue
            if kind == "text":
                parts.append(re.escape(text))
                continue
            wildcard = {"one": character + "+", "star": character + "*", "deep": ".*"}[kind]
            is_consumed = kind != "deep" and any(piece[0] != "text" for piece in self.pieces[index + 1 :])
            wildcard += "?" if is_consumed else ""
            wildcard = f"({wildcard})" if text else wildcard
            # if another wildcard follows, the shortest match up to the next text suffices: that wildcard can
            # take whatever a longer match would have taken
            parts.append(f"(?>{wildcard}{re.escape(self.pieces[index + 1][1])})" if is_consumed else wildcard)
        return re.compile("".join(parts), re.DOTALL)

    def match(self, text: str) -> bool:
        """Returns True if the pattern matches a whole text."""
        return text == self.text if self.literal is not None else bool(self.expression.fullmatch(text))

    def walk(self, text: str) -> bool:
        """Returns what ``match`` returns, by the automaton that the search for a witness uses."""
        state = self.start_state
        for char in text:
            state = self.step(state, char)
        return bool(state & self.accepting_bit)

    def capture(self, text: str) -> dict[str, str]:
        """Returns the text of each capture; the pattern must match the given text."""
        if not self.captures:
            return {}
        match = self.expression.fullmatch(text)
        return dict(zip(self.captures, match.groups(), strict=True)) if match else {}

    # -- the automaton: a state is a set of positions, one bit each ----------------------------------------

    def _skip_optional(self, state: int) -> int:
        """Returns a state with the positions that follow those that may take no character."""
        for position, (kind, _, _) in enumerate(self.positions):
            if kind == ANY_NUMBER and state >> position & 1:
                state |= 1 << position + 1
        return state

    def step(self, state: int, char: str) -> int:
        """Returns the state after a character; 0 if no match is possible any more."""
        after = 0
        for position, (kind, literal, takes_separator) in enumerate(self.positions):
            if not state >> position & 1:
                continue
            if kind == LITERAL:
                after |= (literal == char) << position + 1
            elif takes_separator or char != self.sep:
                after |= 1 << (position + 1 if kind == ONE else position)
        return self._skip_optional(after)

    def guess(self, filler: str) -> str:
        """Returns the pattern with each wildcard replaced by a text, which it may or may not match."""
        return "".join(text if kind == "text" else filler for kind, text in self.pieces)


@lru_cache(maxsize=1 << 17)
def pattern(text: str, sep: str) -> Pattern:
    """Returns the pattern that a text stands for; raises ``InvalidPattern`` with the reason if it is none."""
    return Pattern(text, sep)


def witness(yes: Iterable[Pattern], no: Iterable[Pattern]) -> str | None:
    """Returns a text that all patterns of `yes` and none of `no` match, or None if there is none.

    :raises SearchLimitExceeded: if the search is too large.
    """
    yes, no = tuple(dict.fromkeys(yes)), tuple(dict.fromkeys(no))
    if any(one in yes for one in no):
        return None
    for one in yes:
        if one.literal is not None:
            matches = all(other.match(one.text) for other in yes) and not any(o.match(one.text) for o in no)
            return one.text if matches else None
    for one in yes or (pattern("{x}", ""),):
        for filler in FILLERS:
            guess = one.guess(filler)
            if all(other.match(guess) for other in yes) and not any(other.match(guess) for other in no):
                return guess
    return _search(yes, no)


def _search(yes: tuple[Pattern, ...], no: tuple[Pattern, ...]) -> str | None:
    """Returns the shortest witness, by a breadth-first search over the product of the automata."""
    patterns = yes + no
    chars = set().union(*(one.literal_chars for one in patterns)) | {one.sep for one in patterns if one.sep}
    other = next((char for char in OTHER_CHARACTERS if char not in chars), None) or next(
        chr(code) for code in range(0x100, 0x1000) if chr(code) not in chars
    )
    alphabet = [other, *sorted(chars)]
    start = tuple(one.start_state for one in patterns)
    seen, queue = {start}, deque([(start, "")])
    steppers = [lru_cache(MAX_STATES)(one.step) for one in patterns]
    while queue:
        state, text = queue.popleft()
        is_accepted = all(part & one.accepting_bit for one, part in zip(yes, state, strict=False))
        if is_accepted and not any(
            part & one.accepting_bit for one, part in zip(no, state[len(yes) :], strict=True)
        ):
            return text
        for char in alphabet:
            after = tuple(step(part, char) for step, part in zip(steppers, state, strict=True))
            if all(after[: len(yes)]) and after not in seen:
                if len(seen) >= MAX_STATES:
                    raise SearchLimitExceeded
                seen.add(after)
                queue.append((after, text + char))
    return None
