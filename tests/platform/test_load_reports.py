"""What servers state about their load and pace."""

from __future__ import annotations

import pytest

from cowslipshift.platform import ingress
from cowslipshift.platform import names
from cowslipshift.workload import reports


def parse(text: str) -> reports.ServerLoad | None:
    headers = {names.LOAD_HEADER: text}
    return ingress.parse_answer_headers(200, headers).load


@pytest.mark.parametrize(
    ("figure", "pace"),
    (("100", 1.0), ("250", 2.5), (" 80", 0.8), ("112.5", 1.125)),
)
def test_pace_is_read(figure: str, pace: float) -> None:
    assert parse(f"3,1,8,{figure}") == reports.ServerLoad(3, 1, pace)


@pytest.mark.parametrize(
    "figure",
    ("", "0", "-100", "1e9", "99999999999", "nan", "inf", "-inf", "fast"),
)
def test_malformed_pace_leaves_the_other_figures(figure: str) -> None:
    assert parse(f"3,1,8,{figure}") == reports.ServerLoad(3, 1, None)


def test_missing_pace_leaves_the_other_figures() -> None:
    assert parse("3,1,8") == reports.ServerLoad(3, 1, None)
    assert parse("") is None
