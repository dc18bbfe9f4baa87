"""Structured logs of a router under a plan: logfmt on a terminal, a JSON object a line otherwise.

Lines are counted and left out by the report, as on the platform; structlog writes those that go.
"""

import sys
from collections.abc import Callable
from typing import Any

import structlog

from quartzrouter.server.rate_limited_log import RateLimitedLog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
OF_KIND = {"fault": "error", "dispatch": "warning", "client": "warning", "journal": "warning"}  # others: info


def logger(level: str = "info", form: str = "auto", out: Any = None) -> Any:
    """A logger for a process.

    :param level: the least that is written.
    :param form: "logfmt", "json", or "auto" by whether out is a terminal.
    """
    out = out or sys.stderr
    if form == "auto":
        form = "logfmt" if out.isatty() else "json"
    render = (
        structlog.processors.LogfmtRenderer(key_order=["time", "level", "event"])
        if form == "logfmt"
        else structlog.processors.JSONRenderer()
    )
    return structlog.wrap_logger(
        structlog.PrintLogger(out),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        cache_logger_on_first_use=True,
    )


class StructuredLog(RateLimitedLog):
    """The report, with its lines to a structured log."""

    def __init__(self, name: str, clock: Callable[[], int], log: Any):
        super().__init__(name, clock)
        self.log = log.bind(router=name)

    def write(self, kind: str, line: str, left_out: int) -> None:
        more = {"left_out": left_out} if left_out else {}
        getattr(self.log, OF_KIND.get(kind, "info"))(line, kind=kind, **more)
