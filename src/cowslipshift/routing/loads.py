"""What this host knows of the load of others."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.peers import messages

STALE_AFTER_S = 4.0


class HostLoad:
    """The latest report of one host on one service.

    Attributes:
        in_flight: Requests sent there since the report that are not answered.
        reported_s: When the report came.
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
        """Slots that are probably free."""
        return self.usable - max(self.in_use, self.in_flight) - self.queued

    @property
    def requests_per_slot(self) -> float:
        """Requests for each slot, waiting ones included."""
        if self.usable <= 0:
            return float("inf")
        return (max(self.in_use, self.in_flight) + self.queued) / self.usable


class LoadTable:
    """The loads of other hosts by service."""

    def __init__(self) -> None:
        self._loads: dict[tuple[str, str], HostLoad] = {}
        self._reported: set[str] = set()

    def has_report(self, host: str) -> bool:
        """Tell whether a host has reported since it was linked."""
        return host in self._reported

    def record_report(
        self, host: str, load: messages.ServiceLoad, now: float
    ) -> None:
        """Take a report."""
        entry = self._loads.setdefault((host, load.service), HostLoad())
        entry.usable = load.usable
        entry.in_use = load.in_use
        entry.queued = load.queued
        entry.reported_s = now

    def replace_reports(
        self, host: str, loads: list[messages.ServiceLoad], now: float
    ) -> None:
        """Take a whole report; services that it lacks have no slots."""
        self._reported.add(host)
        named = {load.service for load in loads}
        for (known, service), entry in self._loads.items():
            if known == host and service not in named:
                entry.usable = 0
        for load in loads:
            self.record_report(host, load, now)

    def forget_host(self, host: str) -> None:
        """Drop the reports of a host that went."""
        self._reported.discard(host)
        for (known, _), entry in self._loads.items():
            if known == host:
                entry.usable = 0

    def get_load(self, host: str, service: str, now: float) -> HostLoad | None:
        """Return a host's load if it was heard lately and has slots."""
        entry = self._loads.get((host, service))
        if entry is None or entry.usable <= 0:
            return None
        if now - entry.reported_s > STALE_AFTER_S:
            return None
        return entry

    def adjust_in_flight(self, host: str, service: str, delta: int) -> None:
        """Count a request sent to a host, or one that came back."""
        entry = self._loads.setdefault((host, service), HostLoad())
        entry.in_flight += delta
