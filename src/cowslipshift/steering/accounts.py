"""Enforces the quotas of client accounts over all hosts together.

Each host counts its own admissions and learns the counts of the others from
their heartbeats.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cowslipshift.steering import limiters
from cowslipshift.steering import membership as memberships

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import model

OVERDUE_AFTER_S = 0.5
"""Silence after which a host's heartbeat is overdue."""

SILENT_AFTER_S = 1.2
"""Silence after which a host is assumed to use at least its even share."""

SHARE_RESERVED_S = 12.0
"""How long the share of a silent host stays reserved, as it may be partitioned
and keep admitting. Afterwards it is assumed to be gone."""

FULL_REPORTS_AFTER_SILENCE_S = 2.0
"""How long after a silence all counts are reported, as hosts that were
partitioned have missed earlier reports."""


NEWCOMER_REPORTS_S = 2.0
"""How long after a host has joined, or started again, the counts of accounts
that near their limits are reported to it."""


class AccountLimiters:
    """The rate limiters of all accounts on one host.

    Args:
        policy: How requests are counted against quotas.
        is_restart: Whether accounts were in use before this host started.
        now: Present time.
        host: Name of this host.
    """

    __slots__ = (
        "_last_heard_s",
        "_host",
        "_newcomers_until_s",
        "_is_restart",
        "_limiters",
        "_started_s",
        "_policy",
        "_full_reports_until_s",
    )

    def __init__(
        self,
        policy: limiters.QuotaPolicy,
        is_restart: bool,
        now: float,
        host: str = "",
    ) -> None:
        self._policy = policy
        self._host = host
        self._started_s = now
        self._full_reports_until_s = now
        self._newcomers_until_s = now
        self._last_heard_s: dict[str, float] = {}
        self._is_restart = is_restart
        self._limiters: dict[str, limiters.AccountLimiter] = {}

    def apply(self, accounts: Iterable[model.Account], now: float) -> None:
        """Apply the configured accounts; recorded admissions are kept."""
        for account in accounts:
            limiter = self._limiters.get(account.name)
            if limiter is None:
                self._limiters[account.name] = limiters.AccountLimiter(
                    account, self._policy, self._is_restart, now, self._host
                )
            else:
                limiter.set_limit(account)

    def record_newcomer(self, now: float) -> None:
        """Record that a host joined that knows no counts yet."""
        self._newcomers_until_s = now + NEWCOMER_REPORTS_S

    def find_limiter(self, account: str) -> limiters.AccountLimiter | None:
        """Return the rate limiter of an account."""
        return self._limiters.get(account)

    def list_reports(
        self, now: float, announced: set[str], timeout_factor: float = 1.0
    ) -> list[limiters.Usage]:
        """Return the usage of accounts to report to the other hosts.

        Args:
            now: Present time.
            announced: The other hosts.
            timeout_factor: Factor by which heartbeats come later than with few
                hosts.
        """
        liveness = self.assess_peers(now, announced, timeout_factor)
        missing = len(liveness.silent) + liveness.overdue
        # With many hosts some heartbeat is always overdue, as one in a hundred
        # is lost.
        if missing > liveness.hosts // memberships.MAX_FULL_MESH_HOSTS:
            self._full_reports_until_s = now + FULL_REPORTS_AFTER_SILENCE_S
        is_full_report = now < self._full_reports_until_s
        has_newcomer = now < self._newcomers_until_s
        reports = (
            limiter.report(
                now,
                liveness,
                is_full_report or (has_newcomer and limiter.is_filling),
            )
            for limiter in self._limiters.values()
        )
        return [usage for usage in reports if usage is not None]

    def record_reports(
        self, host: str, reports: Iterable[limiters.Usage], now: float
    ) -> None:
        """Record the usage of accounts that another host reported."""
        heard_s = self._last_heard_s.get(host, -math.inf)
        self._last_heard_s[host] = max(now, heard_s)
        for usage in reports:
            limiter = self._limiters.get(usage.account)
            if limiter is not None:
                limiter.record_peer(host, usage, now, heard_s)

    def assess_peers(
        self, now: float, announced: set[str], timeout_factor: float = 1.0
    ) -> limiters.PeerLiveness:
        """Return which hosts sent no heartbeat lately.

        Args:
            now: Present time.
            announced: The other hosts; those that are no longer announced
                count for a while, as they may be partitioned.
            timeout_factor: Factor by which heartbeats come later than with few
                hosts.
        """
        for host, last_heard_s in list(self._last_heard_s.items()):
            if host not in announced and now - last_heard_s > SHARE_RESERVED_S:
                del self._last_heard_s[host]
                for limiter in self._limiters.values():
                    limiter.forget_peer(host)
        hosts = announced | self._last_heard_s.keys()
        overdue = 0
        silent = set()
        for host in hosts:
            age_s = now - self._last_heard_s.get(host, self._started_s)
            age_s /= timeout_factor
            if SILENT_AFTER_S < age_s <= SHARE_RESERVED_S:
                silent.add(host)
            elif OVERDUE_AFTER_S < age_s <= SILENT_AFTER_S:
                overdue += 1
        return limiters.PeerLiveness(
            len(hosts) + 1, frozenset(silent), overdue, self._last_heard_s
        )
