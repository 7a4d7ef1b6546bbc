"""Connections that wait, and which of them are closed."""

from __future__ import annotations

import enum
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable

Key = TypeVar("Key", bound="Hashable")


class Wait(enum.Enum):
    """What a connection waits for.

    Attributes:
        FIRST: For the first byte of its first request.
        HEAD: For the rest of a head.
        NEXT: For the first byte of another request.
        BODY: For the rest of a body, whose request has its own deadline.
        UNREAD: For the other end to take an answer.
    """

    FIRST = enum.auto()
    HEAD = enum.auto()
    NEXT = enum.auto()
    BODY = enum.auto()
    UNREAD = enum.auto()


_CLOSED_BEFORE_REQUESTS = (Wait.FIRST, Wait.HEAD)
_CLOSED_IN_ORDER = (Wait.NEXT, Wait.BODY, Wait.UNREAD)


class WaitingConnections(Generic[Key]):
    """Connections without a whole request, the longest waiting ones first.

    Args:
        maximum: Connections that may wait at the same time.
    """

    __slots__ = ("_maximum", "_since_by_wait", "_wait_by_key")

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self._wait_by_key: dict[Key, Wait] = {}
        self._since_by_wait: dict[Wait, dict[Key, float]] = {
            wait: {} for wait in Wait
        }

    def __len__(self) -> int:
        """Return how many connections wait."""
        return len(self._wait_by_key)

    def record(self, key: Key, wait: Wait, now: float) -> None:
        """Record what a connection waits for; keep the time if it did."""
        known = self._wait_by_key.get(key)
        if known is wait:
            return
        if known is not None:
            del self._since_by_wait[known][key]
        self._wait_by_key[key] = wait
        self._since_by_wait[wait][key] = now

    def discard(self, key: Key) -> None:
        """Record that a connection does not wait, or is closed."""
        wait = self._wait_by_key.pop(key, None)
        if wait is not None:
            del self._since_by_wait[wait][key]

    def list_since(self, wait: Wait, until_s: float) -> list[Key]:
        """Return the connections that wait since a time or longer."""
        found = []
        for key, since_s in self._since_by_wait[wait].items():
            if since_s > until_s:
                break
            found.append(key)
        return found

    def list_waiting(self, wait: Wait) -> list[Key]:
        """Return all that wait for something, the longest waiting first."""
        return list(self._since_by_wait[wait])

    def choose_excess(self) -> list[Key]:
        """Return the connections to close so that no more than some wait.

        Those that have not sent a whole request go first, then those that
        are kept for another one, each the longest waiting first.
        """
        excess = len(self) - self._maximum
        chosen: list[Key] = []
        if excess <= 0:
            return chosen
        candidates = [
            entry
            for wait in _CLOSED_BEFORE_REQUESTS
            for entry in self._list_first(wait, excess)
        ]
        candidates.sort(key=_get_since)
        for wait in _CLOSED_IN_ORDER:
            candidates.extend(self._list_first(wait, excess))
        return [key for key, _ in candidates[:excess]]

    def _list_first(self, wait: Wait, count: int) -> list[tuple[Key, float]]:
        entries = self._since_by_wait[wait].items()
        return [entry for entry, _ in zip(entries, range(count), strict=False)]


def _get_since(entry: tuple[Hashable, float]) -> float:
    return entry[1]
