"""The comparison detects bad versions and raises no alarm on equal ones."""

from __future__ import annotations

import random

import pytest

from cowslipshift.moves import comparison


def draw_pair(
    seed: int, total: int, fails: float, slower: float
) -> comparison.VersionPair:
    rng = random.Random(seed)
    pair = comparison.build_pair()
    for counts, ratio, factor in (
        (pair.old, 0.01, 1.0),
        (pair.new, fails, slower),
    ):
        for _ in range(total):
            latency_s = rng.lognormvariate(0, 0.4) * 0.02 * factor
            counts.record(latency_s, rng.random() < ratio)
    return pair


def test_equal_versions_raise_no_alarm() -> None:
    for seed in range(400):
        result = comparison.compare_versions(draw_pair(seed, 400, 0.01, 1.0))
        assert result is comparison.ComparisonResult.GOOD, seed


@pytest.mark.parametrize(
    ("fails", "slower", "expected"),
    [
        (0.15, 1.0, comparison.ComparisonResult.FAILS),
        (0.01, 2.0, comparison.ComparisonResult.SLOW),
    ],
)
def test_bad_versions_are_noticed(
    fails: float, slower: float, expected: comparison.ComparisonResult
) -> None:
    for seed in range(100):
        pair = draw_pair(seed, 400, fails, slower)
        assert comparison.compare_versions(pair) is expected, seed


def test_few_requests_prove_nothing() -> None:
    pair = draw_pair(1, 400, 0.01, 1.0)
    pair.new = comparison.VersionCounts()
    pair.new.record(0.02, True)
    assert (
        comparison.compare_versions(pair)
        is comparison.ComparisonResult.UNCLEAR
    )


def test_tail_bound_is_never_below_the_exact_chance() -> None:
    total, chance = 20, 0.2
    from math import comb

    for count in range(5, 20):
        exact = sum(
            comb(total, k) * chance**k * (1 - chance) ** (total - k)
            for k in range(count, total + 1)
        )
        assert comparison.bound_tail_probability(count, total, chance) >= exact
