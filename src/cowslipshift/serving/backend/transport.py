"""HTTP client sessions for backend servers and other hosts."""

from __future__ import annotations

import aiohttp

from cowslipshift import bodies
from cowslipshift import connections

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 30.0

SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


class Sessions:
    """A pooled session, and one that opens a connection for each request.

    Requests that must run at most once use a new connection: a pooled one
    may have stalled or be closing, which looks like a lost answer.

    Args:
        source_address: Local IP number to connect from, or ``None``.

    Attributes:
        budget: Counts the answers that are read as a whole.
    """

    def __init__(self, source_address: str | None = None) -> None:
        self.budget = bodies.ByteBudget(bodies.MAX_BUFFERED_BYTES)
        self.pooled = _open_session(source_address, force_close=False)
        self.fresh = _open_session(source_address, force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.fresh.close()


def _open_session(
    source_address: str | None, force_close: bool
) -> aiohttp.ClientSession:
    local = (source_address, 0) if source_address else None
    if force_close:
        connector = connections.GuardedConnector(
            force_close=True, local_addr=local
        )
    else:
        connector = connections.GuardedConnector(
            keepalive_timeout=KEEPALIVE_S, local_addr=local
        )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
    )
    connections.disable_resending(session)
    return session
