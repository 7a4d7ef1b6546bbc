"""Heavy loads played on the real decisions, in simulated time."""

from __future__ import annotations

from bench import emulator
import pytest

from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import placement


def play(
    seed: int, length_s: float = 20.0, **fields: object
) -> emulator.Result:
    shape = emulator.msgspec.structs.replace(emulator.UNEVEN, **fields)
    return emulator.Emulator(shape, seed).run(length_s)


@pytest.mark.parametrize("seed", range(3))
def test_waves_on_uneven_regions_stay_warm_and_near(seed) -> None:
    """Each region asks for its own objects; one has a sixth of the servers."""
    result = play(seed)
    assert result.warm > 0.9
    assert result.across < 1 / 3
    assert result.in_target > 0.85
    assert result.worst_region > 0.8


def test_overload_does_not_make_every_server_forget(monkeypatch) -> None:
    """Work above what fits in target: spilling anywhere feeds the overload.

    It takes its time, and not every draw tips over: sums over draws.
    """
    near = [play(seed, 30.0, per_s=75.0) for seed in range(3)]
    monkeypatch.setattr(balancers, "CANDIDATES", 99)
    anywhere = [play(seed, 30.0, per_s=75.0) for seed in range(3)]
    assert min(result.warm for result in near) > 0.85
    assert sum(r.in_target for r in near) > sum(r.in_target for r in anywhere)


@pytest.mark.parametrize("seed", range(3))
def test_small_region_is_not_left_with_all_that_it_asks_for(
    seed, monkeypatch
) -> None:
    result = play(seed)
    monkeypatch.setattr(placement, "LOCAL_REGION_BIAS", 99.0)
    at_home = play(seed)
    assert result.worst_region > at_home.worst_region


def test_slow_server_costs_little_beyond_its_own_objects() -> None:
    """One of twelve servers takes five times as long for eight seconds."""
    calm = play(1)
    slow = play(1, slow=("north-0", 6.0, 14.0))
    assert slow.in_target > calm.in_target - 0.06
