"""A write of an upstream that leaves is executed seconds late."""

from __future__ import annotations

import asyncio
import time

from standins import deployment
from standins import traffic

DRAIN_S = 2.0
HEARTBEAT_S = 1.5
LEAVES_AFTER_S = 3.4
LATE_S = 5.5
EXITS_AFTER_S = 2.8


async def play(deployed: deployment.Deployment) -> bool:
    """Return whether DRAIN held."""
    deployed.configure_orders()
    await deployed.add_upstreams("aprobaciones", 2, work_s=0.25)
    await deployed.add_hosts()
    orders = traffic.Traffic(deployed.record)
    orders.start(deployed.hosts, clients=6, pause_s=0.1)
    await asyncio.sleep(4.0)
    leaving = deployed.upstreams[0]
    started_s = time.monotonic()

    async def wait(until_s: float) -> None:
        await asyncio.sleep(max(0.0, started_s + until_s - time.monotonic()))

    late_entry = leaving.build_entry("ready")
    if deployed.has_trouble:
        deployed.record.write(f"{leaving.identity}: a beat gets no answer")
    else:
        leaving.write_entry(late_entry)
    await wait(HEARTBEAT_S)
    leaving.register("ready")
    await wait(2 * HEARTBEAT_S)
    leaving.register("ready")
    await wait(LEAVES_AFTER_S)
    leaving.register("draining")
    drained_s = time.monotonic()
    deployed.record.write(f"{leaving.identity} is draining, acknowledged")
    await wait(LEAVES_AFTER_S + HEARTBEAT_S)
    leaving.register("draining")
    await wait(LATE_S)
    if deployed.has_trouble:
        leaving.write_entry(late_entry)
        deployed.record.write(
            f"{leaving.identity}: the beat that got no answer is executed"
        )
    # Its next beat would be at 6.4 s.
    await wait(LEAVES_AFTER_S + EXITS_AFTER_S)
    leaving.deregister()
    leaving.exit()
    await asyncio.sleep(2.0)
    await orders.stop()
    late = [
        identity
        for arrived_s, identity in leaving.arrived
        if arrived_s > drained_s + DRAIN_S
    ]
    unanswered = [
        identity
        for identity in leaving.lost
        if not 200 <= orders.sent[identity].status < 300
    ]
    deployed.record.conclude(
        f"{leaving.identity}: {len(leaving.arrived)} orders, {len(late)} "
        f"later than drain_ms; {len(unanswered)} orders lost at its exit"
    )
    if not leaving.arrived:
        raise RuntimeError("the upstream got no order at all")
    return not late


if __name__ == "__main__":
    deployment.run_case(__file__, play)
