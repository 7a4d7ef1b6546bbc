"""Holds client accounts to their limits over all hosts together.

Each host counts its own admissions and hears the others' counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.steering import limiters
from cowslipshift.steering import membership as memberships

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import model

DUE_AFTER_S = 0.5
"""Silence after which a host is taken to admit on at its last pace."""

SILENT_AFTER_S = 1.2
"""Silence after which a host is taken to use its even part at least."""

RESERVED_FOR_S = 12.0
"""How long a silent host's part stays reserved: it may be cut off and admit
on. Afterwards it is taken to be gone."""

WHOLE_AFTER_SILENCE_S = 2.0
"""How long after others were silent all counts are told: those who were cut
off have missed the news."""


class AccountLimiters:
    """The meters of all accounts on one host.

    Args:
        terms: How limits are counted.
        is_restart: Whether accounts were in use before this host started.
        now: Present time.
        host: Name of this host.
    """

    __slots__ = (
        "_heard_s",
        "_host",
        "_is_restart",
        "_meters",
        "_started_s",
        "_terms",
        "_whole_until_s",
    )

    def __init__(
        self,
        terms: limiters.QuotaPolicy,
        is_restart: bool,
        now: float,
        host: str = "",
    ) -> None:
        self._terms = terms
        self._host = host
        self._started_s = now
        self._whole_until_s = now
        self._heard_s: dict[str, float] = {}
        self._is_restart = is_restart
        self._meters: dict[str, limiters.AccountLimiter] = {}

    def apply(self, accounts: Iterable[model.Account], now: float) -> None:
        """Follow the configuration; admissions are not forgotten."""
        for account in accounts:
            meter = self._meters.get(account.name)
            if meter is None:
                self._meters[account.name] = limiters.AccountLimiter(
                    account, self._terms, self._is_restart, now, self._host
                )
            else:
                meter.set_limit(account)

    def find_limiter(self, account: str) -> limiters.AccountLimiter | None:
        """Return the meter of an account."""
        return self._meters.get(account)

    def list_reports(
        self, now: float, announced: set[str], stretch: float = 1.0
    ) -> list[limiters.Usage]:
        """Return what the others are to know, of accounts in use.

        Args:
            now: Present time.
            announced: The other hosts.
            stretch: How much later words come, for there are many hosts.
        """
        liveness = self.assess_peers(now, announced, stretch)
        missing = len(liveness.silent) + len(liveness.overdue_s)
        # With many hosts some word is always overdue: one in a hundred is
        # lost.
        if missing > liveness.hosts // memberships.MAX_FULL_MESH_HOSTS:
            self._whole_until_s = now + WHOLE_AFTER_SILENCE_S
        is_whole = now < self._whole_until_s
        reports = (
            meter.report(now, liveness.hosts, is_whole)
            for meter in self._meters.values()
        )
        return [usage for usage in reports if usage is not None]

    def record_reports(
        self, host: str, reports: Iterable[limiters.Usage], now: float
    ) -> None:
        """Take what another host admitted, of accounts with news."""
        self._heard_s[host] = max(now, self._heard_s.get(host, now))
        for usage in reports:
            meter = self._meters.get(usage.account)
            if meter is not None:
                meter.record_peer(host, usage, now)

    def assess_peers(
        self, now: float, announced: set[str], stretch: float = 1.0
    ) -> limiters.PeerLiveness:
        """Return which hosts were not heard lately.

        Args:
            now: Present time.
            announced: The other hosts; those no longer announced count on
                for a while, for they may be cut off.
            stretch: How much later words come, for there are many hosts.
        """
        for host, heard_s in list(self._heard_s.items()):
            if host not in announced and now - heard_s > RESERVED_FOR_S:
                del self._heard_s[host]
                for meter in self._meters.values():
                    meter.forget_peer(host)
        hosts = announced | self._heard_s.keys()
        late = {}
        names = set()
        for host in hosts:
            age_s = now - self._heard_s.get(host, self._started_s)
            age_s /= stretch
            if SILENT_AFTER_S < age_s <= RESERVED_FOR_S:
                names.add(host)
            elif DUE_AFTER_S < age_s <= SILENT_AFTER_S:
                late[host] = age_s - DUE_AFTER_S
        return limiters.PeerLiveness(len(hosts) + 1, frozenset(names), late)
