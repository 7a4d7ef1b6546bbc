"""Version moves over many seeded runs, in simulated time.

Hosts with their own controllers and fact tables exchange facts and counters;
outcomes and latencies of both versions are drawn from seeded distributions.
"""

from __future__ import annotations

from concurrent import futures
import random
from typing import Any

import msgspec

from cowslipshift.config import model
from cowslipshift.coordination import facts
from cowslipshift.moves import controller as controllers
from cowslipshift.topology import index as indexes

HOST_COUNT = 6
STEP_S = 0.25
DELAY_S = 0.05
MOVE_LENGTH_S = 240.0
BAKE_S = 60.0
REQUESTS_PER_S = 120.0
SERVICE = "catalogue"
OLD, NEW = "1", "2"


class Fault(msgspec.Struct, frozen=True):
    """Fault of a new version.

    Attributes:
        name: Name of the fault in the report.
        failure_ratio: Fraction of requests that fail.
        latency_factor: Factor on the latency.
        min_share: Traffic share of the new version from which the fault
            occurs, as faults under load do.
        start_s: Time from which the fault occurs.
        route: The only route that is affected; empty for all.
    """

    name: str
    failure_ratio: float = 0.0
    latency_factor: float = 1.0
    min_share: float = 0.0
    start_s: float = 0.0
    route: str = ""


GOOD_VERSION = Fault("good")
NOISY_VERSION = Fault("noisy_good", latency_factor=1.1)
BAD_VERSIONS = [
    Fault("fails_at_once", failure_ratio=0.3),
    Fault("fails_a_little", failure_ratio=0.08),
    Fault("fails_late", failure_ratio=0.2, start_s=120.0),
    Fault("fails_under_load", failure_ratio=0.2, min_share=0.5),
    Fault("fails_on_one_route", failure_ratio=0.3, route="/b"),
    Fault("slow", latency_factor=2.0),
    Fault("slow_under_load", latency_factor=2.5, min_share=0.5),
    Fault("fails_in_last_stage", failure_ratio=0.15, min_share=0.9),
]


class Host:
    """A host with its fact table and its move controller."""

    def __init__(self, number: int, fleet: list[Host]) -> None:
        self._fleet = fleet
        self.fact_table = facts.FactTable()
        self.controller = controllers.MoveController(
            f"h{number}", 1, self.fact_table, self
        )

    def publish(self, fact: facts.Fact) -> None:
        """Merge a fact into the tables of all hosts at once.

        The delay of the network is shorter than one step.
        """
        for host in self._fleet:
            host.fact_table.merge([fact])


class NaiveRollout:
    """Baseline: a rollout that ramps with time and checks the failure ratio.

    It rolls back when the new version's failure ratio since the start is
    above 5 %, as a plain rollout script would.
    """

    def __init__(self) -> None:
        self.share = 0.05
        self.rolled_back_s: float | None = None
        self._request_count = self._failure_count = 0

    def record_request(self, failed: bool) -> None:
        """Record a request of the new version."""
        self._request_count += 1
        self._failure_count += failed

    def update(self, now: float) -> None:
        """Advance the ramp, or roll back if the failure ratio is too high."""
        if (
            self._request_count >= 50
            and self._failure_count / self._request_count > 0.05
        ):
            self.share = 0.0
            if self.rolled_back_s is None:
                self.rolled_back_s = now
        if self.rolled_back_s is None:
            progress = now / (MOVE_LENGTH_S - BAKE_S)
            self.share = min(1.0, 0.05 + progress * 0.95)


def run_move(fault: Fault, seed: int) -> dict[str, Any]:
    """Run one move and return its outcome and request counts."""
    rng = random.Random(seed)
    fleet: list[Host] = []
    fleet.extend(Host(number, fleet) for number in range(HOST_COUNT))
    config_index = build_config_index(MOVE_LENGTH_S, BAKE_S)
    move = config_index.configuration.moves[0]
    for host in fleet:
        host.controller.apply(config_index)
    naive = NaiveRollout()
    old_server, new_server = config_index.configuration.servers
    result: dict[str, Any] = {"bad_requests": 0, "new_requests": 0}
    first_bad_s: float | None = None
    naive_rng = random.Random(seed + 1)
    for step in range(int(MOVE_LENGTH_S / STEP_S) + 1):
        now = step * STEP_S
        for number in range(int(REQUESTS_PER_S * STEP_S)):
            host = fleet[rng.randrange(HOST_COUNT)]
            route = "/a" if rng.random() < 0.8 else "/b"
            request_id = f"{seed}-{step}-{number}"
            version = host.controller.list_versions(
                SERVICE, route, request_id, now
            )[0]
            share = host.controller.get_new_version_share(move, now)
            bad = version == NEW and _is_bad(fault, share, now, route)
            failed, latency_s = _draw(rng, fault if bad else GOOD_VERSION)
            if version == NEW and not bad and fault is NOISY_VERSION:
                latency_s *= fault.latency_factor
            server = new_server if version == NEW else old_server
            host.controller.record_outcome(
                server, route, latency_s, failed, now
            )
            result["new_requests"] += version == NEW
            if bad:
                result["bad_requests"] += 1
                first_bad_s = now if first_bad_s is None else first_bad_s
            if naive_rng.random() < naive.share:
                is_naive_bad = _is_bad(fault, naive.share, now, route)
                naive_failed, _ = _draw(
                    naive_rng, fault if is_naive_bad else GOOD_VERSION
                )
                naive.record_request(naive_failed)
        naive.update(now)
        for host in fleet:
            evidences = host.controller.build_evidence(now)
            if evidences is not None:
                for other in fleet:
                    other.controller.merge_evidence(evidences.entries)
        for host in fleet:
            host.controller.evaluate_moves(now)
        outcomes = fleet[0].controller.list_unrecorded_outcomes(now)
        if outcomes:
            for host in fleet:
                host.controller.publish_outcome(*outcomes[0])
            break
    result["ended_s"] = now
    result["verdict"] = fleet[0].controller.find_phase(move, now).value
    result["noticed_after_s"] = (
        round(now - first_bad_s, 2) if first_bad_s is not None else None
    )
    result["naive_took_back"] = naive.rolled_back_s is not None
    return result


def _is_bad(fault: Fault, share: float, now: float, route: str) -> bool:
    if (
        fault.failure_ratio == 0.0
        and fault.latency_factor <= NOISY_VERSION.latency_factor
    ):
        return False
    if fault.route and route != fault.route:
        return False
    return share >= fault.min_share and now >= fault.start_s


def _draw(rng: random.Random, fault: Fault) -> tuple[bool, float]:
    """Draw outcome and latency of a request.

    At least 0.5 % of the requests fail; latencies are lognormal.
    """
    latency_s = rng.lognormvariate(0.0, 0.35) * 0.02 * fault.latency_factor
    failed = rng.random() < max(0.005, fault.failure_ratio)
    return failed, latency_s


def build_config_index(
    length_s: float, bake_s: float
) -> indexes.ConfigurationIndex:
    """Build the configuration of a service with two routes and one move."""
    servers = tuple(
        model.Server(
            name=f"s{version}",
            service=SERVICE,
            data_centre="dc",
            url="http://127.0.0.1:1",
            slots=8,
            version=version,
        )
        for version in (OLD, NEW)
    )
    routes = (model.Route(name="/a"), model.Route(name="/b"))
    return indexes.ConfigurationIndex(
        model.Configuration(
            regions=(model.Region(name="r"),),
            data_centres=(model.DataCentre(name="dc", region="r"),),
            services=(model.Service(name=SERVICE, routes=routes),),
            servers=servers,
            moves=(
                model.Move(
                    id="m",
                    service=SERVICE,
                    from_version=OLD,
                    to_version=NEW,
                    start_ms=0,
                    end_ms=int(length_s * 1000),
                    bake_s=bake_s,
                ),
            ),
        )
    )


def measure(runs: int, workers: int) -> dict[str, Any]:
    """Run each kind of version ``runs`` times and summarise the results."""
    report: dict[str, Any] = {}
    with futures.ProcessPoolExecutor(workers) as pool:
        for fault in (GOOD_VERSION, NOISY_VERSION, *BAD_VERSIONS):
            jobs = [pool.submit(run_move, fault, seed) for seed in range(runs)]
            report[fault.name] = _summarise([job.result() for job in jobs])
    return report


def _summarise(results: list[dict[str, Any]]) -> dict[str, Any]:
    runs = len(results)
    detection_times_s = sorted(
        r["noticed_after_s"]
        for r in results
        if r["noticed_after_s"] is not None
    )
    bad_counts = sorted(r["bad_requests"] for r in results)
    return {
        "runs": runs,
        "done": sum(r["verdict"] == "done" for r in results),
        "taken_back": sum(r["verdict"] == "taken_back" for r in results),
        "latest_end_s": max(r["ended_s"] for r in results),
        "bad_requests_median": bad_counts[runs // 2],
        "bad_requests_most": bad_counts[-1],
        "noticed_after_s_median": detection_times_s[
            len(detection_times_s) // 2
        ]
        if detection_times_s
        else None,
        "naive_took_back": sum(r["naive_took_back"] for r in results),
    }
