"""Attempts that another host sent here, and those it took back.

A host that lost the answer of an attempt may ask to take it back. If the
attempt had not started, it is marked so that it never starts, even when it
arrives later; only then may the sender say that it did not run.
"""

from __future__ import annotations

import collections
import enum

MAX_ATTEMPTS = 100_000


class RecallResult(enum.Enum):
    """The answer to a host that takes an attempt back."""

    NOT_STARTED = "not_started"
    STARTED = "started"
    UNKNOWN = "unknown"


class AttemptTable:
    """The attempts of one process.

    Args:
        now: Monotonic time in seconds.
        retention_s: How long an attempt may arrive after it was sent,
            which is the longest deadline.
    """

    def __init__(self, now: float, retention_s: float) -> None:
        self._began_s = now
        self._retention_s = retention_s
        self._states: collections.OrderedDict[str, tuple[bool, float]] = (
            collections.OrderedDict()
        )

    def try_start(self, attempt: str, age_s: float, now: float) -> bool:
        """Record that an attempt starts.

        Args:
            attempt: Its id.
            age_s: Seconds since it was sent. One that is older than the
                book's retention may have been forgotten and never starts.
            now: Monotonic time in seconds.

        Returns:
            Whether it may start: it was neither started nor taken back.
        """
        self._expire(now)
        if age_s >= self._retention_s:
            return False
        if attempt in self._states or len(self._states) >= MAX_ATTEMPTS:
            return False
        self._states[attempt] = (True, now)
        return True

    def was_started(self, attempt: str) -> bool:
        """Tell whether an attempt is known to have started."""
        known = self._states.get(attempt)
        return known is not None and known[0]

    def undo_start(self, attempt: str, now: float) -> None:
        """Record that a started attempt did not reach a backend server."""
        self._states[attempt] = (False, now)
        self._states.move_to_end(attempt)

    def recall(self, attempt: str, age_s: float, now: float) -> RecallResult:
        """Take an attempt back.

        Args:
            attempt: Its id.
            age_s: Seconds since it was sent.
            now: Monotonic time in seconds.
        """
        self._expire(now)
        known = self._states.get(attempt)
        if known is not None:
            return (
                RecallResult.STARTED if known[0] else RecallResult.NOT_STARTED
            )
        if age_s >= self._retention_s or now - self._began_s <= age_s:
            return RecallResult.UNKNOWN
        self._states[attempt] = (False, now)
        return RecallResult.NOT_STARTED

    def _expire(self, now: float) -> None:
        while self._states:
            _, recorded_s = next(iter(self._states.values()))
            if now - recorded_s <= 2 * self._retention_s:
                break
            self._states.popitem(last=False)
