"""Keeps backend servers within the request rates that they ask for.

A server in need states in its answers how many requests a second it takes
from all hosts together, for as long as it says so. Such rates are small: a
share for each of many hosts would be a fraction of a request, and counts that
hosts tell each other come too late. So a few hosts, chosen by rendezvous
hashing, divide the rate evenly, and the others send nothing. Hosts tell each
other what a server stated last.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import buckets
from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import model

MIN_RATE = 0.25
"""Requests a second that a server gets whatever it states: only its answers
tell that it has recovered."""

MIN_SENDERS = 3
"""Hosts that send to a server with a limit, and one more for each request a
second. Each may send one request at once, which has to stay within the five
that the platform tolerates."""

USUAL_SILENCE_REQUESTS = 2.0
"""Requests at the stated rate in whose time a server may state nothing."""

SENDER_INTERVAL_S = 4.0
"""Seconds without a statement, beyond that time, after which the number of
senders has doubled, as those chosen may have no request for the server."""

RANK_CACHE_S = 0.5
LIFTED_REPORTED_S = 12.0
"""How long the other hosts are told that a server no longer states a rate."""

MAX_REPORTS = 64
"""Servers that one heartbeat reports; those that spoke last come first."""


class ServerLimitReport(msgspec.Struct, frozen=True):
    """What a server stated last, as one host tells it to another.

    Attributes:
        server: Id of the server.
        started_ms: Its start; a later one is not bound by the limit.
        rate: Requests a second that it takes; 0 if it states none any more.
        age_s: Seconds since the answer that said so.
    """

    server: str
    started_ms: int
    rate: float
    age_s: float


class _ServerLimit:
    """The latest statement of a server, and this host's part of its rate."""

    __slots__ = ("_bucket", "_rank", "_ranked_s", "rate", "stated_s")

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.stated_s = -math.inf
        self._bucket = buckets.TokenBucket(now)
        self._bucket.resize(0.0, 1.0)
        self._bucket.tokens = 1.0
        self._rank = 0
        self._ranked_s = -math.inf

    def rank(
        self,
        server: str,
        own: model.Member,
        members: list[model.Member],
        region: str,
        now: float,
    ) -> int:
        """Return the place of this host among those that may send."""
        if now - self._ranked_s > RANK_CACHE_S:
            self._ranked_s = now
            self._rank = _rank_host(server, own, members, region)
        return self._rank

    def try_admit(self, rank: int, hosts: int, now: float) -> float:
        """Take a request from this host's part of the rate.

        Args:
            rank: Place of this host among those that may send.
            hosts: Number of hosts.
            now: Present time.

        Returns:
            0 if there is one, else seconds until there may be.
        """
        chosen = min(hosts, MIN_SENDERS + int(self.rate))
        silent_s = now - self.stated_s - USUAL_SILENCE_REQUESTS / self.rate
        growth = max(0.0, silent_s) / SENDER_INTERVAL_S
        if rank >= chosen * (1.0 + growth):
            return math.inf
        rate = self.rate / chosen
        burst = max(1.0, self.rate / chosen)
        self._bucket.fill(now)
        self._bucket.resize(rate, burst)
        if self._bucket.tokens < 1.0:
            return (1.0 - self._bucket.tokens) / rate
        self._bucket.tokens -= 1.0
        return 0.0


def _rank_host(
    server: str, own: model.Member, members: list[model.Member], region: str
) -> int:
    """Return how many hosts may send to a server before this one does.

    Those of the server's region come first, as they ask for it most.
    """
    peers = [
        m.name
        for m in members
        if (m.region == region) == (own.region == region)
    ]
    rank = hashing.rank_members(f"limit|{server}", peers).index(own.name)
    if own.region == region:
        return rank
    return len(members) - len(peers) + rank


class ServerLimits:
    """The limits that backend servers state, as one host knows them.

    Args:
        own: This host.
    """

    def __init__(self, own: model.Member) -> None:
        self._own = own
        self._limits: dict[tuple[str, int], _ServerLimit] = {}
        self._is_urgent = False

    @property
    def is_urgent(self) -> bool:
        """Whether the other hosts should hear of a statement at once."""
        return self._is_urgent

    def record_answer(
        self, server: str, started_ms: int, rate: float | None, now: float
    ) -> bool:
        """Record what a server states in an answer.

        Args:
            server: Id of the server.
            started_ms: Its start.
            rate: Requests a second that it takes; ``None`` if it states none.
            now: Present time.

        Returns:
            Whether its rate has changed.
        """
        key = (server, started_ms)
        if rate is None and key not in self._limits:
            return False
        limit = self._limits.setdefault(key, _ServerLimit(now))
        known_rate = limit.rate
        limit.rate = 0.0 if rate is None else max(MIN_RATE, rate)
        limit.stated_s = now
        if bool(known_rate) != bool(limit.rate):
            self._is_urgent = True
        return known_rate != limit.rate

    def is_limited(self, server: str, started_ms: int) -> bool:
        """Tell whether a server states a limit."""
        limit = self._limits.get((server, started_ms))
        return limit is not None and limit.rate > 0.0

    def try_admit(
        self,
        server: str,
        started_ms: int,
        members: list[model.Member],
        region: str,
        now: float,
    ) -> float:
        """Take one request from this host's part of a server's limit.

        Args:
            server: Id of the server.
            started_ms: Its start.
            members: Hosts that may send requests, this one included.
            region: Region of the server.
            now: Present time.

        Returns:
            0 if there is one, else seconds until there may be; infinity if
            other hosts send to the server.
        """
        limit = self._limits.get((server, started_ms))
        if limit is None or limit.rate == 0.0:
            return 0.0
        rank = limit.rank(server, self._own, members, region, now)
        return limit.try_admit(rank, len(members), now)

    def list_reports(self, now: float) -> list[ServerLimitReport]:
        """Return what the other hosts are to be told."""
        self._is_urgent = False
        for key, limit in list(self._limits.items()):
            is_lifted = limit.rate == 0.0
            if is_lifted and now - limit.stated_s > LIFTED_REPORTED_S:
                del self._limits[key]
        newest = sorted(
            self._limits.items(),
            key=lambda item: item[1].stated_s,
            reverse=True,
        )
        return [
            ServerLimitReport(*key, limit.rate, max(0.0, now - limit.stated_s))
            for key, limit in newest[:MAX_REPORTS]
        ]

    def record_reports(
        self, reports: Iterable[ServerLimitReport], now: float
    ) -> list[ServerLimitReport]:
        """Record what another host tells.

        Args:
            reports: What servers stated to it, or to hosts that told it.
            now: Time at which it said so.

        Returns:
            The reports that change a rate.
        """
        changed = []
        for report in reports:
            key = (report.server, report.started_ms)
            if key not in self._limits and report.rate == 0.0:
                continue
            limit = self._limits.setdefault(key, _ServerLimit(now))
            stated_s = now - report.age_s
            if stated_s <= limit.stated_s:
                continue
            limit.stated_s = stated_s
            if report.rate != limit.rate:
                limit.rate = report.rate
                changed.append(report)
        return changed
