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

    A store that comes back from a copy begins another era, in which all items
    may be older than those that are known. What others wrote will be written
    again, so what is missing or differs there is held back for a while: the
    replica has the item of the store, and its listener goes on with the known
    one. A host that asks for a snapshot gets both, and is told which items of
    the store are known to be gone.

    Args:
        on_change: Called with each item that changes a value, in order;
            returns whether a newer write of the key was applied before.
        may_be_restored: Tells whether a difference that another era makes is
            to be held back, given the known and the stored item.

    Attributes:
        position: Position of the store up to which the replica is complete;
            revision 0 at first.
        is_informed: Whether the replica has followed the store from before it
            last came back, or has the items of one that has. The replica of a
            host that has read nothing but a copy has not.
    """

    def __init__(
        self,
        on_change: Callable[[interface.Item], bool] = lambda item: False,
        may_be_restored: Callable[
            [interface.Item, interface.Item], bool
        ] = lambda known, stored: True,
    ) -> None:
        self.position = interface.Position()
        self.is_informed = True
        self._on_change = on_change
        self._may_be_restored = may_be_restored
        self._held: dict[str, interface.Item] = {}
        self._items: dict[str, interface.Item] = {}
        self._overruled: dict[str, interface.Item] = {}
        self._change_log: dict[str, interface.Item] = {}
        self._log_start_revision = 0

    @property
    def revision(self) -> int:
        """Store revision up to which the replica is complete."""
        return self.position.revision

    @property
    def era(self) -> int:
        """Era of the store that the replica follows."""
        return self.position.era

    @property
    def held_keys(self) -> list[str]:
        """Keys of which a difference of this era is held back."""
        return sorted(self._held)

    def apply_changes(
        self,
        items: Iterable[interface.Item],
        revision: int,
        era: int | None = None,
    ) -> list[interface.Item]:
        """Apply changes in order; return those that changed a value.

        Changes up to the replica's own revision are skipped: it has them, or
        what replaced them.

        Args:
            items: The changes.
            revision: Revision up to which they are complete.
            era: Era of the revisions, the replica's own one by default.
                Changes of another era are skipped, as they begin at a revision
                that this replica has never had.
        """
        if era is not None and era != self.era:
            return []
        new = [item for item in items if item.revision > self.revision]
        changed = []
        for item in new:
            if self._apply(item):
                changed.append(item)
            # Also logged if the replica has it already, from a page that was
            # read later than the first one: other hosts may not.
            self._log_change(self._replace_late(item))
        self.position = interface.Position(
            self.era, max(self.revision, revision)
        )
        return changed

    def apply_snapshot(
        self,
        items: Iterable[interface.Item],
        revision: int,
        era: int | None = None,
        held: Iterable[interface.Item] = (),
    ) -> list[interface.Item]:
        """Replace all items; return the changes, deletions included.

        The change log restarts at the revision of the snapshot.

        Args:
            items: All items of the store. One without a value is known to be
                gone, although the store may have it.
            revision: Revision up to which they are complete.
            era: Era of the revisions, the replica's own one by default.
            held: Known items which whoever sent the snapshot goes on with.
        """
        position = interface.Position(
            self.era if era is None else era, revision
        )
        if position < self.position:
            return []
        if position.era > self.era and self.revision:
            changed = self._begin_era(items, position)
            self._hold(held)
            return changed
        self.position = interface.Position(position.era, self.revision)
        current = {item.key: item for item in items}
        self._overruled = {
            key: item
            for key, item in self._overruled.items()
            if key in current or item.revision > revision
        }
        deleted = [
            interface.Item(key, None, revision)
            for key, known in self._items.items()
            if key not in current and known.revision <= revision
        ]
        changed = [
            item for item in (*deleted, *current.values()) if self._apply(item)
        ]
        self._overruled.update(
            (key, item) for key, item in current.items() if item.value is None
        )
        self.position = position
        self._restart_log()
        self._hold(held)
        return changed

    def adopt_snapshot(self, found: messages.Changes) -> list[interface.Item]:
        """Take over what a host knows that followed the store before its era.

        Its items replace those of the same revision, as they are what that
        host goes by.

        Args:
            found: A snapshot of that host, of the replica's own era. An
                earlier one than the replica was built from is not taken over.

        Returns:
            The changes, deletions included.
        """
        if found.era != self.era or not found.is_snapshot:
            return []
        if found.revision < self._log_start_revision:
            # What is missing here may have been deleted since.
            return []
        current = {item.key: item for item in found.items}
        deleted = [
            interface.Item(key, None, found.revision)
            for key in self._items.keys() - current.keys()
        ]
        changed = []
        for item in (*deleted, *current.values()):
            last = self._change_log.get(item.key)
            if last is not None and last.revision > found.revision:
                continue
            known = self._items.get(item.key) or interface.Item(
                item.key, None, 0
            )
            if known.revision <= item.revision and self._replace(known, item):
                changed.append(item)
        self._overruled.update(
            (key, item)
            for key, item in current.items()
            if item.value is None and key not in self._items
        )
        self.position = max(self.position, found.position)
        # Others may have fetched what was replaced.
        self._restart_log()
        self._hold(found.held)
        self.is_informed = True
        return changed

    def release_held(self) -> list[interface.Item]:
        """Apply what was held back and was not written again since.

        Returns:
            The changes, deletions included.
        """
        known_items, self._held = self._held, {}
        changed = []
        for key, known in known_items.items():
            stored = self._items.get(key)
            if stored is None:
                stored = interface.Item(key, None, self.revision)
            if stored.value != known.value and not self._on_change(stored):
                changed.append(stored)
        return changed

    def list_changes(
        self, after: int, era: int | None = None
    ) -> messages.Changes:
        """Return the last change of each key that changed after a revision.

        Returns a snapshot if the change log does not reach back that far.

        Args:
            after: The revision.
            era: Its era, the replica's own one by default.
        """
        is_own_era = era is None or era == self.era
        if is_own_era and after and after >= self._log_start_revision:
            newest_first = itertools.takewhile(
                lambda item: item.revision > after,
                reversed(self._change_log.values()),
            )
            items = tuple(newest_first)[::-1]
            return messages.Changes(self.revision, False, items, self.era)
        return messages.Changes(
            self.revision,
            True,
            (*self._items.values(), *self._overruled.values()),
            self.era,
            tuple(self._held.values()),
        )

    def _hold(self, held: Iterable[interface.Item]) -> None:
        """Go on with what another host holds back, like that host."""
        for known in held:
            if known.key not in self._held:
                self._on_change(known)
                self._held[known.key] = known

    def _begin_era(
        self, items: Iterable[interface.Item], position: interface.Position
    ) -> list[interface.Item]:
        """Follow a store that has come back from a copy."""
        items = tuple(items)
        known_items = self._items | self._held
        self._items = {
            item.key: item for item in items if item.value is not None
        }
        self._overruled = {
            item.key: item for item in items if item.value is None
        }
        self._held = {}
        self.is_informed = True
        self.position = position
        self._restart_log()
        changed = []
        for key in sorted(known_items.keys() | self._items.keys()):
            known = known_items.get(key) or interface.Item(key, None, 0)
            stored = self._items.get(key) or interface.Item(
                key, None, position.revision
            )
            if _is_same(known, stored):
                continue
            if self._may_be_restored(known, stored):
                self._held[key] = known
            elif self._replace(known, stored):
                changed.append(stored)
        return changed

    def _restart_log(self) -> None:
        self._change_log.clear()
        self._log_start_revision = self.revision

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
        overruled = self._overruled.get(item.key)
        for last in (known, overruled):
            if last is not None and last.revision >= item.revision:
                return False
        self._overruled.pop(item.key, None)
        # The listener goes on with a value that is held.
        known = self._held.pop(item.key, known)
        if known is None:
            known = interface.Item(item.key, None, 0)
        return self._replace(known, item)

    def _replace(self, known: interface.Item, item: interface.Item) -> bool:
        """Replace a known item; return whether that is a change.

        A known one that the listener calls the later one stays.
        """
        is_change = not _is_same(known, item)
        if is_change and self._on_change(item):
            is_change = False
            item = interface.Item(
                item.key, known.value, item.revision, item.created
            )
            if item.value is None:
                self._overruled[item.key] = item
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


def _is_same(known: interface.Item, item: interface.Item) -> bool:
    """Tell whether two items are the same to those who use them.

    One that was deleted and written again is another one.
    """
    if known.value != item.value:
        return False
    has_both = bool(known.created and item.created)
    return not has_both or known.created == item.created
