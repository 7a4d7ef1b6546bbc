"""How long work takes on a server at the moment, compared with usual."""

from __future__ import annotations

import math

HALF_LIFE_S = 0.25
"""Half-life of a stated pace. Servers share their machines, so it changes
several times a second."""

USUAL_EWMA_WEIGHT = 0.1
MAX_PACE = 12.0

INFERRED_DECAY_S = 4.0
INFERRED_EWMA_WEIGHT = 0.15
MAX_INFERRED_STEP = math.log(2.5)
"""Maximum logarithm of an answer's excess, so that one long piece of work does
not make its server look slow."""


class Pace:
    """Pace of one incarnation of a server: what it states, and the rest.

    What answers show beyond the stated pace is inferred from them; it is all
    there is for a server that states none.
    """

    __slots__ = (
        "_inferred_log",
        "_inferred_s",
        "_stated",
        "_stated_s",
        "_usual",
    )

    def __init__(self) -> None:
        self._stated = 1.0
        self._stated_s = -math.inf
        self._usual = 1.0
        self._inferred_log = 0.0
        self._inferred_s = 0.0

    @property
    def is_stated(self) -> bool:
        """Whether the server has ever stated its pace."""
        return self._stated_s > -math.inf

    def measure_age(self, now: float) -> float:
        """Return seconds since the last statement; infinite without one."""
        return now - self._stated_s

    def record(self, pace: float, now: float) -> None:
        """Record the pace that the server stated in an answer."""
        self._stated = min(MAX_PACE, pace)
        self._stated_s = now
        self._usual += USUAL_EWMA_WEIGHT * (self._stated - self._usual)

    def record_excess(self, ratio: float, now: float) -> None:
        """Record how many times longer than predicted an answer took.

        Args:
            ratio: Time taken over the time predicted at the stated pace.
            now: Present time.
        """
        step = math.log(max(ratio, 1e-3))
        step = max(-MAX_INFERRED_STEP, min(MAX_INFERRED_STEP, step))
        known = self._decay_inferred(now)
        self._inferred_log = known + INFERRED_EWMA_WEIGHT * (step - known)
        self._inferred_s = now

    def estimate_stated(self, now: float) -> float:
        """Return the stated pace, which fades to the server's mean pace."""
        if not self.is_stated:
            return 1.0
        age_s = max(0.0, now - self._stated_s)
        weight = math.exp2(-age_s / HALF_LIFE_S)
        return self._usual + weight * (self._stated - self._usual)

    def estimate(self, now: float) -> float:
        """Return the factor by which work takes longer than usual."""
        return self.estimate_stated(now) * math.exp(self._decay_inferred(now))

    def _decay_inferred(self, now: float) -> float:
        passed_s = max(0.0, now - self._inferred_s)
        return self._inferred_log * math.exp(-passed_s / INFERRED_DECAY_S)
