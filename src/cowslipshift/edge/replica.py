"""A host's copy of what the store holds, and what changed lately."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from cowslipshift.edge import messages
from cowslipshift.store import interface

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_KEPT_CHANGES = 2000
"""Changes kept for hosts that ask what came after a revision."""


class StoreReplica:
    """All items at one revision.

    Attributes:
        revision: Store revision up to which the copy is true; 0 at first.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[str, interface.Item] = {}
        self._log: collections.deque[interface.Item] = collections.deque(
            maxlen=MAX_KEPT_CHANGES
        )
        self._complete_after = 0

    def apply_changes(
        self, items: Iterable[interface.Item], revision: int
    ) -> list[interface.Item]:
        """Take changes in their order; return those that were news."""
        news = [item for item in items if self._apply(item)]
        self.revision = max(self.revision, revision)
        return news

    def apply_snapshot(
        self, items: Iterable[interface.Item], revision: int
    ) -> list[interface.Item]:
        """Take all items; return what changed, items that are gone too."""
        if revision < self.revision:
            return []
        listed = {item.key: item for item in items}
        gone = [
            interface.Item(key, None, revision)
            for key, known in self._items.items()
            if key not in listed and known.revision <= revision
        ]
        news = [item for item in (*gone, *listed.values())]
        news = [item for item in news if self._apply(item)]
        self.revision = revision
        self._log.clear()
        self._complete_after = revision
        return news

    def list_changes(self, after: int) -> messages.Changes:
        """Return what came after a revision, or everything."""
        is_kept = after >= self._complete_after and (
            len(self._log) < MAX_KEPT_CHANGES or self._log[0].revision <= after
        )
        if is_kept and after:
            items = tuple(i for i in self._log if i.revision > after)
            return messages.Changes(self.revision, False, items)
        return messages.Changes(
            self.revision, True, tuple(self._items.values())
        )

    def _apply(self, item: interface.Item) -> bool:
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if item.value is None:
            if known is None:
                return False
            del self._items[item.key]
        else:
            self._items[item.key] = item
        self._log.append(item)
        return known is None or known.value != item.value
