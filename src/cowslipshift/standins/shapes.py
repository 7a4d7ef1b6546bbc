"""Shapes of small deployments and the configurations they lead to."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.config import model
from cowslipshift.topology import accounts

if TYPE_CHECKING:
    from collections.abc import Iterator

ADDRESS = "127.0.0.1"
LINK_LATENCY_MS = 12.0
LINK_LIMIT_MBIT = 4_000.0


class ServiceShape(msgspec.Struct, frozen=True):
    """A service and its backend servers.

    Attributes:
        servers: Number of servers, spread evenly over the data centres.
        service_ms: Time to answer.
    """

    name: str
    servers: int
    slots: int
    service_ms: float
    routes: tuple[model.Route, ...]
    max_deadline_ms: int = 5_000


class Shape(msgspec.Struct, frozen=True):
    """A deployment.

    Attributes:
        places: For each region its data centres and their numbers of hosts.
        services: Its services.
        accounts: Rate and burst by client account.
    """

    places: dict[str, dict[str, int]]
    services: tuple[ServiceShape, ...]
    accounts: dict[str, tuple[float, float]]


READ = (model.Route(name="/"), model.Route(name="/open", open=True))
WRITE = (
    model.Route(name="/", idempotent=False),
    model.Route(name="/status"),
)

ANDINA = Shape(
    places={
        "andina": {"medellin": 2, "cali": 2},
        "costa": {"barranquilla": 2, "cartagena": 2},
        "sabana": {"bogota": 1, "tunja": 1},
    },
    services=(
        ServiceShape("catalogue", 12, 5, 20.0, READ),
        ServiceShape("approvals", 12, 3, 30.0, WRITE),
        ServiceShape("compliance", 16, 6, 40.0, READ, 10_000),
    ),
    accounts={
        "grande-1": (300.0, 300.0),
        "grande-2": (300.0, 300.0),
        **{f"taller-{n}": (60.0, 60.0) for n in range(1, 7)},
    },
)

SMALL = Shape(
    places={
        "north": {"north-a": 2, "north-b": 1},
        "south": {"south-a": 2},
    },
    services=(
        ServiceShape("catalogue", 6, 5, 10.0, READ, 2_000),
        ServiceShape("approvals", 3, 3, 15.0, WRITE, 2_000),
    ),
    accounts={"workshop": (200.0, 200.0), "library": (200.0, 200.0)},
)


class Ports:
    """Hands out free ports of this machine, each once."""

    def __init__(self) -> None:
        self._given: set[int] = set()

    def take(self) -> int:
        """Return a port that nothing listens on."""
        while True:
            with socket.socket() as probe:
                probe.bind((ADDRESS, 0))
                port: int = probe.getsockname()[1]
            if port not in self._given:
                self._given.add(port)
                return port


def build_configuration(shape: Shape, ports: Ports) -> model.Configuration:
    """Build the configuration of a deployment on this machine.

    The key of each account is the account's name with ``-key`` behind it.
    """
    regions = list(shape.places)
    centres = [
        model.DataCentre(name=centre, region=region)
        for region, members in shape.places.items()
        for centre in members
    ]
    return model.Configuration(
        regions=tuple(model.Region(name=name) for name in regions),
        data_centres=tuple(centres),
        links=tuple(_build_links(regions)),
        hosts=tuple(_build_hosts(shape, ports)),
        services=tuple(
            model.Service(
                name=service.name,
                routes=service.routes,
                max_deadline_ms=service.max_deadline_ms,
                default_deadline_ms=service.max_deadline_ms,
            )
            for service in shape.services
        ),
        servers=tuple(_build_servers(shape, centres, ports)),
        accounts=tuple(
            model.Account(name=name, rate=rate, burst=burst)
            for name, (rate, burst) in shape.accounts.items()
        ),
        keys=tuple(
            model.Key(
                id=f"{name}-1",
                account=name,
                digest=accounts.digest_key(f"{name}-key"),
            )
            for name in shape.accounts
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


def _build_hosts(shape: Shape, ports: Ports) -> Iterator[model.Host]:
    for members in shape.places.values():
        for centre, count in members.items():
            for number in range(1, count + 1):
                yield model.Host(
                    name=f"{centre}-{number}",
                    data_centre=centre,
                    url=f"http://{ADDRESS}:{ports.take()}",
                    peer=f"{ADDRESS}:{ports.take()}",
                )


def _build_servers(
    shape: Shape, centres: list[model.DataCentre], ports: Ports
) -> Iterator[model.Server]:
    for service in shape.services:
        for number in range(service.servers):
            yield model.Server(
                name=f"{service.name}-{number + 1:02}",
                service=service.name,
                data_centre=centres[number % len(centres)].name,
                url=f"http://{ADDRESS}:{ports.take()}",
                slots=service.slots,
            )
