"""Membership and failure detection among the hosts of a data centre.

Ownership is safe without a coordinator because of one invariant: a host
acts as an owner only while every host that may act counts it as a member.
Rendezvous hashing then never assigns one resource to two such hosts, since
each of them would have to rank above the other.

A member is removed only when its process is known to be gone (connections
to its address are refused), when it has announced that it leaves, or when a
fence in the platform's store names its incarnation and it has had time to
read the fence.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.coordination import peerstate

if TYPE_CHECKING:
    from collections.abc import Iterable

GONE_AFTER_S = 2.0
"""Time of refused connections after which a process counts as gone."""

SILENT_AFTER_S = 5.0
"""Time without a heartbeat after which a member is fenced."""

ACKNOWLEDGEMENT_LIMIT_S = 4.0
"""Age of a peer's last acknowledgement above which fences are checked."""

FENCE_WAIT_S = 6.0
"""Time that a fenced member has to read its fence and stop acting."""

REFENCE_AFTER_S = 60.0
"""Time that a host waits after it was fenced before it fences others."""

PAUSE_LIMIT_S = 1.0
"""Gap between ticks above which the process counts as paused."""


class MembershipView:
    """This host's view of the members of its data centre.

    It serves hosts that run `cowslipshift.daemon`; hosts of a platform use
    `cowslipshift.steering.membership.Membership`.

    Args:
        host: Name of this host.
        incarnation: Incarnation number of this process, larger than those
            of the host's earlier processes.
        now: Monotonic time in seconds.

    Attributes:
        peers: The other hosts by name, removed ones included.
        epoch: Increased by each change of the set of members.
        failures: Number of members that were found gone or fenced.
        has_settled: Whether all members have counted this incarnation at
            some time.
    """

    def __init__(self, host: str, incarnation: int, now: float) -> None:
        self.host = host
        self.incarnation = incarnation
        self.peers: dict[str, peerstate.Peer] = {}
        self.epoch = 0
        self.failures = 0
        self.has_settled = False
        self._is_leaving = False
        self._incarnation_since_s = now
        self._last_tick_s = now
        self._suspended_since_s: float | None = None
        self._longest_pause_s = 0.0
        self._may_fence_from_s = now

    @property
    def is_leaving(self) -> bool:
        """Whether this host has started to leave."""
        return self._is_leaving

    @property
    def is_suspended(self) -> bool:
        """Whether this host detected a pause and has not resumed yet."""
        return self._suspended_since_s is not None

    def measure_suspension(self, now: float) -> float:
        """Return the seconds since a pause was detected, or 0."""
        return (
            0.0
            if self._suspended_since_s is None
            else now - self._suspended_since_s
        )

    def add_configured(self, hosts: Iterable[str], now: float) -> None:
        """Add the hosts that the configuration names.

        A host that the configuration no longer names stays a member until
        it leaves or is gone, since it may not have the configuration yet.
        """
        for name in hosts:
            if name != self.host and name not in self.peers:
                self.peers[name] = peerstate.Peer(name, now)
                self.epoch += 1

    def list_members(self) -> list[str]:
        """Return the members, including this host unless it is leaving."""
        members = [
            peer.name for peer in self.peers.values() if not peer.is_removed
        ]
        if not self._is_leaving:
            members.append(self.host)
        return sorted(members)

    def list_live(self) -> list[str]:
        """Return the members heard recently, including this host."""
        live = [
            peer.name
            for peer in self.peers.values()
            if peer.state is peerstate.PeerState.LIVE
        ]
        return sorted([*live, self.host])

    def get_incarnation(self, name: str) -> int:
        """Return the incarnation of a peer, or 0 if it is not a member."""
        peer = self.peers.get(name)
        if peer is None or peer.is_removed or peer.is_fenced:
            return 0
        return peer.incarnation

    def has_heard_from(self, name: str) -> bool:
        """Return whether a heartbeat of a peer was ever received."""
        peer = self.peers.get(name)
        return peer is not None and peer.incarnation > 0

    def get_fence(self, name: str) -> int:
        """Return the incarnation up to which a peer is fenced, or 0."""
        peer = self.peers.get(name)
        if peer is None or not peer.is_fenced:
            return 0
        return peer.fenced_up_to

    def record_heartbeat(
        self, name: str, incarnation: int, leaving: bool, now: float
    ) -> bool:
        """Record a heartbeat of a peer.

        Args:
            name: The peer.
            incarnation: Incarnation of its process.
            leaving: Whether it is leaving.
            now: Monotonic time in seconds.

        Returns:
            Whether the heartbeat adds a new incarnation as a member.
        """
        peer = self.peers.get(name)
        if peer is None:
            peer = self.peers[name] = peerstate.Peer(name, now)
        joined = incarnation > max(peer.incarnation, peer.fenced_up_to)
        if not joined and not self._is_member_incarnation(peer, incarnation):
            return False
        peer.incarnation = incarnation
        peer.last_heard_s = now
        peer.refused_since_s = None
        if joined:
            peer.fenced_since_s = None
            peer.recognised_incarnation = 0
            peer.acknowledged_s = None
            self.epoch += 1
        self._set_state(
            peer,
            peerstate.PeerState.LEFT if leaving else peerstate.PeerState.LIVE,
        )
        return joined and not leaving

    def record_acknowledgement(
        self, name: str, sent_s: float, recognised_incarnation: int
    ) -> None:
        """Record that a peer acknowledged a heartbeat of this host.

        Args:
            name: The peer.
            sent_s: Time at which that heartbeat was sent.
            recognised_incarnation: Incarnation of this host that the peer
                counts as a member, or 0.
        """
        peer = self.peers.get(name)
        if peer is not None:
            peer.acknowledged_s = sent_s
            peer.recognised_incarnation = recognised_incarnation

    def record_connection_refused(self, name: str, now: float) -> None:
        """Record that a peer's address refused a connection."""
        peer = self.peers.get(name)
        if peer is None:
            return
        if peer.refused_since_s is None:
            peer.refused_since_s = now
        peer.last_refused_s = now
        if now - peer.refused_since_s >= GONE_AFTER_S:
            self._set_state(peer, peerstate.PeerState.GONE)

    def record_connection_failure(self, name: str) -> None:
        """Record a failed connection that was not refused.

        Such a failure does not show that the peer's process is gone.
        """
        peer = self.peers.get(name)
        if peer is not None:
            peer.refused_since_s = None

    def record_fence(self, name: str, fenced_up_to: int, now: float) -> None:
        """Record a fence that was read from or written to the store.

        A fence of a peer that is older than this host's incarnation is
        ignored: the peer may have rejoined since, accepted by other hosts
        only.

        Args:
            name: The fenced host.
            fenced_up_to: Its incarnations up to this number are fenced.
            now: Monotonic time in seconds.
        """
        if name == self.host:
            if fenced_up_to >= self.incarnation:
                self._rejoin(fenced_up_to + 1, now)
            return
        peer = self.peers.get(name)
        if peer is None or fenced_up_to < max(
            peer.incarnation, self.incarnation
        ):
            return
        peer.fenced_up_to = max(peer.fenced_up_to, fenced_up_to)
        if peer.fenced_since_s is None:
            peer.fenced_since_s = now

    def tick(self, now: float) -> None:
        """Detect pauses of this process and silent or fenced peers."""
        if self._detect_pause(now):
            for peer in self.peers.values():
                peer.last_heard_s = max(peer.last_heard_s, now - 1.0)
        self._last_tick_s = now
        for peer in self.peers.values():
            self._check_peer(peer, now)

    def find_fence_candidates(self, now: float) -> list[str]:
        """Return the silent peers that are to be fenced.

        A host that was fenced itself leaves this to others for a while, so
        that two hosts that cannot hear each other do not fence each other
        in turns.
        """
        if now < self._may_fence_from_s:
            return []
        return [
            peer.name
            for peer in self.peers.values()
            if peer.state is peerstate.PeerState.SILENT
            and peer.fenced_since_s is None
        ]

    def record_store_failure(self, now: float) -> None:
        """Record that the store cannot be read at present.

        A fenced host may not have read its fence either, so that its time
        to do so starts again.
        """
        for peer in self.peers.values():
            if peer.fenced_since_s is not None and not peer.is_removed:
                peer.fenced_since_s = now

    def needs_fence_check(self, now: float) -> bool:
        """Return whether this host must check the store for its fence.

        Any peer may have fenced it that neither acknowledged it recently
        nor is known to be gone.
        """
        return any(
            not self._rules_out_fence(peer, now)
            for peer in self.peers.values()
        )

    def is_superseded(self) -> bool:
        """Return whether a peer knows a later process of this host."""
        return any(
            peer.recognised_incarnation > self.incarnation
            for peer in self.peers.values()
        )

    def raise_incarnation(self, now: float) -> None:
        """Rejoin with an incarnation above all that peers know."""
        known = max(
            peer.recognised_incarnation for peer in self.peers.values()
        )
        self._rejoin(max(known, self.incarnation) + 1, now)

    def try_resume(self, now: float, store_cleared: bool) -> None:
        """Resume after a pause, or rejoin if a peer removed this host.

        A pause that was long enough for peers to fence this host also
        requires it to rejoin.

        Args:
            now: Monotonic time in seconds.
            store_cleared: Whether the store was read since the pause and
                shows no fence, or cannot be reached.
        """
        is_removed_by_peer = any(
            peer.recognised_incarnation == 0
            and self._has_acknowledged_since(peer, self._incarnation_since_s)
            for peer in self.peers.values()
            if not peer.is_removed
        )
        if is_removed_by_peer:
            self._rejoin(self.incarnation + 1, now)
            return
        since_s = self._suspended_since_s
        if since_s is None:
            return
        if self._longest_pause_s >= SILENT_AFTER_S - PAUSE_LIMIT_S:
            self._rejoin(self.incarnation + 1, now)
        elif store_cleared or all(
            self._has_acknowledged_since(peer, since_s)
            for peer in self.peers.values()
            if not peer.is_removed
        ):
            self._suspended_since_s = None
            self._longest_pause_s = 0.0

    def start_leaving(self) -> None:
        """Start to leave: this host is no longer a member."""
        self._is_leaving = True
        self.epoch += 1

    def may_act(self, now: float) -> bool:
        """Return whether this host may act as an owner at present.

        The time is compared with the last tick, so that a process that was
        paused stops acting before its first decision.
        """
        self._detect_pause(now)
        if self._suspended_since_s is not None or self._is_leaving:
            return False
        if not self.is_settled():
            return False
        self.has_settled = True
        return True

    def is_settled(self) -> bool:
        """Return whether every member counts this incarnation."""
        return all(
            peer.recognised_incarnation == self.incarnation
            for peer in self.peers.values()
            if not peer.is_removed
        )

    def _detect_pause(self, now: float) -> bool:
        """Detect a pause since the last tick; return whether there was one."""
        gap_s = now - self._last_tick_s
        if gap_s <= PAUSE_LIMIT_S:
            return False
        self._longest_pause_s = max(self._longest_pause_s, gap_s)
        self._suspended_since_s = now
        return True

    def _rules_out_fence(self, peer: peerstate.Peer, now: float) -> bool:
        """Return whether a peer cannot have fenced this host."""
        if now - peer.last_refused_s <= ACKNOWLEDGEMENT_LIMIT_S:
            return True
        return (
            peer.state is peerstate.PeerState.LIVE
            and peer.recognised_incarnation == self.incarnation
            and peer.acknowledged_s is not None
            and now - peer.acknowledged_s <= ACKNOWLEDGEMENT_LIMIT_S
        )

    def _is_member_incarnation(
        self, peer: peerstate.Peer, incarnation: int
    ) -> bool:
        return (
            incarnation == peer.incarnation
            and not peer.is_fenced
            and not peer.is_removed
        )

    def _has_acknowledged_since(
        self, peer: peerstate.Peer, since_s: float
    ) -> bool:
        return (
            peer.acknowledged_s is not None and peer.acknowledged_s >= since_s
        )

    def _rejoin(self, incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self._incarnation_since_s = now
        self._suspended_since_s = None
        self._longest_pause_s = 0.0
        self._may_fence_from_s = now + REFENCE_AFTER_S
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
                self._set_state(peer, peerstate.PeerState.FENCED)
            return
        silent = now - peer.last_heard_s > SILENT_AFTER_S
        if silent and peer.state in (
            peerstate.PeerState.LIVE,
            peerstate.PeerState.UNKNOWN,
        ):
            self._set_state(peer, peerstate.PeerState.SILENT)

    def _set_state(
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
