"""Entries of servers that the store holds later than newer ones."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest
from tests import builders

from cowslipshift.steering import changes
from cowslipshift.steering import inventory as inventories

SERVER = "s"
DRAINING_FROM = 4
"""Sequence from which on each start of the modelled server is draining."""


def build_entry(sequence, is_draining=False, started_ms=100):
    return builders.build_backend(
        SERVER,
        sequence=sequence,
        is_draining=is_draining,
        started_ms=started_ms,
    )


@pytest.fixture
def inventory() -> inventories.Inventory:
    return inventories.Inventory()


# Guards against a leaving server that gets requests again, as a write from
# before its report is executed after it.
def test_older_entry_makes_no_leaving_server_ready_again(inventory) -> None:
    inventory.apply_entry(build_entry(7), 1.0)
    inventory.apply_entry(build_entry(9, is_draining=True), 2.0)
    assert not inventory.apply_entry(build_entry(8), 4.0)
    assert inventory.by_id[SERVER].is_draining
    assert inventory.by_id[SERVER].entry.sequence == 9


# Guards against a server that is gone and gets requests again for that reason.
@pytest.mark.parametrize("is_draining", (True, False))
def test_older_entry_brings_no_removed_server_back(
    inventory, is_draining
) -> None:
    inventory.apply_entry(build_entry(9, is_draining), 1.0)
    inventory.remove_entry(SERVER, 2.0)
    assert not inventory.apply_entry(build_entry(8), 8.0)
    assert inventory.list_servers("sheets") == []


# Guards against a server that was removed a while before the store came back
# from a copy, and gets requests again as the copy still has it.
def test_copy_brings_no_server_back_that_is_long_removed(inventory) -> None:
    inventory.apply_entry(build_entry(9), 1.0)
    inventory.remove_entry(SERVER, 2.0)
    lost_s = 2.0 + inventories.LATE_WRITE_S + 5.0
    inventory.begin_era(lost_s)
    assert inventory.is_outdated(build_entry(9), lost_s)
    inventory.apply_entry(build_entry(9), lost_s)
    assert inventory.list_servers("sheets") == []


# Guards against an earlier start of a server that comes back in the same way.
def test_entry_of_an_earlier_start_brings_no_removed_server_back(
    inventory,
) -> None:
    inventory.apply_entry(build_entry(1, started_ms=200), 1.0)
    inventory.remove_entry(SERVER, 2.0)
    assert not inventory.apply_entry(build_entry(9, started_ms=100), 3.0)
    assert inventory.list_servers("sheets") == []


# Guards against a server that expired in an outage of the store and is kept
# for an older entry.
def test_older_entry_keeps_no_expired_server(inventory) -> None:
    inventory.apply_entry(build_entry(9), 1.0)
    inventory.record_store_outage(1.5)
    inventory.remove_entry(SERVER, 2.0)
    inventory.apply_entry(build_entry(8), 2.5)
    assert inventory.drop_expired(10.0) == [SERVER]


@pytest.mark.parametrize(
    "entry",
    (
        build_entry(9),
        build_entry(10),
        build_entry(1, started_ms=101),
    ),
    ids=("same", "later", "next start"),
)
def test_removed_server_that_registers_again_is_used(inventory, entry) -> None:
    inventory.apply_entry(build_entry(9), 1.0)
    inventory.remove_entry(SERVER, 2.0)
    assert inventory.apply_entry(entry, 3.0)
    assert not inventory.by_id[SERVER].is_draining


def test_next_start_of_a_leaving_server_counts_anew(inventory) -> None:
    inventory.apply_entry(build_entry(9, is_draining=True), 1.0)
    assert inventory.apply_entry(build_entry(1, started_ms=101), 2.0)
    assert not inventory.by_id[SERVER].is_draining


def test_entries_of_unknown_starts_are_not_compared(inventory) -> None:
    inventory.apply_entry(build_entry(9, True, started_ms=0), 1.0)
    assert inventory.apply_entry(build_entry(1, started_ms=0), 2.0)


def test_what_is_remembered_of_removed_servers_is_bounded(
    inventory, monkeypatch
) -> None:
    monkeypatch.setattr(inventories, "MAX_REMOVED", 3)
    for number in range(10):
        entry = builders.build_backend(f"s{number}", sequence=2)
        inventory.apply_entry(entry, 1.0)
        inventory.remove_entry(entry.id, 2.0)
    assert len(inventory._removed) == 3


def test_outdated_change_is_told_apart_from_one_that_changes_nothing() -> None:
    balancer = builders.build_balancer(backends=(build_entry(9),))
    older = changes.BackendChange(SERVER, build_entry(8))
    same = changes.BackendChange(SERVER, build_entry(9))
    gone = changes.BackendChange(SERVER, None)
    assert [
        balancer.is_outdated(change, 1.0) for change in (older, same, gone)
    ] == [True, False, False]


@given(
    st.lists(
        st.one_of(st.none(), st.tuples(st.integers(1, 3), st.integers(1, 6)))
    )
)
def test_server_is_as_its_newest_entry_says_in_any_order(words) -> None:
    """``None`` is a removal; a tuple is an entry: its start and sequence."""
    inventory = inventories.Inventory()
    newest = (0, 0)
    for word in words:
        if word is None:
            inventory.remove_entry(SERVER, 1.0)
        else:
            started, sequence = word
            is_draining = sequence >= DRAINING_FROM
            inventory.apply_entry(
                build_entry(sequence, is_draining, started), 1.0
            )
            newest = max(newest, word)
        state = inventory.by_id.get(SERVER)
        if state is not None:
            assert (state.entry.started_ms, state.entry.sequence) == newest
            assert state.is_draining == (newest[1] >= DRAINING_FROM)
