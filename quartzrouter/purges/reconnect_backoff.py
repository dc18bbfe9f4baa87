"""Backoff of reconnections over several addresses, and the takeover by a standby."""

import zlib
from collections.abc import Sequence

FIRST_DELAY = 20_000  # microseconds until the second attempt; a restart takes only a few of these
MAX_DELAY = 1_000_000  # microseconds between attempts; a member is back at most a second after its server
MAX_DOUBLINGS = 8  # of FIRST_DELAY; further ones would exceed MAX_DELAY anyway
MISSES_BEFORE_TAKEOVER = 3  # consecutive queries without an answer, each with a timeout of one lease length


class ReconnectBackoff:
    """Rotates through addresses, with exponential backoff and jitter between attempts.

    :param addresses: host and port of each server.
    :param name: seeds the jitter, so that members that lost a server at the same time don't reconnect at the
        same time.
    """

    def __init__(self, addresses: Sequence[tuple[str, int]], name: str):
        self.addresses = list(addresses)
        self.name = name
        self.failed_attempts = 0  # since the last success
        self.requested_delay = 0  # microseconds, as requested by the server

    @property
    def address(self) -> tuple[str, int]:
        """The address to try next."""
        return self.addresses[0]

    def record_success(self) -> None:
        """Records that a server answered, which resets the backoff."""
        self.failed_attempts = 0

    def wait_at_least(self, delay: int) -> None:
        """Sets the minimum delay before the next attempt only, in microseconds."""
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
    """Decides when a standby takes over from its primary.

    It waits until the primary has not answered for several lease lengths, so that every lease that the
    primary renewed has expired. An earlier takeover would also be safe, as epochs fence the primary, but it
    would end members' leases unnecessarily.
    """

    def __init__(self) -> None:
        self.misses = 0

    def record(self, answered: bool) -> bool:
        """Records the outcome of one query to the primary.

        :returns: True if the standby must take over.
        """
        self.misses = 0 if answered else self.misses + 1
        return self.misses >= MISSES_BEFORE_TAKEOVER
