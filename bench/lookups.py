"""Look-ups per second of one daemon, compared with a bare handler."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from bench import load
from cowslipshift.standins import deployments
from cowslipshift.standins import localfleet

GENERATORS = 4
BLOCKS = 500
ROUNDS = 3
TARGET_PER_S = 4_600.0


async def measure(seconds: float, connections: int) -> dict[str, Any]:
    """Run bare handler and daemon in turn; return the median of the ratios."""
    fleet = localfleet.LocalFleet(deployments.SMALL, log_level="warning")
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
        host = next(iter(fleet.hosts.values())).url
        rounds = []
        for _ in range(ROUNDS):
            pair = {}
            for name, base in (
                ("bare", f"http://127.0.0.1:{port}"),
                ("daemon", host),
            ):
                plans = _build_plans(base, seconds, connections)
                results = await load.run_generators(plans)
                pair[name] = load.merge_results(results)
            rounds.append(pair)
        at_target = {}
        for name, base in (
            ("bare", f"http://127.0.0.1:{port}"),
            ("daemon", host),
        ):
            plans = _build_plans(base, seconds, connections, TARGET_PER_S)
            results = await load.run_generators(plans)
            at_target[name] = load.merge_results(results)
    finally:
        bare.terminate()
        await bare.wait()
        await fleet.close()
    ratios = sorted(
        r["daemon"]["answered_per_s"] / r["bare"]["answered_per_s"]
        for r in rounds
    )
    return {
        "ratio": round(ratios[ROUNDS // 2], 3),
        "at_target_rate": at_target,
        "rounds": rounds,
    }


def _build_plans(
    base: str, seconds: float, connections: int, rate: float = 0.0
) -> list[load.Plan]:
    urls = [
        f"{base}/v1/lookup?service=catalogue&block=10.{n // 250}.{n % 250}.0"
        for n in range(BLOCKS)
    ]
    return [
        load.Plan(
            urls=urls,
            seconds=seconds,
            connections=connections,
            rate=rate / GENERATORS,
        )
        for _ in range(GENERATORS)
    ]
