"""Idle connections to servers that close or forget them (`idle_race`)."""

from __future__ import annotations

import asyncio
import contextlib
import uuid

import pytest
from tests.edge import faultyserver

from cowslipshift import connections
from cowslipshift.edge import exceptions
from cowslipshift.edge import idlelimits
from cowslipshift.edge import upstream

ADDRESS = "10.0.0.1:80"


def accept(headers) -> bool:
    return True


async def send(client, server, timeout_s=2.0):
    return await client.send(
        server.address,
        "GET",
        "/x",
        [("Host", "a")],
        None,
        timeout_s,
        accept,
        connections.Exchange(uuid.uuid4().hex),
    )


def build_answer(keep_alive: str) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nKeep-Alive: {keep_alive}\r\n"
        "Content-Length: 2\r\n\r\nok"
    ).encode()


@pytest.mark.parametrize(
    ("keep_alive", "limit_s"),
    [
        (None, idlelimits.DEFAULT_LIMIT_S),
        ("", idlelimits.DEFAULT_LIMIT_S),
        ("max=3", idlelimits.DEFAULT_LIMIT_S),
        ("timeout=soon", idlelimits.DEFAULT_LIMIT_S),
        ("timeout=10", 8.0),
        ("max=9, Timeout = 2", 1.6),
        ("timeout=0", 0.0),
    ],
)
def test_connection_is_idle_for_less_than_the_server_states(
    keep_alive, limit_s
) -> None:
    limits = idlelimits.IdleLimits()
    assert limits.get_limit(ADDRESS, keep_alive, 0.0) == limit_s


def test_server_that_forgets_earlier_than_it_states_is_remembered() -> None:
    limits = idlelimits.IdleLimits()
    limits.record_failure(ADDRESS, 3.0, 100.0)
    assert limits.get_limit(ADDRESS, "timeout=10", 101.0) == 1.5
    assert limits.get_limit("10.0.0.2:80", "timeout=10", 101.0) == 8.0
    later = 100.0 + idlelimits.FAILURE_MEMORY_S
    assert limits.get_limit(ADDRESS, "timeout=10", later) == 8.0


def test_memory_of_failures_is_bounded() -> None:
    limits = idlelimits.IdleLimits()
    for number in range(idlelimits.MAX_SERVERS + 5):
        limits.record_failure(f"s{number}", 3.0, 0.0)
    assert limits.get_limit("s0", None, 0.0) == idlelimits.DEFAULT_LIMIT_S
    assert limits.get_limit("s5", None, 0.0) == 1.5


@pytest.mark.parametrize(("idle_s", "connections"), [(0.3, 1), (0.9, 2)])
async def test_connection_is_used_again_within_the_stated_time(
    idle_s, connections
) -> None:
    step = faultyserver.Step(build_answer("timeout=1"))
    async with faultyserver.FaultyServer(lambda *_: [step]) as server:
        client = upstream.UpstreamClient()
        await send(client, server)
        await asyncio.sleep(idle_s)
        await send(client, server)
        await client.close()
    assert server.connections == connections


# Guards against answers lost again and again at a server that forgets idle
# connections earlier than it says.
async def test_second_request_avoids_a_forgotten_connection() -> None:
    def script(headers, number):
        if number == 1:
            return [faultyserver.Step(b"", ends="reset")]
        return [faultyserver.Step(build_answer("timeout=30"))]

    async with faultyserver.FaultyServer(script) as server:
        client = upstream.UpstreamClient()
        await send(client, server)
        await asyncio.sleep(0.3)
        with pytest.raises(exceptions.AnswerLostError):
            await send(client, server)
        await send(client, server)
        await asyncio.sleep(0.3)
        await send(client, server)
        await client.close()
    assert server.connections == 3


async def test_caller_that_leaves_is_no_sign_of_a_forgotten_connection() -> (
    None
):
    def script(headers, number):
        delay_s = 5.0 if number == 1 else 0.0
        return [faultyserver.Step(build_answer("timeout=30"), delay_s)]

    async with faultyserver.FaultyServer(script) as server:
        client = upstream.UpstreamClient()
        await send(client, server)
        await asyncio.sleep(0.2)
        with contextlib.suppress(exceptions.AnswerLostError):
            await send(client, server, timeout_s=0.1)
        await send(client, server)
        await asyncio.sleep(0.3)
        await send(client, server)
        await client.close()
    assert server.connections == 2
