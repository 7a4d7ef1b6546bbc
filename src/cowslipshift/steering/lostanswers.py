"""Tells lost answers of a version from those of servers that have died.

A server that dies takes the answers to all requests that it was running with
it, whatever its version. A lost answer counts against the version only once
the server has answered again, or has not been found gone for a while.
"""

from __future__ import annotations

import collections

import msgspec

PENDING_S = 1.5
"""How long a lost answer waits for a sign of its server. Bad versions have to
be given up within a few seconds of their bad answers."""

MAX_SERVERS = 5_000


class LostAnswer(msgspec.Struct, frozen=True):
    """An answer that did not arrive.

    Attributes:
        server: Id of the server.
        version: Version of the server.
        sent_s: Time at which the request was sent.
        lost_s: Time at which its answer was given up.
    """

    server: str
    version: str
    sent_s: float
    lost_s: float


class LostAnswers:
    """Lost answers of one service that wait for a sign of their server."""

    __slots__ = ("_answered_s", "_gone_s", "_pending")

    def __init__(self) -> None:
        self._pending: list[LostAnswer] = []
        self._answered_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._gone_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def clear(self) -> None:
        """Forget the lost answers, as a new order is in force."""
        self._pending.clear()

    def add(self, lost: LostAnswer) -> None:
        """Add a lost answer."""
        self._pending.append(lost)

    def record_answer(self, server: str, now: float) -> None:
        """Record that a server answered."""
        _record(self._answered_s, server, now)

    def record_gone(self, server: str, now: float) -> None:
        """Record that a server does not listen, or that another one does."""
        _record(self._gone_s, server, now)

    def take_proven(self, now: float) -> list[LostAnswer]:
        """Return the lost answers that count against their version."""
        proven = []
        waiting = []
        for lost in self._pending:
            answered_s = self._answered_s.get(lost.server, -1e9)
            gone_s = self._gone_s.get(lost.server, -1e9)
            if gone_s >= lost.sent_s and gone_s > answered_s:
                continue
            if answered_s > lost.lost_s or now - lost.lost_s >= PENDING_S:
                proven.append(lost)
            else:
                waiting.append(lost)
        self._pending = waiting
        return proven


def _record(
    times: collections.OrderedDict[str, float], server: str, now: float
) -> None:
    times[server] = now
    times.move_to_end(server)
    if len(times) > MAX_SERVERS:
        times.popitem(last=False)
