"""Structured logs of a standalone router: logfmt on a terminal, one JSON object for each line otherwise.

``RateLimitedLog`` counts and suppresses lines, as on the platform; structlog writes the others.
"""

import sys
from collections.abc import Callable
from typing import Any

import structlog

from quartzrouter.server.rate_limited_log import RateLimitedLog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
# Level by kind of line; all other kinds are written at "info".
LEVEL_BY_KIND = {"fault": "error", "attempt": "warning", "client": "warning", "discovery": "warning"}


def logger(level: str = "info", form: str = "auto", out: Any = None) -> Any:
    """Creates a structlog logger for a process.

    :param level: the lowest level that is written, a key of ``LEVELS``.
    :param form: "logfmt", "json", or "auto", which is "logfmt" on a terminal and else "json".
    :param out: a text stream; standard error if None.
    """
    out = out or sys.stderr
    if form == "auto":
        form = "logfmt" if out.isatty() else "json"
    if form == "logfmt":
        renderer = structlog.processors.LogfmtRenderer(key_order=["time", "level", "event"])
    else:
        renderer = structlog.processors.JSONRenderer()
    return structlog.wrap_logger(
        structlog.PrintLogger(out),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        cache_logger_on_first_use=True,
    )


class StructuredLog(RateLimitedLog):
    """A rate-limited log that writes its lines to a structlog logger.

    :param name: the router's name, included in each line.
    :param clock: returns the time in microseconds.
    :param log: a structlog logger.
    """

    def __init__(self, name: str, clock: Callable[[], int], log: Any):
        super().__init__(name, clock)
        self.log = log.bind(router=name)

    def write(self, kind: str, line: str, suppressed: int) -> None:
        """Writes one line at the level of its kind; the key ``left_out`` counts suppressed lines."""
        counts = {"left_out": suppressed} if suppressed else {}
        write_at_level = getattr(self.log, LEVEL_BY_KIND.get(kind, "info"))
        write_at_level(line, kind=kind, **counts)
