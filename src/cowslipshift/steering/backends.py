"""State of one backend server as observed by this host."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from cowslipshift.workload import inhand
from cowslipshift.workload import loads
from cowslipshift.workload import paces

if TYPE_CHECKING:
    from cowslipshift.steering import model

LOAD_DECAY_S = 0.7
"""Decay time of a load report. It halves in about half a second, which is how
long requests last."""

USUAL_LOAD_WINDOW_S = 3.0
"""Window of the mean of load reports, towards which one of them decays."""

USUAL_LOAD_DECAY_S = 10.0
"""Decay time of that mean without reports. Where there are many hosts, each
asks a server only every few seconds."""

SLOWNESS_DECAY_S = 4.0
SLOWNESS_EWMA_WEIGHT = 0.3
MAX_SLOWNESS = 12.0

WARM_FOR_S = 25.0
MAX_WARM_OBJECTS = 64

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0

FAILURE_SHARE_EWMA_WEIGHT = 0.2
FAILURE_SHARE_DECAY_S = 6.0
"""Decay time of the share of failures of a server that is not asked, so that
it is tried again."""

LATENCY_EWMA_WEIGHT = 0.1


class BackendState:
    """Load, speed, warm objects and health of a backend server.

    Attributes:
        entry: Its registration.
        in_flight: This host's requests in flight.
        cold_until_s: Time at which it has warmed up after its start.
        is_draining: Whether it gets no new work, because it drains or is no
            longer registered.
        is_suspect: Whether it was ejected and has not answered since; when
            the ejection ends, it gets one request at a time.
        others: Load that other hosts cause, between reports.
        pace: How long work takes there.
        work: Predicted work of this host's requests in flight.
    """

    __slots__ = (
        "_ejected_until_s",
        "_ejection_s",
        "_failure_share",
        "_failure_share_s",
        "_failures",
        "_other_load",
        "_reported_s",
        "_usual_load",
        "_slowness",
        "_slowness_s",
        "_warm",
        "_mean_latency_s",
        "cold_until_s",
        "entry",
        "in_flight",
        "is_suspect",
        "is_draining",
        "others",
        "pace",
        "work",
    )

    def __init__(
        self, entry: model.Backend, now: float, cold_until_s: float
    ) -> None:
        self.entry = entry
        self.in_flight = 0
        self.cold_until_s = cold_until_s
        self.is_draining = entry.is_draining
        self.is_suspect = False
        self.others = loads.LoadTrack(now)
        self.pace = paces.Pace()
        self.work = inhand.WorkInHand()
        self._other_load = 0.0
        self._usual_load = 0.0
        self._reported_s = now
        self._slowness = 1.0
        self._slowness_s = now
        self._mean_latency_s = 0.0
        self._failures = 0
        self._failure_share = 0.0
        self._failure_share_s = now
        self._ejection_s = FIRST_EJECTION_S
        self._ejected_until_s = now
        self._warm: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def is_cold(self, now: float) -> bool:
        """Tell whether it is still warming up after its start."""
        return now < self.cold_until_s

    def is_ejected(self, now: float) -> bool:
        """Tell whether it gets no work because of recent failures."""
        if now < self._ejected_until_s:
            return True
        return self.is_suspect and self.in_flight > 0

    def estimate_load(self, now: float) -> float:
        """Return its running and queued requests from all hosts."""
        age_s = now - self._reported_s
        momentary = self._other_load - self._usual_load
        others = self._estimate_usual_load(age_s) + momentary * math.exp(
            -age_s / LOAD_DECAY_S
        )
        return self.in_flight + max(0.0, others)

    def measure_report_age(self, now: float) -> float:
        """Return the age in seconds of the last load report."""
        return now - self._reported_s

    def estimate_wait(self, now: float, default_latency_s: float) -> float:
        """Return seconds until a slot is free for one more request.

        Args:
            now: Present time.
            default_latency_s: Latency assumed for a request before any answer
                of this server.
        """
        ahead = self.estimate_load(now) + 1.0 - self.entry.slots
        if ahead <= 0.0:
            return 0.0
        return (
            ahead
            / self.entry.slots
            * (self._mean_latency_s or default_latency_s)
        )

    def estimate_slowness(self, now: float) -> float:
        """Return the factor by which its latency exceeds the usual one."""
        decay = math.exp(-(now - self._slowness_s) / SLOWNESS_DECAY_S)
        return 1.0 + (self._slowness - 1.0) * decay

    def estimate_failure_share(self, now: float) -> float:
        """Return the share of requests that it fails.

        A server may fail a part of its requests while its health check, or
        the next request, is good, so that it is never ejected.
        """
        passed_s = now - self._failure_share_s
        return self._failure_share * math.exp(
            -passed_s / FAILURE_SHARE_DECAY_S
        )

    def record_outcome(self, is_failure: bool, now: float) -> None:
        """Record whether it failed a request that it could have run."""
        share = self.estimate_failure_share(now)
        self._failure_share = share + FAILURE_SHARE_EWMA_WEIGHT * (
            float(is_failure) - share
        )
        self._failure_share_s = now

    def is_warm_for(self, affinity_key: str, now: float) -> bool:
        """Tell whether this host recently saw it handle an object."""
        return now - self._warm.get(affinity_key, -math.inf) < WARM_FOR_S

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Record a load report, without this host's own requests."""
        age_s = now - self._reported_s
        self._other_load = max(0.0, running + waiting - self.in_flight)
        usual = self._estimate_usual_load(age_s)
        weight = 1.0 - math.exp(-age_s / USUAL_LOAD_WINDOW_S)
        self.others.record(self._other_load, now)
        self._usual_load = usual + weight * (self._other_load - usual)
        self._reported_s = now

    def record_peer_load(
        self, running: int, waiting: int, stated_s: float
    ) -> None:
        """Record a load report that another host heard, unless it is old.

        Args:
            running: Requests that the server worked on.
            waiting: Requests in its queue.
            stated_s: Time at which it said so.
        """
        if stated_s > self._reported_s:
            self.record_load(running, waiting, stated_s)

    def _estimate_usual_load(self, age_s: float) -> float:
        return self._usual_load * math.exp(-age_s / USUAL_LOAD_DECAY_S)

    def record_answer(
        self, affinity_key: str, took_s: float, baseline_s: float, now: float
    ) -> None:
        """Record an answer of the backend server.

        Args:
            affinity_key: The object that the request concerned, or empty.
            took_s: How long the server took.
            baseline_s: How long such a request usually takes.
            now: Present time.
        """
        self._failures = 0
        self.is_suspect = False
        self._ejection_s = FIRST_EJECTION_S
        self.record_outcome(False, now)
        ratio = min(MAX_SLOWNESS, took_s / max(baseline_s, 0.01))
        slowness = self.estimate_slowness(now)
        self._slowness = slowness + SLOWNESS_EWMA_WEIGHT * (ratio - slowness)
        self._slowness_s = now
        # Before its first answer, a server is assumed to be as usual.
        mean_s = self._mean_latency_s or baseline_s
        self._mean_latency_s = mean_s + LATENCY_EWMA_WEIGHT * (took_s - mean_s)
        if affinity_key:
            self._warm[affinity_key] = now
            self._warm.move_to_end(affinity_key)
            if len(self._warm) > MAX_WARM_OBJECTS:
                self._warm.popitem(last=False)

    def record_failure(self, now: float, is_down: bool) -> bool:
        """Record a failure; return whether the server is ejected for it.

        Args:
            now: Present time.
            is_down: Whether the server refuses connections or does not answer
                them; one such failure suffices to eject it.
        """
        self._failures += 1
        self.record_outcome(True, now)
        if not is_down and self._failures < FAILURES_TO_EJECT:
            return False
        if now >= self._ejected_until_s:
            self._ejected_until_s = now + self._ejection_s
            self._ejection_s = min(MAX_EJECTION_S, self._ejection_s * 2)
        self.is_suspect = True
        return True

    def clear_warm_objects(self) -> None:
        """Forget which objects it is warm for, as it may be cold again."""
        self._warm.clear()
