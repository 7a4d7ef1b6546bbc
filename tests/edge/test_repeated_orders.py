"""Orders of roll-outs that an operator writes twice."""

from __future__ import annotations

import asyncio

import msgspec

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet
from cowslipshift.steering import rollouts

SERVICE = platformfleet.WRITE_SERVICE
ORDER_KEY = names.ROLLOUT_PREFIX + SERVICE
STAGE_KEY = names.STAGE_PREFIX + SERVICE
WATCHED_S = 5.0


# Guards against CONFIG: a host that starts after an order was written twice
# takes it for a new one, so that a completed roll-out is taken back.
async def test_order_written_twice_is_one_for_hosts_that_start() -> None:
    order = msgspec.json.encode(
        {"service": SERVICE, "target_version": "v2", "ramp_s": 600.0}
    )
    async with platformfleet.PlatformFleet(backends=1) as fleet:
        fleet.store.put(ORDER_KEY, order)
        await platformfleet.wait_until(
            lambda: fleet.store.get(STAGE_KEY) is not None
        )
        fleet.store.put(ORDER_KEY, order)
        raw = fleet.store.get(STAGE_KEY)
        assert raw is not None
        completed = msgspec.structs.replace(
            rollouts.decode_stage(raw), state=rollouts.COMPLETED, step=3
        )
        fleet.store.put(STAGE_KEY, rollouts.encode_stage(completed))
        await fleet.kill_host(fleet.hosts[0])
        await fleet.add_host("north-a")
        await fleet.wait_ready()
        await platformfleet.wait_until(
            lambda: all(
                host.revision >= fleet.store.revision for host in fleet.hosts
            )
        )
        loop = asyncio.get_running_loop()
        until_s = loop.time() + WATCHED_S
        while loop.time() < until_s:
            for host in fleet.hosts:
                rollout = host.balancer.rollouts[SERVICE]
                assert rollout.get_new_version_share() == 1.0
            await asyncio.sleep(0.05)
        raw = fleet.store.get(STAGE_KEY)
        assert raw is not None
        assert rollouts.decode_stage(raw) == completed
