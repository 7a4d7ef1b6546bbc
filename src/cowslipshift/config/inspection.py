"""Finds entries of any format that are valid but cannot take effect."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cowslipshift.config import findings

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """What the checks need to know of a client account.

    Attributes:
        path: Path of its entry.
        quota_path: Path of the field with the quota.
        has_key: Whether a request can name it.
        quota: Its quota; 0 for no limit.
        capacity: Largest quota that servers can serve; 0 if unknown.
        unit: Unit of both.
    """

    path: str
    quota_path: str
    has_key: bool
    quota: float
    capacity: float
    unit: str


def find_services_without_servers(
    server_counts: Mapping[str, int],
) -> Iterator[findings.Finding]:
    """Yield the services that no server runs.

    Args:
        server_counts: Number of servers that take requests, by the path of
            the service.
    """
    for path, count in server_counts.items():
        if count == 0:
            yield findings.Finding(
                "warning",
                "service_without_servers",
                path,
                "no server that takes requests runs it",
            )


def inspect_account(account: Account) -> Iterator[findings.Finding]:
    """Yield what keeps an account or its quota from taking effect."""
    if not account.has_key:
        yield findings.Finding(
            "warning",
            "account_without_key",
            account.path,
            "no request can name it, because it has no active key",
        )
    if 0 < account.capacity < account.quota:
        yield findings.Finding(
            "warning",
            "quota_above_capacity",
            account.quota_path,
            f"{account.quota:g} {account.unit} exceed the "
            f"{account.capacity:g} that its servers can take",
        )
