"""Clocks: the wall clock, the machine's steady clock, and the router's clock, which follows both."""

import time
from collections.abc import Callable

STEADY_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
WALL_CLOCK_INTERVAL = 1_000  # microseconds between reads of the wall clock: less than a timer's resolution
SLEW_DIVISOR = 10  # to approach the wall clock, the time runs faster or slower by one part in this many
# Microseconds. A wall clock that is further ahead was wrong before, so its time is adopted at once.
MAX_SLEWED_LEAD = 60_000_000


def wall_clock() -> int:
    """Returns Unix time in whole microseconds."""
    return time.time_ns() // 1000


def steady_clock() -> int:
    """Returns microseconds of the machine's clock that can't be set, and that runs during suspend."""
    return time.clock_gettime_ns(STEADY_CLOCK_ID) // 1000


class RouterClock:
    """Unix time that advances with the steady clock and slews towards the wall clock.

    Guards against a wall clock that is set. Time may not run backwards, so the time of a router that read
    the wall clock alone stood still after the clock had been set ahead for half a second and back again: no
    timer fired for as long as the clock had been ahead, and requests had no response for seconds. A slewed
    time neither jumps nor stops.

    :param wall: returns the wall clock's time, in microseconds of Unix time.
    :param steady: returns the time of a clock that can't be set, in microseconds.
    """

    def __init__(self, wall: Callable[[], int], steady: Callable[[], int]):
        self._wall = wall
        self._steady = steady
        self._now = wall()
        self._steady_at_now = steady()

    def __call__(self) -> int:
        """Returns the time in microseconds, never less than the previous result."""
        steady_now = self._steady()
        elapsed = max(0, steady_now - self._steady_at_now)
        if elapsed < WALL_CLOCK_INTERVAL:
            return self._now + elapsed
        self._now += elapsed
        self._steady_at_now = steady_now
        lead = self._wall() - self._now
        if lead > MAX_SLEWED_LEAD:
            self._now += lead
        else:
            max_slew = elapsed // SLEW_DIVISOR
            self._now += max(-max_slew, min(max_slew, lead))
        return self._now
