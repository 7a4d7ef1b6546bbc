"""Requests for changes between hosts, over connections that may fail."""

from __future__ import annotations

import zlib

import aiohttp
from aiohttp import web
import msgspec
import pytest
from tests import silentrelay

from cowslipshift import bodies
from cowslipshift import connections
from cowslipshift.edge import changeserver
from cowslipshift.edge import messages
from cowslipshift.edge import peerclient
from cowslipshift.edge import replica as replicas
from cowslipshift.standins import portreservations
from cowslipshift.store import interface

REVISION = 9
BEHIND = interface.Position(0, 1)


async def serve_changes(request: web.Request) -> web.Response:
    found = messages.Changes(REVISION, False, ())
    return web.Response(body=messages.encode_changes(found))


# Guards against a host that asks another one again on a connection that is
# silent, so that it follows the store late.
async def test_fetch_after_a_silent_connection_uses_a_new_one() -> None:
    application = web.Application()
    application.router.add_get("/changes", serve_changes)
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    port = portreservations.reserve_ports(1)[0]
    await web.TCPSite(runner, "127.0.0.1", port).start()
    relay = silentrelay.SilentRelay(f"127.0.0.1:{port}")
    await relay.start()
    async with connections.open_control_session() as session:
        client = peerclient.PeerClient(
            session, lambda outcome, size: None, bodies.ByteBudget(1024)
        )
        await client.fetch_changes(relay.address, BEHIND)
        relay.silence()
        found = await client.fetch_changes(relay.address, BEHIND)
    assert found.revision == REVISION
    await relay.close()
    await runner.cleanup()


CONFIGURATION = msgspec.json.encode(
    [{"prefix": f"/fok{n:04}/", "timeout_ms": 1000} for n in range(2800)]
)


# Guards against hosts that fill each other's links with a configuration that
# compresses to a fraction of its size.
@pytest.mark.parametrize("accepted", ["deflate", "identity"])
async def test_changes_are_compressed_for_hosts_that_accept_it(
    accepted,
) -> None:
    replica = replicas.StoreReplica()
    item = interface.Item("op/config", CONFIGURATION, REVISION)
    replica.apply_changes([item], REVISION)
    application = web.Application()
    application.router.add_get(
        "/changes", changeserver.ChangeServer(replica).serve
    )
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    port = portreservations.reserve_ports(1)[0]
    await web.TCPSite(runner, "127.0.0.1", port).start()
    async with aiohttp.ClientSession(
        headers={"Accept-Encoding": accepted}
    ) as session:
        client = peerclient.PeerClient(
            session,
            lambda outcome, size: None,
            bodies.ByteBudget(bodies.MAX_CONTROL_BYTES),
        )
        address = f"127.0.0.1:{port}"
        found = await client.fetch_changes(address, interface.Position())
        async with session.get(f"http://{address}/changes") as response:
            sent_bytes = int(response.headers["Content-Length"])
    assert found.items == (item,)
    is_compressed = sent_bytes < len(CONFIGURATION) / 5
    assert is_compressed == (accepted == "deflate")
    await runner.cleanup()


def test_answer_that_is_kept_follows_the_replica() -> None:
    replica = replicas.StoreReplica()
    server = changeserver.ChangeServer(replica)
    for revision in (REVISION, REVISION + 1):
        item = interface.Item("op/config", b"%d" % revision, revision)
        replica.apply_changes([item], revision)
        raw, compressed = server._encode(BEHIND)
        assert messages.decode_changes(raw).items == (item,)
        assert zlib.decompress(compressed) == raw
