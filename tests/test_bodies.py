"""Bodies of answers are read whole, up to a limit."""

from __future__ import annotations

import aiohttp
from aiohttp import web
import pytest

from cowslipshift import bodies
from cowslipshift.standins import portreservations

LIMIT = 200_000


async def read(size: int, chunked: bool) -> bytes:
    async def serve(request: web.Request) -> web.StreamResponse:
        if not chunked:
            return web.Response(body=b"z" * size)
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            for _ in range(size // 1000):
                await response.write(b"z" * 1000)
        except ConnectionError:
            pass
        return response

    application = web.Application()
    application.router.add_get("/", serve)
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    port = portreservations.reserve_ports(1)[0]
    await web.TCPSite(runner, "127.0.0.1", port).start()
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://127.0.0.1:{port}/") as response,
        ):
            budget = bodies.ByteBudget(2 * LIMIT)
            try:
                return await bodies.read_body(response, LIMIT, budget)
            finally:
                assert budget.used_bytes == 0
    finally:
        await runner.cleanup()


@pytest.mark.parametrize("chunked", [False, True])
async def test_body_up_to_the_limit_is_read_whole(chunked: bool) -> None:
    assert await read(LIMIT, chunked) == b"z" * LIMIT


@pytest.mark.parametrize("chunked", [False, True])
async def test_body_above_the_limit_is_an_error(chunked: bool) -> None:
    with pytest.raises(aiohttp.ClientPayloadError):
        await read(100 * LIMIT, chunked)
