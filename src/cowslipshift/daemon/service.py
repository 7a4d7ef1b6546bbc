"""Start, background tasks and graceful shutdown of a host."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import os
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import web
import aiomisc

from cowslipshift import addresses
from cowslipshift import supervision
from cowslipshift.daemon import factory
from cowslipshift.daemon import host as hosts
from cowslipshift.daemon import membership
from cowslipshift.daemon import settings as daemon_settings
from cowslipshift.inbound import connections
from cowslipshift.inbound import limits as inbound_limits
from cowslipshift.inbound import register
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.store import keys
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

SUPERSEDED_EXIT_STATUS = 3
"""Exit status of a process replaced by a later one of the same host."""

MAX_LINK_WAIT_S = 2.0
"""Longest time that a starting host waits for links to other hosts."""

LEAVE_NOTICE_S = 1.0
"""Time for the leaving state to reach the look-ups of other hosts."""

POLL_INTERVAL_S = 0.05
CHECK_INTERVAL_S = 0.1
CLOSE_TIMEOUT_S = 2.0


class HostService(aiomisc.Service):
    """Runs one host as an aiomisc service."""

    settings: daemon_settings.Settings

    async def start(self) -> Any:
        """Assemble the host, start its tasks and listen for requests."""
        self._log = logs.EventLog("service")
        self._supervisor = supervision.Supervisor(self._log)
        settings = self.settings
        self._assembly = await factory.assemble_host(
            settings, _exit_superseded
        )
        assembly = self._assembly
        self._caller_connections = register.ConnectionRegister(
            assembly.host.clock, inbound_limits.choose_max_waiting()
        )
        self._peer_connections = register.ConnectionRegister(
            assembly.host.clock, inbound_limits.choose_max_waiting()
        )
        self._peer_runner = await _listen(
            assembly.peer_application,
            self._peer_connections,
            settings.peer_listen,
        )
        assembly.host.network.set_peers(
            {f"@{address}": address for address in settings.peers}
        )
        await assembly.watcher.read_once()
        self._start_tasks()
        await self._wait_for_links()
        self._caller_runner = await _listen(
            assembly.caller_application,
            self._caller_connections,
            settings.listen,
        )
        assembly.host.publish_state(hosts.LIVE_STATE)
        self._log.info(
            "started",
            listen=settings.listen,
            peer_listen=settings.peer_listen,
            revision=assembly.host.config_replica.revision,
            incarnation=assembly.registration.incarnation,
        )

    async def stop(self, exception: Exception | None = None) -> Any:
        """Shut down: announce it, hand over, finish requests, then close."""
        assembly = self._assembly
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self.settings.drain_s
        self._log.info("leaving")
        assembly.host.publish_state(hosts.LEAVING_STATE)
        await asyncio.sleep(LEAVE_NOTICE_S)
        assembly.host.membership_view.start_leaving()
        self._send_heartbeats()
        await self._drain(deadline_s)
        assembly.host.components.gateway.close()
        await self._drain(deadline_s)
        self._send_heartbeats()
        await self._record_stop()
        await self._close()
        self._log.info("stopped")

    async def _wait_for_links(self) -> None:
        """Wait for links before requests are accepted, for a limited time.

        Without links a host has no share of any account's quota to admit
        requests with, and does not know the load of other hosts.
        """
        host = self._assembly.host
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + MAX_LINK_WAIT_S
        while loop.time() < deadline_s:
            if host.is_fully_linked() and host.membership_view.is_settled():
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _start_tasks(self) -> None:
        assembly = self._assembly
        watch = assembly.watcher.run_watch
        runs: list[Callable[[], Coroutine[Any, Any, None]]] = [
            assembly.membership.run,
            assembly.membership.run_fence_checks,
            assembly.watcher.run_reads,
            functools.partial(watch, keys.CONFIGURATION),
            functools.partial(watch, keys.PLATFORM_HOSTS),
            assembly.host.components.quotas.run,
            assembly.recorder.run_evaluation,
            assembly.recorder.run_recording,
            self._run_table_transfers,
            self._run_connection_checks,
        ]
        for run in runs:
            self._supervisor.start(run)

    async def _run_table_transfers(self) -> None:
        while True:
            await self._assembly.host.components.deduplicator.transfer_tables()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _run_connection_checks(self) -> None:
        while True:
            self._caller_connections.close_expired()
            self._peer_connections.close_expired()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _send_heartbeats(self) -> None:
        network = self._assembly.host.network
        for host in network.list_linked():
            network.send_heartbeat(host)

    async def _drain(self, deadline_s: float) -> None:
        loop = asyncio.get_running_loop()
        while self._count_unfinished() and loop.time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _count_unfinished(self) -> int:
        components = self._assembly.host.components
        can_transfer = (
            len(self._assembly.host.membership_view.list_members()) > 0
        )
        return (
            components.gateway.in_flight
            + components.slots.count_in_flight()
            + components.deduplicator.count_in_flight()
            + int(
                can_transfer
                and components.deduplicator.has_tables_to_transfer()
            )
        )

    async def _record_stop(self) -> None:
        assembly = self._assembly
        if self._count_unfinished() or assembly.host.has_pending_resources():
            self._log.warn("stopped_unclean", running=self._count_unfinished())
            return
        with contextlib.suppress(store_exceptions.StoreError):
            await membership.record_stop(
                assembly.store,
                self.settings.name,
                assembly.host.membership_view.incarnation,
                assembly.host.clock.wall(),
            )

    async def _close(self) -> None:
        await self._supervisor.stop()
        await self._caller_runner.cleanup()
        await self._assembly.host.network.close()
        await self._peer_runner.cleanup()
        await self._assembly.sessions.close()


def _exit_superseded() -> None:
    """Exit at once: a later process of this host has taken over."""
    logs.EventLog("service").error("superseded")
    os._exit(SUPERSEDED_EXIT_STATUS)


async def _listen(
    application: web.Application,
    connection_register: register.ConnectionRegister,
    address: str,
) -> web.AppRunner:
    runner = connections.InboundRunner(
        application,
        connection_register,
        handler_cancellation=True,
        shutdown_timeout=CLOSE_TIMEOUT_S,
    )
    await runner.setup()
    host, port = addresses.split_address(address)
    await web.TCPSite(runner, host, port, backlog=1024).start()
    return runner
