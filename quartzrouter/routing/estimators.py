"""Approximate streaming estimators.  No I/O."""

import math
from itertools import accumulate

# Number of bins of a histogram.  As 1.3 ** 36 is over 12,000, they cover 4 ms to most of a minute, or 1 to
# 12,000 transfers.
BIN_COUNT = 36
# Ratio of each bin's upper edge to its lower one.  It is finer than the spread of the measured values.
BIN_GROWTH = 1.3
# Number of samples at which all counts of a histogram are halved, so that old samples lose weight and an
# estimate follows a change within some tens of seconds.
HALVING_SAMPLE_COUNT = 400
# Number of samples below which the caller's default is returned, as the mean of a few samples says little.
MIN_SAMPLES = 12


class Histogram:
    """A histogram with few logarithmic bins, in which old samples lose weight.

    Once it holds ``HALVING_SAMPLE_COUNT`` samples, all its counts are halved.
    """

    def __init__(self, smallest: float) -> None:
        """:param smallest: lower edge of the first bin, which also counts smaller values."""
        self.smallest = smallest
        self.bins = [0] * BIN_COUNT
        self.samples = 0
        self.total = 0.0

    def add(self, value: float) -> None:
        """Adds one sample."""
        self.bins[self._bin_of(value)] += 1
        self.samples += 1
        self.total += value
        if self.samples >= HALVING_SAMPLE_COUNT:
            self._halve()

    def _bin_of(self, value: float) -> int:
        steps = math.log(max(value, self.smallest) / self.smallest, BIN_GROWTH)
        return min(BIN_COUNT - 1, max(0, int(steps)))

    def _halve(self) -> None:
        self.bins = [count // 2 for count in self.bins]
        remaining = sum(self.bins)
        self.total = self.total * remaining / self.samples
        self.samples = remaining

    def mean(self, default: float) -> float:
        """Returns the mean of the samples, or the default while there are fewer than ``MIN_SAMPLES``."""
        return self.total / self.samples if self.samples >= MIN_SAMPLES else default

    def quantile(self, share: float, default: float) -> float:
        """Estimates a quantile as the middle of its bin.

        :param share: the share of samples below the quantile, between 0 and 1.
        :returns: the quantile, or the default while there are fewer than ``MIN_SAMPLES`` samples.
        """
        if self.samples < MIN_SAMPLES:
            return default
        rank = self.samples * share
        bin_number = next(number for number, count in enumerate(accumulate(self.bins)) if count >= rank)
        return self.smallest * math.pow(BIN_GROWTH, bin_number + 0.5)
