"""Health and load of the backend servers whose slots this host owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.config import model

EJECT_AFTER_FAILURES = 5
EJECT_MIN_S = 2.0
EJECT_MAX_S = 30.0
EJECT_MAX_FRACTION = 0.34
"""Largest fraction of a service's servers that a host ejects at once."""

DRAIN_RECHECK_S = 5.0
POOL_SUSPECT_S = 30.0
LATENCY_EWMA_WEIGHT = 0.1
CANCEL_GRACE_S = 0.25
"""Time in which a backend server notices a closed connection."""


def name_resource(server: str) -> str:
    """Return the name of the resource for a server's slots."""
    return f"server:{server}"


class Backend:
    """One backend server as seen by the host that owns its slots.

    Attributes:
        in_flight: Requests in flight from this host.
        latency_s: Smoothed time to answer; 0 before the first answer.
        ejected_until_s: The server gets no requests before this time.
        pool_suspect_until_s: Until then pooled connections may have stalled.
        ramp_start_s: When its cold-start ramp begins; ``None`` if it is warm.
    """

    __slots__ = (
        "_next_eject_s",
        "_consecutive_failures",
        "_held_until_s",
        "_latest_answered_start_s",
        "draining_until_s",
        "ejected_until_s",
        "latency_s",
        "resource",
        "in_flight",
        "server",
        "pool_suspect_until_s",
        "ramp_start_s",
    )

    def __init__(
        self, server: model.Server, now: float, is_cold: bool
    ) -> None:
        self.server = server
        self.resource = name_resource(server.name)
        self.in_flight = 0
        self.latency_s = 0.0
        self.ejected_until_s = 0.0
        self.draining_until_s = 0.0
        self.ramp_start_s: float | None = now if is_cold else None
        self._consecutive_failures = 0
        self._next_eject_s = EJECT_MIN_S
        self._held_until_s: list[float] = []
        self.pool_suspect_until_s = 0.0
        self._latest_answered_start_s = 0.0

    def count_used_slots(self, now: float) -> int:
        """Return the slots in use, including those held for lost requests."""
        if self._held_until_s:
            self._held_until_s = [
                until for until in self._held_until_s if until > now
            ]
        return self.in_flight + len(self._held_until_s)

    def hold_slot(self, until_s: float) -> None:
        """Count a slot as used by a request that may still be running."""
        self._held_until_s.append(until_s)

    def is_unavailable(self, now: float) -> bool:
        """Tell whether the server gets no requests at all."""
        return (
            self.server.state == "leaving"
            or now < self.draining_until_s
            or now < self.ejected_until_s
        )

    def limit_slots(self, usable: int, now: float, ramp_s: float) -> int:
        """Return the slots to use, fewer while the server ramps up."""
        if self.ramp_start_s is None or ramp_s <= 0.0:
            return usable
        fraction = (now - self.ramp_start_s) / ramp_s
        if fraction >= 1.0:
            self.ramp_start_s = None
            return usable
        return min(usable, max(1, int(usable * fraction)))

    def record_answer(
        self, latency_s: float, failed: bool, now: float
    ) -> None:
        """Update latency and failure count from an answer."""
        started_s = now - latency_s
        self._latest_answered_start_s = max(
            self._latest_answered_start_s, started_s
        )
        weight = LATENCY_EWMA_WEIGHT if self.latency_s else 1.0
        self.latency_s += weight * (latency_s - self.latency_s)
        if failed:
            self._consecutive_failures += 1
            return
        self._consecutive_failures = 0
        self._next_eject_s = EJECT_MIN_S

    def is_overtaken(self, started_s: float, now: float) -> bool:
        """Tell whether a much later request was answered before this one.

        Only requests that started in the second half of the wait count: a
        server that is slow for all requests would not have answered those
        either, so that slowness is not taken for a stall.
        """
        return self._latest_answered_start_s > (started_s + now) / 2

    def mark_pool_suspect(self, now: float) -> None:
        """Open a connection for each request until pooled ones expire."""
        self.pool_suspect_until_s = now + POOL_SUSPECT_S

    def record_failure(self) -> None:
        """Count a request that got no answer as a failure."""
        self._consecutive_failures += 1

    def record_draining(self, now: float) -> None:
        """Record that the server accepts no new requests."""
        self.draining_until_s = now + DRAIN_RECHECK_S
        self.ramp_start_s = now + DRAIN_RECHECK_S

    def should_eject(self) -> bool:
        """Tell whether enough requests failed in a row."""
        return self._consecutive_failures >= EJECT_AFTER_FAILURES

    def eject(self, now: float) -> float:
        """Stop sending requests for a while, each time twice as long.

        Returns:
            The duration in seconds.
        """
        duration_s = self._next_eject_s
        self.ejected_until_s = now + duration_s
        self.ramp_start_s = self.ejected_until_s
        self._consecutive_failures = EJECT_AFTER_FAILURES - 1
        self._next_eject_s = min(EJECT_MAX_S, self._next_eject_s * 2)
        return duration_s
