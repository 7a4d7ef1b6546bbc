"""Where servers are chosen by work, and where as before."""

from __future__ import annotations

import random

from bench import balancing
from tests import builders

from cowslipshift.edge import attempts
from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import calls
from cowslipshift.steering import placement
from cowslipshift.steering import prediction
from cowslipshift.steering import preference
from cowslipshift.workload import reports

SERVERS = tuple(
    builders.build_backend(f"s{number}", data_centre=centre)
    for number, centre in enumerate(list(builders.REGIONS) * 3)
)


class Baseline:
    """The choices as they were before: two servers of a region's order."""

    def __init__(self, balancer: balancers.Balancer) -> None:
        self._balancer = balancer
        self.estimator = prediction.LatencyEstimator(balancer.round_trips)
        assert balancer.configuration is not None
        self.estimator.set_routes(balancer.configuration.routes)

    def choose(self, call: calls.Call, now: float) -> calls.Choice:
        by_region: dict[str, list] = {}
        for state in self._balancer.inventory.list_servers(call.service):
            region = builders.REGIONS[state.entry.data_centre]
            by_region.setdefault(region, []).append(state)
        ranking = placement.rank_backends(
            f"{call.service}|{call.affinity_key}", "north", by_region, 3
        )
        usable = [s for s in ranking if not s.is_ejected(now)]
        choice = preference.CostPreference().select(
            call,
            [
                self.estimator.predict(call, state, position, now)
                for position, state in enumerate(usable[:2])
            ],
            now,
        )
        assert choice is not None
        return choice


def test_few_hosts_without_paces_choose_as_before() -> None:
    """Random answers, loads and failures; each choice is compared."""
    draw = random.Random(5)
    balancer = builders.build_balancer(
        backends=SERVERS, peers=tuple(f"p{n}" for n in range(9))
    )
    baseline = Baseline(balancer)
    now = 0.0
    for _ in range(3_000):
        now += draw.expovariate(20.0)
        call = builders.open_call(
            balancer, f"o{draw.randrange(30)}", now, remaining_s=99.0
        )
        choice = balancer.choose_backend(call, now)
        assert isinstance(choice, calls.Choice)
        assert choice == baseline.choose(call, now)
        if draw.random() < 0.05:
            choice.state.record_failure(now, is_down=False)
            continue
        balancer.load_exchange.record_answer(
            choice.state,
            reports.ServerLoad(draw.randrange(6), draw.randrange(4)),
            now,
        )
        took_s = draw.lognormvariate(-1.2, 0.8)
        choice.state.record_answer(
            call.affinity_key, took_s, choice.baseline_s, now
        )
        balancer.update_latency(call, choice, took_s, now)
        baseline.estimator.update(call, choice, took_s, now)


def test_stated_pace_or_many_hosts_call_for_choices_by_work() -> None:
    few = builders.build_balancer(backends=SERVERS)
    call = builders.open_call(few)
    choice = few.choose_backend(call, 0.0)
    assert choice.work_s == 0.0
    few.load_exchange.record_answer(
        choice.state, reports.ServerLoad(1, 0, 1.0), 0.0
    )
    few.update_latency(call, choice, 0.2, 0.0)
    assert few.choose_backend(builders.open_call(few), 0.1).work_s > 0.0
    many = builders.build_balancer(
        backends=SERVERS, peers=tuple(f"p{n}" for n in range(40))
    )
    assert many.choose_backend(builders.open_call(many), 0.0).work_s > 0.0


def test_order_by_work_keeps_the_region_only_for_the_first_server() -> None:
    many = builders.build_balancer(
        backends=SERVERS, peers=tuple(f"p{n}" for n in range(40))
    )
    seconds = set()
    for number in range(60):
        call = builders.open_call(many, f"o{number}")
        first = many.choose_backend(call, 0.0)
        # All regions have as many slots, so each serves its own objects.
        assert first.state.entry.data_centre == "north-a"
        call.tried.add(first.state.entry.id)
        second = many.choose_backend(call, 0.0)
        seconds.add(second.state.entry.data_centre)
    assert seconds == set(builders.REGIONS)


def test_many_hosts_answer_more_in_time_by_work_than_before() -> None:
    """Work with a tail, noisy paces and loads told an interval late."""
    deployment = balancing.build_deployment(85, 0.45)
    before, by_work = (
        balancing.run_policy(policy, deployment, 1, 12.0)
        for policy in ("as before", "by work")
    )
    assert by_work["in_target"] > before["in_target"] + 0.03
    assert by_work["mean_s"] < before["mean_s"]


def test_log_fields_tell_what_a_choice_by_work_was_made_by() -> None:
    by_work = {"work_ms", "high_ms", "pace", "ahead_ms"}
    for peers, has_fields in ((0, False), (40, True)):
        balancer = builders.build_balancer(
            backends=SERVERS, peers=tuple(f"p{n}" for n in range(peers))
        )
        choice = balancer.choose_backend(builders.open_call(balancer), 0.0)
        assert isinstance(choice, calls.Choice)
        fields = attempts.describe_choice(choice, 0.0)
        assert (by_work <= set(fields)) == has_fields
        assert bool(by_work & set(fields)) == has_fields
