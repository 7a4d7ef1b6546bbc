"""Token buckets and estimates of the demand for tokens."""

from __future__ import annotations

import math

DEMAND_HALF_LIFE_S = 0.5
MAX_GAP_ARRIVALS = 3.0
"""Mean inter-arrival times after which a gap lowers the estimate."""


class TokenBucket:
    """Tokens that accrue at a constant rate, up to a burst size."""

    __slots__ = ("_filled_s", "burst", "rate", "tokens")

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.burst = 0.0
        self.tokens = 0.0
        self._filled_s = now

    def fill(self, now: float) -> None:
        """Add the tokens that have accrued since the last call."""
        elapsed_s = max(0.0, now - self._filled_s)
        self._filled_s = max(self._filled_s, now)
        self.tokens = min(self.burst, self.tokens + self.rate * elapsed_s)

    def resize(self, rate: float, burst: float) -> None:
        """Set the rate and the burst; tokens above the burst are discarded."""
        self.rate = max(0.0, rate)
        self.burst = max(0.0, burst)
        self.tokens = min(self.tokens, self.burst)


class DemandEstimator:
    """Exponentially smoothed arrival rate, in requests per second."""

    __slots__ = ("_last_arrival_s", "_rate", "_updated_s")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._updated_s = now
        self._last_arrival_s = now

    def record_arrival(self, now: float) -> None:
        """Record the arrival of one request."""
        self._decay(now)
        self._rate += math.log(2) / DEMAND_HALF_LIFE_S
        self._last_arrival_s = now

    def measure(self, now: float) -> float:
        """Return the estimated arrivals per second.

        A gap since the last arrival that is much longer than usual lowers
        the estimate before the smoothed rate has decayed.
        """
        self._decay(now)
        gap_s = now - self._last_arrival_s
        if gap_s <= 0.0:
            return self._rate
        return min(self._rate, MAX_GAP_ARRIVALS / gap_s)

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_s)
        self._updated_s = max(self._updated_s, now)
        self._rate *= 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
