"""What this host tells the others, and what it passes on between them."""

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
"""Words that wait to be passed on; more than hosts in a data centre say in
some intervals."""


class _Heard:
    """The last word of a host."""

    __slots__ = ("incarnation", "sequence")

    def __init__(self, word: messages.Heartbeat) -> None:
        self.incarnation = word.incarnation
        self.sequence = word.sequence

    def is_before(self, word: messages.Heartbeat) -> bool:
        """Tell whether a word is a later one."""
        return (self.incarnation, self.sequence) < (
            word.incarnation,
            word.sequence,
        )


class HeartbeatExchange:
    """Words between hosts.

    Args:
        clock: Source of the present time.
        desk: The decisions that words feed.
        watcher: Learns which revisions others have reached.
        gossip: Sends datagrams.
        overlay: Who tells whom.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        desk: balancers.Balancer,
        watcher: watchers.Watcher,
        gossip: gossips.GossipSocket,
        overlay: overlays.Overlay,
    ) -> None:
        self.is_leaving = False
        self._clock = clock
        self._desk = desk
        self._presence = desk.membership
        self._watcher = watcher
        self._gossip = gossip
        self._overlay = overlay
        self._sequence = 0
        self._told_s = 0.0
        self._heard: dict[str, _Heard] = {}
        self._pending: list[tuple[bytes, float]] = []
        self._passed_s = 0.0
        self._passes = 0
        self._is_hurried = False
        self._log = logs.EventLog("conversation")

    def tick(self, now: float) -> None:
        """Tell the others, or pass on what is urgent, if it is time."""
        if now - self._told_s >= self._presence.get_heartbeat_interval():
            self.send(now)
        elif self._is_hurried and self._presence.may_send_early(
            now - self._passed_s
        ):
            self._pass_on(now)

    def send_urgent(self) -> None:
        """Tell the others of a filling account, if that may not wait."""
        now = self._clock.now()
        if self._presence.may_send_early(now - self._told_s):
            self.send(now, is_urgent=True)

    def send_revision(self) -> None:
        """Tell of a new revision those who have to hear of it from here."""
        now = self._clock.now()
        is_source = self._watcher.is_watching or self._overlay.is_relay(now)
        if is_source or not self._presence.uses_relays:
            self.send(now, is_urgent=True)

    def send(self, now: float, is_urgent: bool = False) -> None:
        """Tell the others how this host is."""
        self._told_s = now
        self._sequence += 1
        raw = messages.encode_heartbeat(self._build(now, is_urgent))
        listeners = self._overlay.list_direct_peers()
        self._gossip.send(
            [messages.EncodedHeartbeat(raw)],
            [member.heartbeat_address for member in listeners],
        )
        if self._overlay.is_relay(now):
            self._pending.append((raw, now))
            self._pass_on(now)

    def receive(self, bundle: messages.Bundle) -> None:
        """Take a datagram."""
        now = self._clock.now()
        if self._overlay.should_forward_locally(bundle.sender):
            listeners = self._overlay.list_direct_peers()
            self._gossip.send(
                bundle.heartbeats,
                [member.heartbeat_address for member in listeners],
            )
        for passage in bundle.heartbeats:
            try:
                word = messages.decode_heartbeat(passage.raw)
            except exceptions.PeerError as error:
                self._log.warn(
                    "word_malformed", peer=bundle.sender, reason=error
                )
                continue
            if word.host == self._presence.own.name:
                continue
            if word.host == bundle.sender:
                self._keep(passage, word, now)
            self._take_word(word, now - passage.age_s)

    def _keep(
        self,
        passage: messages.EncodedHeartbeat,
        word: messages.Heartbeat,
        now: float,
    ) -> None:
        """Keep a neighbour's word for the other data centres."""
        is_mine = self._overlay.should_relay(word.sequence, now)
        if not is_mine or not self._overlay.is_in_own_data_centre(word.host):
            return
        if len(self._pending) < MAX_PENDING_HEARTBEATS:
            self._pending.append((passage.raw, now))
        self._is_hurried = self._is_hurried or word.is_urgent

    def _pass_on(self, now: float) -> None:
        """Send what has been kept to the other data centres."""
        passages = [
            messages.EncodedHeartbeat(raw, now - kept_s)
            for raw, kept_s in self._pending
        ]
        self._pending.clear()
        self._is_hurried = False
        self._passed_s = now
        speakers = self._overlay.choose_remote_relays(self._passes, now)
        self._passes += 1
        self._gossip.send(
            passages, [member.heartbeat_address for member in speakers]
        )

    def _take_word(self, word: messages.Heartbeat, now: float) -> None:
        heard = self._heard.get(word.host)
        if heard is not None and not heard.is_before(word):
            return
        self._heard[word.host] = _Heard(word)
        self._presence.record_heartbeat(
            word.host, word.incarnation, word.is_leaving, now
        )
        process = f"{word.host}@{word.incarnation}"
        self._desk.accounts.record_reports(word.host, word.usages, now)
        for report in word.reports:
            rollout = self._desk.rollouts.get(report.service)
            if rollout is not None:
                rollout.record_peer(
                    process,
                    report.order,
                    report.counts,
                    report.rejects_new_version,
                )
        self._watcher.record_heartbeat(word)

    def _build(self, now: float, is_urgent: bool) -> messages.Heartbeat:
        own = self._presence.own
        peers = self._presence.list_peers()
        reports = [
            messages.RolloutReport(
                rollout.service,
                rollout.order.order,
                rollout.counts,
                rollout.rejects_new_version,
            )
            for rollout in self._desk.rollouts.values()
            if rollout.order is not None
        ]
        return messages.Heartbeat(
            host=own.name,
            incarnation=own.incarnation,
            sequence=self._sequence,
            revision=self._watcher.replica.revision,
            is_leaving=self.is_leaving,
            is_urgent=is_urgent,
            is_store_reachable=self._watcher.is_store_reachable,
            usages=self._desk.accounts.list_reports(
                now,
                {member.name for member in peers},
                self._presence.get_timeout_factor(),
            ),
            reports=reports,
        )
