"""Servers with queues and callers that repeat, without a network."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

import msgspec
from tests import builders

from cowslipshift.admission import deadlines
from cowslipshift.steering import calls
from cowslipshift.steering import membership as memberships
from cowslipshift.steering import model

HOSTS = 24
SLOTS = 9
SERVICE_TIME_S = 0.3
REPORT_DELAY_S = 0.4
UNIX_OFFSET_S = 1_700_000_000.0


def build_membership(hosts: int = HOSTS) -> memberships.Membership:
    """Build a membership of so many hosts; up to twenty use no relays."""
    membership = memberships.Membership(builders.build_member("h0"))
    for number in range(1, hosts):
        member = builders.build_member(f"h{number}")
        membership.set_member(member.name, member, 0.0)
    return membership


def build_configuration(*priorities: int) -> model.Configuration:
    """Build a configuration with a route of each priority."""
    return builders.build_platform_configuration(
        *(
            builders.build_route(
                name=f"p{priority}",
                prefix=f"/p{number}/",
                priority=priority,
                timeout_s=1.2,
                target_s=0.6,
            )
            for number, priority in enumerate(priorities)
        )
    )


class Tally(msgspec.Struct):
    """What became of the requests of one kind."""

    sent: int = 0
    admitted: int = 0
    refused: int = 0
    promised: int = 0
    returned: int = 0
    in_target: int = 0
    late: int = 0


class Queue:
    """One server with slots, its callers, and some hosts before it.

    Args:
        configuration: Routes that lead to the server.
        is_baseline: Whether hosts admit in the order of arrival.
        hosts: Number of hosts; each has its own state.
    """

    def __init__(
        self,
        configuration: model.Configuration,
        is_baseline: bool = False,
        hosts: int = HOSTS,
        seed: int = 1,
    ) -> None:
        self.configuration = configuration
        self.tallies: dict[str, Tally] = collections.defaultdict(Tally)
        self.by_account: dict[str, Tally] = collections.defaultdict(Tally)
        self.idle_refusals = 0
        self._random = random.Random(seed)
        self._ids = itertools.count()
        self._free_s = [0.0] * SLOTS
        self._ends: list[float] = []
        self._loads: collections.deque[tuple[float, int]] = collections.deque()
        self._balancers = []
        for number in range(hosts):
            balancer = builders.build_balancer(
                f"h{number}",
                backends=(builders.build_backend("s", slots=SLOTS),),
                configuration=configuration,
                peers=tuple(f"h{n}" for n in range(hosts) if n != number),
            )
            self._balancers.append(balancer)
        self._policies = [
            deadlines.DeadlineAdmission() if is_baseline else balancer._urgency
            for balancer in self._balancers
        ]

    def run(self, rates: dict[str, float], until_s: float) -> None:
        """Let callers send so many requests a second by route."""
        events: list[tuple[float, int, calls.Call, str, bool]] = []
        for route in self.configuration.routes:
            now = 0.0
            while now < until_s and rates.get(route.name):
                now += self._random.expovariate(rates[route.name])
                call = self._open(route, now)
                event = now, next(self._ids), call, route.name, False
                heapq.heappush(events, event)
        while events:
            now, _, call, name, is_repeat = heapq.heappop(events)
            wait_s = self._arrive(call, name, is_repeat, now)
            if wait_s is None or is_repeat:
                continue
            back_s = now + min(wait_s, (call.gives_up_s - now) / 3.0)
            repeat = msgspec.structs.replace(
                call,
                id=f"r{next(self._ids)}",
                arrived_s=back_s,
                deadline_s=min(call.gives_up_s, back_s + 1.2),
            )
            event = back_s, next(self._ids), repeat, name, True
            heapq.heappush(events, event)

    def _open(self, route: model.Route, now: float) -> calls.Call:
        number = self._random.randrange(40)
        return calls.Call(
            id=f"r{next(self._ids)}",
            route=route,
            account=model.Account(f"a{number}", 1, 0.0, 0.0),
            affinity_key=str(self._random.randrange(12)),
            service="sheets",
            arrived_s=now,
            deadline_s=now + route.timeout_s,
            regions=None,
            uses_new_version=False,
            tried=set(),
            gives_up_s=now + 5.0,
            unix_offset_s=UNIX_OFFSET_S,
        )

    def _arrive(
        self, call: calls.Call, name: str, is_repeat: bool, now: float
    ) -> float | None:
        host = self._random.randrange(len(self._policies))
        state = self._balancers[host].inventory.by_id["s"]
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        self._loads.append((now, len(self._ends)))
        while (
            len(self._loads) > 1 and self._loads[1][0] < now - REPORT_DELAY_S
        ):
            self._loads.popleft()
        stated_s, load = self._loads[0]
        state.record_load(load, 0, max(stated_s, now - REPORT_DELAY_S))
        queue_s = max(0, load + 1 - SLOTS) / SLOTS * SERVICE_TIME_S
        choice = calls.Choice(
            state,
            SERVICE_TIME_S + queue_s,
            SERVICE_TIME_S,
            True,
            0,
            load,
            queue_s,
        )
        refusal = self._policies[host].review(call, choice, now)
        assert call.account is not None
        tallies = self.tallies[name], self.by_account[call.account.name]
        for tally in tallies:
            tally.sent += not is_repeat
            tally.returned += is_repeat and refusal is None
        if refusal is None:
            start_s = max(now, heapq.heappop(self._free_s))
            heapq.heappush(self._free_s, start_s + SERVICE_TIME_S)
            heapq.heappush(self._ends, start_s + SERVICE_TIME_S)
            first_s = call.gives_up_s - 5.0
            took_s = start_s + SERVICE_TIME_S - first_s
            for tally in tallies:
                tally.admitted += 1
                tally.in_target += took_s <= call.route.target_s
                tally.late += took_s > call.route.target_s
            return None
        self.idle_refusals += load < SLOTS
        for tally in tallies:
            tally.refused += is_repeat
            tally.promised += refusal.is_promised
        return refusal.retry_after_s
