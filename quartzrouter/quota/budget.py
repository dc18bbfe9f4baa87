"""A budget that routers share, and the bounds that follow from its terms. No I/O.

A budget limits one or both of:

- *tokens*, one for each request, attempt, fill or retry, at a rate with a burst (a token bucket).  A grant
  is a number of tokens that expire with the grant.
- *slots*, requests in flight at a time.  A grant is a number of slots in which no request may begin after the
  grant has expired.

Part of each budget, the guaranteed minimum, is never granted: each router may use an equal part of it without
a grant, so a router that cannot reach an allocator continues at that rate.
"""

from dataclasses import astuple, dataclass
from zlib import crc32

# In microseconds, the unit of all times in this package.
SECOND = 1_000_000
# Parts per million by which a clock may be fast or slow; crystal oscillators stay below 100.
MAX_CLOCK_DRIFT = 200
# A router that is cut off falls back to its guaranteed minimum after this time.
DEFAULT_GRANT_TTL = 1 * SECOND
# Requests for quota within a grant's time to live: two of them may be lost or late.
REQUESTS_PER_TTL = 4
# Limits the requests per TTL if a small burst makes the bucket overflow sooner.
MAX_REQUESTS_PER_TTL = 32
# Separates a budget's name from its partition, such as a tenant; no budget's name contains it.
PARTITION_SEPARATOR = "/"


@dataclass(frozen=True, slots=True)
class Budget:
    """The limit on what all routers together may use.

    The order of the fields matters: ``terms_checksum`` is computed from their values.

    :param name: the budget's name, followed by ``PARTITION_SEPARATOR`` and a tenant, route, pool or client
        if it is partitioned.
    :param rate: tokens per second; 0 if tokens are not limited.
    :param burst: tokens that may be used at once.
    :param slots: requests in flight at a time; 0 if slots are not limited.
    :param max_request_time: the longest time for which a request may be in flight, in microseconds. A slot
        that is taken right before its grant expires stays in use for that long.
    :param guaranteed_share: share of the budget, from 0 to 1, that routers may use without a grant, in equal
        parts.
    :param routers: the maximum number of routers.
    :param grant_ttl: time to live of a grant, in microseconds.
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
        """Returns the budget's name in the plan, without the partition."""
        return base_name(self.name)

    @property
    def shared_rate(self) -> float:
        """Returns the tokens per second that the allocator may grant."""
        return (1 - self.guaranteed_share) * self.rate

    @property
    def shared_burst(self) -> float:
        """Returns the capacity of the allocator's bucket, in tokens."""
        return (1 - self.guaranteed_share) * self.burst

    @property
    def guaranteed_rate(self) -> float:
        """Returns one router's guaranteed tokens per second."""
        return self.guaranteed_share * self.rate / self.routers

    @property
    def guaranteed_burst(self) -> float:
        """Returns one router's guaranteed burst: at least 1 token, or it would never admit a request."""
        return max(1.0, self.guaranteed_share * self.burst / self.routers)

    @property
    def guaranteed_slots(self) -> int:
        """Returns one router's guaranteed slots, rounded down; 0 if there are fewer slots than routers."""
        return int(self.guaranteed_share * self.slots / self.routers)

    @property
    def shared_slots(self) -> int:
        """Returns the slots that the allocator may grant."""
        return self.slots - self.routers * self.guaranteed_slots

    @property
    def request_interval(self) -> int:
        """Returns the microseconds between a router's requests, so that the bucket does not overflow."""
        usual = self.grant_ttl // REQUESTS_PER_TTL
        half_full = int(self.shared_burst / self.shared_rate * SECOND / 2) if self.shared_rate else usual
        return max(self.grant_ttl // MAX_REQUESTS_PER_TTL, min(usual, half_full))

    @property
    def terms_checksum(self) -> int:
        """Returns a checksum of the terms, so that router and allocator can detect different plans.

        The name is left out, as all partitions of a budget have the same terms.
        """
        return crc32(repr(astuple(self)[1:]).encode())

    def grant_expiry(self, requested_at: int) -> int:
        """Returns when a grant expires at its holder, in microseconds of the holder's clock.

        Prevents the use of quota that the allocator has granted to another router in the meantime: the time
        to live counts from the request, which precedes the grant, and is shortened by the clock drift, so
        the grant expires at the holder before it does at the allocator.

        :param requested_at: time of the holder's request, in microseconds of the same clock.
        """
        return requested_at + self.grant_ttl - clock_slack(self.grant_ttl)

    def slots_free_at(self, granted_at: int) -> int:
        """Returns the time from which no slot of a grant is in use, in microseconds of the allocator's clock.

        Prevents one slot from being used twice: a request may begin right before the grant expires and stay
        in flight for ``max_request_time``.

        :param granted_at: time of the grant, in microseconds of the same clock.
        """
        longest_use = self.grant_ttl + self.max_request_time
        return granted_at + longest_use + clock_slack(longest_use)

    def max_use(self, window: int) -> float:
        """Returns the maximum tokens that all routers together may use within any window.

        The bound holds whichever messages are lost.  A token is used within one time to live of its grant,
        so what is used in a window was granted from one bucket during the window or one time to live before
        it.  The guaranteed minimums of all routers are included.

        :param window: length in microseconds of true time.
        """
        fastest_clock = 1 + MAX_CLOCK_DRIFT / 1e6
        granted = self.shared_rate * fastest_clock * (window + self.grant_ttl) / SECOND + self.shared_burst
        guaranteed = self.guaranteed_rate * fastest_clock * window / SECOND + self.guaranteed_burst
        return granted + self.routers * guaranteed


def base_name(name: str) -> str:
    """Returns the name in the plan of a budget or of one of its partitions."""
    return name.partition(PARTITION_SEPARATOR)[0]


def clock_slack(duration: int) -> int:
    """Returns the microseconds by which two clocks may diverge within a duration, rounded up."""
    return -(-2 * duration * MAX_CLOCK_DRIFT // 1_000_000)
