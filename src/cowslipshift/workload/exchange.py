"""Tells the other hosts what servers state about their load.

Where there are many hosts, each gets few answers of each server and would
know its load only from seconds ago. Hosts therefore pass on the loads that
differ most from what they expected, a bounded number with each heartbeat.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import hashing
from cowslipshift.workload import reports

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import backends
    from cowslipshift.steering import inventory as inventories
    from cowslipshift.steering import membership as memberships

MAX_REPORTS = 16
"""Reports of one heartbeat."""

REPORTS_PER_INTERVAL = 1000
"""Reports that all hosts together send in one heartbeat interval, so that what
a host receives does not grow with their number."""

MAX_REPORT_AGE_S = 5.0
"""Older reports say nothing about the present load."""


class _Statement(msgspec.Struct):
    """The last load that a server stated since the last heartbeat."""

    load: reports.ServerLoad
    surprise: float
    stated_s: float


class LoadExchange:
    """Collects and applies load reports, where many hosts share the servers.

    Args:
        membership: The hosts; up to some twenty, each hears enough itself.
        inventory: The servers.
    """

    __slots__ = (
        "_generation",
        "_inventory",
        "_membership",
        "_servers",
        "_statements",
    )

    def __init__(
        self,
        membership: memberships.Membership,
        inventory: inventories.Inventory,
    ) -> None:
        self._membership = membership
        self._inventory = inventory
        self._statements: dict[str, _Statement] = {}
        self._servers: dict[int, backends.BackendState] = {}
        self._generation = -1

    def record_answer(
        self,
        state: backends.BackendState,
        load: reports.ServerLoad,
        now: float,
    ) -> None:
        """Record what a server stated in an answer to this host."""
        expected = state.estimate_load(now)
        state.record_load(load.running, load.waiting, now)
        if load.pace is not None:
            state.pace.record(load.pace, now)
        if self._membership.uses_relays:
            surprise = abs(load.running + load.waiting - expected)
            self._statements[state.entry.incarnation] = _Statement(
                load, surprise, now
            )

    def list_reports(self, now: float) -> list[reports.ServerLoadReport]:
        """Return what the next heartbeat reports, and start a new period."""
        hosts = max(1, self._membership.count_hosts())
        count = min(MAX_REPORTS, max(1, REPORTS_PER_INTERVAL // hosts))
        by_surprise = sorted(
            self._statements.items(),
            key=lambda item: item[1].surprise,
            reverse=True,
        )
        self._statements.clear()
        return [
            reports.ServerLoadReport(
                hashing.hash_text(incarnation),
                statement.load.running,
                statement.load.waiting,
                now - statement.stated_s,
            )
            for incarnation, statement in by_surprise[:count]
        ]

    def record_reports(
        self, received: Iterable[reports.ServerLoadReport], now: float
    ) -> None:
        """Record what another host reported; `now` is when it did."""
        servers = self._index_servers()
        for report in received:
            state = servers.get(report.server)
            if state is not None and report.age_s <= MAX_REPORT_AGE_S:
                state.record_peer_load(
                    report.running, report.waiting, now - report.age_s
                )

    def _index_servers(self) -> dict[int, backends.BackendState]:
        if self._generation != self._inventory.generation:
            self._generation = self._inventory.generation
            self._servers = {
                hashing.hash_text(state.entry.incarnation): state
                for state in self._inventory.by_id.values()
            }
        return self._servers
