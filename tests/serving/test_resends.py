"""Requests whose connection ends before an answer, and who sends them again.

The servers of these tests count each request that reaches them as run.
"""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING
from unittest import mock

import pytest
from tests import builders
from tests.edge import faultyserver

from cowslipshift import clock as clocks
from cowslipshift import statuses
from cowslipshift.serving import calls
from cowslipshift.serving import refusals
from cowslipshift.serving.backend import attempt
from cowslipshift.serving.backend import dispatcher as dispatchers
from cowslipshift.serving.backend import forwarding
from cowslipshift.serving.backend import transport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

METHODS = ("POST", "PUT", "DELETE")
TIMEOUT_S = 5.0


@pytest.fixture
async def sessions() -> AsyncIterator[transport.Sessions]:
    opened = transport.Sessions()
    yield opened
    await opened.close()


def build_order(method: str, is_idempotent: bool = False) -> calls.Call:
    return builders.build_call(
        id="r",
        method=method,
        idempotent=is_idempotent,
        body=calls.Body(b"order"),
        deadline_s=time.monotonic() + TIMEOUT_S,
    )


def build_dispatcher(
    address: str, sessions: transport.Sessions
) -> dispatchers.Dispatcher:
    slots: Any = mock.Mock()
    slots.acquire = mock.AsyncMock(
        return_value=builders.build_server_state(address)
    )
    slots.count_ejected.return_value = (0, 9)
    index: Any = mock.Mock()
    index.settings.resolve.return_value = 0.1
    index.accounts.is_active.return_value = True
    clock = clocks.SystemClock()
    dispatcher = dispatchers.Dispatcher(
        clock, slots, attempt.BackendClient(clock, sessions), mock.Mock()
    )
    dispatcher.apply(index)
    return dispatcher


# Guards against REFUSED and TWICE: the client library sends an order again
# whose answer was lost, and the rejection of that copy speaks for the order.
@pytest.mark.parametrize("is_idempotent", [False, True])
@pytest.mark.parametrize("method", METHODS)
async def test_order_that_ran_is_not_refused(
    sessions, method, is_idempotent
) -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        if not number:
            return [faultyserver.Step(b"", ends="close")]
        rejection = faultyserver.build_plain_answer(
            503,
            f"{attempt.SHED_HEADER}: true",
            f"{attempt.REQUEST_ID_HEADER}: {headers['x-request-id']}",
        )
        return [faultyserver.Step(rejection)]

    async with faultyserver.FaultyServer(script) as server:
        dispatcher = build_dispatcher(server.address, sessions)
        with pytest.raises(refusals.Refusal) as raised:
            await dispatcher.run(build_order(method, is_idempotent))
        assert not raised.value.not_run
        assert raised.value.status not in statuses.PROMISES
        assert is_idempotent or len(server.request_ids) == 1


# Guards against REFUSED: another host ends with an order, the library's second
# try finds nobody, and the order counts as never forwarded.
@pytest.mark.parametrize("method", METHODS)
async def test_order_at_a_host_that_ends_is_not_said_unrun(
    sessions, method
) -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        host.stop_listening()
        return [faultyserver.Step(b"", ends="close")]

    async with faultyserver.FaultyServer(script) as host:
        forwarder = builders.build_forwarder(host.address, sessions)
        with pytest.raises(forwarding.ForwardFailedError) as raised:
            await forwarder.forward(
                build_order(method), "there-1", calls.Scope.HOST
            )
        assert not raised.value.not_run
