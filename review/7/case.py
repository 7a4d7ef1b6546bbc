"""All hosts are killed after the configuration has grown by many routes."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-2"))

import harness  # noqa: E402

HOSTS = 3
LINK_MBPS = 5.0
BOUNDS = ("config_apply_ms=3000", "contact_ms=4000")
ROUTES_ADDED = 1400
CONFIG_PAUSE_S = 4.0
DOWN_S = 0.7
RECOVERY_S = 15.0
MEASURED_S = 25.0
REQUEST_INTERVAL_S = 0.1


def build_routes(added: int) -> list[dict]:
    """Return the configured routes."""
    names = ["sheets", *(f"fok{n:04d}" for n in range(added))]
    return [
        {
            "name": f"r-{name}",
            "prefix": f"/{name}/",
            "type": "idempotent",
            "service": "catalogue",
            "timeout_ms": 1000,
            "target_latency_ms": 400,
        }
        for name in names
    ]


class Traffic:
    """Clients that send requests to each host all the time.

    Attributes:
        sent: Time and status of each request; 0 for no answer.
    """

    def __init__(
        self, record: harness.Record, hosts: list[harness.Host]
    ) -> None:
        self.sent: list[tuple[float, int]] = []
        self._record = record
        self._hosts = hosts
        self._number = 0

    async def run(self) -> None:
        """Send until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                host = self._hosts[self._number % len(self._hosts)]
                self._number += 1
                group.create_task(self._send(host, f"q{self._number}"))
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send(self, host: harness.Host, request_id: str) -> None:
        sent_s = time.monotonic()
        status = 0
        try:
            async with asyncio.timeout(3.0):
                answer = await harness.send(
                    host.front,
                    "GET",
                    "/sheets/1",
                    harness.build_headers(request_id, 3000, "1"),
                )
            status = int(answer.start.split()[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.sent.append((sent_s, status))
        self._record.note(f"sent {request_id} to {host.name}: {status}")

    def measure_served(self, since_s: float, until_s: float) -> float:
        """Return the share of the requests sent in a span that is served."""
        found = [s for t, s in self.sent if since_s <= t < until_s]
        if not found:
            raise harness.CannotRun("no requests were sent")
        return sum(status == 200 for status in found) / len(found)


async def run_case(record: harness.Record) -> int:
    """Return the exit status."""
    servers = [
        harness.Server(record, f"i-{n}", "catalogue", "north-a")
        for n in range(3)
    ]
    fleet = harness.Deployment(record, HOSTS, servers)
    links = []
    traffic = Traffic(record, fleet.hosts)
    running = None
    try:
        await fleet.start(build_routes(0))
        for host in fleet.hosts:
            link = harness.Link(fleet.store.address, LINK_MBPS)
            await link.start(host.ip)
            links.append(link)
            host.write_settings(
                fleet.first_port, link.address, True, LINK_MBPS, BOUNDS
            )
        await fleet.start_hosts()
        running = asyncio.create_task(traffic.run())
        await asyncio.sleep(3.0)
        for version, added in ((2, ROUTES_ADDED), (3, 2 * ROUTES_ADDED)):
            config = harness.build_config(version, build_routes(added))
            fleet.store.items.put("op/config", config)
            record.note(f"acknowledged version {version}, {len(config)} bytes")
            await asyncio.sleep(CONFIG_PAUSE_S)
        before_s = time.monotonic()
        if harness.has_trouble():
            record.note("final fault: all processes are killed")
            for host in fleet.hosts:
                host.process.kill()
                await host.process.wait()
            await asyncio.sleep(DOWN_S)
            for host, link in zip(fleet.hosts, links, strict=True):
                host.write_settings(
                    fleet.first_port, link.address, False, LINK_MBPS, BOUNDS
                )
                await host.start()
        back_s = time.monotonic()
        await asyncio.sleep(RECOVERY_S + MEASURED_S)
        served_before = traffic.measure_served(back_s - 1e9, before_s)
        served_after = traffic.measure_served(
            back_s + RECOVERY_S, back_s + RECOVERY_S + MEASURED_S
        )
        record.note(
            f"served before the final fault: {served_before:.3f}; later than "
            f"{RECOVERY_S} s after the machines are back: {served_after:.3f}"
        )
        for host in fleet.hosts:
            is_ready = await host.check_ready()
            record.note(f"{host.name} is ready: {is_ready}")
        if served_before < 0.25:
            raise harness.CannotRun("too little was served before")
        return harness.BROKEN if served_after < 0.25 else harness.HELD
    finally:
        if running is not None:
            running.cancel()
        for link in links:
            link.stop()
        await fleet.stop()


harness.run(run_case, FOLDER)
