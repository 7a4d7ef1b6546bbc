"""Load of a server between the times at which it is heard of."""

from __future__ import annotations

import math

MOMENTARY_S = 0.7
"""Decay time of what a report says beyond the mean."""

MEAN_WINDOW_S = 3.0
SILENCE_S = 3.0
SILENCE_DECAY_S = 8.0
"""Silence after which the mean fades, and how fast."""


class LoadTrack:
    """Mean and last known load that other hosts cause at one server."""

    __slots__ = ("_last", "_mean", "_stated_s")

    def __init__(self, now: float) -> None:
        self._last = 0.0
        self._mean = 0.0
        self._stated_s = now

    def record(self, load: float, stated_s: float) -> None:
        """Record requests that ran or waited at some time.

        Args:
            load: Their number, without this host's own ones.
            stated_s: Time at which the server said so.
        """
        passed_s = max(0.0, stated_s - self._stated_s)
        mean = self._fade(stated_s) * self._mean
        weight = 1.0 - math.exp(-passed_s / MEAN_WINDOW_S)
        self._mean = mean + weight * (load - mean)
        self._last = load
        self._stated_s = stated_s

    def estimate(self, now: float) -> float:
        """Return the expected load at present."""
        momentary = self._measure_memory(now)
        mean = self._fade(now) * self._mean
        return mean + momentary * (self._last - mean)

    def estimate_variance(self, now: float) -> float:
        """Return the variance of the load around what is expected."""
        memory = self._measure_memory(now)
        return (1.0 - memory * memory) * self._fade(now) * self._mean

    def estimate_mean(self, now: float) -> float:
        """Return the mean load of the last seconds."""
        return self._fade(now) * self._mean

    def _measure_memory(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._stated_s) / MOMENTARY_S)

    def _fade(self, now: float) -> float:
        silent_s = now - self._stated_s - SILENCE_S
        return math.exp(-silent_s / SILENCE_DECAY_S) if silent_s > 0 else 1.0


def expect_excess(mean: float, variance: float) -> float:
    """Return the expected positive part of a normal variable."""
    if variance < 1e-6:
        return max(0.0, mean)
    deviation = math.sqrt(variance)
    score = mean / deviation
    density = math.exp(-0.5 * score * score) / math.sqrt(2.0 * math.pi)
    below = 0.5 * (1.0 + math.erf(score / math.sqrt(2.0)))
    return deviation * density + mean * below
