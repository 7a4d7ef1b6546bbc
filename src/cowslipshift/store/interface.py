"""What a revisioned key-value store with leases offers its callers."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping


class Item(msgspec.Struct, frozen=True):
    """A key as it was last written, or the word that it is gone.

    Attributes:
        value: Its bytes; ``None`` when it was deleted.
        revision: Store revision of the change.
    """

    key: str
    value: bytes | None
    revision: int


class Snapshot(msgspec.Struct, frozen=True):
    """Items and the store revision up to which they tell the truth."""

    items: tuple[Item, ...]
    revision: int


class RevisionedStore(Protocol):
    """A store whose changes carry one growing revision.

    All calls raise `StoreUnavailableError` when there is no answer (a
    write may then have taken effect, or do so later) and
    `StoreAnswerError` when the answer is none.
    """

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all items whose keys begin with a prefix."""

    async def watch_prefix(
        self, prefix: str, after: int, wait_s: float
    ) -> Snapshot:
        """Wait for changes after a revision.

        Raises:
            HistoryGoneError: The store no longer has that history.
        """

    async def swap_items(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        lease: int = 0,
    ) -> bool:
        """Write all if each expected key still has its revision.

        Args:
            expected: Revision by key; 0 for a key that must not exist.
            writes: New values by key.
            lease: Lease of the written keys; 0 for none.

        Returns:
            Whether the writes took place.
        """

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still exists."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
