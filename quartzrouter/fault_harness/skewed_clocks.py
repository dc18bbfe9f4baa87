"""Clocks of processes that are off, jump, run fast or slow: told over a page that the process reads."""

import mmap
import struct
from collections.abc import Callable
from pathlib import Path

from quartzrouter.server.clock import steady_clock, wall_clock

PAGE = struct.Struct("=qq")  # us by which the wall clock is off; parts in a million by which both run fast


class ClockPage:
    """What the stand tells of one process's clocks; `offset` may be changed while it runs."""

    def __init__(self, path: Path, offset: int = 0, drift: int = 0):
        self.path, self.drift = path, drift
        path.write_bytes(PAGE.pack(offset, drift))
        with path.open("r+b") as file:
            self.map = mmap.mmap(file.fileno(), PAGE.size)

    @property
    def offset(self) -> int:
        return PAGE.unpack(self.map[:])[0]

    def set_offset(self, offset: int) -> None:
        self.map[:] = PAGE.pack(offset, self.drift)


def open_clocks(path: str) -> tuple[Callable[[], int], Callable[[], int]]:
    """The process's side: its wall clock and its steady one."""
    with open(path, "r+b") as file:
        told = mmap.mmap(file.fileno(), PAGE.size, access=mmap.ACCESS_READ)
    began, since = wall_clock(), steady_clock()
    fast = PAGE.unpack(told[:])[1]

    def gained(time: int) -> int:
        return time * fast // 1_000_000

    def wall() -> int:
        now = wall_clock()
        return now + PAGE.unpack(told[:])[0] + gained(now - began)

    def even() -> int:
        now = steady_clock()
        return now + gained(now - since)

    return wall, even
