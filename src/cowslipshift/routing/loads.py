"""What this host knows of the load of others."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.peers import messages

STALE_AFTER_S = 4.0


class HostLoad:
    """The latest report of one host on one service.

    Attributes:
        sent: Requests sent there since the report that are not answered.
        heard_s: When the report came.
    """

    __slots__ = ("heard_s", "in_use", "queued", "sent", "usable")

    def __init__(self) -> None:
        self.usable = 0
        self.in_use = 0
        self.queued = 0
        self.sent = 0
        self.heard_s = 0.0

    @property
    def free(self) -> int:
        """Slots that are probably free."""
        return self.usable - max(self.in_use, self.sent) - self.queued

    @property
    def pressure(self) -> float:
        """Requests for each slot, waiting ones included."""
        if self.usable <= 0:
            return float("inf")
        return (max(self.in_use, self.sent) + self.queued) / self.usable


class LoadBoard:
    """The loads of other hosts by service."""

    def __init__(self) -> None:
        self._loads: dict[tuple[str, str], HostLoad] = {}
        self._reported: set[str] = set()

    def has_report(self, host: str) -> bool:
        """Tell whether a host has reported since it was linked."""
        return host in self._reported

    def note_report(
        self, host: str, load: messages.ServiceLoad, now: float
    ) -> None:
        """Take a report."""
        entry = self._loads.setdefault((host, load.service), HostLoad())
        entry.usable = load.usable
        entry.in_use = load.in_use
        entry.queued = load.queued
        entry.heard_s = now

    def note_reports(
        self, host: str, loads: list[messages.ServiceLoad], now: float
    ) -> None:
        """Take a whole report; services that it lacks have no slots."""
        self._reported.add(host)
        named = {load.service for load in loads}
        for (known, service), entry in self._loads.items():
            if known == host and service not in named:
                entry.usable = 0
        for load in loads:
            self.note_report(host, load, now)

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
        if now - entry.heard_s > STALE_AFTER_S:
            return None
        return entry

    def note_sent(self, host: str, service: str, delta: int) -> None:
        """Count a request sent to a host, or one that came back."""
        entry = self._loads.setdefault((host, service), HostLoad())
        entry.sent += delta
