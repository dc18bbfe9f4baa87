"""Signals from the process's first moment to its last: none is lost, none ends it by the system's default.

Imports next to nothing, so that it can stand ahead of all that takes time to load.
"""

import signal
from collections import deque
from collections.abc import Callable

LISTENED = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
KEPT = 64  # that wait to be taken up; beyond, only what is not among them: more say nothing new


class Signals:
    """What has come, in order; as a context it listens, and leaves the handlers before as they were."""

    def __init__(self) -> None:
        self.received: deque[signal.Signals] = deque()
        self.wake: Callable[[], None] | None = None  # of whoever takes them up
        self.before: list[dict[int, object]] = []  # handlers, one entry for each time that it began to listen

    def __enter__(self) -> "Signals":
        self.before.append({number: signal.signal(number, self._note) for number in LISTENED})
        return self

    def __exit__(self, *_: object) -> None:
        self.wake = None  # a loop that is closed can't be woken: what came then ended the process
        for number, handler in self.before.pop().items():
            signal.signal(number, handler)

    def _note(self, number: int, _: object) -> None:
        if len(self.received) < KEPT or number not in self.received:  # none pushes out one of another kind
            self.received.append(signal.Signals(number))
        if self.wake:
            self.wake()

    @staticmethod
    def ignore() -> None:
        """From now on, also while the interpreter takes itself down, which brings the defaults back."""
        for number in LISTENED:
            signal.signal(number, signal.SIG_IGN)

    @property
    def ending(self) -> bool:
        """It was told to end, and nobody has taken that up."""
        return any(number != signal.SIGHUP for number in self.received)
