"""One host's part in holding the duty."""

from __future__ import annotations

import pytest

from cowslipshift.duties import actions
from cowslipshift.duties import model
from cowslipshift.duties import policy as policies
from cowslipshift.duties import tenure

POLICY = policies.DutyPolicy()
STARTED_S = 10.0


def build_holder(is_fenced: bool = True, token: int = 1) -> tenure.Tenure:
    """Build a host that took the duty with a lease of 10 s."""
    policy = policies.DutyPolicy(is_fenced=is_fenced)
    held = tenure.Tenure("h1", 1, policy, 0.0)
    holder = model.Holder("h1", 1, token, 7)
    held.record_lease(7, STARTED_S)
    held.record_read(
        model.DutyState(holder, 2, 2, model.Record(holder, (), 5), 1),
        STARTED_S,
    )
    return held


def test_holder_stops_before_its_lease_ends_then_asks() -> None:
    held = build_holder()
    assert held.may_call(STARTED_S + 2.3)
    assert not held.may_call(STARTED_S + 2.5)
    action = held.propose(STARTED_S + 9.0, 5, 0, None)
    assert action == actions.RenewLease(7)
    held.record_renewal(True, STARTED_S + 9.0)
    assert held.may_call(STARTED_S + 9.1)


def test_holder_whose_lease_is_gone_ends_its_turn() -> None:
    held = build_holder()
    held.record_renewal(False, STARTED_S + 1.0)
    assert not held.may_call(STARTED_S + 1.1)


def test_refused_holder_ends_its_lease_and_rests() -> None:
    held = build_holder()
    held.give_up(STARTED_S)
    assert held.token == 0
    assert held.propose(STARTED_S, 5, 0, None) == actions.EndLease(7)
    held.record_state(model.DutyState(holder_seen=3), STARTED_S)
    rested_s = STARTED_S + tenure.COOLDOWN_S
    assert held.propose(rested_s - 0.1, 5, 0, None) is None
    assert held.propose(rested_s, 5, 0, None) == actions.GrantLease(3.0)


def test_former_holder_leaves_the_duty_to_others() -> None:
    candidate = tenure.Tenure("h1", 1, POLICY, 0.0)
    record = model.Record(model.Holder("h2", 1, 2, 8), ("h1",), 5)
    state = model.DutyState(holder_seen=4, record=record, record_revision=3)
    candidate.record_state(state, STARTED_S)
    rest_s = tenure.RETURN_LEASES * POLICY.lease_s + tenure.LATE_CALL_S
    late_s = STARTED_S + rest_s
    assert candidate.propose(late_s - 0.1, 5, 0, None) is None
    assert candidate.propose(late_s, 5, 0, None) is not None


@pytest.mark.parametrize(
    ("is_fenced", "token", "may_call"),
    ((True, 2, True), (False, 2, False), (False, 1, True)),
)
def test_new_holder_waits_for_late_calls_that_nobody_refuses(
    is_fenced, token, may_call
) -> None:
    held = build_holder(is_fenced, token)
    assert held.may_call(STARTED_S + 0.1) == may_call


# Guards against ONE: a holder that acts on after the store has lost its entry,
# and a token that is taken twice, as the store has lost its record.
def test_era_ends_the_turn_and_no_token_is_taken_again() -> None:
    held = build_holder(token=4)
    held.begin_era(STARTED_S + 1.0)
    assert not held.is_holder(STARTED_S + 1.0)
    read_s = STARTED_S + 1.0
    assert held.propose(read_s, 5, 0, None) == actions.ReadState()
    older = model.Record(model.Holder("h2", 1, 2, 8), (), 5)
    held.record_read(
        model.DutyState(holder_seen=1, record=older, record_revision=1), read_s
    )
    take_s = read_s + tenure.START_DELAY_S
    assert held.propose(take_s, 5, 0, None) == actions.GrantLease(3.0)
    held.record_lease(9, take_s)
    write = held.propose(take_s, 5, 0, None)
    assert isinstance(write, actions.WriteRecord)
    assert write.record.holder.token == 5
