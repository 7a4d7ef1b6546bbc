"""Serving a stand-in on an address of this machine."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from aiohttp import web
import msgspec

from cowslipshift.standins import backend

if TYPE_CHECKING:
    from collections.abc import Callable


class BackendSpec(msgspec.Struct, frozen=True):
    """One backend server of a process that serves many."""

    name: str
    version: str
    port: int
    slots: int
    service_ms: float


async def start_site(
    application: web.Application, host: str, port: int
) -> tuple[web.AppRunner, int]:
    """Listen on an address.

    Args:
        application: What to serve.
        host: IP number to listen on.
        port: Port, or 0 for a free one.

    Returns:
        The runner, whose ``cleanup`` ends it, and the port.
    """
    runner = web.AppRunner(
        application, access_log=None, handler_cancellation=True
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port, shutdown_timeout=0.5)
    await site.start()
    return runner, runner.addresses[0][1]


async def serve_until_signal(
    build: Callable[[], web.Application], host: str, port: int
) -> None:
    """Serve an application until SIGTERM or SIGINT.

    Args:
        build: Makes the application within the running loop.
        host: IP number to listen on.
        port: Port, or 0 for a free one; it is printed.
    """
    runner, bound = await start_site(build(), host, port)
    print(f"listening on {host}:{bound}", flush=True)
    await _wait_for_signal()
    await runner.cleanup()


async def serve_backends(rows: list[BackendSpec], host: str) -> None:
    """Serve many backend servers until SIGTERM or SIGINT.

    Args:
        rows: The servers.
        host: IP number to listen on.
    """
    runners = []
    for row in rows:
        behaviour = backend.Behaviour(
            slots=row.slots, service_ms=row.service_ms
        )
        standin = backend.BackendStandIn(row.name, row.version, behaviour)
        started, _ = await start_site(
            standin.build_application(), host, row.port
        )
        runners.append(started)
    print(f"serving {len(runners)} backend servers", flush=True)
    await _wait_for_signal()
    for started in runners:
        await started.cleanup()


async def _wait_for_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
