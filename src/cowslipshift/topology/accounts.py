"""Client accounts and their keys."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.config import model


class AccountTable:
    """The accounts and keys of a configuration.

    Attributes:
        by_name: The accounts by name.
    """

    def __init__(self, configuration: model.Configuration) -> None:
        self.by_name = {a.name: a for a in configuration.accounts}
        self._digests = {key.digest: key for key in configuration.keys}
        self._keys = {key.id: key for key in configuration.keys}
        self._total_rate = sum(a.rate for a in configuration.accounts)

    def find_key(self, secret: str) -> model.Key | None:
        """Return the entry of a key that a client presents."""
        return self._digests.get(digest_key(secret))

    def is_active(self, key_id: str) -> bool:
        """Return whether a key exists and is active."""
        key = self._keys.get(key_id)
        return key is not None and key.state == "active"

    def may_use(self, account: str, service: str) -> bool:
        """Return whether an account exists and may use a service."""
        entry = self.by_name.get(account)
        return entry is not None and (
            not entry.services or service in entry.services
        )

    def get_rate_share(self, account: str) -> float:
        """Return an account's fraction of the sum of all accounts' rates."""
        entry = self.by_name.get(account)
        if entry is None or self._total_rate <= 0.0:
            return 0.0
        return entry.rate / self._total_rate


def digest_key(secret: str) -> str:
    """Return the digest of a key, as the configuration stores it."""
    return hashlib.sha256(secret.encode()).hexdigest()
