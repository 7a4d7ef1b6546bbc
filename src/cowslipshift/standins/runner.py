"""HTTP servers for the stand-ins, on addresses of this machine."""

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
    """One of the backend servers that a process serves."""

    name: str
    version: str
    port: int
    slots: int
    service_ms: float


async def start_site(
    application: web.Application, host: str, port: int
) -> tuple[web.AppRunner, int]:
    """Serve an application on an address.

    Args:
        application: The application to serve.
        host: IP address to listen on.
        port: Port, or 0 for a free one.

    Returns:
        The runner, whose ``cleanup`` stops serving, and the bound port.
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
        build: Builds the application; called within the running loop.
        host: IP address to listen on.
        port: Port, or 0 for a free one; the bound port is printed.
    """
    runner, bound = await start_site(build(), host, port)
    print(f"listening on {host}:{bound}", flush=True)
    await _wait_for_signal()
    await runner.cleanup()


async def serve_backends(specs: list[BackendSpec], host: str) -> None:
    """Serve many backend servers until SIGTERM or SIGINT.

    Args:
        specs: The servers.
        host: IP address to listen on.
    """
    runners = []
    for spec in specs:
        behaviour = backend.Behaviour(
            slots=spec.slots, service_ms=spec.service_ms
        )
        stand_in = backend.BackendStandIn(spec.name, spec.version, behaviour)
        site_runner, _ = await start_site(
            stand_in.build_application(), host, spec.port
        )
        runners.append(site_runner)
    print(f"serving {len(runners)} backend servers", flush=True)
    await _wait_for_signal()
    for site_runner in runners:
        await site_runner.cleanup()


async def _wait_for_signal() -> None:
    signalled = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signalled.set)
    await signalled.wait()
