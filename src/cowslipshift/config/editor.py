"""Changes the stored configuration by compare-and-swap."""

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
    """Another change was stored first.

    Attributes:
        winner: The change that is in the store, if it is recorded there.
        revision: Revision of the stored configuration.
    """

    code = "config_conflict"

    def __init__(self, winner: model.Change | None, revision: int) -> None:
        if winner is None:
            text = "another change"
        else:
            text = f"a change by {winner.author} ({winner.reason})"
        super().__init__(
            f"conflicts with revision {revision}, {text}; review it and retry"
        )
        self.winner = winner
        self.revision = revision


class OutcomeUnknownError(exceptions.ConfigurationError):
    """The store became unavailable; the change may or may not be stored."""

    code = "config_uncertain"


class StoredConfiguration(msgspec.Struct, frozen=True):
    """The stored configuration.

    Attributes:
        mod_revision: Store revision of the last write of its key; 0 if the
            key does not exist.
    """

    configuration: model.Configuration
    mod_revision: int


class ChangeRecord(msgspec.Struct, frozen=True):
    """Record of a stored change.

    It tells a retry whether an earlier write took effect whose answer was
    lost.
    """

    change: model.Change
    revision: int


class Editor:
    """Reads and changes the stored configuration.

    Args:
        store: The platform's store.
        author: Operator to whom changes are attributed.
    """

    def __init__(self, store: clients.StoreClient, author: str) -> None:
        self._store = store
        self.author = author

    async def read(self) -> StoredConfiguration:
        """Read the stored configuration; an empty one if there is none.

        Raises:
            StoreError: The store is unavailable or its answer is malformed.
            ConfigurationError: The stored value is invalid.
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
        """Apply an edit and store the result.

        Args:
            reason: Why the change is made, for other operators.
            wall_s: Unix time in seconds.
            edit: Returns the changed configuration.
            base_revision: Revision that the change was made for; any other
                stored revision is a conflict.

        Returns:
            The configuration that is stored now.

        Raises:
            ConflictError: Another change was stored first.
            OutcomeUnknownError: The store became unavailable while writing.
            InvalidConfigurationError: The result breaks a rule.
            StoreError: The store is unavailable; nothing was changed.
        """
        stored = await self.read()
        current = stored.configuration
        if base_revision not in (None, current.revision):
            raise ConflictError(current.change, current.revision)
        change = model.Change(
            id=uuid.uuid4().hex,
            author=self.author,
            reason=reason,
            at_ms=int(wall_s * 1000),
        )
        new = msgspec.structs.replace(
            edit(current), revision=current.revision + 1, change=change
        )
        raw = document.encode_document(new)
        document.decode_document(raw)
        weights.check_transition(current, new, wall_s)
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
            f"change {change.id} may be stored as revision {new.revision}; "
            "check with 'cowslipshift config show' when the store is available"
        )

    async def _swap(
        self,
        stored: StoredConfiguration,
        new: model.Configuration,
        raw: bytes,
        further_writes: dict[str, bytes],
        lease: int,
    ) -> model.Configuration:
        """Try to write once; safe to repeat after an unknown outcome.

        If the compare-and-swap fails but the change record exists, an earlier
        attempt took effect and its answer was lost.

        Raises:
            ConflictError: Another change was stored first.
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
