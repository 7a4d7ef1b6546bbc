"""Running a host: start, tasks, graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
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
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.store import keys
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Coroutine

SUPERSEDED_EXIT_STATUS = 3
"""Exit status of a process that a later one of the same host replaced."""

MAX_LINK_WAIT_S = 2.0
"""Longest time that a starting host waits for links to others."""

LEAVE_NOTICE_S = 1.0
"""Time for the word that a host leaves to reach look-ups elsewhere."""

POLL_INTERVAL_S = 0.05
CLOSE_TIMEOUT_S = 2.0


class HostService(aiomisc.Service):
    """One host as a service of the event loop."""

    settings: daemon_settings.Settings

    async def start(self) -> Any:
        """Assemble the host, listen and start its tasks."""
        self._log = logs.EventLog("service")
        self._supervisor = supervision.Supervisor(self._log)
        settings = self.settings
        self._assembly = await factory.assemble_host(
            settings, _exit_superseded
        )
        parts = self._assembly
        self._peer_runner = await _listen(
            parts.peer_application, settings.peer_listen
        )
        parts.host.network.set_peers(
            {f"@{address}": address for address in settings.peers}
        )
        await parts.watcher.read_once()
        self._start_tasks()
        await self._wait_linked()
        self._caller_runner = await _listen(
            parts.caller_application, settings.listen
        )
        parts.host.publish_state(hosts.LIVE_STATE)
        self._log.info(
            "started",
            listen=settings.listen,
            peer_listen=settings.peer_listen,
            revision=parts.host.config_replica.revision,
            incarnation=parts.registration.incarnation,
        )

    async def stop(self, exception: Exception | None = None) -> Any:
        """Leave gracefully: tell, hand over, answer, then close."""
        parts = self._assembly
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self.settings.drain_s
        self._log.info("leaving")
        parts.host.publish_state(hosts.LEAVING_STATE)
        await asyncio.sleep(LEAVE_NOTICE_S)
        parts.host.membership_view.start_leaving()
        self._send_heartbeats()
        await self._drain(until_s)
        parts.host.components.gateway.close()
        await self._drain(until_s)
        self._send_heartbeats()
        await self._record_stop()
        await self._close()
        self._log.info("stopped")

    async def _wait_linked(self) -> None:
        """Give links a moment before callers come.

        Without links a host has no part of any account to admit requests
        with, and knows no load of others.
        """
        host = self._assembly.host
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_LINK_WAIT_S
        while loop.time() < until_s:
            if host.is_fully_linked() and host.membership_view.is_settled():
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _start_tasks(self) -> None:
        parts = self._assembly
        jobs: list[Coroutine[Any, Any, None]] = [
            parts.membership.run(),
            parts.membership.run_fence_checks(),
            parts.watcher.run_reads(),
            parts.watcher.run_watch(keys.CONFIGURATION),
            parts.watcher.run_watch(keys.PLATFORM_HOSTS),
            parts.host.components.quotas.run(),
            parts.recorder.run_evaluation(),
            parts.recorder.run_recording(),
            self._run_table_moves(),
        ]
        for job in jobs:
            self._supervisor.start(job)

    async def _run_table_moves(self) -> None:
        while True:
            await self._assembly.host.components.deduplicator.transfer_tables()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _send_heartbeats(self) -> None:
        network = self._assembly.host.network
        for host in network.list_linked():
            network.send_heartbeat(host)

    async def _drain(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while self._count_running() and loop.time() < until_s:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _count_running(self) -> int:
        components = self._assembly.host.components
        can_move = len(self._assembly.host.membership_view.list_members()) > 0
        return (
            components.gateway.in_flight
            + components.slots.count_in_flight()
            + components.deduplicator.count_in_flight()
            + int(
                can_move and components.deduplicator.has_tables_to_transfer()
            )
        )

    async def _record_stop(self) -> None:
        parts = self._assembly
        if self._count_running() or parts.host.has_pending_resources():
            self._log.warn("stopped_unclean", running=self._count_running())
            return
        with contextlib.suppress(store_exceptions.StoreError):
            await membership.record_stop(
                parts.store,
                self.settings.name,
                parts.host.membership_view.incarnation,
                parts.host.clock.wall(),
            )

    async def _close(self) -> None:
        await self._supervisor.stop()
        await self._caller_runner.cleanup()
        await self._assembly.host.network.close()
        await self._peer_runner.cleanup()
        await self._assembly.sessions.close()


def _exit_superseded() -> None:
    """End at once: a later process of this host has taken over."""
    logs.EventLog("service").error("superseded")
    os._exit(SUPERSEDED_EXIT_STATUS)


async def _listen(application: web.Application, address: str) -> web.AppRunner:
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        max_line_size=factory.MAX_HEADER_BYTES,
        max_field_size=factory.MAX_HEADER_BYTES,
        shutdown_timeout=CLOSE_TIMEOUT_S,
    )
    await runner.setup()
    host, port = addresses.split_address(address)
    await web.TCPSite(runner, host, port, backlog=1024).start()
    return runner
