"""What a server says of an attempt that it ran.

The servers of these tests count each request as run, whatever they answer.
"""

from __future__ import annotations

import contextlib
import time

import pytest
from tests import builders
from tests.edge import faultyserver

from cowslipshift import clock as clocks
from cowslipshift import statuses
from cowslipshift.serving import calls
from cowslipshift.serving.backend import attempt
from cowslipshift.serving.backend import transport

PROMISES = sorted(statuses.PROMISES)
TIMEOUT_S = 5.0
COPY_LEAD_S = 0.1
"""Time between the copy of a rejection and the answer that follows it."""


def name_request(headers: dict[str, str]) -> str:
    return f"X-Request-Id: {headers['x-request-id']}"


async def send(
    address: str,
    is_idempotent: bool = False,
    request_ids: tuple[str, ...] = ("r",),
) -> calls.Reply:
    """Send requests to a server one after the other; return the last reply.

    Rejections of all but the last one are ignored.
    """
    sessions = transport.Sessions()
    client = attempt.BackendClient(clocks.SystemClock(), sessions)
    backend = builders.build_server_state(address)
    try:
        for number, request_id in enumerate(request_ids):
            call = builders.build_call(
                id=request_id,
                idempotent=is_idempotent,
                deadline_s=time.monotonic() + TIMEOUT_S,
            )
            try:
                async with contextlib.AsyncExitStack() as stack:
                    reply = await client.send(
                        call, backend, False, stack, lambda: False
                    )
                    await reply.read()
            except attempt.AttemptRejectedError:
                if number == len(request_ids) - 1:
                    raise
        return reply
    finally:
        await sessions.close()


# Guards against REFUSED: a server runs an order and answers it with a status
# that promises the caller that it never runs.
# 101 goes on in another protocol, and the last ones are no statuses of HTTP.
@pytest.mark.parametrize("status", [*PROMISES, 101, "000", "099", 600, 999])
@pytest.mark.parametrize("is_idempotent", [True, False])
async def test_status_of_a_request_that_ran_is_no_answer(
    status, is_idempotent
) -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        return [
            faultyserver.Step(
                faultyserver.build_plain_answer(status, name_request(headers))
            )
        ]

    async with faultyserver.FaultyServer(script) as server:
        with pytest.raises(attempt.AnswerLostError):
            await send(server.address, is_idempotent)


# Guards against REFUSED: a refusal that was written for an earlier request, or
# before the request was read, is believed by one that the server runs.
@pytest.mark.parametrize("word", [attempt.SHED_HEADER, attempt.DRAIN_HEADER])
@pytest.mark.parametrize("earlier", [0, 1])
@pytest.mark.parametrize("is_idempotent", [True, False])
async def test_refusal_that_names_no_request_is_not_believed(
    word, earlier, is_idempotent
) -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        line = f"{word}: true"
        if number < earlier:
            line = name_request(headers)
        status = 200 if number < earlier else 503
        return [
            faultyserver.Step(faultyserver.build_plain_answer(status, line))
        ]

    async with faultyserver.FaultyServer(script) as server:
        with pytest.raises(attempt.AnswerLostError):
            await send(
                server.address, is_idempotent, ("r0", "r1")[: earlier + 1]
            )


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("word", [attempt.SHED_HEADER, attempt.DRAIN_HEADER])
async def test_refusal_that_names_the_request_is_believed(
    word, is_idempotent
) -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        lines = (f"{word}: true", name_request(headers))
        return [
            faultyserver.Step(faultyserver.build_plain_answer(503, *lines))
        ]

    async with faultyserver.FaultyServer(script) as server:
        with pytest.raises(attempt.AttemptRejectedError):
            await send(server.address, is_idempotent)


# Guards against REFUSED: the copy of a rejection is believed when the request
# comes to the same server again, on its way over another host.
@pytest.mark.parametrize("word", [attempt.SHED_HEADER, attempt.DRAIN_HEADER])
async def test_copied_rejection_of_an_earlier_attempt_is_not_believed(
    word,
) -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        named = name_request(headers)
        if number:
            answer = faultyserver.build_plain_answer(200, named, body=b"ran")
            return [faultyserver.Step(answer, COPY_LEAD_S)]
        rejection = faultyserver.build_plain_answer(
            503, f"{word}: true", named
        )
        return [
            faultyserver.Step(rejection),
            faultyserver.Step(rejection, is_held=True),
        ]

    async with faultyserver.FaultyServer(script) as server:
        reply = await send(server.address, True, ("r", "r"))
        assert server.carriers == [1, 2]
        assert (reply.status, await reply.read()) == (200, b"ran")
