"""Counts of hosts, and the reports made of them."""

from __future__ import annotations

import pytest

from cowslipshift.duties import collection
from cowslipshift.duties import counts
from cowslipshift.duties import model
from cowslipshift.duties import policy as policies
from cowslipshift.duties import reporting

POLICY = policies.DutyPolicy(window_s=5.0, late_s=10.0)
RECORD = model.Record(model.Holder("h1", 1, 1, 1), (), 10)
END_S = 55.0


def test_attempt_that_did_not_run_is_taken_back_from_its_window() -> None:
    counter = counts.UsageCounter(5.0)
    counter.record_start("a", 54.0)
    window = counter.record_start("b", 54.9)
    counter.record_start("b", 55.1)
    counter.cancel_start("b", window)
    assert counter.list_counts(10) == {10: {"a": 1}, 11: {"b": 1}}
    assert counter.list_counts(11) == {11: {"b": 1}}


def test_old_windows_are_forgotten() -> None:
    counter = counts.UsageCounter(5.0)
    for window in range(20):
        counter.record_start("a", window * 5.0)
    assert list(counter.list_counts(0)) == list(range(12, 20))


def test_counts_are_cumulative_by_process() -> None:
    reporter = reporting.Reporter(POLICY)
    for host, incarnation, count in (
        ("h1", 1, 3),
        ("h1", 1, 5),
        ("h1", 2, 1),
        ("h2", 1, 2),
    ):
        counted = collection.HostCounts(incarnation, {10: {"a": count}})
        reporter.collected.record_counts(host, counted, END_S + 1.0)
    fixed = reporter.propose_record(RECORD, ["h1", "h2"], END_S + 1.0)
    assert fixed.next_window == 11
    assert fixed.reports == (model.UsageReport(10, {"a": 8}),)


@pytest.mark.parametrize(
    ("wall_s", "asked_s", "is_fixed"),
    (
        (END_S + 0.9, END_S + 0.9, False),
        (END_S + 2.0, END_S + 0.9, False),
        (END_S + 2.0, END_S + 1.0, True),
        (END_S + 5.0, END_S - 2.0, True),
    ),
)
def test_window_is_fixed_when_all_have_answered_or_time_presses(
    wall_s, asked_s, is_fixed
) -> None:
    reporter = reporting.Reporter(POLICY)
    counted = collection.HostCounts(1, {10: {"a": 1}})
    reporter.collected.record_counts("h1", counted, wall_s)
    reporter.collected.record_counts("h2", counted, asked_s)
    fixed = reporter.propose_record(RECORD, ["h1", "h2"], wall_s)
    assert (fixed is not None) == is_fixed


def test_report_is_sent_until_it_is_accepted() -> None:
    reporter = reporting.Reporter(POLICY)
    report = model.UsageReport(9, {"a": 1})
    record = model.Record(RECORD.holder, (), 10, (report,))
    assert reporter.propose_report(record, 0.0) == report
    reporter.record_deferred(False, 0.0)
    assert reporter.propose_report(record, 0.1) is None
    assert reporter.propose_report(record, 4.0) == report
    reporter.record_deferred(False, 4.0)
    assert reporter.is_cut_off(4.0)
    reporter.record_accepted(9, 5.0)
    assert not reporter.is_cut_off(9.0)
    assert reporter.propose_report(record, 9.0) is None
