"""The clock by which purges are ordered."""

from collections.abc import Callable


class NonDecreasingClock:
    """A wall clock that stands still where the machine's is set back.

    :param clock: returns microseconds.
    """

    def __init__(self, clock: Callable[[], int]):
        self.clock = clock
        self.latest = 0

    def __call__(self) -> int:
        """Returns microseconds, never less than before."""
        self.latest = max(self.latest, self.clock())
        return self.latest
