"""Assembly of a host from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from cowslipshift import clock as clocks
from cowslipshift.config import replica as replicas
from cowslipshift.coordination import attempts
from cowslipshift.coordination import facts
from cowslipshift.coordination import members
from cowslipshift.coordination import ownership
from cowslipshift.daemon import adminapi
from cowslipshift.daemon import dissemination
from cowslipshift.daemon import host as hosts
from cowslipshift.daemon import membership as memberships
from cowslipshift.daemon import storewatcher
from cowslipshift.moves import controller as move_controllers
from cowslipshift.moves import recorder as recorders
from cowslipshift.peers import network as networks
from cowslipshift.routing import loads
from cowslipshift.routing import lookups
from cowslipshift.routing import preference
from cowslipshift.routing import selection
from cowslipshift.serving.backend import attempt
from cowslipshift.serving.backend import dispatcher
from cowslipshift.serving.backend import forwarding
from cowslipshift.serving.backend import slots
from cowslipshift.serving.backend import transport
from cowslipshift.serving.decision import deduplication
from cowslipshift.serving.decision import quotas
from cowslipshift.serving.decision import router
from cowslipshift.serving.entry import gateway
from cowslipshift.serving.entry import peerapi
from cowslipshift.store import client as store_clients
from cowslipshift.telemetry import metrics as metric

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift.daemon import settings as daemon_settings

ATTEMPT_RETENTION_S = 60.0


class Assembly:
    """The assembled host and its web applications."""

    def __init__(
        self,
        *,
        host: hosts.Host,
        membership: memberships.MembershipManager,
        watcher: storewatcher.StoreWatcher,
        recorder: recorders.MoveRecorder,
        sessions: transport.Sessions,
        store: store_clients.StoreClient,
        caller_application: web.Application,
        peer_application: web.Application,
        registration: memberships.Registration,
    ) -> None:
        self.host = host
        self.membership = membership
        self.watcher = watcher
        self.recorder = recorder
        self.sessions = sessions
        self.store = store
        self.caller_application = caller_application
        self.peer_application = peer_application
        self.registration = registration


async def assemble_host(
    settings: daemon_settings.Settings,
    on_superseded: Callable[[], None],
    clock: clocks.Clock | None = None,
) -> Assembly:
    """Build a host and the web applications that it serves.

    Args:
        settings: Checked settings.
        on_superseded: Called when a later process of this host has started.
        clock: Source of the current time; the system clock by default.
    """
    clock = clock or clocks.SystemClock()
    metrics = metric.Metrics(settings.name)
    sessions = transport.Sessions(settings.source_address or None)
    store = store_clients.StoreClient(
        settings.store,
        sessions.pooled,
        lambda kind: metrics.count(metrics.store_calls, kind=kind),
    )
    registration = await memberships.register_host(
        store, settings.name, clock.wall()
    )
    now = clock.now()
    membership_view = members.MembershipView(
        settings.name, registration.incarnation, now
    )
    slot_ownership = ownership.OwnershipTable(
        membership_view, registration.is_clean
    )
    account_ownership = ownership.OwnershipTable(
        membership_view, registration.is_first
    )
    fact_table = facts.FactTable(lambda fact: host.handle_fact(fact))
    load_table = loads.LoadTable()
    host = hosts.Host(
        settings,
        clock,
        membership_view,
        slot_ownership,
        account_ownership,
        replicas.ConfigurationReplica(),
        fact_table,
        load_table,
        metrics,
    )
    network = networks.Network(
        settings.name,
        settings.secret,
        clock,
        sessions.pooled,
        host,
        lambda direction, size: metrics.count(
            metrics.peer_bytes, size, direction=direction
        ),
    )
    components = _build_components(
        host,
        network,
        sessions,
        slot_ownership,
        account_ownership,
        registration,
    )
    host.set_components(components, network)
    watcher = storewatcher.StoreWatcher(
        settings.name,
        store,
        host.config_replica,
        components.disseminator,
        membership_view.list_live,
    )
    membership_manager = memberships.MembershipManager(
        settings.data_centre, clock, membership_view, store, on_superseded
    )
    membership_manager.add_tick_listener(host)
    membership_manager.add_pause_listener(components.quotas.drop_tokens)
    attempt_table = attempts.AttemptTable(now, ATTEMPT_RETENTION_S)
    peer_api = peerapi.PeerApi(
        settings.secret,
        clock,
        network,
        components.router,
        components.dispatcher,
        components.slots,
        components.deduplicator,
        attempt_table,
        lambda: membership_view.incarnation,
    )
    recorder = recorders.MoveRecorder(
        settings.name, clock, store, components.moves, host.send_evidence
    )
    caller_application = web.Application()
    components.gateway.add_routes(caller_application.router)
    adminapi.AdminApi(host, watcher, metrics).add_routes(
        caller_application.router
    )
    return Assembly(
        host=host,
        membership=membership_manager,
        watcher=watcher,
        recorder=recorder,
        sessions=sessions,
        store=store,
        caller_application=caller_application,
        peer_application=peer_api.build_application(),
        registration=registration,
    )


def _build_components(
    host: hosts.Host,
    network: networks.Network,
    sessions: transport.Sessions,
    slot_ownership: ownership.OwnershipTable,
    account_ownership: ownership.OwnershipTable,
    registration: memberships.Registration,
) -> hosts.Components:
    settings, clock = host.settings, host.clock
    name, centre = settings.name, settings.data_centre
    allocator = slots.SlotAllocator(name, clock, slot_ownership)
    request_dispatcher = dispatcher.Dispatcher(
        clock, allocator, attempt.BackendClient(clock, sessions), host.metrics
    )
    disseminator = dissemination.Disseminator(
        host.config_replica, host.fact_table, network
    )
    moves = move_controllers.MoveController(
        name, registration.incarnation, host.fact_table, disseminator
    )
    allocator.set_version_guard(moves)
    request_dispatcher.add_outcome_listener(moves)
    forwarder = forwarding.Forwarder(
        name,
        settings.secret,
        clock,
        sessions,
        host.find_address,
        host.find_incarnation,
    )
    forwarder.add_load_listener(
        lambda target, load: host.load_table.record_report(
            target, load, clock.now()
        )
    )
    regions = preference.RegionOrder(settings.region, clock)
    selector = selection.Selector(
        name,
        centre,
        host.load_table,
        allocator.measure_load,
        network.is_linked,
        registration.incarnation,
    )
    request_router = router.Router(
        name,
        clock,
        selector,
        request_dispatcher,
        forwarder,
        host.load_table,
        host.metrics,
        regions,
        moves,
    )
    deduplicator = deduplication.RequestDeduplicator(
        name,
        centre,
        clock,
        slot_ownership,
        request_router.run,
        forwarder,
        host.list_centre_hosts,
        registration.is_first,
    )
    quota_manager = quotas.QuotaManager(
        name,
        centre,
        clock,
        account_ownership,
        network,
        registration.incarnation,
        registration.is_first,
    )
    lookup_service = lookups.LookupService(
        settings.region, host, regions.order_for_lookup
    )
    caller_gateway = gateway.Gateway(
        clock,
        lookup_service,
        quota_manager,
        request_router,
        deduplicator,
        host.metrics,
    )
    return hosts.Components(
        lookups=lookup_service,
        quotas=quota_manager,
        dispatcher=request_dispatcher,
        slots=allocator,
        moves=moves,
        router=request_router,
        deduplicator=deduplicator,
        gateway=caller_gateway,
        disseminator=disseminator,
    )
