"""Replicas of the store, built from pages, watches and other hosts."""

from __future__ import annotations

import pytest

from cowslipshift.edge import replica as replicas
from cowslipshift.store import interface


def build_item(key: str, value: str | None, revision: int) -> interface.Item:
    raw = None if value is None else value.encode()
    return interface.Item(key, raw, revision)


def list_values(replica: replicas.StoreReplica) -> dict[str, str]:
    items = replica.list_changes(0).items
    return {item.key: item.value.decode() for item in items}


def build_replica(
    items: list[interface.Item], revision: int
) -> replicas.StoreReplica:
    replica = replicas.StoreReplica()
    replica.apply_snapshot(items, revision)
    return replica


def fetch(
    replica: replicas.StoreReplica, source: replicas.StoreReplica
) -> None:
    found = source.list_changes(replica.revision)
    assert not found.is_snapshot
    replica.apply_changes(found.items, found.revision)


# Guards against hosts that never apply a configuration that was written while
# the host that they ask was reading the pages of the store.
def test_change_between_pages_reaches_the_hosts_that_ask() -> None:
    old = build_item("op/config", "1", 5)
    new = build_item("op/config", "2", 11)
    behind = build_replica([old], 10)
    # Its first page was read at revision 10, its second at 11.
    source = build_replica([new], 10)
    source.apply_changes([new, build_item("servers/a", "a", 12)], 12)
    fetch(behind, source)
    assert behind.revision == 12
    assert list_values(behind) == {"op/config": "2", "servers/a": "a"}


# Guards against hosts that keep an entry that was deleted while the host that
# they ask was reading the pages of the store.
def test_deletion_between_pages_reaches_the_hosts_that_ask() -> None:
    behind = build_replica([build_item("servers/a", "a", 5)], 10)
    source = build_replica([], 10)
    source.apply_changes([build_item("servers/a", None, 11)], 11)
    fetch(behind, source)
    assert behind.revision == 11
    assert list_values(behind) == {}


# Guards against an entry that comes back after its deletion, because the
# answer to a watch arrives after newer changes from another host.
def test_late_changes_do_not_restore_a_deleted_entry() -> None:
    evacuation = build_item("op/evacuate/north-a", "{}", 6)
    replica = build_replica([], 5)
    replica.apply_changes(
        [evacuation, build_item("op/evacuate/north-a", None, 8)], 8
    )
    replica.apply_changes([evacuation], 7)
    assert replica.revision == 8
    assert list_values(replica) == {}


# Guards against congestion when configurations come in quick succession: each
# one is sent whole, and the earlier ones are of no use to a host that asks.
def test_only_the_last_change_of_a_key_is_sent() -> None:
    source = build_replica([], 10)
    source.apply_changes(
        [
            build_item("op/config", "1", 11),
            build_item("servers/a", "a", 12),
            build_item("op/config", "2", 13),
            build_item("servers/b", "b", 13),
        ],
        13,
    )
    found = source.list_changes(10)
    assert [(item.key, item.revision) for item in found.items] == [
        ("servers/a", 12),
        ("op/config", 13),
        ("servers/b", 13),
    ]
    assert [item.key for item in source.list_changes(12).items] == [
        "op/config",
        "servers/b",
    ]
    assert source.list_changes(9).is_snapshot


def test_change_log_is_bounded_and_complete_from_its_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(replicas, "MAX_KEPT_CHANGES", 3)
    source = build_replica([], 10)
    source.apply_changes(
        [build_item(f"key-{n}", "x", 10 + n) for n in range(1, 6)], 15
    )
    assert source.list_changes(11).is_snapshot
    assert len(source.list_changes(12).items) == 3
    assert len(source.list_changes(0).items) == 5
