"""Sends the heartbeats of this host and relays those of other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.edge import exceptions
from cowslipshift.edge import gossip as gossips
from cowslipshift.edge import messages
from cowslipshift.steering import overlay as overlays
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.edge import watcher as watchers
    from cowslipshift.steering import balancer as balancers

MAX_PENDING_HEARTBEATS = 500
"""Heartbeats that may wait to be relayed; more than the hosts of a data
centre send in several intervals."""


class _LastHeartbeat:
    """Incarnation and sequence of the latest heartbeat of a host."""

    __slots__ = ("incarnation", "sequence")

    def __init__(self, heartbeat: messages.Heartbeat) -> None:
        self.incarnation = heartbeat.incarnation
        self.sequence = heartbeat.sequence

    def is_before(
        self, heartbeat: messages.Heartbeat, registered: int | None
    ) -> bool:
        """Tell whether another heartbeat is newer than this one.

        The time of day may have jumped back before the host started again,
        so a registered incarnation is newer also if its number is smaller.

        Args:
            heartbeat: The other heartbeat, of the same host.
            registered: Incarnation with which the host is registered.
        """
        if heartbeat.incarnation == self.incarnation:
            return self.sequence < heartbeat.sequence
        if registered in (self.incarnation, heartbeat.incarnation):
            return heartbeat.incarnation == registered
        return self.incarnation < heartbeat.incarnation


class HeartbeatExchange:
    """Exchanges heartbeats with the other hosts.

    Args:
        clock: Source of the present time.
        balancer: Receives the usage and roll-out counts that heartbeats carry.
        watcher: Receives the store revisions that other hosts have reached.
        gossip_socket: Sends datagrams.
        overlay: Chooses which hosts a heartbeat is sent or relayed to.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        balancer: balancers.Balancer,
        watcher: watchers.Watcher,
        gossip_socket: gossips.GossipSocket,
        overlay: overlays.Overlay,
    ) -> None:
        self.is_leaving = False
        self._clock = clock
        self._balancer = balancer
        self._membership = balancer.membership
        self._watcher = watcher
        self._gossip_socket = gossip_socket
        self._overlay = overlay
        self._sequence = 0
        self._last_sent_s = 0.0
        self._last_heartbeats: dict[str, _LastHeartbeat] = {}
        self._pending: list[tuple[bytes, float]] = []
        self._last_relayed_s = 0.0
        self._relay_rounds = 0
        self._has_urgent_pending = False
        self._log = logs.EventLog("conversation")

    def tick(self, now: float) -> None:
        """Send a heartbeat that is due, or relay urgent ones early."""
        if (
            now - self._last_sent_s
            >= self._membership.get_heartbeat_interval()
        ):
            self.send(now)
        elif (
            self._balancer.server_limits.is_urgent
            and self._membership.may_send_early(now - self._last_sent_s)
        ):
            self.send(now, is_urgent=True)
        elif self._has_urgent_pending and self._membership.may_send_early(
            now - self._last_relayed_s
        ):
            self._relay_pending(now)

    def send_urgent(self) -> None:
        """Report an account that fills up, if a heartbeat may go early."""
        now = self._clock.now()
        if self._membership.may_send_early(now - self._last_sent_s):
            self.send(now, is_urgent=True)

    def send_revision(self) -> None:
        """Announce a new store revision if other hosts learn it from here.

        With relays, only the host that watches the store and the relays
        announce it.
        """
        now = self._clock.now()
        is_source = self._watcher.is_watching or self._overlay.is_relay(now)
        if is_source or not self._membership.uses_relays:
            self.send(now, is_urgent=True)

    def send(self, now: float, is_urgent: bool = False) -> None:
        """Send a heartbeat; a relay also sends it to other data centres."""
        self._last_sent_s = now
        self._sequence += 1
        raw = messages.encode_heartbeat(self._build(now, is_urgent))
        direct_peers = self._overlay.list_direct_peers()
        self._gossip_socket.send(
            [messages.EncodedHeartbeat(raw)],
            [member.heartbeat_address for member in direct_peers],
        )
        if self._overlay.is_relay(now):
            self._pending.append((raw, now))
            self._relay_pending(now)

    def receive(self, bundle: messages.Bundle) -> None:
        """Apply the heartbeats of a bundle and relay them where needed."""
        now = self._clock.now()
        if self._overlay.should_forward_locally(bundle.sender):
            direct_peers = self._overlay.list_direct_peers()
            self._gossip_socket.send(
                bundle.heartbeats,
                [member.heartbeat_address for member in direct_peers],
            )
        for encoded in bundle.heartbeats:
            try:
                heartbeat = messages.decode_heartbeat(encoded.raw)
            except exceptions.PeerError as error:
                self._log.warn(
                    "heartbeat_malformed", peer=bundle.sender, reason=error
                )
                continue
            if heartbeat.host == self._membership.own.name:
                continue
            if heartbeat.host == bundle.sender:
                self._queue_for_relay(encoded, heartbeat, now)
            self._apply(heartbeat, now - encoded.age_s)

    def _queue_for_relay(
        self,
        encoded: messages.EncodedHeartbeat,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> None:
        """Queue a heartbeat of the own data centre for the others.

        The relays of a data centre take turns by sequence number.
        """
        is_mine = self._overlay.should_relay(heartbeat.sequence, now)
        if not is_mine or not self._overlay.is_in_own_data_centre(
            heartbeat.host
        ):
            return
        if len(self._pending) < MAX_PENDING_HEARTBEATS:
            self._pending.append((encoded.raw, now))
        self._has_urgent_pending = (
            self._has_urgent_pending or heartbeat.is_urgent
        )

    def _relay_pending(self, now: float) -> None:
        """Send the queued heartbeats to the other data centres."""
        heartbeats = [
            messages.EncodedHeartbeat(raw, now - queued_s)
            for raw, queued_s in self._pending
        ]
        self._pending.clear()
        self._has_urgent_pending = False
        self._last_relayed_s = now
        relays = self._overlay.choose_remote_relays(self._relay_rounds, now)
        self._relay_rounds += 1
        self._gossip_socket.send(
            heartbeats, [member.heartbeat_address for member in relays]
        )

    def _apply(self, heartbeat: messages.Heartbeat, now: float) -> None:
        """Apply a heartbeat unless a newer one of its host was applied."""
        last = self._last_heartbeats.get(heartbeat.host)
        member = self._membership.find_member(heartbeat.host)
        registered = None if member is None else member.incarnation
        if last is not None and not last.is_before(heartbeat, registered):
            return
        self._last_heartbeats[heartbeat.host] = _LastHeartbeat(heartbeat)
        self._membership.record_heartbeat(
            heartbeat.host, heartbeat.incarnation, heartbeat.is_leaving, now
        )
        process = f"{heartbeat.host}@{heartbeat.incarnation}"
        self._balancer.accounts.record_reports(
            heartbeat.host, heartbeat.usages, now
        )
        for limit in self._balancer.server_limits.record_reports(
            heartbeat.server_limits, now
        ):
            self._log.info(
                "server_limit_heard",
                peer=heartbeat.host,
                backend=limit.server,
                limit=limit.rate,
            )
        self._balancer.load_exchange.record_reports(
            heartbeat.server_loads, now
        )
        if member is not None:
            self._balancer.spreader.demand.record_peer(
                heartbeat.host, member.region, heartbeat.demands, now
            )
        for report in heartbeat.reports:
            rollout = self._balancer.rollouts.get(report.service)
            if rollout is not None:
                rollout.record_peer(
                    process,
                    report.order,
                    report.counts,
                    report.rejects_new_version,
                    report.elapsed_s,
                    now,
                    report.version,
                )
        self._watcher.record_heartbeat(heartbeat)
        self._watcher.record_proof(
            heartbeat.position, now - heartbeat.current_age_s
        )

    def _build(self, now: float, is_urgent: bool) -> messages.Heartbeat:
        own = self._membership.own
        peers = self._membership.list_peers()
        reports = [
            messages.RolloutReport(
                rollout.service,
                rollout.order.order,
                rollout.counts,
                rollout.rejects_new_version,
                rollout.measure_elapsed(now),
                rollout.order.version,
            )
            for rollout in self._balancer.rollouts.values()
            if rollout.order is not None
        ]
        return messages.Heartbeat(
            host=own.name,
            incarnation=own.incarnation,
            sequence=self._sequence,
            revision=self._watcher.replica.revision,
            era=self._watcher.replica.era,
            is_leaving=self.is_leaving,
            is_urgent=is_urgent,
            is_store_reachable=self._watcher.is_store_reachable,
            usages=self._balancer.accounts.list_reports(
                now,
                {member.name for member in peers},
                self._membership.get_timeout_factor(),
            ),
            reports=reports,
            current_age_s=self._watcher.measure_age(now),
            server_limits=self._balancer.server_limits.list_reports(now),
            server_loads=self._balancer.load_exchange.list_reports(now),
            demands=self._balancer.spreader.demand.list_reports(now),
        )
