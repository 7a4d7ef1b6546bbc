"""Requests refused although the account is within its rate and burst."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec

from bench import load
from cowslipshift.standins import deployments
from cowslipshift.standins import localfleet

ACCOUNT = "grande-1"
PHASE_COUNT = 5
PHASE_S = 3.0
RATE_FRACTION = 0.9
START_DELAY_S = 2.0
SETTLE_S = 3.0
REFILL_S = 3.0
TIMEOUT_MS = 3_000


async def measure() -> dict[str, Any]:
    """Move all demand of an account between hosts, then send a burst."""
    fleet = localfleet.LocalFleet(deployments.ANDINA, log_level="warning")
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        moving = await _run_moving(fleet)
        await asyncio.sleep(REFILL_S)
        burst = await _run_burst(fleet)
    finally:
        await fleet.close()
    return {"moving": moving, "burst": burst}


async def _run_moving(fleet: localfleet.LocalFleet) -> dict[str, Any]:
    """Send 0.9 of the rate, to another host in each phase."""
    start_s = time.time() + START_DELAY_S
    rate = deployments.ANDINA.accounts[ACCOUNT][0] * RATE_FRACTION
    hosts = [host.url for host in fleet.hosts.values()]
    plans = [
        _build_plan(hosts[(3 * n) % len(hosts)], PHASE_S, rate)
        for n in range(PHASE_COUNT)
    ]
    plans = [
        msgspec.structs.replace(plan, start_s=start_s + n * PHASE_S)
        for n, plan in enumerate(plans)
    ]
    return _summarise(await load.run_generators(plans))


async def _run_burst(fleet: localfleet.LocalFleet) -> dict[str, Any]:
    """Send 0.9 of the burst to one host within 0.1 s."""
    burst = deployments.ANDINA.accounts[ACCOUNT][1] * RATE_FRACTION
    host = list(fleet.hosts.values())[-1].url
    plan = _build_plan(host, 0.1, burst / 0.1)
    return _summarise(await load.run_generators([plan]))


def _build_plan(host: str, seconds: float, rate: float) -> load.Plan:
    return load.Plan(
        urls=[f"{host}/v1/services/catalogue/x"],
        seconds=seconds,
        rate=rate,
        key=f"{ACCOUNT}-key",
        timeout_ms=TIMEOUT_MS,
    )


def _summarise(results: list[load.Result]) -> dict[str, Any]:
    merged = load.merge_results(results)
    refused = merged["codes"].get("account_rate", 0)
    return {**merged, "refused_part": round(refused / merged["sent"], 5)}
