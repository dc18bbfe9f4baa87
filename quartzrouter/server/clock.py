"""Clocks: the wall clock, the machine's steady clock, and a time for decisions that follows both."""

import time
from collections.abc import Callable

STEADY_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
WALL_CLOCK_INTERVAL = 1_000  # us between two looks at the wall clock: less than a timer's resolution
SLEW_DIVISOR = 10  # the time runs faster or slower by one part in this many until it is the wall clock's
MAX_SLEWED_LEAD = 60_000_000  # us: a wall clock further ahead was wrong before, and is taken over at once


def wall_clock() -> int:
    """Returns Unix time in whole microseconds."""
    return time.time_ns() // 1000


def steady_clock() -> int:
    """Returns whole microseconds of the machine's clock that nobody sets, and that runs while it sleeps."""
    return time.clock_gettime_ns(STEADY_CLOCK_ID) // 1000


class RouterClock:
    """Unix time that runs with the steady clock and slews towards the wall clock.

    Guards against a wall clock that is set. Time may not run backwards, so a router that simply read the
    wall clock stood still after it had been set ahead for half a second and back again: no timer fired
    for as long as the clock had been ahead, and requests were without a response for seconds. A slewed
    time neither jumps nor stands.

    :param wall: reads the wall clock, in microseconds of Unix time.
    :param steady: reads a clock that nobody sets, in microseconds.
    """

    def __init__(self, wall: Callable[[], int], steady: Callable[[], int]):
        self._wall = wall
        self._steady = steady
        self._now = wall()
        self._steady_at_now = steady()

    def __call__(self) -> int:
        """Returns the time in microseconds; never less than the last time."""
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
