"""Commands that several sections of the configuration share."""

from __future__ import annotations

import asyncio

from cowslipshift.config import edits
from cowslipshift.console.commands import config


class RemovableEntries:
    """Commands on a section whose entries operators may remove."""

    _section = ""

    def remove(
        self,
        id: str,
        reason: str,
        store: str | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Remove an entry; a move can be removed only after it has ended.

        Args:
            id: Id of the entry, as listed.
            reason: Reason for the change, shown to other operators.
            store: Base URLs of the store, separated by commas.
            author: Name of the operator.
            json: Print JSON.
        """
        edit = edits.remove_entry(self._section, str(id))
        asyncio.run(config.apply_edit(edit, reason, store, author, json))
