"""Counts the requests that began to run, by client account and window."""

from __future__ import annotations

import collections

KEPT_WINDOWS = 8
"""Windows whose counts a host keeps, the present one included."""


class UsageCounter:
    """Counts of one host.

    Args:
        window_s: Length of a window; window k begins k times this after the
            start of 1970.
    """

    __slots__ = ("_counts", "_newest", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._counts: dict[int, collections.Counter[str]] = {}
        self._newest = 0

    def record_start(self, account: str, wall_s: float) -> int:
        """Count an attempt that is sent.

        Args:
            account: The client account.
            wall_s: Present time of day, Unix seconds.

        Returns:
            The window that it counts for.
        """
        window = int(wall_s // self._window_s)
        counts = self._counts.get(window)
        if counts is None:
            counts = self._counts[window] = collections.Counter()
            self._newest = max(self._newest, window)
            self._drop_old()
        counts[account] += 1
        return window

    def cancel_start(self, account: str, window: int) -> None:
        """Take back an attempt that has not run."""
        counts = self._counts.get(window)
        if counts is not None:
            counts[account] -= 1

    def list_counts(self, first: int) -> dict[int, dict[str, int]]:
        """Return the counts by account of each window from one on."""
        return {
            window: {
                account: count for account, count in counts.items() if count
            }
            for window, counts in self._counts.items()
            if window >= first
        }

    def _drop_old(self) -> None:
        oldest = self._newest - KEPT_WINDOWS
        for window in [w for w in self._counts if w <= oldest]:
            del self._counts[window]
