"""Chooses which heartbeats tell the usage of an account."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from cowslipshift.steering import limiters

MAX_FIRST_TOTAL = 1_000_000
"""Bound of the number from which a host counts, so that the others notice
when it has started again."""

REPORT_CHANGE_FRACTION = 0.02
"""Fraction of a host's even share of the limit whose change is worth a report.
"""

DEMAND_CHANGE_FRACTION = 0.4
"""Change of the demand, as a fraction of the reported demand, that is worth a
report when an account nears its limit."""

HEARTBEATS_PER_REPORT = 8
"""Heartbeats after which a count is reported again, as one may have been lost.
"""

REPEATS = 2
"""Further heartbeats that tell the count of an account without room, as a lost
or late one would leave admissions unknown."""


def choose_first_total(host: str, account: str, now: float) -> int:
    """Return the number from which a host counts an account's admissions.

    Args:
        host: Name of the host.
        account: Name of the account.
        now: Time at which the host started.
    """
    start = hashing.hash_fraction(f"{host}|{account}|{now}")
    return 1 + int(start * MAX_FIRST_TOTAL)


class UsageReporter:
    """What the other hosts have been told of an account's usage.

    Args:
        usage: Usage at the start.
        window_s: Window in which requests are counted.
        now: Present time.
    """

    __slots__ = ("_heartbeats", "_last", "_repeats", "_told_s", "_window_s")

    def __init__(
        self, usage: limiters.Usage, window_s: float, now: float
    ) -> None:
        self._last = usage
        self._window_s = window_s
        self._told_s = now
        self._heartbeats = 0
        self._repeats = 0

    def should_report(
        self,
        usage: limiters.Usage,
        now: float,
        even_share: float,
        is_filling: bool,
        has_room: bool,
    ) -> bool:
        """Tell whether the next heartbeat has to tell the usage.

        Most heartbeats omit an account that is used as its last report lets
        the others expect: with many hosts, the counts are most of what hosts
        send each other.

        Args:
            usage: Present usage.
            now: Present time.
            even_share: Even share of the limit, of each host.
            is_filling: Whether the account nears its limit.
            has_room: Whether all of its requests are admitted.
        """
        last = self._last
        self._heartbeats += 1
        if usage.total != last.total:
            self._repeats = REPEATS
        elif is_filling and not has_room and self._repeats > 0:
            self._repeats -= 1
            return True
        if self._heartbeats >= HEARTBEATS_PER_REPORT and self.is_used(usage):
            return True
        change = abs(usage.total - last.total)
        if is_filling:
            demand_change = abs(usage.demand - last.demand)
            return (
                change >= max(1.0, REPORT_CHANGE_FRACTION * even_share)
                or demand_change > 1.0 + DEMAND_CHANGE_FRACTION * last.demand
            )
        passed_s = now - self._told_s
        expected = last.admitted * passed_s / self._window_s
        return abs(change - expected) >= 1.0

    def is_used(self, usage: limiters.Usage) -> bool:
        """Tell whether there is anything to tell."""
        return bool(usage.admitted or self._last.admitted)

    def record(self, usage: limiters.Usage, now: float) -> None:
        """Record that a heartbeat tells the usage."""
        self._last = usage
        self._told_s = now
        self._heartbeats = 0
