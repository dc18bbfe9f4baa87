"""The timers of the router's state machine, one type for each purpose, and the queue that orders them.

Times are whole microseconds.
"""

import heapq
from collections.abc import Callable
from typing import NamedTuple

NEVER = 1 << 62  # microseconds, later than any time that the clock can return


class AttemptTimeout(NamedTuple):
    """An attempt has no complete response within its timeout."""

    request_id: int
    attempt_number: int

    def __str__(self) -> str:
        return f"timeout of attempt {self.attempt_number} of request {self.request_id}"


class ClientDeadline(NamedTuple):
    """The client of a request stops waiting."""

    request_id: int

    def __str__(self) -> str:
        return f"client deadline of request {self.request_id}"


class DeferredRequest(NamedTuple):
    """A request that the router has deferred is to be routed again.

    :param number: the driver's number of the timer, see ``RouterDriver.set_timer``.
    """

    number: int

    def __str__(self) -> str:
        return f"deferred request, timer {self.number}"


class MaintenanceTimer(NamedTuple):
    """The router's maintenance is due."""

    def __str__(self) -> str:
        return "maintenance"


class ShutdownGracePeriod(NamedTuple):
    """The time after SIGTERM during which new requests are accepted is over."""

    def __str__(self) -> str:
        return "shutdown grace period"


Timer = AttemptTimeout | ClientDeadline | DeferredRequest | MaintenanceTimer | ShutdownGracePeriod


class TimerQueue:
    """Timers ordered by due time; those with the same time fire in the order in which they were set.

    A timer can't be removed.  One that has become obsolete stays until it is the first in the queue.
    """

    def __init__(self) -> None:
        self.last_number = 0  # number of the timer that was set last
        self._heap: list[tuple[int, int, Timer]] = []  # due time, number, timer

    def set(self, due: int, timer: Timer) -> None:
        """Adds a timer."""
        self.last_number += 1
        heapq.heappush(self._heap, (due, self.last_number, timer))

    def pop_due(self, now: int, last_number: int) -> Timer | None:
        """Removes and returns the next timer that is due.

        :param last_number: timers with higher numbers are not returned: they were set after the caller began.
        :returns: None if there is none.
        """
        if not self._heap:
            return None
        due, number, timer = self._heap[0]
        if due > now or number > last_number:
            return None
        heapq.heappop(self._heap)
        return timer

    def next_due(self, is_obsolete: Callable[[Timer], bool]) -> int:
        """Removes obsolete timers at the head of the queue, so that the process isn't woken up for them.

        :returns: when the next timer is due; ``NEVER`` if there is none.
        """
        while self._heap and is_obsolete(self._heap[0][2]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else NEVER

    def describe_next(self) -> str:
        """Describes the next timer, for the log."""
        return str(self._heap[0][2]) if self._heap else "nothing"
