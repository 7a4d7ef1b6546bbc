"""How long idle connections to backend servers may be used again."""

from __future__ import annotations

import collections
import re

DEFAULT_LIMIT_S = 4.0
"""For servers that do not state when they close idle connections."""

STATED_FRACTION = 0.8
"""Fraction of the time that a server states; the rest is for the way there."""

FAILED_FRACTION = 0.5
"""Fraction of the idle time after which a connection was found closed."""

MIN_LIMIT_S = 0.05
FAILURE_MEMORY_S = 30.0
MAX_SERVERS = 10_000

_TIMEOUT = re.compile(r"timeout\s*=\s*(\d{1,6})", re.IGNORECASE)


class IdleLimits:
    """Idle times that servers state, and those that proved too long."""

    __slots__ = ("_failed",)

    def __init__(self) -> None:
        self._failed: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )

    def get_limit(
        self, address: str, keep_alive: str | None, now: float
    ) -> float:
        """Return the seconds for which a connection may be idle.

        Args:
            address: The server.
            keep_alive: `Keep-Alive` header of its last answer, if any.
            now: Present time.
        """
        limit_s = DEFAULT_LIMIT_S
        match = _TIMEOUT.search(keep_alive or "")
        if match is not None:
            limit_s = int(match.group(1)) * STATED_FRACTION
        failed = self._failed.get(address)
        if failed is not None and now - failed[1] < FAILURE_MEMORY_S:
            limit_s = min(limit_s, failed[0])
        return limit_s

    def record_failure(self, address: str, idle_s: float, now: float) -> None:
        """Record that a connection that was idle had been closed."""
        limit_s = max(MIN_LIMIT_S, idle_s * FAILED_FRACTION)
        self._failed[address] = (limit_s, now)
        self._failed.move_to_end(address)
        if len(self._failed) > MAX_SERVERS:
            self._failed.popitem(last=False)
