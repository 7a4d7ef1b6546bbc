"""Deployment, hosts, servers and routes that are emulated."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.steering import accounts
from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import changes
from cowslipshift.steering import limiters
from cowslipshift.steering import membership as memberships
from cowslipshift.steering import model

if TYPE_CHECKING:
    from cowslipshift.steering import calls

SERVICE = "sheets"


class Kind(msgspec.Struct, frozen=True):
    """Requests of one route.

    Attributes:
        share: Share of all requests.
        objects: Distinct objects of each region.
        service_s: Service time of a request for a cold object.
        target_s: Target latency; an answer within it earns full credit.
        timeout_s: Timeout; an answer after it earns no credit.
        priority: Priority; 0 is the highest.
        is_idempotent: Whether a request may run more than once.
    """

    name: str
    share: float
    objects: int
    service_s: float
    target_s: float
    timeout_s: float
    priority: int = 1
    is_idempotent: bool = True


class Noise(msgspec.Struct, frozen=True):
    """Pace of servers that share their machines.

    Attributes:
        share: Part of the time in which a server is slow.
        factor: How many times longer work takes then.
        period_s: Time after which its pace is drawn again.
    """

    share: float
    factor: float
    period_s: float


class Deployment(msgspec.Struct, frozen=True):
    """A deployment and its load.

    Attributes:
        backends: Backend servers by region.
        hosts: Hosts by region.
        slots: Slots of a server.
        queue: Requests that may wait at a server.
        warm_objects: Objects that stay warm at a server.
        objects: Distinct objects of each region.
        requests_per_s: Mean requests per second of each region.
        service_s: Service time of a request for a cold object.
        warm_factor: Fraction of that time for a warm object.
        target_s: Target latency; an answer within it earns full credit.
        timeout_s: Timeout; an answer after it earns no credit.
        slow_server: Name of a server that takes five times as long, with the
            start and end of that period in seconds, or ``None``.
        kinds: Requests by route; one route of the figures above if empty.
        tail_share: Share of the requests whose work has a long tail.
        tail_factor: How many times the work of others it is.
        noise: How the pace of the servers changes, if it does.
        is_pace_stated: Whether the servers state their pace.
        heartbeat_s: Interval at which hosts tell each other loads, and time
            that this takes; 0 if they do not.
    """

    backends: dict[str, int]
    hosts: dict[str, int]
    slots: int = 5
    queue: int = 15
    warm_objects: int = 29
    objects: int = 28
    requests_per_s: float = 47.0
    service_s: float = 0.64
    warm_factor: float = 0.3
    target_s: float = 0.4
    timeout_s: float = 1.0
    slow_server: tuple[str, float, float] | None = None
    kinds: tuple[Kind, ...] = ()
    tail_share: float = 0.0
    tail_factor: float = 7.0
    noise: Noise | None = None
    is_pace_stated: bool = False
    heartbeat_s: float = 0.0

    def list_kinds(self) -> tuple[Kind, ...]:
        """Return the kinds of requests."""
        return self.kinds or (
            Kind(
                "read",
                1.0,
                self.objects,
                self.service_s,
                self.target_s,
                self.timeout_s,
            ),
        )


UNEVEN = Deployment(
    backends={"north": 6, "south": 2, "west": 4},
    hosts={"north": 4, "south": 3, "west": 3},
)


class Result(msgspec.Struct):
    """Outcomes of the requests, as fractions of their number.

    Attributes:
        requests: Number of requests.
        warm: Fraction of attempts that found a warm object.
        across: Fraction of attempts that went to another region.
        first_s: Fraction within target latency of those in the first four
            seconds.
        worst_region: Fraction within target latency in the worst region.
        shed: Fraction of attempts that found a full queue.
        mean_s: Mean time of requests; one without an answer counts as long
            as its timeout.
        p99_s: The 99th percentile of that.
        busiest: Work of the busiest server over the mean.
        cost_error: Mean logarithmic error of the predicted work.
    """

    requests: int = 0
    in_target: float = 0.0
    late: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    warm: float = 0.0
    across: float = 0.0
    first_s: float = 0.0
    worst_region: float = 0.0
    shed: float = 0.0
    mean_s: float = 0.0
    p99_s: float = 0.0
    busiest: float = 0.0
    cost_error: float = 0.0


class Attempt(msgspec.Struct, eq=False):
    """An attempt under way.

    Attributes:
        work_s: Its true work at the usual pace.
    """

    call: calls.Call
    choice: calls.Choice
    balancer: balancers.Balancer
    region: str
    arrived_s: float
    sent_s: float
    attempt_number: int = 1
    is_finished: bool = False
    work_s: float = 0.0


class Server:
    """Queue, warm objects and pace of one emulated backend server.

    Args:
        identity: Its id.
        region: Its region.
        noise: How its pace changes, if it does.
        seed: Seed of its pace.
    """

    def __init__(
        self, identity: str, region: str, noise: Noise | None, seed: int
    ) -> None:
        self.region = region
        self.in_flight = 0
        self.busy_s = 0.0
        self.waiting: collections.deque[Attempt] = collections.deque()
        self.warm_objects: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self._noise = noise
        self._seed = f"{seed}|{identity}"
        self._offset = random.Random(self._seed).random()
        self._period = -1
        self._pace = 1.0

    def measure_pace(self, now: float) -> float:
        """Return the factor by which work takes longer."""
        if self._noise is None:
            return 1.0
        period = int(now / self._noise.period_s + self._offset)
        if period != self._period:
            self._period = period
            draw = random.Random(f"{self._seed}|{period}").random()
            is_slow = draw < self._noise.share
            self._pace = self._noise.factor if is_slow else 1.0
        return self._pace


def build_hosts(
    deployment: Deployment,
) -> dict[str, list[balancers.Balancer]]:
    """Return the balancers of all hosts by region."""
    routes = tuple(_build_route(kind) for kind in deployment.list_kinds())
    configuration = model.Configuration(
        version=1,
        routes=routes,
        services={SERVICE: model.Service(SERVICE, 300, 3.0, 4.5)},
        accounts={},
        accounts_by_key={},
        limits=model.Limits(),
    )
    regions_by_centre = {f"{r}-a": r for r in deployment.backends}
    entries = [
        model.Backend(
            id=identity,
            service=SERVICE,
            address="",
            data_centre=f"{region}-a",
            version="v1",
            slots=deployment.slots,
            is_draining=False,
            cold_s=0.0,
            started_ms=1,
        )
        for identity, region in list_servers(deployment)
    ]
    members = [
        model.Member(
            name=f"{region}-host-{number}",
            data_centre=f"{region}-a",
            region=region,
            public_address="",
            internal_address="",
            heartbeat_address="",
            incarnation=1,
        )
        for region, count in deployment.hosts.items()
        for number in range(count)
    ]
    policy = limiters.QuotaPolicy(5.0)
    hosts: dict[str, list[balancers.Balancer]] = {}
    for own in members:
        membership = memberships.Membership(own)
        for member in members:
            membership.set_member(member.name, member, 0.0)
        balancer = balancers.Balancer(
            membership,
            regions_by_centre,
            0.2,
            60.0,
            10.0,
            accounts.AccountLimiters(policy, False, 0.0),
        )
        balancer.apply(changes.ConfigurationChange(configuration), 0.0)
        for entry in entries:
            balancer.apply(changes.BackendChange(entry.id, entry), 0.0)
        hosts.setdefault(own.region, []).append(balancer)
    return hosts


def list_servers(deployment: Deployment) -> list[tuple[str, str]]:
    """Return id and region of each server."""
    return [
        (f"{region}-{number}", region)
        for region, count in deployment.backends.items()
        for number in range(count)
    ]


def _build_route(kind: Kind) -> model.Route:
    return model.Route(
        name=kind.name,
        hostname="h",
        prefix=f"/{kind.name}",
        weighted_services=(model.WeightedService(SERVICE, 1.0),),
        is_idempotent=kind.is_idempotent,
        timeout_s=kind.timeout_s,
        target_s=kind.target_s,
        attempts=2,
        priority=kind.priority,
        is_public=True,
        has_affinity=True,
    )
