"""One entry host: its components and the handling of peer messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.coordination import facts
from cowslipshift.daemon import dissemination
from cowslipshift.daemon import storewatcher
from cowslipshift.peers import messages
from cowslipshift.serving.backend import slots as slot_allocators
from cowslipshift.serving.decision import deduplication
from cowslipshift.telemetry import logs
from cowslipshift.topology import index as indexes
from cowslipshift.topology import links

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.config import model
    from cowslipshift.config import replica as replicas
    from cowslipshift.coordination import members
    from cowslipshift.coordination import ownership
    from cowslipshift.daemon import settings as daemon_settings
    from cowslipshift.moves import controller as move_controllers
    from cowslipshift.peers import network as networks
    from cowslipshift.routing import loads
    from cowslipshift.routing import lookups
    from cowslipshift.serving.backend import dispatcher as dispatchers
    from cowslipshift.serving.decision import quotas
    from cowslipshift.serving.decision import router as routers
    from cowslipshift.serving.entry import gateway as gateways
    from cowslipshift.telemetry import metrics as metric

LEAVING_FACT = "host_leaving"
"""Kind of the facts that tell whether the process of a host is leaving."""

LIVE_STATE = "live"
LEAVING_STATE = "leaving"

MIN_EXTRA_HEARTBEAT_INTERVAL_S = 0.05


class Components:
    """The components of a host that follow the configuration."""

    def __init__(
        self,
        *,
        lookups: lookups.LookupService,
        quotas: quotas.QuotaManager,
        dispatcher: dispatchers.Dispatcher,
        slots: slot_allocators.SlotAllocator,
        moves: move_controllers.MoveController,
        router: routers.Router,
        deduplicator: deduplication.RequestDeduplicator,
        gateway: gateways.Gateway,
        disseminator: dissemination.Disseminator,
    ) -> None:
        self.lookups = lookups
        self.quotas = quotas
        self.dispatcher = dispatcher
        self.slots = slots
        self.moves = moves
        self.router = router
        self.deduplicator = deduplicator
        self.gateway = gateway
        self.disseminator = disseminator


class Host:
    """Applies configurations to the components and handles peer messages.

    Args:
        settings: Settings of the daemon.
        clock: Source of the current time.
        membership_view: Membership of the data centre.
        slot_ownership: Ownership of slots and idempotency keys.
        account_ownership: Ownership of accounts.
        config_replica: This host's copy of the configuration.
        fact_table: Facts known to this host.
        load_table: Loads of other hosts.
        metrics: Metrics of the host.
    """

    def __init__(
        self,
        settings: daemon_settings.Settings,
        clock: clocks.Clock,
        membership_view: members.MembershipView,
        slot_ownership: ownership.OwnershipTable,
        account_ownership: ownership.OwnershipTable,
        config_replica: replicas.ConfigurationReplica,
        fact_table: facts.FactTable,
        load_table: loads.LoadTable,
        metrics: metric.Metrics,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.membership_view = membership_view
        self.config_replica = config_replica
        self.fact_table = fact_table
        self.metrics = metrics
        self.config_index: indexes.ConfigurationIndex | None = None
        self._slot_ownership = slot_ownership
        self._account_ownership = account_ownership
        self.load_table = load_table
        self._reported_usable: dict[str, int] = {}
        self._extra_heartbeat_s: dict[str, float] = {}
        self._log = logs.EventLog("host")
        self._components: Components | None = None
        self._network: networks.Network | None = None

    @property
    def components(self) -> Components:
        """The components of this host."""
        assert self._components is not None
        return self._components

    @property
    def network(self) -> networks.Network:
        """The links of this host."""
        assert self._network is not None
        return self._network

    def set_components(
        self, components: Components, network: networks.Network
    ) -> None:
        """Set the components and links, which themselves use this host."""
        self._components = components
        self._network = network
        self.config_replica.add_listener(self.apply)

    def apply(self, configuration: model.Configuration, source: str) -> None:
        """Apply a configuration to all components."""
        now = self.clock.now()
        config_index = indexes.ConfigurationIndex(
            configuration, self.config_index
        )
        self.config_index = config_index
        centre_name = self.settings.data_centre
        centre = config_index.fleet.data_centres.get(centre_name)
        if centre is None or centre.region != self.settings.region:
            self._log.error(
                "place_unknown",
                data_centre=centre_name,
                region=self.settings.region,
            )
        self.membership_view.add_configured(
            centre.hosts if centre else [], now
        )
        resources = slot_allocators.build_slot_resources(
            config_index, centre_name
        )
        longest_s = max(resources.values(), default=0.0)
        resources |= deduplication.build_resources(centre_name, longest_s)
        self._slot_ownership.set_resources(resources, now)
        components = self.components
        components.disseminator.apply(config_index.fleet)
        components.quotas.apply(config_index)
        components.moves.apply(config_index)
        components.slots.apply(config_index, centre_name)
        components.dispatcher.apply(config_index)
        if self.settings.region in config_index.fleet.regions:
            link_table = links.LinkTable(
                configuration, config_index.fleet, self.settings.region, now
            )
            components.router.apply(
                config_index, link_table, self.settings.region
            )
        components.deduplicator.apply(config_index)
        components.lookups.apply(config_index)
        components.gateway.apply(config_index)
        self.metrics.revision.set({}, configuration.revision)
        self._link_peers(config_index)

    def tick(self, now: float) -> None:
        """Update slots, accounts and queues after a membership tick."""
        self._slot_ownership.refresh(now)
        self._account_ownership.refresh(now)
        self.components.quotas.update_base_shares()
        self.components.slots.serve_queues()
        self._report_slots()

    def _report_slots(self) -> None:
        """Send heartbeats at once if numbers of usable slots have changed."""
        usable = {
            load.service: load.usable
            for load in self.components.slots.measure_loads()
        }
        if usable != self._reported_usable:
            self._reported_usable = usable
            for host in self.network.list_linked():
                self.network.send_heartbeat(host)

    def find_address(self, host: str) -> str | None:
        """Return a host's peer address."""
        if self.config_index is None:
            return None
        entry = self.config_index.fleet.hosts.get(host)
        return entry.peer if entry is not None else None

    def find_incarnation(self, host: str) -> int:
        """Return the incarnation of a host of this data centre, or 0."""
        return self.membership_view.get_incarnation(host)

    def is_leaving(self, host: str) -> bool:
        """Tell whether the host itself or the platform says that it leaves."""
        if host == self.settings.name and self.membership_view.is_leaving:
            return True
        own = self.fact_table.get_fact(LEAVING_FACT, host)
        if own is not None and own.value == LEAVING_STATE:
            return True
        listed = self.fact_table.get_fact(storewatcher.LISTING_FACT, host)
        return listed is not None and listed.value == LEAVING_STATE

    def is_reachable(self, host: str) -> bool:
        """Tell whether a host is this one or has an open link."""
        return host == self.settings.name or self.network.is_linked(host)

    def is_fully_linked(self) -> bool:
        """Tell whether a link to each wanted host is open."""
        if self.config_index is None:
            return False
        wanted = dissemination.choose_peers(
            self.config_index.fleet, self.settings.name
        )
        return wanted <= set(self.network.list_linked())

    def list_centre_hosts(self, centre: str) -> list[str]:
        """Return the reachable hosts of a data centre."""
        if self.config_index is None:
            return []
        entry = self.config_index.fleet.data_centres.get(centre)
        hosts = entry.hosts if entry is not None else []
        return [
            host
            for host in hosts
            if self.is_reachable(host) and not self.is_leaving(host)
        ]

    def has_pending_resources(self) -> bool:
        """Tell whether an earlier owner may still use slots or keys."""
        now = self.clock.now()
        return self._slot_ownership.has_pending(now)

    def handle_fact(self, fact: facts.Fact) -> None:
        """Apply a new fact to the components that depend on it."""
        if self._components is None:
            return
        if fact.kind in (LEAVING_FACT, storewatcher.LISTING_FACT):
            self._components.lookups.clear_cache()
        if fact.kind == storewatcher.LISTING_FACT:
            is_leaving = fact.value == LEAVING_STATE
            self._components.slots.set_server_leaving(fact.subject, is_leaving)

    def publish_state(self, state: str) -> None:
        """Publish whether this process is leaving.

        The version makes the leaving state supersede the live state of the
        same process.
        """
        version = 2 * self.membership_view.incarnation + (
            state == LEAVING_STATE
        )
        self.components.disseminator.publish(
            facts.Fact(LEAVING_FACT, self.settings.name, version, state)
        )

    def build_heartbeat(
        self, host: str, sequence: int, acknowledged_sequence: int
    ) -> messages.Heartbeat:
        """Build the next heartbeat for a host."""
        now = self.clock.now()
        handovers: list[ownership.Handover] = []
        if not self._knows_membership(host):
            # A host that is acknowledged but not recognised as a member
            # assumes that it was removed. Without a configuration this host
            # recognises no peer, so it must not acknowledge any.
            acknowledged_sequence = 0
        if host in self.membership_view.peers:
            handovers = self._slot_ownership.list_handovers(
                self._describe_handover, now
            ) + self._account_ownership.list_handovers(
                self.components.quotas.describe_handover, now
            )
        return messages.Heartbeat(
            host=self.settings.name,
            incarnation=self.membership_view.incarnation,
            sequence=sequence,
            acknowledged_sequence=acknowledged_sequence,
            recognised_incarnation=self.membership_view.get_incarnation(host),
            fenced_up_to=self.membership_view.get_fence(host),
            leaving=self.membership_view.is_leaving,
            revision=self.config_replica.revision,
            fact_digest=self.fact_table.digest,
            handovers=handovers,
            loads=self.components.slots.measure_loads(),
        )

    def _knows_membership(self, host: str) -> bool:
        """Tell whether the membership view can tell if a host is a member."""
        if self.config_index is None:
            return False
        return (
            host not in self.membership_view.peers
            or self.membership_view.has_heard_from(host)
        )

    def handle_message(
        self, host: str, message: messages.Message, sent_s: float | None
    ) -> None:
        """Dispatch a message from a link to the component that handles it."""
        disseminator = self.components.disseminator
        if isinstance(message, messages.Heartbeat):
            self._handle_heartbeat(host, message, sent_s)
        elif isinstance(message, messages.ConfigurationRequest):
            disseminator.handle_request(host, message)
        elif isinstance(message, messages.ConfigurationOffer):
            disseminator.handle_offer(host, message)
        elif isinstance(message, messages.Facts):
            disseminator.handle_facts(host, message)
        elif isinstance(message, messages.LoanRequests):
            self.components.quotas.handle_loan_requests(host, message.requests)
        elif isinstance(message, messages.LoanGrants):
            self.components.quotas.handle_grants(host, message.grants)
        elif isinstance(message, messages.EvidenceReport):
            self.components.moves.merge_evidence(message.entries)
        elif isinstance(message, messages.LoanRecalls):
            self.components.quotas.handle_recalls(host, message.accounts)

    def send_evidence(self) -> None:
        """Send this host's counters of version moves to all linked hosts."""
        report = self.components.moves.build_evidence(self.clock.wall())
        if report is not None:
            self.network.broadcast(report)

    def record_connection_refused(self, host: str) -> None:
        """Record that a host's address refuses connections."""
        self.membership_view.record_connection_refused(host, self.clock.now())

    def record_connection_failure(self, host: str) -> None:
        """Record a connection attempt that failed without being refused."""
        self.membership_view.record_connection_failure(host)

    def record_link_closed(self, host: str) -> None:
        """Drop the load of a host whose link is closed."""
        self.load_table.forget_host(host)
        self.components.lookups.clear_cache()

    def _handle_heartbeat(
        self, host: str, heartbeat: messages.Heartbeat, sent_s: float | None
    ) -> None:
        now = self.clock.now()
        needs_reply = heartbeat.sequence == 1
        if host in self.membership_view.peers:
            joined = self.membership_view.record_heartbeat(
                host, heartbeat.incarnation, heartbeat.leaving, now
            )
            if heartbeat.fenced_up_to:
                self.membership_view.record_fence(
                    self.settings.name, heartbeat.fenced_up_to, now
                )
            self._slot_ownership.accept_handovers(
                host, heartbeat.handovers, now
            )
            self._account_ownership.accept_handovers(
                host, heartbeat.handovers, now
            )
            if sent_s is not None:
                self.membership_view.record_acknowledgement(
                    host, sent_s, heartbeat.recognised_incarnation
                )
            is_unrecognised = (
                heartbeat.recognised_incarnation
                != self.membership_view.incarnation
            )
            needs_reply = (
                needs_reply
                or joined
                or (is_unrecognised and sent_s is not None)
            )
        if needs_reply:
            self._send_extra_heartbeat(host, now)
        self.load_table.replace_reports(host, heartbeat.loads, now)
        self.components.disseminator.reconcile(host, heartbeat)

    def _send_extra_heartbeat(self, host: str, now: float) -> None:
        """Send an extra heartbeat so that both sides settle soon."""
        if (
            now - self._extra_heartbeat_s.get(host, float("-inf"))
            < MIN_EXTRA_HEARTBEAT_INTERVAL_S
        ):
            return
        self._extra_heartbeat_s[host] = now
        self.network.send_heartbeat(host)
        self.components.lookups.clear_cache()

    def _describe_handover(self, resource: str) -> tuple[int, float]:
        if resource.startswith("keys:"):
            return self.components.deduplicator.describe_handover(resource)
        name = resource.partition(":")[2]
        return self.components.slots.count_used_slots(name), 0.0

    def _link_peers(self, config_index: indexes.ConfigurationIndex) -> None:
        peers = dissemination.choose_peers(
            config_index.fleet, self.settings.name
        )
        addresses = {
            name: config_index.fleet.hosts[name].peer for name in sorted(peers)
        }
        self.network.set_peers(addresses)
