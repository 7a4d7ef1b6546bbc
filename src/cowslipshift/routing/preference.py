"""The order of regions for look-ups and requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.serving import calls
    from cowslipshift.world import atlas as atlases


class RegionOrder:
    """Orders regions by distance, and by weight where weights differ.

    Args:
        region: Region of this host.
        clock: Source of the present time.
    """

    def __init__(self, region: str, clock: clocks.Clock) -> None:
        self._region = region
        self._clock = clock

    def order_for_lookup(
        self,
        atlas: atlases.Atlas,
        service: str,
        block: str,
        origin: str,
        wall_s: float,
    ) -> list[str]:
        """Return regions for a look-up, best first.

        Args:
            atlas: The configuration in force.
            service: The service.
            block: The client block.
            origin: Region nearest to the block.
            wall_s: Unix time in seconds.
        """
        return atlas.fleet.order_regions(origin)

    def order_for_call(
        self, atlas: atlases.Atlas, call: calls.Call
    ) -> list[str]:
        """Return regions for a request, best first."""
        return atlas.fleet.order_regions(self._region)
