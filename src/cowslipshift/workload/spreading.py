"""Spreads each region's requests over the regions' servers.

It joins what hosts know of demand and of load where many hosts share the
servers, or where some requests may run in some regions only; elsewhere the
shares follow from the sizes of the regions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.steering import placement
from cowslipshift.workload import demand as demands
from cowslipshift.workload import regionshares

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cowslipshift.steering import inventory as inventories
    from cowslipshift.steering import membership as memberships

INTERVAL_S = 0.5
"""Time between two adjustments."""


class RegionSpreader:
    """The shares of all services, as this host applies them.

    Args:
        membership: The hosts.
        inventory: The servers.
        regions: Region by data centre.

    Attributes:
        has_bound_demand: Whether some requests may run in some regions only.
        demand: Requests of callers by service.
        generation: Increases with each change of the shares.
    """

    __slots__ = (
        "_by_service",
        "_inventory",
        "_membership",
        "_regions",
        "_updated_s",
        "demand",
        "generation",
        "has_bound_demand",
    )

    def __init__(
        self,
        membership: memberships.Membership,
        inventory: inventories.Inventory,
        regions: Mapping[str, str],
    ) -> None:
        self.demand = demands.DemandTable(membership.own.region)
        self.generation = 0
        self.has_bound_demand = False
        self._membership = membership
        self._inventory = inventory
        self._regions = regions
        self._by_service: dict[str, regionshares.RegionShares] = {}
        self._updated_s = 0.0

    @property
    def is_active(self) -> bool:
        """Whether shares follow demand."""
        return self._membership.uses_relays or self.has_bound_demand

    def get_shares(self, service: str) -> Mapping[str, float] | None:
        """Return the shares of a service; ``None`` for those by size."""
        shares = self._by_service.get(service)
        return None if shares is None else shares.shares

    def adjust(self, now: float) -> list[str]:
        """Follow the demand, if it is time for that.

        Returns:
            Services whose shares changed enough to tell operators.
        """
        if not self.is_active or now - self._updated_s < INTERVAL_S:
            return []
        self._updated_s = now
        rooms_by_service = self._measure_rooms(now)
        demand = self.demand.sum_up(rooms_by_service, now)
        for service, rooms in rooms_by_service.items():
            self._adjust_service(service, demand[service], rooms, now)
        return [
            service
            for service, shares in self._by_service.items()
            if shares.take_report()
        ]

    def _adjust_service(
        self,
        service: str,
        demand: demands.Demand,
        rooms: dict[str, regionshares.RegionRoom],
        now: float,
    ) -> None:
        own_region = self._membership.own.region
        slots = {region: room.slots for region, room in rooms.items()}
        regions = set(self._regions.values())
        usual = {
            region: regionshares.normalise(
                placement.compute_region_shares(region, slots, len(regions))
            )
            for region in regions
        }
        target = regionshares.divide_requests(own_region, demand, rooms, usual)
        if target is None:
            return
        shares = self._by_service.get(service)
        if shares is None:
            shares = regionshares.RegionShares(usual[own_region], now)
            self._by_service[service] = shares
        if shares.follow(target, now):
            self.generation += 1

    def _measure_rooms(
        self, now: float
    ) -> dict[str, dict[str, regionshares.RegionRoom]]:
        rooms: dict[str, dict[str, regionshares.RegionRoom]] = {}
        for state in self._inventory.by_id.values():
            centre = state.entry.data_centre
            if state.is_draining or centre in self._inventory.evacuated:
                continue
            region = self._regions.get(centre, "")
            by_region = rooms.setdefault(state.entry.service, {})
            known = by_region.get(region, regionshares.RegionRoom(0.0, 0.0))
            by_region[region] = regionshares.RegionRoom(
                known.slots + state.entry.slots,
                known.load + state.estimate_load(now),
            )
        return rooms
