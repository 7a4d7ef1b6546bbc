"""The backend servers that this host owns, judged by real outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.config import model

EJECT_AFTER_FAILURES = 5
EJECT_MIN_S = 2.0
EJECT_MAX_S = 30.0
EJECT_MAX_FRACTION = 0.34
"""Largest part of a service's servers that may be ejected here at once."""

DRAIN_RECHECK_S = 5.0
POOL_SUSPECT_S = 30.0
LATENCY_EWMA_WEIGHT = 0.1
CANCEL_GRACE_S = 0.25
"""Time in which a backend server notices a closed connection."""


def name_resource(server: str) -> str:
    """Return the resource that stands for a server's slots."""
    return f"server:{server}"


class Backend:
    """One backend server as seen by the host that owns its slots.

    Attributes:
        in_flight: Requests in flight from this host.
        latency_s: Smoothed time to answer.
        ejected_until_s: No work before this moment.
        pool_suspect_until_s: Until then kept connections may be silent.
        ramp_start_s: When its ramp began; ``None`` if it is warm.
    """

    __slots__ = (
        "_eject_s",
        "_failures",
        "_held",
        "_newest_answered_s",
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
        self._failures = 0
        self._eject_s = EJECT_MIN_S
        self._held: list[float] = []
        self.pool_suspect_until_s = 0.0
        self._newest_answered_s = 0.0

    def count_used_slots(self, now: float) -> int:
        """Return the slots in use, counting those of lost requests."""
        if self._held:
            self._held = [until for until in self._held if until > now]
        return self.in_flight + len(self._held)

    def hold_slot(self, until_s: float) -> None:
        """Keep a slot back for a request that may still be running."""
        self._held.append(until_s)

    def is_unavailable(self, now: float) -> bool:
        """Tell whether the server gets no work at all."""
        return (
            self.server.state == "leaving"
            or now < self.draining_until_s
            or now < self.ejected_until_s
        )

    def limit_slots(self, usable: int, now: float, ramp_s: float) -> int:
        """Return the slots to use while the server gets warm."""
        if self.ramp_start_s is None or ramp_s <= 0.0:
            return usable
        part = (now - self.ramp_start_s) / ramp_s
        if part >= 1.0:
            self.ramp_start_s = None
            return usable
        return min(usable, max(1, int(usable * part)))

    def record_answer(
        self, latency_s: float, failed: bool, now: float
    ) -> None:
        """Learn from an answer."""
        started_s = now - latency_s
        self._newest_answered_s = max(self._newest_answered_s, started_s)
        weight = LATENCY_EWMA_WEIGHT if self.latency_s else 1.0
        self.latency_s += weight * (latency_s - self.latency_s)
        if failed:
            self._failures += 1
            return
        self._failures = 0
        self._eject_s = EJECT_MIN_S

    def is_overtaken(self, started_s: float, now: float) -> bool:
        """Tell whether a request waits while much later ones are answered.

        A server that is slow for all is not silent: nothing started in the
        second half of the wait would have been answered either.
        """
        return self._newest_answered_s > (started_s + now) / 2

    def mark_pool_suspect(self, now: float) -> None:
        """Open a connection for each request until the kept ones end."""
        self.pool_suspect_until_s = now + POOL_SUSPECT_S

    def record_failure(self) -> None:
        """Learn from a request that got no answer."""
        self._failures += 1

    def record_draining(self, now: float) -> None:
        """Learn that the server takes no new work."""
        self.draining_until_s = now + DRAIN_RECHECK_S
        self.ramp_start_s = now + DRAIN_RECHECK_S

    def should_eject(self) -> bool:
        """Tell whether enough failed in a row."""
        return self._failures >= EJECT_AFTER_FAILURES

    def eject(self, now: float) -> float:
        """Stop sending work for a while, longer each time.

        Returns:
            The seconds.
        """
        lasts_s = self._eject_s
        self.ejected_until_s = now + lasts_s
        self.ramp_start_s = self.ejected_until_s
        self._failures = EJECT_AFTER_FAILURES - 1
        self._eject_s = min(EJECT_MAX_S, self._eject_s * 2)
        return lasts_s
