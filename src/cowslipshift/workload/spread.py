"""Distribution of the true work of requests around what was predicted."""

from __future__ import annotations

import itertools
import math

MIN_LOG = -1.5
BIN_WIDTH = 0.25
BIN_COUNT = 20
MAX_RATIO = math.exp(MIN_LOG + BIN_WIDTH * BIN_COUNT)

GROWTH = 1.005
"""Growth of the weight of samples, so that old ones fade."""

MAX_WEIGHT = 1e9
PRIOR_WEIGHT = 10.0
"""Weight of the assumption that predictions are right."""


class Spread:
    """Fading histogram of true over predicted work, on a log scale."""

    __slots__ = ("_bins", "_high", "_mean", "_total", "_weight")

    def __init__(self) -> None:
        self._bins = [0.0] * BIN_COUNT
        self._bins[_find_bin(1.0)] = self._total = PRIOR_WEIGHT
        self._weight = 1.0
        self._mean = PRIOR_WEIGHT
        self._high: dict[float, float] = {}

    @property
    def mean(self) -> float:
        """Mean ratio of true to predicted work."""
        return self._mean / self._total

    def record(self, ratio: float) -> None:
        """Record the ratio of true to predicted work of one request."""
        bounded = min(MAX_RATIO, ratio)
        self._weight *= GROWTH
        self._bins[_find_bin(bounded)] += self._weight
        self._total += self._weight
        self._mean += self._weight * bounded
        self._high.clear()
        if self._weight > MAX_WEIGHT:
            self._bins = [count / MAX_WEIGHT for count in self._bins]
            self._total /= MAX_WEIGHT
            self._mean /= MAX_WEIGHT
            self._weight /= MAX_WEIGHT

    def find_quantile(self, share: float) -> float:
        """Return the ratio that a share of the requests does not exceed."""
        known = self._high.get(share)
        if known is not None:
            return known
        below = itertools.accumulate(self._bins)
        number = sum(count < share * self._total for count in below)
        upper = min(BIN_COUNT, number + 1)
        ratio = math.exp(MIN_LOG + BIN_WIDTH * upper)
        self._high[share] = ratio
        return ratio


def _find_bin(ratio: float) -> int:
    position = (math.log(max(ratio, 1e-3)) - MIN_LOG) / BIN_WIDTH
    return max(0, min(BIN_COUNT - 1, int(position)))
