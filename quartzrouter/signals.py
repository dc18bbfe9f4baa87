"""Handles signals from the start of the process to its end, so that none is lost or has its default action.

Imports very little, so that handlers can be set before the modules that take long to load.
"""

import signal
from collections import deque
from collections.abc import Callable

HANDLED_SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
# Limit of pending signals. Beyond it, a signal is kept only if no other one with its number is pending, as it
# would add no information.
MAX_PENDING = 64


class Signals:
    """The signals that have arrived and are not handled yet, in order of arrival.

    As a context manager it installs signal handlers, and restores the previous ones on exit.
    """

    def __init__(self) -> None:
        self.pending: deque[signal.Signals] = deque()
        # Wakes the task that handles pending signals; called from the signal handler.
        self.wake: Callable[[], None] | None = None
        self._previous_handlers: list[dict[int, object]] = []  # one entry per nested ``with``

    def __enter__(self) -> "Signals":
        """Installs the signal handlers."""
        previous = {number: signal.signal(number, self._record) for number in HANDLED_SIGNALS}
        self._previous_handlers.append(previous)
        return self

    def __exit__(self, *_: object) -> None:
        """Restores the previous handlers; pending signals stay pending, and ``wake`` is no longer called.

        Guards against a traceback at exit: a signal that arrived after the event loop had closed woke that
        loop, which raised an error that ended the process.
        """
        self.wake = None
        for number, handler in self._previous_handlers.pop().items():
            signal.signal(number, handler)

    def _record(self, number: int, _frame: object) -> None:
        """Adds a signal to the pending ones, up to a limit.

        Guards against a lost SIGTERM: when the oldest signals were dropped first, many SIGHUPs removed a
        SIGTERM that a busy process hadn't handled yet. Now no pending signal is removed for another.
        """
        if len(self.pending) < MAX_PENDING or number not in self.pending:
            self.pending.append(signal.Signals(number))
        if self.wake:
            self.wake()

    @staticmethod
    def ignore() -> None:
        """Ignores the signals from now on, also while the interpreter shuts down.

        The interpreter would restore the default handlers at its end, and a SIGHUP would then end the process
        with the signal's status.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    @property
    def stop_pending(self) -> bool:
        """Returns True if a signal to stop the process is pending."""
        return any(number != signal.SIGHUP for number in self.pending)
