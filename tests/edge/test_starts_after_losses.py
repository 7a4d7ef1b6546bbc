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
EVACUATION_KEY = names.EVACUATION_PREFIX + "south-a"
RAMP_S = 3.0
WATCHED_S = 6.0
CONTACT_S = 3.0


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


# Guards against a host that serves what others know to be gone: an older
# configuration, a removed server, an evacuated data centre.
@pytest.mark.parametrize("are_hosts_in_copy", [True, False])
async def test_host_that_starts_from_the_copy_learns_from_others(
    drill, are_hosts_in_copy
) -> None:
    fleet, store = drill.fleet, drill.store
    removed, *_ = fleet.backends
    if not are_hosts_in_copy:
        for host in fleet.hosts:
            store.delete(names.MEMBER_PREFIX + host.settings.node_name)
    store.copy_state()
    store.put(names.CONFIG_KEY, platformfleet.build_config(2))
    store.delete(names.BACKEND_PREFIX + removed)
    store.put(EVACUATION_KEY, b"{}")
    await drill.lose(3)
    host = await fleet.add_host("north-a")
    async with asyncio.timeout(CONTACT_S):
        while (
            host.balancer.version < 2
            or removed in drill.list_servers(host)
            or host.balancer.inventory.evacuated != {"south-a"}
        ):
            await asyncio.sleep(0.02)
