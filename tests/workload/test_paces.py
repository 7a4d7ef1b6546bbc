"""The pace that servers state, and what answers show beyond it."""

from __future__ import annotations

import random
import statistics

from tests import builders

from cowslipshift.steering import changes
from cowslipshift.workload import paces
from cowslipshift.workload import reports

SLOW = 2.5
PERIOD_S = 0.6


def draw_paces(seed: int, count: int = 4_000) -> list[float]:
    """Draw the paces of a noisy server, one for each period."""
    draw = random.Random(seed)
    return [SLOW if draw.random() < 0.15 else 1.0 for _ in range(count)]


def measure_errors(age_s: float) -> dict[str, float]:
    """Return mean squared errors of three estimates at an age."""
    drawn = draw_paces(1)
    draw = random.Random(2)
    pace = paces.Pace()
    errors: dict[str, list[float]] = {"faded": [], "held": [], "none": []}
    now = 0.0
    while now + age_s < len(drawn) * PERIOD_S - 1.0:
        stated = drawn[int(now / PERIOD_S)]
        pace.record(stated, now)
        true = drawn[int((now + age_s) / PERIOD_S)]
        usual = statistics.fmean(drawn)
        for name, estimate in (
            ("faded", pace.estimate(now + age_s)),
            ("held", stated),
            ("none", usual),
        ):
            errors[name].append((estimate - true) ** 2)
        now += draw.uniform(1.0, 3.0)
    return {name: statistics.fmean(found) for name, found in errors.items()}


def test_fresh_pace_is_better_than_none_on_a_noisy_server() -> None:
    errors = measure_errors(0.05)
    assert errors["faded"] < 0.5 * errors["none"]


def test_stale_pace_is_forgotten_at_the_speed_at_which_it_changes() -> None:
    errors = measure_errors(1.5)
    assert errors["held"] > 1.3 * errors["none"]
    assert errors["faded"] < 1.1 * errors["none"]


def test_pace_fades_to_the_usual_one_by_half_in_a_half_life() -> None:
    pace = paces.Pace()
    pace.record(1.0, 0.0)
    pace.record(3.0, 1.0)
    usual = pace.estimate(100.0)
    half = pace.estimate(1.0 + paces.HALF_LIFE_S)
    assert abs(half - (usual + 3.0) / 2.0) < 1e-9


def test_noise_that_passes_ejects_no_server_and_leaves_no_trace() -> None:
    """Each third answer takes longer, as the server itself states."""
    balancer = builders.build_balancer(
        backends=(builders.build_backend("s0"),)
    )
    state = balancer.inventory.by_id["s0"]
    now = 0.0
    for number in range(60):
        now += 0.3
        factor = SLOW if number % 3 == 0 else 1.0
        call = builders.open_call(balancer, now=now, remaining_s=9.0)
        choice = balancer.choose_backend(call, now)
        balancer.load_exchange.record_answer(
            state, reports.ServerLoad(1, 0, factor), now
        )
        state.record_answer("x", 0.2 * factor, 0.2, now)
        balancer.update_latency(call, choice, 0.2 * factor, now)
    assert not state.is_ejected(now)
    excess = state.pace.estimate(now) / state.pace.estimate_stated(now)
    assert 0.8 < excess < 1.25


def test_one_long_answer_does_not_make_a_server_look_slow() -> None:
    """Some services' work has a long tail."""
    balancer = builders.build_balancer(
        backends=(builders.build_backend("s0"),)
    )
    state = balancer.inventory.by_id["s0"]
    state.record_answer("x", 2.1, 0.3, 1.0)
    state.pace.record_excess(7.0, 1.0)
    assert state.estimate_slowness(1.0) > 2.5  # The baseline's estimate.
    assert state.pace.estimate(1.0) < 1.2


def test_server_that_stays_slow_is_found_without_a_stated_pace() -> None:
    pace = paces.Pace()
    for number in range(30):
        pace.record_excess(2.2, 0.1 * number)
    assert not pace.is_stated
    assert pace.estimate(3.0) > 1.8
    assert pace.estimate(30.0) < 1.05


def test_restart_under_the_same_id_has_no_pace_yet() -> None:
    balancer = builders.build_balancer(
        backends=(builders.build_backend("s0"),)
    )
    balancer.inventory.by_id["s0"].pace.record(9.0, 0.0)
    again = builders.build_backend("s0", started_ms=2)
    balancer.apply(changes.BackendChange("s0", again), 0.1)
    assert not balancer.inventory.by_id["s0"].pace.is_stated
    assert balancer.inventory.by_id["s0"].pace.estimate(0.1) == 1.0
