"""Answers that take longer than the time limit for their first byte."""

from __future__ import annotations

import asyncio
import base64
import contextlib
from typing import TYPE_CHECKING

from aiohttp import web
import msgspec
import pytest

from cowslipshift import bodies
from cowslipshift import connections
from cowslipshift import transfers
from cowslipshift.edge import exceptions as edge_exceptions
from cowslipshift.edge import messages
from cowslipshift.edge import peerclient
from cowslipshift.platform import names
from cowslipshift.platform import store as stores
from cowslipshift.standins import portreservations
from cowslipshift.store import client as clients
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.store import interface
from tests import pacedrelay

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

VALUE = bytes(range(256)) * 4096
LINK_BYTES_PER_S = 5e6 / 8
"""The narrowest link of a host that operators have, 5 Mbit/s."""

STALLS_AFTER_BYTES = 100_000
MAX_STALL_S = 4.0
BEHIND = interface.Position(0, 1)

ITEM = {
    "key": "op/config",
    "rev": 9,
    "value": base64.b64encode(VALUE).decode(),
}
CHANGES = messages.Changes(9, False, (interface.Item("op/config", VALUE, 9),))
ETCD_PAIR = {
    "key": base64.b64encode(b"k").decode(),
    "value": base64.b64encode(VALUE).decode(),
    "mod_revision": "9",
}
ANSWERS = {
    names.RANGE_PATH: msgspec.json.encode(
        {"items": [ITEM], "store_revision": 9}
    ),
    names.WATCH_PATH: msgspec.json.encode(
        {"events": [ITEM], "store_revision": 9}
    ),
    "/changes": messages.encode_changes(CHANGES),
    "/v3/kv/range": msgspec.json.encode({"kvs": [ETCD_PAIR]}),
}


async def serve_whole(request: web.Request) -> web.StreamResponse:
    return web.Response(body=ANSWERS[request.path])


async def serve_stalling(request: web.Request) -> web.StreamResponse:
    """Send the first part of an answer, and then no more."""
    body = ANSWERS[request.path]
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    await response.write(body[:STALLS_AFTER_BYTES])
    await asyncio.sleep(3600)
    return response


async def serve_trickling(request: web.Request) -> web.StreamResponse:
    """Send an answer of which a byte arrives now and then."""
    response = web.StreamResponse(headers={"Content-Length": "1000000"})
    await response.prepare(request)
    while True:
        await response.write(b" ")
        await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def open_link(
    serve: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> AsyncIterator[str]:
    """Serve behind a narrow link; yield its address."""
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", serve)
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    port = portreservations.reserve_ports(1)[0]
    await web.TCPSite(runner, "127.0.0.1", port).start()
    relay = pacedrelay.PacedRelay(f"127.0.0.1:{port}", LINK_BYTES_PER_S)
    await relay.start()
    try:
        yield relay.address
    finally:
        await relay.close()
        await runner.cleanup()


async def fetch(peer: str, address: str) -> bytes | None:
    """Fetch the value by a call of one kind."""
    budget = bodies.ByteBudget(bodies.MAX_CONTROL_BYTES)
    async with connections.open_control_session() as session:
        store = stores.PlatformStore(address, session, lambda *_: None, budget)
        if peer == "store read":
            return (await store.read_prefix("")).items[0].value
        if peer == "store watch":
            return (await store.watch_prefix("", 1, 0.6)).items[0].value
        if peer == "host":
            client = peerclient.PeerClient(session, lambda *_: None, budget)
            return (await client.fetch_changes(address, BEHIND)).items[0].value
        etcd = clients.StoreClient([f"http://{address}"], session)
        pair = await etcd.get_key("k")
        return pair.value if pair is not None else None


PEERS = ("store read", "store watch", "host", "etcd read")


# Guards against RECOVER and CONFIG: a host whose link is narrow gives up each
# transfer of a large configuration and begins it again.
@pytest.mark.parametrize("peer", PEERS)
async def test_large_answer_over_a_narrow_link_is_read(peer) -> None:
    async with open_link(serve_whole) as address:
        assert await fetch(peer, address) == VALUE


# Guards against hosts that wait on a peer that has fallen silent, or sends
# too little for the answer to end in time.
@pytest.mark.parametrize("serve", [serve_stalling, serve_trickling])
@pytest.mark.parametrize("peer", PEERS)
async def test_answer_that_makes_no_progress_is_given_up(peer, serve) -> None:
    async with open_link(serve) as address, asyncio.timeout(MAX_STALL_S):
        with pytest.raises(
            (store_exceptions.StoreUnavailableError, edge_exceptions.PeerError)
        ):
            await fetch(peer, address)


def test_progress_extends_the_limit_up_to_the_least_rate() -> None:
    assert transfers.measure_limit(1.0, 0) == 1.0
    received = 10 * transfers.MIN_BYTES_PER_S
    assert transfers.measure_limit(1.0, received) == 11.0
