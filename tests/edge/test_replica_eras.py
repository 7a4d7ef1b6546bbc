"""What replicas pass on of a store that has come back from a copy."""

from __future__ import annotations

import pytest

from cowslipshift.edge import messages
from cowslipshift.edge import replica as replicas
from cowslipshift.store import interface

CONFIG_KEY = "op/config"
REMOVED_KEY = "servers/removed"
EVACUATION_KEY = "op/evacuate/north-a"


class Listener:
    """Goes by the higher configuration, and by no removed server."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self._removed: set[str] = set()

    def apply(self, item: interface.Item) -> bool:
        known = self.values.get(item.key)
        if item.value is None:
            self._removed.add(item.key)
            if item.key == CONFIG_KEY:
                return True
            self.values.pop(item.key, None)
            return False
        if item.key == REMOVED_KEY and item.key in self._removed:
            return True
        if item.key == CONFIG_KEY and known is not None and item.value < known:
            return True
        self.values[item.key] = item.value
        return False


def build_item(key: str, value: str | None, revision: int) -> interface.Item:
    raw = None if value is None else value.encode()
    return interface.Item(key, raw, revision)


def build_replica() -> tuple[replicas.StoreReplica, Listener]:
    listener = Listener()
    replica = replicas.StoreReplica(
        listener.apply, lambda known, stored: known.key == EVACUATION_KEY
    )
    return replica, listener


COPY = (
    build_item(CONFIG_KEY, "1", 2),
    build_item(REMOVED_KEY, "a", 3),
)
COPY_REVISION = 5


@pytest.fixture
def source() -> replicas.StoreReplica:
    """Return a replica that followed the store before and after its return."""
    replica, _ = build_replica()
    replica.apply_snapshot(COPY, 5, 1)
    replica.apply_changes(
        [
            build_item(CONFIG_KEY, "2", 6),
            build_item(REMOVED_KEY, None, 7),
            build_item(EVACUATION_KEY, "{}", 8),
        ],
        8,
    )
    replica.apply_snapshot(COPY, COPY_REVISION, 2)
    return replica


IN_FORCE = {CONFIG_KEY: b"2", EVACUATION_KEY: b"{}"}


def ask(source: replicas.StoreReplica) -> messages.Changes:
    """Ask for a snapshot as another host does."""
    raw = messages.encode_changes(source.list_changes(0))
    return messages.decode_changes(raw)


# Guards against a host that starts after the store has come back and goes by
# the copy, where the others go by what they know.
def test_snapshot_has_what_the_store_has_lost(source) -> None:
    replica, listener = build_replica()
    found = ask(source)
    replica.apply_snapshot(found.items, found.revision, found.era, found.held)
    assert listener.values == IN_FORCE
    assert replica.held_keys == [EVACUATION_KEY]
    assert ask(replica).items == found.items


def test_copy_that_was_read_first_gives_way(source) -> None:
    replica, listener = build_replica()
    replica.apply_snapshot(COPY, COPY_REVISION, 2)
    replica.is_informed = False
    changed = replica.adopt_snapshot(ask(source))
    assert replica.is_informed
    assert {item.key for item in changed} == {CONFIG_KEY, REMOVED_KEY}
    assert listener.values == IN_FORCE


# Guards against a change of the new era that is taken back by the answer of a
# host that has not read it yet.
def test_adopted_snapshot_takes_back_no_later_change(source) -> None:
    replica, listener = build_replica()
    replica.apply_snapshot(COPY, COPY_REVISION, 2)
    replica.apply_changes(
        [build_item(CONFIG_KEY, "3", 9), build_item("servers/b", "b", 10)], 10
    )
    replica.adopt_snapshot(ask(source))
    assert listener.values[CONFIG_KEY] == b"3"
    assert listener.values["servers/b"] == b"b"
    assert replica.revision == 10


# Guards against hosts that all wait for each other, as the store comes back
# soon after they have started.
def test_replica_that_followed_the_lost_store_is_informed() -> None:
    replica, _ = build_replica()
    replica.apply_snapshot(COPY, COPY_REVISION, 1)
    replica.is_informed = False
    replica.apply_snapshot(COPY, COPY_REVISION, 2)
    assert replica.is_informed


# Guards against an entry that comes back after its deletion, as a host that
# has not read the deletion is asked.
def test_adopted_snapshot_brings_back_nothing_deleted_since() -> None:
    behind, _ = build_replica()
    behind.apply_snapshot(COPY, COPY_REVISION, 2)
    replica, listener = build_replica()
    replica.apply_snapshot(COPY, COPY_REVISION, 2)
    replica.apply_changes([build_item(REMOVED_KEY, None, 6)], 6)
    replica.adopt_snapshot(ask(behind))
    assert REMOVED_KEY not in listener.values
    started, listener = build_replica()
    started.apply_snapshot(COPY[:1], 6, 2)
    started.is_informed = False
    started.adopt_snapshot(ask(behind))
    assert not started.is_informed
    assert REMOVED_KEY not in listener.values


def test_snapshot_of_another_era_is_not_adopted(source) -> None:
    replica, listener = build_replica()
    replica.apply_snapshot(COPY, COPY_REVISION, 3)
    assert replica.adopt_snapshot(ask(source)) == []
    assert listener.values[CONFIG_KEY] == b"1"


# Guards against a removal that outlives the entry that followed it.
def test_entry_written_after_the_return_replaces_a_known_removal() -> None:
    replica, _ = build_replica()
    replica.apply_snapshot(
        (build_item(CONFIG_KEY, "1", 2), build_item(REMOVED_KEY, None, 3)),
        COPY_REVISION,
        2,
    )
    replica.apply_changes([build_item(REMOVED_KEY, "b", 9)], 9)
    asking, listener = build_replica()
    found = ask(replica)
    asking.apply_snapshot(found.items, found.revision, found.era)
    assert listener.values[REMOVED_KEY] == b"b"
