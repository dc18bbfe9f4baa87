"""The distribution of the time from the acceptance of a purge until every live member has applied it."""

from hdrh.histogram import HdrHistogram

MAX_DELAY = 60_000_000  # microseconds; longer delays are recorded as this value
SIGNIFICANT_DIGITS = 2  # enough for a promise that is rounded to milliseconds
REPORTED_PERCENTILES = {"p50": 50, "p99": 99, "highest": 100}  # by their keys in a status reply


class PropagationDelays:
    """A histogram of the delays since the start of the process."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_DELAY, SIGNIFICANT_DIGITS)
        self.count = 0

    def add(self, delay: int) -> None:
        """Records one delay.

        :param delay: microseconds.
        """
        self.histogram.record_value(max(1, min(delay, MAX_DELAY)))
        self.count += 1

    def percentile(self, percent: float) -> int:
        """Returns a percentile in microseconds; 0 if nothing has been recorded."""
        if not self.count:
            return 0
        return self.histogram.get_value_at_percentile(percent)

    def summary(self) -> dict[str, int]:
        """Returns the reported percentiles in microseconds by key; empty if nothing has been recorded."""
        if not self.count:
            return {}
        return {name: self.percentile(percent) for name, percent in REPORTED_PERCENTILES.items()}
