"""Version moves over many seeded runs, in fake time.

Hosts with their own controllers and fact tables exchange facts and counters
with a delay; servers of both versions are drawn from seeded distributions.
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

HOSTS = 6
STEP_S = 0.25
DELAY_S = 0.05
MOVE_LENGTH_S = 240.0
BAKE_S = 60.0
REQUESTS_PER_S = 120.0
SERVICE = "catalogue"
OLD, NEW = "1", "2"


class Fault(msgspec.Struct, frozen=True):
    """How a new version misbehaves.

    Attributes:
        failure_ratio: Failure ratio.
        latency_factor: Factor on the time to answer.
        min_share: Share of the traffic from which it shows (load).
        start_s: Time from which it shows.
        route: The only route it shows on; empty for all.
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
    """A host with its facts and its move controller."""

    def __init__(self, number: int, fleet: list[Host]) -> None:
        self._fleet = fleet
        self.fact_table = facts.FactTable()
        self.controller = controllers.MoveController(
            f"h{number}", 1, self.fact_table, self
        )

    def publish(self, fact: facts.Fact) -> None:
        """Take a fact and spread it; the delay is below one step."""
        for host in self._fleet:
            host.fact_table.merge([fact])


class NaiveRollout:
    """The baseline: a time ramp that looks at the ratio of failures.

    It takes back when the new version's failure ratio since the start is
    above 5 %, as a plain rollout script would.
    """

    def __init__(self) -> None:
        self.share = 0.05
        self.rolled_back_s: float | None = None
        self._seen = self._failed = 0

    def record_request(self, failed: bool) -> None:
        """Count a request of the new version."""
        self._seen += 1
        self._failed += failed

    def update(self, now: float) -> None:
        """Ramp with time and look at the ratio."""
        if self._seen >= 50 and self._failed / self._seen > 0.05:
            self.share = 0.0
            if self.rolled_back_s is None:
                self.rolled_back_s = now
        if self.rolled_back_s is None:
            part = now / (MOVE_LENGTH_S - BAKE_S)
            self.share = min(1.0, 0.05 + part * 0.95)


def run_move(fault: Fault, seed: int) -> dict[str, Any]:
    """Run one move and say how it ended."""
    rng = random.Random(seed)
    fleet: list[Host] = []
    fleet.extend(Host(number, fleet) for number in range(HOSTS))
    config_index = build_config_index(MOVE_LENGTH_S, BAKE_S)
    move = config_index.configuration.moves[0]
    for host in fleet:
        host.controller.apply(config_index)
    naive = NaiveRollout()
    old_server, new_server = config_index.configuration.servers
    result: dict[str, Any] = {"bad_requests": 0, "new_requests": 0}
    shows_s: float | None = None
    naive_rng = random.Random(seed + 1)
    for step in range(int(MOVE_LENGTH_S / STEP_S) + 1):
        now = step * STEP_S
        for number in range(int(REQUESTS_PER_S * STEP_S)):
            host = fleet[rng.randrange(HOSTS)]
            route = "/a" if rng.random() < 0.8 else "/b"
            unit = f"{seed}-{step}-{number}"
            version = host.controller.list_versions(SERVICE, route, unit, now)[
                0
            ]
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
                shows_s = now if shows_s is None else shows_s
            if naive_rng.random() < naive.share:
                n_bad = _is_bad(fault, naive.share, now, route)
                n_failed, _ = _draw(
                    naive_rng, fault if n_bad else GOOD_VERSION
                )
                naive.record_request(n_failed)
        naive.update(now)
        for host in fleet:
            evidences = host.controller.build_evidence(now)
            if evidences is not None:
                for other in fleet:
                    other.controller.merge_evidence(evidences.entries)
        for host in fleet:
            host.controller.evaluate_moves(now)
        verdicts = fleet[0].controller.list_unrecorded_outcomes(now)
        if verdicts:
            for host in fleet:
                host.controller.publish_outcome(*verdicts[0])
            break
    result["ended_s"] = now
    result["verdict"] = fleet[0].controller.find_phase(move, now).value
    result["noticed_after_s"] = (
        round(now - shows_s, 2) if shows_s is not None else None
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
    """Draw an outcome: 0.5 % fail anyway, times are lognormal."""
    latency_s = rng.lognormvariate(0.0, 0.35) * 0.02 * fault.latency_factor
    failed = rng.random() < max(0.005, fault.failure_ratio)
    return failed, latency_s


def build_config_index(
    length_s: float, bake_s: float
) -> indexes.ConfigurationIndex:
    """Build a service whose version is moved, on two routes."""
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
    """Run each kind of version many times and sum up."""
    report: dict[str, Any] = {}
    with futures.ProcessPoolExecutor(workers) as pool:
        for fault in (GOOD_VERSION, NOISY_VERSION, *BAD_VERSIONS):
            jobs = [pool.submit(run_move, fault, seed) for seed in range(runs)]
            report[fault.name] = _sum_up([job.result() for job in jobs])
    return report


def _sum_up(results: list[dict[str, Any]]) -> dict[str, Any]:
    runs = len(results)
    noticed = sorted(
        r["noticed_after_s"]
        for r in results
        if r["noticed_after_s"] is not None
    )
    bad = sorted(r["bad_requests"] for r in results)
    return {
        "runs": runs,
        "done": sum(r["verdict"] == "done" for r in results),
        "taken_back": sum(r["verdict"] == "taken_back" for r in results),
        "latest_end_s": max(r["ended_s"] for r in results),
        "bad_requests_median": bad[runs // 2],
        "bad_requests_most": bad[-1],
        "noticed_after_s_median": noticed[len(noticed) // 2]
        if noticed
        else None,
        "naive_took_back": sum(r["naive_took_back"] for r in results),
    }
