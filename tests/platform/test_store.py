"""Tests of the client against the stand-in of the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
import pytest
from tests import silentrelay

from cowslipshift import bodies
from cowslipshift import clock as clocks
from cowslipshift import connections
from cowslipshift.platform import eras
from cowslipshift.platform import names
from cowslipshift.platform import store as stores
from cowslipshift.standins import platformstore
from cowslipshift.standins import portreservations
from cowslipshift.store import exceptions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Setup:
    """A stand-in of the store and a client of it."""

    def __init__(self) -> None:
        self.stand_in = platformstore.PlatformStoreStandIn(
            clocks.SystemClock()
        )
        self.calls: list[tuple[str, str]] = []
        self.eras: list[int] = []

    async def start(self) -> None:
        self.runner = web.AppRunner(
            self.stand_in.build_application(), shutdown_timeout=0.1
        )
        await self.runner.setup()
        port = portreservations.reserve_ports(1)[0]
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.relay = silentrelay.SilentRelay(f"127.0.0.1:{port}")
        await self.relay.start()
        self.session = connections.open_control_session()
        self.client = stores.PlatformStore(
            self.relay.address,
            self.session,
            lambda kind, outcome: self.calls.append((kind, outcome)),
            bodies.ByteBudget(bodies.MAX_CONTROL_BYTES),
            self.eras.append,
        )

    async def close(self) -> None:
        await self.session.close()
        await self.relay.close()
        await self.runner.cleanup()


@pytest.fixture
async def setup() -> AsyncIterator[Setup]:
    started = Setup()
    await started.start()
    yield started
    await started.close()


async def test_all_pages_are_read(setup) -> None:
    for number in range(130):
        setup.stand_in.put(f"servers/{number:04}", b"x")
    found = await setup.client.read_prefix("servers/")
    assert len(found.items) == 130
    assert found.revision == setup.stand_in.revision


async def test_watch_returns_changes_and_deletions(setup) -> None:
    after = setup.stand_in.revision
    waiting = asyncio.create_task(setup.client.watch_prefix("", after, 5.0))
    await asyncio.sleep(0.05)
    setup.stand_in.put("op/config", b"1")
    found = await waiting
    assert [(i.key, i.value) for i in found.items] == [("op/config", b"1")]
    setup.stand_in.delete("op/config")
    found = await setup.client.watch_prefix("", found.revision, 5.0)
    assert found.items[0].value is None


async def test_dropped_history_is_an_error(setup) -> None:
    setup.stand_in.put("a", b"1")
    setup.stand_in.compact_history()
    with pytest.raises(exceptions.HistoryGoneError):
        await setup.client.watch_prefix("", 1, 1.0)


async def test_swap_needs_the_expected_revision(setup) -> None:
    key = names.STAGE_PREFIX + "a"
    assert await setup.client.swap_items({key: 0}, {key: b"1"})
    assert not await setup.client.swap_items({key: 0}, {key: b"2"})
    assert setup.stand_in.get(key) == b"1"


async def test_write_whose_answer_is_lost_took_effect(setup) -> None:
    key = names.STAGE_PREFIX + "a"
    setup.stand_in.faults.lose_writes = 1
    with pytest.raises(exceptions.StoreUnavailableError):
        await setup.client.swap_items({key: 0}, {key: b"1"})
    assert setup.stand_in.get(key) == b"1"
    assert not await setup.client.swap_items({key: 0}, {key: b"2"})


async def test_revoked_lease_cannot_be_renewed(setup) -> None:
    lease = await setup.client.grant_lease(2.0)
    assert await setup.client.swap_items({}, {"h/1": b"x"}, lease)
    assert await setup.client.renew_lease(lease)
    await setup.client.revoke_lease(lease)
    assert setup.stand_in.get("h/1") is None
    assert not await setup.client.renew_lease(lease)
    assert not await setup.client.swap_items({}, {"h/1": b"x"}, lease)


@pytest.mark.parametrize(
    ("faults", "error"),
    [
        ({"status": 503}, exceptions.StoreUnavailableError),
        ({"status": 429}, exceptions.StoreUnavailableError),
        ({"silent": True}, exceptions.StoreUnavailableError),
        ({"rubbish": True}, exceptions.StoreAnswerError),
    ],
)
async def test_faults_of_the_store_raise_distinct_errors(
    setup, faults, error
) -> None:
    for name, value in faults.items():
        setattr(setup.stand_in.faults, name, value)
    with pytest.raises(error):
        await setup.client.read_prefix("")


# Guards against a watch that waits on a second connection of the pool that is
# silent like the first, so that a configuration comes seconds later.
async def test_call_after_a_silent_connection_uses_a_new_one(setup) -> None:
    after = setup.stand_in.revision
    waiting = asyncio.create_task(setup.client.watch_prefix("", after, 0.3))
    await setup.client.renew_lease(1)
    setup.relay.silence()
    with pytest.raises(exceptions.StoreUnavailableError):
        await waiting
    setup.stand_in.put("op/config", b"1")
    found = await setup.client.watch_prefix("", after, 0.3)
    assert [item.key for item in found.items] == ["op/config"]


# Guards against a store whose pages do not end, which a host would read and
# keep until it is out of memory.
@pytest.mark.parametrize("repeats", [True, False])
async def test_pages_without_end_are_given_up(repeats) -> None:
    pages = 0

    async def serve(request: web.Request) -> web.Response:
        nonlocal pages
        pages += 1
        key = "k" if repeats else f"k{pages:08}"
        item = {"key": key, "rev": 1, "value": "QUFB" * 200_000}
        return web.json_response(
            {"items": [item], "store_revision": 1, "has_more": True}
        )

    application = web.Application()
    application.router.add_get(names.RANGE_PATH, serve)
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    port = portreservations.reserve_ports(1)[0]
    await web.TCPSite(runner, "127.0.0.1", port).start()
    async with (
        connections.open_control_session() as session,
        asyncio.timeout(20.0),
    ):
        client = stores.PlatformStore(
            f"127.0.0.1:{port}",
            session,
            lambda kind, outcome: None,
            bodies.ByteBudget(bodies.MAX_CONTROL_BYTES),
        )
        with pytest.raises(exceptions.StoreAnswerError):
            await client.read_prefix("")
    assert pages <= 64
    await runner.cleanup()


async def test_era_of_the_store_is_told_once_and_with_each_read(setup) -> None:
    await setup.client.read_prefix("")
    setup.stand_in.come_back()
    found = await setup.client.read_prefix("")
    assert (found.era, setup.eras) == (2, [1, 2])
    found = await setup.client.watch_prefix("", found.revision, 0.0)
    assert (found.era, setup.eras) == (2, [1, 2])


async def test_watch_from_a_revision_that_was_lost_is_an_error(setup) -> None:
    setup.stand_in.copy_state()
    after = setup.stand_in.put("a", b"1")
    setup.stand_in.come_back()
    with pytest.raises(exceptions.HistoryGoneError):
        await setup.client.watch_prefix("", after, 1.0)


# Guards against an answer that was on its way when the store came back, and
# replaces what is known of the later era.
async def test_answer_of_an_earlier_era_is_not_used(setup) -> None:
    setup.stand_in.come_back()
    await setup.client.read_prefix("")
    setup.stand_in.era = 1
    with pytest.raises(exceptions.StoreAnswerError):
        await setup.client.read_prefix("")
    setup.stand_in.era = 2
    assert (await setup.client.read_prefix("")).era == 2


# Guards against a transaction that was prepared in one era and is executed in
# the next one, as a revision was given out again.
async def test_transaction_across_two_eras_is_not_believed(setup) -> None:
    key = names.STAGE_PREFIX + "a"
    setup.stand_in.copy_state()
    await setup.client.swap_items({key: 0}, {key: b"1"})
    revision = setup.stand_in.revision
    setup.stand_in.come_back()
    setup.stand_in.put(key, b"other")
    assert setup.stand_in.revision == revision
    with pytest.raises(exceptions.StoreUnavailableError):
        await setup.client.swap_items({key: revision}, {key: b"2"})


@pytest.mark.parametrize("text", ["", "x", "-1", "1" * 10, "\u00b2"])
def test_header_without_a_number_keeps_the_last_era(text) -> None:
    reader = eras.EraReader(lambda era: None)
    assert reader.read({names.STORE_ERA_HEADER: "3"}) == 3
    assert reader.read({names.STORE_ERA_HEADER: text}) == 3
    assert reader.read({}) == 3
    assert reader.read({names.STORE_ERA_HEADER: "4"}) == 4


def test_store_without_the_header_has_no_era() -> None:
    assert eras.EraReader(lambda era: None).read({}) == 0
