"""A data centre cut off from all others and from the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest_asyncio

from cowslipshift.config import edits
from cowslipshift.standins import localfleet
from tests import builders
from tests.system import partitions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

A1, A2, S1 = "north-a-1", "north-a-2", "south-a-1"
ALL = [A1, A2, S1]
STORE = "store"
LIMITED = "library"
SLACK_S = 0.5


class PartitionedFleet:
    """A fleet whose peer and store links all pass through TCP proxies."""

    def __init__(self) -> None:
        self.fleet = localfleet.LocalFleet(builders.TINY)
        hosts = self.fleet.configuration.hosts
        self.sources = {
            h.name: f"127.0.1.{n + 1}" for n, h in enumerate(hosts)
        }
        self.partition = partitions.NetworkPartition(self.sources)
        self.proxies: list[partitions.TcpProxy] = []

    async def start(self) -> None:
        fleet = self.fleet
        inner = {
            host.name: fleet.ports.allocate() for host in fleet.hosts.values()
        }
        for name, port in inner.items():
            outer = int(fleet.hosts[name].peer.rpartition(":")[2])
            await self._start_proxy(name, port, outer)
        store_port = int(fleet.store_url.rpartition(":")[2])
        outer = fleet.ports.allocate()
        await self._start_proxy(STORE, store_port, outer)
        await fleet.start_store()
        await fleet.start_backends()
        await fleet.put_configuration()
        for name, port in inner.items():
            await fleet.start_host(
                name,
                peer_listen=f"127.0.0.1:{port}",
                source_address=self.sources[name],
                store=f"http://127.0.0.1:{outer}",
            )
        await fleet.wait_settled(ALL)

    def cut_off(self, name: str) -> None:
        for other in (*ALL, STORE):
            if other != name:
                self.partition.cut(name, other)

    async def close(self) -> None:
        await self.fleet.close()
        for proxy in self.proxies:
            await proxy.close()

    async def _start_proxy(self, name: str, target: int, port: int) -> None:
        proxy = partitions.TcpProxy(self.partition, name, target)
        await proxy.start(port)
        self.proxies.append(proxy)


@pytest_asyncio.fixture
async def partitioned_fleet() -> AsyncIterator[PartitionedFleet]:
    running = PartitionedFleet()
    try:
        await running.start()
        yield running
    finally:
        await running.close()


async def test_cut_off_data_centre_serves_and_catches_up(
    partitioned_fleet: PartitionedFleet,
) -> None:
    fleet, caller = (
        partitioned_fleet.fleet,
        builders.Caller(partitioned_fleet.fleet),
    )
    partitioned_fleet.cut_off(S1)
    load = asyncio.create_task(caller.run_load(ALL, 6.0, 12))
    changed = await fleet.edit("test", edits.set_default("cold_ramp_s", 7))
    await asyncio.sleep(4.5)
    status = await fleet.fetch_status(S1)
    assert status["linked"] == []
    assert status["revision"] < changed.revision
    for host in ALL:
        assert (await caller.send(host)).status == 200
    await load
    partitioned_fleet.partition.heal()

    async def has_caught_up() -> bool:
        revisions = {(await fleet.fetch_status(h))["revision"] for h in ALL}
        return revisions == {changed.revision}

    await fleet.wait_until(has_caught_up)
    await fleet.wait_settled(ALL)
    await caller.check_slots()


async def test_account_keeps_its_rate_while_a_data_centre_is_cut_off(
    partitioned_fleet: PartitionedFleet,
) -> None:
    fleet, caller = (
        partitioned_fleet.fleet,
        builders.Caller(partitioned_fleet.fleet),
    )
    loop = asyncio.get_running_loop()
    started_s = loop.time()

    async def send_repeatedly(host: str) -> None:
        while loop.time() - started_s < 8.0:
            await caller.send(host, account=LIMITED)
            await asyncio.sleep(0.01)

    senders = [
        asyncio.create_task(send_repeatedly(h)) for h in ALL for _ in range(3)
    ]
    await asyncio.sleep(1.0)
    partitioned_fleet.cut_off(S1)
    await asyncio.sleep(5.0)
    partitioned_fleet.partition.heal()
    await asyncio.gather(*senders)
    lasted_s = loop.time() - started_s
    rate, burst = builders.TINY.accounts[LIMITED]
    records = await fleet.fetch_backends("records")
    by_host = [row for rows in records.values() for row in rows]
    ran = sum(row["account"] == LIMITED for row in by_host)
    assert ran <= burst + rate * (lasted_s + SLACK_S)
    assert ran >= burst + rate * lasted_s * 0.4


async def test_order_whose_home_is_cut_off_is_not_run_or_unknown(
    partitioned_fleet: PartitionedFleet,
) -> None:
    fleet, caller = (
        partitioned_fleet.fleet,
        builders.Caller(partitioned_fleet.fleet),
    )
    partitioned_fleet.cut_off(S1)
    near, far = builders.make_key("north-a"), builders.make_key("south-a")
    assert (await caller.order(A1, near)).status == 200
    refused = await caller.order(A1, far)
    assert refused.status >= 400
    own = await caller.order(S1, builders.make_key("south-a"))
    assert own.status == 200
    records = await fleet.fetch_backends("records")
    ran = {r["idempotency_key"] for rows in records.values() for r in rows}
    if refused.error["not_run"]:
        assert far not in ran
    partitioned_fleet.partition.heal()
    await fleet.wait_settled(ALL)
    again = await caller.order(A2, far)
    records = await fleet.fetch_backends("records")
    runs = [
        row
        for rows in records.values()
        for row in rows
        if row["idempotency_key"] == far
    ]
    assert len(runs) <= 1
    assert (again.status == 200) == (len(runs) == 1)
