"""Statistical comparison of two versions that run side by side."""

from __future__ import annotations

import bisect
import enum
import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

LATENCY_BOUNDS_S = tuple(0.001 * 1.35**n for n in range(32))
"""Upper bounds of the latency buckets. The last bucket is unbounded."""

COUNTS_PER_VERSION = 1 + len(LATENCY_BOUNDS_S) + 1
"""Length of the counters of a version: failures, then latency buckets."""

MAX_FALSE_ALARM_PROBABILITY = 1e-5
"""Probability of a false alarm in one comparison of equal versions."""

MIN_FAILURES = 4
MIN_SLOW = 8
MIN_SAMPLES = 30
FAILURE_MARGIN = 0.01
"""Excess over the failure ratio of the old version that is tolerated."""

SLOW_QUANTILE = 0.9
SLOW_FACTOR = 1.3
"""Factor on the old version's quantile above which a request is slow."""

SLOW_MARGIN = 0.05


class ComparisonResult(enum.Enum):
    """Result for the new version."""

    UNCLEAR = "unclear"
    GOOD = "good"
    FAILS = "fails"
    SLOW = "slow"


class VersionCounts:
    """Request counters of one version.

    Attributes:
        failures: Requests that failed or were not answered.
        buckets: Number of requests in each latency bucket.
    """

    __slots__ = ("buckets", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)

    @property
    def total(self) -> int:
        """Number of requests."""
        return sum(self.buckets)

    def record(self, latency_s: float, failed: bool) -> None:
        """Count one request."""
        self.buckets[bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1
        self.failures += failed

    def add(self, counts: Iterable[int]) -> None:
        """Add counters in the form that `list_counts` returns."""
        failures, *buckets = counts
        self.failures += failures
        for position, count in enumerate(buckets):
            self.buckets[position] += count

    def list_counts(self) -> list[int]:
        """Return the failures followed by the latency buckets."""
        return [self.failures, *self.buckets]

    def find_quantile_bucket(self, quantile: float) -> int:
        """Return the index of the bucket that contains a quantile."""
        wanted = quantile * self.total
        seen = 0
        for position, count in enumerate(self.buckets):
            seen += count
            if seen >= wanted:
                return position
        return len(self.buckets) - 1

    def count_above(self, bucket: int) -> int:
        """Return the number of requests in the buckets above one."""
        return sum(self.buckets[bucket + 1 :])


class VersionPair(msgspec.Struct):
    """Counters of both versions for the same route and period."""

    old: VersionCounts
    new: VersionCounts


def build_pair() -> VersionPair:
    """Build a pair of empty counters."""
    return VersionPair(VersionCounts(), VersionCounts())


def compare_versions(
    pair: VersionPair, total: VersionPair | None = None
) -> ComparisonResult:
    """Compare the new version with the old one.

    The new version fails or is slow if a version as good as the old one,
    within a margin, would have that many bad requests with a probability
    below `MAX_FALSE_ALARM_PROBABILITY`.

    Args:
        pair: Counters of one period, used for latencies.
        total: Counters used for failures, `pair` by default.
    """
    total = total or pair
    if _has_failed(total.old, total.new):
        return ComparisonResult.FAILS
    if pair.new.total == 0 or pair.old.total < MIN_SAMPLES:
        return ComparisonResult.UNCLEAR
    if _is_slow(pair.old, pair.new):
        return ComparisonResult.SLOW
    is_enough = pair.new.total >= MIN_SAMPLES
    return ComparisonResult.GOOD if is_enough else ComparisonResult.UNCLEAR


def _has_failed(old: VersionCounts, new: VersionCounts) -> bool:
    if new.failures < MIN_FAILURES or old.total < MIN_SAMPLES:
        return False
    expected = _estimate_ratio(old.failures, old.total) + FAILURE_MARGIN
    return (
        bound_tail_probability(new.failures, new.total, expected)
        < MAX_FALSE_ALARM_PROBABILITY
    )


def bound_tail_probability(count: int, total: int, chance: float) -> float:
    """Return an upper bound of a binomial tail probability.

    Uses the Chernoff bound, which is never below the exact probability.

    Args:
        count: Least number of successes.
        total: Number of trials.
        chance: Probability of success in one trial.
    """
    ratio = count / total
    if ratio <= chance:
        return 1.0
    if chance <= 0.0:
        return 0.0
    divergence = ratio * math.log(ratio / chance)
    if ratio < 1.0:
        rest = (1.0 - ratio) / (1.0 - chance)
        divergence += (1.0 - ratio) * math.log(rest)
    return math.exp(-total * divergence)


def _is_slow(old: VersionCounts, new: VersionCounts) -> bool:
    quantile_bucket = old.find_quantile_bucket(SLOW_QUANTILE)
    if quantile_bucket >= len(LATENCY_BOUNDS_S):
        return False
    limit_bucket = bisect.bisect_left(
        LATENCY_BOUNDS_S, LATENCY_BOUNDS_S[quantile_bucket] * SLOW_FACTOR
    )
    slow = new.count_above(limit_bucket)
    expected = (
        _estimate_ratio(old.count_above(limit_bucket), old.total) + SLOW_MARGIN
    )
    return slow >= MIN_SLOW and (
        bound_tail_probability(slow, new.total, expected)
        < MAX_FALSE_ALARM_PROBABILITY
    )


def _estimate_ratio(count: int, total: int) -> float:
    """Return a conservative estimate: a ratio plus two standard errors."""
    ratio = (count + 1) / (total + 2)
    return ratio + 2 * math.sqrt(ratio * (1 - ratio) / total)
