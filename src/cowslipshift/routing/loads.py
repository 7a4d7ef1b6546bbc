"""Load of other hosts, as they report it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.peers import messages

STALE_AFTER_S = 4.0


class HostLoad:
    """Latest reported load of one host for one service.

    Attributes:
        usable: Slots that the host may use.
        in_use: Slots in use.
        queued: Requests waiting for a slot.
        in_flight: Requests that this host sent there and that are not
            answered yet.
        reported_s: Monotonic time in seconds of the report.
    """

    __slots__ = ("reported_s", "in_use", "queued", "in_flight", "usable")

    def __init__(self) -> None:
        self.usable = 0
        self.in_use = 0
        self.queued = 0
        self.in_flight = 0
        self.reported_s = 0.0

    @property
    def free_slots(self) -> int:
        """Estimated number of free slots; negative if requests are queued."""
        return self.usable - max(self.in_use, self.in_flight) - self.queued

    @property
    def requests_per_slot(self) -> float:
        """Requests per slot, including queued ones."""
        if self.usable <= 0:
            return float("inf")
        return (max(self.in_use, self.in_flight) + self.queued) / self.usable


class LoadTable:
    """Load of other hosts by service."""

    def __init__(self) -> None:
        self._loads: dict[tuple[str, str], HostLoad] = {}
        self._reported: set[str] = set()

    def has_report(self, host: str) -> bool:
        """Return whether a host has reported since it was linked."""
        return host in self._reported

    def record_report(
        self, host: str, load: messages.ServiceLoad, now: float
    ) -> None:
        """Store the load of a host for one service."""
        host_load = self._loads.setdefault((host, load.service), HostLoad())
        host_load.usable = load.usable
        host_load.in_use = load.in_use
        host_load.queued = load.queued
        host_load.reported_s = now

    def replace_reports(
        self, host: str, loads: list[messages.ServiceLoad], now: float
    ) -> None:
        """Store a full report; services missing from it have no slots."""
        self._reported.add(host)
        reported = {load.service for load in loads}
        for (reporter, service), host_load in self._loads.items():
            if reporter == host and service not in reported:
                host_load.usable = 0
        for load in loads:
            self.record_report(host, load, now)

    def forget_host(self, host: str) -> None:
        """Mark a host that is gone as having no report and no slots."""
        self._reported.discard(host)
        for (reporter, _), host_load in self._loads.items():
            if reporter == host:
                host_load.usable = 0

    def get_load(self, host: str, service: str, now: float) -> HostLoad | None:
        """Return the load of a host if it is recent and has usable slots."""
        host_load = self._loads.get((host, service))
        if host_load is None or host_load.usable <= 0:
            return None
        if now - host_load.reported_s > STALE_AFTER_S:
            return None
        return host_load

    def adjust_in_flight(self, host: str, service: str, delta: int) -> None:
        """Add 1 when a request is sent to a host, -1 when it has ended."""
        host_load = self._loads.setdefault((host, service), HostLoad())
        host_load.in_flight += delta
