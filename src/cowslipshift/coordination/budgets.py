"""A budget of retries as a fraction of the traffic."""

from __future__ import annotations

MIN_RESERVE = 3.0
MAX_RESERVE = 30.0


class RetryBudget:
    """Earns a fraction of a retry with each first attempt."""

    __slots__ = ("_balance",)

    def __init__(self) -> None:
        self._balance = MIN_RESERVE

    def note_attempt(self, ratio: float) -> None:
        """Record a first attempt.

        Args:
            ratio: Retries earned by it.
        """
        self._balance = min(MAX_RESERVE, self._balance + ratio)

    def try_spend(self) -> bool:
        """Take one retry if there is one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
