"""Retry budget: limits retries to a fraction of the first attempts."""

from __future__ import annotations

MIN_RESERVE = 3.0
MAX_RESERVE = 30.0


class RetryBudget:
    """Earns a fraction of a retry with each first attempt.

    Args:
        max_reserve: Most retries that may be saved up.
    """

    __slots__ = ("_balance", "_max_reserve")

    def __init__(self, max_reserve: float = MAX_RESERVE) -> None:
        self._max_reserve = max_reserve
        self._balance = min(MIN_RESERVE, max_reserve)

    def set_max_reserve(self, max_reserve: float) -> None:
        """Set the most retries that may be saved up."""
        self._max_reserve = max_reserve
        self._balance = min(self._balance, max_reserve)

    def record_attempt(self, ratio: float) -> None:
        """Record a first attempt.

        Args:
            ratio: Retries that it earns.
        """
        self._balance = min(self._max_reserve, self._balance + ratio)

    def try_spend(self) -> bool:
        """Spend one retry; return whether one was left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
