"""The timers of the router's state machine: what each is for, and the queue that orders them.

Times are whole microseconds.
"""

import heapq
from collections.abc import Callable
from typing import NamedTuple

NEVER = 1 << 62  # us, later than any time that the clock can show


class AttemptTimeout(NamedTuple):
    """An attempt has no complete response in the time that it has."""

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
    """A request that the router has deferred is to be decided again.

    :param number: the driver's number for it, see ``RouterDriver.set_timer``.
    """

    number: int

    def __str__(self) -> str:
        return f"deferred request, timer {self.number}"


class MaintenanceTimer(NamedTuple):
    """The router's maintenance is due."""

    def __str__(self) -> str:
        return "maintenance"


class ShutdownGracePeriod(NamedTuple):
    """The time after SIGTERM in which new requests are still accepted is over."""

    def __str__(self) -> str:
        return "shutdown grace period"


Timer = AttemptTimeout | ClientDeadline | DeferredRequest | MaintenanceTimer | ShutdownGracePeriod


class TimerQueue:
    """Timers by the time at which they are due; of those due at once, the one set first goes first.

    A timer can't be taken back.  One whose subject is over stays until it is the next in line.
    """

    def __init__(self) -> None:
        self.last_number = 0  # of the timer that was set last
        self._heap: list[tuple[int, int, Timer]] = []  # when due, the timer's number, the timer

    def set(self, due: int, timer: Timer) -> None:
        """Adds a timer."""
        self.last_number += 1
        heapq.heappush(self._heap, (due, self.last_number, timer))

    def pop_due(self, now: int, last_number: int) -> Timer | None:
        """Removes the next timer that is due.

        :param last_number: timers with higher numbers are left; they were set after the caller began.
        :returns: None where there is none.
        """
        if not self._heap:
            return None
        due, number, timer = self._heap[0]
        if due > now or number > last_number:
            return None
        heapq.heappop(self._heap)
        return timer

    def next_due(self, is_obsolete: Callable[[Timer], bool]) -> int:
        """Removes obsolete timers at the head of the queue, so that nobody wakes up for them.

        :returns: when the next timer is due; ``NEVER`` where there is none.
        """
        while self._heap and is_obsolete(self._heap[0][2]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else NEVER

    def describe_next(self) -> str:
        """What the next timer is for, in words for the log."""
        return str(self._heap[0][2]) if self._heap else "nothing"
