"""Work that this host's requests in flight still mean for a server."""

from __future__ import annotations

OVERRUN_SHARE = 0.5
"""What is left of work that took longer than predicted, as a share of the time
that it has taken."""


class WorkInHand:
    """Predicted work of this host's requests at one server."""

    __slots__ = ("_started",)

    def __init__(self) -> None:
        self._started: dict[str, tuple[float, float]] = {}

    def add(self, request_id: str, work_s: float, now: float) -> None:
        """Add a request that was sent.

        Args:
            request_id: Id of the request.
            work_s: Predicted work in seconds, at the usual pace.
            now: Present time.
        """
        self._started[request_id] = work_s, now

    def remove(self, request_id: str) -> None:
        """Remove a request that ended or was given up."""
        self._started.pop(request_id, None)

    def measure_left(self, now: float) -> float:
        """Return the seconds of work that are left, as if all of it ran."""
        return sum(
            max(work_s - (now - sent_s), OVERRUN_SHARE * (now - sent_s))
            for work_s, sent_s in self._started.values()
        )
