"""The order in which callers are admitted."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from cowslipshift.admission import turns

SHARES = strategies.floats(0.05, 1.0)
TIMES = strategies.floats(1.7e9, 1.8e9)


@hypothesis.given(strategies.text(max_size=20), SHARES, TIMES)
def test_every_caller_has_its_share_of_each_round(
    caller: str, share: float, unix_s: float
) -> None:
    steps = 400
    admitted = sum(
        turns.measure_turn(caller, unix_s + turns.ROUND_S * n / steps)
        >= 1.0 - share
        for n in range(steps)
    )
    assert admitted / steps == pytest.approx(share, abs=2.0 / steps)


@hypothesis.given(strategies.text(max_size=20), SHARES, TIMES)
def test_refused_callers_are_told_a_time_inside_their_turn(
    caller: str, share: float, unix_s: float
) -> None:
    turn = turns.measure_turn(caller, unix_s)
    hypothesis.assume(turn < 1.0 - share)
    for request in "abc":
        wait_s = turns.choose_return(turn, share, request)
        assert 0.0 < wait_s <= turns.ROUND_S
        later = turns.measure_turn(caller, unix_s + wait_s)
        # Also if a little less is admitted by then.
        assert later >= 1.0 - share * 0.85


def test_returns_are_spread_over_the_round() -> None:
    share = 0.3
    waits = []
    for number in range(2000):
        turn = turns.measure_turn(f"c{number}", 1.7e9)
        if turn < 1.0 - share:
            waits.append(turns.choose_return(turn, share, f"r{number}"))
    buckets = [0] * 8
    for wait_s in waits:
        buckets[int(wait_s / turns.ROUND_S * 8)] += 1
    assert max(buckets) < 0.25 * len(waits)
