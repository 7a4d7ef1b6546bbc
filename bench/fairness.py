"""Latency of the other accounts while one sends five times its rate."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

import aiohttp

from bench import load
from cowslipshift.standins import deployments
from cowslipshift.standins import localfleet

NOISY_ACCOUNT = "grande-1"
NORMAL_RATE_FRACTION = 0.55
NOISY_RATE_FACTOR = 5.0
TIMEOUT_MS = 2_000
START_DELAY_S = 2.0


async def measure(seconds: float) -> dict[str, Any]:
    """Run the Andean deployment with and without a noisy account.

    Each account sends a constant fraction of its rate to two hosts. In the
    second run the noisy account sends five times its rate, all of it to one
    host. In the first run that load goes to a bare handler instead, so that
    both runs load the machine alike.
    """
    fleet = localfleet.LocalFleet(deployments.ANDINA, log_level="warning")
    port = fleet.ports.allocate()
    bare = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.bare",
        str(port),
        stdout=asyncio.subprocess.DEVNULL,
    )
    try:
        await fleet.start()
        await asyncio.sleep(2.0)
        substitute_url = f"http://127.0.0.1:{port}/v1/lookup"
        steady = await _run(fleet, seconds, 1.0, substitute_url)
        noisy = await _run(fleet, seconds, NOISY_RATE_FACTOR, None)
        overrun = await _count_overrun(fleet)
    finally:
        bare.terminate()
        await bare.wait()
        await fleet.close()
    others = [
        name for name in deployments.ANDINA.accounts if name != NOISY_ACCOUNT
    ]
    ratios = {
        name: round(
            noisy["accounts"][name]["latency_ms"]["p99"]
            / steady["accounts"][name]["latency_ms"]["p99"],
            3,
        )
        for name in others
    }
    return {
        "p99_ratio_of_others": ratios,
        "worst_p99_ratio": max(ratios.values()),
        "slots_overrun": overrun,
        "steady": steady,
        "one_loud": noisy,
    }


async def _run(
    fleet: localfleet.LocalFleet,
    seconds: float,
    noisy_factor: float,
    substitute_url: str | None,
) -> dict[str, Any]:
    accounts = list(deployments.ANDINA.accounts)
    hosts = [host.url for host in fleet.hosts.values()]
    start_s = time.time() + START_DELAY_S
    plans = []
    for number, name in enumerate(accounts):
        rate = deployments.ANDINA.accounts[name][0] * NORMAL_RATE_FRACTION
        urls = [hosts[(number + n * 3) % len(hosts)] for n in range(2)]
        if name == NOISY_ACCOUNT and noisy_factor > 1.0:
            rate = deployments.ANDINA.accounts[name][0] * noisy_factor
            urls = [hosts[number]]
        plans.append(
            load.Plan(
                urls=[f"{url}/v1/services/catalogue/x" for url in urls],
                seconds=seconds,
                rate=rate,
                key=f"{name}-key",
                timeout_ms=TIMEOUT_MS,
                start_s=start_s,
            )
        )
    if substitute_url is not None:
        rate = (
            deployments.ANDINA.accounts[NOISY_ACCOUNT][0] * NOISY_RATE_FACTOR
        )
        plans.append(
            load.Plan(
                urls=[substitute_url],
                seconds=seconds,
                rate=rate,
                start_s=start_s,
            )
        )
    control_before = await _read_control_bytes(fleet)
    results = await load.run_generators(plans)
    control_after = await _read_control_bytes(fleet)
    elapsed_s = seconds + START_DELAY_S
    return {
        "accounts": {
            name: load.merge_results([result])
            for name, result in zip(accounts, results, strict=False)
        },
        "control_bytes_per_s": {
            name: round(
                (control_after[name] - control_before[name]) / elapsed_s
            )
            for name in control_after
        },
    }


async def _read_control_bytes(
    fleet: localfleet.LocalFleet,
) -> dict[str, float]:
    """Return the control plane bytes that each host has sent."""
    sent = {}
    for name, host in fleet.hosts.items():
        async with fleet.session.get(f"{host.url}/metrics") as response:
            text = await response.text()
        sent[name] = sum(
            float(line.rpartition(" ")[2])
            for line in text.splitlines()
            if line.startswith("cowslipshift_peer_bytes_total")
            and 'direction="out"' in line
        )
    return sent


async def _count_overrun(fleet: localfleet.LocalFleet) -> int:
    try:
        stats = await fleet.fetch_backends()
    except aiohttp.ClientError:
        return -1
    return sum(row["most_running"] > row["slots"] for row in stats.values())
