"""What passed between parties, on the machine's one monotonic clock; checkers read nothing else."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from quartzrouter.server.clock import steady_clock


class HistoryEvent(NamedTuple):
    """:param at: us."""

    at: int
    what: str
    who: str
    told: dict[str, Any]


class History:
    def __init__(self) -> None:
        self.events: list[HistoryEvent] = []

    def add(self, what: str, who: str, **told: Any) -> int:
        """Notes it; gives the time."""
        at = steady_clock()
        self.events.append(HistoryEvent(at, what, who, told))
        return at

    def of(self, *what: str) -> Iterator[HistoryEvent]:
        return (event for event in self.events if event.what in what)

    def write(self, path: Path) -> None:
        """One JSON array a line."""
        path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in self.events))
