"""How many requests each region's callers send to each service.

Hosts count their own callers' requests and tell each other the rates with
their heartbeats. What may run in some regions only is told for these.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

ANY_REGION = ""
"""Stands for requests that may run in every region."""

WINDOW_S = 2.0
"""Window of the mean rate, several heartbeat intervals."""

MAX_REPORTS = 16
"""Rates that one heartbeat reports, the highest ones first."""

MIN_RATE = 0.05
"""Lower rates, in requests per second, are not reported."""

MAX_AGE_S = 5.0
"""A host that reported nothing for so long has no callers, or is gone."""


class DemandReport(msgspec.Struct, frozen=True):
    """Rate at which callers of one host ask for a service.

    Attributes:
        service: Name of the service.
        region: Region that has to serve them; `ANY_REGION` for all.
        rate: Requests per second.
    """

    service: str
    region: str
    rate: float


class Demand(msgspec.Struct, frozen=True):
    """Requests per second for one service.

    Attributes:
        movable: Those that may run anywhere, by the region of the callers.
        bound: Those that may run in some regions only, by these regions.
    """

    movable: dict[str, float]
    bound: dict[str, float]


class _Rate:
    """Mean rate over a window that forgets exponentially."""

    __slots__ = ("_count", "_updated_s")

    def __init__(self, now: float) -> None:
        self._count = 0.0
        self._updated_s = now

    def add(self, amount: float, now: float) -> None:
        """Count requests."""
        self._count = self._decay(now) + amount
        self._updated_s = max(now, self._updated_s)

    def measure(self, now: float) -> float:
        """Return requests per second."""
        return self._decay(now) / WINDOW_S

    def _decay(self, now: float) -> float:
        passed_s = max(0.0, now - self._updated_s)
        return self._count * math.exp(-passed_s / WINDOW_S)


class DemandTable:
    """The demand of this host's callers and of the other hosts'.

    Args:
        own_region: Region of this host.
    """

    __slots__ = ("_own", "_own_region", "_peers")

    def __init__(self, own_region: str) -> None:
        self._own_region = own_region
        self._own: dict[tuple[str, str], _Rate] = {}
        self._peers: dict[str, tuple[str, float, list[DemandReport]]] = {}

    def record_request(
        self, service: str, regions: Collection[str] | None, now: float
    ) -> None:
        """Count a request of a caller.

        Args:
            service: The service that it goes to.
            regions: Regions that may run it; ``None`` for all.
            now: Present time.
        """
        names = (ANY_REGION,) if regions is None else regions
        for region in names:
            rate = self._own.get((service, region))
            if rate is None:
                rate = self._own[service, region] = _Rate(now)
            rate.add(1.0 / len(names), now)

    def list_reports(self, now: float) -> list[DemandReport]:
        """Return the rates to tell the other hosts."""
        reports = [
            DemandReport(service, region, rate.measure(now))
            for (service, region), rate in self._own.items()
        ]
        reports = [report for report in reports if report.rate >= MIN_RATE]
        reports.sort(key=lambda report: report.rate, reverse=True)
        return reports[:MAX_REPORTS]

    def record_peer(
        self,
        host: str,
        region: str,
        reports: Iterable[DemandReport],
        now: float,
    ) -> None:
        """Record what another host reported; `now` is when it did."""
        self._peers[host] = (region, now, list(reports))

    def sum_up(self, services: Iterable[str], now: float) -> dict[str, Demand]:
        """Return the demand of all hosts by service."""
        self._forget_silent(now)
        demands = {service: Demand({}, {}) for service in services}
        listed = [(self._own_region, self.list_reports(now))]
        listed += [(region, rows) for region, _, rows in self._peers.values()]
        for region, rows in listed:
            for row in rows:
                demand = demands.get(row.service)
                if demand is None:
                    continue
                if row.region == ANY_REGION:
                    rates, key = demand.movable, region
                else:
                    rates, key = demand.bound, row.region
                rates[key] = rates.get(key, 0.0) + row.rate
        return demands

    def _forget_silent(self, now: float) -> None:
        for host, (_, heard_s, _) in list(self._peers.items()):
            if now - heard_s > MAX_AGE_S:
                del self._peers[host]
