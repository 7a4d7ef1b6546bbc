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

MAX_FIRST_FRACTION = 0.5
"""Part of the window over which the first report of a host is spread at most.
"""

MAX_EVEN_GAP_S = 1.0
"""Longest time between two heartbeats of a host over which its admissions
count as evenly spread."""

LATE_AGE_S = 0.2
"""Age of a host's last heartbeat beyond which its demand is assumed to be no
less than that of hosts heard since, as a crowd may have come meanwhile."""

HEARD_MARGIN = 1.25
"""Factor by which hosts heard lately may receive more than others by chance.
"""

HEARD_NOISE = 0.5
"""Requests per second that they may receive more by chance."""


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
    """Last usage that another host reported.

    Attributes:
        usage: The usage.
        reported_s: Time of the report.
        undated: Admissions during a silence that count as of its end, as
            their times are not known.
        undated_s: Time from which they count.
        since: Admissions after them.
        unheard: Admissions assumed during its present silence, until it is
            found to be silent; negative while it is not.
    """

    __slots__ = (
        "reported_s",
        "since",
        "undated",
        "undated_s",
        "unheard",
        "usage",
    )

    def __init__(self, usage: limiters.Usage, reported_s: float) -> None:
        self.usage = usage
        self.reported_s = reported_s
        self.undated = 0.0
        self.undated_s = reported_s
        self.since = 0.0
        self.unheard = -1.0


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
        peer = self._usages.get(host)
        if peer is None:
            peer = self._usages[host] = _PeerUsage(usage, sent_s)
            added = float(usage.admitted)
            lasted_s = added / max(usage.demand, added / self._window_s, 1.0)
            heard_s = max(
                heard_s,
                sent_s - min(lasted_s, MAX_FIRST_FRACTION * self._window_s),
            )
            self._admitted.add_span(added, heard_s, sent_s)
        else:
            self._record_added(peer, usage, sent_s, heard_s)
        peer.usage = usage
        peer.reported_s = sent_s
        peer.unheard = -1.0

    def _record_added(
        self,
        peer: _PeerUsage,
        usage: limiters.Usage,
        sent_s: float,
        heard_s: float,
    ) -> None:
        """Count the admissions since a host's last report."""
        if _has_restarted(peer.usage, usage):
            peer.undated = 0.0
        added = self._count_added(peer, usage, sent_s)
        # Heartbeats in between omitted what the last report let expect.
        omitted_s = max(0.0, heard_s - peer.reported_s)
        omitted = peer.usage.admitted * omitted_s / self._window_s
        omitted = max(0.0, min(omitted, added))
        if omitted > 0.0:
            self._admitted.add_span(omitted, peer.reported_s, heard_s)
            peer.since += omitted
        added -= omitted
        if sent_s - heard_s > MAX_EVEN_GAP_S:
            self._record_undated(peer, added, sent_s)
        elif added < 0.0:
            # Requests that no server ran may be undated ones.
            self._admitted.add_span(added, heard_s, sent_s)
            peer.undated = max(0.0, peer.undated + added)
        else:
            self._admitted.add_span(added, heard_s, sent_s)
            peer.since += added
        self._drop_undated(peer, usage, sent_s)

    def _record_undated(
        self, peer: _PeerUsage, added: float, sent_s: float
    ) -> None:
        """Count admissions of a silence as late as they may have come."""
        self._admitted.add(sent_s, added)
        peer.undated = max(0.0, added)
        peer.undated_s = sent_s
        peer.since = 0.0

    def _drop_undated(
        self, peer: _PeerUsage, usage: limiters.Usage, sent_s: float
    ) -> None:
        """Drop undated admissions that have left the host's window."""
        if sent_s - peer.undated_s >= self._window_s:
            peer.undated = 0.0
        left = max(0.0, usage.admitted - peer.since)
        dropped = peer.undated - left
        if dropped > 0.0:
            self._admitted.add_span(-dropped, peer.undated_s, peer.undated_s)
            peer.undated = left

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
        fraction: float,
        own_demand: float,
    ) -> PeerEstimate:
        """Estimate what has not been reported.

        Args:
            now: Present time.
            liveness: Which hosts sent no heartbeat lately.
            even_share: Even share of the limit, of each host.
            are_changes_told: Whether heartbeats tell of each admission;
                otherwise those that earlier reports let expect are omitted.
            fraction: Fraction of requests admitted lately.
            own_demand: Requests per second that this host receives.
        """
        if now - self._estimated_s < REFRESH_S:
            return self._estimate
        window_s, silent = self._window_s, liveness.silent
        unreported = late = demand = weighted_age = 0.0
        reserved = even_share * len(silent)
        users = admitted = silent_admitted = 0
        heard_demand = self._measure_heard_demand(now, liveness, own_demand)
        for host, peer in self._usages.items():
            usage, reported_s = peer.usage, peer.reported_s
            admitted += usage.admitted
            heard_s = liveness.heard_s.get(host, reported_s)
            age_s = max(0.0, now - heard_s)
            if host in silent:
                silent_admitted += usage.admitted
                if peer.unheard < 0.0:
                    received = usage.demand * age_s + max(
                        0.0, heard_demand - usage.demand
                    ) * (age_s - LATE_AGE_S)
                    peer.unheard = fraction * received
                unheard = peer.unheard if age_s < 1.5 * window_s else 0.0
                left_s = EARLY_FRACTION * window_s - (now - reported_s)
                left = max(0.0, left_s / (EARLY_FRACTION * window_s))
                used = max(even_share, float(usage.admitted))
                used -= left * usage.admitted
                reserved += max(used, unheard) - even_share
                continue
            users += usage.admitted > 0
            demand += usage.demand
            weighted_age += usage.demand * age_s
            late_s = max(0.0, age_s - LATE_AGE_S)
            late += (heard_demand - usage.demand) * late_s
            if not are_changes_told:
                omitted_s = min(window_s, heard_s - reported_s)
                unreported += usage.admitted * omitted_s / window_s
        unreported += weighted_age + max(0.0, late)
        age_s = weighted_age / demand if demand > 0.0 else 0.0
        self._estimate = PeerEstimate(
            unreported,
            reserved,
            demand,
            age_s,
            users,
            1.0 - silent_admitted / admitted if admitted else 1.0,
        )
        self._estimated_s = now
        return self._estimate

    def _measure_heard_demand(
        self, now: float, liveness: limiters.PeerLiveness, own_demand: float
    ) -> float:
        """Return what this host and those heard lately receive at least."""
        demand, hosts = own_demand, 1
        for host, heard_s in liveness.heard_s.items():
            if now - heard_s <= LATE_AGE_S:
                hosts += 1
                if host in self._usages:
                    demand += self._usages[host].usage.demand
        return demand / hosts / HEARD_MARGIN - HEARD_NOISE

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
        if _has_restarted(before, usage):
            return float(usage.admitted)
        return float(min(usage.total - before.total, usage.admitted))


def _has_restarted(before: limiters.Usage, usage: limiters.Usage) -> bool:
    """Tell whether a host has started again, with another first total."""
    if not usage.total:
        return False
    change = usage.total - before.total
    return not before.total or change < -before.admitted
