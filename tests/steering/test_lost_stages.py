"""Stages of roll-outs of which the store has come back from a copy."""

from __future__ import annotations

import msgspec
import pytest

from cowslipshift.steering import model
from cowslipshift.steering import rollouts

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
