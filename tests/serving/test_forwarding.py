"""What another host says of a request that it forwarded to a server."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests import builders
from tests.edge import faultyserver

from cowslipshift import clock as clocks
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


async def forward(
    script: Callable[[dict[str, str], int], list[faultyserver.Step]],
) -> calls.Reply:
    """Forward an order to a host that answers as a script says."""
    sessions = transport.Sessions()
    try:
        async with faultyserver.FaultyServer(script) as host:
            forwarder = forwarding.Forwarder(
                "here-1",
                "secret",
                clocks.SystemClock(),
                sessions,
                lambda name: host.address,
                lambda name: 0,
            )
            call = builders.build_call(deadline_s=time.monotonic() + TIMEOUT_S)
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
        lines = [f"{wire.RESULT_HEADER}: {result}"] if result else []
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
    whole = faultyserver.build_plain_answer(
        503,
        f"{wire.RESULT_HEADER}: {wire.RESULT_REFUSED}",
        body=build_refusal(),
    )

    def script(headers, number) -> list[faultyserver.Step]:
        return [faultyserver.Step(whole[:-1], ends="reset")]

    with pytest.raises(forwarding.ForwardFailedError) as raised:
        await forward(script)
    assert not raised.value.not_run
