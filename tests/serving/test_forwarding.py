"""What another host says of a request that it forwarded to a server."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests import builders
from tests.edge import faultyserver

from cowslipshift import statuses
from cowslipshift.serving import calls
from cowslipshift.serving import refusals
from cowslipshift.serving.backend import forwarding
from cowslipshift.serving.backend import transport
from cowslipshift.serving.backend import wire

if TYPE_CHECKING:
    from collections.abc import Callable

PROMISES = sorted(statuses.PROMISES)
TIMEOUT_S = 5.0
COPY_LEAD_S = 0.1
"""Time between the copy of a refusal and the answer that follows it."""


async def forward(
    script: Callable[[dict[str, str], int], list[faultyserver.Step]],
    is_idempotent: bool = False,
    refused_before: int = 0,
) -> calls.Reply:
    """Forward a request to a host that answers as a script says.

    Args:
        script: Gives the host's answers.
        is_idempotent: Whether the request may be repeated.
        refused_before: How often it is forwarded, and refused, before.
    """
    sessions = transport.Sessions()
    try:
        async with faultyserver.FaultyServer(script) as host:
            forwarder = builders.build_forwarder(host.address, sessions)
            call = builders.build_call(
                deadline_s=time.monotonic() + TIMEOUT_S,
                idempotent=is_idempotent,
            )
            for _ in range(refused_before):
                with pytest.raises(refusals.Refusal):
                    await forwarder.forward(call, "there-1", calls.Scope.HOST)
            return await forwarder.forward(call, "there-1", calls.Scope.HOST)
    finally:
        await sessions.close()


def build_refusal(**fields: object) -> bytes:
    return msgspec.json.encode(
        {
            "error": {
                "code": "overloaded",
                "message": "no",
                "not_run": True,
                **fields,
            }
        }
    )


def name_attempt(headers: dict[str, str]) -> str:
    attempt = headers[wire.ATTEMPT_HEADER.lower()]
    return f"{wire.ATTEMPT_HEADER}: {attempt}"


def build_refused_answer(*lines: str) -> bytes:
    return faultyserver.build_plain_answer(
        503,
        f"{wire.RESULT_HEADER}: {wire.RESULT_REFUSED}",
        *lines,
        body=build_refusal(),
    )


def build_answer(*lines: str) -> bytes:
    return faultyserver.build_plain_answer(
        200, f"{wire.RESULT_HEADER}: {wire.RESULT_ANSWERED}", *lines
    )


# Guards against REFUSED: another host refuses a request that it has forwarded
# to a server, or answers something else than a refusal.
@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize(
    ("body", "result"),
    [
        (build_refusal(not_run=False), wire.RESULT_REFUSED),
        (b"no", wire.RESULT_REFUSED),
        (b"", wire.RESULT_REFUSED),
        (b"no", ""),
        (b"no", wire.RESULT_ANSWERED),
    ],
)
async def test_status_of_another_host_promises_nothing_by_itself(
    body, result, status
) -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        lines = [name_attempt(headers)]
        if result:
            lines.append(f"{wire.RESULT_HEADER}: {result}")
        return [
            faultyserver.Step(
                faultyserver.build_plain_answer(status, *lines, body=body)
            )
        ]

    with pytest.raises(refusals.Refusal) as raised:
        await forward(script)
    assert raised.value.status not in PROMISES
    assert not raised.value.not_run


# Guards against REFUSED: a refusal of another host that breaks off.
async def test_refusal_of_another_host_that_breaks_off_is_lost() -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        whole = build_refused_answer(name_attempt(headers))
        return [faultyserver.Step(whole[:-1], ends="reset")]

    with pytest.raises(forwarding.ForwardFailedError) as raised:
        await forward(script)
    assert not raised.value.not_run


# Guards against REFUSED: the copy of another host's refusal is believed by the
# next request that is forwarded over the connection.
async def test_copied_refusal_of_an_earlier_forward_is_not_believed() -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        named = name_attempt(headers)
        if number:
            return [faultyserver.Step(build_answer(named), COPY_LEAD_S)]
        refusal = build_refused_answer(named)
        return [
            faultyserver.Step(refusal),
            faultyserver.Step(refusal, is_held=True),
        ]

    with pytest.raises(forwarding.ForwardFailedError) as raised:
        await forward(script, is_idempotent=True, refused_before=1)
    assert not raised.value.not_run


# Guards against REFUSED: a refusal that names no attempt, or another one.
@pytest.mark.parametrize("lines", [(), (f"{wire.ATTEMPT_HEADER}: another",)])
@pytest.mark.parametrize("is_refused", [True, False])
@pytest.mark.parametrize("is_idempotent", [True, False])
async def test_answer_that_does_not_name_the_attempt_is_lost(
    is_idempotent, is_refused, lines
) -> None:
    build = build_refused_answer if is_refused else build_answer

    def script(headers, number) -> list[faultyserver.Step]:
        return [faultyserver.Step(build(*lines))]

    with pytest.raises(forwarding.ForwardFailedError) as raised:
        await forward(script, is_idempotent)
    assert not raised.value.not_run


# Guards against MIXED: a caller gets an answer whose status is none of HTTP.
@pytest.mark.parametrize("status", ["000", "099", 101, 600, 999])
async def test_status_that_is_no_final_one_is_no_answer(status) -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        return [
            faultyserver.Step(
                faultyserver.build_plain_answer(
                    status,
                    name_attempt(headers),
                    f"{wire.RESULT_HEADER}: {wire.RESULT_ANSWERED}",
                )
            )
        ]

    with pytest.raises(forwarding.ForwardFailedError) as raised:
        await forward(script, is_idempotent=True)
    assert not raised.value.not_run
