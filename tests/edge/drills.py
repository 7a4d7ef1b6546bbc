"""A fleet whose store comes back from an older copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from cowslipshift.edge import service as edge_service

NOISE_KEY = "cowslipshift/other"
AWAY_S = 0.7
IN_FORCE_S = 2.0


class Drill:
    """A fleet whose store loses what was written since a copy was taken."""

    def __init__(self, fleet: platformfleet.PlatformFleet) -> None:
        self.fleet = fleet
        self.store = fleet.store

    async def lose(self, writes: int) -> None:
        """Write something else, then come back from the copy."""
        for number in range(writes):
            self.store.put(NOISE_KEY, b"%d" % number)
        await self.settle()
        self.store.faults.status = 503
        self.store.cut_watches()
        await asyncio.sleep(AWAY_S)
        self.store.come_back()
        self.store.faults.status = 0

    async def settle(self) -> None:
        """Wait until all hosts have the present state of the store."""
        await platformfleet.wait_until(
            lambda: all(
                host.revision >= self.store.revision
                for host in self.fleet.hosts
            )
        )

    async def wait_for_era(self) -> None:
        await platformfleet.wait_until(
            lambda: all(
                host.position.era == self.store.era
                for host in self.fleet.hosts
            )
        )

    async def wait_in_force(self, version: int) -> None:
        async with asyncio.timeout(IN_FORCE_S):
            while any(h.balancer.version < version for h in self.fleet.hosts):
                await asyncio.sleep(0.02)

    def write_again(self) -> None:
        """Let the servers write their entries again."""
        for identity in self.fleet.backends:
            self.fleet.update_backend_state(identity, "ready")

    async def add_server(self) -> str:
        """Start another server; return its id."""
        await self.fleet.add_backend(platformfleet.READ_SERVICE, "north-a")
        return list(self.fleet.backends)[-1]

    def list_servers(self, host: edge_service.EdgeService) -> set[str]:
        return set(host.balancer.inventory.by_id)
