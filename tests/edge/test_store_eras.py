"""The store comes back from an older copy, as in a drill."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests.edge import drills

from cowslipshift.edge import watcher as watchers
from cowslipshift.platform import names
from cowslipshift.standins import platformfleet
from cowslipshift.steering import inventory as inventories
from cowslipshift.steering import rollouts

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


WRITES = (0, 3, 200)
EVACUATION_KEY = names.EVACUATION_PREFIX + "south-a"
ORDER_KEY = names.ROLLOUT_PREFIX + platformfleet.WRITE_SERVICE
STAGE_KEY = names.STAGE_PREFIX + platformfleet.WRITE_SERVICE


@pytest.fixture
async def drill() -> AsyncIterator[drills.Drill]:
    async with platformfleet.PlatformFleet(backends=1) as fleet:
        yield drills.Drill(fleet)


# Guards against hosts that follow a store that is no more until its revisions
# pass those that they knew.
@pytest.mark.parametrize("writes", WRITES)
async def test_what_is_written_in_the_new_era_is_in_force_in_time(
    drill, writes
) -> None:
    fleet = drill.fleet
    drill.store.copy_state()
    drill.store.put(names.CONFIG_KEY, platformfleet.build_config(2))
    await drill.lose(writes)
    drill.store.put(names.CONFIG_KEY, platformfleet.build_config(2))
    drill.write_again()
    await asyncio.sleep(1.0)
    drill.store.put(names.CONFIG_KEY, platformfleet.build_config(3))
    await drill.wait_in_force(3)
    leaving, *_ = fleet.backends
    drill.store.delete(names.BACKEND_PREFIX + leaving)
    joining = await drill.add_server()
    await asyncio.sleep(drills.IN_FORCE_S)
    for host in fleet.hosts:
        assert leaving not in drill.list_servers(host)
        assert joining in drill.list_servers(host)


# Guards against an older configuration that takes back a newer one, and
# against a server that comes back into use as the copy still has its entry.
async def test_copy_takes_back_no_configuration_and_no_removal(drill) -> None:
    fleet = drill.fleet
    removed, *_ = fleet.backends
    drill.store.copy_state()
    drill.store.put(names.CONFIG_KEY, platformfleet.build_config(2))
    drill.store.delete(names.BACKEND_PREFIX + removed)
    await drill.lose(3)
    await drill.wait_for_era()
    until_s = asyncio.get_running_loop().time() + 2 * watchers.RESTORATION_S
    while asyncio.get_running_loop().time() < until_s:
        for host in fleet.hosts:
            assert host.balancer.version == 2
            assert removed not in drill.list_servers(host)
        await asyncio.sleep(0.05)


# Guards against hosts that take what the copy lacks for removed, before those
# who wrote it have had the time to write it again.
async def test_what_the_copy_lacks_is_kept_until_it_is_written_again(
    drill,
) -> None:
    fleet = drill.fleet
    drill.store.copy_state()
    joined = await drill.add_server()
    drill.store.put(EVACUATION_KEY, b"{}")
    await drill.lose(3)
    loop = asyncio.get_running_loop()
    until_s = loop.time() + watchers.RESTORATION_S
    while loop.time() < until_s - 0.5:
        for host in fleet.hosts:
            assert joined in drill.list_servers(host)
            assert host.balancer.inventory.evacuated == {"south-a"}
        await asyncio.sleep(0.05)
    drill.write_again()
    drill.store.put(EVACUATION_KEY, b"{}")
    await asyncio.sleep(watchers.RESTORATION_S + 1.0)
    for host in fleet.hosts:
        assert joined in drill.list_servers(host)
        assert host.balancer.inventory.evacuated == {"south-a"}


async def test_what_is_not_written_again_is_gone(drill) -> None:
    fleet = drill.fleet
    drill.store.copy_state()
    joined = await drill.add_server()
    drill.store.put(EVACUATION_KEY, b"{}")
    await drill.lose(3)
    await drill.wait_for_era()
    await asyncio.sleep(
        max(watchers.RESTORATION_S, inventories.STORE_RECOVERY_S) + 0.5
    )
    for host in fleet.hosts:
        assert joined not in drill.list_servers(host)
        assert not host.balancer.inventory.evacuated


# Guards against a host that renews a lease that the store has given out again
# to another one, and against one that is not registered any more.
async def test_hosts_register_again_under_leases_of_their_own(drill) -> None:
    fleet = drill.fleet
    drill.store.copy_state()
    await fleet.add_host("north-a")
    await fleet.wait_ready()
    await drill.lose(3)
    await drill.wait_for_era()
    keys = {
        names.MEMBER_PREFIX + host.settings.node_name for host in fleet.hosts
    }
    await asyncio.sleep(2.0)
    leases = [drill.store.get_lease(key) for key in sorted(keys)]
    assert 0 not in leases
    assert len(set(leases)) == len(fleet.hosts)


# Guards against a roll-out that begins again, or is taken back, as the store
# has lost its end.
@pytest.mark.parametrize("has_order", [True, False])
async def test_completed_rollout_stays_completed(drill, has_order) -> None:
    fleet = drill.fleet
    order = msgspec.json.encode(
        {
            "service": platformfleet.WRITE_SERVICE,
            "target_version": "v2",
            "ramp_s": 600.0,
        }
    )
    if has_order:
        drill.store.put(ORDER_KEY, order)
        await asyncio.sleep(0.5)
    drill.store.copy_state()
    drill.store.put(ORDER_KEY, order)
    service = platformfleet.WRITE_SERVICE
    await platformfleet.wait_until(lambda: _list_stages(fleet)[0] is not None)
    stage = _list_stages(fleet)[0]
    completed = msgspec.structs.replace(
        stage, state=rollouts.COMPLETED, step=3
    )
    drill.store.put(STAGE_KEY, rollouts.encode_stage(completed))
    await drill.lose(3)
    await asyncio.sleep(0.5)
    drill.store.put(ORDER_KEY, order)
    await fleet.add_host("north-a")
    until_s = asyncio.get_running_loop().time() + 4.0
    while asyncio.get_running_loop().time() < until_s:
        for host in fleet.hosts[:2]:
            rollout = host.balancer.rollouts[service]
            assert rollout.get_new_version_share() == 1.0
            assert not rollout.may_use("v1", False)
        await asyncio.sleep(0.05)
    raw = drill.store.get(STAGE_KEY)
    assert raw is not None
    written = rollouts.decode_stage(raw)
    assert (written.state, written.era) == (rollouts.COMPLETED, 2)
    for host in fleet.hosts:
        rollout = host.balancer.rollouts[service]
        assert rollout.get_new_version_share() == 1.0


def _list_stages(
    fleet: platformfleet.PlatformFleet,
) -> list[rollouts.Stage | None]:
    found = []
    for host in fleet.hosts:
        rollout = host.balancer.rollouts.get(platformfleet.WRITE_SERVICE)
        found.append(None if rollout is None else rollout.stage)
    return found


# Guards against a host that the store turns away, and that goes on with the
# store of the earlier era.
async def test_cut_off_host_learns_of_the_era_from_another(drill) -> None:
    fleet = drill.fleet
    drill.store.copy_state()
    drill.store.put(names.CONFIG_KEY, platformfleet.build_config(2))
    await drill.settle()
    fleet.refuse_store_calls(fleet.hosts[0])
    await drill.lose(200)
    drill.store.put(names.CONFIG_KEY, platformfleet.build_config(3))
    await drill.wait_for_era()
    await drill.wait_in_force(3)


async def test_second_loss_before_all_was_written_again(drill) -> None:
    drill.store.copy_state()
    drill.store.put(names.CONFIG_KEY, platformfleet.build_config(2))
    drill.store.put(EVACUATION_KEY, b"{}")
    await drill.lose(50)
    await drill.wait_for_era()
    await drill.lose(5)
    drill.store.put(names.CONFIG_KEY, platformfleet.build_config(3))
    drill.store.put(EVACUATION_KEY, b"{}")
    await drill.wait_for_era()
    await drill.wait_in_force(3)
    for host in drill.fleet.hosts:
        assert host.position.era == 3
        assert host.balancer.inventory.evacuated == {"south-a"}
