"""What requests cost, learnt from answers."""

from __future__ import annotations

import math
import random

import pytest
from tests import builders

from cowslipshift.steering import calls
from cowslipshift.workload import costs

COLD_S = 1.2
WARM_S = 0.36
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
ROUTE = builders.build_route(target_s=0.8, timeout_s=3.0)


def build_call(key: str = "x", **fields: object) -> calls.Call:
    balancer = builders.build_balancer(
        configuration=builders.build_platform_configuration(
            fields.pop("route", ROUTE)
        )
    )
    return builders.open_call(balancer, key, **fields)


def draw_work(draw: random.Random, is_warm: bool) -> float:
    work_s = (WARM_S if is_warm else COLD_S) * draw.lognormvariate(0.0, 0.15)
    return work_s * (TAIL_FACTOR if draw.random() < TAIL_SHARE else 1.0)


def teach(
    model: costs.CostModel, count: int = 1_500, warm_share: float = 0.8
) -> None:
    """Teach answers of which the host does not know whether they are warm."""
    draw = random.Random(4)
    listed = [build_call(f"o{number}") for number in range(40)]
    for _ in range(count):
        is_warm = draw.random() < warm_share
        model.update(draw.choice(listed), False, 0, draw_work(draw, is_warm))


def test_mean_work_is_learnt_without_knowing_what_was_warm() -> None:
    model = costs.CostModel()
    teach(model)
    true_s = (0.8 * WARM_S + 0.2 * COLD_S) * (
        1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0)
    )
    cost = model.predict(build_call(), False, 0)
    assert cost.mean_s == pytest.approx(true_s, rel=0.2)
    warm = model.predict(build_call(), True, 0)
    assert warm.typical_s == pytest.approx(WARM_S, rel=0.15)


def test_unseen_route_has_a_prior_by_its_target() -> None:
    cost = costs.CostModel().predict(build_call(), True, 0)
    assert 0.1 * ROUTE.target_s < cost.mean_s < 2.0 * ROUTE.target_s
    slower = builders.build_route(target_s=8.0)
    other = costs.CostModel().predict(build_call(route=slower), True, 0)
    assert other.mean_s == pytest.approx(10.0 * cost.mean_s)


def test_high_quantile_covers_the_tail_where_it_is_frequent() -> None:
    model = costs.CostModel()
    draw = random.Random(1)
    call = build_call()
    for _ in range(600):
        is_long = draw.random() < 0.1
        model.update(call, True, 0, WARM_S * (TAIL_FACTOR if is_long else 1))
    assert model.predict(call, True, 0).high_s > 4.0 * WARM_S


def test_heavy_object_is_told_apart_from_others() -> None:
    model = costs.CostModel()
    heavy, light = build_call("heavy"), build_call("light")
    for _ in range(150):
        model.update(heavy, True, 0, 1.3 * WARM_S)
        model.update(light, True, 0, 0.7 * WARM_S)
    ratio = (
        model.predict(heavy, True, 0).typical_s
        / model.predict(light, True, 0).typical_s
    )
    assert ratio > 1.3


@pytest.mark.parametrize("trait", ("method", "body_bytes"))
def test_other_properties_count(trait: str) -> None:
    values = {"method": ("PUT", "GET"), "body_bytes": (9_000, 10)}[trait]
    heavy, light = (build_call("", **{trait: value}) for value in values)
    model = costs.CostModel()
    for _ in range(150):
        model.update(heavy, True, 0, 1.3 * WARM_S)
        model.update(light, True, 0, 0.7 * WARM_S)
    assert (
        model.predict(heavy, True, 0).typical_s
        > 1.2 * model.predict(light, True, 0).typical_s
    )


def test_one_absurd_answer_changes_little() -> None:
    model = costs.CostModel()
    teach(model)
    before = model.predict(build_call(), True, 0).typical_s
    for absurd in (1e9, 0.0, -1.0, math.inf, math.nan):
        model.update(build_call(), True, 0, absurd)
    after = model.predict(build_call(), True, 0)
    assert after.typical_s == pytest.approx(before, rel=0.1)
    assert after.mean_s < costs.MAX_PREDICTED_S


def test_memory_is_bounded() -> None:
    model = costs.CostModel()
    call = build_call()
    for number in range(costs.MAX_TRAITS + 500):
        call.affinity_key = f"o{number}"
        model.update(call, True, 0, WARM_S)
    assert model.trait_count <= costs.MAX_TRAITS
    for number in range(costs.MAX_ROUTES + 100):
        call.route = builders.build_route(prefix=f"/{number}/")
        model.predict(call, True, 0)
    assert model.route_count <= costs.MAX_ROUTES


def test_new_costs_replace_old_ones() -> None:
    model = costs.CostModel()
    call = build_call("")
    for _ in range(1_500):
        model.update(call, True, 0, WARM_S)
    for _ in range(300):
        model.update(call, True, 0, 2.0 * WARM_S)
    cost = model.predict(call, True, 0)
    assert cost.typical_s == pytest.approx(2.0 * WARM_S, rel=0.2)
