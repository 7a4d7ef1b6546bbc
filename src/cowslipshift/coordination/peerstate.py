"""What a host knows of another host of its data centre."""

from __future__ import annotations

import enum


class PeerState(enum.Enum):
    """How a peer stands in this host's view."""

    UNKNOWN = "unknown"
    LIVE = "live"
    SILENT = "silent"
    FENCED = "fenced"
    GONE = "gone"
    LEFT = "left"


_REMOVED = frozenset({PeerState.GONE, PeerState.LEFT, PeerState.FENCED})


class Peer:
    """What this host knows of another host of its data centre.

    Attributes:
        incarnation: Number of the process, 0 before it was heard.
        state: Its state.
        last_heard_s: When it was last heard.
        acknowledged_s: Send time of the last heartbeat it acknowledged.
        recognised_incarnation: Incarnation of this host that it counts as a
            member.
        refused_since_s: Since when connections to it are refused.
        last_refused_s: When a connection to it was last refused.
        fenced_up_to: Its processes up to this number have to rejoin.
        fenced_since_s: Since when the time runs in which it reads its fence.
    """

    __slots__ = (
        "acknowledged_s",
        "recognised_incarnation",
        "fenced_since_s",
        "fenced_up_to",
        "last_heard_s",
        "incarnation",
        "name",
        "last_refused_s",
        "refused_since_s",
        "state",
    )

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.incarnation = 0
        self.state = PeerState.UNKNOWN
        self.last_heard_s = now
        self.acknowledged_s: float | None = None
        self.recognised_incarnation = 0
        self.refused_since_s: float | None = None
        self.last_refused_s = float("-inf")
        self.fenced_up_to = 0
        self.fenced_since_s: float | None = None

    @property
    def is_removed(self) -> bool:
        """Whether it does not count as a member."""
        return self.state in _REMOVED

    @property
    def is_fenced(self) -> bool:
        """Whether its last known process has to rejoin."""
        return self.incarnation <= self.fenced_up_to
