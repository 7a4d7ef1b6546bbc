"""A small deployment: the store, hosts and upstreams of one case."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import pathlib
import signal
import sys
import tempfile
from typing import Any
from typing import TYPE_CHECKING

from .client import API_KEY
from .client import HOSTNAME
from .host import Host
from .record import Record
from .store import Store
from .upstream import Upstream

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

ZONES = {
    "andina-a": "andina",
    "caribe-a": "caribe",
    "pacifico-a": "pacifico",
    "andina-b": "andina",
    "caribe-b": "caribe",
    "pacifico-b": "pacifico",
}
HELD, BROKEN, FAILED = 0, 1, 2
TIME_LIMIT_S = 110.0


def build_path(name: str, prefix: str, **changes: Any) -> dict[str, Any]:
    """Return a route; orders by default."""
    return {
        "name": name,
        "prefix": prefix,
        "type": "non_idempotent",
        "timeout_ms": 1200,
        "target_latency_ms": 600,
        "priority": 1,
        "service": "aprobaciones",
        "attempts": 2,
        "public": False,
        "session_affinity": True,
        "allowed_regions": [],
        **changes,
    }


def build_config(
    version: int, hosts: dict[str, list[dict[str, Any]]]
) -> bytes:
    """Return a configuration.

    Args:
        version: Its version.
        hosts: Routes by host.
    """
    services = ("aprobaciones", "catalogo", "expedientes")
    return json.dumps(
        {
            "version": f"{version:08x}",
            "base_version": f"{version - 1:08x}",
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_connections": 360,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": 3.0,
                    "cold_per_s": 4.5,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [
                {
                    "name": "workshop",
                    "api_keys": [API_KEY],
                    "priority": 1,
                    "rate_per_s": 500,
                    "burst": 500,
                    "allowed_regions": [],
                }
            ],
            "virtual_hosts": [
                {"hostname": name, "paths": paths}
                for name, paths in hosts.items()
            ],
        }
    ).encode()


class Deployment:
    """Store, hosts and upstreams.

    Args:
        folder: The folder of the case.
        temporary: Where settings and logs are.

    Attributes:
        has_trouble: Whether the disruption is to happen.
    """

    def __init__(self, folder: pathlib.Path, temporary: pathlib.Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.hosts: list[Host] = []
        self.upstreams: list[Upstream] = []
        self._temporary = temporary
        self.leases = asyncio.create_task(self.store.run_leases())
        self.record.write(f"trouble: {self.has_trouble}")

    def configure(
        self, version: int, hosts: dict[str, list[dict[str, Any]]]
    ) -> None:
        """Write a configuration, as the operator does."""
        self.store.put("op/config", build_config(version, hosts))
        self.record.write(f"operator: version {version} is acknowledged")

    def configure_orders(self, **changes: Any) -> None:
        """Write a configuration with one route, for orders."""
        paths = [build_path("orden-aprobacion", "/orders/", **changes)]
        self.configure(1, {HOSTNAME: paths})

    async def add_upstreams(
        self, service: str, per_zone: int, **options: Any
    ) -> None:
        """Start upstreams of a service in all zones."""
        for zone in ZONES:
            for number in range(per_zone):
                identity = f"i-{service[:3]}-{zone}-{number + 1}"
                upstream = Upstream(
                    self.record, self.store, identity, service, zone, **options
                )
                await upstream.start()
                self.upstreams.append(upstream)

    async def add_hosts(self, zones: list[str] | None = None) -> None:
        """Start a host in each zone and wait until all know each other."""
        for zone in zones or list(ZONES):
            name = f"edge-{zone}-1"
            address = await self.store.listen(name)
            host = Host(self._temporary, name, zone, ZONES, address)
            self.hosts.append(host)
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_ready()
        await asyncio.sleep(3.5)
        self.record.write(
            f"{len(self.hosts)} hosts have run for contact_ms and are in touch"
        )

    async def close(self) -> None:
        """End all processes, and all connections."""
        for host in self.hosts:
            await host.end()
        self.store.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        # What is left of connections is closed while the loop still runs.
        gc.collect()
        await asyncio.sleep(0.1)


def run_case(
    script: str, play: Callable[[Deployment], Awaitable[bool]]
) -> None:
    """Play a case, and exit as the review asks.

    Args:
        script: Path of the case's program.
        play: Plays it and returns whether the rule held.
    """
    folder = pathlib.Path(script).resolve().parent

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(folder, pathlib.Path(temporary))
            try:
                async with asyncio.timeout(TIME_LIMIT_S):
                    has_held = await play(deployment)
            except (Exception, asyncio.CancelledError) as error:
                deployment.record.conclude(f"could not run: {error!r}")
                return FAILED
            finally:
                await deployment.close()
                _keep_logs(pathlib.Path(temporary))
            result = "held" if has_held else "BROKEN"
            deployment.record.conclude(f"the rule was {result}")
            return HELD if has_held else BROKEN

    sys.exit(asyncio.run(run()))


def _keep_logs(folder: pathlib.Path) -> None:
    """Copy the hosts' logs to the folder that `KEEP_LOGS` names, if any."""
    target = os.environ.get("KEEP_LOGS")
    if target:
        for log in folder.glob("*.log"):
            pathlib.Path(target, log.name).write_bytes(log.read_bytes())
