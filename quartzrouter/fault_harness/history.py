"""What was observed between processes, timed by the machine's monotonic clock; checkers read nothing else."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from quartzrouter.server.clock import steady_clock


class HistoryEvent(NamedTuple):
    """One observed event.

    :param time: us, of the machine's monotonic clock.
    :param kind: the event's kind, as "arrive" or "fault".
    :param actor: the process, cache or client that it was observed at.
    :param details: more about it; the keys depend on the kind.
    """

    time: int
    kind: str
    actor: str
    details: dict[str, Any]


class History:
    """All events of one run, in the order in which they were observed."""

    def __init__(self) -> None:
        self.events: list[HistoryEvent] = []

    def add(self, event_kind: str, actor: str, **details: Any) -> int:
        """Records an event that happens now.

        :returns: its time in us.
        """
        time = steady_clock()
        self.events.append(HistoryEvent(time, event_kind, actor, details))
        return time

    def events_of(self, *kinds: str) -> Iterator[HistoryEvent]:
        """Yields the events of the given kinds."""
        return (event for event in self.events if event.kind in kinds)

    def write(self, path: Path) -> None:
        """Writes one JSON array per event and line."""
        path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in self.events))
