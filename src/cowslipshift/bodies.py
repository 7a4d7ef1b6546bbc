"""Bodies of HTTP messages: limits, and reading of answers up to one."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    import contextlib


_LINE_ENDS = re.compile(rb"\n\s*")
"""The end of a line, with the blank lines behind it."""

UNREAD_BODY_STATUSES = (408, 413)
"""Refusals in front of a body that was not read to its end. What follows on
their connection may be the rest of that body, so it is closed."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest body of a backend server's answer that is read as a whole."""

MAX_BUFFERED_BYTES = 64 * 1024 * 1024
"""Bytes of all answers of backend servers, or of other hosts in their name,
that are being read; hosts have 200 MB and more."""

MAX_CONTROL_BYTES = 32 * 1024 * 1024
"""Bytes of all answers of the store and of other hosts that are being read:
several times a page, or the items of a store with 10,000 entries."""


class ByteBudget:
    """Bytes that several answers which are being read may hold together.

    Args:
        limit: Maximum number of bytes.

    Attributes:
        used_bytes: Bytes in use.
    """

    __slots__ = ("_limit", "used_bytes")

    def __init__(self, limit: int) -> None:
        self.used_bytes = 0
        self._limit = limit

    def take(self, size: int) -> None:
        """Count bytes as used.

        Raises:
            ClientPayloadError: There are not as many left.
        """
        if self.used_bytes + size > self._limit:
            raise aiohttp.ClientPayloadError(
                f"all answers are larger than {self._limit} bytes"
            )
        self.used_bytes += size

    def give_back(self, size: int) -> None:
        """Count bytes as free again."""
        self.used_bytes -= size


async def read_body(
    response: aiohttp.ClientResponse,
    limit: int,
    budget: ByteBudget,
    on_progress: Callable[[int], None] = lambda size: None,
) -> bytes:
    """Read the complete body of an answer.

    Args:
        response: The answer; its connection is closed if it is too large.
        limit: Maximum size of the body, in bytes.
        budget: Counts the body while it is being read.
        on_progress: Called with the bytes read so far after each part.

    Raises:
        ClientPayloadError: The body is larger than the limit, or than what
            the budget has left.
    """
    parts = []
    size = 0
    try:
        async for part in response.content.iter_any():
            _check_size(size + len(part), limit)
            budget.take(len(part))
            size += len(part)
            parts.append(part)
            on_progress(size)
    except aiohttp.ClientPayloadError:
        response.close()
        raise
    finally:
        budget.give_back(size)
    return b"".join(parts)


async def iterate_lines(
    response: aiohttp.ClientResponse, limit: int, budget: ByteBudget
) -> AsyncIterator[bytes]:
    """Yield the lines of a body as they arrive, without those that are blank.

    Args:
        response: The answer; its connection is closed if a line is too large.
        limit: Maximum size of a line, in bytes.
        budget: Counts the line that is being read.

    Raises:
        ClientPayloadError: A line is larger than the limit, or than what the
            budget has left.
    """
    line = b""
    try:
        async for part in response.content.iter_any():
            *lines, rest = _LINE_ENDS.split(line + part)
            for whole in filter(bytes.strip, lines):
                _check_size(len(whole), limit)
                yield whole
            _check_size(len(rest), limit)
            budget.give_back(len(line))
            line = b""
            budget.take(len(rest))
            line = rest
        if line.strip():
            yield line
    except aiohttp.ClientPayloadError:
        response.close()
        raise
    finally:
        budget.give_back(len(line))


def limit_time(
    response: aiohttp.ClientResponse,
    remaining_s: float,
    stack: contextlib.AsyncExitStack,
) -> None:
    """End an answer if its body is still being read after some time.

    Args:
        response: The answer.
        remaining_s: Seconds until then.
        stack: Ends the limit when it is closed.
    """
    loop = asyncio.get_running_loop()
    handle = loop.call_later(remaining_s, _expire, response)
    stack.callback(handle.cancel)


def _expire(response: aiohttp.ClientResponse) -> None:
    response.content.set_exception(
        aiohttp.ServerTimeoutError("the body was not complete in time")
    )
    response.close()


def _check_size(size: int, limit: int) -> None:
    if size > limit:
        raise aiohttp.ClientPayloadError(
            f"the answer is larger than {limit} bytes"
        )
