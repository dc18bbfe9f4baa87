"""A log to standard error with a rate limit per kind of line; what was suppressed is counted."""

import logging
import sys
from collections.abc import Callable
from dataclasses import dataclass

BURST = 20  # lines of a kind at once: the start of a trouble in full
INTERVAL = 500_000  # us for each further line: two a second can still be read
MAX_KINDS = 64  # kinds that are counted apart; beyond, the oldest is forgotten


@dataclass(slots=True)
class KindState:
    """The token bucket of one kind of line."""

    tokens: float  # lines that may be written now
    refilled_at: int  # us
    suppressed: int = 0  # lines left out since the last one that was written


class RateLimitedLog:
    """Writes lines with a kind, so many of each kind in a time.

    Guards against floods: a client that sends what can't be used makes a line each time, which would be
    more than a log takes, and would keep the process from its requests.

    :param name: the router's, at the head of each line.
    :param clock: gives the time in microseconds.
    """

    def __init__(self, name: str, clock: Callable[[], int]):
        self.name = name
        self.clock = clock
        self.kinds: dict[str, KindState] = {}

    def say(self, kind: str, line: str) -> None:
        """Writes a line, or counts it as suppressed where its kind is over the limit."""
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
        """Writes one line; subclasses write elsewhere.

        :param suppressed: lines of the kind that were left out since the last one.
        """
        note = f" ({suppressed} similar lines suppressed)" if suppressed else ""
        print(f"quartzrouter {self.name}: {kind}: {line}{note}", file=sys.stderr, flush=True)


class ForwardingHandler(logging.Handler):
    """Writes what the routing package logs as lines of the kind ``decisions``.

    :param log: takes the lines.
    """

    def __init__(self, log: RateLimitedLog):
        super().__init__(logging.INFO)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Forwards one record."""
        self.log.say("decisions", record.getMessage())
