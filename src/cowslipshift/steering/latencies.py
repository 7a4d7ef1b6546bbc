"""How long requests of a route usually take, learnt from answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import model

WARM_OF_TARGET = 0.5
COLD_OF_TARGET = 1.6
"""What is assumed before any answer, as parts of the route's target."""

COLD_FROM = 1.8
"""Times of the warm one from which an answer was certainly not warm."""

GAIN = 0.05
MAX_STRAY = 3.0
"""How far learning may stray from the assumption, as a factor."""


class RouteLatency:
    """Usual time of requests on objects that are warm, and that are not."""

    __slots__ = ("_cold", "_warm", "cold_s", "warm_s")

    def __init__(self, route: model.Route) -> None:
        self._warm = self.warm_s = WARM_OF_TARGET * route.target_s
        self._cold = self.cold_s = COLD_OF_TARGET * route.target_s
        if not route.has_affinity:
            self._warm = self.warm_s = self._cold

    def estimate(self, is_warm: bool) -> float:
        """Return the usual time in seconds."""
        return self.warm_s if is_warm else self.cold_s

    def update(self, took_s: float, is_warm: bool) -> None:
        """Take the time of an answer from a server that had a free slot.

        Args:
            took_s: Time until the answer.
            is_warm: Whether the server was known to be warm. If not, it
                may have been warm all the same: quick answers say nothing.
        """
        if is_warm:
            moved = self.warm_s + GAIN * (took_s - self.warm_s)
            self.warm_s = _clamp(moved, self._warm)
        elif took_s > COLD_FROM * self.warm_s:
            moved = self.cold_s + GAIN * (took_s - self.cold_s)
            self.cold_s = _clamp(moved, self._cold)


def _clamp(value: float, start: float) -> float:
    return min(max(value, start / MAX_STRAY), start * MAX_STRAY)
