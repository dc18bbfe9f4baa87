"""What passed between parties, on the machine's one monotonic clock; checkers read nothing else."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from quartzrouter.server.clock import steady_clock


class HistoryEvent(NamedTuple):
    """:param time: us."""

    time: int
    kind: str
    actor: str
    details: dict[str, Any]


class History:
    def __init__(self) -> None:
        self.events: list[HistoryEvent] = []

    def add(self, event_kind: str, actor: str, **details: Any) -> int:
        """Notes it; gives the time."""
        time = steady_clock()
        self.events.append(HistoryEvent(time, event_kind, actor, details))
        return time

    def events_of(self, *kinds: str) -> Iterator[HistoryEvent]:
        return (event for event in self.events if event.kind in kinds)

    def write(self, path: Path) -> None:
        """One JSON array a line."""
        path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in self.events))
