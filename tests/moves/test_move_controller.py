"""Moves while one version or both become slow."""

from __future__ import annotations

import random

from bench import moves
import pytest

from cowslipshift.config import model
from cowslipshift.coordination import facts
from cowslipshift.moves import controller as controllers

LENGTH_S = 40.0
RATE = 200


class SingleHostFacts(facts.FactTable):
    """Fact table of the only host; published facts are merged into it."""

    def publish(self, fact: facts.Fact) -> None:
        self.merge([fact])


def run_move(seed: int, slow_from_s: float, slow: tuple[str, ...]) -> str:
    """Run a move on one host and return its last phase.

    Args:
        seed: Seed of the random latencies.
        slow_from_s: Time from which versions take three times as long.
        slow: Versions that become slow.
    """
    rng = random.Random(seed)
    fact_table = SingleHostFacts()
    controller = controllers.MoveController("h1", 1, fact_table, fact_table)
    config_index = moves.build_config_index(LENGTH_S, 10.0)
    controller.apply(config_index)
    move = config_index.configuration.moves[0]
    servers = {s.version: s for s in config_index.configuration.servers}
    now = 0.0
    for number in range(int(RATE * LENGTH_S)):
        now = number / RATE
        unit = f"{seed}-{number}"
        version = controller.list_versions(moves.SERVICE, "/a", unit, now)[0]
        latency_s = rng.lognormvariate(0.0, 0.35) * 0.02
        if now >= slow_from_s and version in slow:
            latency_s *= 3.0
        controller.record_outcome(
            servers[version], "/a", latency_s, False, now
        )
        if number % (RATE // 4) == 0:
            controller.evaluate_moves(now)
            for name, outcome in controller.list_unrecorded_outcomes(now):
                controller.publish_outcome(name, outcome)
    return controller.find_phase(move, now).value


@pytest.mark.parametrize("slow_from_s", [3.0, 6.0, 10.0, 14.0, 18.0])
def test_move_completes_if_both_versions_become_slow(
    slow_from_s: float,
) -> None:
    for seed in range(5):
        assert run_move(seed, slow_from_s, ("1", "2")) == "done", seed


@pytest.mark.parametrize("slow_from_s", [0.0, 10.0, 18.0])
def test_move_is_rolled_back_if_the_new_version_becomes_slow(
    slow_from_s: float,
) -> None:
    for seed in range(5):
        assert run_move(seed, slow_from_s, ("2",)) == "taken_back", seed


def test_no_request_runs_on_the_old_version_once_the_move_is_done() -> None:
    fact_table = SingleHostFacts()
    controller = controllers.MoveController("h1", 1, fact_table, fact_table)
    config_index = moves.build_config_index(LENGTH_S, 10.0)
    controller.apply(config_index)
    move: model.Move = config_index.configuration.moves[0]
    controller.publish_outcome(move.id, controllers.DONE)
    chosen = {
        controller.list_versions(moves.SERVICE, "/a", f"u{number}", 30.0)[0]
        for number in range(500)
    }
    assert chosen == {"2"}
