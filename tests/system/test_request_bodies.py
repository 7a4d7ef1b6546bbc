"""Requests with bodies through real daemons, in all forms of HTTP/1.1."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests import builders

if TYPE_CHECKING:
    from cowslipshift.standins import localfleet

A1 = "north-a-1"
READ_LIMIT_S = 5.0


# Guards against a host that drops the body of a request that ends its
# connection, and waits for it without end.
@pytest.mark.parametrize("version", ("1.0", "1.1"))
async def test_request_with_a_body_that_closes_its_connection_is_answered(
    fleet: localfleet.LocalFleet, version: str
) -> None:
    host, port = fleet.hosts[A1].url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST /v1/services/catalogue/x HTTP/{version}\r\nHost: a\r\n"
        f"Authorization: Bearer {builders.ACCOUNT}-key\r\n"
        "Connection: close\r\nContent-Length: 5\r\n\r\nhello".encode()
    )
    async with asyncio.timeout(READ_LIMIT_S):
        answer = await reader.read()
    assert answer.split()[1] == b"200"
    assert answer.endswith(b"\r\n\r\nhello")
    writer.close()
