"""Work in hand, and when a server would have answered."""

from __future__ import annotations

import heapq
import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest
from tests import builders

from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import calls
from cowslipshift.steering import changes
from cowslipshift.workload import gates
from cowslipshift.workload import inhand
from cowslipshift.workload import loads
from cowslipshift.workload import reports

SLOTS = 3


class OpenGate(gates.WorkGate):
    """Chooses by work, however few hosts there are."""

    @property
    def is_open(self) -> bool:
        return True


def build_balancer(servers: int = 2, **fields: object) -> balancers.Balancer:
    balancer = builders.build_balancer(
        backends=tuple(
            builders.build_backend(f"s{number}", slots=SLOTS)
            for number in range(servers)
        ),
        **fields,
    )
    balancer.use_gate(OpenGate(balancer.membership))
    return balancer


def choose(
    balancer: balancers.Balancer, now: float = 0.0, **fields: object
) -> calls.Choice:
    call = builders.open_call(balancer, now=now, **fields)
    choice = balancer.choose_backend(call, now)
    assert isinstance(choice, calls.Choice)
    return choice


def fill(choice: calls.Choice, works_s: list[float], now: float = 0.0) -> None:
    """Let a server run requests of this host."""
    for number, work_s in enumerate(works_s):
        choice.state.in_flight += 1
        choice.state.work.add(f"own-{number}", work_s, now)


def test_long_work_does_not_block_a_short_urgent_request() -> None:
    """Counted alone, one request waiting would look like a short wait."""
    balancer = build_balancer()
    first = choose(balancer)
    fill(first, [6.0] * SLOTS)
    second = choose(balancer)
    assert second.state is not first.state
    assert second.queue_s == 0.0


def test_short_work_in_hand_keeps_an_object_at_its_server() -> None:
    balancer = build_balancer()
    first = choose(balancer)
    first.state.record_answer("x", 0.1, 0.1, 0.0)
    fill(first, [0.05] * SLOTS)
    assert choose(balancer).state is first.state


def test_server_at_half_pace_loses_while_that_is_fresh() -> None:
    balancer = build_balancer()
    first = choose(balancer)
    for state in balancer.inventory.by_id.values():
        state.record_answer("x", 0.1, 0.1, 0.0)
    first.state.pace.record(1.0, 0.0)
    first.state.pace.record(2.5, 5.0)
    assert choose(balancer, 5.05).state is not first.state
    assert choose(balancer, 8.0).state is first.state


def test_time_in_a_queue_is_not_taken_for_work() -> None:
    balancer = build_balancer(1)
    call = builders.open_call(balancer)
    choice = balancer.choose_backend(call, 0.0)
    before = choice.work_s
    for number in range(50):
        now = 0.1 * number
        balancer.load_exchange.record_answer(
            choice.state, reports.ServerLoad(SLOTS, 9), now
        )
        balancer.update_latency(call, choice, 9.0, now)
        assert balancer.measure_work(choice, 9.0, now) is None
    assert choose(balancer, 90.0).work_s == before


def test_orders_go_where_they_surely_end_in_time() -> None:
    """The first server is as quick in the mean, but may run out of time."""
    route = builders.build_route(is_idempotent=False, timeout_s=0.7)
    balancer = build_balancer(
        configuration=builders.build_platform_configuration(route)
    )
    call = builders.open_call(balancer, remaining_s=0.7)
    states = list(balancer.inventory.by_id.values())
    risky = calls.Choice(states[0], 0.30, 0.3, True, 0, 0, 0, 0.3, 0.9)
    sure = calls.Choice(states[1], 0.32, 0.3, True, 1, 0, 0, 0.3, 0.6)
    assert balancer.selector.select(call, [risky, sure], 0.0) is sure
    call.route = builders.build_route()
    assert balancer.selector.select(call, [risky, sure], 0.0) is risky


def test_dearer_server_in_time_is_used_if_the_best_has_no_room() -> None:
    balancer = build_balancer()
    call = builders.open_call(balancer, remaining_s=0.9)
    states = list(balancer.inventory.by_id.values())
    # Failures make the second server dear, but it answers in time.
    predicted = {
        states[0].entry.id: calls.Choice(states[0], 1.0, 1, True, 0, 5, 0.6),
        states[1].entry.id: calls.Choice(states[1], 0.5, 1, True, 1, 0, 0.0),
    }
    for _ in range(2):
        states[1].record_failure(0.0, is_down=False)

    class Estimator:
        def predict(self, call, state, position, now):
            return predicted[state.entry.id]

        def update(self, call, choice, took_s, now):
            """Learn nothing."""

    balancer._estimator = Estimator()
    choice = balancer.choose_backend(call, 0.0)
    assert isinstance(choice, calls.Choice)
    assert choice.state is states[1]


def test_known_mean_load_is_not_lowered_by_its_own_age() -> None:
    """A load reported twice a second; the baseline loses a quarter of it."""
    track = loads.LoadTrack(0.0)
    state = choose(build_balancer()).state
    draw = random.Random(1)
    for number in range(200):
        load = draw.choice((4, 8, 12))
        track.record(load, 0.5 * number)
        state.record_load(load, 0, 0.5 * number)
    assert track.estimate(102.0) == pytest.approx(8.0, rel=0.2)
    assert state.estimate_load(102.0) < 6.8


def test_load_fades_when_reports_stop() -> None:
    track = loads.LoadTrack(0.0)
    for number in range(20):
        track.record(9.0, 0.5 * number)
    assert track.estimate(12.0) > 7.0
    assert track.estimate(60.0) < 0.1
    assert track.estimate_variance(60.0) < 0.1


def test_late_heartbeats_make_a_load_less_sure_but_not_smaller() -> None:
    track = loads.LoadTrack(0.0)
    for number in range(20):
        track.record(float(SLOTS), 0.5 * number)
    fresh, late = 9.55, 11.5
    assert track.estimate(late) > 0.95 * track.estimate(fresh)
    waits = [
        loads.expect_excess(
            track.estimate(now) + 1.0 - SLOTS - 2.0,
            track.estimate_variance(now),
        )
        for now in (fresh, late)
    ]
    assert waits[0] < waits[1]


def test_restarted_server_has_no_work_in_hand() -> None:
    balancer = build_balancer(1)
    fill(choose(balancer), [9.0] * SLOTS)
    again = builders.build_backend("s0", slots=SLOTS, started_ms=2)
    balancer.apply(changes.BackendChange("s0", again), 0.1)
    assert choose(balancer, 0.1).ahead_s == 0.0


def test_overdue_work_is_not_taken_for_finished() -> None:
    work = inhand.WorkInHand()
    work.add("r", 1.0, 0.0)
    assert work.measure_left(0.4) == pytest.approx(0.6)
    assert work.measure_left(8.0) > 1.0
    work.remove("r")
    assert work.measure_left(8.0) == 0.0


WORKS = strategies.lists(strategies.floats(0.01, 8.0), max_size=25)
PACES = strategies.floats(0.5, 4.0)


def run_queue(works_s: list[float], pace: float) -> float:
    """Return when a first-come-first-served server has a slot free."""
    ends: list[float] = []
    for work_s in works_s:
        started_s = heapq.heappop(ends) if len(ends) == SLOTS else 0.0
        heapq.heappush(ends, started_s + pace * work_s)
    return heapq.heappop(ends) if len(ends) == SLOTS else 0.0


@hypothesis.given(
    strategies.lists(strategies.tuples(WORKS, PACES), min_size=2, max_size=2)
)
def test_choice_by_work_is_never_much_worse_than_by_count(servers) -> None:
    """What it loses is at most one longest piece of work at each server.

    A queue of n requests on s slots ends between their sum over s and that
    less the longest one, so the prediction is off by no more.
    """
    balancer = build_balancer()
    first = choose(balancer)
    states = [first.state] + [
        state
        for state in balancer.inventory.by_id.values()
        if state is not first.state
    ]
    for state, (works_s, pace) in zip(states, servers, strict=True):
        state.record_answer("x", 0.1, 0.1, 0.0)
        state.pace.record(pace, 0.0)
        for number, work_s in enumerate(works_s):
            state.in_flight += 1
            state.work.add(f"{number}", work_s, 0.0)
    chosen = states.index(choose(balancer, remaining_s=1e6).state)
    fewest = min(range(2), key=lambda number: len(servers[number][0]))
    work_s = choose(balancer, remaining_s=1e6).work_s
    ends_s = [
        run_queue(works, pace) + pace * work_s for works, pace in servers
    ]
    bound_s = sum(max(works, default=0.0) * pace for works, pace in servers)
    detour_s = 0.1 * builders.build_route().target_s
    assert ends_s[chosen] <= ends_s[fewest] + bound_s + detour_s + 1e-6


def test_prediction_of_a_queue_is_off_by_at_most_its_longest_work() -> None:
    draw = random.Random(7)
    for count in itertools.chain(range(1, 20), (40, 80)):
        balancer = build_balancer(1)
        works_s = [draw.expovariate(1.0) for _ in range(count)]
        fill(choose(balancer), works_s)
        predicted_s = choose(balancer, remaining_s=1e6).queue_s
        error_s = abs(predicted_s - run_queue(works_s, 1.0))
        assert error_s <= max(works_s) + 1e-9


@pytest.mark.parametrize("others", (0, 1))
def test_unknown_work_is_not_refused_where_a_slot_is_free(others) -> None:
    """A route just added, whose target says nothing of its work."""
    route = builders.build_route(target_s=8.0, timeout_s=1.0)
    balancer = build_balancer(
        configuration=builders.build_platform_configuration(route)
    )
    for state in balancer.inventory.by_id.values():
        state.record_load(others, 0, 1.0)
    choice = choose(balancer, 2.0)
    assert choice.expected_s > 1.0
    assert choice.queue_s == 0.0
