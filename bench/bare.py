"""Bare aiohttp handler, the baseline of the look-up measurement."""

from __future__ import annotations

import asyncio
import sys

from aiohttp import web
import uvloop

from cowslipshift.standins import runner

BODY = b"x" * 400


async def answer(request: web.Request) -> web.Response:
    """Answer with a constant body."""
    return web.Response(body=BODY, content_type="application/json")


def build() -> web.Application:
    """Build the HTTP application."""
    application = web.Application()
    application.router.add_get("/v1/lookup", answer)
    return application


def main() -> None:
    """Serve on the port given as the only argument."""
    uvloop.install()
    port = int(sys.argv[1])
    asyncio.run(runner.serve_until_signal(build, "127.0.0.1", port))


if __name__ == "__main__":
    main()
