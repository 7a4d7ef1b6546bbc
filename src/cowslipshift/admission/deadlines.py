"""Refuses requests that would end after their deadline."""

from __future__ import annotations

from cowslipshift.steering import calls

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.0


class DeadlineAdmission:
    """Admits every request that can still be in time."""

    __slots__ = ()

    def review(
        self, call: calls.Call, choice: calls.Choice, now: float
    ) -> calls.Refusal | None:
        """Refuse a request that a queue would delay beyond its deadline.

        The estimated service time alone is too uncertain to refuse one.
        """
        excess_s = choice.expected_s - (call.deadline_s - now)
        if choice.queue_s <= 0.0 or excess_s <= 0.0:
            return None
        return calls.Refusal(
            "no_room",
            min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s)),
            choice,
        )
