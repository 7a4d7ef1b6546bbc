"""Regions, data centres, hosts and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.config import model

LOCAL_LATENCY_MS = 1.0
UNKNOWN_LATENCY_MS = 1_000.0


class DataCentre:
    """A data centre with its hosts and backend servers.

    Attributes:
        hosts: Names of its hosts.
        servers: Its backend servers by service.
    """

    __slots__ = ("hosts", "name", "region", "servers")

    def __init__(self, name: str, region: str) -> None:
        self.name = name
        self.region = region
        self.hosts: list[str] = []
        self.servers: dict[str, list[model.Server]] = {}


class Region:
    """A region with its data centres.

    Attributes:
        capacity: Limit of concurrent requests, or ``None``.
    """

    __slots__ = ("capacity", "data_centres", "name")

    def __init__(self, name: str, capacity: int | None) -> None:
        self.name = name
        self.capacity = capacity
        self.data_centres: list[DataCentre] = []

    def count_slots(self, service: str | None = None) -> int:
        """Return the number of slots of one service, or of all services."""
        return sum(
            server.slots
            for centre in self.data_centres
            for name, servers in centre.servers.items()
            if service in (None, name)
            for server in servers
        )


class Fleet:
    """All regions, data centres, hosts and servers of a configuration."""

    def __init__(self, configuration: model.Configuration) -> None:
        self.regions = {
            region.name: Region(region.name, region.capacity)
            for region in configuration.regions
        }
        self.data_centres: dict[str, DataCentre] = {}
        for entry in configuration.data_centres:
            centre = DataCentre(entry.name, entry.region)
            self.data_centres[entry.name] = centre
            self.regions[entry.region].data_centres.append(centre)
        self.hosts = {host.name: host for host in configuration.hosts}
        for host in configuration.hosts:
            self.data_centres[host.data_centre].hosts.append(host.name)
        self.servers = {
            server.name: server for server in configuration.servers
        }
        for server in configuration.servers:
            servers = self.data_centres[server.data_centre].servers
            servers.setdefault(server.service, []).append(server)
        self._orders: dict[str, list[str]] = {}
        self._latencies: dict[tuple[str, str], float] = {}
        for link in configuration.links:
            first, second = link.regions
            self._latencies[first, second] = link.latency_ms
            self._latencies[second, first] = link.latency_ms

    def find_region(self, host: str) -> str | None:
        """Return the name of a host's region."""
        entry = self.hosts.get(host)
        if entry is None:
            return None
        return self.data_centres[entry.data_centre].region

    def get_latency_ms(self, first: str, second: str) -> float:
        """Return the one-way latency between two regions."""
        if first == second:
            return LOCAL_LATENCY_MS
        return self._latencies.get((first, second), UNKNOWN_LATENCY_MS)

    def order_regions(self, origin: str) -> list[str]:
        """Return all regions by latency from a region, nearest first."""
        order = self._orders.get(origin)
        if order is None:
            order = self._orders[origin] = sorted(
                self.regions,
                key=lambda name: (self.get_latency_ms(origin, name), name),
            )
        return order

    def list_centres(self, service: str) -> list[str]:
        """Return the names of data centres that have servers of a service."""
        return sorted(
            centre.name
            for centre in self.data_centres.values()
            if centre.servers.get(service)
        )
