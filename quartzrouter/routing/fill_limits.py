"""Concurrency limits of cache fills, for each source, that apply while fills are late.  No I/O.

They prevent overload of parents, origins and the location's link: late fills are requested again, which
delays them further.  While fills are late, caches are first asked for copies that they hold, and each source
fills only as many known misses at once as finish in time.  A limit rises with each fill in time and falls by
a factor with late ones.  It is a limit for all routers together, and each of them uses an equal part.  A few
fills that are late by chance can trigger this state as well; it ends by itself within seconds.
"""

import math
from collections import defaultdict

from quartzrouter.routing.units import MILLISECOND, SECOND

# Initial limit, in known misses that a source fills at once for all routers together.  Most sources can
# handle that many.
INITIAL_LIMIT = 50.0
# Lowest limit, in known misses at once.  It leaves enough fills to notice that a source has recovered.
MIN_LIMIT = 6.0
# Highest limit, in known misses at once.  From a higher one it would fall too slowly at the next overload.
MAX_LIMIT = 200.0
# The largest share of a limit by which one fill in time raises it.
MAX_GROWTH = 0.25
# Factor by which a late or failed fill lowers a limit.
DECREASE_FACTOR = 0.85
# Shortest time between two decreases of a limit, in microseconds.  Fills that are in flight at a decrease
# were sent under the old limit and say nothing of the new one.
DECREASE_INTERVAL = 100 * MILLISECOND
# Time, in microseconds, in which the counts of recent fills and other responses decay by half.  It is short
# so that the limits stop applying soon after the cause of late fills has ended.
HALF_LIFE = 1 * SECOND
# Decaying count of late or failed fills from which fills as a whole count as late.  Fewer may be chance.
MIN_LATE_FILLS = 2.0
# Highest decaying count of late responses.  The cap ends the state of late fills within seconds.
MAX_LATE_RESPONSES = 4 * MIN_LATE_FILLS
# Share of recent fills, from 0 to 1, that must be late or failed for the limits to apply.  A few late ones
# of very many are large objects.
MIN_LATE_SHARE = 0.05
# For the limits to apply, the share of late fills must also exceed this multiple of the share of late
# responses without a fill.  If it doesn't, the lateness isn't due to fills.
LATE_SHARE_RATIO = 2.0


class RecentResponses:
    """Counts of responses of one kind, which decay with time.

    :ivar late: count of late or failed responses.
    :ivar total: count of all responses.
    """

    def __init__(self) -> None:
        self.late = 0.0
        self.total = 0.0

    def decay(self, factor: float) -> None:
        """Multiplies both counts by the factor."""
        self.late *= factor
        self.total *= factor

    def add(self, is_late: bool) -> None:
        """Adds one response."""
        self.late = min(MAX_LATE_RESPONSES, self.late + is_late)
        self.total += 1


class FillLimiter:
    """Adjusts concurrency limits of cache fills for each source.

    The rule resembles the additive increase and multiplicative decrease of TCP's congestion control: fills in
    time raise a limit step by step, and late or failed ones lower it by a factor.

    :ivar routers: how many routers share the limits.
    :ivar limits: for each source, how many known misses it may fill at once for all routers.
    :ivar in_flight: for each source, how many known misses it fills for this router.
    """

    def __init__(self, routers: int) -> None:
        self.routers = routers
        self.recent_fills = RecentResponses()
        self.recent_other_responses = RecentResponses()
        self.decayed_at = 0
        self.limits: dict[int, float] = defaultdict(lambda: INITIAL_LIMIT)
        self.in_flight: dict[int, int] = defaultdict(int)
        self.next_decrease_at: dict[int, int] = defaultdict(int)

    def record_response(self, is_fill: bool, is_late: bool, now: int) -> None:
        """Counts a response of a cache.

        :param is_fill: whether the cache had to fill a miss, as far as known.
        :param is_late: whether the response was late, or failed because of its source.
        """
        decay = self._decay_factor(now)
        self.recent_fills.decay(decay)
        self.recent_other_responses.decay(decay)
        self.decayed_at = now
        responses = self.recent_fills if is_fill else self.recent_other_responses
        responses.add(is_late)

    def _decay_factor(self, now: int) -> float:
        return math.pow(0.5, (now - self.decayed_at) / HALF_LIFE)

    def are_fills_late(self, now: int) -> bool:
        """Returns True if recent fills are late, and more often than responses without a fill."""
        fills, others = self.recent_fills, self.recent_other_responses
        if fills.late * self._decay_factor(now) < MIN_LATE_FILLS:
            return False
        late_share_of_others = LATE_SHARE_RATIO * others.late / (others.total + 1)
        return fills.late > fills.total * max(MIN_LATE_SHARE, late_share_of_others)

    def allows_fill(self, source: int, draw: float) -> bool:
        """Returns True if a source may be given one more known miss to fill.

        :param draw: a random number from 0 to 1 that is fixed for each request.  It decides about a fraction
            of a fill in this router's part of the limit, and asking again doesn't change the result.
        """
        return self.in_flight[source] + draw < self.limits[source] / self.routers

    def fill_succeeded(self, source: int) -> None:
        """Raises a source's limit, in smaller steps if this router's part of it is small."""
        part = self.limits[source] / self.routers
        # The smaller term applies; the two are equal at a part of 2 fills.  Below that, growth falls with the
        # part, as a fill in time says little if the router has few.  Above it, each fill raises the part by
        # 1 / part, so that as many fills as the part raise it by about one: the additive increase.
        growth_of_small_part = MAX_GROWTH * min(1.0, part / 2) ** 2
        growth_of_large_part = part**-2
        growth = 1 + min(growth_of_small_part, growth_of_large_part)
        self.limits[source] = min(MAX_LIMIT, self.limits[source] * growth)

    def fill_failed(self, source: int, now: int) -> None:
        """Lowers a source's limit, unless it was lowered within ``DECREASE_INTERVAL``."""
        if now >= self.next_decrease_at[source]:
            self.limits[source] = max(MIN_LIMIT, self.limits[source] * DECREASE_FACTOR)
            self.next_decrease_at[source] = now + DECREASE_INTERVAL

    def forget(self, source: int) -> None:
        """Removes the limit and the counts of a source that is no longer listed."""
        self.limits.pop(source, None)
        self.in_flight.pop(source, None)
        self.next_decrease_at.pop(source, None)
