"""Holds client accounts to their rate and burst over all hosts together.

What an account may send in any window is its rate times the window plus its
burst. Each host counts its own admissions in the window and hears the
others' counts. Far below the limit everything is admitted, so an account
within its rate is never refused for the way its requests fall on hosts.
Near the limit each host admits, from one word to the next, its share of the
room that is left, in proportion to what it is asked for. The shares sum to
one, so the room is not spent twice.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import model

FREE_PART = 0.7
"""Part of the limit below which nothing is refused."""

SPARE_PART = 0.5
"""Part of the tolerated excess that is given to callers; the rest covers
what hosts have not yet heard of each other."""

EVEN_PART = 0.2
"""Part of the room that is shared evenly, whatever the demand."""

SLOT_S = 0.25
DEMAND_WINDOW_S = 1.0
SILENT_AFTER_S = 4.0
"""How long a silent host keeps its part of the room: it may be cut off and
admit on."""

FIRST_PART = 0.5
"""Part of the limit that a restarted host grants at first: what its
forerunner admitted is not known."""

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
URGENT_PART = 0.04
"""Part of the limit that a host admits at most before the others hear."""


class Usage(msgspec.Struct, frozen=True):
    """What one host admitted and was asked for on one account.

    Attributes:
        account: Name of the account.
        admitted: Requests admitted in the last window.
        demand: Requests per second that it was asked for lately.
    """

    account: str
    admitted: int
    demand: float


class Terms(msgspec.Struct, frozen=True):
    """How operators count the limits of accounts.

    Attributes:
        window_s: Window in which requests are counted.
        overshoot: Part of a limit that may be exceeded.
        slack: Requests that may be exceeded besides.
    """

    window_s: float
    overshoot: float = 0.0
    slack: float = 0.0


class _Peer:
    __slots__ = ("admitted", "demand", "heard_s")

    def __init__(self, usage: Usage, now: float) -> None:
        self.admitted = usage.admitted
        self.demand = usage.demand
        self.heard_s = now


class _Window:
    """Counts what happened in a sliding window."""

    __slots__ = ("_slots", "_window_s", "total")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._slots: collections.deque[list[float]] = collections.deque()
        self.total = 0

    def add(self, now: float) -> None:
        """Count one."""
        if self._slots and now - self._slots[-1][0] < SLOT_S:
            self._slots[-1][1] += 1
        else:
            self._slots.append([now, 1])
        self.total += 1

    def measure(self, now: float) -> int:
        """Return the count; a slot leaves when all of it is too old."""
        while self._slots and (
            now - self._slots[0][0] > self._window_s + SLOT_S
        ):
            self.total -= int(self._slots.popleft()[1])
        return self.total


class AccountMeter:
    """The window of one account as one host sees it.

    Args:
        account: The account.
        terms: How its limit is counted.
        is_restart: Whether the account was in use before this host started.
        now: Present time.
    """

    __slots__ = (
        "_demand",
        "_demand_s",
        "_grant",
        "_limit",
        "_own",
        "_peers",
        "_spent",
        "_started_s",
        "_terms",
        "_window_s",
        "name",
    )

    def __init__(
        self,
        account: model.Account,
        terms: Terms,
        is_restart: bool,
        now: float,
    ) -> None:
        self.name = account.name
        self._terms = terms
        self._window_s = terms.window_s
        self._started_s = now if is_restart else -math.inf
        self._own = _Window(terms.window_s)
        self._peers: dict[str, _Peer] = {}
        self._demand = 0.0
        self._demand_s = now
        self._grant = 0.0
        self._spent = 0
        self._limit = 0.0
        self.set_terms(account)

    def set_terms(self, account: model.Account) -> None:
        """Put another rate and burst in force; no rate means no limit."""
        self._limit = 0.0
        if account.rate > 0.0:
            paid = account.rate * self._window_s + account.burst
            spare = paid * self._terms.overshoot + self._terms.slack
            self._limit = paid + SPARE_PART * spare

    def try_admit(self, now: float, hosts: int) -> float:
        """Admit a request if the account has room.

        Args:
            now: Present time.
            hosts: Hosts that may admit requests, this one included.

        Returns:
            0 when it is admitted, else seconds until there is room.
        """
        self._note_demand(now)
        if self._limit > 0.0:
            limit = self.measure_limit(now)
            used = self.measure_used(now)
            if used >= FREE_PART * limit and self._spent + 1 > self._grant:
                pace = self.measure_share(now, hosts) * limit
                return _clamp(self._window_s / max(pace, 0.01))
        self._own.add(now)
        self._spent += 1
        return 0.0

    def measure_share(self, now: float, hosts: int) -> float:
        """Return this host's part of the room, from 0 to 1."""
        own = self._measure_demand(now)
        total = own + sum(peer.demand for peer in self._peers.values())
        count = max(1, hosts, len(self._peers) + 1)
        by_demand = own / total if total > 0.0 else 1.0 / count
        return EVEN_PART / count + (1.0 - EVEN_PART) * by_demand

    def report(self, now: float, hosts: int) -> Usage:
        """Return what the others are to know, and begin another round."""
        admitted = self._own.measure(now)
        if self._limit > 0.0:
            room = self.measure_limit(now) - self.measure_used(now)
            unspent = min(1.0, max(0.0, self._grant - self._spent))
            share = self.measure_share(now, hosts)
            self._grant = unspent + max(0.0, share * room)
        self._spent = 0
        return Usage(self.name, admitted, self._measure_demand(now))

    def is_idle(self, now: float) -> bool:
        """Tell whether there is nothing to report."""
        return self._own.measure(now) == 0 and self._measure_demand(now) < 0.1

    def note_peer(self, host: str, usage: Usage, now: float) -> None:
        """Take what another process of the system admitted."""
        self._peers[host] = _Peer(usage, now)

    def is_urgent(self) -> bool:
        """Tell whether the others should hear of this account at once."""
        return self._limit > 0.0 and self._spent > max(
            3.0, URGENT_PART * self._limit
        )

    def measure_age(self, now: float) -> float:
        """Return the age in seconds of the oldest count of another host."""
        oldest_s = min((p.heard_s for p in self._peers.values()), default=now)
        return now - oldest_s

    def measure_limit(self, now: float) -> float:
        """Return the requests allowed in a window."""
        age = (now - self._started_s) / self._window_s
        if age >= 1.0:
            return self._limit
        return self._limit * (FIRST_PART + (1.0 - FIRST_PART) * age)

    def measure_used(self, now: float) -> float:
        """Return the requests that all hosts admitted in the window."""
        used = float(self._own.measure(now))
        for name, peer in list(self._peers.items()):
            silent_s = now - peer.heard_s
            if silent_s > max(SILENT_AFTER_S, self._window_s):
                del self._peers[name]
                continue
            # A silent host's admissions leave the window as time passes;
            # one that is cut off goes on admitting, so they count in full
            # for as long as it may be.
            if silent_s < SILENT_AFTER_S:
                used += peer.admitted
            else:
                used += peer.admitted * (1.0 - silent_s / self._window_s)
        return used

    def _note_demand(self, now: float) -> None:
        self._demand = self._measure_demand(now) + 1.0 / DEMAND_WINDOW_S
        self._demand_s = now

    def _measure_demand(self, now: float) -> float:
        passed_s = max(0.0, now - self._demand_s)
        return self._demand * math.exp(-passed_s / DEMAND_WINDOW_S)


class AccountDesk:
    """The meters of all accounts on one host.

    Args:
        terms: How limits are counted.
        is_restart: Whether accounts were in use before this host started.
    """

    __slots__ = ("_is_restart", "_meters", "_terms")

    def __init__(self, terms: Terms, is_restart: bool) -> None:
        self._terms = terms
        self._is_restart = is_restart
        self._meters: dict[str, AccountMeter] = {}

    def apply(self, accounts: Iterable[model.Account], now: float) -> None:
        """Follow the configuration; admissions are not forgotten."""
        for account in accounts:
            meter = self._meters.get(account.name)
            if meter is None:
                self._meters[account.name] = AccountMeter(
                    account, self._terms, self._is_restart, now
                )
            else:
                meter.set_terms(account)

    def find_meter(self, account: str) -> AccountMeter | None:
        """Return the meter of an account."""
        return self._meters.get(account)

    def list_reports(self, now: float, hosts: int) -> list[Usage]:
        """Return what the others are to know, of accounts in use."""
        return [
            meter.report(now, hosts)
            for meter in self._meters.values()
            if not meter.is_idle(now)
        ]

    def note_reports(
        self, host: str, reports: Iterable[Usage], now: float
    ) -> None:
        """Take another process's reports.

        Args:
            host: Name and incarnation of the process.
            reports: What it admitted.
            now: Present time.
        """
        for usage in reports:
            meter = self._meters.get(usage.account)
            if meter is not None:
                meter.note_peer(host, usage, now)


def _clamp(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
