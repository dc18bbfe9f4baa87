"""Raises the interpreter's recursion limit while plans are evaluated."""

import sys
import threading


class RaisedRecursionLimit:
    """The interpreter's recursion limit, raised while any thread is in a ``with`` block of this object.

    Guards against a RecursionError in one thread because another one is done: the limit applies to all
    threads, so it is raised for the first of them and restored after the last.

    :param limit: frames; a higher limit than this stays as it is.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._lock = threading.Lock()
        self._blocks = 0  # that have been entered and not left
        self._limit_before = 0  # frames

    def __enter__(self) -> None:
        """Raises the limit, unless another block has done so."""
        with self._lock:
            if not self._blocks:
                self._limit_before = sys.getrecursionlimit()
                sys.setrecursionlimit(max(self._limit_before, self.limit))
            self._blocks += 1

    def __exit__(self, *_: object) -> None:
        """Restores the limit, unless another block still needs it."""
        with self._lock:
            self._blocks -= 1
            if not self._blocks:
                sys.setrecursionlimit(self._limit_before)
