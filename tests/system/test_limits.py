"""Limits of regions and accounts; withdrawn keys of queued requests."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import pytest_asyncio

from cowslipshift.config import edits
from cowslipshift.config import model
from cowslipshift.standins import localfleet
from tests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

A1, A2, S1 = "north-a-1", "north-a-2", "south-a-1"
ALL = [A1, A2, S1]
CAPACITY = 5
LIMITED = "library"
SLACK_S = 0.5


@pytest_asyncio.fixture
async def small_regions() -> AsyncIterator[localfleet.LocalFleet]:
    """A fleet whose regions have a capacity below their slots."""
    running = localfleet.LocalFleet(builders.TINY)
    regions = tuple(
        model.Region(name=region.name, capacity=CAPACITY)
        for region in running.configuration.regions
    )
    running.configuration = msgspec.structs.replace(
        running.configuration, regions=regions
    )
    try:
        await running.start()
        yield running
    finally:
        await running.close()


async def test_region_never_runs_more_than_its_capacity(
    small_regions: localfleet.LocalFleet,
) -> None:
    fleet = small_regions
    await builders.Caller(fleet).run_load(ALL, 2.0, 40)
    regions = {
        centre.name: centre.region
        for centre in fleet.configuration.data_centres
    }
    places = {
        s.name: regions[s.data_centre] for s in fleet.configuration.servers
    }
    events: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    for server, rows in (await fleet.fetch_backends("records")).items():
        for row in rows:
            region = events[places[server]]
            region.append((row["started_s"], 1))
            region.append((row["finished_s"], -1))
    for changes in events.values():
        running = 0
        for _, change in sorted(changes):
            running += change
            assert running <= CAPACITY
    assert len(events) == 2


async def test_account_keeps_its_rate_over_all_hosts_through_a_kill(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()

    async def send_repeatedly(host: str) -> None:
        while loop.time() - started_s < 6.0:
            try:
                await caller.send(host, account=LIMITED)
            except (aiohttp.ClientError, OSError):
                await asyncio.sleep(0.05)

    senders = [
        asyncio.create_task(send_repeatedly(h)) for h in ALL for _ in range(4)
    ]
    await asyncio.sleep(1.5)
    await fleet.kill(A2)
    await fleet.start_host(A2)
    await asyncio.gather(*senders)
    lasted_s = loop.time() - started_s
    rate, burst = builders.TINY.accounts[LIMITED]
    records = await fleet.fetch_backends("records")
    ran = sum(
        row["account"] == LIMITED for rows in records.values() for row in rows
    )
    assert ran <= burst + rate * (lasted_s + SLACK_S)
    assert ran >= burst


async def test_withdrawn_key_stops_requests_that_wait(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    for server in fleet.configuration.servers:
        await fleet.set_behaviour(server.name, service_ms=900)
    waiting = [
        asyncio.create_task(caller.send(host))
        for host in ALL
        for _ in range(8)
    ]
    await asyncio.sleep(0.3)
    edit = edits.update_entry("keys", "workshop-1", state="withdrawn")
    await fleet.edit("test", edit)
    answers = await asyncio.gather(*waiting)
    codes = collections.Counter(
        "200" if a.status == 200 else a.error["code"] for a in answers
    )
    assert codes["key_invalid"] > 0, codes
    records = await fleet.fetch_backends("records")
    ran = {row["request_id"] for rows in records.values() for row in rows}
    for answer in answers:
        if answer.status != 200 and answer.error["not_run"]:
            assert answer.headers["X-Request-ID"] not in ran


async def test_burst_within_the_rate_is_not_refused_at_any_host(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    for host in ALL:
        answers = await asyncio.gather(*(caller.send(host) for _ in range(60)))
        codes = [a.error["code"] for a in answers if a.status != 200]
        assert "account_rate" not in codes
