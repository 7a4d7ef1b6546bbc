"""Tokens that accrue, and the demand for them."""

from __future__ import annotations

import math

DEMAND_HALF_LIFE_S = 0.5
MAX_GAP_ARRIVALS = 3.0
"""Usual gaps between arrivals after which demand counts as falling."""


class TokenBucket:
    """Tokens that accrue at a rate up to a burst."""

    __slots__ = ("_filled_s", "burst", "rate", "tokens")

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.burst = 0.0
        self.tokens = 0.0
        self._filled_s = now

    def fill(self, now: float) -> None:
        """Add the tokens that have accrued."""
        elapsed_s = max(0.0, now - self._filled_s)
        self._filled_s = max(self._filled_s, now)
        self.tokens = min(self.burst, self.tokens + self.rate * elapsed_s)

    def resize(self, rate: float, burst: float) -> None:
        """Set the rate and the burst; tokens above the burst are lost."""
        self.rate = max(0.0, rate)
        self.burst = max(0.0, burst)
        self.tokens = min(self.tokens, self.burst)


class DemandEstimator:
    """Arrivals per second, smoothed exponentially."""

    __slots__ = ("_arrived_s", "_rate", "_seen_s")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._seen_s = now
        self._arrived_s = now

    def record_arrival(self, now: float) -> None:
        """Record one arrival."""
        self._decay(now)
        self._rate += math.log(2) / DEMAND_HALF_LIFE_S
        self._arrived_s = now

    def measure(self, now: float) -> float:
        """Return the smoothed arrivals per second.

        A gap since the last arrival that is much longer than usual shows
        that demand has moved away before the smoothed rate does.
        """
        self._decay(now)
        gap_s = now - self._arrived_s
        if gap_s <= 0.0:
            return self._rate
        return min(self._rate, MAX_GAP_ARRIVALS / gap_s)

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._seen_s)
        self._seen_s = max(self._seen_s, now)
        self._rate *= 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
