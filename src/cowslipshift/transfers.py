"""Answers that may take as long as they go on arriving.

A limit for a whole call would have to fit the largest answer on the narrowest
link. One that is too short ends transfers that would have succeeded, and their
repetitions fill the link. The limits here are for the first byte, for pauses,
and for the average rate, which ends an answer that trickles in.
"""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from cowslipshift import bodies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

MIN_BYTES_PER_S = 32 * 1024
"""Least average rate of an answer; the narrowest links of hosts carry 20 times
as much."""


class Answer(msgspec.Struct, frozen=True):
    """A complete answer.

    Attributes:
        headers: Its headers; names in any case.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


_UNLIMITED = aiohttp.ClientTimeout(total=None)


def measure_limit(first_byte_s: float, size: int) -> float:
    """Return how long a call may take in all.

    Args:
        first_byte_s: Time limit without a body.
        size: Bytes of the body that were sent, or have arrived so far.
    """
    return first_byte_s + size / MIN_BYTES_PER_S


async def fetch_body(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    first_byte_s: float,
    pause_s: float,
    budget: bodies.ByteBudget,
    **options: Any,
) -> Answer:
    """Call a peer and read its whole answer, as long as it makes progress.

    Args:
        session: HTTP session to use.
        method: HTTP method.
        url: URL of the call.
        first_byte_s: Time limit until the body begins to arrive, which
            includes the time that the peer may wait for something.
        pause_s: Longest pause in the body.
        budget: Counts the body while it is being read.
        options: Options of aiohttp's requests.

    Raises:
        TimeoutError: The answer made no progress.
        ClientError: The connection failed, or the answer is too large.
        OSError: The connection failed.
    """
    async with asyncio.timeout(first_byte_s) as limit:
        extend = _build_extension(limit, first_byte_s, pause_s)
        async with session.request(
            method, url, timeout=_UNLIMITED, **options
        ) as response:
            body = await bodies.read_body(
                response, bodies.MAX_CONTROL_BYTES, budget, extend
            )
            return Answer(response.status, response.headers, body)


def _build_extension(
    limit: asyncio.Timeout, first_byte_s: float, pause_s: float
) -> Callable[[int], None]:
    """Return what extends a limit when more of an answer has arrived."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()

    def extend(received_bytes: int) -> None:
        until_s = min(
            loop.time() + pause_s,
            started_s + measure_limit(first_byte_s, received_bytes),
        )
        limit.reschedule(max(until_s, started_s + first_byte_s))

    return extend
