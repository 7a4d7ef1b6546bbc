"""The client against the stand-in of the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import pytest

from cowslipshift import clock as clocks
from cowslipshift.platform import names
from cowslipshift.platform import store as stores
from cowslipshift.standins import platformfleet
from cowslipshift.standins import platformstore
from cowslipshift.store import exceptions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Rig:
    """A store and its client."""

    def __init__(self) -> None:
        self.stand_in = platformstore.PlatformStoreStandIn(
            clocks.SystemClock()
        )
        self.calls: list[tuple[str, str]] = []

    async def start(self) -> None:
        self.runner = web.AppRunner(
            self.stand_in.build_application(), shutdown_timeout=0.1
        )
        await self.runner.setup()
        port = platformfleet.find_ports(1)[0]
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.session = aiohttp.ClientSession()
        self.client = stores.PlatformStore(
            f"127.0.0.1:{port}",
            self.session,
            lambda kind, outcome: self.calls.append((kind, outcome)),
        )

    async def close(self) -> None:
        await self.session.close()
        await self.runner.cleanup()


@pytest.fixture
async def rig() -> AsyncIterator[Rig]:
    started = Rig()
    await started.start()
    yield started
    await started.close()


async def test_all_pages_are_read(rig) -> None:
    for number in range(130):
        rig.stand_in.put(f"servers/{number:04}", b"x")
    found = await rig.client.read_prefix("servers/")
    assert len(found.items) == 130
    assert found.revision == rig.stand_in.revision


async def test_watch_tells_changes_and_deletions(rig) -> None:
    after = rig.stand_in.revision
    waiting = asyncio.create_task(rig.client.watch_prefix("", after, 5.0))
    await asyncio.sleep(0.05)
    rig.stand_in.put("op/config", b"1")
    found = await waiting
    assert [(i.key, i.value) for i in found.items] == [("op/config", b"1")]
    rig.stand_in.delete("op/config")
    found = await rig.client.watch_prefix("", found.revision, 5.0)
    assert found.items[0].value is None


async def test_forgotten_history_is_told(rig) -> None:
    rig.stand_in.put("a", b"1")
    rig.stand_in.forget_history()
    with pytest.raises(exceptions.HistoryGoneError):
        await rig.client.watch_prefix("", 1, 1.0)


async def test_of_two_writers_one_wins(rig) -> None:
    key = names.STAGE_PREFIX + "a"
    assert await rig.client.swap_items({key: 0}, {key: b"1"})
    assert not await rig.client.swap_items({key: 0}, {key: b"2"})
    assert rig.stand_in.get(key) == b"1"


async def test_write_whose_answer_is_lost_took_effect(rig) -> None:
    key = names.STAGE_PREFIX + "a"
    rig.stand_in.faults.lose_writes = 1
    with pytest.raises(exceptions.StoreUnavailableError):
        await rig.client.swap_items({key: 0}, {key: b"1"})
    assert rig.stand_in.get(key) == b"1"
    assert not await rig.client.swap_items({key: 0}, {key: b"2"})


async def test_lease_that_ended_says_so(rig) -> None:
    lease = await rig.client.grant_lease(2.0)
    assert await rig.client.swap_items({}, {"h/1": b"x"}, lease)
    assert await rig.client.renew_lease(lease)
    await rig.client.revoke_lease(lease)
    assert rig.stand_in.get("h/1") is None
    assert not await rig.client.renew_lease(lease)
    assert not await rig.client.swap_items({}, {"h/1": b"x"}, lease)


@pytest.mark.parametrize(
    ("faults", "error"),
    [
        ({"status": 503}, exceptions.StoreUnavailableError),
        ({"status": 429}, exceptions.StoreUnavailableError),
        ({"silent": True}, exceptions.StoreUnavailableError),
        ({"rubbish": True}, exceptions.StoreAnswerError),
    ],
)
async def test_faults_of_the_store_are_told_apart(rig, faults, error) -> None:
    for name, value in faults.items():
        setattr(rig.stand_in.faults, name, value)
    with pytest.raises(error):
        await rig.client.read_prefix("")
