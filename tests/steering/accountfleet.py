"""Many hosts that count one account, in simulated time and without a network.

Heartbeats reach the own data centre at once; those to others wait for relays,
or cross the link if all hosts send to all others, and some are lost.
"""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING

from cowslipshift.steering import accounts
from cowslipshift.steering import limiters
from cowslipshift.steering import membership
from cowslipshift.steering import model

if TYPE_CHECKING:
    from collections.abc import Callable

POLICY = limiters.QuotaPolicy(window_s=5.0, overshoot=0.1, slack=20.0)
INTERVAL_S = 0.7
TIMEOUT_FACTOR = 2.8
CENTRES = 6
STEP_S = 0.02
MIN_RELAY_S = 0.02
EARLY_RELAY_S = 0.35
MAX_RELAY_S = 0.7
LATE_RELAY_S = 1.1
MAX_LINK_S = 0.04
LATE_LINK_S = 0.3


class RelayedFleet:
    """Hosts of one account in six data centres.

    Args:
        account: Its quota.
        hosts: Number of hosts.
        seed: Seed of demand, delays and losses.
        loss: Fraction of heartbeats that one other data centre doesn't get.
        late: Fraction of heartbeats that relays hold longest.
        is_relayed: Whether heartbeats to other data centres are relayed.

    Attributes:
        cut_links: Pairs of data centres of which the first one's heartbeats
            don't reach the second one.
    """

    def __init__(
        self,
        account: model.Account,
        hosts: int = 70,
        seed: int = 0,
        loss: float = 0.02,
        late: float = 0.05,
        is_relayed: bool = True,
    ) -> None:
        self.account = account
        self._is_relayed = is_relayed
        self._interval_s = (
            INTERVAL_S if is_relayed else membership.BASE_HEARTBEAT_INTERVAL_S
        )
        self._timeout_factor = TIMEOUT_FACTOR if is_relayed else 1.0
        self.cut_links: set[tuple[int, int]] = set()
        self.now = 0.0
        self.random = random.Random(seed)
        self.loss = loss
        self.late = late
        self.weights = [1.0] * hosts
        self.dead: set[int] = set()
        self.cut: set[int] = set()
        self.admitted: list[float] = []
        self.refused: list[float] = []
        self.waits: list[float] = []
        self.withdrawn = 0.0
        self._transits: list[
            tuple[float, int, int, int, float, list[limiters.Usage]]
        ] = []
        self._number = 0
        self._latest: dict[tuple[int, int], float] = {}
        self._names = [f"h{n}" for n in range(hosts)]
        self._sent_s = [
            (self.random.random() - 1.0) * self._interval_s
            for _ in range(hosts)
        ]
        self.limiters = [
            accounts.AccountLimiters(POLICY, False, 0.0, name)
            for name in self._names
        ]
        for limiter in self.limiters:
            limiter.apply([account], 0.0)
        self._others = [set(self._names) - {name} for name in self._names]

    @property
    def bound(self) -> float:
        """Most admissions that any window may hold."""
        quota = self.account.rate * POLICY.window_s + self.account.burst
        return quota * (1 + POLICY.overshoot) + POLICY.slack

    def run(self, until_s: float, rate: Callable[[float], float]) -> None:
        """Send `rate(now)` requests per second to hosts by their weights."""
        while self.now < until_s:
            self._deliver()
            for host in self._choose(rate(self.now)):
                self._ask(host)
            for host, sent_s in enumerate(self._sent_s):
                is_due = self.now - sent_s >= self._interval_s
                if is_due and host not in self.dead:
                    self._send(host, is_urgent=False)
            self.now += STEP_S

    def set_account(self, account: model.Account) -> None:
        """Apply another quota on all hosts."""
        self.account = account
        for limiter in self.limiters:
            limiter.apply([account], self.now)

    def kill(self, host: int) -> None:
        """End a host's process without notice."""
        self.dead.add(host)

    def restart(self, host: int) -> None:
        """Start a host again; it has forgotten its counts."""
        self.dead.discard(host)
        limiter = accounts.AccountLimiters(
            POLICY, True, self.now, self._names[host]
        )
        limiter.apply([self.account], self.now)
        self.limiters[host] = limiter
        self._sent_s[host] = self.now - self._interval_s
        for other in self.limiters:
            other.record_newcomer(self.now)

    def count_peak(self) -> int:
        """Return the most admissions in any window."""
        start, most = 0, 0
        for end, at in enumerate(self.admitted):
            while at - self.admitted[start] >= POLICY.window_s:
                start += 1
            most = max(most, end - start + 1)
        return most

    def count_owed(
        self, spans: list[tuple[float, float]] | None = None
    ) -> int:
        """Return refusals while the window held less than the quota.

        Args:
            spans: Start and end of times that are not counted.
        """
        quota = self.account.rate * POLICY.window_s + self.account.burst
        owed, start, end = 0, 0, 0
        for at in self.refused:
            while end < len(self.admitted) and self.admitted[end] <= at:
                end += 1
            while start < end and at - self.admitted[start] >= POLICY.window_s:
                start += 1
            if not any(since <= at < until for since, until in spans or ()):
                owed += end - start < quota
        return owed

    def _choose(self, rate: float) -> list[int]:
        count = int(rate * STEP_S + self.random.random())
        if not count:
            return []
        weights = [
            0.0 if host in self.dead else weight
            for host, weight in enumerate(self.weights)
        ]
        return self.random.choices(range(len(weights)), weights, k=count)

    def _ask(self, host: int) -> None:
        own = self.limiters[host]
        limiter = own.find_limiter(self.account.name)
        assert limiter is not None
        liveness = own.assess_peers(
            self.now, self._others[host], self._timeout_factor
        )
        wait_s = limiter.try_admit(self.now, liveness)
        if wait_s > 0.0:
            self.refused.append(self.now)
            self.waits.append(wait_s)
            return
        if self.random.random() < self.withdrawn:
            limiter.withdraw(self.now, self.now)
            return
        self.admitted.append(self.now)
        passed_s = self.now - self._sent_s[host]
        early_s = EARLY_RELAY_S if self._is_relayed else 0.0
        if limiter.is_urgent(liveness.hosts) and passed_s >= early_s:
            self._send(host, is_urgent=True)

    def _send(self, host: int, is_urgent: bool) -> None:
        self._sent_s[host] = self.now
        reports = self.limiters[host].list_reports(
            self.now, self._others[host], self._timeout_factor
        )
        most_s = EARLY_RELAY_S if is_urgent else MAX_RELAY_S
        late_s = LATE_RELAY_S
        if not self._is_relayed:
            most_s, late_s = MAX_LINK_S, LATE_LINK_S
        for centre in range(CENTRES):
            delay_s = 0.0
            if centre != host % CENTRES:
                is_cut = (host % CENTRES, centre) in self.cut_links
                if self.random.random() < self.loss or is_cut:
                    continue
                is_late = self.random.random() < self.late
                delay_s = (
                    late_s
                    if is_late
                    else self.random.uniform(MIN_RELAY_S, most_s)
                )
            self._number += 1
            heapq.heappush(
                self._transits,
                (
                    self.now + delay_s,
                    self._number,
                    host,
                    centre,
                    self.now,
                    reports,
                ),
            )
        self._deliver()

    def _deliver(self) -> None:
        while self._transits and self._transits[0][0] <= self.now:
            _, _, host, centre, sent_s, reports = heapq.heappop(self._transits)
            if self._latest.get((host, centre), -1.0) >= sent_s:
                continue
            self._latest[host, centre] = sent_s
            for other in range(centre, len(self.limiters), CENTRES):
                is_cut = (other in self.cut) != (host in self.cut)
                if other not in {host, *self.dead} and not is_cut:
                    self.limiters[other].record_reports(
                        self._names[host], reports, sent_s
                    )
