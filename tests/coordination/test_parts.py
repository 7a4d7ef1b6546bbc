"""Unit tests of hashing, facts, retry budgets, attempts and ownership."""

from __future__ import annotations

import itertools
import random

from hypothesis import given
from hypothesis import strategies as st

from cowslipshift.coordination import attempts
from cowslipshift.coordination import budgets
from cowslipshift.coordination import facts
from cowslipshift.coordination import hashing
from cowslipshift.coordination import members
from cowslipshift.coordination import ownership

MEMBERS = [f"h{n}" for n in range(10)]

fact_lists = st.lists(
    st.builds(
        facts.Fact,
        st.sampled_from(["a", "b"]),
        st.sampled_from(["x", "y"]),
        st.integers(0, 3),
        st.sampled_from(["", "z"]),
    ),
    max_size=8,
)


def test_only_resources_of_a_removed_member_change_owner() -> None:
    names = [f"r{n}" for n in range(500)]
    before = {r: hashing.rank_members(r, MEMBERS)[0] for r in names}
    after = {r: hashing.rank_members(r, MEMBERS[1:])[0] for r in names}
    moved = {r for r in names if before[r] != after[r]}
    assert moved == {r for r in names if before[r] == MEMBERS[0]}


def test_weighted_ranks_follow_weights_and_move_few_resources() -> None:
    names = [f"r{n}" for n in range(4000)]
    weights = {"a": 1.0, "b": 1.0, "c": 2.0}
    before = {r: hashing.rank_weighted(r, weights)[0] for r in names}
    share = sum(owner == "c" for owner in before.values()) / len(names)
    assert 0.46 < share < 0.54
    after = {
        r: hashing.rank_weighted(r, {**weights, "a": 0.5})[0] for r in names
    }
    moved = [(before[r], after[r]) for r in names if before[r] != after[r]]
    assert {old for old, _ in moved} == {"a"}
    ideal = 1 / 4 - 0.5 / 3.5
    assert abs(len(moved) / len(names) - ideal) < 0.03


@given(fact_lists, st.randoms(use_true_random=False))
def test_facts_merge_in_any_order_and_any_number_of_times(
    known: list[facts.Fact], rng: random.Random
) -> None:
    first, second = facts.FactTable(), facts.FactTable()
    first.merge(known)
    repeated = [*known, *known]
    rng.shuffle(repeated)
    for fact in repeated:
        second.merge([fact])
    assert first.digest == second.digest
    assert set(first.list_facts()) == set(second.list_facts())
    assert not first.merge(repeated)


def test_retries_stay_within_their_fraction_of_the_traffic() -> None:
    budget = budgets.RetryBudget()
    spent = 0
    for _ in range(1000):
        budget.record_attempt(0.1)
        spent += budget.try_spend()
    assert spent <= 1000 * 0.1 + budgets.MAX_RESERVE


def test_recalled_attempt_never_starts() -> None:
    table = attempts.AttemptTable(0.0, 5.0)
    assert table.recall("a", 0.1, 1.0) is attempts.RecallResult.NOT_STARTED
    assert not table.try_start("a", 0.2, 1.1)
    assert table.try_start("b", 0.0, 1.2)
    assert table.recall("b", 0.1, 1.3) is attempts.RecallResult.STARTED
    assert not table.try_start("old", 5.0, 1.4)
    restarted = attempts.AttemptTable(1.0, 5.0)
    assert restarted.recall("c", 2.0, 2.0) is attempts.RecallResult.UNKNOWN


def test_restarted_process_waits_before_it_uses_its_resources() -> None:
    for clean, at_s in itertools.product((True, False), (0.0, 2.0, 4.0)):
        membership = members.MembershipView("h0", 1, 0.0)
        table = ownership.OwnershipTable(membership, started_clean=clean)
        table.set_resources({"r": 3.0}, 0.0)
        for second in range(int(at_s) + 1):
            membership.tick(float(second))
        usable = table.count_usable("r", 4, at_s)
        assert usable == (4 if clean or at_s >= 3.0 else 0)


def test_paused_process_stops_before_its_first_decision() -> None:
    membership = members.MembershipView("h0", 1, 0.0)
    table = ownership.OwnershipTable(membership, started_clean=True)
    table.set_resources({"r": 3.0}, 0.0)
    assert table.count_usable("r", 4, 0.5) == 4
    assert table.count_usable("r", 4, 9.0) == 0
