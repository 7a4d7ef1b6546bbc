"""Callers outside the limits end, hold up or fill no process.

No bound depends on the speed of the machine: a time limit only ends a test
run against a process that hangs.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.doors import crowds

PLATFORM_PORTS = ("front", "directory", "ready", "internal")
ALL_PORTS = (*PLATFORM_PORTS, "own callers", "own peers")

MAX_GROWTH_KB = 32 * 1024
MAX_DESCRIPTORS = 80
"""What the settings of the attacked process allow."""

MAX_TAKEN_BYTES = 24 * 1024 * 1024
"""Twice what the kernel holds for one connection that is not read."""

ENDLESS_BYTES = 32 * 1024 * 1024

OPENINGS = {"nothing": b"", "half a head": b"GET / HTTP/1.1\r\nHost: x\r\n"}
HEADS = 60
HEAD_BYTES = 900_000
IDLE = 100
ROWS = 8
ROW_BYTES = 256 * 1024
SILENT_READERS = 4
SILENT_READER_REQUESTS = 40_000


async def check_ordinary(attacked: crowds.Attacked) -> None:
    """Check that the process lives and answers one ordinary request."""
    assert await attacked.ask() == 200


@pytest.mark.parametrize("attacked", ALL_PORTS, indirect=True)
async def test_heads_over_the_limit_fill_no_memory(attacked) -> None:
    before = crowds.measure(attacked.pid)
    kind = crowds.build_kinds(attacked.path)["many lines"]
    async with crowds.open_crowd(attacked.address, HEADS) as crowd:
        for attacker in crowd:
            await attacker.send(kind, HEAD_BYTES)
        await check_ordinary(attacked)
        after = crowds.measure(attacked.pid)
    assert after.peak_kb - before.resident_kb < MAX_GROWTH_KB


@pytest.mark.parametrize("attacked", ALL_PORTS, indirect=True)
async def test_bytes_without_end_are_closed(attacked) -> None:
    before = crowds.measure(attacked.pid)
    kinds = crowds.build_kinds(attacked.path)
    del kinds["requests in a row"]
    async with crowds.open_crowd(attacked.address, len(kinds)) as crowd:
        by_kind = dict(zip(kinds, crowd, strict=True))
        await asyncio.gather(
            *(
                by_kind[name].send(kind, ENDLESS_BYTES)
                for name, kind in kinds.items()
            )
        )
        await check_ordinary(attacked)
        await asyncio.gather(*(a.wait_closed() for a in crowd))
        after = crowds.measure(attacked.pid)
    assert [n for n, a in by_kind.items() if not a.is_closed] == []
    assert [n for n, a in by_kind.items() if a.sent > MAX_TAKEN_BYTES] == []
    assert after.peak_kb - before.resident_kb < MAX_GROWTH_KB


@pytest.mark.parametrize("opening", OPENINGS.values(), ids=OPENINGS)
@pytest.mark.parametrize("attacked", PLATFORM_PORTS, indirect=True)
async def test_waiting_connections_leave_descriptors(
    attacked, opening
) -> None:
    kind = crowds.Kind(opening, b"x" * crowds.PART_BYTES)
    async with crowds.open_crowd(attacked.address, IDLE) as crowd:
        for attacker in crowd:
            await attacker.send(kind, len(opening))
        await check_ordinary(attacked)
        after = crowds.measure(attacked.pid)
    assert after.descriptors <= MAX_DESCRIPTORS


@pytest.mark.parametrize("attacked", PLATFORM_PORTS, indirect=True)
async def test_head_that_stops_is_closed(attacked) -> None:
    await check_stopped(attacked, OPENINGS["half a head"])


@pytest.mark.parametrize("attacked", ["front"], indirect=True)
async def test_connection_without_a_byte_is_closed(attacked) -> None:
    await check_stopped(attacked, b"")


async def check_stopped(attacked: crowds.Attacked, opening: bytes) -> None:
    kind = crowds.Kind(opening, b"x" * crowds.PART_BYTES)
    async with crowds.open_crowd(attacked.address, 1) as (attacker,):
        await attacker.send(kind, len(opening))
        assert await attacker.wait_closed()
    await check_ordinary(attacked)


@pytest.mark.parametrize("attacked", PLATFORM_PORTS, indirect=True)
async def test_head_that_arrives_byte_by_byte_is_closed(attacked) -> None:
    kind = crowds.Kind(b"GET / HTTP/1.1\r\nHost: x\r\nX: ", b"a")
    async with crowds.open_crowd(attacked.address, 1) as (attacker,):
        await attacker.drip(kind)
        assert attacker.is_closed
    await check_ordinary(attacked)


@pytest.mark.parametrize("attacked", PLATFORM_PORTS, indirect=True)
async def test_requests_in_a_row_fill_no_memory(attacked) -> None:
    before = crowds.measure(attacked.pid)
    kind = crowds.build_kinds(attacked.path)["requests in a row"]
    async with crowds.open_crowd(attacked.address, ROWS) as crowd:
        await asyncio.gather(
            *(attacker.send(kind, ROW_BYTES) for attacker in crowd)
        )
        await check_ordinary(attacked)
        after = crowds.measure(attacked.pid)
    assert after.peak_kb - before.resident_kb < MAX_GROWTH_KB


@pytest.mark.parametrize("attacked", PLATFORM_PORTS, indirect=True)
async def test_callers_that_never_read_are_closed(attacked) -> None:
    # The connection that it opens to a backend server is kept for others.
    await check_ordinary(attacked)
    before = crowds.measure(attacked.pid)
    request = f"GET {attacked.path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    row = crowds.Kind(request, request)
    async with crowds.open_crowd(
        attacked.address, SILENT_READERS, is_reading=False
    ) as crowd:
        sending = [
            asyncio.create_task(
                attacker.send(row, SILENT_READER_REQUESTS * len(request))
            )
            for attacker in crowd
        ]
        await check_ordinary(attacked)
        are_closed = await crowds.wait_descriptors(
            attacked.pid, before.descriptors
        )
        after = crowds.measure(attacked.pid)
        for task in sending:
            task.cancel()
    assert are_closed
    assert after.peak_kb - before.resident_kb < MAX_GROWTH_KB
    await check_ordinary(attacked)
