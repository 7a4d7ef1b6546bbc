"""Requests for changes between hosts, over connections that may fail."""

from __future__ import annotations

from aiohttp import web
from tests import silentrelay

from cowslipshift import bodies
from cowslipshift import connections
from cowslipshift.edge import messages
from cowslipshift.edge import peerclient
from cowslipshift.standins import portreservations

REVISION = 9


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
        await client.fetch_changes(relay.address, 1)
        relay.silence()
        found = await client.fetch_changes(relay.address, 1)
    assert found.revision == REVISION
    await relay.close()
    await runner.cleanup()
