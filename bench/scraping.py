"""CPU time of a metrics scrape, with as many labels as on a busy day."""

from __future__ import annotations

import time
from typing import Any

from cowslipshift.edge import metrics

ROUTE_COUNT = 60
PRIORITY_COUNT = 3
STATUSES = (200, 404, 500)
CODES = ("account_rate", "no_room", "no_backend", "retry_budget", "late")
SCRAPE_COUNT = 50
ANSWERS_PER_SCRAPE = 3000
"""Answers between two scrapes, 5 s apart; more than a host gives."""

SCRAPE_INTERVAL_S = 5.0


async def measure() -> dict[str, Any]:
    """Return the CPU time of a scrape and the fraction of a core it takes."""
    host = metrics.EdgeMetrics("host-1")
    cpu_s = 0.0
    size = 0
    for _ in range(SCRAPE_COUNT):
        for number in range(ANSWERS_PER_SCRAPE):
            route = f"r-{number % ROUTE_COUNT}"
            status = STATUSES[number % len(STATUSES)]
            host.count_answer(route, number % PRIORITY_COUNT, status, 0.2)
        for code in CODES:
            host.count_refusal(code, 503, "1")
        before_s = time.process_time()
        content, _ = host.render()
        cpu_s += time.process_time() - before_s
        size = len(content)
    cpu_s_per_scrape = cpu_s / SCRAPE_COUNT
    return {
        "routes": ROUTE_COUNT,
        "bytes": size,
        "ms_per_scrape": round(cpu_s_per_scrape * 1e3, 2),
        "part_of_a_core": round(cpu_s_per_scrape / SCRAPE_INTERVAL_S, 5),
    }
