"""A configuration adds a route whose name another host's route has."""

from __future__ import annotations

import asyncio

from standins import client
from standins import deployment
from standins import traffic

APPLY_S = 2.0
SECOND_HOSTNAME = "oficina.example"


async def play(deployed: deployment.Deployment) -> bool:
    """Return whether ROUTE held."""
    orders = [deployment.build_path("altas", "/orders/")]
    deployed.configure(7, {client.HOSTNAME: orders})
    for service in ("aprobaciones", "expedientes"):
        await deployed.add_upstreams(service, 1)
    await deployed.add_hosts(["andina-a", "caribe-a", "pacifico-a"])
    sent = traffic.Traffic(deployed.record)
    sent.start(deployed.hosts, clients=3, pause_s=0.1)
    await asyncio.sleep(3.0)
    name = "altas" if deployed.has_trouble else "otras-altas"
    files = deployment.build_path(name, "/files/", service="expedientes")
    deployed.configure(9, {client.HOSTNAME: orders, SECOND_HOSTNAME: [files]})
    await asyncio.sleep(APPLY_S + 4.0)
    await sent.stop()
    # No configuration lets another service run what these clients send.
    wrong = [
        identity
        for upstream in deployed.upstreams
        if upstream.service != "aprobaciones"
        for identity in upstream.runs
        if identity in sent.sent
    ]
    deployed.record.conclude(
        f"{len(sent.sent)} orders for aprobaciones; {len(wrong)} of them run "
        "by upstreams of expedientes"
    )
    if not sent.sent:
        raise RuntimeError("no orders")
    return not wrong


if __name__ == "__main__":
    deployment.run_case(__file__, play)
