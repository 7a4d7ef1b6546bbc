"""Control plane cost of one daemon, by the size of its data centre."""

from __future__ import annotations

import asyncio
import pathlib
import time
from typing import Any

from cowslipshift.config import edits
from cowslipshift.standins import deployments
from cowslipshift.standins import localfleet

SIZES = (2, 6, 12, 24)
IDLE_S = 10.0
CHANGE_COUNT = 8
POLL_INTERVAL_S = 0.01
CLOCK_TICKS_PER_S = 100


async def measure() -> dict[str, Any]:
    """Measure idle cost and configuration changes by size, and fit lines."""
    rows = [await _measure_size(size) for size in SIZES]
    fits = {
        name: fit_line(
            [row["hosts"] for row in rows], [row[name] for row in rows]
        )
        for name in (
            "control_bytes_per_s",
            "core_percent",
            "memory_kb",
            "bytes_per_change",
            "in_force_ms_median",
        )
    }
    return {"rows": rows, "fits": fits}


async def _measure_size(size: int) -> dict[str, Any]:
    deployment = deployments.Deployment(
        hosts_by_region={"north": {"north-a": size}, "south": {"south-a": 1}},
        services=(
            deployments.ServiceSpec(
                "catalogue", 40, 5, 10.0, deployments.READ_ROUTES
            ),
        ),
        accounts={f"account-{n}": (100.0, 100.0) for n in range(8)},
    )
    fleet = localfleet.LocalFleet(deployment, log_level="warning")
    try:
        await fleet.start()
        await asyncio.sleep(12.0)
        names = [h.name for h in fleet.configuration.hosts][:size]
        before = await _read_usage(fleet, names)
        await asyncio.sleep(IDLE_S)
        idle = await _read_usage(fleet, names)
        store_before = await fleet.fetch(f"{fleet.store_url}/control/stats")
        times = [await _time_change(fleet) for _ in range(CHANGE_COUNT)]
        after = await _read_usage(fleet, names)
        store_after = await fleet.fetch(f"{fleet.store_url}/control/stats")
    finally:
        await fleet.close()
    change_period_s = after["at_s"] - idle["at_s"]
    idle_bytes = (idle["bytes"] - before["bytes"]) / IDLE_S / size
    change_bytes = after["bytes"] - idle["bytes"]
    change_bytes -= idle_bytes * change_period_s * size
    calls = {
        name: store_after["calls"].get(name, 0) - count
        for name, count in store_before["calls"].items()
    }
    return {
        "hosts": size,
        "control_bytes_per_s": round(idle_bytes, 1),
        "core_percent": round(
            (idle["cpu_s"] - before["cpu_s"]) / IDLE_S / size * 100, 2
        ),
        "memory_kb": round(idle["memory_kb"] / size),
        "bytes_per_change": round(
            max(0.0, change_bytes) / CHANGE_COUNT / size
        ),
        "in_force_ms_median": sorted(times)[len(times) // 2],
        "in_force_ms_most": max(times),
        "store_calls_while_changing": calls,
        "store_watches": store_after["watches"],
    }


async def _time_change(fleet: localfleet.LocalFleet) -> float:
    """Make a change; return the ms until all hosts have applied it."""
    value = 5 + time.time() % 5
    started_s = time.perf_counter()
    changed = await fleet.edit(
        "bench", edits.set_default("cold_ramp_s", value)
    )
    pending = set(fleet.hosts)
    while pending:
        for name in list(pending):
            status = await fleet.fetch_status(name)
            if status["revision"] >= changed.revision:
                pending.discard(name)
        await asyncio.sleep(POLL_INTERVAL_S)
    elapsed_ms = round((time.perf_counter() - started_s) * 1000, 1)
    await asyncio.sleep(0.5)
    return elapsed_ms


async def _read_usage(
    fleet: localfleet.LocalFleet, names: list[str]
) -> dict[str, float]:
    """Return bytes sent, CPU time and memory, summed over some hosts."""
    total = {"bytes": 0.0, "cpu_s": 0.0, "memory_kb": 0.0}
    for name in names:
        async with fleet.session.get(
            f"{fleet.hosts[name].url}/metrics"
        ) as response:
            text = await response.text()
        total["bytes"] += sum(
            float(line.rpartition(" ")[2])
            for line in text.splitlines()
            if line.startswith("cowslipshift_peer_bytes_total")
            and 'direction="out"' in line
        )
        process = pathlib.Path(f"/proc/{fleet.get_pid(name)}")
        fields = (process / "stat").read_text().rpartition(")")[2].split()
        total["cpu_s"] += (
            int(fields[11]) + int(fields[12])
        ) / CLOCK_TICKS_PER_S
        for line in (process / "status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                total["memory_kb"] += float(line.split()[1])
    return {**total, "at_s": time.monotonic()}


def fit_line(sizes: list[int], values: list[float]) -> dict[str, float]:
    """Fit a straight line by least squares.

    Args:
        sizes: Values of x.
        values: Values of y.

    Returns:
        Intercept, slope and largest absolute residual.
    """
    count = len(sizes)
    mean_x, mean_y = sum(sizes) / count, sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    slope = (
        sum(
            (x - mean_x) * (y - mean_y)
            for x, y in zip(sizes, values, strict=True)
        )
        / spread
    )
    base = mean_y - slope * mean_x
    worst = max(
        abs(base + slope * x - y) for x, y in zip(sizes, values, strict=True)
    )
    return {
        "base": round(base, 2),
        "per_host": round(slope, 3),
        "worst_residual": round(worst, 2),
    }
