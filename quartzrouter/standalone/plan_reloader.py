"""Reads the plan again at SIGHUP without blocking the event loop."""

from collections.abc import Callable

import anyio

from quartzrouter.config.loader import LoadResult, load
from quartzrouter.server.rate_limited_log import RateLimitedLog


class PlanReloader:
    """Reads a plan in a thread, as thousands of routes take seconds; one read runs at a time.

    A reload that is requested during a read runs after it, so that the last state of the file is applied.
    Several such requests cause one reload.

    :param path: the plan's file.
    :param apply: called with the result, also if the plan is invalid.
    :param log: receives errors of the program.
    """

    def __init__(self, path: str, apply: Callable[[LoadResult], None], log: RateLimitedLog):
        self._path = path
        self._apply = apply
        self._log = log
        self._is_requested = False
        self._is_reading = False

    def request(self, tasks: anyio.abc.TaskGroup) -> None:
        """Requests a reload.

        :param tasks: the task group in which it runs.
        """
        self._is_requested = True
        if not self._is_reading:
            self._is_reading = True
            tasks.start_soon(self._read)

    async def _read(self) -> None:
        while self._is_requested:
            self._is_requested = False
            try:
                self._apply(await anyio.to_thread.run_sync(load, self._path))
            except Exception as error:  # a bug may not end the process
                self._log.say("process", f"SIGHUP: nothing changes: {type(error).__name__}: {error}")
        self._is_reading = False
