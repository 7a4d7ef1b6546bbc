"""What backend servers say about themselves in their answers.

A server's own word is fresher than its registration, other hosts or health
checks. It binds this host until the server starts again, also where its
registration lapses and returns meanwhile.
"""

from __future__ import annotations

import collections

MAX_SERVERS = 10_000
"""Servers whose words are kept; the ones that spoke longest ago go first."""


class ServerSignals:
    """Servers that leave, or that want no requests for some time."""

    __slots__ = ("_leaving", "_waiting_until_s")

    def __init__(self) -> None:
        self._leaving: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._waiting_until_s: collections.OrderedDict[
            tuple[str, int], float
        ] = collections.OrderedDict()

    def record_leaving(self, server: str, started_ms: int) -> bool:
        """Record that a server leaves; return whether that is news."""
        key = (server, started_ms)
        is_news = key not in self._leaving
        self._leaving[key] = None
        _trim(self._leaving)
        return is_news

    def record_wait(
        self, server: str, started_ms: int, wait_s: float, now: float
    ) -> None:
        """Record that a server wants no requests for some time."""
        key = (server, started_ms)
        until_s = max(now + wait_s, self._waiting_until_s.get(key, now))
        self._waiting_until_s[key] = until_s
        self._waiting_until_s.move_to_end(key)
        _trim(self._waiting_until_s)

    def is_leaving(self, server: str, started_ms: int) -> bool:
        """Tell whether a server has said that it leaves."""
        return (server, started_ms) in self._leaving

    def measure_wait(self, server: str, started_ms: int, now: float) -> float:
        """Return the seconds for which a server still wants no requests."""
        until_s = self._waiting_until_s.get((server, started_ms), now)
        return max(0.0, until_s - now)


def _trim(
    words: collections.OrderedDict[tuple[str, int], None]
    | collections.OrderedDict[tuple[str, int], float],
) -> None:
    while len(words) > MAX_SERVERS:
        words.popitem(last=False)
