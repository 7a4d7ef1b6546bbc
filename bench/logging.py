"""CPU time that log lines cost a host on a platform.

Two hosts get the same requests in turn; one logs at level ``info``, the other
at level ``error``.
"""

from __future__ import annotations

import os
import pathlib
import tempfile
from typing import Any

from tests.edge import daemons

from cowslipshift.standins import platformfleet

REQUEST_COUNT = 3000
LEVEL_VARIABLE = "COWSLIPSHIFT_LOG_LEVEL"


async def measure() -> dict[str, Any]:
    """Return the CPU time of a request with and without log lines."""
    fleet = platformfleet.PlatformFleet(hosts=0, backends=2)
    folder = pathlib.Path(tempfile.mkdtemp())
    async with fleet:
        hosts = {}
        for level in ("info", "error"):
            os.environ[LEVEL_VARIABLE] = level
            host = daemons.Daemon(fleet)
            await host.start(folder, f"host-{level}", "north-a")
            await host.wait_ready()
            hosts[level] = host
        del os.environ[LEVEL_VARIABLE]
        for backend in fleet.backends.values():
            backend.behaviour.service_s = 0.0
        start_s = {
            level: _read_cpu_time(host) for level, host in hosts.items()
        }
        for number in range(REQUEST_COUNT):
            for host in hosts.values():
                await fleet.send_request(
                    public_address=host.front, request_id=f"r{number}"
                )
        cpu_s = {
            level: (_read_cpu_time(host) - start_s[level]) / REQUEST_COUNT
            for level, host in hosts.items()
        }
        for host in hosts.values():
            await host.stop()
    return {
        "requests": REQUEST_COUNT,
        "us_per_request_with_lines": round(cpu_s["info"] * 1e6, 1),
        "us_per_request_without": round(cpu_s["error"] * 1e6, 1),
        "part_of_a_request": round(cpu_s["info"] / cpu_s["error"] - 1.0, 4),
    }


def _read_cpu_time(host: daemons.Daemon) -> float:
    """Return the CPU time that a host has used, in seconds."""
    assert host.process is not None
    stat = pathlib.Path(f"/proc/{host.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
