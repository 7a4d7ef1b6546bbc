"""Malformed requests of callers; each gets a coded answer, nothing leaks."""

from __future__ import annotations

import gzip
import random
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests.edge import daemons
from tests.edge import rawcaller

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

SECRET = "Secret-0123456789"
MUTATED_REQUESTS = 150

KEY_LINE = f"{names.API_KEY_HEADER}: {SECRET}"
MALFORMED = {
    "bare LF": f"GET / HTTP/1.1\nHost: x\n{KEY_LINE}\n\n",
    "space before colon": f"GET / HTTP/1.1\r\n{KEY_LINE}\r\nX : y\r\n\r\n",
    "unknown version": f"GET /?{SECRET} HTTP/9.9\r\n\r\n",
    "bad chunk": (
        f"POST / HTTP/1.1\r\nHost: x\r\n{KEY_LINE}\r\n"
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nzz\r\n"
    ),
    "no text": f"\x16\x03\x01{SECRET}\r\n\r\n",
}


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet(backends=1) as started:
        yield started


@pytest.mark.parametrize(
    "deadline_ms", ["nan", "inf", "-inf", "-1", "soon", "1e999"]
)
async def test_malformed_deadline_is_refused_with_a_code(
    fleet, deadline_ms
) -> None:
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(rawcaller.build_request("r", deadline_ms=deadline_ms))
        answer = await caller.read_answer()
        assert answer.status == 400
        assert msgspec.json.decode(answer.body) == {
            "error": "deadline_malformed"
        }
        caller.send(rawcaller.build_request("r2"))
        assert (await caller.read_answer()).status == 200
    assert fleet.list_records("r") == []


@pytest.mark.parametrize("kind", MALFORMED)
async def test_malformed_head_is_answered_without_its_bytes(
    fleet, kind
) -> None:
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(MALFORMED[kind].encode("latin-1"))
        answer = await caller.read_answer()
        rest = await caller.read_rest()
    assert (answer.status, answer.closes) == (400, True)
    assert msgspec.json.decode(answer.body) == {"error": "request_malformed"}
    assert SECRET.encode() not in answer.body + rest


async def test_connection_header_cannot_take_the_request_id_away(
    fleet,
) -> None:
    extra = f"Connection: {names.REQUEST_ID_HEADER}\r\n"
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(rawcaller.build_request("r", extra=extra))
        answer = await caller.read_answer()
    assert (answer.status, answer.request_id) == (200, "r")
    assert len(fleet.list_records("r")) == 1


async def test_encoded_body_is_passed_on_as_it_is(fleet) -> None:
    body = gzip.compress(b"order " * 100)
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(
            rawcaller.build_request(
                "w",
                is_write=True,
                extra="Content-Encoding: gzip\r\n",
                body=body,
            )
        )
        assert (await caller.read_answer()).status == 200
    (record,) = fleet.list_records("w")
    assert record.body == body


async def test_log_holds_no_key_and_no_traceback(
    fleet, tmp_path: pathlib.Path
) -> None:
    daemon = daemons.Daemon(fleet)
    await daemon.start(tmp_path, "host-9", "north-a")
    await daemon.wait_ready()
    for kind, content in MALFORMED.items():
        async with rawcaller.RawCaller(daemon) as caller:
            caller.send(content.encode("latin-1"))
            assert (await caller.read_answer()).status == 400, kind
    assert await daemon.stop() == 0
    text = daemon.log.read_text()
    assert text.count("code=request_malformed") == len(MALFORMED)
    assert SECRET not in text
    assert "Traceback" not in text
    assert all(" event=" in line for line in text.splitlines())


@pytest.mark.parametrize("seed", range(2))
async def test_host_outlives_mutated_requests(fleet, seed) -> None:
    draw = random.Random(seed)
    for _ in range(MUTATED_REQUESTS):
        content = bytearray(
            rawcaller.build_request("m", draw.random() < 0.5, body=b"body")
        )
        for _ in range(draw.randrange(1, 6)):
            position = draw.randrange(len(content))
            if draw.random() < 0.5:
                content[position] = draw.randrange(256)
            else:
                del content[position : position + draw.randrange(1, 9)]
        async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
            caller.send(bytes(content) + b"\r\n\r\n")
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(rawcaller.build_request("last"))
        assert (await caller.read_answer()).status == 200
    await platformfleet.wait_until(
        lambda: fleet.hosts[0]._handler.in_flight == 0
    )
