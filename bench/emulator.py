"""Emulates a deployment in simulated time, with the production balancer.

Hosts are `steering.balancer.Balancer` objects. Backend servers have slots, a
short queue, and an LRU cache of warm objects. Clients of each region request
objects of their own, at a rate that varies periodically.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import math
import random
import statistics
from typing import TYPE_CHECKING

from bench import emulatedfleet
from cowslipshift.steering import calls
from cowslipshift.workload import reports

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift.steering import balancer as balancers

REGION_LATENCY_S = 0.012
"""One-way latency between regions."""

WAVE_PERIOD_S = 36.0
WAVE_AMPLITUDE = 0.55


class Emulator:
    """Event-driven simulation of one deployment and its load.

    Args:
        deployment: The deployment and its load.
        seed: Seed of all random draws.

    Attributes:
        hosts: Balancers of the hosts by region.
    """

    def __init__(
        self, deployment: emulatedfleet.Deployment, seed: int
    ) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now = 0.0
        self._regions = list(deployment.backends)
        self._servers = {
            identity: emulatedfleet.Server(
                identity, region, deployment.noise, seed
            )
            for identity, region in emulatedfleet.list_servers(deployment)
        }
        self.hosts = emulatedfleet.build_hosts(deployment)
        self._kinds = {kind.name: kind for kind in deployment.list_kinds()}
        self._counts: collections.Counter[str] = collections.Counter()
        self._times_s: list[float] = []
        self._cost_errors: list[float] = []

    def run(self, length_s: float) -> emulatedfleet.Result:
        """Emulate clients for ``length_s`` seconds and return the outcomes."""
        for region in self._regions:
            self._schedule(
                0.0,
                lambda region=region: self._send_requests(region, length_s),
            )
        for step in range(int(length_s * 10)):
            self._schedule(step / 10, self._refill)
        heartbeat_s = self._deployment.heartbeat_s
        if heartbeat_s > 0.0:
            for step in range(1, int(length_s / heartbeat_s)):
                self._schedule(step * heartbeat_s, self._send_heartbeats)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self._sum_up()

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def _refill(self) -> None:
        for listed in self.hosts.values():
            for balancer in listed:
                balancer.refill_budgets(0.1)

    def _send_heartbeats(self) -> None:
        sent_s = self._now
        balancers = [b for listed in self.hosts.values() for b in listed]
        sent = [b.load_exchange.list_reports(sent_s) for b in balancers]

        def deliver() -> None:
            for receiver, balancer in enumerate(balancers):
                for sender, listed in enumerate(sent):
                    if listed and receiver != sender:
                        balancer.load_exchange.record_reports(listed, sent_s)

        self._schedule(sent_s + self._deployment.heartbeat_s, deliver)

    def _choose_kind(self) -> emulatedfleet.Kind:
        kinds = list(self._kinds.values())
        if len(kinds) == 1:
            return kinds[0]
        shares = [kind.share for kind in kinds]
        return self._random.choices(kinds, shares)[0]

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
        balancer = self._random.choice(self.hosts[region])
        assert balancer.configuration is not None
        kind = self._choose_kind()
        route = next(
            listed
            for listed in balancer.configuration.routes
            if listed.name == kind.name
        )
        affinity_key = f"{region}-{self._random.randrange(kind.objects)}"
        number = next(self._sequence)
        call = balancer.open_call(
            str(number),
            route,
            None,
            affinity_key,
            self._now + kind.timeout_s,
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
            self._refuse(call, region)
            return
        if attempt_number > 1 and not balancer.try_retry(call.service):
            self._refuse(call, region)
            return
        attempt = emulatedfleet.Attempt(
            call,
            choice,
            balancer,
            region,
            arrived_s,
            self._now,
            attempt_number,
        )
        server = self._servers[choice.state.entry.id]
        balancer.record_sent(call, choice, self._now)
        call.tried.add(choice.state.entry.id)
        self._counts["attempts"] += 1
        self._counts["across"] += server.region != region
        latency_s = REGION_LATENCY_S if server.region != region else 0.001
        self._schedule(
            self._now + latency_s, lambda: self._arrive(attempt, server)
        )
        self._schedule(call.deadline_s, lambda: self._give_up(attempt, server))

    def _arrive(
        self, attempt: emulatedfleet.Attempt, server: emulatedfleet.Server
    ) -> None:
        if server.in_flight < self._deployment.slots:
            self._start(attempt, server)
        elif len(server.waiting) < self._deployment.queue:
            server.waiting.append(attempt)
        else:
            self._end(attempt)
            self._counts["shed"] += 1
            if not attempt.call.route.is_idempotent:
                self._counts["shed orders"] += 1
            self._send(
                attempt.call,
                attempt.balancer,
                attempt.region,
                attempt.arrived_s,
                attempt.attempt_number + 1,
            )

    def _start(
        self, attempt: emulatedfleet.Attempt, server: emulatedfleet.Server
    ) -> None:
        server.in_flight += 1
        deployment = self._deployment
        route = attempt.call.route.name
        service_s = self._kinds[route].service_s * self._random.lognormvariate(
            0.0, 0.15
        )
        if (
            deployment.tail_share > 0.0
            and self._random.random() < deployment.tail_share
        ):
            service_s *= deployment.tail_factor
        key = route, attempt.call.affinity_key
        if key in server.warm_objects:
            service_s *= deployment.warm_factor
            self._counts["warm"] += 1
        attempt.work_s = service_s
        server.warm_objects[key] = None
        server.warm_objects.move_to_end(key)
        if len(server.warm_objects) > deployment.warm_objects:
            server.warm_objects.popitem(last=False)
        service_s *= server.measure_pace(self._now)
        slow = self._deployment.slow_server
        if slow is not None and slow[1] <= self._now < slow[2]:
            service_s *= (
                5.0 if attempt.choice.state.entry.id == slow[0] else 1.0
            )
        server.busy_s += service_s
        self._schedule(
            self._now + service_s, lambda: self._finish(attempt, server)
        )

    def _finish(
        self, attempt: emulatedfleet.Attempt, server: emulatedfleet.Server
    ) -> None:
        server.in_flight -= 1
        while server.waiting and server.in_flight < self._deployment.slots:
            queued = server.waiting.popleft()
            if not queued.is_finished:
                self._start(queued, server)
        if attempt.is_finished:
            return
        self._end(attempt)
        took_s = self._now - attempt.sent_s
        state, call = attempt.choice.state, attempt.call
        pace = server.measure_pace(self._now)
        attempt.balancer.load_exchange.record_answer(
            state,
            reports.ServerLoad(
                server.in_flight,
                len(server.waiting),
                pace if self._deployment.is_pace_stated else None,
            ),
            self._now,
        )
        state.record_answer(
            call.affinity_key, took_s, attempt.choice.baseline_s, self._now
        )
        attempt.balancer.update_latency(
            call, attempt.choice, took_s, self._now
        )
        if attempt.choice.work_s > 0.0:
            self._cost_errors.append(
                abs(math.log(attempt.choice.work_s / attempt.work_s))
            )
        self._times_s.append(self._now - attempt.arrived_s)
        is_in_time = self._times_s[-1] <= call.route.target_s
        self._count("in_target" if is_in_time else "late", attempt.region)
        if attempt.arrived_s < 4.0:
            self._counts["first"] += is_in_time

    def _give_up(
        self, attempt: emulatedfleet.Attempt, server: emulatedfleet.Server
    ) -> None:
        if not attempt.is_finished:
            self._end(attempt)
            self._times_s.append(attempt.call.route.timeout_s)
            self._count("failed", attempt.region)

    def _refuse(self, call: calls.Call, region: str) -> None:
        self._times_s.append(call.route.timeout_s)
        self._count("refused", region)

    def _end(self, attempt: emulatedfleet.Attempt) -> None:
        attempt.is_finished = True
        attempt.balancer.record_ended(attempt.call, attempt.choice)

    def _count(self, outcome: str, region: str) -> None:
        self._counts[outcome] += 1
        self._counts[f"{outcome} {region}"] += 1
        if outcome == "requests" and self._now < 4.0:
            self._counts["first requests"] += 1

    def _sum_up(self) -> emulatedfleet.Result:
        counts = self._counts
        total = max(1, counts["requests"])
        busy_s = [server.busy_s for server in self._servers.values()]
        times_s = sorted(self._times_s)
        return emulatedfleet.Result(
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
            shed=counts["shed"] / max(1, counts["attempts"]),
            mean_s=statistics.fmean(times_s),
            p99_s=times_s[int(0.99 * len(times_s))],
            busiest=max(busy_s) / statistics.fmean(busy_s),
            cost_error=statistics.fmean(self._cost_errors or [0.0]),
        )
