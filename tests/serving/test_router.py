"""Refusals of a router after earlier hosts may have run the request."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from tests import builders

from cowslipshift import statuses
from cowslipshift.routing import selection
from cowslipshift.serving import calls
from cowslipshift.serving import refusals
from cowslipshift.serving.backend import forwarding
from cowslipshift.serving.decision import router as routers

LOST = forwarding.ForwardFailedError("lost", not_run=False)
NEVER_ARRIVED = forwarding.ForwardFailedError("refused", not_run=True)
BUSY = refusals.refuse_overloaded("busy")


class FailingForwarder:
    """Fails to forward requests with the errors that it is given."""

    def __init__(self, errors: list[Exception]) -> None:
        self._errors = errors

    async def forward(self, *_: object) -> calls.Reply:
        raise self._errors.pop(0)


def build_router(errors: list[Exception]) -> routers.Router:
    candidates = [
        selection.Candidate(f"there-{n}", "", calls.Scope.HOST, True)
        for n in range(len(errors))
    ]
    ignore: Any = SimpleNamespace(
        adjust_in_flight=lambda *_: None,
        count=lambda *_, **__: None,
        forwards=None,
        retries=None,
        order_for_call=lambda *_: [],
        list_versions=lambda *_: [""],
        list_candidates=lambda *_: candidates,
    )
    forwarder: Any = FailingForwarder(errors)
    clock: Any = SimpleNamespace(now=lambda: 0.0, wall=lambda: 0.0)
    router = routers.Router(
        "here-1",
        clock,
        ignore,
        ignore,
        forwarder,
        ignore,
        ignore,
        ignore,
        ignore,
    )
    settings = SimpleNamespace(resolve=lambda *_, **__: 1.0)
    index: Any = SimpleNamespace(settings=settings)
    router._config_index = index
    return router


# Guards against REFUSED: a request that a host may have run is refused with a
# promise, because the host asked after it was busy.
@pytest.mark.parametrize(
    ("errors", "not_run"),
    [
        ([LOST, BUSY], False),
        ([LOST, NEVER_ARRIVED], False),
        ([LOST, NEVER_ARRIVED, BUSY], False),
        ([BUSY, LOST, BUSY], False),
        ([LOST], False),
        ([BUSY, BUSY], True),
        ([NEVER_ARRIVED, BUSY], True),
        ([NEVER_ARRIVED], True),
    ],
)
async def test_refusal_speaks_for_all_hosts_that_were_asked(
    errors, not_run
) -> None:
    call = builders.build_call(idempotent=True, deadline_s=1.0)
    with pytest.raises(refusals.Refusal) as raised:
        await build_router(list(errors)).run(call)
    assert raised.value.not_run == not_run
    assert (raised.value.status in statuses.PROMISES) == not_run
