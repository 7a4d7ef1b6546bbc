"""Causes that are told from single log lines."""

from __future__ import annotations

import pytest

from cowslipshift.telemetry import explanation

LINE = (
    "time=2026-05-16T12:19:41.557165Z host=h1 event=refused id=r1 status=503 "
    "code=urgency retry_after_s=1.01 rank=1 service=sheets tried=0 share=0.46 "
    "promised={promised} backend=sheets-1 load=12.8 slots=9 queue_ms=487"
)


@pytest.mark.parametrize(
    ("promised", "told"),
    [("True", "its turn was expected"), ("False", "no room was expected")],
)
def test_refusal_for_more_urgent_requests_tells_share_and_place(
    promised, told
) -> None:
    found = explanation.explain_request("r1", [LINE.format(promised=promised)])
    assert found is not None
    assert found.kind == "urgency"
    assert "0.46" in found.cause
    assert told in found.cause
