"""Round-trip times to the data centres, learnt from new connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

INITIAL_LOCAL_S = 0.002
INITIAL_REMOTE_S = 0.03
"""Round trips within and between regions, until one has been measured."""

EWMA_WEIGHT = 0.2
MAX_SAMPLE_S = 0.4
"""A connection that took longer was lost or queued on the way."""


class RoundTrips:
    """Estimated round trips from the own host.

    Args:
        own_region: Region of the own host.
        regions: Region by data centre.
    """

    __slots__ = ("_by_data_centre", "_by_region", "_own_region", "_regions")

    def __init__(self, own_region: str, regions: Mapping[str, str]) -> None:
        self._own_region = own_region
        self._regions = regions
        self._by_data_centre: dict[str, float] = {}
        self._by_region: dict[str, float] = {}

    def record(self, data_centre: str, took_s: float) -> None:
        """Record how long it took to open a connection to a data centre."""
        if not 0.0 <= took_s <= MAX_SAMPLE_S:
            return
        region = self._regions.get(data_centre, "")
        _update(self._by_data_centre, data_centre, took_s)
        _update(self._by_region, region, took_s)

    def estimate(self, data_centre: str) -> float:
        """Return the estimated round trip to a data centre in seconds."""
        known_s = self._by_data_centre.get(data_centre)
        if known_s is not None:
            return known_s
        region = self._regions.get(data_centre, "")
        initial_s = (
            INITIAL_LOCAL_S if region == self._own_region else INITIAL_REMOTE_S
        )
        return self._by_region.get(region, initial_s)


def _update(estimates: dict[str, float], key: str, sample: float) -> None:
    known = estimates.get(key, sample)
    estimates[key] = known + EWMA_WEIGHT * (sample - known)
