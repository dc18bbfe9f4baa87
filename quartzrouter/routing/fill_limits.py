"""How many cache fills a source is given at once while fills come late.  No I/O.

Guards against overload of parents, origins and the location's link: fills that come late are asked for
again, which makes them later.  While fills are in trouble, caches are first asked for what they hold, and
each source fills only as many known misses as come in time.  The limit rises with each fill in time and
falls by a factor with late ones.  It stands for all routers, of which each takes its part.  Late fills that
are mere chance can start it as well; it ends by itself within seconds.
"""

import math
from collections import defaultdict

from quartzrouter.routing.units import MILLISECOND, SECOND

# Known misses that a source fills at once, for all routers together, to begin with.  Most sources bear so
# many.
INITIAL_LIMIT = 50.0
# Lowest limit, in known misses at once.  It leaves enough fills to notice that a source has recovered.
MIN_LIMIT = 6.0
# Highest limit, in known misses at once.  From a higher one it would fall too slowly at the next trouble.
MAX_LIMIT = 200.0
# Share of a limit by which each fill in time raises it at most.
MAX_GROWTH = 0.25
# Factor by which a late or failed fill lowers a limit.
DECREASE_FACTOR = 0.85
# Shortest time between two decreases of a limit, in microseconds.  Fills that are in flight at a decrease
# were sent under the old limit and say nothing of the new one.
DECREASE_INTERVAL = 100 * MILLISECOND
# Time, in microseconds, in which the counts of recent fills and other answers decay by half.  It is short so
# that trouble ends soon after its cause.
HALF_LIFE = 1 * SECOND
# Recent late or failed fills, a decaying count, from which fills are in trouble.  Fewer may be chance.
MIN_LATE_FILLS = 2.0
# Highest count of recent late answers.  It is capped so that trouble ends within seconds.
MAX_LATE_FILLS = 4 * MIN_LATE_FILLS
# Share of recent fills, from 0 to 1, that must be late for trouble.  A few late ones of very many are large
# objects.
MIN_LATE_SHARE = 0.05
# For trouble, the share of late fills must also exceed that of late answers without a fill so many times.  If
# it doesn't, the lateness isn't due to fills.
LATE_SHARE_RATIO = 2.0


class RecentAnswers:
    """Answers of one kind, the older the less they count.

    :ivar late: late or failed ones.
    :ivar total: all.
    """

    def __init__(self) -> None:
        self.late = 0.0
        self.total = 0.0

    def decay(self, factor: float) -> None:
        """Reduces both counts."""
        self.late *= factor
        self.total *= factor

    def add(self, is_late: bool) -> None:
        """Counts one answer."""
        self.late = min(MAX_LATE_FILLS, self.late + is_late)
        self.total += 1


class FillLimiter:
    """Concurrency limits of cache fills, by source.

    The rule is like additive increase and multiplicative decrease, as TCP's congestion control has it: fills
    in time raise a limit step by step, and late or failed ones lower it by a factor.

    :ivar routers: how many share the limits.
    :ivar limits: known misses that a source fills at once, for all routers.
    :ivar in_flight: known misses that a source fills for this router.
    """

    def __init__(self, routers: int) -> None:
        self.routers = routers
        self.recent_fills = RecentAnswers()
        self.recent_other_answers = RecentAnswers()
        self.counted_at = 0
        self.limits: dict[int, float] = defaultdict(lambda: INITIAL_LIMIT)
        self.in_flight: dict[int, int] = defaultdict(int)
        self.next_decrease_at: dict[int, int] = defaultdict(int)

    def record_answer(self, is_fill: bool, is_late: bool, now: int) -> None:
        """Counts an answer of a cache.

        :param is_fill: whether the cache had to fill a miss, as far as known.
        :param is_late: whether it came late, or failed because of its source.
        """
        decay = self._decay(now)
        self.recent_fills.decay(decay)
        self.recent_other_answers.decay(decay)
        self.counted_at = now
        answers = self.recent_fills if is_fill else self.recent_other_answers
        answers.add(is_late)

    def _decay(self, now: int) -> float:
        return math.pow(0.5, (now - self.counted_at) / HALF_LIFE)

    def are_fills_late(self, now: int) -> bool:
        """:returns: whether fills come late, and more often than answers without a fill do."""
        fills, others = self.recent_fills, self.recent_other_answers
        if fills.late * self._decay(now) < MIN_LATE_FILLS:
            return False
        late_share_of_others = LATE_SHARE_RATIO * others.late / (others.total + 1)
        return fills.late > fills.total * max(MIN_LATE_SHARE, late_share_of_others)

    def has_room(self, source: int, draw: float) -> bool:
        """Whether a source may be given one more known miss to fill.

        :param draw: from 0 to 1 and fixed for a request: a part of the limit that is below one fill is
            given by lottery, and asking again doesn't help.
        """
        return self.in_flight[source] + draw < self.limits[source] / self.routers

    def fill_succeeded(self, source: int) -> None:
        """Raises a source's limit; little by little where this router's part is too small to say much."""
        part = self.limits[source] / self.routers
        # The smaller term counts; they meet at a part of 2 fills.  Below, growth falls with the part, as a
        # fill in time says little where the router has few.  Above, each fill raises the part by 1 / part, so
        # that a round of as many fills as the part raises it by about one: the additive increase.
        growth_of_small_part = MAX_GROWTH * min(1.0, part / 2) ** 2
        growth_of_large_part = part**-2
        growth = 1 + min(growth_of_small_part, growth_of_large_part)
        self.limits[source] = min(MAX_LIMIT, self.limits[source] * growth)

    def fill_failed(self, source: int, now: int) -> None:
        """Lowers a source's limit, unless it was lowered a moment ago."""
        if now >= self.next_decrease_at[source]:
            self.limits[source] = max(MIN_LIMIT, self.limits[source] * DECREASE_FACTOR)
            self.next_decrease_at[source] = now + DECREASE_INTERVAL

    def forget(self, source: int) -> None:
        """Removes the limit and the counts of a source that is no longer listed."""
        self.limits.pop(source, None)
        self.in_flight.pop(source, None)
        self.next_decrease_at.pop(source, None)
