"""Attempts that other hosts forwarded to this host, and their recall.

A host that lost the answer to a forwarded attempt may recall it. If the
attempt had not started, it is marked so that it never starts, even if it
arrives later; only then may the sender report that it did not run.
"""

from __future__ import annotations

import collections
import enum

MAX_ATTEMPTS = 100_000


class RecallResult(enum.Enum):
    """What is known of a recalled attempt."""

    NOT_STARTED = "not_started"
    STARTED = "started"
    UNKNOWN = "unknown"


class AttemptTable:
    """Attempts forwarded to this process.

    Args:
        now: Monotonic time in seconds.
        retention_s: Longest time from sending to arrival of an attempt,
            which is the longest deadline of a request.
    """

    def __init__(self, now: float, retention_s: float) -> None:
        self._began_s = now
        self._retention_s = retention_s
        self._states: collections.OrderedDict[str, tuple[bool, float]] = (
            collections.OrderedDict()
        )

    def try_start(self, attempt: str, age_s: float, now: float) -> bool:
        """Record that an attempt starts, if it may start.

        Args:
            attempt: Id of the attempt.
            age_s: Seconds since it was sent. An attempt older than the
                retention time never starts, as its record may have expired.
            now: Monotonic time in seconds.

        Returns:
            Whether it may start: it was neither started nor recalled.
        """
        self._expire(now)
        if age_s >= self._retention_s:
            return False
        if attempt in self._states or len(self._states) >= MAX_ATTEMPTS:
            return False
        self._states[attempt] = (True, now)
        return True

    def was_started(self, attempt: str) -> bool:
        """Return whether an attempt is known to have started."""
        known = self._states.get(attempt)
        return known is not None and known[0]

    def undo_start(self, attempt: str, now: float) -> None:
        """Record that a started attempt did not reach a backend server."""
        self._states[attempt] = (False, now)
        self._states.move_to_end(attempt)

    def recall(self, attempt: str, age_s: float, now: float) -> RecallResult:
        """Recall an attempt; one that has not started never will.

        Args:
            attempt: Id of the attempt.
            age_s: Seconds since it was sent.
            now: Monotonic time in seconds.

        Returns:
            Whether it had started; `RecallResult.UNKNOWN` if it was sent
            before this process began or its record may have expired.
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
