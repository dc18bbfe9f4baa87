"""A log to standard error with a rate limit per kind of line; suppressed lines are counted."""

import logging
import sys
from collections.abc import Callable
from dataclasses import dataclass

BURST = 20  # lines of a kind without a limit, so that the start of a problem is logged completely
INTERVAL = 500_000  # microseconds for each further line: two a second are still readable
MAX_KINDS = 64  # kinds with a limit of their own; beyond that the oldest kind is forgotten


@dataclass(slots=True)
class KindState:
    """The token bucket of one kind of line."""

    tokens: float  # lines that may be written now
    refilled_at: int  # microseconds
    suppressed: int = 0  # lines since the last one that was written


class RateLimitedLog:
    """Writes lines, each of a kind, with a rate limit for each kind.

    Guards against floods: a client that keeps sending invalid data causes a line each time, more than a log
    can hold, and writing them would keep the process from handling requests.

    :param name: the router's name, at the start of each line.
    :param clock: returns the time in microseconds.
    """

    def __init__(self, name: str, clock: Callable[[], int]):
        self.name = name
        self.clock = clock
        self.kinds: dict[str, KindState] = {}

    def say(self, kind: str, line: str) -> None:
        """Writes a line, or counts it as suppressed if its kind is over the limit."""
        now = self.clock()
        state = self.kinds.get(kind)
        if state is None:
            state = self.kinds[kind] = KindState(BURST, now)
            if len(self.kinds) > MAX_KINDS:
                del self.kinds[next(iter(self.kinds))]
        elapsed = max(0, now - state.refilled_at)
        state.tokens = min(BURST, state.tokens + elapsed / INTERVAL)
        state.refilled_at = now
        if state.tokens < 1:
            state.suppressed += 1
            return
        suppressed = state.suppressed
        state.tokens -= 1
        state.suppressed = 0
        self.write(kind, line, suppressed)

    def write(self, kind: str, line: str, suppressed: int) -> None:
        """Writes one line to standard error; subclasses write elsewhere.

        :param suppressed: number of lines of the kind that were suppressed since the last one.
        """
        note = f" ({suppressed} similar lines suppressed)" if suppressed else ""
        print(f"quartzrouter {self.name}: {kind}: {line}{note}", file=sys.stderr, flush=True)


class ForwardingHandler(logging.Handler):
    """Writes the log records of the routing package as lines of the kind ``decisions``.

    :param log: receives the lines.
    """

    def __init__(self, log: RateLimitedLog):
        super().__init__(logging.INFO)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        self.log.say("decisions", record.getMessage())
