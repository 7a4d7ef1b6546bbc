"""Answers that belong to another request, and answers that are cut."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from aiohttp import client_proto
from aiohttp import http_parser
import pytest
from tests.edge import faultyserver
from tests.edge import rawcaller

from cowslipshift import connections
from cowslipshift.edge import exceptions
from cowslipshift.edge import upstream
from cowslipshift.platform import ingress
from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

Step = faultyserver.Step
SETTLE_S = 3 * faultyserver.REPEAT_DELAY_S
TIMEOUT_S = 5.0


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet(backends=1) as started:
        yield started


def shed_first_and_repeat(delay_s: float):
    """Shed the first request, run the others; write the refusal twice."""

    def script(headers: dict[str, str], number: int) -> list[Step]:
        request_id = headers[names.REQUEST_ID_HEADER.lower()]
        if number == 0:
            refusal = faultyserver.build_shed_answer(request_id)
            return [Step(refusal), Step(refusal, delay_s, is_background=True)]
        body = f"ran {request_id}".encode()
        return [Step(faultyserver.build_answer(request_id, body), 0.2)]

    return script


# Guards against REFUSED and TWICE: a request that a server runs is answered
# "not run", or is sent to a second server.
@pytest.mark.parametrize("wait_s", [0.0, SETTLE_S])
async def test_repeated_refusal_is_not_believed_by_the_next_request(
    fleet, wait_s
) -> None:
    script = shed_first_and_repeat(faultyserver.REPEAT_DELAY_S)
    async with (
        faultyserver.FaultyServer(script) as first,
        faultyserver.FaultyServer(shed_all) as second,
    ):
        await faultyserver.replace_servers(fleet, first, second)
        assert (await rawcaller.send_one(fleet, "w0")).status == 503
        await asyncio.sleep(wait_s)
        answer = await rawcaller.send_one(fleet, "w1")
        ran = first.request_ids[1:].count("w1")
        assert (answer.status == 200) == (answer.body == b"ran w1")
        if ran:
            assert answer.status not in (408, 421, 429, 503)
        assert second.request_ids.count("w1") + ran <= 2
        if wait_s:
            # The repeated refusal came while the connection was idle.
            assert answer.status == 200 or ran == 0


def shed_all(headers: dict[str, str], number: int) -> list[Step]:
    request_id = headers[names.REQUEST_ID_HEADER.lower()]
    return [Step(faultyserver.build_shed_answer(request_id))]


@pytest.mark.parametrize("status", [421, 429, 503])
@pytest.mark.parametrize("claimed", ["another", ""])
async def test_refusal_without_the_id_of_the_request_is_no_refusal(
    fleet, status, claimed
) -> None:
    def script(headers: dict[str, str], number: int) -> list[Step]:
        return [Step(faultyserver.build_shed_answer(claimed, status))]

    async with (
        faultyserver.FaultyServer(script) as first,
        faultyserver.FaultyServer(script) as second,
    ):
        await faultyserver.replace_servers(fleet, first, second)
        assert (await rawcaller.send_one(fleet, "w")).status == 502
        assert len(first.request_ids + second.request_ids) == 1


async def send(client, server, request_id: str) -> upstream.Answer:
    return await client.send(
        server.address,
        "GET",
        "/",
        [("Host", "x"), (names.REQUEST_ID_HEADER, request_id)],
        None,
        TIMEOUT_S,
        lambda headers: ingress.is_answer_to(request_id, headers),
        connections.Exchange(request_id),
    )


@pytest.mark.parametrize("is_late", [False, True])
async def test_second_copy_of_an_answer_reaches_no_other_caller(
    is_late,
) -> None:
    def script(headers: dict[str, str], number: int) -> list[Step]:
        request_id = headers[names.REQUEST_ID_HEADER.lower()]
        answer = faultyserver.build_answer(request_id, request_id.encode())
        delay_s = faultyserver.REPEAT_DELAY_S if is_late else 0.0
        return [Step(answer), Step(answer, delay_s, is_background=True)]

    client = upstream.UpstreamClient()
    async with faultyserver.FaultyServer(script) as server:
        for number in range(5):
            with contextlib.suppress(exceptions.AnswerLostError):
                answer = await send(client, server, f"r{number}")
                assert answer.body == f"r{number}".encode()
            await asyncio.sleep(SETTLE_S if number % 2 else 0.0)
    await client.close()


# Guards against REFUSED and MIXED: an answer names a request that its
# connection has carried twice, so that the id does not tell which one it
# belongs to.
async def test_connection_carries_no_id_twice() -> None:
    def script(headers: dict[str, str], number: int) -> list[Step]:
        request_id = headers.get(names.REQUEST_ID_HEADER.lower(), "")
        return [Step(faultyserver.build_answer(request_id, b"x"))]

    client = upstream.UpstreamClient()
    async with faultyserver.FaultyServer(script) as server:
        for request_id in ("r0", "r1", "r0", "", "r1", "", "r2"):
            await send(client, server, request_id)
        carried = list(zip(server.carriers, server.request_ids, strict=True))
        assert len(set(carried)) == len(carried)
        assert server.connections < len(carried)
    await client.close()


# Guards against memory that grows with the requests of a connection.
async def test_connection_is_replaced_after_many_requests() -> None:
    def script(headers: dict[str, str], number: int) -> list[Step]:
        request_id = headers[names.REQUEST_ID_HEADER.lower()]
        return [Step(faultyserver.build_answer(request_id, b"x"))]

    client = upstream.UpstreamClient()
    async with faultyserver.FaultyServer(script) as server:
        for number in range(2 * connections.MAX_REQUESTS):
            await send(client, server, f"{number:07900d}")
        most = max(map(server.carriers.count, set(server.carriers)))
        assert most <= connections.MAX_REQUESTS
        assert server.connections <= 3
    await client.close()


async def test_connection_with_unasked_bytes_is_not_used_again() -> None:
    def script(headers: dict[str, str], number: int) -> list[Step]:
        request_id = headers[names.REQUEST_ID_HEADER.lower()]
        answer = faultyserver.build_answer(request_id, b"x")
        late = Step(b"\r\n", faultyserver.REPEAT_DELAY_S, is_background=True)
        return [Step(answer), late]

    client = upstream.UpstreamClient()
    async with faultyserver.FaultyServer(script) as server:
        for number in range(3):
            assert (await send(client, server, f"r{number}")).status == 200
            await asyncio.sleep(SETTLE_S)
        assert server.connections == 3
    await client.close()


async def test_kept_connection_is_used_again_after_a_clean_answer() -> None:
    def script(headers: dict[str, str], number: int) -> list[Step]:
        request_id = headers[names.REQUEST_ID_HEADER.lower()]
        return [
            Step(b"HTTP/1.1 103 Hints\r\n\r\n"),
            Step(faultyserver.build_answer(request_id, b"x"), 0.01),
        ]

    client = upstream.UpstreamClient()
    async with faultyserver.FaultyServer(script) as server:
        for number in range(3):
            assert (await send(client, server, f"r{number}")).status == 200
        assert server.connections == 1
    await client.close()


BODY = b"0123456789"
HEAD = (
    f"HTTP/1.1 200 OK\r\n{names.REQUEST_ID_HEADER}: r\r\n"
    f"{names.SIGNATURE_HEADER}: s\r\n"
).encode()
CHUNKS = b"4\r\n0123\r\n6;x=y\r\n456789\r\n0\r\nX-T: z\r\n\r\n"
FORMS = {
    "length": HEAD + b"Content-Length: 10\r\n\r\n" + BODY,
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS,
    "until the end": HEAD + b"Connection: close\r\n\r\n" + BODY,
}


# Guards against MIXED and ORDER: a cut answer that is passed on as whole.
@pytest.mark.parametrize("ends", ["close", "reset"])
@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("is_compiled", [True, False])
async def test_answer_that_is_cut_anywhere_is_lost(
    form, ends, is_compiled, monkeypatch
) -> None:
    if not is_compiled:
        monkeypatch.setattr(
            client_proto,
            "HttpResponseParser",
            http_parser.HttpResponseParserPy,
        )
    whole = FORMS[form]
    head_size = whole.index(b"\r\n\r\n") + 4

    def script(headers: dict[str, str], number: int) -> list[Step]:
        return [Step(whole[:number], ends=ends)]

    client = upstream.UpstreamClient()
    async with faultyserver.FaultyServer(script) as server:
        for size in range(len(whole)):
            try:
                answer = await send(client, server, "r")
            except exceptions.AnswerLostError:
                continue
            # Without a length, only the end of the connection ends a body.
            assert form == "until the end" and ends == "close", size
            assert size >= head_size
            assert answer.body == whole[head_size:size]
    await client.close()


LONG_BODY = bytes(range(256)) * 1000
LONG_FORMS = {
    "length": b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY,
    "until the end": b"Connection: close\r\n\r\n" + LONG_BODY,
    "small chunks": b"Transfer-Encoding: chunked\r\n\r\n"
    + b"".join(
        b"%x\r\n%b\r\n" % (len(part), part)
        for part in (
            LONG_BODY[start : start + 20]
            for start in range(0, len(LONG_BODY), 20)
        )
    )
    + b"0\r\n\r\n",
}


# Guards against MIXED: what has arrived but was not parsed yet is dropped when
# its connection ends, and the rest is passed on as whole.
@pytest.mark.parametrize("pause_s", [0.0, 0.002])
@pytest.mark.parametrize("ends", ["close", ""])
@pytest.mark.parametrize("form", LONG_FORMS)
async def test_long_answer_at_the_end_of_its_connection_is_whole(
    form, ends, pause_s
) -> None:
    whole = HEAD + LONG_FORMS[form]
    ends = "close" if form == "until the end" else ends

    def script(headers: dict[str, str], number: int) -> list[Step]:
        # Cuts at other places for each request.
        cuts = [0, 700 * number, 1000 + 30_011 * number, len(whole)]
        steps = [
            Step(whole[start:end], pause_s)
            for start, end in zip(cuts, cuts[1:], strict=False)
            if start < end
        ]
        steps[-1].ends = ends
        return steps

    client = upstream.UpstreamClient()
    async with faultyserver.FaultyServer(script) as server:
        answers = await asyncio.gather(
            *(send(client, server, "r") for _ in range(20))
        )
        assert [a.body == LONG_BODY for a in answers] == [True] * 20
    await client.close()


# Guards against MIXED: a caller gets an answer whose status is none of HTTP.
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
@pytest.mark.parametrize("is_write", [False, True])
async def test_answer_without_a_valid_status_is_not_passed_on(
    fleet, is_write, status
) -> None:
    def script(headers: dict[str, str], number: int) -> list[Step]:
        request_id = headers[names.REQUEST_ID_HEADER.lower()]
        return [Step(faultyserver.build_answer(request_id, b"x", status))]

    service = (
        platformfleet.WRITE_SERVICE if is_write else platformfleet.READ_SERVICE
    )
    async with faultyserver.FaultyServer(script) as server:
        await faultyserver.replace_servers(fleet, server, service=service)
        answer = await rawcaller.send_one(fleet, "w", is_write)
        assert server.request_ids == ["w"]
        assert answer.status == 502
