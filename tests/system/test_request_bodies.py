"""Requests with bodies through real daemons, in all forms of HTTP/1.1."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from cowslipshift.peers import credentials
from cowslipshift.serving import calls
from cowslipshift.serving.backend import wire
from cowslipshift.standins import localfleet
from tests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

A1 = "north-a-1"
DEADLINE_MS = "600"
READ_LIMIT_S = 5.0
ANSWER_LIMIT_S = 0.6 + 0.5
STREAMED_BYTES = 200_000
"""More than a host buffers, less than a service takes."""


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


async def send_stopping(size: int) -> AsyncIterator[bytes]:
    """Yield a body of some bytes, and then nothing more."""
    yield b"x" * size
    await asyncio.sleep(3600.0)


# Guards against a host that waits without end for a body that stopped.
@pytest.mark.parametrize("size", (5, STREAMED_BYTES))
@pytest.mark.parametrize("service", ("catalogue", "approvals"))
async def test_body_that_stops_arriving_is_refused_in_time(
    fleet: localfleet.LocalFleet, service: str, size: int
) -> None:
    headers = builders.build_headers(
        X_Request_Timeout_Ms=DEADLINE_MS, Idempotency_Key=builders.make_key()
    )
    started_s = time.monotonic()
    async with (
        asyncio.timeout(READ_LIMIT_S),
        fleet.session.post(
            f"{fleet.hosts[A1].url}/v1/services/{service}/orders",
            headers=headers,
            data=send_stopping(size),
        ) as response,
    ):
        status = response.status
        raw = await response.read()
    assert time.monotonic() - started_s < ANSWER_LIMIT_S
    if service == "catalogue" and size == STREAMED_BYTES:
        # Its beginning was streamed to a server.
        assert status in (502, 504)
        return
    assert (status, b"body_late" in raw, b'"not_run":true' in raw) == (
        408,
        True,
        True,
    )
    stats = await fleet.fetch_backends()
    assert all(row["requests"] == 0 for row in stats.values())


# Guards against a host that waits without end for a body that another host,
# which may be gone, does not send on.
async def test_body_that_another_host_stops_sending_is_refused_in_time(
    fleet: localfleet.LocalFleet,
) -> None:
    headers = build_forwarded_headers(timeout_s=float(DEADLINE_MS) / 1000)
    started_s = time.monotonic()
    async with (
        asyncio.timeout(READ_LIMIT_S),
        fleet.session.post(
            f"http://{fleet.hosts[A1].peer}/peer/forward/approvals/orders",
            headers=headers,
            data=send_stopping(5),
        ) as response,
    ):
        raw = await response.read()
    assert time.monotonic() - started_s < ANSWER_LIMIT_S
    assert (response.status, b"body_late" in raw) == (408, True)
    stats = await fleet.fetch_backends()
    assert all(row["requests"] == 0 for row in stats.values())


def build_forwarded_headers(timeout_s: float) -> dict[str, str]:
    """Build the headers of an order that another host forwards."""
    call = builders.build_call(id="forwarded")
    headers = wire.build_headers(
        call,
        remaining_s=timeout_s,
        purpose=wire.PURPOSE_KEYED,
        scope=calls.Scope.HOST,
        attempt="a" * 32,
        incarnation=0,
        wall_s=time.time(),
    )
    headers[credentials.HEADER] = credentials.sign_credential(
        localfleet.SECRET, "north-a-2", time.time()
    )
    return headers
