"""A host on a platform: assembly, tasks, start and graceful stop."""

from __future__ import annotations

import asyncio
import secrets
import socket
import time
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import web
import aiomisc

from cowslipshift import addresses
from cowslipshift import bodies
from cowslipshift import clock as clocks
from cowslipshift import connections
from cowslipshift import exceptions as base_exceptions
from cowslipshift import supervision
from cowslipshift.edge import attempts
from cowslipshift.edge import callers
from cowslipshift.edge import changeserver
from cowslipshift.edge import dutyreports
from cowslipshift.edge import gossip as gossips
from cowslipshift.edge import handler as handlers
from cowslipshift.edge import heartbeats
from cowslipshift.edge import listeners
from cowslipshift.edge import logevents
from cowslipshift.edge import messages
from cowslipshift.edge import metrics as metric
from cowslipshift.edge import peerclient
from cowslipshift.edge import registration
from cowslipshift.edge import restoration
from cowslipshift.edge import rolloutcontroller
from cowslipshift.edge import upstream
from cowslipshift.edge import usagemessages
from cowslipshift.edge import watcher as watchers
from cowslipshift.inbound import connections as inbound_connections
from cowslipshift.platform import ingress
from cowslipshift.platform import names
from cowslipshift.platform import settings as platform_settings
from cowslipshift.platform import store as stores
from cowslipshift.platform import translation
from cowslipshift.steering import accounts
from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import changes
from cowslipshift.steering import limiters
from cowslipshift.steering import membership as memberships
from cowslipshift.steering import model
from cowslipshift.steering import overlay as overlays
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift.store import interface

TICK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 1.0
"""A tick that is this late, or a machine that was suspended for this long,
means that the process was paused meanwhile."""

LOOKUP_LIFETIME_S = 1.0
"""Some callers cache an answer for three lifetimes, which still ends within a
graceful stop."""

ACCEPT_WHILE_LEAVING_S = 3.6
"""How long a leaving host accepts requests: some callers cache look-ups for
three lifetimes."""

STOP_MARGIN_S = 0.5
"""Requests that still run this long before the platform kills the process
are abandoned."""

LAST_ANSWERS_S = 0.2
"""How long the answers to abandoned requests may take to be written."""

ACCEPT_WAITING_S = 0.5
"""How long a host that stops goes on accepting connections that wait, so that
callers that keep coming do not use up the time for requests that run."""

CLOSE_TIMEOUT_S = 0.1
DRAIN_POLL_INTERVAL_S = 0.05
BACKLOG = 512
MS_PER_S = 1000.0
INCARNATIONS_PER_MS = 1000


class EdgeService(aiomisc.Service):
    """One host as a service of the event loop."""

    settings: platform_settings.HostSettings
    bounds: platform_settings.Bounds

    async def start(self) -> Any:
        """Assemble the host, listen, then start its tasks.

        It is ready once the configuration has been read from the store.
        """
        self._log = logs.EventLog("service")
        self._clock = clocks.SystemClock()
        self._supervisor = supervision.Supervisor(self._log)
        self._runners: list[web.BaseRunner] = []
        self._is_leaving = False
        self._assemble()
        await self._open_gossip_socket()
        self._inbound = listeners.Listeners(
            self._clock, self.settings.limits.max_fds
        )
        await self._listen_internal()
        await self._listen_callers()
        self._supervisor.start(self._watcher.run)
        self._supervisor.start(self._watcher.run_consultation)
        self._supervisor.start(self._registration.run)
        self._supervisor.start(self._run_ticks)
        self._supervisor.start(self._run_rollout_evaluation)
        if self._usage is not None:
            self._supervisor.start(self._usage.run_tenure)
            self._supervisor.start(self._usage.run_collection)
            self._supervisor.start(self._usage.run_reports)
        self._log.info(
            "started",
            front=self.settings.listen.front,
            incarnation=self._own.incarnation,
            data_centre=self._own.data_centre,
        )

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop gracefully within the grace period.

        Announces that this host leaves, accepts requests for a while, waits
        for those in flight, then closes everything.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self.bounds.grace_s - STOP_MARGIN_S
        self._log.info("leaving", running=self._handler.in_flight)
        self._is_leaving = self._membership.is_leaving = True
        self._caller_server.is_closing = True
        now = self._clock.now()
        self._handler.begin_leaving(
            now, now + self.bounds.grace_s - STOP_MARGIN_S
        )
        self._heartbeats.is_leaving = True
        self._heartbeats.send(self._clock.now(), is_urgent=True)
        if self._usage is not None:
            self._supervisor.start(self._usage.stop)
        await asyncio.sleep(
            min(ACCEPT_WHILE_LEAVING_S, self.bounds.grace_s / 2)
        )
        await self._accept_waiting_callers()
        for site in list(self._caller_runner.sites):
            await site.stop()
        await self._close_idle_connections(until_s)
        self._handler.abandon()
        await self._close_idle_connections(loop.time() + LAST_ANSWERS_S)
        self._heartbeats.send(self._clock.now(), is_urgent=True)
        await self._close()
        self._log.info("stopped", unfinished=self._handler.in_flight)

    async def _close_idle_connections(self, until_s: float) -> None:
        """Close connections as they become idle, until none is left."""
        loop = asyncio.get_running_loop()
        while self._caller_server.close_idle_connections():
            if loop.time() >= until_s:
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _accept_waiting_callers(self) -> None:
        """Wait until all connections to callers have been accepted.

        Those that wait at a socket that is closed are reset. If the process
        stood still until now, that may be many.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + ACCEPT_WAITING_S
        descriptor = self._caller_socket.fileno()
        while loop.time() < until_s and inbound_connections.has_arrived(
            descriptor
        ):
            await asyncio.sleep(0)

    async def abort(self) -> None:
        """Stop without telling other hosts, as a crash does; for tests."""
        self._registration.abandon_lease()
        await self._close()

    def is_settled(self, hosts: int) -> bool:
        """Tell whether callers can be served and enough hosts are alive.

        Args:
            hosts: Least number of live hosts, this one included.
        """
        live = self._membership.list_live(self._clock.now())
        return (
            self._balancer.configuration is not None
            and len(live) >= hosts
            and bool(self._balancer.inventory.by_id)
        )

    @property
    def balancer(self) -> balancers.Balancer:
        """Chooses backend servers for this host."""
        return self._balancer

    @property
    def position(self) -> interface.Position:
        """Position of the store that this host's replica has reached."""
        return self._watcher.replica.position

    @property
    def revision(self) -> int:
        """Store revision that this host's replica has reached."""
        return self.position.revision

    # Assembly

    def _assemble(self) -> None:
        settings = self.settings
        port = settings.internal_ports[0]
        self._own = model.Member(
            name=settings.node_name,
            data_centre=settings.zone,
            region=settings.region,
            public_address=settings.listen.front,
            internal_address=f"{settings.ip}:{port + 1}",
            heartbeat_address=f"{settings.ip}:{port}",
            incarnation=_draw_incarnation(self._clock.wall()),
            link_mbps=settings.limits.link_mbps,
        )
        self._metrics = metric.EdgeMetrics(settings.node_name)
        self._membership = memberships.Membership(self._own)
        overlay = overlays.Overlay(self._membership)
        self._balancer = balancers.Balancer(
            self._membership,
            settings.zones,
            self.bounds.retry_budget,
            self.bounds.budget_slack,
            self.bounds.budget_window_s,
            accounts.AccountLimiters(
                limiters.QuotaPolicy(
                    self.bounds.quota_window_s,
                    self.bounds.quota_overshoot,
                    self.bounds.quota_slack,
                ),
                not settings.bootstrap,
                self._clock.now(),
                settings.node_name,
            ),
        )
        self._session = connections.open_control_session()
        budget = bodies.ByteBudget(bodies.MAX_CONTROL_BYTES)
        self._store = stores.PlatformStore(
            settings.platform.address,
            self._session,
            self._metrics.count_store_call,
            budget,
            self._record_store_era,
        )
        peers = peerclient.PeerClient(
            self._session, self._metrics.count_fetch, budget
        )
        counter = dutyreports.open_counter(settings, self.bounds)
        self._client = upstream.UpstreamClient(self._balancer.record_connect)
        self._handler = handlers.RequestHandler(
            attempts.Dependencies(
                self._clock,
                self._balancer,
                self._client,
                self._metrics,
                counter,
            ),
            self._send_urgent,
            self._is_current,
        )
        self._watcher = watchers.Watcher(
            self._clock,
            self._store,
            self._membership,
            overlay,
            peers,
            self._apply_item,
            self._record_store_outage,
            self._send_revision,
            self.bounds.config_apply_ms
            / MS_PER_S
            * watchers.MAX_AGE_BOUND_FRACTION,
            self._begin_store_era,
            restoration.may_be_restored,
            translation.list_members,
        )
        self._registration = registration.HostRegistration(
            self._clock, self._own, self._store, self._watcher
        )
        self._usage = dutyreports.assemble_reports(
            settings,
            self.bounds,
            dutyreports.Dependencies(
                self._clock,
                clocks.ElapsedClock(),
                self._membership,
                self._watcher,
                self._store,
                self._session,
                peers,
                counter,
                self._metrics,
            ),
        )
        self._rollout_controller = rolloutcontroller.RolloutController(
            self._clock, self._balancer, self._store, self._watcher
        )
        self._gossip_socket = gossips.GossipSocket(
            self._own.name,
            self._receive_bundle,
            self._metrics.count_peer_bytes,
        )
        self._heartbeats = heartbeats.HeartbeatExchange(
            self._clock,
            self._balancer,
            self._watcher,
            self._gossip_socket,
            overlay,
        )

    async def _open_gossip_socket(self) -> None:
        loop = asyncio.get_running_loop()
        port = self.settings.internal_ports[0]
        await loop.create_datagram_endpoint(
            lambda: self._gossip_socket, local_addr=(self.settings.ip, port)
        )

    async def _listen_internal(self) -> None:
        application = web.Application()
        changes_server = changeserver.ChangeServer(self._watcher.replica)
        application.router.add_get("/changes", changes_server.serve)
        application.router.add_get("/metrics", self._serve_metrics)
        if self._usage is not None:
            application.router.add_get("/usage", self._serve_counts)
        await self._listen(application, self._own.internal_address)

    async def _listen_callers(self) -> None:
        listen = self.settings.listen
        lookup_application = web.Application()
        lookup_application.router.add_get(
            names.RESOLVE_PATH, self._serve_lookup
        )
        lookup_application.router.add_get(names.READY_PATH, self._serve_ready)
        for address in {listen.ready, listen.directory}:
            await self._listen(lookup_application, address)
        self._caller_server = callers.CallerServer(
            self._handler.handle,
            self._clock,
            self._inbound.callers,
        )
        self._caller_runner = web.ServerRunner(
            self._caller_server, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await self._caller_runner.setup()
        ip, port = addresses.split_address(listen.front)
        self._caller_socket = socket.create_server((ip, port), backlog=BACKLOG)
        self._caller_socket.setblocking(False)
        await web.SockSite(
            self._caller_runner, self._caller_socket, backlog=BACKLOG
        ).start()
        self._runners.append(self._caller_runner)

    async def _listen(
        self, application: web.Application, address: str
    ) -> None:
        runner = inbound_connections.InboundRunner(
            application,
            self._inbound.others,
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await self._run_site(runner, address)

    async def _run_site(self, runner: web.BaseRunner, address: str) -> None:
        await runner.setup()
        ip, port = addresses.split_address(address)
        await web.TCPSite(runner, ip, port, backlog=BACKLOG).start()
        self._runners.append(runner)

    async def _close(self) -> None:
        await self._supervisor.stop()
        await self._registration.deregister()
        for runner in self._runners:
            try:
                await runner.cleanup()
            except OSError as error:
                self._log.warn("listener_not_closed", reason=repr(error))
        self._gossip_socket.close()
        await self._client.close()
        await self._session.close()

    # HTTP requests of callers and hosts

    async def _serve_ready(self, request: web.Request) -> web.Response:
        is_ready = (
            self._balancer.configuration is not None and not self._is_leaving
        )
        return web.Response(status=200 if is_ready else 503)

    async def _serve_lookup(self, request: web.Request) -> web.Response:
        self._metrics.count_lookup()
        region = request.query.get("region", self._own.region)
        usable = self._membership.list_usable(self._clock.now())
        public_addresses = memberships.choose_public_addresses(
            usable, region, self._own
        )
        return web.Response(
            body=ingress.encode_public_addresses(
                public_addresses, LOOKUP_LIFETIME_S
            ),
            content_type="application/json",
        )

    async def _serve_counts(self, request: web.Request) -> web.Response:
        try:
            first = int(request.query.get("first", "0"))
        except ValueError:
            return web.Response(status=400)
        if self._usage is None:
            return web.Response(status=404)
        counted = self._usage.list_counts(first)
        return web.Response(body=usagemessages.encode_counts(counted))

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        now = self._clock.now()
        self._metrics.set_replica_state(
            self._watcher.replica.position,
            self._balancer.version,
            self._watcher.measure_behind(now),
            self._watcher.measure_age(now),
            self._watcher.replica.is_informed,
        )
        content, headers = self._metrics.render()
        return web.Response(body=content, headers=headers)

    # Changes in the store and messages of other hosts

    def _apply_item(self, item: interface.Item) -> bool:
        """Apply an item; return whether it is outdated."""
        try:
            return self._apply_translated(item)
        except Exception as error:
            # What comes after it in the same batch would not be applied.
            self._log.error(
                "entry_failed",
                key=item.key,
                revision=item.revision,
                **logs.describe_error(error),
            )
            return False

    def _apply_translated(self, item: interface.Item) -> bool:
        now = self._clock.now()
        if item.key.startswith(names.DUTY_PREFIX):
            if self._usage is not None:
                self._usage.record_item(item)
            return False
        try:
            change = translation.translate_item(
                item, self._watcher.replica.era
            )
        except base_exceptions.CowslipshiftError as error:
            self._log.warn(
                "entry_ignored",
                key=item.key,
                revision=item.revision,
                code=error.code,
                reason=error.message,
            )
            return False
        if change is None:
            return False
        if (
            isinstance(change, changes.MemberChange)
            and change.name == self._own.name
        ):
            self._registration.record_entry(change.member)
        is_outdated = self._balancer.is_outdated(change, now)
        if is_outdated:
            self._log.info(
                "entry_outdated", key=item.key, revision=item.revision
            )
        if self._balancer.apply(change, now) and not is_outdated:
            event, fields = logevents.describe_change(change)
            self._log.info(event, revision=item.revision, **fields)
        return is_outdated

    def _is_current(self, now: float) -> bool:
        """Tell whether the configuration in force is known to be recent."""
        return self._watcher.is_current(now)

    def _record_store_outage(self) -> None:
        self._balancer.inventory.record_store_outage(self._clock.now())

    def _record_store_era(self, era: int) -> None:
        self._watcher.record_era(era)

    def _begin_store_era(self, era: int, has_earlier: bool) -> None:
        """Prepare for a store that may have lost what was written last.

        Args:
            era: Era of the store.
            has_earlier: Whether this host has followed an earlier era.
        """
        self._balancer.begin_era(era, self._clock.now())
        if not has_earlier:
            return
        self._metrics.count_store_era()
        self._balancer.inventory.begin_era(self._clock.now())
        self._registration.register_again()
        if self._usage is not None:
            self._usage.begin_era()

    def _receive_bundle(self, bundle: messages.Bundle) -> None:
        self._heartbeats.receive(bundle)

    def _send_urgent(self) -> None:
        self._heartbeats.send_urgent()

    def _send_revision(self) -> None:
        self._heartbeats.send_revision()

    # Tasks

    async def _run_ticks(self) -> None:
        last_s = self._clock.now()
        suspended_s = _measure_suspended()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock.now()
            passed_s, last_s = now - last_s, now
            last_suspended_s, suspended_s = suspended_s, _measure_suspended()
            if (
                passed_s > PAUSE_THRESHOLD_S
                or suspended_s - last_suspended_s > PAUSE_THRESHOLD_S
            ):
                self._log.warn(
                    "paused",
                    late_s=passed_s,
                    stood_s=suspended_s - last_suspended_s,
                )
                self._watcher.request_reread()
            self._inbound.tick(self._balancer.configuration)
            self._watcher.release_held(now)
            self._balancer.refill_budgets(passed_s)
            self._adjust_region_shares(now)
            for service in self._balancer.count_lost_answers(now):
                self._log.warn("version_condemned", service=service)
            for identity in self._balancer.inventory.drop_expired(now):
                self._log.info("lapsed_dropped", backend=identity)
            for name in self._membership.drop_unregistered(now):
                self._log.info("member_dropped", member=name)
            self._heartbeats.tick(now)

    def _adjust_region_shares(self, now: float) -> None:
        spreader = self._balancer.spreader
        for service in spreader.adjust(now):
            shares = spreader.get_shares(service) or {}
            self._log.info(
                "region_shares",
                service=service,
                shares=",".join(f"{r}:{s:.2f}" for r, s in shares.items()),
            )

    async def _run_rollout_evaluation(self) -> None:
        """Evaluate roll-outs, in a task of its own.

        A slow store must not delay the ticks.
        """
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            await self._rollout_controller.evaluate(self._clock.now())


def _draw_incarnation(wall_s: float) -> int:
    """Return a number that differs from those of earlier starts.

    It mostly increases, but the time of day may jump back; a random part
    keeps two starts at the same time of day apart.
    """
    wall_ms = int(wall_s * 1000)
    return wall_ms * INCARNATIONS_PER_MS + secrets.randbelow(
        INCARNATIONS_PER_MS
    )


def _measure_suspended() -> float:
    """Return the seconds that the machine was suspended since it booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
