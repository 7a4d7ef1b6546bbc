"""A host's replica of the store, with a log of recent changes."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from cowslipshift.edge import messages
from cowslipshift.store import interface

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

MAX_KEPT_CHANGES = 2000
"""Keys in the change log, from which hosts that lag behind are served."""


class StoreReplica:
    """All items of the store at one revision.

    Some items may be newer, as the pages of a snapshot are read at different
    revisions. The change log holds the last change of every key that changed
    after its start revision, up to the revision of the replica. A write that
    the store executed late is replaced by what it should not have replaced, so
    that hosts to which the last change is passed on believe the same.

    Args:
        on_change: Called with each item that changes a value, in order;
            returns whether a newer write of the key was applied before.

    Attributes:
        revision: Store revision up to which the replica is complete; 0 at
            first.
    """

    def __init__(
        self,
        on_change: Callable[[interface.Item], bool] = lambda item: False,
    ) -> None:
        self.revision = 0
        self._on_change = on_change
        self._items: dict[str, interface.Item] = {}
        self._change_log: dict[str, interface.Item] = {}
        self._log_start_revision = 0

    def apply_changes(
        self, items: Iterable[interface.Item], revision: int
    ) -> list[interface.Item]:
        """Apply changes in order; return those that changed a value.

        Changes up to the replica's own revision are skipped: it has them, or
        what replaced them.
        """
        new = [item for item in items if item.revision > self.revision]
        changed = []
        for item in new:
            if self._apply(item):
                changed.append(item)
            # Also logged if the replica has it already, from a page that was
            # read later than the first one: other hosts may not.
            self._log_change(self._replace_late(item))
        self.revision = max(self.revision, revision)
        return changed

    def apply_snapshot(
        self, items: Iterable[interface.Item], revision: int
    ) -> list[interface.Item]:
        """Replace all items; return the changes, deletions included.

        The change log restarts at the revision of the snapshot.
        """
        if revision < self.revision:
            return []
        current = {item.key: item for item in items}
        deleted = [
            interface.Item(key, None, revision)
            for key, known in self._items.items()
            if key not in current and known.revision <= revision
        ]
        changed = [
            item for item in (*deleted, *current.values()) if self._apply(item)
        ]
        self.revision = revision
        self._change_log.clear()
        self._log_start_revision = revision
        return changed

    def list_changes(self, after: int) -> messages.Changes:
        """Return the last change of each key that changed after a revision.

        Returns a snapshot if the change log does not reach back that far.
        """
        if after and after >= self._log_start_revision:
            newest_first = itertools.takewhile(
                lambda item: item.revision > after,
                reversed(self._change_log.values()),
            )
            items = tuple(newest_first)[::-1]
            return messages.Changes(self.revision, False, items)
        return messages.Changes(
            self.revision, True, tuple(self._items.values())
        )

    def _log_change(self, item: interface.Item) -> None:
        # A key that changes again moves to the end, which keeps the log in
        # order of revision.
        self._change_log.pop(item.key, None)
        self._change_log[item.key] = item
        if len(self._change_log) > MAX_KEPT_CHANGES:
            oldest = next(iter(self._change_log))
            self._log_start_revision = self._change_log.pop(oldest).revision

    def _apply(self, item: interface.Item) -> bool:
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        known_value = known.value if known is not None else None
        is_change = known_value != item.value
        if is_change and self._on_change(item):
            is_change = False
            item = interface.Item(item.key, known_value, item.revision)
        if item.value is None:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item
        return is_change

    def _replace_late(self, item: interface.Item) -> interface.Item:
        """Return what is believed in place of an item that was applied."""
        believed = self._items.get(item.key)
        if believed is None:
            return interface.Item(item.key, None, item.revision)
        return believed if believed.revision == item.revision else item
