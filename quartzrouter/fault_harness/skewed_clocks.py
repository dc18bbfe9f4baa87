"""Clocks of a process that are off, jump, or run fast or slow, set through a memory-mapped file."""

import mmap
import struct
from collections.abc import Callable
from pathlib import Path

from quartzrouter.server.clock import steady_clock, wall_clock

PAGE = struct.Struct("=qq")  # offset of the wall clock in us, drift of both clocks in parts per million


class ClockPage:
    """The harness's side: sets the clocks of one process, whose offset may change while it runs.

    :param offset: us by which the wall clock is ahead.
    :param drift: parts per million by which both clocks run fast.
    """

    def __init__(self, path: Path, offset: int = 0, drift: int = 0):
        self.path, self.drift = path, drift
        path.write_bytes(PAGE.pack(offset, drift))
        with path.open("r+b") as file:
            self.map = mmap.mmap(file.fileno(), PAGE.size)

    @property
    def offset(self) -> int:
        """The current offset of the wall clock in us."""
        return PAGE.unpack(self.map[:])[0]

    def set_offset(self, offset: int) -> None:
        """Sets the wall clock, effective at the process's next reading."""
        self.map[:] = PAGE.pack(offset, self.drift)


def open_clocks(path: str) -> tuple[Callable[[], int], Callable[[], int]]:
    """The process's side: returns its wall clock and its steady clock, both in us."""
    with open(path, "r+b") as file:
        page = mmap.mmap(file.fileno(), PAGE.size, access=mmap.ACCESS_READ)
    wall_start, steady_start = wall_clock(), steady_clock()
    drift = PAGE.unpack(page[:])[1]

    def gained(elapsed: int) -> int:
        return elapsed * drift // 1_000_000

    def wall() -> int:
        now = wall_clock()
        return now + PAGE.unpack(page[:])[0] + gained(now - wall_start)

    def steady() -> int:
        now = steady_clock()
        return now + gained(now - steady_start)

    return wall, steady
