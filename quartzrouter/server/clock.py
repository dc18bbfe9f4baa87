"""Clocks: the wall's, the machine's steady one, and a time for decisions that neither jumps nor stands."""

import time
from collections.abc import Callable

STEADY = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
LOOK_EVERY = 1_000  # us between two looks at the wall clock: less than a timer's grain
FOLLOWS = 10  # the time goes faster or slower by one part in so many until it is the wall's
AHEAD_MOST = 60_000_000  # us: a wall clock that is further ahead was wrong before, and is taken over at once


def wall_clock() -> int:
    """Unix time in whole microseconds."""
    return time.time_ns() // 1000


def steady_clock() -> int:
    """Whole microseconds of the machine's clock that nobody sets, and that goes on while it sleeps."""
    return time.clock_gettime_ns(STEADY) // 1000


class RouterClock:
    """Unix time that runs with the steady clock and follows the wall's.

    A wall clock that was set ahead for half a second and back again stood still for as long as it had been
    ahead, as time may not run backwards: no timer fired, and reqs were without an answer for seconds.
    """

    def __init__(self, wall: Callable[[], int], even: Callable[[], int]):
        self.wall, self.even = wall, even
        self.now, self.at = wall(), even()

    def __call__(self) -> int:
        at = self.even()
        passed = max(0, at - self.at)
        if passed < LOOK_EVERY:
            return self.now + passed
        self.now, self.at = self.now + passed, at
        gap = self.wall() - self.now
        most = passed // FOLLOWS
        self.now += gap if gap > AHEAD_MOST else max(-most, min(most, gap))
        return self.now
