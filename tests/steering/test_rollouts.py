"""Roll-outs over several hosts, in simulated time, good and bad versions."""

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


class Simulation:
    """One roll-out: requests, heartbeats between hosts, and a store."""

    def __init__(self, seed: int, requests_per_s: float = 60.0) -> None:
        self.rng = random.Random(seed)
        self.requests_per_s = requests_per_s
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
        self.clock_jump_s: Callable[[float], float] = lambda now: 0.0
        self.restart_at = -1.0
        order = model.RolloutOrder("sheets", "v2", RAMP_S, 7)
        for rollout in self.rollouts.values():
            rollout.set_order(order, 0.0)

    def run(
        self, is_bad: Callable[[float, float], float], length_s: float = 18.0
    ) -> None:
        """Run the simulation.

        Args:
            is_bad: Chance of a bad answer of the new version, by time and
                its share.
            length_s: Simulated time.
        """
        for step in range(int(length_s * 100)):
            now = step / 100
            if now == self.restart_at:
                self._restart_all(now)
            if self.rng.random() < self.requests_per_s / 100:
                self._request(now, is_bad)
            if step % 40 == 0:
                self._exchange_counts(now)
            if step % 10 == 0:
                self._propose(now)

    def _restart_all(self, now: float) -> None:
        order = self.rollouts["h0"].order
        for name in HOSTS:
            rollout = self.rollouts[name] = rollouts.Rollout("sheets")
            rollout.set_stage(self.stage, self.revision, now)
            rollout.set_order(order, now)

    def _request(
        self, now: float, is_bad: Callable[[float, float], float]
    ) -> None:
        name = self.rng.choice([n for n in self.live if n not in self.frozen])
        rollout = self.rollouts[name]
        is_new = rollout.choose_new_version()
        self.total += 1
        if not is_new:
            rollout.record_answer("v1", self.rng.random() < 0.004)
            return
        self.exposed += 1
        self.exposed_at.append(now)
        bad = self.rng.random() < is_bad(now, rollout.get_new_version_share())
        if bad:
            self.bad_at.append(now)
        rollout.record_answer("v2", bad)

    def _exchange_counts(self, now: float) -> None:
        for name in self.live:
            if name in self.frozen:
                continue
            reported = self.rollouts[name]
            for other in self.live:
                if other != name and other not in self.frozen:
                    self.rollouts[other].record_peer(
                        name,
                        7,
                        reported.counts,
                        reported.rejects_new_version,
                        reported.measure_elapsed(now),
                        now,
                    )

    def _propose(self, now: float) -> None:
        for name in self.live:
            if name in self.frozen:
                continue
            rollout = self.rollouts[name]
            wall_s = 1000.0 + now + self.clock_jump_s(now)
            stage = rollout.propose_stage(now, wall_s, name, self.live)
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
    simulation = Simulation(seed)
    simulation.run(lambda now, share: 0.004)
    assert simulation.stage is not None
    assert simulation.stage.state == rollouts.COMPLETED
    assert simulation.done_at < RAMP_S
    assert all(
        not r.may_use("v1", False) for r in simulation.rollouts.values()
    )


# Guards against roll-outs that a jump of the time of day ends early or late.
@pytest.mark.parametrize("jump_s", [-30.0, -5.0, 5.0, 30.0])
@pytest.mark.parametrize("seed", range(3))
def test_jump_of_the_time_of_day_moves_no_stage(seed, jump_s) -> None:
    calm, jumping = Simulation(seed), Simulation(seed)
    jumping.clock_jump_s = lambda now: jump_s * (4.0 < now < 9.0)
    for simulation in (calm, jumping):
        simulation.run(lambda now, share: 0.004)
        assert simulation.stage is not None
        assert simulation.stage.state == rollouts.COMPLETED
    assert jumping.done_at == calm.done_at


@pytest.mark.parametrize("restart_at", [1.0, 3.0, 5.0, 7.0, 9.0])
def test_rollout_is_done_in_time_although_all_hosts_start_anew(
    restart_at,
) -> None:
    simulation = Simulation(1)
    simulation.restart_at = restart_at
    simulation.clock_jump_s = lambda now: -20.0 * (now > restart_at)
    simulation.run(lambda now, share: 0.004)
    assert simulation.stage is not None
    assert simulation.stage.state == rollouts.COMPLETED
    assert simulation.done_at < RAMP_S


BAD = {
    "errors": lambda now, share: 0.5,
    "slow": lambda now, share: 0.5,
    "late": lambda now, share: 0.5 if now > 3.5 else 0.004,
    "under_load": lambda now, share: 0.5 if share > 0.2 else 0.004,
    "one_route": lambda now, share: 0.16,
}


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("kind", sorted(BAD))
def test_bad_version_is_rolled_back_within_its_exposure(kind, seed) -> None:
    simulation = Simulation(seed)
    simulation.run(BAD[kind])
    assert simulation.stage is not None
    assert simulation.stage.state == rollouts.ROLLED_BACK
    assert simulation.exposed <= 0.1 * simulation.total + 50
    if len(simulation.bad_at) >= 50:
        assert simulation.exposed_at[-1] <= simulation.bad_at[49] + 5.0
    assert all(not r.may_use("v2", True) for r in simulation.rollouts.values())


def test_frozen_host_is_replaced_by_the_next_in_rank() -> None:
    simulation = Simulation(3)
    first = rollouts.hashing.rank_members("rollout|sheets", HOSTS)[0]
    simulation.frozen = {first}
    simulation.run(lambda now, share: 0.004)
    assert simulation.stage is not None
    assert simulation.stage.state == rollouts.COMPLETED
    assert simulation.done_at < RAMP_S


def test_version_with_too_few_answers_is_rolled_back() -> None:
    simulation = Simulation(4, requests_per_s=1.0)
    simulation.run(lambda now, share: 0.0)
    assert simulation.stage is not None
    assert simulation.stage.state == rollouts.ROLLED_BACK
    assert simulation.done_at < RAMP_S


def test_rejected_version_is_not_used_in_the_next_rollout() -> None:
    simulation = Simulation(5)
    simulation.run(BAD["errors"])
    rollout = simulation.rollouts["h0"]
    rollout.set_order(model.RolloutOrder("sheets", "v3", RAMP_S, 9), 20.0)
    assert not rollout.may_use("v2", False)
    assert not rollout.may_use("v2", True)
    assert rollout.may_use("v1", False)
    assert rollout.get_new_version_share() == 0.0


def test_stage_round_trips_and_malformed_bytes_raise() -> None:
    simulation = Simulation(6)
    simulation.run(BAD["errors"])
    raw = rollouts.encode_stage(simulation.stage)
    assert rollouts.decode_stage(raw) == simulation.stage
    with pytest.raises(rollouts.exceptions.StoreAnswerError):
        rollouts.decode_stage(b"{")
