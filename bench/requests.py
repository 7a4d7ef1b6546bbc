"""Latency that a host adds to requests, at half of the saturation rate."""

from __future__ import annotations

from typing import Any

import msgspec

from bench import load
from cowslipshift.standins import deployments
from cowslipshift.standins import localfleet

ACCOUNT = "bench"
GENERATORS = 2
SATURATION_S = 3.0
CONNECTIONS = 12

ONE_HOST = deployments.Deployment(
    hosts_by_region={"north": {"north-a": 1}},
    services=(
        deployments.ServiceSpec(
            "catalogue", 4, 6, 10.0, deployments.READ_ROUTES
        ),
    ),
    accounts={ACCOUNT: (100_000.0, 100_000.0)},
)
TWO_HOSTS = msgspec.structs.replace(
    ONE_HOST, hosts_by_region={"north": {"north-a": 2}}
)


async def measure(seconds: float) -> dict[str, Any]:
    """Compare direct requests with one host and two hosts that share slots."""
    return {
        "one_host": await _compare(ONE_HOST, seconds),
        "two_hosts": await _compare(TWO_HOSTS, seconds),
    }


async def _compare(
    deployment: deployments.Deployment, seconds: float
) -> dict[str, Any]:
    fleet = localfleet.LocalFleet(deployment, log_level="info")
    try:
        await fleet.start()
        server_urls = [server.url for server in fleet.configuration.servers]
        hosts = [host.url for host in fleet.hosts.values()]
        host_urls = [f"{url}/v1/services/catalogue/x" for url in hosts]
        saturated = await _send(host_urls, SATURATION_S, 0.0)
        rate = round(saturated["answered_per_s"] / 2)
        direct = await _send(
            [f"{url}/x" for url in server_urls], seconds, rate
        )
        through = await _send(host_urls, seconds, rate)
    finally:
        await fleet.close()
    added = {
        name: round(through["latency_ms"][name] - value, 3)
        for name, value in direct["latency_ms"].items()
    }
    return {
        "saturation_per_s": saturated["answered_per_s"],
        "rate_per_s": rate,
        "direct": direct,
        "through": through,
        "added_ms": added,
    }


async def _send(
    urls: list[str], seconds: float, rate: float
) -> dict[str, Any]:
    plans = [
        load.Plan(
            urls=urls,
            seconds=seconds,
            rate=rate / GENERATORS,
            connections=CONNECTIONS,
            key=f"{ACCOUNT}-key",
        )
        for _ in range(GENERATORS)
    ]
    return load.merge_results(await load.run_generators(plans))
