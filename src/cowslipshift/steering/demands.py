"""Demand of one client account on this host, and what it tells of others."""

from __future__ import annotations

import math

DEMAND_WINDOW_S = 0.35

AT_ONCE_S = 0.002
"""Time after a request within which a heartbeat is taken to be sent because of
it; just after a request, the demand is above its mean."""

AT_ONCE_FRACTION = 0.75
"""Part of that request that the demand at the heartbeat does not count."""

GROWTH_DEMAND = 4.0
"""Requests per second on one host below which growth of its own demand says
little about the demand of the others."""

GROWTH_MARGIN = 1.5
"""Growth that may be chance."""

MAX_GROWTH = 6.0
"""Factor by which the demand of the others is assumed to have grown at most
since their reports."""


class AccountDemand:
    """Requests per second of one account that this host receives.

    Args:
        now: Present time.
    """

    __slots__ = ("_at_heartbeats", "_rate", "_updated_s")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._updated_s = now
        self._at_heartbeats = (0.0, 0.0)

    def record(self, now: float) -> float:
        """Count a request; return the demand without it."""
        rate = self.measure(now)
        self._rate = rate + 1.0 / DEMAND_WINDOW_S
        self._updated_s = now
        return rate

    def withdraw(self, received_s: float, now: float) -> None:
        """Forget a request that has used nothing of the quota."""
        passed_s = max(0.0, now - received_s)
        left = math.exp(-passed_s / DEMAND_WINDOW_S) / DEMAND_WINDOW_S
        self._rate = max(0.0, self.measure(now) - left)
        self._updated_s = now

    def measure(self, now: float) -> float:
        """Return the requests per second received lately."""
        passed_s = max(0.0, now - self._updated_s)
        return self._rate * math.exp(-passed_s / DEMAND_WINDOW_S)

    def record_heartbeat(self, now: float) -> float:
        """Remember and return the demand that a heartbeat tells."""
        rate = self.measure(now)
        if now - self._updated_s <= AT_ONCE_S:
            one = 1.0 / DEMAND_WINDOW_S
            rate = max(min(rate, one), rate - AT_ONCE_FRACTION * one)
        self._at_heartbeats = (self._at_heartbeats[1], rate)
        return rate

    def estimate_others(
        self, own: float, reported: float, others: int
    ) -> float:
        """Return the present demand on the other hosts.

        A crowd arrives at all hosts, so demand grows there as it does here.

        Args:
            own: Demand on this host.
            reported: Demand that the others reported.
            others: Number of hosts that may receive a crowd.
        """
        before = self._at_heartbeats[0]
        usual = max(before, reported / max(1, others)) + GROWTH_DEMAND
        factor = min(MAX_GROWTH, (GROWTH_DEMAND + own) / usual / GROWTH_MARGIN)
        added = own - GROWTH_MARGIN * before - GROWTH_DEMAND
        return reported + max(0.0, (factor - 1.0) * reported, added * others)
