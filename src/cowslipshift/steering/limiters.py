"""Counts one client account over all hosts together.

What an account may send in any window is its rate times the window plus its
burst. Far below the limit everything is admitted, so an account within its
rate is never refused for the way its requests fall on hosts. Near the limit
each host admits, from one word to the next, its share of the room that is
left, in proportion to what it is asked for. The shares sum to one, so the
room is not spent twice.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from cowslipshift.steering import model

FREE_PART = 0.75
"""Part of the limit below which nothing is refused."""

SPARE_PART = 0.3
"""Part of the tolerated excess that is given to callers; the rest covers
what hosts have not yet heard of each other."""

EVEN_PART = 0.3
"""Part of the room that is shared evenly, whatever the demand."""

ROUNDING_STEP = 0.618034
"""Step of the point between two whole requests at which a share of the room
is rounded up; multiples of the golden ratio fall evenly between 0 and 1."""

UNHEARD_S = 1.0
"""Seconds of all hosts' demand for which there must be room if shares are to
be rounded up: what was admitted meanwhile is not known of."""

SLOT_S = 0.25
DEMAND_WINDOW_S = 1.0

DEMAND_HOLDS_S = 0.2
"""How long a demand that another host told is taken to last: words of it may
be lost or wait to be passed on."""

FIRST_PART = 0.5
"""Part of the limit that a restarted host grants at first: what its
forerunner admitted is not known."""

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
NEWS_PART = 0.02
"""Part of a host's even part of the limit that is worth a report: all hosts
together leave less than that of the limit untold."""

SUDDEN_PART = 0.4
"""Change of the demand, as a part of what was told, that is worth a report
while an account fills: it sets the shares."""

WORDS_PER_REPORT = 8
"""Words after which a count is told again: a word may have been lost."""

FILLING_PART = 0.4
"""Part of the limit from which the others are to hear of it at once."""

URGENT_PART = 0.08
"""Part of the limit that all hosts may admit before they hear of it."""


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


class PeerLiveness(msgspec.Struct, frozen=True):
    """Which of the other hosts were not heard lately.

    Attributes:
        hosts: Hosts that may admit requests, the own one included.
        silent: Those that are silent.
        overdue_s: Seconds that a word of others, not yet silent, is overdue.
    """

    hosts: int = 1
    silent: frozenset[str] = frozenset()
    overdue_s: dict[str, float] = {}


class QuotaPolicy(msgspec.Struct, frozen=True):
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
    """What another host last told of the account."""

    __slots__ = ("admitted", "demand", "told_s")

    def __init__(self, usage: Usage, now: float) -> None:
        self.admitted = usage.admitted
        self.demand = usage.demand
        self.told_s = now

    def measure_demand(self, now: float) -> float:
        """Return its demand; a host that is asked for more says so."""
        passed_s = now - self.told_s - DEMAND_HOLDS_S
        if passed_s <= 0.0:
            return self.demand
        return self.demand * math.exp(-passed_s / DEMAND_WINDOW_S)


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


class AccountLimiter:
    """The window of one account as one host sees it.

    Args:
        account: The account.
        terms: How its limit is counted.
        is_restart: Whether the account was in use before this host started.
        now: Present time.
        host: This host; hosts round their shares at points of their own.
    """

    __slots__ = (
        "_demand",
        "_demand_s",
        "_is_filling",
        "_limit",
        "_own",
        "_peers",
        "_rounding",
        "_spent",
        "_started_s",
        "_terms",
        "_told",
        "_told_demand",
        "_window_s",
        "_words",
        "name",
    )

    def __init__(
        self,
        account: model.Account,
        terms: QuotaPolicy,
        is_restart: bool,
        now: float,
        host: str = "",
    ) -> None:
        self.name = account.name
        self._rounding = hashing.hash_fraction(f"{host}|{account.name}")
        self._terms = terms
        self._window_s = terms.window_s
        self._started_s = now if is_restart else -math.inf
        self._own = _Window(terms.window_s)
        self._peers: dict[str, _Peer] = {}
        self._demand = 0.0
        self._demand_s = now
        self._is_filling = False
        self._spent = 0
        self._told = 0
        self._told_demand = 0.0
        self._words = 0
        self._limit = 0.0
        self.set_limit(account)

    def set_limit(self, account: model.Account) -> None:
        """Put another rate and burst in force; no rate means no limit."""
        self._limit = 0.0
        if account.rate > 0.0:
            paid = account.rate * self._window_s + account.burst
            spare = paid * self._terms.overshoot + self._terms.slack
            self._limit = paid + SPARE_PART * spare

    def try_admit(self, now: float, liveness: PeerLiveness) -> float:
        """Admit a request if the account has room.

        Args:
            now: Present time.
            liveness: Which hosts were not heard lately.

        Returns:
            0 when it is admitted, else seconds until there is room.
        """
        self._note_demand(now)
        if self._limit > 0.0:
            limit = self.measure_limit(now)
            used = self.measure_used(now, liveness)
            total = self._measure_total(now, liveness)
            share = self._measure_share(total, now, liveness)
            # A host whose word is overdue is taking its part of the room.
            room = (limit - used) * self._measure_heard(now, liveness)
            # What it admitted since its last word is in the count already.
            part = share * (room + self._spent)
            if total * UNHEARD_S <= room:
                # With many hosts a share is less than one request: rounded
                # down it admits nothing, at random it keeps its mean.
                part += self._rounding
            if used >= FREE_PART * limit and self._spent + 1 > part:
                return _clamp(self._window_s / max(share * limit, 0.01))
            self._is_filling = used >= FILLING_PART * limit
        self._own.add(now)
        self._spent += 1
        return 0.0

    def _measure_total(self, now: float, liveness: PeerLiveness) -> float:
        """Return what all hosts that are heard are asked for per second."""
        return self._measure_demand(now) + sum(
            peer.measure_demand(now)
            for name, peer in self._peers.items()
            if name not in liveness.silent
        )

    def _measure_share(
        self, total: float, now: float, liveness: PeerLiveness
    ) -> float:
        own = self._measure_demand(now)
        heard = max(1, liveness.hosts - len(liveness.silent))
        by_demand = own / total if total > 0.0 else 1.0 / heard
        return EVEN_PART / heard + (1.0 - EVEN_PART) * by_demand

    def _measure_heard(self, now: float, liveness: PeerLiveness) -> float:
        own = self._measure_demand(now)
        total = own + sum(usage.demand for usage in self._peers.values())
        overdue = sum(
            self._peers[name].demand
            for name in liveness.overdue_s
            if name in self._peers
        )
        return 1.0 - overdue / total if total > 0.0 else 1.0

    def report(self, now: float, hosts: int, is_whole: bool) -> Usage | None:
        """Return what the others are to know, and begin another round.

        Most words leave an account out, since its count has hardly changed:
        with many hosts the counts are most of what hosts send each other.

        Args:
            now: Present time.
            hosts: Hosts that may admit requests, this one included.
            is_whole: Whether to report without news.
        """
        self._spent = 0
        self._rounding = (self._rounding + ROUNDING_STEP) % 1.0
        admitted = self._own.measure(now)
        self._words += 1
        change = abs(admitted - self._told)
        least = max(1.0, NEWS_PART * self._limit / max(1, hosts))
        is_due = is_whole or self._words >= WORDS_PER_REPORT
        is_due = is_due and bool(admitted or self._told)
        demand = self._measure_demand(now)
        is_sudden = abs(demand - self._told_demand) > 1.0 + SUDDEN_PART * (
            self._told_demand
        )
        is_news = change >= least or (is_sudden and self._is_filling)
        if not is_due and not is_news:
            return None
        self._told = admitted
        self._told_demand = demand
        self._words = 0
        return Usage(self.name, admitted, demand)

    def record_peer(self, host: str, usage: Usage, now: float) -> None:
        """Take what another host told at a time, which may be past."""
        self._peers[host] = _Peer(usage, now)

    def forget_peer(self, host: str) -> None:
        """Forget a host that is gone."""
        self._peers.pop(host, None)

    def is_urgent(self, hosts: int) -> bool:
        """Tell whether the others should hear of this account at once."""
        unsaid = self._spent * max(1, hosts)
        return self._is_filling and unsaid > URGENT_PART * self._limit

    def measure_limit(self, now: float) -> float:
        """Return the requests allowed in a window."""
        age = (now - self._started_s) / self._window_s
        if age >= 1.0:
            return self._limit
        return self._limit * (FIRST_PART + (1.0 - FIRST_PART) * age)

    def measure_used(self, now: float, liveness: PeerLiveness) -> float:
        """Return the requests that all hosts admitted in the window.

        A silent host may be cut off and go on admitting. It is taken to use
        what it last told, or its even part if that is more.
        """
        used = float(self._own.measure(now))
        for name, usage in self._peers.items():
            if name not in liveness.silent:
                overdue_s = liveness.overdue_s.get(name, 0.0)
                used += usage.admitted + usage.demand * overdue_s
        even = self.measure_limit(now) / max(1, liveness.hosts)
        for name in liveness.silent:
            told = self._peers.get(name)
            used += max(even, told.admitted if told is not None else 0)
        return used

    def _note_demand(self, now: float) -> None:
        self._demand = self._measure_demand(now) + 1.0 / DEMAND_WINDOW_S
        self._demand_s = now

    def _measure_demand(self, now: float) -> float:
        passed_s = max(0.0, now - self._demand_s)
        return self._demand * math.exp(-passed_s / DEMAND_WINDOW_S)


def _clamp(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
