"""When and where to try again: a member that looks for its ledger, a standby that watches its primary."""

import zlib
from collections.abc import Sequence

PAUSE, PAUSE_MOST = 20_000, 1_000_000  # us until the next connection at first, and at most
MISSES = 3  # questions without an answer, each a lease long, until a standby takes over


class ReconnectBackoff:
    """Addresses in turn, with pauses that grow until something was heard.

    :param name: for chance, so that members which lost the ledger together don't come back together.
    """

    def __init__(self, addresses: Sequence[tuple[str, int]], name: str):
        self.addresses, self.name = list(addresses), name
        self.failed = 0  # connections in a row
        self.asked = 0  # us that the ledger asked to wait

    @property
    def address(self) -> tuple[str, int]:
        return self.addresses[0]

    def heard(self) -> None:
        self.failed = 0

    def wait(self, time: int) -> None:
        """The next connection is to come no sooner, in us."""
        self.asked = time

    def ended(self) -> int:
        """A connection has ended: us until the next, which goes to the next address."""
        self.addresses.append(self.addresses.pop(0))
        pause = min(PAUSE_MOST, PAUSE << min(self.failed, 8))
        luck = zlib.crc32(f"{self.name} {self.failed}".encode()) / 2**32
        self.failed += 1
        asked, self.asked = self.asked, 0
        return max(asked, int(pause * (0.5 + luck / 2)))


class Watch:
    """A standby's: whether the primary is gone, so that all its leases are over as well."""

    def __init__(self) -> None:
        self.misses = 0

    def asked(self, answered: bool) -> bool:
        """Whether to take over, after one more question."""
        self.misses = 0 if answered else self.misses + 1
        return self.misses >= MISSES
