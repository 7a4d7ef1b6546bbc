"""Retry budgets of the services, of which each host spends its share."""

from __future__ import annotations

from cowslipshift.coordination import budgets

RETRY_SAFETY = 0.6
"""Fraction of the retry budget that is spent, because hosts learn of each
other's requests with a delay."""

RETRY_RESERVE_S = 10.0
"""Seconds of a host's share of the retry slack that it may accumulate. Half of
the slack accrues over time, and half may be accumulated."""


class RetryBudgets:
    """One host's retry budgets by service.

    Args:
        ratio: Retries allowed for each request of a service.
        slack: Additional retries allowed, all hosts together.
        window_s: Window of the retry slack.
    """

    __slots__ = ("_budgets", "_max_reserve", "_ratio", "_slack_per_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio * RETRY_SAFETY
        self._slack_per_s = slack * RETRY_SAFETY / window_s / 2
        self._max_reserve = 1.0
        self._budgets: dict[str, budgets.RetryBudget] = {}

    def record_request(self, service: str) -> None:
        """Record a request, which earns a part of a retry."""
        self._get(service).record_attempt(self._ratio)

    def try_retry(self, service: str) -> bool:
        """Take a retry from a service's budget if there is one."""
        return self._get(service).try_spend()

    def refill(self, passed_s: float, hosts: int) -> None:
        """Add this host's share of the retry slack.

        Args:
            passed_s: Seconds since the last call.
            hosts: Number of hosts that share the slack.
        """
        self._max_reserve = max(
            1.0, self._slack_per_s * RETRY_RESERVE_S / hosts
        )
        for budget in self._budgets.values():
            budget.set_max_reserve(self._max_reserve)
            budget.record_attempt(self._slack_per_s * passed_s / hosts)

    def _get(self, service: str) -> budgets.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.RetryBudget(
                self._max_reserve
            )
        return budget
