"""Requests with bodies, in all forms that a caller may send them in."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests.edge import rawcaller

from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

BODY = b"first line\r\n\r\nsecond line, behind what looks like a head\r\n"
SEGMENT_PAUSE_S = 0.001

ROUTE_TIMEOUT_S = 0.8
HELD_S = 0.5
"""How long after its time-out a request may be without an answer (CONFIG)."""

CLOSING_FORMS = {
    "length": {"extra": "Connection: close\r\n"},
    "chunks": {"extra": "Connection: close\r\n", "is_chunked": True},
    "http-1.0": {"version": "1.0"},
    "http-1.0-close": {"version": "1.0", "extra": "Connection: close\r\n"},
}


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet(backends=1) as started:
        yield started


def split(content: bytes, way: str) -> list[bytes]:
    """Split a request into the segments in which it arrives."""
    head_bytes = content.index(b"\r\n\r\n") + 4
    if way == "whole":
        return [content]
    if way == "behind the head":
        return [content[:head_bytes], content[head_bytes:]]
    tail = content[head_bytes:]
    return [
        content[: head_bytes - 1],
        content[head_bytes - 1 : head_bytes],
        *(tail[at : at + 1] for at in range(len(tail))),
    ]


# Guards against a host that drops the body of a request that ends its
# connection, and waits for it without end.
@pytest.mark.parametrize("is_write", (True, False), ids=("write", "read"))
@pytest.mark.parametrize("way", ("whole", "behind the head", "in bytes"))
@pytest.mark.parametrize("form", CLOSING_FORMS)
async def test_request_with_a_body_that_closes_its_connection_is_answered(
    fleet, form, way, is_write
) -> None:
    content = rawcaller.build_request(
        "w", is_write, body=BODY, **CLOSING_FORMS[form]
    )
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        for segment in split(content, way):
            caller.send(segment)
            if way != "whole":
                await asyncio.sleep(SEGMENT_PAUSE_S)
        answer = await caller.read_answer()
        assert (answer.status, answer.request_id) == (200, "w")
        assert await caller.read_rest() == b""
    (record,) = fleet.list_records("w")
    assert record.body == BODY


async def test_body_that_closes_its_connection_may_follow_other_requests(
    fleet,
) -> None:
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(
            rawcaller.build_request("r"),
            rawcaller.build_request("w1", True, body=BODY),
            rawcaller.build_request(
                "w2", True, body=BODY, **CLOSING_FORMS["chunks"]
            ),
        )
        answers = [await caller.read_answer() for _ in range(3)]
        assert [a.request_id for a in answers] == ["r", "w1", "w2"]
        assert [a.status for a in answers] == [200] * 3
        assert await caller.read_rest() == b""
    assert [r.body for r in fleet.list_records("w2")] == [BODY]


@pytest.mark.parametrize("form", CLOSING_FORMS)
async def test_nothing_behind_a_body_that_closes_its_connection_is_passed_on(
    fleet, form
) -> None:
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(
            rawcaller.build_request(
                "w", True, body=BODY, **CLOSING_FORMS[form]
            ),
            rawcaller.build_request("r2", affinity_key="8"),
        )
        assert (await caller.read_answer()).request_id == "w"
        assert await caller.read_rest() == b""
    assert fleet.list_records("r2") == []


# Guards against a host that waits without end for a body that stopped.
@pytest.mark.parametrize("is_write", (True, False), ids=("write", "read"))
@pytest.mark.parametrize("is_chunked", (True, False))
@pytest.mark.parametrize("deadline_ms", (300, 2000))
async def test_body_that_stops_arriving_is_refused_as_not_run_in_time(
    fleet, deadline_ms, is_chunked, is_write
) -> None:
    content = rawcaller.build_request(
        "w",
        is_write,
        deadline_ms=str(deadline_ms),
        body=BODY,
        is_chunked=is_chunked,
    )
    started_s = time.monotonic()
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(content[: -len(BODY) // 2])
        answer = await caller.read_answer()
        took_s = time.monotonic() - started_s
        assert (answer.status, answer.closes) == (408, True)
        assert msgspec.json.decode(answer.body) == {"error": "body_late"}
        assert took_s < min(deadline_ms / 1000, ROUTE_TIMEOUT_S) + HELD_S
        # What arrives now is neither run nor taken for another request.
        caller.send(content[-len(BODY) // 2 :], rawcaller.build_request("r"))
        assert await caller.read_rest() == b""
    assert fleet.list_records("w") == fleet.list_records("r") == []
    assert fleet.hosts[0]._handler.in_flight == 0


async def test_body_that_stops_arriving_delays_no_other_connection(
    fleet,
) -> None:
    async with (
        rawcaller.RawCaller(fleet.hosts[0]) as stopped,
        rawcaller.RawCaller(fleet.hosts[0]) as other,
    ):
        stopped.send(rawcaller.build_request("w", True, body=BODY)[:-1])
        other.send(rawcaller.build_request("r"))
        assert (await other.read_answer()).status == 200
        assert (await stopped.read_answer()).status == 408


# Guards against a caller that waits to be asked for its body, and a host that
# waits for the body.
@pytest.mark.parametrize("is_chunked", (True, False))
async def test_caller_that_waits_to_be_asked_for_its_body_is_asked(
    fleet, is_chunked
) -> None:
    content = rawcaller.build_request(
        "w",
        True,
        body=BODY,
        is_chunked=is_chunked,
        extra="Expect: 100-continue\r\n",
    )
    head, body = split(content, "behind the head")
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(rawcaller.build_request("r"), head)
        assert (await caller.read_answer()).request_id == "r"
        assert await caller.read_head() == "HTTP/1.1 100 Continue"
        caller.send(body)
        answer = await caller.read_answer()
        assert (answer.status, answer.request_id) == (200, "w")
    (record,) = fleet.list_records("w")
    assert record.body == BODY


@pytest.mark.parametrize(
    "fields",
    ({}, {"version": "1.0"}),
    ids=("sent at once", "http-1.0"),
)
async def test_caller_that_does_not_wait_is_not_asked_for_its_body(
    fleet, fields
) -> None:
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(
            rawcaller.build_request(
                "w",
                True,
                body=BODY,
                extra="Expect: 100-continue\r\n",
                **fields,
            )
        )
        assert (await caller.read_answer()).status == 200
