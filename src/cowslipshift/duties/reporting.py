"""Decides which window is fixed next, and when a report is sent."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.duties import collection as collections
from cowslipshift.duties import counts
from cowslipshift.duties import model
from cowslipshift.duties import policy as policies

if TYPE_CHECKING:
    from collections.abc import Iterable

SETTLE_FRACTION = 0.1
"""Fraction of the time until a report is due, from the end of its window, in
which requests turned away by servers are still taken back."""

GIVE_UP_WAITING_FRACTION = 0.5
"""Fraction of that time after which hosts that do not answer are left out."""

MAX_REPORTS = 8
"""Reports kept for a platform that accepts none."""

RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 2.0
MAX_SILENCE_S = 4.0
"""After this long without an answer of the platform, another host may reach
it."""


class Reporter:
    """The holder's work: fixes reports, then sends them.

    Args:
        policy: Bounds of the duty.

    Attributes:
        collected: What hosts have told of their counts.
    """

    def __init__(self, policy: policies.DutyPolicy) -> None:
        self.collected = collections.UsageCollection()
        self._policy = policy
        self._accepted: set[int] = set()
        self._earliest_send_s = -math.inf
        self._retry_delay_s = RETRY_DELAY_S
        self._silent_since_s: float | None = None

    def get_window(self, wall_s: float) -> int:
        """Return the window of a time of day."""
        return int(wall_s // self._policy.window_s)

    def propose_record(
        self, record: model.Record, hosts: Iterable[str], wall_s: float
    ) -> model.Record | None:
        """Return the record with the next report, if it can be fixed.

        Args:
            record: The record of the store.
            hosts: Live hosts, whose counts belong to the report.
            wall_s: Present time of day, Unix seconds.
        """
        self.collected.drop_before(record.next_window)
        oldest = self.get_window(wall_s) - counts.KEPT_WINDOWS + 1
        window = max(record.next_window, oldest)
        settled_s = (
            window + 1
        ) * self._policy.window_s + SETTLE_FRACTION * self._policy.late_s
        last_s = settled_s + self._policy.late_s * (
            GIVE_UP_WAITING_FRACTION - SETTLE_FRACTION
        )
        if wall_s < settled_s:
            return None
        if wall_s < last_s and not self.collected.has_asked_since(
            hosts, settled_s
        ):
            return None
        self._accepted = {
            accepted
            for accepted in self._accepted
            if accepted >= window - MAX_REPORTS
        }
        report = model.UsageReport(window, self.collected.sum_counts(window))
        return msgspec.structs.replace(
            record,
            next_window=window + 1,
            reports=(*self._list_unaccepted(record), report)[-MAX_REPORTS:],
        )

    def propose_report(
        self, record: model.Record, now: float
    ) -> model.UsageReport | None:
        """Return the report to send now, if any.

        Args:
            record: The record as the store confirmed it.
            now: Present time.
        """
        if now < self._earliest_send_s:
            return None
        return next(iter(self._list_unaccepted(record)), None)

    def record_accepted(self, window: int, now: float) -> None:
        """Record that the platform has accepted a report."""
        self._accepted.add(window)
        self._retry_delay_s = RETRY_DELAY_S
        self._silent_since_s = None
        # Half of the calls are left to a holder that takes over.
        self._earliest_send_s = now + 2.0 / self._policy.calls_per_s

    def record_deferred(self, is_answered: bool, now: float) -> None:
        """Record a call that has to be repeated.

        Args:
            is_answered: Whether the platform answered at all.
            now: Present time.
        """
        self._earliest_send_s = now + self._retry_delay_s
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self._retry_delay_s)
        if is_answered:
            self._silent_since_s = None
        elif self._silent_since_s is None:
            self._silent_since_s = now

    def is_cut_off(self, now: float) -> bool:
        """Tell whether the platform has been silent for long."""
        silent_since_s = self._silent_since_s
        return (
            silent_since_s is not None
            and now - silent_since_s >= MAX_SILENCE_S
        )

    def reset(self) -> None:
        """Forget the counts and the pauses of an earlier tenure."""
        self.collected.clear()
        self._silent_since_s = None
        self._retry_delay_s = RETRY_DELAY_S

    def _list_unaccepted(
        self, record: model.Record
    ) -> list[model.UsageReport]:
        return [
            report
            for report in record.reports
            if report.window not in self._accepted
        ]
