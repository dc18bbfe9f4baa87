"""Lines to standard error, so many of a kind in a time; what was left out is counted in the next one."""

import logging
import sys
from collections.abc import Callable

AT_ONCE = 20  # lines of a kind: the start of a trouble in full
EVERY = 500_000  # us for each further one: two a second can still be read
KINDS = 64  # kinds that are kept apart; beyond, the oldest is forgotten


class RateLimitedLog:
    def __init__(self, name: str, clock: Callable[[], int]):
        self.name, self.clock = name, clock
        self.kinds: dict[str, list[float]] = {}  # kind: lines that may go, when that was reckoned, left out

    def say(self, kind: str, line: str) -> None:
        now = self.clock()
        state = self.kinds.setdefault(kind, [AT_ONCE, now, 0])
        if len(self.kinds) > KINDS:
            del self.kinds[next(iter(self.kinds))]
        state[0] = min(AT_ONCE, state[0] + max(0, now - state[1]) / EVERY)
        state[1] = now
        if state[0] < 1:
            state[2] += 1
            return
        left_out, state[0], state[2] = round(state[2]), state[0] - 1, 0
        self.write(kind, line, left_out)

    def write(self, kind: str, line: str, left_out: int) -> None:
        more = f" ({left_out} like it left out)" if left_out else ""
        print(f"quartzrouter {self.name}: {kind}: {line}{more}", file=sys.stderr, flush=True)


class ForwardingHandler(logging.Handler):
    """The module's log lines, as lines of the report."""

    def __init__(self, report: RateLimitedLog):
        super().__init__(logging.INFO)
        self.report = report

    def emit(self, record: logging.LogRecord) -> None:
        self.report.say("decisions", record.getMessage())
