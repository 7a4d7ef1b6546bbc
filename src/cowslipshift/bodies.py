"""Bodies of HTTP messages: limits, and reading of answers up to one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable


UNREAD_BODY_STATUSES = (408, 413)
"""Refusals in front of a body that was not read to its end. What follows on
their connection may be the rest of that body, so it is closed."""


async def read_body(
    response: aiohttp.ClientResponse,
    limit: int,
    on_part: Callable[[int], None] = lambda size: None,
) -> bytes:
    """Read the complete body of an answer.

    Args:
        response: The answer; its connection is closed if it is too large.
        limit: Maximum size of the body, in bytes.
        on_part: Called with the size of each part that is kept; an error that
            it raises ends the reading.

    Raises:
        ClientPayloadError: The body is larger than the limit.
    """
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"the answer is larger than {limit} bytes"
            )
        on_part(len(part))
        parts.append(part)
    return b"".join(parts)
