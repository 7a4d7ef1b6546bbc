"""Bandwidth limits of the links between regions: this host's share of each."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.config import model
    from cowslipshift.topology import fleet

BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000
BURST_S = 0.5
"""Burst that may be sent at once, in seconds of the limit."""


class LinkBudget:
    """Token bucket of the bytes that this host may send over one link.

    The limit is divided evenly among the hosts of the sending region, so
    that together they never exceed it.
    """

    __slots__ = ("_bytes", "_bytes_per_s", "_filled_s")

    def __init__(self, bytes_per_s: float, now: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._bytes = bytes_per_s * BURST_S
        self._filled_s = now

    def try_take(self, size: int, now: float) -> bool:
        """Take the bytes of a request and its expected answer.

        Returns:
            Whether there were enough; otherwise none are taken.
        """
        elapsed_s = max(0.0, now - self._filled_s)
        self._filled_s = now
        limit = self._bytes_per_s * BURST_S
        self._bytes = min(limit, self._bytes + self._bytes_per_s * elapsed_s)
        if self._bytes < size:
            return False
        self._bytes -= size
        return True


class LinkTable:
    """This host's budgets of the links from its region to others."""

    def __init__(
        self,
        configuration: model.Configuration,
        topology: fleet.Fleet,
        region: str,
        now: float,
    ) -> None:
        host_count = sum(
            len(centre.hosts)
            for centre in topology.regions[region].data_centres
        )
        self._budgets: dict[str, LinkBudget] = {}
        for link in configuration.links:
            if region in link.regions:
                other = link.regions[link.regions[0] == region]
                limit = link.limit_mbit * BITS_PER_MBIT / BITS_PER_BYTE
                host_limit = limit / max(1, host_count)
                self._budgets[other] = LinkBudget(host_limit, now)

    def try_take(self, region: str, size: int, now: float) -> bool:
        """Take bytes of the link to a region, if one is configured.

        Returns:
            Whether there were enough; always true without a link.
        """
        budget = self._budgets.get(region)
        return budget is None or budget.try_take(size, now)
