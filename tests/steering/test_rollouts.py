"""Roll-outs over several hosts, in simulated time, with every bad kind."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from cowslipshift.steering import model
from cowslipshift.steering import rollouts

if TYPE_CHECKING:
    from collections.abc import Callable

HOSTS = tuple(f"h{n}" for n in range(6))
RAMP_S = 15.0


class Play:
    """One roll-out: requests, words between hosts, and a store."""

    def __init__(self, seed: int, per_s: float = 60.0) -> None:
        self.draw = random.Random(seed)
        self.per_s = per_s
        self.live = list(HOSTS)
        self.frozen: set[str] = set()
        self.rollouts = {name: rollouts.Rollout("sheets") for name in HOSTS}
        self.stage: rollouts.Stage | None = None
        self.revision = 0
        self.exposed = 0
        self.total = 0
        self.bad_at: list[float] = []
        self.exposed_at: list[float] = []
        self.done_at = 0.0
        order = model.RolloutOrder("sheets", "v2", RAMP_S, 7)
        for rollout in self.rollouts.values():
            rollout.set_order(order, 0.0)

    def run(
        self, is_bad: Callable[[float, float], float], length_s: float = 18.0
    ) -> None:
        """Play it.

        Args:
            is_bad: Chance of a bad answer of the new version, by time and
                its share.
            length_s: How long.
        """
        for step in range(int(length_s * 100)):
            now = step / 100
            if self.draw.random() < self.per_s / 100:
                self._request(now, is_bad)
            if step % 40 == 0:
                self._talk()
            if step % 10 == 0:
                self._judge(now)

    def _request(
        self, now: float, is_bad: Callable[[float, float], float]
    ) -> None:
        name = self.draw.choice([n for n in self.live if n not in self.frozen])
        rollout = self.rollouts[name]
        is_new = rollout.choose_new_version()
        self.total += 1
        if not is_new:
            rollout.record_answer("v1", self.draw.random() < 0.004)
            return
        self.exposed += 1
        self.exposed_at.append(now)
        bad = self.draw.random() < is_bad(now, rollout.get_new_version_share())
        if bad:
            self.bad_at.append(now)
        rollout.record_answer("v2", bad)

    def _talk(self) -> None:
        for name in self.live:
            if name in self.frozen:
                continue
            told = self.rollouts[name]
            for other in self.live:
                if other != name and other not in self.frozen:
                    self.rollouts[other].record_peer(
                        name, 7, told.counts, told.rejects_new_version
                    )

    def _judge(self, now: float) -> None:
        for name in self.live:
            if name in self.frozen:
                continue
            rollout = self.rollouts[name]
            stage = rollout.propose_stage(now, 1000.0 + now, name, self.live)
            if stage is None or rollout.stage_revision != self.revision:
                continue
            self.revision += 1
            self.stage = stage
            if stage.state != rollouts.WATCHING and not self.done_at:
                self.done_at = now
            for other in HOSTS:
                self.rollouts[other].set_stage(stage, self.revision, now)


@pytest.mark.parametrize("seed", range(10))
def test_good_version_is_completed_in_time(seed) -> None:
    play = Play(seed)
    play.run(lambda now, share: 0.004)
    assert play.stage is not None
    assert play.stage.state == rollouts.COMPLETED
    assert play.done_at < RAMP_S
    assert all(not r.may_use("v1", False) for r in play.rollouts.values())


BAD = {
    "errors": lambda now, share: 0.5,
    "slow": lambda now, share: 0.5,
    "late": lambda now, share: 0.5 if now > 3.5 else 0.004,
    "under_load": lambda now, share: 0.5 if share > 0.2 else 0.004,
    "one_route": lambda now, share: 0.16,
}


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("kind", sorted(BAD))
def test_bad_version_is_taken_back_within_its_exposure(kind, seed) -> None:
    play = Play(seed)
    play.run(BAD[kind])
    assert play.stage is not None
    assert play.stage.state == rollouts.ROLLED_BACK
    assert play.exposed <= 0.1 * play.total + 50
    if len(play.bad_at) >= 50:
        assert play.exposed_at[-1] <= play.bad_at[49] + 5.0
    assert all(not r.may_use("v2", True) for r in play.rollouts.values())


def test_frozen_judge_is_replaced_by_the_next_in_rank() -> None:
    play = Play(3)
    first = rollouts.hashing.rank_members("rollout|sheets", HOSTS)[0]
    play.frozen = {first}
    play.run(lambda now, share: 0.004)
    assert play.stage is not None
    assert play.stage.state == rollouts.COMPLETED
    assert play.done_at < RAMP_S


def test_version_with_too_few_answers_is_taken_back_not_guessed() -> None:
    play = Play(4, per_s=1.0)
    play.run(lambda now, share: 0.0)
    assert play.stage is not None
    assert play.stage.state == rollouts.ROLLED_BACK
    assert play.done_at < RAMP_S


def test_condemned_version_stays_out_during_the_next_rollout() -> None:
    play = Play(5)
    play.run(BAD["errors"])
    rollout = play.rollouts["h0"]
    rollout.set_order(model.RolloutOrder("sheets", "v3", RAMP_S, 9), 20.0)
    assert not rollout.may_use("v2", False)
    assert not rollout.may_use("v2", True)
    assert rollout.may_use("v1", False)
    assert rollout.get_new_version_share() == 0.0


def test_stage_survives_its_codec_and_rubbish_is_told() -> None:
    play = Play(6)
    play.run(BAD["errors"])
    raw = rollouts.encode_stage(play.stage)
    assert rollouts.decode_stage(raw) == play.stage
    with pytest.raises(rollouts.exceptions.StoreAnswerError):
        rollouts.decode_stage(b"{")
