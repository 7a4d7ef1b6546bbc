"""Which ranks of requests meet at a service, and what they can bear."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import calls
    from cowslipshift.steering import model

Rank = tuple[int, int]
"""Priority of the account, then of the route; lower is more urgent."""

PRESENT_S = 4.0
"""How long after its last request a rank still counts as present."""

SLACK_EWMA_WEIGHT = 0.2
MIN_SLACK_TARGETS = 0.1
"""Requests with less slack, in target latencies, are late without a queue as
well, so they say nothing about the queue that their rank can bear."""

USUAL_SLACK_TARGETS = 0.4
"""Slack assumed of a rank at first."""

MAX_VISITOR_FRACTION = 0.5
"""Fraction of a service's requests up to which urgent ones of a route that
was moved there come before its own."""

COUNT_DECAY_S = 4.0
PRIOR_REQUESTS = 4.0
"""Admitted requests assumed of a service before any."""


class Standing(msgspec.Struct, frozen=True):
    """Where a request stands among those that meet at its service.

    Attributes:
        position: Number of more urgent ranks.
        ranks: Number of ranks.
        slack_s: Queueing time that it and the more urgent ones can bear
            without missing their targets.
        admitted_fraction: Fraction of the service's requests that this host
            admitted lately.
    """

    position: int
    ranks: int
    slack_s: float
    admitted_fraction: float = 1.0

    @property
    def precedence(self) -> float:
        """1 for the most urgent of several ranks, 0 for the least."""
        if self.ranks == 1:
            return 0.5
        return 1.0 - self.position / (self.ranks - 1)


class _Demand(msgspec.Struct):
    """The requests of one rank at one service."""

    slack_s: float
    seen_s: float


class _Counts(msgspec.Struct):
    """Requests of a service lately, those admitted, and visitors of these."""

    asked: float = 0.0
    admitted: float = 0.0
    visitors: float = 0.0
    updated_s: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp((self.updated_s - now) / COUNT_DECAY_S)
        self.asked *= factor
        self.admitted *= factor
        self.visitors *= factor
        self.updated_s = now


class ServiceRanks:
    """The ranks present at each service, as far as this host sees them."""

    __slots__ = ("_counts", "_demands", "_homes")

    def __init__(self) -> None:
        self._homes: dict[tuple[str, str], str] = {}
        self._demands: dict[str, dict[Rank, _Demand]] = {}
        self._counts: dict[str, _Counts] = {}

    def set_routes(self, routes: Iterable[model.Route]) -> set[str]:
        """Apply the routes of a configuration; return their services.

        The service that a route led to at first stays its home: it visits
        the others.
        """
        homes = {}
        services: set[str] = set()
        for route in routes:
            weighted = route.weighted_services
            main = max(weighted, key=lambda split: split.weight)
            homes[route.key] = self._homes.get(route.key, main.service)
            services.update(split.service for split in weighted)
        self._homes = homes
        for service in self._demands.keys() - services:
            del self._demands[service]
        for service in self._counts.keys() - services:
            del self._counts[service]
        return services

    def record(
        self, call: calls.Call, choice: calls.Choice, now: float
    ) -> Standing:
        """Record a request and return its standing."""
        target_s = call.route.target_s
        unqueued_s = choice.expected_s - choice.queue_s
        slack_s = call.arrived_s + target_s - now - unqueued_s
        demands = self._demands.setdefault(call.service, {})
        rank = rank_call(call)
        demand = demands.get(rank)
        if demand is None:
            slack_s = max(slack_s, USUAL_SLACK_TARGETS * target_s)
            demands[rank] = demand = _Demand(slack_s, now)
        if slack_s >= MIN_SLACK_TARGETS * target_s:
            demand.slack_s += SLACK_EWMA_WEIGHT * (slack_s - demand.slack_s)
        demand.seen_s = now
        for other in [
            other
            for other, state in demands.items()
            if now - state.seen_s > PRESENT_S
        ]:
            del demands[other]
        counts = self._count(call, now)
        counts.asked += 1.0
        slacks_s = [d.slack_s for r, d in demands.items() if r <= rank]
        position = len(slacks_s) - 1
        if (
            self._is_visitor(call)
            and counts.visitors > MAX_VISITOR_FRACTION * counts.admitted
        ):
            position = len(demands) - 1
        return Standing(
            position,
            len(demands),
            min(slacks_s),
            (counts.admitted + PRIOR_REQUESTS)
            / (counts.asked + PRIOR_REQUESTS),
        )

    def record_admitted(self, call: calls.Call, now: float) -> None:
        """Count a request that was admitted."""
        counts = self._count(call, now)
        counts.admitted += 1.0
        counts.visitors += self._is_visitor(call)

    def _count(self, call: calls.Call, now: float) -> _Counts:
        """Return the present counts of a request's service."""
        counts = self._counts.get(call.service)
        if counts is None:
            counts = self._counts[call.service] = _Counts(updated_s=now)
        counts.decay(now)
        return counts

    def _is_visitor(self, call: calls.Call) -> bool:
        return self._homes.get(call.route.key, call.service) != call.service


def rank_call(call: calls.Call) -> Rank:
    """Return the rank of a request: account's priority, then route's."""
    route = call.route.priority
    return (route if call.account is None else call.account.priority), route
