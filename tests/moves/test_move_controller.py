"""A move under conditions that change for both versions at once."""

from __future__ import annotations

import random

from bench import moves
import pytest

from cowslipshift.config import model
from cowslipshift.coordination import facts
from cowslipshift.moves import controller as controllers

LENGTH_S = 40.0
RATE = 200


class Board(facts.FactTable):
    """Facts of a host that has no others to tell."""

    def publish(self, fact: facts.Fact) -> None:
        self.merge([fact])


def run_move(seed: int, slow_from_s: float, slow: tuple[str, ...]) -> str:
    """Run a move on one host and return its last phase.

    Args:
        seed: Of the latencies.
        slow_from_s: From when versions take three times as long.
        slow: The versions that do.
    """
    rng = random.Random(seed)
    board = Board()
    controller = controllers.MoveController("h1", 1, board, board)
    atlas = moves.build_atlas(LENGTH_S, 10.0)
    controller.apply(atlas)
    move = atlas.configuration.moves[0]
    servers = {s.version: s for s in atlas.configuration.servers}
    now = 0.0
    for number in range(int(RATE * LENGTH_S)):
        now = number / RATE
        unit = f"{seed}-{number}"
        version = controller.list_versions(moves.SERVICE, "/a", unit, now)[0]
        latency_s = rng.lognormvariate(0.0, 0.35) * 0.02
        if now >= slow_from_s and version in slow:
            latency_s *= 3.0
        controller.note_outcome(servers[version], "/a", latency_s, False, now)
        if number % (RATE // 4) == 0:
            controller.evaluate_moves(now)
            for name, verdict in controller.list_unrecorded_outcomes(now):
                controller.publish_outcome(name, verdict)
    return controller.find_phase(move, now).value


@pytest.mark.parametrize("slow_from_s", [3.0, 6.0, 10.0, 14.0, 18.0])
def test_slowness_of_both_versions_condemns_none(slow_from_s: float) -> None:
    for seed in range(5):
        assert run_move(seed, slow_from_s, ("1", "2")) == "done", seed


@pytest.mark.parametrize("slow_from_s", [0.0, 10.0, 18.0])
def test_slowness_of_the_new_version_condemns_it(slow_from_s: float) -> None:
    for seed in range(5):
        assert run_move(seed, slow_from_s, ("2",)) == "taken_back", seed


def test_no_request_runs_on_the_old_version_once_the_move_is_done() -> None:
    board = Board()
    controller = controllers.MoveController("h1", 1, board, board)
    atlas = moves.build_atlas(LENGTH_S, 10.0)
    controller.apply(atlas)
    move: model.Move = atlas.configuration.moves[0]
    controller.publish_outcome(move.id, controllers.DONE)
    chosen = {
        controller.list_versions(moves.SERVICE, "/a", f"u{number}", 30.0)[0]
        for number in range(500)
    }
    assert chosen == {"2"}
