"""What log lines cost a host on a platform, beside none, in one run.

Two hosts get the same requests in turn; one writes its lines, the other
only what is wrong.
"""

from __future__ import annotations

import os
import pathlib
import tempfile
from typing import Any

from tests.edge import daemons

from cowslipshift.standins import platformfleet

REQUESTS = 3000
LEVEL = "COWSLIPSHIFT_LOG_LEVEL"


async def measure() -> dict[str, Any]:
    """Return the processor time of a request, with and without lines."""
    fleet = platformfleet.PlatformFleet(hosts=0, backends=2)
    folder = pathlib.Path(tempfile.mkdtemp())
    async with fleet:
        hosts = {}
        for level in ("info", "error"):
            os.environ[LEVEL] = level
            host = daemons.Daemon(fleet)
            await host.start(folder, f"host-{level}", "north-a")
            await host.wait_ready()
            hosts[level] = host
        del os.environ[LEVEL]
        for backend in fleet.backends.values():
            backend.behaviour.service_s = 0.0
        before = {level: _read_cpu(host) for level, host in hosts.items()}
        for number in range(REQUESTS):
            for host in hosts.values():
                await fleet.send_request(
                    public_address=host.front, request_id=f"r{number}"
                )
        spent = {
            level: (_read_cpu(host) - before[level]) / REQUESTS
            for level, host in hosts.items()
        }
        for host in hosts.values():
            await host.stop()
    return {
        "requests": REQUESTS,
        "us_per_request_with_lines": round(spent["info"] * 1e6, 1),
        "us_per_request_without": round(spent["error"] * 1e6, 1),
        "part_of_a_request": round(spent["info"] / spent["error"] - 1.0, 4),
    }


def _read_cpu(host: daemons.Daemon) -> float:
    """Return the processor time of a host so far, in seconds."""
    assert host.process is not None
    stat = pathlib.Path(f"/proc/{host.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
