"""What is known of two versions that run beside each other."""

from __future__ import annotations

import bisect
import enum
import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

LATENCY_BOUNDS_S = tuple(0.001 * 1.35**n for n in range(32))
"""Upper bounds of the latency buckets; the last bucket has none."""

COUNTS_PER_VERSION = 1 + len(LATENCY_BOUNDS_S) + 1
"""Numbers of one version: failures, then requests by latency bucket."""

MAX_FALSE_ALARM_RATIO = 1e-5
"""Chance of a false alarm in one comparison of equal versions."""

MIN_FAILURES = 4
MIN_SLOW = 8
MIN_SAMPLES = 30
FAILURE_MARGIN = 0.01
"""Failure ratio above the old version's that is not held against the new."""

SLOW_QUANTILE = 0.9
SLOW_FACTOR = 1.3
"""How much slower than the old version's quantile counts as slow."""

SLOW_MARGIN = 0.05


class ComparisonResult(enum.Enum):
    """What a comparison says of the new version."""

    UNCLEAR = "unclear"
    GOOD = "good"
    FAILS = "fails"
    SLOW = "slow"


class VersionCounts:
    """Requests of one version.

    Attributes:
        failures: Answers with a failure, or none at all.
        buckets: Requests by latency.
    """

    __slots__ = ("buckets", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)

    @property
    def total(self) -> int:
        """All requests."""
        return sum(self.buckets)

    def record(self, latency_s: float, failed: bool) -> None:
        """Count one request."""
        self.buckets[bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1
        self.failures += failed

    def add(self, counts: Iterable[int]) -> None:
        """Add counts in the form of `list_counts`."""
        failures, *buckets = counts
        self.failures += failures
        for position, count in enumerate(buckets):
            self.buckets[position] += count

    def list_counts(self) -> list[int]:
        """Return failures and buckets as numbers."""
        return [self.failures, *self.buckets]

    def find_quantile_bucket(self, quantile: float) -> int:
        """Return the bucket that a quantile lies in."""
        wanted = quantile * self.total
        seen = 0
        for position, count in enumerate(self.buckets):
            seen += count
            if seen >= wanted:
                return position
        return len(self.buckets) - 1

    def count_above(self, bucket: int) -> int:
        """Return the requests slower than a bucket."""
        return sum(self.buckets[bucket + 1 :])


class VersionPair(msgspec.Struct):
    """The two versions on the same route in the same time."""

    old: VersionCounts
    new: VersionCounts


def build_pair() -> VersionPair:
    """Return a pair without requests."""
    return VersionPair(VersionCounts(), VersionCounts())


def compare_versions(
    pair: VersionPair, total: VersionPair | None = None
) -> ComparisonResult:
    """Compare the new version with the old one.

    The new version fails or is slow if that many bad requests would be a
    matter of chance less often than `MAX_FALSE_ALARM_RATIO`, were it as
    good as the old version within a margin.

    Args:
        pair: Requests of the same time.
        total: Requests among which failures are counted, if not the same.
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
    expected = _estimate(old.failures, old.total) + FAILURE_MARGIN
    return (
        bound_tail_probability(new.failures, new.total, expected)
        < MAX_FALSE_ALARM_RATIO
    )


def bound_tail_probability(count: int, total: int, chance: float) -> float:
    """Return the chance of at least so many hits in so many tries.

    Uses the Chernoff bound, which is never below the exact chance.
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
    usual = old.find_quantile_bucket(SLOW_QUANTILE)
    if usual >= len(LATENCY_BOUNDS_S):
        return False
    limit = bisect.bisect_left(
        LATENCY_BOUNDS_S, LATENCY_BOUNDS_S[usual] * SLOW_FACTOR
    )
    slow = new.count_above(limit)
    expected = _estimate(old.count_above(limit), old.total) + SLOW_MARGIN
    return slow >= MIN_SLOW and (
        bound_tail_probability(slow, new.total, expected)
        < MAX_FALSE_ALARM_RATIO
    )


def _estimate(count: int, total: int) -> float:
    """Return a cautious estimate of a ratio: two standard errors above."""
    ratio = (count + 1) / (total + 2)
    return ratio + 2 * math.sqrt(ratio * (1 - ratio) / total)
