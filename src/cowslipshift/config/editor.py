"""Changing the stored configuration by compare-and-swap."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import uuid

import msgspec

from cowslipshift.config import document
from cowslipshift.config import exceptions
from cowslipshift.config import model
from cowslipshift.config import weights
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.store import keys

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift.store import client as clients

MAX_SWAP_ATTEMPTS = 20
SWAP_RETRY_INTERVAL_S = 0.5


class ConflictError(exceptions.ConfigurationError):
    """Another change won.

    Attributes:
        winner: The change that is in the store.
        revision: Its revision.
    """

    code = "config_conflict"

    def __init__(self, winner: model.Change | None, revision: int) -> None:
        if winner is None:
            text = "another change"
        else:
            text = f"the change of {winner.author} ({winner.reason})"
        super().__init__(
            f"lost to revision {revision}, {text}; look at it and try again"
        )
        self.winner = winner
        self.revision = revision


class OutcomeUnknownError(exceptions.ConfigurationError):
    """The store went away before it was clear whether the change holds."""

    code = "config_uncertain"


class StoredConfiguration(msgspec.Struct, frozen=True):
    """The configuration as it is in the store.

    Attributes:
        mod_revision: The store's revision of the key, 0 if absent.
    """

    configuration: model.Configuration
    mod_revision: int


class ChangeRecord(msgspec.Struct, frozen=True):
    """What is kept of each change, to read back lost answers."""

    change: model.Change
    revision: int


class Editor:
    """Reads and changes the stored configuration.

    Args:
        store: The platform's store.
        author: The operator who makes changes.
    """

    def __init__(self, store: clients.StoreClient, author: str) -> None:
        self._store = store
        self.author = author

    async def read(self) -> StoredConfiguration:
        """Read the stored configuration, empty if there is none.

        Raises:
            StoreError: The store is away.
            ConfigurationError: The stored value cannot be used.
        """
        pair = await self._store.get_key(keys.CONFIGURATION)
        if pair is None:
            return StoredConfiguration(model.Configuration(), 0)
        return StoredConfiguration(
            document.decode_document(pair.value), pair.mod_revision
        )

    async def change(
        self,
        reason: str,
        wall_s: float,
        edit: Callable[[model.Configuration], model.Configuration],
        base_revision: int | None = None,
    ) -> model.Configuration:
        """Make one change.

        Args:
            reason: Why, for other operators.
            wall_s: Unix time in seconds.
            edit: Returns the changed configuration.
            base_revision: Revision that the change was made for; another
                one in the store is a conflict.

        Returns:
            The configuration that is stored now.

        Raises:
            ConflictError: Another change won.
            UncertainError: The store went away in the middle.
            InvalidConfigurationError: The result breaks a rule.
            StoreError: Nothing was changed.
        """
        stored = await self.read()
        known = stored.configuration
        if base_revision not in (None, known.revision):
            raise ConflictError(known.change, known.revision)
        change = model.Change(
            id=uuid.uuid4().hex,
            author=self.author,
            reason=reason,
            at_ms=int(wall_s * 1000),
        )
        new = msgspec.structs.replace(
            edit(known), revision=known.revision + 1, change=change
        )
        raw = document.encode_document(new)
        document.decode_document(raw)
        weights.check_transition(known, new, wall_s)
        lease = await self._store.grant_lease(keys.CHANGE_RECORD_TTL_S)
        record = msgspec.json.encode(ChangeRecord(change, new.revision))
        further_writes = {keys.CHANGES + change.id: record}
        for _ in range(MAX_SWAP_ATTEMPTS):
            try:
                return await self._swap(
                    stored, new, raw, further_writes, lease
                )
            except store_exceptions.StoreError:
                await asyncio.sleep(SWAP_RETRY_INTERVAL_S)
        raise OutcomeUnknownError(
            f"change {change.id} may be revision {new.revision}; "
            "compare with 'cowslipshift config show' when the store is back"
        )

    async def _swap(
        self,
        stored: StoredConfiguration,
        new: model.Configuration,
        raw: bytes,
        further_writes: dict[str, bytes],
        lease: int,
    ) -> model.Configuration:
        """Write once; a repetition of a write that took effect is harmless.

        Raises:
            ConflictError: Another change won.
            StoreError: It is not known whether the write took effect.
        """
        if await self._store.swap_key(
            keys.CONFIGURATION, raw, stored.mod_revision, further_writes, lease
        ):
            return new
        record = next(iter(further_writes))
        if await self._store.get_key(record) is not None:
            return new
        current = (await self.read()).configuration
        raise ConflictError(current.change, current.revision)
