"""Streaming of replies in chunks, with bounded buffers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

    from cowslipshift.serving import calls


async def stream_reply(
    request: web.Request, response: web.StreamResponse, reply: calls.Reply
) -> web.StreamResponse:
    """Write a reply's body as it arrives.

    If the body breaks off, the connection is aborted, so that the receiver
    does not take a partial body for a complete one.

    Args:
        request: The request that is answered.
        response: The response to write, with status and headers set.
        reply: The source of the body; it is closed.
    """
    if reply.length is not None:
        response.content_length = reply.length
    try:
        await response.prepare(request)
        async for chunk in reply.iterate():
            await response.write(chunk)
        await response.write_eof()
    except BaseException:
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        await reply.close()
    return response
