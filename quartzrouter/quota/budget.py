"""A budget that routers share, and the bounds that follow from its terms. No I/O.

A budget limits one or both of:

- *tokens*, one for each request, attempt, fill or retry, at a rate with a burst (a token bucket).  A grant
  is a number of tokens that expire with the grant.
- *slots*, requests in flight at a time.  A grant is a number of slots in which no request may begin after the
  grant has expired.

Part of each budget, the guaranteed minimum, is never granted: each router has an equal part of it without
asking, so a router that reaches no allocator goes on at that rate.
"""

from dataclasses import astuple, dataclass
from zlib import crc32

SECOND = 1_000_000  # microseconds, the unit of all times here
MAX_CLOCK_DRIFT = 200  # parts per million by which a clock may be fast or slow; crystals stay under 100
DEFAULT_GRANT_TTL = 1 * SECOND  # a router that is cut off is at its guaranteed minimum after that
REQUESTS_PER_TTL = 4  # requests for quota within a grant's time to live: two of them may be lost or late
MAX_REQUESTS_PER_TTL = 32  # the same of a budget whose bucket overflows sooner because its burst is small
PARTITION_SEPARATOR = "/"  # between a budget's name and whom it counts apart, a tenant say; in no name


@dataclass(frozen=True, slots=True)
class Budget:
    """What all routers together may use.

    The order of the fields counts: ``terms_checksum`` is computed from their values.

    :param name: of the budget; with ``PARTITION_SEPARATOR`` and a tenant, route or pool where it is
        partitioned.
    :param rate: tokens per second; 0: no limit by tokens.
    :param burst: tokens at once.
    :param slots: requests in flight at a time; 0: no limit by slots.
    :param max_request_time: microseconds that a request may be in flight, so a slot that was taken right
        before its grant expired is in use for as long after.
    :param guaranteed_share: from 0 to 1, of the budget, which routers have without asking, in equal parts.
    :param routers: the most that there may be.
    :param grant_ttl: time to live of a grant, microseconds.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    slots: int = 0
    max_request_time: int = 0
    guaranteed_share: float = 0.2
    routers: int = 1
    grant_ttl: int = DEFAULT_GRANT_TTL

    @property
    def base_name(self) -> str:
        """The budget's name in the plan, without the partition."""
        return base_name(self.name)

    @property
    def shared_rate(self) -> float:
        """Tokens per second that the allocator grants."""
        return (1 - self.guaranteed_share) * self.rate

    @property
    def shared_burst(self) -> float:
        """Tokens that the allocator's bucket holds."""
        return (1 - self.guaranteed_share) * self.burst

    @property
    def guaranteed_rate(self) -> float:
        """Tokens per second of one router."""
        return self.guaranteed_share * self.rate / self.routers

    @property
    def guaranteed_burst(self) -> float:
        """Tokens of one router: at least one, or the guaranteed minimum would never admit a request."""
        return max(1.0, self.guaranteed_share * self.burst / self.routers)

    @property
    def guaranteed_slots(self) -> int:
        """Slots of one router, rounded down: none where there are more routers than guaranteed slots."""
        return int(self.guaranteed_share * self.slots / self.routers)

    @property
    def shared_slots(self) -> int:
        """Slots that the allocator grants."""
        return self.slots - self.routers * self.guaranteed_slots

    @property
    def request_interval(self) -> int:
        """Microseconds between two requests of a router: the bucket must not overflow in the meantime."""
        usual = self.grant_ttl // REQUESTS_PER_TTL
        half_full = int(self.shared_burst / self.shared_rate * SECOND / 2) if self.shared_rate else usual
        return max(self.grant_ttl // MAX_REQUESTS_PER_TTL, min(usual, half_full))

    @property
    def terms_checksum(self) -> int:
        """Checksum of the terms, by which router and allocator notice that their plans differ.

        The name is left out: one budget has several partitions.
        """
        return crc32(repr(astuple(self)[1:]).encode())

    def grant_expiry(self, requested_at: int) -> int:
        """When a grant expires at its holder, microseconds of the holder's clock.

        Guards against use of quota that the allocator has granted to another router meanwhile: counted from
        the request, which was before the grant, and shortened by the clocks' drift, the grant expires at the
        holder before it does at the allocator.

        :param requested_at: when the holder asked for it, microseconds of the same clock.
        """
        return requested_at + self.grant_ttl - clock_slack(self.grant_ttl)

    def slots_free_at(self, granted_at: int) -> int:
        """From when no slot of a grant is in use, microseconds of the allocator's clock.

        Guards against one slot in use twice: a request may begin right before the grant expires, and stays in
        flight for ``max_request_time``.

        :param granted_at: microseconds of the same clock.
        """
        longest_use = self.grant_ttl + self.max_request_time
        return granted_at + longest_use + clock_slack(longest_use)

    def max_use(self, window: int) -> float:
        """The most tokens that all routers together may use within any window, whatever messages are lost.

        A token is used within a time to live of its grant; so what is used in a window was granted in it or
        one time to live before, out of one bucket.  All routers' guaranteed minimums are counted.

        :param window: microseconds of true time.
        """
        fastest_clock = 1 + MAX_CLOCK_DRIFT / 1e6
        granted = self.shared_rate * fastest_clock * (window + self.grant_ttl) / SECOND + self.shared_burst
        guaranteed = self.guaranteed_rate * fastest_clock * window / SECOND + self.guaranteed_burst
        return granted + self.routers * guaranteed


def base_name(name: str) -> str:
    """The name in the plan of a budget or of one of its partitions."""
    return name.partition(PARTITION_SEPARATOR)[0]


def clock_slack(duration: int) -> int:
    """Microseconds by which two clocks may differ after that duration, rounded up."""
    return -(-2 * duration * MAX_CLOCK_DRIFT // 1_000_000)
