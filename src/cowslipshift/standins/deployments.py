"""Descriptions of small deployments and the configurations they define."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cowslipshift.config import model
from cowslipshift.standins import portreservations
from cowslipshift.topology import accounts

if TYPE_CHECKING:
    from collections.abc import Iterator

LOOPBACK_ADDRESS = portreservations.LOOPBACK_ADDRESS
LINK_LATENCY_MS = 12.0
LINK_LIMIT_MBIT = 4_000.0


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service and its backend servers.

    Attributes:
        servers: Number of servers, spread evenly over the data centres.
        service_ms: Service time of a request.
    """

    name: str
    servers: int
    slots: int
    service_ms: float
    routes: tuple[model.Route, ...]
    max_deadline_ms: int = 5_000


class Deployment(msgspec.Struct, frozen=True):
    """Size of a deployment, its services and its client accounts.

    Attributes:
        hosts_by_region: Number of hosts by region and data centre.
        services: The services with their backend servers.
        accounts: Rate per second and burst by client account.
    """

    hosts_by_region: dict[str, dict[str, int]]
    services: tuple[ServiceSpec, ...]
    accounts: dict[str, tuple[float, float]]


READ_ROUTES = (model.Route(name="/"), model.Route(name="/open", open=True))
WRITE_ROUTES = (
    model.Route(name="/", idempotent=False),
    model.Route(name="/status"),
)

ANDINA = Deployment(
    hosts_by_region={
        "andina": {"medellin": 2, "cali": 2},
        "costa": {"barranquilla": 2, "cartagena": 2},
        "sabana": {"bogota": 1, "tunja": 1},
    },
    services=(
        ServiceSpec("catalogue", 12, 5, 20.0, READ_ROUTES),
        ServiceSpec("approvals", 12, 3, 30.0, WRITE_ROUTES),
        ServiceSpec("compliance", 16, 6, 40.0, READ_ROUTES, 10_000),
    ),
    accounts={
        "grande-1": (300.0, 300.0),
        "grande-2": (300.0, 300.0),
        **{f"taller-{n}": (60.0, 60.0) for n in range(1, 7)},
    },
)

SMALL = Deployment(
    hosts_by_region={
        "north": {"north-a": 2, "north-b": 1},
        "south": {"south-a": 2},
    },
    services=(
        ServiceSpec("catalogue", 6, 5, 10.0, READ_ROUTES, 2_000),
        ServiceSpec("approvals", 3, 3, 15.0, WRITE_ROUTES, 2_000),
    ),
    accounts={"workshop": (200.0, 200.0), "library": (200.0, 200.0)},
)


class PortAllocator:
    """Allocates ports of this machine, each at most once."""

    def __init__(self) -> None:
        self._ports: list[int] = []

    def allocate(self) -> int:
        """Return a port that nobody else has."""
        self._ports += portreservations.reserve_ports(1)
        return self._ports[-1]

    def release(self) -> None:
        """Release all ports, once nothing uses them any more."""
        portreservations.release_ports(self._ports)
        self._ports.clear()


def build_configuration(
    deployment: Deployment, ports: PortAllocator
) -> model.Configuration:
    """Build the configuration of a deployment on this machine.

    The API key of an account is the account's name followed by ``-key``.
    """
    regions = list(deployment.hosts_by_region)
    centres = [
        model.DataCentre(name=centre, region=region)
        for region, members in deployment.hosts_by_region.items()
        for centre in members
    ]
    return model.Configuration(
        regions=tuple(model.Region(name=name) for name in regions),
        data_centres=tuple(centres),
        links=tuple(_build_links(regions)),
        hosts=tuple(_build_hosts(deployment, ports)),
        services=tuple(
            model.Service(
                name=service.name,
                routes=service.routes,
                max_deadline_ms=service.max_deadline_ms,
                default_deadline_ms=service.max_deadline_ms,
            )
            for service in deployment.services
        ),
        servers=tuple(_build_servers(deployment, centres, ports)),
        accounts=tuple(
            model.Account(name=name, rate=rate, burst=burst)
            for name, (rate, burst) in deployment.accounts.items()
        ),
        keys=tuple(
            model.Key(
                id=f"{name}-1",
                account=name,
                digest=accounts.digest_key(f"{name}-key"),
            )
            for name in deployment.accounts
        ),
    )


def _build_links(regions: list[str]) -> Iterator[model.Link]:
    for position, first in enumerate(regions):
        for second in regions[position + 1 :]:
            yield model.Link(
                name=f"{first}-{second}",
                regions=(first, second),
                latency_ms=LINK_LATENCY_MS,
                limit_mbit=LINK_LIMIT_MBIT,
            )


def _build_hosts(
    deployment: Deployment, ports: PortAllocator
) -> Iterator[model.Host]:
    for members in deployment.hosts_by_region.values():
        for centre, count in members.items():
            for number in range(1, count + 1):
                yield model.Host(
                    name=f"{centre}-{number}",
                    data_centre=centre,
                    url=f"http://{LOOPBACK_ADDRESS}:{ports.allocate()}",
                    peer=f"{LOOPBACK_ADDRESS}:{ports.allocate()}",
                )


def _build_servers(
    deployment: Deployment,
    centres: list[model.DataCentre],
    ports: PortAllocator,
) -> Iterator[model.Server]:
    for service in deployment.services:
        for number in range(service.servers):
            yield model.Server(
                name=f"{service.name}-{number + 1:02}",
                service=service.name,
                data_centre=centres[number % len(centres)].name,
                url=f"http://{LOOPBACK_ADDRESS}:{ports.allocate()}",
                slots=service.slots,
            )
