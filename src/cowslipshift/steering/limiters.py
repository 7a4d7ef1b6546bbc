"""Limits the request rate of one client account over all hosts together.

In any window, an account may send its rate times the window plus its burst.
Each host estimates what all hosts have admitted: its own admissions, those
that others reported, and those that they have not reported yet. While the
quota suffices for all that arrives until hosts hear of each other, everything
is admitted. Near the limit, all hosts admit the same fraction of what they
receive, however requests are distributed over them.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import hashing
from cowslipshift.steering import admissions
from cowslipshift.steering import demands
from cowslipshift.steering import peerusages
from cowslipshift.steering import rooms
from cowslipshift.steering import startlimits
from cowslipshift.steering import usagereports

if TYPE_CHECKING:
    from cowslipshift.steering import model

TOLERANCE_FRACTION = 0.2
"""Fraction of the tolerated excess that is always granted to clients."""

KNOWN_FRACTION = 0.35
"""Further fraction, of the tolerated overshoot without the slack, that is
granted while all admissions are known."""

UNKNOWN_WEIGHT = 0.25
"""By how much the further fraction shrinks with each admission that is only
estimated."""

CALM_FRACTION = 0.6
"""Fraction of the limit below which the other hosts' usage is not estimated,
unless this host receives more than all of them could."""

AHEAD_FACTOR = 0.5
MAX_AHEAD_S = 1.0
"""Time ahead for which room is divided, in mean ages of the reports, and its
maximum."""

UNHEARD_AGE_S = 0.35
"""Age assumed of reports while no host has reported demand."""

UNKNOWN_FRACTION = 0.1
"""Fraction of the limit below which the admissions that are known don't tell
which hosts receive requests of the account."""

ROOM_FRACTION = 0.99
"""Admitted fraction from which an account counts as having room."""

SOON_S = 0.05
"""Time ahead over which the rate of leaving admissions is measured."""

WINDOW_MARGIN_S = 0.1
"""Time for which admissions count beyond the window, as requests reach servers
later than they are admitted, by various times."""

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
RETRY_STEP_S = 0.2

FILLING_FRACTION = 0.4
"""Fraction of the limit above which usage is reported without delay."""

URGENT_FRACTION = 0.08
SURGE_FRACTION = 0.25
"""Fractions of the limit that all hosts may admit before they report it, when
the account nears its limit and before."""


class Usage(msgspec.Struct, frozen=True):
    """Admissions and demand of one account on one host.

    Attributes:
        account: Name of the account.
        admitted: Requests admitted in the last window.
        demand: Requests per second received lately.
        total: Requests admitted since the host started, from a number that
            differs by start; 0 if not told.
    """

    account: str
    admitted: int
    demand: float
    total: int = 0


class PeerLiveness(msgspec.Struct, frozen=True):
    """Which of the other hosts sent no heartbeat lately.

    Attributes:
        hosts: Number of hosts that may admit requests, this one included.
        silent: Hosts that count as silent.
        overdue: Number of hosts whose heartbeat is overdue and which are not
            silent yet.
        heard_s: Time of the last heartbeat by host.
    """

    hosts: int = 1
    silent: frozenset[str] = frozenset()
    overdue: int = 0
    heard_s: dict[str, float] = {}


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


class AccountLimiter:
    """Rate limiter of one account, as one host sees the usage.

    Args:
        account: The account.
        policy: How requests are counted against its quota.
        is_restart: Whether the account was in use before this host started.
        now: Present time.
        host: Name of this host; hosts round at different points.
    """

    __slots__ = (
        "_admitted",
        "_credit",
        "_demand",
        "_fraction",
        "_is_filling",
        "_limit",
        "_overshoot",
        "_peers",
        "_policy",
        "_reporter",
        "_started_s",
        "_total",
        "_unreported",
        "_window_s",
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
        self._credit = hashing.hash_fraction(f"{host}|{account.name}")
        self._policy = policy
        self._window_s = policy.window_s
        self._started_s = now if is_restart else -math.inf
        self._admitted = admissions.AdmissionLedger(
            policy.window_s + WINDOW_MARGIN_S
        )
        self._total = usagereports.choose_first_total(host, self.name, now)
        self._peers = peerusages.PeerUsages(policy.window_s + WINDOW_MARGIN_S)
        self._demand = demands.AccountDemand(now)
        self._fraction = rooms.AverageFraction(now)
        self._is_filling = False
        self._unreported = 0
        self._reporter = usagereports.UsageReporter(
            Usage(account.name, 0, 0.0, self._total), policy.window_s, now
        )
        self._limit = self._overshoot = 0.0
        self.set_limit(account)

    def set_limit(self, account: model.Account) -> None:
        """Apply a new rate and burst; a rate of 0 means no limit."""
        self._limit = self._overshoot = 0.0
        if account.rate > 0.0:
            quota = account.rate * self._window_s + account.burst
            tolerance = quota * self._policy.overshoot + self._policy.slack
            self._limit = quota + TOLERANCE_FRACTION * tolerance
            self._overshoot = quota * self._policy.overshoot

    def try_admit(self, now: float, liveness: PeerLiveness) -> float:
        """Admit a request if the account has quota left.

        Args:
            now: Present time.
            liveness: Which hosts sent no heartbeat lately.

        Returns:
            0 if the request is admitted, else seconds until there is quota.
        """
        demand = self._demand.record(now)
        if self._limit > 0.0:
            if self._exceeds_joining_share(now, liveness):
                return MIN_RETRY_AFTER_S
            used = self._count_used(now)
            limit = self.measure_limit(now)
            if liveness.silent or (
                used + demand * liveness.hosts >= CALM_FRACTION * limit
            ):
                room = self._measure_room(now, liveness, demand)
                fraction = room.compute_fraction()
                self._fraction.record(now, fraction)
                self._credit += min(1.0, fraction)
                if self._credit < 1.0:
                    return self._choose_retry_after(now, room)
                self._credit -= 1.0
            else:
                self._fraction.record(now, 1.0)
            self._is_filling = used >= FILLING_FRACTION * limit
        self._admitted.add(now)
        self._total += 1
        self._unreported += 1
        return 0.0

    def withdraw(self, admitted_s: float, now: float) -> None:
        """Take back a request, admitted then, that no server ran."""
        self._demand.withdraw(admitted_s, now)
        self._admitted.add_span(-1.0, admitted_s, admitted_s)
        self._total -= 1
        self._unreported = max(0, self._unreported - 1)

    def _measure_room(
        self, now: float, liveness: PeerLiveness, own_demand: float
    ) -> rooms.Room:
        limit = self.measure_limit(now)
        peers = self._peers.estimate(
            now,
            liveness,
            limit / max(1, liveness.hosts),
            self._is_filling,
            self._fraction.value,
            own_demand,
        )
        used = self._count_used(now)
        others = peers.users
        if used < UNKNOWN_FRACTION * limit:
            others = liveness.hosts - len(liveness.silent) - 1
        grown = self._demand.estimate_others(own_demand, peers.demand, others)
        since_s = peers.age_s or UNHEARD_AGE_S
        since_s *= liveness.hosts > 1
        unreported = self._fraction.value * (
            peers.unreported + (grown - peers.demand) * since_s
        )
        unknown = unreported + peers.reserved
        limit += max(
            0.0, KNOWN_FRACTION * self._overshoot - UNKNOWN_WEIGHT * unknown
        )
        ahead_s = min(MAX_AHEAD_S, AHEAD_FACTOR * since_s)
        arriving = ahead_s * (max(own_demand, 1.0) + grown)
        leaving = 0.0
        if limit - used - unknown < arriving:
            leaving = self._count_leaving(now, ahead_s, peers.live_fraction)
        return rooms.Room(
            limit,
            used + peers.reserved,
            peers.reserved,
            unreported,
            leaving,
            arriving,
        )

    def _count_used(self, now: float) -> float:
        """Return the admissions in the window, as far as reported."""
        return self._admitted.count(now) + self._peers.count(now)

    def _count_leaving(
        self, now: float, ahead_s: float, live_fraction: float
    ) -> float:
        """Return the admissions that make room in the time ahead.

        Room that many leave at once is not there before they leave, and that
        of silent hosts stays reserved.
        """
        if ahead_s <= 0.0:
            return 0.0
        rates = []
        for within_s in (min(ahead_s, SOON_S), ahead_s):
            own = self._admitted.count_leaving(now, within_s)
            others = self._peers.count_leaving(now, within_s)
            rates.append((own + live_fraction * others) / within_s)
        return ahead_s * min(rates)

    def _choose_retry_after(self, now: float, room: rooms.Room) -> float:
        """Return when a caller that returns would probably be admitted."""
        wait_s = MIN_RETRY_AFTER_S
        while wait_s < MAX_RETRY_AFTER_S:
            leaving = self._admitted.count_leaving(now, wait_s)
            leaving += self._peers.count_leaving(now, wait_s)
            if room.used + room.unreported + room.arriving - leaving <= (
                room.limit
            ):
                break
            wait_s += RETRY_STEP_S
        expected_s = MIN_RETRY_AFTER_S / max(0.01, room.compute_fraction())
        return min(MAX_RETRY_AFTER_S, wait_s, expected_s)

    def _exceeds_joining_share(
        self, now: float, liveness: PeerLiveness
    ) -> bool:
        """Tell whether a host that has just joined has used its even share.

        It may not know yet what the other hosts have admitted.
        """
        share = startlimits.compute_blind_share(
            self._limit, self._window_s, now - self._started_s, liveness.hosts
        )
        if share is None:
            return False
        return self._admitted.count(now) >= share + self._credit

    @property
    def is_filling(self) -> bool:
        """Whether the account nears its limit."""
        return self._is_filling

    def report(
        self, now: float, liveness: PeerLiveness, is_full_report: bool
    ) -> Usage | None:
        """Return the usage to report, if any, and start a new period.

        Args:
            now: Present time.
            liveness: Which hosts sent no heartbeat lately.
            is_full_report: Whether to report without a significant change.
        """
        self._unreported = 0
        demand = self._demand.record_heartbeat(now)
        own = self._admitted.count(now)
        used = self._count_used(now)
        self._is_filling = used >= FILLING_FRACTION * self._limit > 0.0
        if self._is_filling:
            room = self._measure_room(now, liveness, demand)
            self._fraction.record(now, room.compute_fraction())
        usage = Usage(self.name, max(0, round(own)), demand, self._total)
        is_due = self._reporter.should_report(
            usage,
            now,
            self._limit / max(1, liveness.hosts),
            self._is_filling,
            self._fraction.value >= ROOM_FRACTION,
        )
        if not is_due and not (
            is_full_report and self._reporter.is_used(usage)
        ):
            return None
        self._reporter.record(usage, now)
        return usage

    def record_peer(
        self, host: str, usage: Usage, now: float, heard_s: float = -math.inf
    ) -> None:
        """Record another host's report.

        Args:
            host: The host.
            usage: Its usage.
            now: Time of the report.
            heard_s: Time of its heartbeat before, if any.
        """
        self._peers.record(host, usage, now, heard_s)

    def forget_peer(self, host: str) -> None:
        """Forget a host that is gone."""
        self._peers.forget(host)

    def is_urgent(self, hosts: int) -> bool:
        """Tell whether the other hosts should hear of this account at once."""
        unreported = self._unreported * max(1, hosts)
        fraction = URGENT_FRACTION if self._is_filling else SURGE_FRACTION
        return unreported > fraction * self._limit > 0.0

    def measure_limit(self, now: float) -> float:
        """Return the requests allowed in a window."""
        return startlimits.scale_limit(
            self._limit, (now - self._started_s) / self._window_s
        )

    def describe(self, now: float, liveness: PeerLiveness) -> dict[str, float]:
        """Return the values behind a decision, for the log."""
        demand = self._demand.measure(now)
        room = self._measure_room(now, liveness, demand)
        return {
            "used": room.used + room.unreported,
            "limit": room.limit,
            "own": self._admitted.count(now),
            "unreported": room.unreported,
            "reserved": room.reserved,
            "fraction": room.compute_fraction(),
        }
