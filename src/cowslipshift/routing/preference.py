"""Order of regions for look-ups and requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.serving import calls
    from cowslipshift.topology import index as indexes


class RegionOrder:
    """Orders regions by distance and by their traffic weight.

    While a traffic shift is in progress, a hash of the request id decides
    whether a request stays in a place. The shifted share is therefore exact,
    independent of the size of callers and of look-ups they have cached.
    Look-ups put a region last only while its weight is 0, and use it again as
    soon as its weight rises above 0.

    Args:
        region: Region of this host.
        clock: Source of the present time.
    """

    def __init__(self, region: str, clock: clocks.Clock) -> None:
        self._region = region
        self._clock = clock

    def order_for_lookup(
        self,
        config_index: indexes.ConfigurationIndex,
        service: str,
        block: str,
        origin: str,
        wall_s: float,
    ) -> list[str]:
        """Return regions for a look-up, best first.

        Args:
            config_index: Active configuration.
            service: Name of the service.
            block: Client block in CIDR notation.
            origin: Region nearest to the client block.
            wall_s: Unix time in seconds.
        """
        regions = config_index.fleet.order_regions(origin)
        return sorted(
            regions,
            key=lambda region: (
                config_index.weights.compute_weight(service, region, wall_s)
                <= 0.0
            ),
        )

    def order_for_call(
        self, config_index: indexes.ConfigurationIndex, call: calls.Call
    ) -> list[str]:
        """Return regions for a request, best first.

        A region that the request does not stay in comes last and is used only
        if no other region has capacity. A region with weight 0 is left out.
        """
        origin = call.origin or self._region
        wall_s = self._clock.wall()
        staying: list[str] = []
        moving: list[str] = []
        for region in config_index.fleet.order_regions(origin):
            weight = config_index.weights.compute_weight(
                call.service, region, wall_s
            )
            if weight >= 1.0 or self.is_retained(call, region, weight):
                staying.append(region)
            elif weight > 0.0:
                moving.append(region)
        return staying + moving

    def filter_centres(
        self,
        config_index: indexes.ConfigurationIndex,
        call: calls.Call,
        region: str,
    ) -> list[str]:
        """Return the data centres of a region in which a request stays."""
        wall_s = self._clock.wall()
        staying = []
        for centre in config_index.fleet.regions[region].data_centres:
            weight = config_index.weights.compute_weight(
                call.service, centre.name, wall_s
            )
            if weight >= 1.0 or self.is_retained(call, centre.name, weight):
                staying.append(centre.name)
        return staying

    def is_retained(self, call: calls.Call, place: str, weight: float) -> bool:
        """Return whether a request stays in a place with this weight."""
        unit = call.key or call.id
        return hashing.hash_fraction(f"{place}|{unit}") < weight
