"""Which hosts of a data centre take part in home placement.

The invariant that makes placement safe without a coordinator: a host acts
as an owner only while every host that could act counts it as a member.
Rendezvous hashing then gives two such hosts never the same resource, for
each would have to rank above the other.

A member is removed only when its process is known to be gone (connections
to its address are refused), when it said that it leaves, or when a fence in
the platform's store names its incarnation and it had time to read it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.coordination import peerstate

if TYPE_CHECKING:
    from collections.abc import Iterable

GONE_AFTER_S = 2.0
"""How long connections must be refused before a process counts as gone."""

SILENT_AFTER_S = 5.0
"""How long a member may be silent before it is fenced."""

ACKNOWLEDGEMENT_LIMIT_S = 4.0
"""Age of a peer's last acknowledgement from which fences are checked."""

FENCE_WAIT_S = 6.0
"""Time that a fenced member has to read its fence and stop."""

REFENCE_AFTER_S = 60.0
"""How long a host that was fenced waits before it fences others."""

PAUSE_LIMIT_S = 1.0
"""A gap between ticks that counts as a pause of the process."""


class MembershipView:
    """This host's view of its data centre.

    Args:
        host: Name of this host.
        incarnation: Number of this process, larger than those before it.
        now: Monotonic time in seconds.

    Attributes:
        epoch: Grows with each change of the members.
        deaths: Grows with each member that is gone or fenced.
        has_settled: Whether all members have counted this incarnation.
    """

    def __init__(self, host: str, incarnation: int, now: float) -> None:
        self.host = host
        self.incarnation = incarnation
        self.peers: dict[str, peerstate.Peer] = {}
        self.epoch = 0
        self.failures = 0
        self.has_settled = False
        self._leaving = False
        self._began_s = now
        self._ticked_s = now
        self._suspended_s: float | None = None
        self._paused_for_s = 0.0
        self._may_fence_s = now

    @property
    def is_leaving(self) -> bool:
        """Whether this host has begun to leave."""
        return self._leaving

    @property
    def is_suspended(self) -> bool:
        """Whether this host noticed a pause and has not yet rejoined."""
        return self._suspended_s is not None

    def measure_suspension(self, now: float) -> float:
        """Return the seconds since a pause was noticed, 0 if none was."""
        return 0.0 if self._suspended_s is None else now - self._suspended_s

    def add_configured(self, hosts: Iterable[str], now: float) -> None:
        """Add the hosts that the configuration names.

        A host that the configuration no longer names stays a member until
        it leaves or is gone, since it may not know yet.
        """
        for name in hosts:
            if name != self.host and name not in self.peers:
                self.peers[name] = peerstate.Peer(name, now)
                self.epoch += 1

    def list_members(self) -> list[str]:
        """Return the members, this host among them unless it leaves."""
        members = [
            peer.name for peer in self.peers.values() if not peer.is_removed
        ]
        if not self._leaving:
            members.append(self.host)
        return sorted(members)

    def list_live(self) -> list[str]:
        """Return the members that were heard lately, this host included."""
        live = [
            peer.name
            for peer in self.peers.values()
            if peer.state is peerstate.PeerState.LIVE
        ]
        return sorted([*live, self.host])

    def get_incarnation(self, name: str) -> int:
        """Return the incarnation of a peer that counts as a member, or 0."""
        peer = self.peers.get(name)
        if peer is None or peer.is_removed or peer.is_fenced:
            return 0
        return peer.incarnation

    def has_heard_from(self, name: str) -> bool:
        """Tell whether a process of a host was ever heard as a peer's."""
        peer = self.peers.get(name)
        return peer is not None and peer.incarnation > 0

    def get_fence(self, name: str) -> int:
        """Return the number up to which a peer is fenced, or 0."""
        peer = self.peers.get(name)
        if peer is None or not peer.is_fenced:
            return 0
        return peer.fenced_up_to

    def record_heartbeat(
        self, name: str, incarnation: int, leaving: bool, now: float
    ) -> bool:
        """Record that a peer was heard.

        Returns:
            Whether this is a process that was not counted before.
        """
        peer = self.peers.get(name)
        if peer is None:
            peer = self.peers[name] = peerstate.Peer(name, now)
        joined = incarnation > max(peer.incarnation, peer.fenced_up_to)
        if not joined and not self._is_current(peer, incarnation):
            return False
        peer.incarnation = incarnation
        peer.last_heard_s = now
        peer.refused_since_s = None
        if joined:
            peer.fenced_since_s = None
            peer.recognised_incarnation = 0
            peer.acknowledged_s = None
            self.epoch += 1
        self._set_standing(
            peer,
            peerstate.PeerState.LEFT if leaving else peerstate.PeerState.LIVE,
        )
        return joined and not leaving

    def record_acknowledgement(
        self, name: str, sent_s: float, recognised_incarnation: int
    ) -> None:
        """Record that a peer heard this host.

        Args:
            name: The peer.
            sent_s: When the heartbeat that it heard was sent.
            recognised_incarnation: Incarnation of this host that it counts,
                or 0.
        """
        peer = self.peers.get(name)
        if peer is not None:
            peer.acknowledged_s = sent_s
            peer.recognised_incarnation = recognised_incarnation

    def record_connection_refused(self, name: str, now: float) -> None:
        """Record that the peer's address refuses connections."""
        peer = self.peers.get(name)
        if peer is None:
            return
        if peer.refused_since_s is None:
            peer.refused_since_s = now
        peer.last_refused_s = now
        if now - peer.refused_since_s >= GONE_AFTER_S:
            self._set_standing(peer, peerstate.PeerState.GONE)

    def record_connection_failure(self, name: str) -> None:
        """Record that a connection failed in a way that proves nothing."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.refused_since_s = None

    def record_fence(self, name: str, number: int, now: float) -> None:
        """Record a fence read from, or written to, the store.

        A fence that is older than this incarnation proves nothing: the
        peer may have rejoined since, with the consent of others only.

        Args:
            name: The fenced host.
            number: Its processes up to this number are fenced.
            now: Monotonic time in seconds.
        """
        if name == self.host:
            if number >= self.incarnation:
                self._rejoin(number + 1, now)
            return
        peer = self.peers.get(name)
        if peer is None or number < max(peer.incarnation, self.incarnation):
            return
        peer.fenced_up_to = max(peer.fenced_up_to, number)
        if peer.fenced_since_s is None:
            peer.fenced_since_s = now

    def tick(self, now: float) -> None:
        """Notice pauses of this process and silence of peers."""
        if self._note_pause(now):
            for peer in self.peers.values():
                peer.last_heard_s = max(peer.last_heard_s, now - 1.0)
        self._ticked_s = now
        for peer in self.peers.values():
            self._check_peer(peer, now)

    def find_fence_candidates(self, now: float) -> list[str]:
        """Return the peers to fence.

        A host that was fenced itself leaves this to others for a while, so
        that two hosts that cannot hear each other do not take turns.
        """
        if now < self._may_fence_s:
            return []
        return [
            peer.name
            for peer in self.peers.values()
            if peer.state is peerstate.PeerState.SILENT
            and peer.fenced_since_s is None
        ]

    def record_store_failure(self, now: float) -> None:
        """Record that fences cannot be read right now.

        A fenced host may not have read its fence either, so that the time
        it is given starts anew.
        """
        for peer in self.peers.values():
            if peer.fenced_since_s is not None and not peer.is_removed:
                peer.fenced_since_s = now

    def needs_fence_check(self, now: float) -> bool:
        """Tell whether this host must ask the store for fences on it.

        It must unless each peer either acknowledged it lately or is known
        to be dead: any other peer may have fenced it.
        """
        return any(
            not self._is_accounted(peer, now) for peer in self.peers.values()
        )

    def is_superseded(self) -> bool:
        """Tell whether a later process of this host is known to a peer."""
        return any(
            peer.recognised_incarnation > self.incarnation
            for peer in self.peers.values()
        )

    def raise_incarnation(self, now: float) -> None:
        """Take a number above all that peers count for this host."""
        counted = max(
            peer.recognised_incarnation for peer in self.peers.values()
        )
        self._rejoin(max(counted, self.incarnation) + 1, now)

    def try_resume(self, now: float, store_cleared: bool) -> None:
        """Go on after a pause, or rejoin if a peer removed this host.

        Args:
            now: Monotonic time in seconds.
            store_cleared: Whether the store was read since the pause and
                shows no fence, or cannot be reached.
        """
        removed_here = any(
            peer.recognised_incarnation == 0
            and self._is_fresh(peer, self._began_s)
            for peer in self.peers.values()
            if not peer.is_removed
        )
        if removed_here:
            self._rejoin(self.incarnation + 1, now)
            return
        since_s = self._suspended_s
        if since_s is None:
            return
        if self._paused_for_s >= SILENT_AFTER_S - PAUSE_LIMIT_S:
            self._rejoin(self.incarnation + 1, now)
        elif store_cleared or all(
            self._is_fresh(peer, since_s)
            for peer in self.peers.values()
            if not peer.is_removed
        ):
            self._suspended_s = None
            self._paused_for_s = 0.0

    def start_leaving(self) -> None:
        """Begin to leave: this host counts itself out."""
        self._leaving = True
        self.epoch += 1

    def may_act(self, now: float) -> bool:
        """Tell whether this host may act as an owner right now.

        The time is compared with the last tick, so that a process that was
        paused stops before its first decision.
        """
        self._note_pause(now)
        if self._suspended_s is not None or self._leaving:
            return False
        if not self.is_settled():
            return False
        self.has_settled = True
        return True

    def is_settled(self) -> bool:
        """Tell whether every member counts this incarnation."""
        return all(
            peer.recognised_incarnation == self.incarnation
            for peer in self.peers.values()
            if not peer.is_removed
        )

    def _note_pause(self, now: float) -> bool:
        """Notice a gap since the last tick; return whether there was one."""
        gap_s = now - self._ticked_s
        if gap_s <= PAUSE_LIMIT_S:
            return False
        self._paused_for_s = max(self._paused_for_s, gap_s)
        self._suspended_s = now
        return True

    def _is_accounted(self, peer: peerstate.Peer, now: float) -> bool:
        if now - peer.last_refused_s <= ACKNOWLEDGEMENT_LIMIT_S:
            return True
        return (
            peer.state is peerstate.PeerState.LIVE
            and peer.recognised_incarnation == self.incarnation
            and peer.acknowledged_s is not None
            and now - peer.acknowledged_s <= ACKNOWLEDGEMENT_LIMIT_S
        )

    def _is_current(self, peer: peerstate.Peer, incarnation: int) -> bool:
        return (
            incarnation == peer.incarnation
            and not peer.is_fenced
            and not peer.is_removed
        )

    def _is_fresh(self, peer: peerstate.Peer, since_s: float) -> bool:
        return (
            peer.acknowledged_s is not None and peer.acknowledged_s >= since_s
        )

    def _rejoin(self, incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self._began_s = now
        self._suspended_s = None
        self._paused_for_s = 0.0
        self._may_fence_s = now + REFENCE_AFTER_S
        self.has_settled = False
        for peer in self.peers.values():
            peer.recognised_incarnation = 0
            peer.acknowledged_s = None
            peer.fenced_since_s = None
            if peer.state is not peerstate.PeerState.LIVE:
                peer.state = peerstate.PeerState.UNKNOWN
                peer.refused_since_s = None
                peer.last_heard_s = now
        self.epoch += 1

    def _check_peer(self, peer: peerstate.Peer, now: float) -> None:
        if peer.fenced_since_s is not None:
            if now - peer.fenced_since_s >= FENCE_WAIT_S:
                self._set_standing(peer, peerstate.PeerState.FENCED)
            return
        silent = now - peer.last_heard_s > SILENT_AFTER_S
        if silent and peer.state in (
            peerstate.PeerState.LIVE,
            peerstate.PeerState.UNKNOWN,
        ):
            self._set_standing(peer, peerstate.PeerState.SILENT)

    def _set_standing(
        self, peer: peerstate.Peer, state: peerstate.PeerState
    ) -> None:
        if peer.state is state:
            return
        was_removed = peer.is_removed
        peer.state = state
        if peer.is_removed != was_removed:
            self.epoch += 1
            self.failures += state in (
                peerstate.PeerState.GONE,
                peerstate.PeerState.FENCED,
            )
