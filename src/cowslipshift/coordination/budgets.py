"""A budget of retries as a fraction of the traffic."""

from __future__ import annotations

MIN_RESERVE = 3.0
MAX_RESERVE = 30.0


class RetryBudget:
    """Earns a fraction of a retry with each first attempt."""

    __slots__ = ("_balance", "_most")

    def __init__(self, most: float = MAX_RESERVE) -> None:
        self._most = most
        self._balance = min(MIN_RESERVE, most)

    def limit_reserve(self, most: float) -> None:
        """Bound the retries that may be saved up."""
        self._most = most
        self._balance = min(self._balance, most)

    def note_attempt(self, ratio: float) -> None:
        """Record a first attempt.

        Args:
            ratio: Retries earned by it.
        """
        self._balance = min(self._most, self._balance + ratio)

    def try_spend(self) -> bool:
        """Take one retry if there is one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
