"""Sums the counts that hosts tell the holder of the duty."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


class HostCounts(msgspec.Struct, frozen=True):
    """Counts of one host, cumulative.

    Attributes:
        incarnation: Which process of the host counted.
        windows: Requests by client account, by window.
    """

    incarnation: int
    windows: dict[int, dict[str, int]]


class UsageCollection:
    """Latest counts of every process of every host."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[tuple[str, int], dict[str, int]]] = {}
        self._asked_s: dict[str, float] = {}

    def record_counts(
        self, host: str, counts: HostCounts, asked_wall_s: float
    ) -> None:
        """Record what a host answered.

        Args:
            host: The host.
            counts: Its counts.
            asked_wall_s: Time of day at which it was asked.
        """
        for window, by_account in counts.windows.items():
            hosts = self._windows.setdefault(window, {})
            hosts[host, counts.incarnation] = by_account
        self._asked_s[host] = max(
            asked_wall_s, self._asked_s.get(host, asked_wall_s)
        )

    def has_asked_since(self, hosts: Iterable[str], wall_s: float) -> bool:
        """Tell whether all hosts answered a question asked since a time."""
        return all(self._asked_s.get(host, 0.0) >= wall_s for host in hosts)

    def sum_counts(self, window: int) -> dict[str, int]:
        """Return the requests of a window by account, sorted by name."""
        total: collections.Counter[str] = collections.Counter()
        for by_account in self._windows.get(window, {}).values():
            total.update(by_account)
        return _sort_positive(total)

    def drop_before(self, window: int) -> None:
        """Forget the windows before one."""
        for old in [known for known in self._windows if known < window]:
            del self._windows[old]

    def clear(self) -> None:
        """Forget everything."""
        self._windows.clear()
        self._asked_s.clear()


def _sort_positive(counts: Mapping[str, int]) -> dict[str, int]:
    return {
        account: counts[account]
        for account in sorted(counts)
        if counts[account] > 0
    }
