"""What is wrong with a plan: where, why, and what to do about it; shown with the line and a caret."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property
from typing import Any

FAULTS_MOST = 200  # messages of one run: more are read by nobody
LINE_MOST = 160  # characters of a source line that are shown


@dataclass(frozen=True)
class Source:
    """A file's text, by the name under which messages speak of it."""

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
    def order(self) -> tuple[str, int, int]:
        return self.source.name, self.line, self.column


class Severity(Enum):
    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Fault:
    place: Place
    reason: str
    remedy: str = ""
    severity: Severity = Severity.ERROR
    code: str = ""  # by which an editor knows the kind
    also: tuple[tuple[Place, str], ...] = ()  # further places, with what each of them is

    @property
    def head(self) -> str:
        kind = "warning: " if self.severity is Severity.WARNING else ""
        return f"{self.place}: {kind}{self.reason}"

    def shown(self) -> str:
        """`file:line:column: reason`, the line with a caret, what to do."""
        text = [self.head]
        lines = self.place.source.lines
        if 0 < self.place.line <= len(lines):
            line = lines[self.place.line - 1]
            start = max(0, self.place.column - LINE_MOST)
            cut = line[start : start + LINE_MOST].replace("\t", " ")
            text += [f"    {cut}", "    " + " " * (self.place.column - 1 - start) + "^"]
        text += [f"    {place}: {what}" for place, what in self.also]
        if self.remedy:
            text.append(f"    {self.remedy}")
        return "\n".join(text)

    def as_json(self) -> dict[str, Any]:
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
                for place, what in self.also
            ],
        }


class PlanError(Exception):
    """Carries one fault from where it is found to where it is kept."""

    def __init__(self, fault: Fault):
        super().__init__(fault.head)
        self.fault = fault


@dataclass
class Faults:
    """The faults of one run: each once, and no more than can be read."""

    kept: list[Fault] = field(default_factory=list)
    heads: set[str] = field(default_factory=set)
    left_out: int = 0

    def add(self, fault: Fault) -> None:
        if fault.head in self.heads:
            return
        if len(self.kept) >= FAULTS_MOST:
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
        return sorted(self.kept, key=lambda fault: fault.place.order)


def suggestion(word: str, known: Iterable[str]) -> str:
    """`did you mean X?` for the nearest known word, or nothing."""
    near = difflib.get_close_matches(word, list(known), n=1, cutoff=0.6)
    return f"did you mean '{near[0]}'?" if near else ""


def joined_names(known: Iterable[str], most: int = 8) -> str:
    listed = sorted(known)
    return ", ".join(listed[:most]) + (f" and {len(listed) - most} more" if len(listed) > most else "")
