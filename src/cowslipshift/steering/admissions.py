"""Counts of admitted requests by the time at which they were admitted."""

from __future__ import annotations

import array
import math

SLOT_S = 0.25


class AdmissionLedger:
    """Admissions of the last window, in slots of equal length.

    The admissions of a host that has ended leave the window like all others.

    Args:
        window_s: Window in which admissions are counted.
    """

    __slots__ = ("_latest", "_slots", "_total", "_window_s")

    def __init__(self, window_s: float) -> None:
        length = math.ceil(window_s / SLOT_S) + 1
        self._slots = array.array("d", bytes(8 * length))
        self._window_s = window_s
        self._latest = 0
        self._total = 0.0

    def add(self, now: float, count: float = 1.0) -> None:
        """Count admissions of the present time."""
        self._advance(now)
        self._slots[self._latest % len(self._slots)] += count
        self._total += count

    def add_span(self, count: float, since_s: float, until_s: float) -> None:
        """Count admissions that were spread evenly over a span of time.

        Args:
            count: Number of admissions.
            since_s: Start of the span.
            until_s: End of the span, not in the future.
        """
        self._advance(until_s)
        length = len(self._slots)
        last = int(until_s / SLOT_S)
        first = min(int(since_s / SLOT_S), last)
        oldest = self._latest - length + 1
        share = count / (last - first + 1)
        for slot in range(max(first, oldest), last + 1):
            self._slots[slot % length] += share
            self._total += share

    def count(self, now: float) -> float:
        """Return the admissions in the window that ends now."""
        self._advance(now)
        return self._total - self._sum_oldest(now)

    def count_leaving(self, now: float, ahead_s: float) -> float:
        """Return how many of them leave the window in some time."""
        self._advance(now)
        return self._sum_oldest(now + ahead_s) - self._sum_oldest(now)

    def _sum_oldest(self, until_s: float) -> float:
        """Return the kept admissions out of the window that ends then."""
        slots = self._slots
        length = len(slots)
        oldest = self._latest + 1
        passed = (until_s - self._window_s) / SLOT_S - (oldest - length)
        passed = max(0.0, min(passed, float(length)))
        whole = int(passed)
        left = 0.0
        for slot in range(oldest, oldest + whole):
            left += slots[slot % length]
        if whole < length:
            left += (passed - whole) * slots[(oldest + whole) % length]
        return left

    def _advance(self, now: float) -> None:
        """Drop the slots that have left the window."""
        slot = int(now / SLOT_S)
        if slot <= self._latest:
            return
        length = len(self._slots)
        for passed in range(max(self._latest, slot - length), slot):
            index = (passed + 1) % length
            self._total -= self._slots[index]
            self._slots[index] = 0.0
        self._latest = slot
