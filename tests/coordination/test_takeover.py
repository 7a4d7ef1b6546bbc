"""Takeover of slots and quota shares when hosts fail, leave or rejoin."""

from __future__ import annotations

from cowslipshift.coordination import loans
from cowslipshift.coordination import members
from cowslipshift.coordination import ownership
from cowslipshift.coordination import shares

HOLD_S = 5.0
RESOURCES = {f"r{n}": HOLD_S for n in range(12)}


def build_host_with_peer() -> tuple[
    members.MembershipView, ownership.OwnershipTable
]:
    """Return host a's view and table once hosts a and b count each other."""
    membership = members.MembershipView("a", 1, 0.0)
    membership.add_configured(["a", "b"], 0.0)
    table = ownership.OwnershipTable(membership, started_clean=True)
    table.set_resources(RESOURCES, 0.0)
    membership.record_heartbeat("b", 1, False, 0.1)
    membership.record_acknowledgement("b", 0.05, 1)
    return membership, table


def count_usable(table: ownership.OwnershipTable, now: float) -> int:
    return sum(table.count_usable(name, 1, now) for name in RESOURCES)


def run_until(
    membership: members.MembershipView,
    table: ownership.OwnershipTable,
    start: float,
    end: float,
) -> None:
    steps = round((end - start) / 0.5)
    for step in range(steps + 1):
        membership.tick(start + 0.5 * step)
        table.refresh(start + 0.5 * step)


def test_slots_of_a_killed_host_are_unused_for_the_hold_time() -> None:
    membership, table = build_host_with_peer()
    own = count_usable(table, 0.2)
    assert 0 < own < len(RESOURCES)
    run_until(membership, table, 0.5, 2.5)
    membership.record_connection_refused("b", 0.5)
    membership.record_connection_refused("b", 0.5 + members.GONE_AFTER_S)
    run_until(membership, table, 2.5, 7.0)
    assert count_usable(table, 2.5) == own
    assert count_usable(table, 7.0) == own
    run_until(membership, table, 7.0, 8.0)
    assert count_usable(table, 2.5 + HOLD_S + 0.1) == len(RESOURCES)


def test_silent_host_keeps_its_slots_until_it_is_fenced() -> None:
    membership, table = build_host_with_peer()
    own = count_usable(table, 0.2)
    run_until(membership, table, 0.5, 30.0)
    assert membership.find_fence_candidates(30.0) == ["b"]
    assert count_usable(table, 30.0) == own
    membership.record_fence("b", 1, 30.0)
    run_until(
        membership, table, 30.5, 30.0 + members.FENCE_WAIT_S + HOLD_S - 1.0
    )
    assert count_usable(table, 40.0) == own
    run_until(membership, table, 40.5, 42.0)
    assert count_usable(table, 42.0) == len(RESOURCES)


def test_handover_of_a_leaving_host_counts_running_requests() -> None:
    membership, table = build_host_with_peer()
    gained = [r for r in RESOURCES if r not in table.list_owned(0.2)]
    membership.record_heartbeat("b", 1, True, 0.3)
    handovers = [ownership.Handover(name, 1, 0.0) for name in gained]
    table.accept_handovers("b", handovers, 0.3)
    assert [table.count_usable(name, 3, 0.4) for name in gained] == [
        2 for _ in gained
    ]


def test_borrower_stops_before_its_lender_starts_again() -> None:
    lender = shares.QuotaShare("x", 0.0)
    lender.set_base(loans.Quota(10.0, 10.0), 0.0, full=True)
    borrower = shares.QuotaShare("x", 0.0)
    want = borrower.build_request("lender", 10.0, 10.0, 0.0)
    grant = lender.lend("borrower", want, 1.0)
    assert grant is not None
    assert borrower.accept("lender", grant, 1.5)
    assert borrower.measure_rate(3.9) == 10.0
    assert borrower.measure_rate(shares.LOAN_TERM_S) == 0.0
    assert borrower.measure_tokens(shares.LOAN_TERM_S) == 0.0
    assert lender.measure_rate(shares.LOAN_TERM_S + 0.9) == 0.0
    assert lender.measure_rate(shares.LOAN_TERM_S + 1.1) == 10.0
    assert lender.measure_tokens(shares.LOAN_TERM_S + 1.1) < 1.0


def test_outdated_grant_adds_nothing() -> None:
    lender = shares.QuotaShare("x", 0.0)
    lender.set_base(loans.Quota(10.0, 10.0), 0.0, full=True)
    borrower = shares.QuotaShare("x", 0.0)
    first = borrower.build_request("lender", 5.0, 5.0, 0.0)
    early = lender.lend("borrower", first, 0.1)
    second = borrower.build_request("lender", 5.0, 5.0, 0.2)
    late = lender.lend("borrower", second, 0.3)
    assert early is not None
    assert late is not None
    assert not borrower.accept("lender", early, 0.4)
    assert borrower.accept("lender", late, 0.4)
    assert lender.lend("borrower", first, 0.5) is None
    total = borrower.measure_tokens(0.5) + lender.measure_tokens(0.5)
    assert total <= 10.0


def test_rejoining_host_drops_pending_removals() -> None:
    membership, table = build_host_with_peer()
    run_until(membership, table, 0.5, 8.0)
    membership.record_fence("b", 5, 8.0)
    membership.record_fence("a", 7, 9.0)
    assert membership.incarnation == 8
    run_until(membership, table, 9.5, 9.0 + members.FENCE_WAIT_S + 2.0)
    assert membership.list_members() == ["a", "b"]
    assert not membership.is_settled()
