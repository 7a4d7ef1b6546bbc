"""Bodies of answers are read whole or by line, up to a limit."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import pytest

from cowslipshift import bodies
from cowslipshift.standins import portreservations

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

LIMIT = 200_000
LINE_LIMIT = 100


@contextlib.asynccontextmanager
async def open_answer(
    serve: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Request an answer of a server and close both."""
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
            yield response
    finally:
        await runner.cleanup()


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

    budget = bodies.ByteBudget(2 * LIMIT)
    async with open_answer(serve) as response:
        try:
            return await bodies.read_body(response, LIMIT, budget)
        finally:
            assert budget.used_bytes == 0


@pytest.mark.parametrize("chunked", [False, True])
async def test_body_up_to_the_limit_is_read_whole(chunked: bool) -> None:
    assert await read(LIMIT, chunked) == b"z" * LIMIT


@pytest.mark.parametrize("chunked", [False, True])
async def test_body_above_the_limit_is_an_error(chunked: bool) -> None:
    with pytest.raises(aiohttp.ClientPayloadError):
        await read(100 * LIMIT, chunked)


async def read_lines(*parts: bytes) -> list[bytes]:
    async def serve(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for part in parts:
            await response.write(part)
            await asyncio.sleep(0.01)
        return response

    budget = bodies.ByteBudget(LIMIT)
    async with open_answer(serve) as response:
        try:
            lines = bodies.iterate_lines(response, LINE_LIMIT, budget)
            return [line async for line in lines]
        finally:
            assert budget.used_bytes == 0


@pytest.mark.parametrize(
    ("parts", "lines"),
    [
        ((b"one\ntwo\n",), [b"one", b"two"]),
        ((b"\n\n \none\n\r\n\n", b"two\n"), [b"one", b"two"]),
        ((b"o", b"ne\nt", b"w", b"o"), [b"one", b"two"]),
        ((b"one", b"\n", b"\n", b"\ntwo\n", b" "), [b"one", b"two"]),
        ((b"x" * 100, b"\n", b"y" * 100 + b"\n"), [b"x" * 100, b"y" * 100]),
    ],
)
async def test_lines_arrive_whole_however_they_are_cut(parts, lines) -> None:
    assert await read_lines(*parts) == lines


@pytest.mark.parametrize(
    "parts", [(b"x" * 101,), (b"x" * 101 + b"\n",), (b"x" * 60, b"x" * 60)]
)
async def test_line_above_the_limit_is_an_error(parts) -> None:
    with pytest.raises(aiohttp.ClientPayloadError):
        await read_lines(*parts)
