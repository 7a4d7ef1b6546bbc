"""Metrics of a host on a platform."""

from __future__ import annotations

from tests import builders

from cowslipshift.edge import metrics as metric


# Guards against answers that are counted for another virtual host's route, as
# that route has the same name.
def test_answers_of_routes_of_one_name_are_counted_apart() -> None:
    metrics = metric.EdgeMetrics("h1")
    for hostname in ("tills.example", "office.example", "office.example"):
        route = builders.build_route(name="entries", hostname=hostname)
        metrics.count_answer(route, 1, 200, 0.1)
    lines = metrics.render()[0].decode().splitlines()
    counts = [
        line.rpartition(" ")[2]
        for hostname in ("tills.example", "office.example")
        for line in lines
        if line.startswith("cowslipshift_answers_total")
        and f'hostname="{hostname}"' in line
    ]
    assert counts == ["1", "2"]
    observed = [
        line
        for line in lines
        if line.startswith("cowslipshift_request_seconds_count")
    ]
    assert len(observed) == 2


def test_admissions_are_counted_by_rank() -> None:
    metrics = metric.EdgeMetrics("h1")
    for outcome in ("admitted", "refused", "admitted"):
        metrics.count_admission(2, outcome)
    lines = metrics.render()[0].decode().splitlines()
    counts = {
        line.rpartition(" ")[2]
        for line in lines
        if line.startswith("cowslipshift_admissions_total{")
        and 'rank="2"' in line
    }
    assert counts == {"1", "2"}


def test_error_of_predicted_work_is_exported_by_route() -> None:
    metrics = metric.EdgeMetrics("h1")
    for ratio in (0.9, 1.1, 7.0):
        metrics.observe_work(builders.build_route(), ratio)
    lines = metrics.render()[0].decode().splitlines()
    counts = {
        line.partition('le="')[2].partition('"')[0]: float(line.split()[-1])
        for line in lines
        if line.startswith("cowslipshift_work_ratio_bucket")
    }
    assert (counts["1.0"], counts["1.2"], counts["8.0"]) == (1, 2, 3)
