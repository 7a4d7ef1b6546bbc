"""Limits the request rate of one client account over all hosts together.

In any window, an account may send its rate times the window plus its burst.
Far below the limit everything is admitted, so an account within its rate is
never refused because of how its requests are distributed over hosts. Near
the limit, each host admits, from one heartbeat to the next, its share of the
remaining quota, in proportion to its demand. The shares sum to one, so the
quota is not spent twice.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from cowslipshift.steering import model

FREE_FRACTION = 0.75
"""Fraction of the limit below which nothing is refused."""

TOLERANCE_FRACTION = 0.3
"""Fraction of the tolerated excess that is granted to clients; the rest covers
admissions that hosts have not yet reported to each other."""

EVEN_FRACTION = 0.3
"""Fraction of the remaining quota that is shared evenly, whatever the demand.
"""

ROUNDING_STEP = 0.618034
"""Step of the point between two whole requests at which a share is rounded up;
multiples of the golden ratio are distributed evenly between 0 and 1."""

UNREPORTED_S = 1.0
"""Seconds of all hosts' demand that the remaining quota must cover if shares
are to be rounded up, as admissions of that time are not yet reported."""

WINDOW_SLOT_S = 0.25
DEMAND_WINDOW_S = 1.0

DEMAND_HOLD_S = 0.2
"""How long the demand that a peer reported counts without decay, as heartbeats
may be lost or wait for a relay."""

RESTART_FRACTION = 0.5
"""Fraction of the limit that a restarted host grants at first, as it does not
know what its predecessor admitted."""

JOIN_BLIND_S = 1.0
"""How long a host that has joined may not have heard the counts of the others;
meanwhile it grants its even share of the rate only."""

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
REPORT_CHANGE_FRACTION = 0.02
"""Fraction of a host's even share of the limit whose change is worth a report.
All hosts together leave less than that fraction of the limit unreported."""

DEMAND_CHANGE_FRACTION = 0.4
"""Change of the demand, as a fraction of the reported demand, that is worth a
report when an account nears its limit, as demand determines the shares."""

HEARTBEATS_PER_REPORT = 8
"""Heartbeats after which a count is reported again, as one may have been lost.
"""

FILLING_FRACTION = 0.4
"""Fraction of the limit above which usage is reported without delay."""

URGENT_FRACTION = 0.08
"""Fraction of the limit that all hosts may admit before they report it."""


class Usage(msgspec.Struct, frozen=True):
    """Admissions and demand of one account on one host.

    Attributes:
        account: Name of the account.
        admitted: Requests admitted in the last window.
        demand: Requests per second received lately.
    """

    account: str
    admitted: int
    demand: float


class PeerLiveness(msgspec.Struct, frozen=True):
    """Which of the other hosts sent no heartbeat lately.

    Attributes:
        hosts: Number of hosts that may admit requests, this one included.
        silent: Hosts that count as silent.
        overdue_s: Seconds by which the heartbeat of a host that is not yet
            silent is overdue.
    """

    hosts: int = 1
    silent: frozenset[str] = frozenset()
    overdue_s: dict[str, float] = {}


class QuotaPolicy(msgspec.Struct, frozen=True):
    """How requests are counted against the quotas of accounts.

    Attributes:
        window_s: Window in which requests are counted.
        overshoot: Fraction by which a limit may be exceeded.
        slack: Requests by which it may be exceeded in addition.
    """

    window_s: float
    overshoot: float = 0.0
    slack: float = 0.0


class _PeerUsage:
    """Last usage of the account that another host reported."""

    __slots__ = ("admitted", "demand", "reported_s")

    def __init__(self, usage: Usage, now: float) -> None:
        self.admitted = usage.admitted
        self.demand = usage.demand
        self.reported_s = now

    def measure_demand(self, now: float) -> float:
        """Return its demand, decayed since the report.

        A host whose demand rises reports it.
        """
        passed_s = now - self.reported_s - DEMAND_HOLD_S
        if passed_s <= 0.0:
            return self.demand
        return self.demand * math.exp(-passed_s / DEMAND_WINDOW_S)


class _SlidingWindow:
    """Counts events in a sliding window."""

    __slots__ = ("_slots", "_window_s", "total")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._slots: collections.deque[list[float]] = collections.deque()
        self.total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        if self._slots and now - self._slots[-1][0] < WINDOW_SLOT_S:
            self._slots[-1][1] += 1
        else:
            self._slots.append([now, 1])
        self.total += 1

    def count(self, now: float) -> int:
        """Return the count; a slot is dropped when all of it is too old."""
        while self._slots and (
            now - self._slots[0][0] > self._window_s + WINDOW_SLOT_S
        ):
            self.total -= int(self._slots.popleft()[1])
        return self.total


class AccountLimiter:
    """Rate limiter of one account, as one host sees the usage.

    Args:
        account: The account.
        policy: How requests are counted against its quota.
        is_restart: Whether the account was in use before this host started.
        now: Present time.
        host: Name of this host; it determines where shares are rounded up.
    """

    __slots__ = (
        "_demand",
        "_demand_s",
        "_is_filling",
        "_limit",
        "_admitted",
        "_peers",
        "_rounding",
        "_unreported",
        "_started_s",
        "_policy",
        "_reported_admitted",
        "_reported_demand",
        "_window_s",
        "_heartbeats_since_report",
        "name",
    )

    def __init__(
        self,
        account: model.Account,
        policy: QuotaPolicy,
        is_restart: bool,
        now: float,
        host: str = "",
    ) -> None:
        self.name = account.name
        self._rounding = hashing.hash_fraction(f"{host}|{account.name}")
        self._policy = policy
        self._window_s = policy.window_s
        self._started_s = now if is_restart else -math.inf
        self._admitted = _SlidingWindow(policy.window_s)
        self._peers: dict[str, _PeerUsage] = {}
        self._demand = 0.0
        self._demand_s = now
        self._is_filling = False
        self._unreported = 0
        self._reported_admitted = 0
        self._reported_demand = 0.0
        self._heartbeats_since_report = 0
        self._limit = 0.0
        self.set_limit(account)

    def set_limit(self, account: model.Account) -> None:
        """Apply a new rate and burst; a rate of 0 means no limit."""
        self._limit = 0.0
        if account.rate > 0.0:
            quota = account.rate * self._window_s + account.burst
            tolerance = quota * self._policy.overshoot + self._policy.slack
            self._limit = quota + TOLERANCE_FRACTION * tolerance

    def try_admit(self, now: float, liveness: PeerLiveness) -> float:
        """Admit a request if the account has quota left.

        Args:
            now: Present time.
            liveness: Which hosts sent no heartbeat lately.

        Returns:
            0 if the request is admitted, else seconds until there is quota.
        """
        self._record_demand(now)
        if self._limit > 0.0:
            if self._exceeds_joining_share(now, liveness):
                return MIN_RETRY_AFTER_S
            limit = self.measure_limit(now)
            used = self.measure_used(now, liveness)
            total = self._measure_total_demand(now, liveness)
            share = self._measure_share(total, now, liveness)
            # A host whose heartbeat is overdue is using its share of the
            # quota.
            remaining = (limit - used) * self._measure_available_fraction(
                now, liveness
            )
            # Admissions since the last heartbeat are already counted as used.
            allowance = share * (remaining + self._unreported)
            if total * UNREPORTED_S <= remaining:
                # With many hosts a share is less than one request. Rounded
                # down it would admit nothing; rounding at varying points
                # preserves its mean.
                allowance += self._rounding
            if (
                used >= FREE_FRACTION * limit
                and self._unreported + 1 > allowance
            ):
                return _clamp(self._window_s / max(share * limit, 0.01))
            self._is_filling = used >= FILLING_FRACTION * limit
        self._admitted.add(now)
        self._unreported += 1
        return 0.0

    def _exceeds_joining_share(
        self, now: float, liveness: PeerLiveness
    ) -> bool:
        """Tell whether a host that has just joined has used its even share.

        It may not know yet what the other hosts have admitted.
        """
        elapsed_s = now - self._started_s
        if elapsed_s >= JOIN_BLIND_S or liveness.hosts <= 1:
            return False
        even_rate = self._limit / self._window_s / liveness.hosts
        return self._admitted.total >= even_rate * elapsed_s + self._rounding

    @property
    def is_filling(self) -> bool:
        """Whether the account nears its limit."""
        return self._is_filling

    def _measure_total_demand(
        self, now: float, liveness: PeerLiveness
    ) -> float:
        """Return the requests per second of all hosts that are not silent."""
        return self._measure_demand(now) + sum(
            peer.measure_demand(now)
            for name, peer in self._peers.items()
            if name not in liveness.silent
        )

    def _measure_share(
        self, total: float, now: float, liveness: PeerLiveness
    ) -> float:
        own = self._measure_demand(now)
        live_hosts = max(1, liveness.hosts - len(liveness.silent))
        by_demand = own / total if total > 0.0 else 1.0 / live_hosts
        return EVEN_FRACTION / live_hosts + (1.0 - EVEN_FRACTION) * by_demand

    def _measure_available_fraction(
        self, now: float, liveness: PeerLiveness
    ) -> float:
        own = self._measure_demand(now)
        total = own + sum(usage.demand for usage in self._peers.values())
        overdue = sum(
            self._peers[name].demand
            for name in liveness.overdue_s
            if name in self._peers
        )
        return 1.0 - overdue / total if total > 0.0 else 1.0

    def report(
        self, now: float, hosts: int, is_full_report: bool
    ) -> Usage | None:
        """Return the usage to report, if any, and start a new period.

        Most heartbeats omit an account whose count has hardly changed: with
        many hosts, the counts are most of what hosts send each other.

        Args:
            now: Present time.
            hosts: Hosts that may admit requests, this one included.
            is_full_report: Whether to report without a significant change.
        """
        self._unreported = 0
        self._rounding = (self._rounding + ROUNDING_STEP) % 1.0
        admitted = self._admitted.count(now)
        self._heartbeats_since_report += 1
        change = abs(admitted - self._reported_admitted)
        min_change = max(
            1.0, REPORT_CHANGE_FRACTION * self._limit / max(1, hosts)
        )
        is_due = (
            is_full_report
            or self._heartbeats_since_report >= HEARTBEATS_PER_REPORT
        )
        is_due = is_due and bool(admitted or self._reported_admitted)
        demand = self._measure_demand(now)
        is_sudden = abs(
            demand - self._reported_demand
        ) > 1.0 + DEMAND_CHANGE_FRACTION * (self._reported_demand)
        is_significant = change >= min_change or (
            is_sudden and self._is_filling
        )
        if not is_due and not is_significant:
            return None
        self._reported_admitted = admitted
        self._reported_demand = demand
        self._heartbeats_since_report = 0
        return Usage(self.name, admitted, demand)

    def record_peer(self, host: str, usage: Usage, now: float) -> None:
        """Record another host's report; `now` is the time of the report."""
        self._peers[host] = _PeerUsage(usage, now)

    def forget_peer(self, host: str) -> None:
        """Forget a host that is gone."""
        self._peers.pop(host, None)

    def is_urgent(self, hosts: int) -> bool:
        """Tell whether the other hosts should hear of this account at once."""
        unreported = self._unreported * max(1, hosts)
        return self._is_filling and unreported > URGENT_FRACTION * self._limit

    def measure_limit(self, now: float) -> float:
        """Return the requests allowed in a window."""
        elapsed_windows = (now - self._started_s) / self._window_s
        if elapsed_windows >= 1.0:
            return self._limit
        return self._limit * (
            RESTART_FRACTION + (1.0 - RESTART_FRACTION) * elapsed_windows
        )

    def measure_used(self, now: float, liveness: PeerLiveness) -> float:
        """Return the requests that all hosts admitted in the window.

        A silent host may be partitioned and keep admitting. It is assumed to
        use what it last reported, or its even share if that is more.
        """
        used = float(self._admitted.count(now))
        for name, usage in self._peers.items():
            if name not in liveness.silent:
                overdue_s = liveness.overdue_s.get(name, 0.0)
                used += usage.admitted + usage.demand * overdue_s
        even_share = self.measure_limit(now) / max(1, liveness.hosts)
        for name in liveness.silent:
            reported = self._peers.get(name)
            used += max(
                even_share, reported.admitted if reported is not None else 0
            )
        return used

    def _record_demand(self, now: float) -> None:
        self._demand = self._measure_demand(now) + 1.0 / DEMAND_WINDOW_S
        self._demand_s = now

    def _measure_demand(self, now: float) -> float:
        passed_s = max(0.0, now - self._demand_s)
        return self._demand * math.exp(-passed_s / DEMAND_WINDOW_S)


def _clamp(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
