"""Hosts that start as the store has come back from an older copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests.edge import drills

from cowslipshift.coordination import hashing
from cowslipshift.platform import names
from cowslipshift.standins import platformfleet
from cowslipshift.steering import rollouts

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SERVICE = platformfleet.WRITE_SERVICE
ORDER_KEY = names.ROLLOUT_PREFIX + SERVICE
STAGE_KEY = names.STAGE_PREFIX + SERVICE
STATUS_KEY = names.STATUS_PREFIX + SERVICE
RAMP_S = 3.0
WATCHED_S = 6.0


@pytest.fixture
async def drill() -> AsyncIterator[drills.Drill]:
    async with platformfleet.PlatformFleet(hosts=2, backends=1) as fleet:
        yield drills.Drill(fleet)


async def restart_leader(drill: drills.Drill) -> None:
    """Kill the host that leads the roll-out, and start it again."""
    fleet = drill.fleet
    by_name = {host.settings.node_name: host for host in fleet.hosts}
    leader = hashing.rank_members(f"rollout|{SERVICE}", set(by_name))[0]
    await fleet.kill_host(by_name[leader])
    drill.store.come_back()
    drill.store.faults.status = 0
    await fleet.add_host(by_name[leader].settings.zone, leader)


# Guards against CONFIG: a host that starts from the copy takes a completed
# roll-out back as its time is over, and no host uses the new version any more.
async def test_completed_rollout_survives_the_end_of_its_leader(drill) -> None:
    fleet, store = drill.fleet, drill.store
    order = {"service": SERVICE, "target_version": "v2", "ramp_s": RAMP_S}
    store.put(ORDER_KEY, msgspec.json.encode(order))
    await platformfleet.wait_until(lambda: store.get(STAGE_KEY) is not None)
    watched = msgspec.structs.replace(
        rollouts.decode_stage(store.get(STAGE_KEY)), step=2, elapsed_ms=2600
    )
    store.put(STAGE_KEY, rollouts.encode_stage(watched))
    await drill.settle()
    store.copy_state()
    completed = msgspec.structs.replace(
        watched, state=rollouts.COMPLETED, step=3, elapsed_ms=2650
    )
    store.put(STAGE_KEY, rollouts.encode_stage(completed))
    await drill.settle()
    await asyncio.sleep(RAMP_S)
    store.faults.status = 503
    store.cut_watches()
    await asyncio.sleep(drills.AWAY_S)
    await restart_leader(drill)
    loop = asyncio.get_running_loop()
    until_s = loop.time() + WATCHED_S
    while loop.time() < until_s:
        status = store.get(STATUS_KEY) or b""
        assert rollouts.ROLLED_BACK.encode() not in status
        await asyncio.sleep(0.05)
    await drill.wait_for_era()
    for host in fleet.hosts:
        rollout = host.balancer.rollouts[SERVICE]
        assert rollout.get_new_version_share() == 1.0
        assert rollout.may_use("v2", True)
        assert not rollout.may_use("v1", False)
