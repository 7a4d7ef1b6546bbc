"""What a host knows of one backend server from its own requests."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import model

LOAD_FADE_S = 0.7
"""A load report halves in about half a second: requests last that long."""

SLOWNESS_FADE_S = 4.0
SLOWNESS_GAIN = 0.3
MAX_SLOWNESS = 12.0

WARM_FOR_S = 25.0
MAX_WARM_OBJECTS = 64

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0

WORK_GAIN = 0.1


class BackendState:
    """Load, speed, warmth and trustworthiness of a backend server.

    Attributes:
        entry: What it registered.
        in_flight: This host's running requests.
        cold_until_s: When it has warmed up after its start.
        is_draining: Whether it gets no new work.
    """

    __slots__ = (
        "_ejected_until_s",
        "_ejection_s",
        "_failures",
        "_others",
        "_reported_s",
        "_slowness",
        "_slowness_s",
        "_warm",
        "_work_s",
        "cold_until_s",
        "entry",
        "in_flight",
        "is_suspect",
        "is_draining",
    )

    def __init__(
        self, entry: model.Backend, now: float, cold_until_s: float
    ) -> None:
        self.entry = entry
        self.in_flight = 0
        self.cold_until_s = cold_until_s
        self.is_draining = entry.is_draining
        self.is_suspect = False
        self._others = 0.0
        self._reported_s = now
        self._slowness = 1.0
        self._slowness_s = now
        self._work_s = 0.0
        self._failures = 0
        self._ejection_s = FIRST_EJECTION_S
        self._ejected_until_s = now
        self._warm: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def is_cold(self, now: float) -> bool:
        """Tell whether it is still slow and frail after its start."""
        return now < self.cold_until_s

    def is_ejected(self, now: float) -> bool:
        """Tell whether it gets no work for what it did lately."""
        if now < self._ejected_until_s:
            return True
        return self.is_suspect and self.in_flight > 0

    def estimate_load(self, now: float) -> float:
        """Return its running and waiting requests of all hosts."""
        age_s = now - self._reported_s
        others = self._others * math.exp(-age_s / LOAD_FADE_S)
        return self.in_flight + others

    def measure_report_age(self, now: float) -> float:
        """Return the age in seconds of the last load report."""
        return now - self._reported_s

    def estimate_wait(self, now: float, work_s: float) -> float:
        """Return seconds until a slot is free for one more request.

        Args:
            now: Present time.
            work_s: Usual work of a request, where none is known.
        """
        ahead = self.estimate_load(now) + 1.0 - self.entry.slots
        if ahead <= 0.0:
            return 0.0
        return ahead / self.entry.slots * (self._work_s or work_s)

    def estimate_slowness(self, now: float) -> float:
        """Return how many times longer than usual it takes."""
        fade = math.exp(-(now - self._slowness_s) / SLOWNESS_FADE_S)
        return 1.0 + (self._slowness - 1.0) * fade

    def is_warm_for(self, affinity_key: str, now: float) -> bool:
        """Tell whether this host saw it handle an object lately."""
        return now - self._warm.get(affinity_key, -math.inf) < WARM_FOR_S

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Take a load report; this host's own part is subtracted."""
        self._others = max(0.0, running + waiting - self.in_flight)
        self._reported_s = now

    def record_answer(
        self, affinity_key: str, took_s: float, baseline_s: float, now: float
    ) -> None:
        """Record an answer that the backend server made.

        Args:
            affinity_key: The object that the request concerned, or empty.
            took_s: How long the request was there.
            baseline_s: How long such a request usually takes.
            now: Present time.
        """
        self._failures = 0
        self.is_suspect = False
        self._ejection_s = FIRST_EJECTION_S
        ratio = min(MAX_SLOWNESS, took_s / max(baseline_s, 0.01))
        slowness = self.estimate_slowness(now)
        self._slowness = slowness + SLOWNESS_GAIN * (ratio - slowness)
        self._slowness_s = now
        self._work_s += WORK_GAIN * (took_s - self._work_s)
        if affinity_key:
            self._warm[affinity_key] = now
            self._warm.move_to_end(affinity_key)
            if len(self._warm) > MAX_WARM_OBJECTS:
                self._warm.popitem(last=False)

    def record_failure(self, now: float, is_down: bool) -> bool:
        """Record a failure; return whether it is ejected for it.

        Args:
            now: Present time.
            is_down: Whether it refuses connections or does not answer
                them, which one failure proves.
        """
        self._failures += 1
        if not is_down and self._failures < FAILURES_TO_EJECT:
            return False
        if now >= self._ejected_until_s:
            self._ejected_until_s = now + self._ejection_s
            self._ejection_s = min(MAX_EJECTION_S, self._ejection_s * 2)
        self.is_suspect = True
        return True

    def clear_warm_objects(self) -> None:
        """Forget what it is warm for: it started anew."""
        self._warm.clear()
