"""Room in the quota of an account."""

from __future__ import annotations

import math

import msgspec

FRACTION_WINDOW_S = 0.4
"""Time over which the admitted fraction is averaged."""


class Room(msgspec.Struct, frozen=True):
    """Room in a quota, and what all hosts may want of it.

    Attributes:
        limit: Requests allowed in the window.
        used: Requests of the window that count against it.
        reserved: Those of them that silent hosts may have admitted.
        unreported: Admissions of other hosts that are not reported yet.
        leaving: Those that leave the window in the time ahead.
        arriving: Requests that arrive in the time ahead.
    """

    limit: float
    used: float
    reserved: float
    unreported: float
    leaving: float
    arriving: float

    def compute_fraction(self) -> float:
        """Return the fraction of requests that all hosts may admit."""
        left = self.limit - self.used - self.unreported + self.leaving
        if left < 1.0:
            return 0.0
        return left / self.arriving if left < self.arriving else 1.0


class AverageFraction:
    """Fraction of requests that was admitted lately.

    Args:
        now: Present time.

    Attributes:
        value: The fraction, 1 if all were admitted.
    """

    __slots__ = ("_updated_s", "value")

    def __init__(self, now: float) -> None:
        self.value = 1.0
        self._updated_s = now

    def record(self, now: float, fraction: float) -> None:
        """Record the fraction that has been admitted since the last call."""
        passed_s = now - self._updated_s
        if passed_s > 0.0:
            kept = math.exp(-passed_s / FRACTION_WINDOW_S)
            self.value = fraction + (self.value - fraction) * kept
            self._updated_s = now
