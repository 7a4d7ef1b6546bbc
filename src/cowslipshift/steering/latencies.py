"""Latency estimates of a route, updated from answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import model

WARM_TARGET_RATIO = 0.5
COLD_TARGET_RATIO = 1.6
"""Latencies assumed before any answer, as ratios of the route's target."""

MIN_COLD_RATIO = 1.8
"""Ratio to the warm latency above which an answer was certainly not warm."""

EWMA_WEIGHT = 0.05
MAX_DRIFT_FACTOR = 3.0
"""Maximum factor between an estimate and its initial value."""


class RouteLatency:
    """Estimated latency of requests for objects that are warm or cold."""

    __slots__ = ("_initial_cold_s", "_initial_warm_s", "cold_s", "warm_s")

    def __init__(self, route: model.Route) -> None:
        self._initial_warm_s = self.warm_s = WARM_TARGET_RATIO * route.target_s
        self._initial_cold_s = self.cold_s = COLD_TARGET_RATIO * route.target_s
        if not route.has_affinity:
            self._initial_warm_s = self.warm_s = self._initial_cold_s

    def estimate(self, is_warm: bool) -> float:
        """Return the estimated latency in seconds."""
        return self.warm_s if is_warm else self.cold_s

    def update(self, took_s: float, is_warm: bool) -> None:
        """Update the estimate from an answer of a server that had a free slot.

        Args:
            took_s: Time until the answer.
            is_warm: Whether the server was known to be warm. If not, it
                may have been warm all the same, so quick answers are ignored.
        """
        if is_warm:
            updated = self.warm_s + EWMA_WEIGHT * (took_s - self.warm_s)
            self.warm_s = _clamp(updated, self._initial_warm_s)
        elif took_s > MIN_COLD_RATIO * self.warm_s:
            updated = self.cold_s + EWMA_WEIGHT * (took_s - self.cold_s)
            self.cold_s = _clamp(updated, self._initial_cold_s)


def _clamp(value: float, initial: float) -> float:
    return min(
        max(value, initial / MAX_DRIFT_FACTOR), initial * MAX_DRIFT_FACTOR
    )
