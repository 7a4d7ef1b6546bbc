"""What commands on lists of the configuration have in common."""

from __future__ import annotations

import asyncio

from cowslipshift.config import edits
from cowslipshift.console.commands import config


class RemovableEntries:
    """Commands on a list whose entries operators may remove."""

    _list = ""

    def remove(
        self,
        id: str,
        reason: str,
        store: str | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Remove an entry; a move only once it has ended.

        Args:
            id: Its id.
            reason: Why, for other operators.
            store: Base URLs of the store.
            author: The operator.
            json: Print JSON.
        """
        edit = edits.remove_entry(self._list, str(id))
        asyncio.run(config.apply_edit(edit, reason, store, author, json))
