"""Which of several servers gets a request, by the work that it causes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.steering import preference

if TYPE_CHECKING:
    from cowslipshift.steering import calls

RISK_COST_TARGETS = 1.0
"""What it costs, in target latencies, that an order may outlast its time."""


class WorkSelector:
    """Prefers the earliest expected answer, with surcharges."""

    __slots__ = ()

    def select(
        self, call: calls.Call, choices: list[calls.Choice], now: float
    ) -> calls.Choice | None:
        """Return the choice of the lowest cost, the first one of equals."""
        return min(
            choices,
            key=lambda choice: _measure_cost(call, choice, now),
            default=None,
        )


def _measure_cost(call: calls.Call, choice: calls.Choice, now: float) -> float:
    cost_s = preference.measure_cost(call, choice, now)
    if not call.route.is_idempotent and choice.high_s > call.deadline_s - now:
        cost_s += RISK_COST_TARGETS * call.route.target_s
    return cost_s
