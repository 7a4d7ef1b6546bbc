"""Prints what one caller of each kind costs a host; no test.

Run as ``python -m tests.doors.measure [PORT ...]``.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import tempfile
import time

from tests.doors import crowds
from tests.edge import daemons

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

SENT_BYTES = 4 * 1024 * 1024
WATCH_S = 5.0
SETTLE_S = 0.5


async def main() -> None:
    """Measure each kind at each port, on a process of its own each."""
    print("port | kind | sent KB | status | closed s | peak MB | s/MB")
    async with platformfleet.PlatformFleet(backends=1) as fleet:
        fleet.store.put(
            names.CONFIG_KEY,
            platformfleet.build_config(
                2,
                limits={
                    "max_header_bytes": 16384,
                    "max_body_bytes": 1_000_000,
                    "header_timeout_ms": 1000,
                    "idle_timeout_ms": 3000,
                },
            ),
        )
        with tempfile.TemporaryDirectory() as folder:
            await _measure_ports(fleet, pathlib.Path(folder))


async def _measure_ports(fleet, folder) -> None:
    ports = (
        ("front", platformfleet.READ_PATH + "1"),
        ("directory", names.RESOLVE_PATH),
        ("ready", names.READY_PATH),
        ("internal", "/metrics"),
    )
    wanted = sys.argv[1:] or [port for port, _ in ports]
    for port, path in ports:
        if port not in wanted:
            continue
        for kind in crowds.build_kinds(path):
            daemon = daemons.Daemon(fleet)
            await daemon.start(folder, "measured", "north-a")
            try:
                await daemon.wait_ready()
                await asyncio.sleep(SETTLE_S)
                print(await _measure(daemon, port, path, kind), flush=True)
            except TimeoutError:
                print(f"{port} | {kind} | not run:", daemon.log.read_text())
            finally:
                daemon.process.kill()
                await daemon.process.wait()


async def _measure(daemon, port, path, name) -> str:
    before = crowds.measure(daemon.process.pid)
    kind = crowds.build_kinds(path)[name]
    start_s = time.monotonic()
    async with crowds.open_crowd(getattr(daemon, port), 1) as (attacker,):
        await attacker.send(kind, SENT_BYTES)
        while not attacker.is_closed and time.monotonic() - start_s < WATCH_S:
            await asyncio.sleep(0.05)
        took_s = time.monotonic() - start_s
        after = crowds.measure(daemon.process.pid)
        status = attacker.received[9:12].decode() or "-"
        closed = f"{took_s:.1f}" if attacker.is_closed else "open"
    used_mb = (after.peak_kb - before.resident_kb) / 1024
    cpu_s = (after.cpu_s - before.cpu_s) / (attacker.sent / 2**20 or 1)
    return (
        f"{port} | {name} | {attacker.sent // 1024} | {status} |"
        f" {closed} | {used_mb:.1f} | {cpu_s:.2f}"
    )


if __name__ == "__main__":
    asyncio.run(main())
