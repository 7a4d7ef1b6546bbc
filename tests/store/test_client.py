"""Tests of the store client against the stand-in, including faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import pytest
import pytest_asyncio

from cowslipshift.standins import runner
from cowslipshift.standins import store as stores
from cowslipshift.store import client as clients
from cowslipshift.store import exceptions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Setup:
    """A stand-in and a client of it."""

    def __init__(
        self, standin: stores.StoreStandIn, client: clients.StoreClient
    ) -> None:
        self.standin = standin
        self.client = client


@pytest_asyncio.fixture
async def setup() -> AsyncIterator[Setup]:
    standin = stores.StoreStandIn()
    site, port = await runner.start_site(
        standin.build_application(), "127.0.0.1", 0
    )
    async with aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{port}"
        yield Setup(standin, clients.StoreClient([url], session))
    await site.cleanup()


async def test_swap_needs_the_expected_revision(setup: Setup) -> None:
    client = setup.client
    assert await client.swap_key("/k", b"1", 0)
    assert not await client.swap_key("/k", b"2", 0)
    pair = await client.get_key("/k")
    assert pair is not None
    assert await client.swap_key("/k", b"2", pair.mod_revision, {"/l": b"x"})
    assert [p.value for p in await client.list_keys("/")] == [b"2", b"x"]
    pair = await client.get_key("/k")
    assert pair is not None
    assert await client.delete_key("/k", pair.mod_revision)
    assert await client.get_key("/k") is None


async def test_lost_answer_may_have_taken_effect(setup: Setup) -> None:
    setup.standin.faults.lose_writes = 1
    with pytest.raises(exceptions.StoreUnavailableError):
        await setup.client.swap_key("/k", b"1", 0)
    pair = await setup.client.get_key("/k")
    assert pair is not None
    assert pair.value == b"1"


async def test_outage_and_malformed_answer_are_errors_with_codes(
    setup: Setup,
) -> None:
    setup.standin.faults.rubbish = True
    with pytest.raises(exceptions.StoreAnswerError) as rubbish:
        await setup.client.get_key("/k")
    assert rubbish.value.code == "store_bad_answer"
    setup.standin.faults.down = True
    with pytest.raises(exceptions.StoreUnavailableError) as down:
        await setup.client.get_key("/k")
    assert down.value.code == "store_unavailable"


async def test_revoked_lease_deletes_its_keys(setup: Setup) -> None:
    client = setup.client
    lease = await client.grant_lease(60)
    await client.swap_key("/k", b"1", 0, {"/leased": b"x"}, lease)
    assert await client.renew_lease(lease) == 60
    await client.revoke_lease(lease)
    assert await client.get_key("/leased") is None
    assert await client.renew_lease(lease) == 0


async def test_watch_shows_changes_and_deletions(setup: Setup) -> None:
    client = setup.client
    events = client.watch_prefix("/k")
    assert (await anext(events)).kv is None
    await client.swap_key("/k1", b"1", 0)
    event = await anext(events)
    assert event.kv is not None
    assert (event.kv.key, event.kv.value) == ("/k1", b"1")
    await client.delete_key("/k1", event.kv.mod_revision)
    assert (await anext(events)).deleted
    await events.aclose()  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("status", "line"),
    [(503, b""), (200, b"{\n"), (200, b"[]\n"), (200, b'{"result":1}\n')],
)
async def test_watch_that_fails_moves_to_the_next_endpoint(
    setup: Setup, status: int, line: bytes
) -> None:
    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=status, body=line)

    faulty = web.Application()
    faulty.router.add_post("/v3/watch", answer)
    site, port = await runner.start_site(faulty, "127.0.0.1", 0)
    async with aiohttp.ClientSession() as session:
        client = clients.StoreClient(
            [f"http://127.0.0.1:{port}", *setup.client._endpoints], session
        )
        with pytest.raises(exceptions.StoreError):
            async for _ in client.watch_prefix("/"):
                pass
        assert client._preferred == 1
    await site.cleanup()
