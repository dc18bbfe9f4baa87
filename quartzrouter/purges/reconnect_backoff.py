"""When and where to reconnect, and when a standby takes over from its primary."""

import zlib
from collections.abc import Sequence

FIRST_DELAY = 20_000  # us until the second attempt: a server that restarts is back within some of these
MAX_DELAY = 1_000_000  # us between attempts at most, so that a member is back a second after its server
MAX_DOUBLINGS = 8  # of the first delay; beyond them MAX_DELAY holds anyway
MISSES_BEFORE_TAKEOVER = 3  # queries in a row without an answer, each a lease long


class ReconnectBackoff:
    """Addresses in turn, with exponential backoff and jitter between attempts.

    :param addresses: host and port of each server.
    :param name: seeds the jitter, so that members which lost a server at the same time don't return at the
        same time.
    """

    def __init__(self, addresses: Sequence[tuple[str, int]], name: str):
        self.addresses = list(addresses)
        self.name = name
        self.failed_attempts = 0  # in a row
        self.requested_delay = 0  # us, as the server asked for

    @property
    def address(self) -> tuple[str, int]:
        """The address to try next."""
        return self.addresses[0]

    def record_success(self) -> None:
        """Records that a server answered: the next delay is the shortest again."""
        self.failed_attempts = 0

    def wait_at_least(self, delay: int) -> None:
        """Sets the least delay before the next attempt, in microseconds; it holds for that attempt only."""
        self.requested_delay = delay

    def next_delay(self) -> int:
        """Records the end of a connection and moves on to the next address.

        :returns: microseconds until the next attempt.
        """
        self.addresses.append(self.addresses.pop(0))
        backoff = min(MAX_DELAY, FIRST_DELAY << min(self.failed_attempts, MAX_DOUBLINGS))
        jitter = zlib.crc32(f"{self.name} {self.failed_attempts}".encode()) / 2**32
        self.failed_attempts += 1
        requested_delay = self.requested_delay
        self.requested_delay = 0
        return max(requested_delay, int(backoff * (0.5 + jitter / 2)))


class PrimaryWatch:
    """Decides when a standby takes over.

    It waits until the primary has been silent for some leases, so that every lease that the primary has
    renewed is over. An earlier takeover would be safe as well, as epochs fence the primary; it would only
    end members' leases without need.
    """

    def __init__(self) -> None:
        self.misses = 0

    def record(self, answered: bool) -> bool:
        """Records the outcome of one query to the primary.

        :returns: True where the standby is to take over.
        """
        self.misses = 0 if answered else self.misses + 1
        return self.misses >= MISSES_BEFORE_TAKEOVER
