"""Reads the plan anew at SIGHUP, beside the event loop."""

from collections.abc import Callable

import anyio

from quartzrouter.config.loader import LoadResult, load
from quartzrouter.server.rate_limited_log import RateLimitedLog


class PlanReloader:
    """Reads a plan in a thread, one reading at a time: thousands of routes take seconds.

    A reload that is asked for while one is under way is done behind it, so that the last state of the
    file counts; several of them are one.

    :param path: the plan's file.
    :param apply: takes what was read, a faulty plan too.
    :param log: is told of errors of the program.
    """

    def __init__(self, path: str, apply: Callable[[LoadResult], None], log: RateLimitedLog):
        self._path = path
        self._apply = apply
        self._log = log
        self._is_requested = False
        self._is_reading = False

    def request(self, tasks: anyio.abc.TaskGroup) -> None:
        """Asks for a reload, which runs among these tasks."""
        self._is_requested = True
        if not self._is_reading:
            self._is_reading = True
            tasks.start_soon(self._read)

    async def _read(self) -> None:
        while self._is_requested:
            self._is_requested = False
            try:
                self._apply(await anyio.to_thread.run_sync(load, self._path))
            except Exception as error:  # a fault of the program may not end the process
                self._log.say("process", f"SIGHUP: nothing changes: {type(error).__name__}: {error}")
        self._is_reading = False
