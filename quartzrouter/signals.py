"""Signals from the process's first moment to its last: none is lost, none ends it by the system's default.

Imports next to nothing, so that it can be set up ahead of all that takes time to load.
"""

import signal
from collections import deque
from collections.abc import Callable

HANDLED_SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
# Signals that wait to be handled; beyond, only those of a kind that doesn't wait yet: more say nothing new.
MAX_PENDING = 64


class Signals:
    """Signals that have arrived, in their order.

    As a context manager it handles them, and restores the handlers that there were before.
    """

    def __init__(self) -> None:
        self.pending: deque[signal.Signals] = deque()
        # Wakes whoever handles them; called within the signal handler.
        self.wake: Callable[[], None] | None = None
        self._previous_handlers: list[dict[int, object]] = []  # one entry for each time it was entered

    def __enter__(self) -> "Signals":
        """Handles signals from now on."""
        previous = {number: signal.signal(number, self._record) for number in HANDLED_SIGNALS}
        self._previous_handlers.append(previous)
        return self

    def __exit__(self, *_: object) -> None:
        """Restores the handlers before; what is pending stays so.

        Guards against a traceback at the end: a signal that arrived after the event loop had closed woke
        that loop, and the error ended the process. From here on nobody is woken.
        """
        self.wake = None
        for number, handler in self._previous_handlers.pop().items():
            signal.signal(number, handler)

    def _record(self, number: int, _frame: object) -> None:
        """Keeps a signal, to a bound.

        Guards against a lost stop: where the oldest went first, many reloads pushed out a SIGTERM that a
        busy process hadn't handled yet. Beyond the bound none pushes out one of another kind.
        """
        if len(self.pending) < MAX_PENDING or number not in self.pending:
            self.pending.append(signal.Signals(number))
        if self.wake:
            self.wake()

    @staticmethod
    def ignore() -> None:
        """Ignores them from now on.

        Also while the interpreter shuts down, which would bring the default handlers back: a reload would
        then end the process with the signal's status.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    @property
    def stop_pending(self) -> bool:
        """Whether the process was told to stop, and nobody has handled that yet."""
        return any(number != signal.SIGHUP for number in self.pending)
