"""Which of several backend servers a request is sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import calls

FAILURE_COST_TARGETS = 4.0
"""What a failed request costs, in target latencies of its route: a server that
fails more than a fourth of its requests loses to a cold one."""

DETOUR_COST_TARGETS = 0.1
"""What another server than an object's first one costs, in target latencies,
so that objects come back when their first server is as good again."""


class CostPreference:
    """Prefers the lowest expected latency, with surcharges."""

    __slots__ = ()

    def select(
        self, call: calls.Call, choices: list[calls.Choice], now: float
    ) -> calls.Choice | None:
        """Return the choice of the lowest cost, the first one of equals."""
        return min(
            choices,
            key=lambda choice: measure_cost(call, choice, now),
            default=None,
        )


def measure_cost(call: calls.Call, choice: calls.Choice, now: float) -> float:
    """Return the expected latency, with surcharges, in seconds."""
    surcharge = FAILURE_COST_TARGETS * choice.state.estimate_failure_share(now)
    if choice.position:
        surcharge += DETOUR_COST_TARGETS
    return choice.expected_s + surcharge * call.route.target_s
