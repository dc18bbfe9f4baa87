"""The clock that gives purges their times."""

from collections.abc import Callable


class NonDecreasingClock:
    """A wall clock that stops, rather than going back, while the machine's clock is set back.

    :param clock: returns microseconds of the machine's wall clock.
    """

    def __init__(self, clock: Callable[[], int]):
        self.clock = clock
        self.latest = 0

    def __call__(self) -> int:
        """Returns microseconds, never less than the previous result."""
        self.latest = max(self.latest, self.clock())
        return self.latest
