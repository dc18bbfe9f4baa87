"""How long things took, as a histogram with two digits."""

from hdrh.histogram import HdrHistogram

MOST = 60_000_000  # us, the longest that is told apart
TOLD = {"p50": 50, "p99": 99, "highest": 100}


class PropagationDelays:
    def __init__(self) -> None:
        self.histogram, self.count = HdrHistogram(1, MOST, 2), 0

    def add(self, took: int) -> None:
        """:param took: us."""
        self.histogram.record_value(max(1, min(took, MOST)))
        self.count += 1

    def at(self, percent: float) -> int:
        """us; 0 where there is none yet."""
        return self.histogram.get_value_at_percentile(percent) if self.count else 0

    def told(self) -> dict[str, int]:
        return {name: self.at(percent) for name, percent in TOLD.items()} if self.count else {}
