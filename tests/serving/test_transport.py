"""Answers of backend servers that belong to another request."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import aiohttp
import pytest
from tests.edge import faultyserver

from cowslipshift.serving.backend import attempt
from cowslipshift.serving.backend import transport


def repeat_answer(
    headers: dict[str, str], number: int
) -> list[faultyserver.Step]:
    answer = faultyserver.build_answer("x", str(number).encode())
    late = faultyserver.Step(
        answer, faultyserver.REPEAT_DELAY_S, is_background=True
    )
    return [faultyserver.Step(answer), late]


async def test_late_second_copy_reaches_no_other_caller() -> None:
    sessions = transport.Sessions()
    async with faultyserver.FaultyServer(repeat_answer) as server:
        for number in range(3):
            async with sessions.pooled.get(
                f"http://{server.address}/"
            ) as response:
                assert await response.read() == str(number).encode()
            await asyncio.sleep(3 * faultyserver.REPEAT_DELAY_S)
    await sessions.close()


@pytest.mark.parametrize("answered", ["another", "own", None])
async def test_answer_that_names_another_request_is_not_believed(
    answered,
) -> None:
    closed: list[bool] = []
    headers = {} if answered is None else {"X-Request-Id": answered}
    response = SimpleNamespace(
        headers=headers, close=lambda: closed.append(True)
    )
    call = SimpleNamespace(id="own")
    if answered == "another":
        with pytest.raises(aiohttp.ClientPayloadError):
            attempt._check_answers(call, response)
    else:
        attempt._check_answers(call, response)
    assert closed == [True] * (answered == "another")
