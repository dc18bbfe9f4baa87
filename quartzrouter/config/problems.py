"""Faults of a plan: the place, the reason and the remedy, shown with the source line and a caret."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property
from typing import Any

MAX_FAULTS = 200  # messages of one run; nobody reads more
MAX_SHOWN_COLUMNS = 160  # characters of a source line that a message shows


@dataclass(frozen=True)
class Source:
    """A file's text, and the name that messages give the file."""

    name: str
    text: str

    @cached_property
    def lines(self) -> list[str]:
        return self.text.split("\n")


@dataclass(frozen=True)
class Place:
    """A position in a source; lines and columns count from 1."""

    source: Source
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.source.name}:{self.line}:{self.column}"

    @property
    def sort_key(self) -> tuple[str, int, int]:
        return self.source.name, self.line, self.column


class Severity(Enum):
    """Tells whether a fault makes a plan unusable (an error) or only deserves attention (a warning)."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Fault:
    """One fault of a plan.

    :param reason: what is wrong.
    :param remedy: what to do about it; may be empty.
    :param code: the kind of fault, for editors.
    :param related_places: further places that the fault concerns, each with what it is.
    """

    place: Place
    reason: str
    remedy: str = ""
    severity: Severity = Severity.ERROR
    code: str = ""
    related_places: tuple[tuple[Place, str], ...] = ()

    @property
    def head(self) -> str:
        """Returns the first line of the message."""
        kind = "warning: " if self.severity is Severity.WARNING else ""
        return f"{self.place}: {kind}{self.reason}"

    def shown(self) -> str:
        """Returns the message: `file:line:column: reason`, the source line with a caret, and the remedy."""
        text = [self.head]
        lines = self.place.source.lines
        if 0 < self.place.line <= len(lines):
            line = lines[self.place.line - 1]
            start = max(0, self.place.column - MAX_SHOWN_COLUMNS)
            excerpt = line[start : start + MAX_SHOWN_COLUMNS].replace("\t", " ")
            text += [f"    {excerpt}", "    " + " " * (self.place.column - 1 - start) + "^"]
        text += [f"    {place}: {what}" for place, what in self.related_places]
        if self.remedy:
            text.append(f"    {self.remedy}")
        return "\n".join(text)

    def as_json(self) -> dict[str, Any]:
        """Returns the fault as `plan check --json` prints it."""
        return {
            "file": self.place.source.name,
            "line": self.place.line,
            "column": self.place.column,
            "weight": self.severity.value,
            "code": self.code,
            "reason": self.reason,
            "remedy": self.remedy,
            "also": [
                {"file": place.source.name, "line": place.line, "column": place.column, "what": what}
                for place, what in self.related_places
            ],
        }


class PlanError(Exception):
    """A fault that ends the evaluation of the value, or the parsing of the file, in which it is found."""

    def __init__(self, fault: Fault):
        super().__init__(fault.head)
        self.fault = fault


@dataclass
class Faults:
    """The faults of one run: each once, and at most ``MAX_FAULTS`` of them.

    :param heads: the first lines of the faults that are kept.
    :param left_out: the number of faults beyond ``MAX_FAULTS``.
    """

    kept: list[Fault] = field(default_factory=list)
    heads: set[str] = field(default_factory=set)
    left_out: int = 0

    def add(self, fault: Fault) -> None:
        """Keeps a fault, unless one with the same first line is kept already or there are too many."""
        if fault.head in self.heads:
            return
        if len(self.kept) >= MAX_FAULTS:
            self.left_out += 1
            return
        self.heads.add(fault.head)
        self.kept.append(fault)

    @property
    def errors(self) -> list[Fault]:
        return [fault for fault in self.kept if fault.severity is Severity.ERROR]

    @property
    def warnings(self) -> list[Fault]:
        return [fault for fault in self.kept if fault.severity is Severity.WARNING]

    def in_order(self) -> list[Fault]:
        """Returns the faults by file, line and column."""
        return sorted(self.kept, key=lambda fault: fault.place.sort_key)


def suggestion(word: str, known: Iterable[str]) -> str:
    """Returns `did you mean X?` with the known word nearest to a misspelt one, or an empty text."""
    closest = difflib.get_close_matches(word, list(known), n=1, cutoff=0.6)
    return f"did you mean '{closest[0]}'?" if closest else ""


def joined_names(known: Iterable[str], limit: int = 8) -> str:
    """Returns names in alphabetical order, separated by commas; beyond the limit only their number."""
    ordered = sorted(known)
    return ", ".join(ordered[:limit]) + (f" and {len(ordered) - limit} more" if len(ordered) > limit else "")
