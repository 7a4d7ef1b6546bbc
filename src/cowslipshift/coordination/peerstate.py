"""State that a host keeps of another host of its data centre."""

from __future__ import annotations

import enum


class PeerState(enum.Enum):
    """State of a peer in this host's membership view."""

    UNKNOWN = "unknown"
    LIVE = "live"
    SILENT = "silent"
    FENCED = "fenced"
    GONE = "gone"
    LEFT = "left"


_REMOVED = frozenset({PeerState.GONE, PeerState.LEFT, PeerState.FENCED})


class Peer:
    """Another host of the data centre, as this host knows it.

    Times are monotonic times of this host in seconds.

    Attributes:
        incarnation: Incarnation number of its process, or 0 before its first
            heartbeat.
        state: State of the peer.
        last_heard_s: Time of its last heartbeat, or of its creation.
        acknowledged_s: Send time of the last heartbeat that it acknowledged.
        recognised_incarnation: Incarnation of this host that it counts as a
            member, or 0.
        refused_since_s: Time since which it has refused connections.
        last_refused_s: Time at which it last refused a connection.
        fenced_up_to: Its incarnations up to this number are fenced and have
            to rejoin.
        fenced_since_s: Start of the time that it has to read its fence.
    """

    __slots__ = (
        "acknowledged_s",
        "fenced_since_s",
        "fenced_up_to",
        "incarnation",
        "last_heard_s",
        "last_refused_s",
        "name",
        "recognised_incarnation",
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
        """Whether it is no longer a member."""
        return self.state in _REMOVED

    @property
    def is_fenced(self) -> bool:
        """Whether its last known incarnation has to rejoin."""
        return self.incarnation <= self.fenced_up_to
