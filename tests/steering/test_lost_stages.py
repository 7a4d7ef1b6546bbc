"""Stages of roll-outs of which the store has come back from a copy."""

from __future__ import annotations

import msgspec
import pytest
from tests import builders

from cowslipshift.steering import changes
from cowslipshift.steering import inventory as inventories
from cowslipshift.steering import model
from cowslipshift.steering import rollouts

NAME = "h1"
RAMP_S = 15.0
ORDER = model.RolloutOrder("sheets", "v2", RAMP_S, 7, 1)
COPIED = rollouts.Stage(
    order=7,
    version="v2",
    step=2,
    state=rollouts.WATCHING,
    started_ms=0,
    elapsed_ms=9000,
    era=1,
)
COMPLETED = msgspec.structs.replace(
    COPIED, step=3, state=rollouts.COMPLETED, elapsed_ms=12_000
)
ROLLED_BACK = msgspec.structs.replace(
    COPIED,
    step=0,
    state=rollouts.ROLLED_BACK,
    rejected_versions=("v2",),
    elapsed_ms=14_000,
)


def start_in_second_era(stage: rollouts.Stage) -> rollouts.Rollout:
    """Return what a host knows that starts as the store has come back."""
    rollout = rollouts.Rollout("sheets")
    rollout.begin_era(2, inventories.STORE_RECOVERY_S)
    rollout.set_order(ORDER, 0.0)
    rollout.set_stage(stage, 40, 0.0, 2)
    return rollout


def propose(rollout: rollouts.Rollout, now: float) -> rollouts.Stage | None:
    return rollout.propose_stage(now, 0.0, NAME, (NAME,))


# Guards against a completed version that no host may use, as the rollback that
# was overruled had rejected it.
def test_overruled_rollback_leaves_the_completed_version_in_use() -> None:
    rollout = rollouts.Rollout("sheets")
    rollout.set_order(ORDER, 0.0)
    rollout.set_stage(COMPLETED, 40, 12.0, 1)
    rollout.set_stage(msgspec.structs.replace(ROLLED_BACK, era=2), 41, 14.0, 2)
    assert rollout.may_use("v2", True)
    assert not rollout.may_use("v1", False)
    assert rollout.stage == COMPLETED


# Guards against a host that has read nothing but the copy and rolls a
# completed version back, as the others tell it that its time is over.
def test_host_that_starts_from_the_copy_decides_no_stage_at_once() -> None:
    rollout = start_in_second_era(COPIED)
    rollout.record_peer("h2", 7, rollouts.Counts(), False, 14.8, 0.3, "v2")
    for now in (0.3, 1.0, 2.0):
        assert propose(rollout, now) is None
    rollout.set_stage(COMPLETED, 45, 2.1, 2)
    proposed = propose(rollout, 3.0)
    assert proposed is not None
    assert (proposed.state, proposed.era) == (rollouts.COMPLETED, 2)
    assert proposed.rejected_versions == ()


# Guards against a roll-out that nobody decides after a loss.
def test_stage_is_decided_once_those_who_know_more_had_the_time() -> None:
    rollout = start_in_second_era(COPIED)
    restored = propose(rollout, inventories.STORE_RECOVERY_S)
    assert restored is not None
    assert (restored.state, restored.era) == (rollouts.WATCHING, 2)
    rollout.set_stage(restored, 46, 2.3, 2)
    rollout.record_peer("h2", 7, rollouts.Counts(), False, 14.8, 2.4, "v2")
    decided = propose(rollout, 2.5)
    assert decided is not None
    assert decided.state == rollouts.ROLLED_BACK


# Guards against an end that changes after callers and servers have followed
# it: the earlier one counts, whichever hosts hear of first.
@pytest.mark.parametrize("earlier", [COMPLETED, ROLLED_BACK])
@pytest.mark.parametrize("is_known_first", [True, False])
def test_of_two_ends_the_earlier_one_counts(earlier, is_known_first) -> None:
    later = ROLLED_BACK if earlier is COMPLETED else COMPLETED
    earlier = msgspec.structs.replace(earlier, elapsed_ms=11_000)
    later = msgspec.structs.replace(later, elapsed_ms=14_000, era=2)
    rollout = rollouts.Rollout("sheets")
    rollout.set_order(ORDER, 0.0)
    for stage in (earlier, later) if is_known_first else (later, earlier):
        rollout.set_stage(stage, 41, 14.0, 2)
    assert rollout.stage == earlier


# Guards against the end of an earlier order of the same version, which the
# copy has, taken for that of the present order.
def test_stage_of_an_earlier_order_in_the_copy_does_not_count() -> None:
    present = model.RolloutOrder("sheets", "v2", RAMP_S, 9, 1)
    watching = msgspec.structs.replace(COPIED, order=9)
    rollout = rollouts.Rollout("sheets")
    rollout.set_order(present, 0.0)
    rollout.set_stage(watching, 44, 9.0, 1)
    rollout.begin_era(2, 12.0)
    rollout.set_stage(ROLLED_BACK, 30, 10.0, 2)
    assert rollout.stage == watching
    assert rollout.may_use("v2", True)


# Guards against hosts that tell others of a stage that they have overruled.
def test_lost_stage_is_told_apart_from_a_new_one() -> None:
    balancer = builders.build_balancer()
    balancer.apply(changes.OrderChange("sheets", ORDER), 0.0)
    for stage in (COPIED, COMPLETED):
        change = changes.StageChange("sheets", stage, 40, 1)
        assert not balancer.is_outdated(change, 0.0)
        balancer.apply(change, 0.0)
    assert balancer.is_outdated(
        changes.StageChange("sheets", COPIED, 40, 2), 0.0
    )
    gone = changes.StageChange("sheets", None, 0, 2)
    assert not balancer.is_outdated(gone, 0.0)
    balancer.apply(gone, 0.0)
    assert balancer.rollouts["sheets"].stage == COMPLETED
    assert balancer.rollouts["sheets"].stage_revision == 0
