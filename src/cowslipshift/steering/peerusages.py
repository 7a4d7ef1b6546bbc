"""What the other hosts use of an account's quota, from their reports."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.steering import admissions

if TYPE_CHECKING:
    from cowslipshift.steering import limiters

REFRESH_S = 0.02
"""How long an estimate is used before it is computed again."""


EARLY_FRACTION = 0.6
"""Fraction of the window after which the admissions that a silent host told
may all have left it; they may have come in a burst."""


LATE_FRACTION = 0.5
"""Last fraction of the window in which the admissions of a host count that
was not heard for so long."""


class PeerEstimate(msgspec.Struct, frozen=True):
    """What the other hosts use of a quota, as far as one host can tell.

    Attributes:
        unreported: Requests that they have received since their reports.
        reserved: Admissions of silent hosts, which may be partitioned and go
            on admitting, beyond those that they reported.
        demand: Requests per second that they receive.
        age_s: Mean time since their last heartbeats, weighted by demand.
        users: Number of hosts that have admitted requests lately.
        live_fraction: Fraction of the reported admissions that is not of
            silent hosts.
    """

    unreported: float = 0.0
    reserved: float = 0.0
    demand: float = 0.0
    age_s: float = 0.0
    users: int = 0
    live_fraction: float = 1.0


class _PeerUsage:
    """Last usage that another host reported."""

    __slots__ = ("reported_s", "usage")

    def __init__(self, usage: limiters.Usage, reported_s: float) -> None:
        self.usage = usage
        self.reported_s = reported_s


class PeerUsages:
    """Usage of one account on the other hosts.

    Args:
        window_s: Window in which requests are counted.
    """

    __slots__ = (
        "_admitted",
        "_estimate",
        "_estimated_s",
        "_usages",
        "_window_s",
    )

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._admitted = admissions.AdmissionLedger(window_s)
        self._usages: dict[str, _PeerUsage] = {}
        self._estimate = PeerEstimate()
        self._estimated_s = -math.inf

    def record(
        self, host: str, usage: limiters.Usage, sent_s: float, heard_s: float
    ) -> None:
        """Record another host's report.

        Args:
            host: The host.
            usage: Its usage.
            sent_s: Time of the report.
            heard_s: Time of its heartbeat before, if any.
        """
        last = self._usages.get(host)
        if last is None:
            added = float(usage.admitted)
            lasted_s = added / max(usage.demand, added / self._window_s, 1.0)
            heard_s = max(heard_s, sent_s - lasted_s)
        else:
            added = self._count_added(last, usage, sent_s)
            # Heartbeats in between omitted what the last report let expect.
            omitted_s = max(0.0, heard_s - last.reported_s)
            omitted = last.usage.admitted * omitted_s / self._window_s
            omitted = max(0.0, min(omitted, added))
            if omitted > 0.0:
                self._admitted.add_span(omitted, last.reported_s, heard_s)
            added -= omitted
        # After a long silence they may all have come late in it.
        heard_s = max(heard_s, sent_s - LATE_FRACTION * self._window_s)
        if added:
            self._admitted.add_span(added, heard_s, sent_s)
        self._usages[host] = _PeerUsage(usage, sent_s)

    def forget(self, host: str) -> None:
        """Forget a host that is gone; what it admitted stays counted."""
        self._usages.pop(host, None)

    def count(self, now: float) -> float:
        """Return the reported admissions in the window."""
        return self._admitted.count(now)

    def count_leaving(self, now: float, ahead_s: float) -> float:
        """Return how many of them leave the window in some time."""
        return self._admitted.count_leaving(now, ahead_s)

    def estimate(
        self,
        now: float,
        liveness: limiters.PeerLiveness,
        even_share: float,
        are_changes_told: bool,
    ) -> PeerEstimate:
        """Estimate what has not been reported.

        Args:
            now: Present time.
            liveness: Which hosts sent no heartbeat lately.
            even_share: Even share of the limit, of each host.
            are_changes_told: Whether heartbeats tell of each admission;
                otherwise those that earlier reports let expect are omitted.
        """
        if now - self._estimated_s < REFRESH_S:
            return self._estimate
        window_s, silent = self._window_s, liveness.silent
        unreported = demand = weighted_age = counted = 0.0
        reserved = even_share * len(silent)
        users = admitted = silent_admitted = 0
        for host, peer in self._usages.items():
            usage, reported_s = peer.usage, peer.reported_s
            admitted += usage.admitted
            if host in silent:
                silent_admitted += usage.admitted
                left_s = EARLY_FRACTION * window_s - (now - reported_s)
                left = max(0.0, left_s / (EARLY_FRACTION * window_s))
                counted += left * usage.admitted
                reserved += max(0.0, usage.admitted - even_share)
                continue
            heard_s = liveness.heard_s.get(host, reported_s)
            age_s = max(0.0, now - heard_s)
            users += usage.admitted > 0
            demand += usage.demand
            weighted_age += usage.demand * age_s
            if not are_changes_told:
                omitted_s = min(window_s, heard_s - reported_s)
                unreported += usage.admitted * omitted_s / window_s
        unreported += weighted_age
        age_s = weighted_age / demand if demand > 0.0 else 0.0
        self._estimate = PeerEstimate(
            unreported,
            max(0.0, reserved - counted),
            demand,
            age_s,
            users,
            1.0 - silent_admitted / admitted if admitted else 1.0,
        )
        self._estimated_s = now
        return self._estimate

    def _count_added(
        self, last: _PeerUsage, usage: limiters.Usage, sent_s: float
    ) -> float:
        """Return the admissions between two reports of a host.

        It is negative if admitted requests were withdrawn.
        """
        before = last.usage
        if not usage.total:
            # A host of an earlier version tells the count of its window only.
            passed = min(1.0, (sent_s - last.reported_s) / self._window_s)
            change = usage.admitted - before.admitted
            return max(0.0, change + passed * before.admitted)
        change = usage.total - before.total
        if not before.total or change < -before.admitted:
            # It has started again and counts from another number.
            return float(usage.admitted)
        return float(min(change, usage.admitted))
