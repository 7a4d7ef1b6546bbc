"""Emulates a deployment in simulated time, with the production balancer.

Hosts are `steering.balancer.Balancer` objects. Backend servers have slots, a
short queue, and an LRU cache of warm objects. Clients of each region request
objects of their own, at a rate that varies periodically.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.steering import accounts
from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import calls
from cowslipshift.steering import changes
from cowslipshift.steering import limiters
from cowslipshift.steering import membership as memberships
from cowslipshift.steering import model

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "sheets"
REGION_LATENCY_S = 0.012
"""One-way latency between regions."""

WAVE_PERIOD_S = 36.0
WAVE_AMPLITUDE = 0.55


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


class _Attempt(msgspec.Struct, eq=False):
    call: calls.Call
    choice: calls.Choice
    balancer: balancers.Balancer
    region: str
    arrived_s: float
    sent_s: float
    attempt_number: int = 1
    is_finished: bool = False


class _Server:
    def __init__(self, region: str, deployment: Deployment) -> None:
        self.region = region
        self.in_flight = 0
        self.waiting: collections.deque[_Attempt] = collections.deque()
        self.warm_objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )


class Emulator:
    """Event-driven simulation of one deployment and its load.

    Args:
        deployment: The deployment and its load.
        seed: Seed of all random draws.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now = 0.0
        self._servers: dict[str, _Server] = {}
        self._regions = list(deployment.backends)
        self._hosts: dict[str, list[balancers.Balancer]] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._build()

    def run(self, length_s: float) -> Result:
        """Emulate clients for ``length_s`` seconds and return the outcomes."""
        for region in self._regions:
            self._schedule(
                0.0,
                lambda region=region: self._send_requests(region, length_s),
            )
        for step in range(int(length_s * 10)):
            self._schedule(step / 10, self._refill)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self._sum_up()

    def _build(self) -> None:
        deployment = self._deployment
        route = model.Route(
            name="read",
            hostname="h",
            prefix="/",
            weighted_services=(model.WeightedService(SERVICE, 1.0),),
            is_idempotent=True,
            timeout_s=deployment.timeout_s,
            target_s=deployment.target_s,
            attempts=2,
            priority=1,
            is_public=True,
            has_affinity=True,
        )
        configuration = model.Configuration(
            version=1,
            routes=(route,),
            services={SERVICE: model.Service(SERVICE, 300, 3.0, 4.5)},
            accounts={},
            accounts_by_key={},
            limits=model.Limits(),
        )
        regions_by_centre = {f"{region}-a": region for region in self._regions}
        entries = []
        for region, count in deployment.backends.items():
            for number in range(count):
                identity = f"{region}-{number}"
                self._servers[identity] = _Server(region, deployment)
                entries.append(
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
                )
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
            self._hosts.setdefault(own.region, []).append(balancer)

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def _refill(self) -> None:
        for listed in self._hosts.values():
            for balancer in listed:
                balancer.refill_budgets(0.1)

    def _send_requests(self, region: str, length_s: float) -> None:
        if self._now >= length_s:
            return
        phase = self._regions.index(region) / len(self._regions)
        wave = (
            abs(((self._now / WAVE_PERIOD_S + phase) % 1.0) * 4.0 - 2.0) - 1.0
        )
        rate = self._deployment.requests_per_s * (1.0 + WAVE_AMPLITUDE * wave)
        self._schedule(
            self._now + self._random.expovariate(rate),
            lambda: self._send_requests(region, length_s),
        )
        balancer = self._random.choice(self._hosts[region])
        assert balancer.configuration is not None
        route = balancer.configuration.routes[0]
        affinity_key = (
            f"{region}-{self._random.randrange(self._deployment.objects)}"
        )
        number = next(self._sequence)
        call = balancer.open_call(
            str(number),
            route,
            None,
            affinity_key,
            self._now + self._deployment.timeout_s,
            self._now,
        )
        self._count("requests", region)
        self._send(call, balancer, region, self._now, 1)

    def _send(
        self,
        call: calls.Call,
        balancer: balancers.Balancer,
        region: str,
        arrived_s: float,
        attempt_number: int,
    ) -> None:
        choice = balancer.choose_backend(call, self._now)
        if isinstance(choice, calls.Refusal):
            self._count("refused", region)
            return
        if attempt_number > 1 and not balancer.try_retry(call.service):
            self._count("refused", region)
            return
        attempt = _Attempt(
            call,
            choice,
            balancer,
            region,
            arrived_s,
            self._now,
            attempt_number,
        )
        server = self._servers[choice.state.entry.id]
        choice.state.in_flight += 1
        call.tried.add(choice.state.entry.id)
        self._counts["attempts"] += 1
        self._counts["across"] += server.region != region
        latency_s = REGION_LATENCY_S if server.region != region else 0.001
        self._schedule(
            self._now + latency_s, lambda: self._arrive(attempt, server)
        )
        self._schedule(call.deadline_s, lambda: self._give_up(attempt, server))

    def _arrive(self, attempt: _Attempt, server: _Server) -> None:
        if server.in_flight < self._deployment.slots:
            self._start(attempt, server)
        elif len(server.waiting) < self._deployment.queue:
            server.waiting.append(attempt)
        else:
            self._end(attempt, server)
            self._send(
                attempt.call,
                attempt.balancer,
                attempt.region,
                attempt.arrived_s,
                attempt.attempt_number + 1,
            )

    def _start(self, attempt: _Attempt, server: _Server) -> None:
        server.in_flight += 1
        affinity_key = attempt.call.affinity_key
        service_s = self._deployment.service_s * self._random.lognormvariate(
            0.0, 0.15
        )
        if affinity_key in server.warm_objects:
            service_s *= self._deployment.warm_factor
            self._counts["warm"] += 1
        server.warm_objects[affinity_key] = None
        server.warm_objects.move_to_end(affinity_key)
        if len(server.warm_objects) > self._deployment.warm_objects:
            server.warm_objects.popitem(last=False)
        slow = self._deployment.slow_server
        if slow is not None and slow[1] <= self._now < slow[2]:
            service_s *= (
                5.0 if attempt.choice.state.entry.id == slow[0] else 1.0
            )
        self._schedule(
            self._now + service_s, lambda: self._finish(attempt, server)
        )

    def _finish(self, attempt: _Attempt, server: _Server) -> None:
        server.in_flight -= 1
        while server.waiting and server.in_flight < self._deployment.slots:
            queued = server.waiting.popleft()
            if not queued.is_finished:
                self._start(queued, server)
        if attempt.is_finished:
            return
        self._end(attempt, server)
        took_s = self._now - attempt.sent_s
        state, call = attempt.choice.state, attempt.call
        state.record_load(server.in_flight, len(server.waiting), self._now)
        state.record_answer(
            call.affinity_key, took_s, attempt.choice.baseline_s, self._now
        )
        attempt.balancer.update_latency(
            call, attempt.choice, took_s, self._now
        )
        is_in_time = self._now - attempt.arrived_s <= self._deployment.target_s
        self._count("in_target" if is_in_time else "late", attempt.region)
        if attempt.arrived_s < 4.0:
            self._counts["first"] += is_in_time

    def _give_up(self, attempt: _Attempt, server: _Server) -> None:
        if not attempt.is_finished:
            self._end(attempt, server)
            self._count("failed", attempt.region)

    def _end(self, attempt: _Attempt, server: _Server) -> None:
        attempt.is_finished = True
        attempt.choice.state.in_flight -= 1

    def _count(self, outcome: str, region: str) -> None:
        self._counts[outcome] += 1
        self._counts[f"{outcome} {region}"] += 1
        if outcome == "requests" and self._now < 4.0:
            self._counts["first requests"] += 1

    def _sum_up(self) -> Result:
        counts = self._counts
        total = max(1, counts["requests"])
        return Result(
            requests=counts["requests"],
            in_target=counts["in_target"] / total,
            late=counts["late"] / total,
            refused=counts["refused"] / total,
            failed=counts["failed"] / total,
            warm=counts["warm"] / max(1, counts["attempts"]),
            across=counts["across"] / max(1, counts["attempts"]),
            first_s=counts["first"] / max(1, counts["first requests"]),
            worst_region=min(
                counts[f"in_target {region}"]
                / max(1, counts[f"requests {region}"])
                for region in self._regions
            ),
        )
