"""Callers that send requests without waiting for the answers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest
from tests.edge import rawcaller

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SERVICE_S = 0.3
"""Time that a backend server takes for each request."""

ROW_LIMIT_S = 2 * SERVICE_S
"""Less than two requests take one after the other."""


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet(backends=4) as started:
        for backend in started.backends.values():
            backend.behaviour.service_s = SERVICE_S
            backend.behaviour.warm_factor = 1.0
        yield started


@pytest.fixture
async def caller(fleet) -> AsyncIterator[rawcaller.RawCaller]:
    async with rawcaller.RawCaller(fleet.hosts[0]) as connected:
        yield connected


def build_reads(count: int) -> list[bytes]:
    return [
        rawcaller.build_request(f"p{n}", affinity_key=str(n))
        for n in range(count)
    ]


async def test_requests_in_a_row_run_beside_each_other(fleet, caller) -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    caller.send(*build_reads(4))
    answers = [await caller.read_answer() for _ in range(4)]
    assert [answer.request_id for answer in answers] == [
        "p0",
        "p1",
        "p2",
        "p3",
    ]
    assert [answer.status for answer in answers] == [200] * 4
    assert loop.time() - started_s < ROW_LIMIT_S


async def test_answers_leave_in_the_order_of_the_requests(
    fleet, caller
) -> None:
    slow = await find_server_of(fleet, "slow")
    slow.behaviour.service_s = 0.5
    caller.send(
        rawcaller.build_request("first", affinity_key="slow"),
        *build_reads(3),
    )
    answers = [await caller.read_answer() for _ in range(4)]
    assert [a.request_id for a in answers] == ["first", "p0", "p1", "p2"]
    assert all(a.request_id.encode() in a.body for a in answers)


async def find_server_of(fleet, affinity_key):
    await fleet.send_request(request_id="probe", affinity_key=affinity_key)
    (found,) = [
        backend
        for backend in fleet.backends.values()
        if any(record.id == "probe" for record in backend.records)
    ]
    return found


async def test_fourth_request_in_a_row_has_the_time_since_it_was_read(
    fleet, caller
) -> None:
    caller.send(*build_reads(4))
    for _ in range(4):
        await caller.read_answer()
    (record,) = fleet.list_records("p3")
    left_ms = int(record.headers[names.DEADLINE_MS_HEADER])
    assert 800 - 150 < left_ms <= 800


async def test_time_spent_in_the_row_is_taken_off_the_deadline(
    fleet, caller
) -> None:
    caller.send(
        rawcaller.build_request("r"),
        rawcaller.build_request("w", is_write=True),
    )
    assert (await caller.read_answer()).request_id == "r"
    assert (await caller.read_answer()).request_id == "w"
    (record,) = fleet.list_records("w")
    left_ms = int(record.headers[names.DEADLINE_MS_HEADER])
    assert left_ms <= 800 - SERVICE_S * 1000


async def test_write_in_a_row_starts_after_the_answers_in_front(
    fleet, caller
) -> None:
    caller.send(
        rawcaller.build_request("r"),
        rawcaller.build_request("w", is_write=True),
    )
    await asyncio.sleep(SERVICE_S / 2)
    assert fleet.list_records("w") == []
    assert (await caller.read_answer()).status == 200
    assert (await caller.read_answer()).status == 200
    assert len(fleet.list_records("w")) == 1


async def test_at_most_a_named_number_runs_for_one_connection(
    fleet, caller
) -> None:
    for backend in fleet.backends.values():
        backend.behaviour.silent = True
    caller.send(*build_reads(20))
    await asyncio.sleep(SERVICE_S / 2)
    handler = fleet.hosts[0]._handler
    assert handler.in_flight == 8
    for _ in range(8):
        assert (await caller.read_answer()).status == 504


async def test_caller_that_leaves_cancels_its_whole_row(fleet, caller) -> None:
    caller.send(*build_reads(4))
    await platformfleet.wait_until(
        lambda: sum(len(b.records) for b in fleet.backends.values()) == 4
    )
    caller.abort()
    await platformfleet.wait_until(
        lambda: sum(b.cancelled_count for b in fleet.backends.values()) == 4
    )
    assert fleet.hosts[0]._handler.in_flight == 0


async def test_row_that_was_begun_is_answered_before_a_stop_closes(
    fleet, caller
) -> None:
    caller.send(*build_reads(4))
    await platformfleet.wait_until(
        lambda: sum(len(b.records) for b in fleet.backends.values()) == 4
    )
    stopping = asyncio.create_task(fleet.stop_host(fleet.hosts[0]))
    answers = [await caller.read_answer() for _ in range(4)]
    assert [answer.status for answer in answers] == [200] * 4
    assert [answer.closes for answer in answers] == [False] * 3 + [True]
    assert await caller.read_rest() == b""
    await stopping


async def test_nothing_behind_a_closing_answer_is_passed_on(
    fleet, caller
) -> None:
    fleet.hosts[0]._caller_server.is_closing = True
    caller.send(
        rawcaller.build_request("r"),
        rawcaller.build_request("w", is_write=True),
        rawcaller.build_request("r2", affinity_key="8"),
    )
    answers = [await caller.read_answer() for _ in range(3)]
    assert [(a.request_id, a.status, a.closes) for a in answers] == [
        ("r", 200, False),
        ("w", 200, False),
        ("r2", 200, True),
    ]
    caller.send(rawcaller.build_request("r3", affinity_key="9"))
    with contextlib.suppress(ConnectionError):
        assert await caller.read_rest() == b""
    assert fleet.list_records("r3") == []


async def test_nothing_behind_a_request_to_close_is_passed_on(
    fleet, caller
) -> None:
    caller.send(
        rawcaller.build_request("r", extra="Connection: close\r\n"),
        rawcaller.build_request("r2", affinity_key="8"),
    )
    assert (await caller.read_answer()).request_id == "r"
    assert await caller.read_rest() == b""
    assert fleet.list_records("r2") == []


async def test_malformed_request_behind_others_leaves_their_answers(
    fleet, caller
) -> None:
    caller.send(*build_reads(2), b"GET / HTTP/1.1\r\nHost : x\r\n\r\n")
    answers = [await caller.read_answer() for _ in range(3)]
    assert [answer.status for answer in answers] == [200, 200, 400]
    assert await caller.read_rest() == b""
