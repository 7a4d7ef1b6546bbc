"""Requests in any framing that HTTP allows, against real hosts.

Guards against hosts that take the end of a head for the end of a request, or
the other way round: each request gets one answer, its own, and its body
arrives unchanged.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest
from tests.edge import rawcaller

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SEQUENCES = 25
MAX_REQUESTS = 4
SPECIAL_PARTS = (b"\r\n\r\n", b"0\r\n\r\n", b"GET / HTTP/1.1\r\n", b"\r\n")
BODY_SIZES = (0, 1, 2, 17, 1000, 70_000)
MAX_SEGMENTS = 6
SEGMENT_PAUSE_S = 0.001


class Request:
    """One request of a sequence, in a framing drawn at random.

    Attributes:
        closes: Whether it ends its connection.
        waits: Whether the caller waits to be asked for the body.
    """

    def __init__(self, draw: random.Random, identity: str) -> None:
        self.id = identity
        self.is_write = draw.random() < 0.5
        self.body = _draw_body(draw)
        self.closes = draw.random() < 0.2
        self.waits = bool(self.body) and draw.random() < 0.2
        version, connection = "1.1", ""
        if draw.random() < 0.2 and not self.waits:
            version = "1.0"
            connection = "" if self.closes else "keep-alive"
        elif self.closes:
            connection = draw.choice(("close", "Close", "x-other, close"))
        is_chunked = version == "1.1" and draw.random() < 0.5
        framing = (
            "Transfer-Encoding: chunked"
            if is_chunked
            else f"Content-Length: {len(self.body)}"
        )
        lines = [
            f"POST {self._choose_path()} HTTP/{version}",
            f"Host: {platformfleet.HOSTNAME}",
            f"{names.REQUEST_ID_HEADER}: {identity}",
            f"{names.DEADLINE_MS_HEADER}: 5000",
            f"{names.API_KEY_HEADER}: {platformfleet.API_KEY}",
            framing,
        ]
        if connection:
            lines.append(f"Connection: {connection}")
        if self.waits:
            lines.append("Expect: 100-continue")
        self.head = "\r\n".join([*lines, "", ""]).encode()
        self.content = _chunk(draw, self.body) if is_chunked else self.body

    def _choose_path(self) -> str:
        prefix = (
            platformfleet.WRITE_PATH
            if self.is_write
            else platformfleet.READ_PATH
        )
        return f"{prefix}{self.id}"


def _draw_body(draw: random.Random) -> bytes:
    body = draw.randbytes(draw.choice(BODY_SIZES))
    if body and draw.random() < 0.5:
        body += draw.choice(SPECIAL_PARTS) + body[: draw.randrange(len(body))]
    return body


def _chunk(draw: random.Random, body: bytes) -> bytes:
    parts = []
    while body:
        size = draw.randrange(1, len(body) + 1)
        extension = draw.choice((b"", b";a=b", b';q="x"'))
        parts.append(b"%X%b\r\n%b\r\n" % (size, extension, body[:size]))
        body = body[size:]
    trailer = draw.choice((b"", b"X-Sum: 1\r\n"))
    return b"".join(parts) + b"0\r\n" + trailer + b"\r\n"


async def _send(
    caller: rawcaller.RawCaller, draw: random.Random, content: bytes
) -> None:
    """Send bytes in segments that are cut at random."""
    cuts = sorted(
        draw.randrange(len(content) + 1)
        for _ in range(draw.randrange(MAX_SEGMENTS))
    )
    for start, end in zip([0, *cuts], [*cuts, len(content)], strict=True):
        caller.send(content[start:end])
        await asyncio.sleep(draw.choice((0.0, SEGMENT_PAUSE_S)))


async def play(
    fleet: platformfleet.PlatformFleet, draw: random.Random, name: str
) -> None:
    """Send some requests in a row on one connection, and check the answers."""
    requests = []
    for number in range(draw.randrange(1, MAX_REQUESTS + 1)):
        requests.append(Request(draw, f"{name}-{number}"))
        if requests[-1].closes or requests[-1].waits:
            break
    last = requests[-1]
    host = draw.choice(fleet.hosts)
    async with rawcaller.RawCaller(host) as caller:
        unsent = b"".join(r.head + r.content for r in requests[:-1])
        unsent += last.head if last.waits else last.head + last.content
        await _send(caller, draw, unsent)
        for request in requests[:-1]:
            assert (await caller.read_answer()).request_id == request.id
        if last.waits:
            assert await caller.read_head() == "HTTP/1.1 100 Continue"
            await _send(caller, draw, last.content)
        answer = await caller.read_answer()
        assert answer.request_id == last.id
        if last.closes:
            assert await caller.read_rest() == b""
    for request in requests:
        (record,) = fleet.list_records(request.id)
        assert record.body == request.body


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet(backends=1) as started:
        for backend in started.backends.values():
            backend.behaviour.service_s = 0.0
        yield started


@pytest.mark.parametrize("seed", range(4))
async def test_each_request_gets_its_own_answer_in_any_framing(
    fleet, seed
) -> None:
    draw = random.Random(seed)
    for number in range(SEQUENCES):
        await play(fleet, draw, f"{seed}-{number}")
    assert all(host._handler.in_flight == 0 for host in fleet.hosts)


FULL_HEAD = "".join(f"X-{n}: {'a' * 3900}\r\n" for n in range(4))
"""With the other headers, close to the limit of the configuration."""


@pytest.mark.parametrize("blanks", [b"", b"\r\n" * 3])
@pytest.mark.parametrize(
    ("extra", "step"),
    [("", 1), ("", 7), (FULL_HEAD, 61), (FULL_HEAD, 4096), (FULL_HEAD, 10**6)],
    ids=["1", "7", "full 61", "full 4096", "full at once"],
)
async def test_single_request_within_the_limits_is_served_in_any_split(
    fleet, extra, blanks, step
) -> None:
    request = blanks + rawcaller.build_request(
        "r",
        is_write=True,
        body=b"\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        extra=extra,
        is_chunked=True,
        deadline_ms="20000",
    )
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        for start in range(0, len(request), step):
            caller.send(request[start : start + step])
            await asyncio.sleep(0)
        answer = await caller.read_answer()
    assert (answer.status, answer.request_id) == (200, "r")


async def test_head_with_many_lines_is_parsed(fleet) -> None:
    lines = "".join(f"a{n}:\r\n" for n in range(1000))
    head = f"GET /lost HTTP/1.1\r\nHost: x\r\n{lines}\r\n"
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        caller.send(head.encode(), rawcaller.build_request("r"))
        assert (await caller.read_answer()).status == 404
        assert (await caller.read_answer()).status == 200
