"""Progress and rollback of version moves on one host.

A move replaces one version of a service by another. It sends the new version a
growing share of the traffic and compares it with the old version.
"""

from __future__ import annotations

import enum
from typing import Protocol
from typing import TYPE_CHECKING

from cowslipshift.coordination import facts
from cowslipshift.coordination import hashing
from cowslipshift.moves import comparison
from cowslipshift.moves import stages
from cowslipshift.peers import messages
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift.config import model
    from cowslipshift.topology import index as indexes

STAGE_FACT = "move_stage"
"""Kind of the fact that holds the highest stage a move has reached."""

ROLLBACK_FACT = "move_fault"
"""Kind of the fact that says that a move is rolled back, and why."""

OUTCOME_FACT = "move_verdict"
"""Kind of the fact that holds the outcome recorded in the store."""

DONE = "done"
ROLLED_BACK = "taken_back"

RETAINED_WINDOWS = 4
WINDOW_NUMBER_OFFSET = 16
"""Added to window numbers in messages, which cannot carry negative numbers.

Counters of a whole stage have negative window numbers. The offset is larger
than the number of stages of a move.
"""


class Phase(enum.Enum):
    """Progress of a move as this host knows it."""

    WAITING = "waiting"
    RUNNING = "running"
    BAKING = "baking"
    DONE = DONE
    ROLLED_BACK = ROLLED_BACK


class Publisher(Protocol):
    """Publishes facts to other hosts."""

    def publish(self, fact: facts.Fact) -> None:
        """Store a fact of this host and send it to other hosts."""


class _MoveCounters:
    """Request counters of one move.

    Attributes:
        own: Counters of this host by route and window number.
        remote: Counters of other hosts by route, window number and process,
            each with their sum.
        stage_since: Unix time in seconds at which each stage was first
            evaluated here.
        stage_window: Window in which each stage was first evaluated here.
    """

    __slots__ = ("own", "stage_since", "stage_window", "remote")

    def __init__(self) -> None:
        self.own: dict[tuple[str, int], comparison.VersionPair] = {}
        self.remote: dict[tuple[str, int, str], tuple[int, list[int]]] = {}
        self.stage_since: dict[int, float] = {}
        self.stage_window: dict[int, int] = {}


class MoveController:
    """Assigns requests to versions and decides how each move proceeds.

    Stages, rollbacks and outcomes are monotone facts, so that hosts converge
    in whatever order they receive them. A rollback takes precedence over
    every stage.

    Args:
        host: Name of this host.
        incarnation: Incarnation number of this process.
        fact_table: Facts known to this host.
        publisher: Publishes facts to other hosts.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        fact_table: facts.FactTable,
        publisher: Publisher,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._fact_table = fact_table
        self._publisher = publisher
        self._log = logs.EventLog("moves")
        self._moves: dict[str, model.Move] = {}
        self._by_service: dict[str, model.Move] = {}
        self._counters: dict[str, _MoveCounters] = {}

    def apply(self, config_index: indexes.ConfigurationIndex) -> None:
        """Apply a new configuration."""
        self._moves = {m.id: m for m in config_index.configuration.moves}
        self._by_service = {m.service: m for m in self._moves.values()}
        for removed in self._counters.keys() - self._moves.keys():
            del self._counters[removed]

    def list_versions(
        self, service: str, route: str, unit: str, wall_s: float
    ) -> list[str]:
        """Return the versions that may run a request, preferred one first.

        Without a move for the service and route this is "", which stands for
        any version.

        Args:
            service: Name of the service.
            route: Name of the route.
            unit: Request id or idempotency key. Hosts that know the same
                stage assign the same unit to the same version.
            wall_s: Unix time in seconds.
        """
        move = self._by_service.get(service)
        if move is None:
            return [""]
        if move.routes and route not in move.routes:
            return [move.from_version]
        share = self.get_new_version_share(move, wall_s)
        position = hashing.hash_fraction(f"{move.id}|{unit}")
        if position >= share:
            return [move.from_version]
        return [move.to_version, move.from_version]

    def may_run(self, server: model.Server, version: str) -> bool:
        """Return whether a server may run a request for a version.

        The requesting host may not know the current stage yet. A version
        that was rolled back gets no requests, whichever host sends them.
        """
        move = self._by_service.get(server.service)
        if move is None or not version:
            return True
        if server.version == move.to_version and self._is_rolled_back(move):
            return False
        if version == move.to_version and self._is_rolled_back(move):
            return server.version == move.from_version
        return server.version == version

    def get_new_version_share(self, move: model.Move, wall_s: float) -> float:
        """Return the current share of the new version, from 0 to 1."""
        phase = self.find_phase(move, wall_s)
        if phase in (Phase.WAITING, Phase.ROLLED_BACK):
            return 0.0
        if phase is Phase.DONE:
            return 1.0
        return stages.list_shares(move)[self._find_stage(move)]

    def find_phase(self, move: model.Move, wall_s: float) -> Phase:
        """Return the current phase of a move."""
        outcome = self._fact_table.get_fact(OUTCOME_FACT, move.id)
        if outcome is not None:
            return Phase(outcome.value)
        if self._is_rolled_back(move):
            return Phase.ROLLED_BACK
        if not stages.is_started(move, wall_s):
            return Phase.WAITING
        if self._find_stage(move) == stages.find_last_stage(move):
            return Phase.BAKING
        return Phase.RUNNING

    def record_outcome(
        self,
        server: model.Server,
        route: str,
        latency_s: float,
        failed: bool,
        wall_s: float,
    ) -> None:
        """Count the outcome of one attempt for the version that ran it."""
        move = self._by_service.get(server.service)
        if move is None or not stages.is_started(move, wall_s):
            return
        if server.version not in (move.from_version, move.to_version):
            return
        counters = self._counters.setdefault(move.id, _MoveCounters())
        window = stages.find_window(move, wall_s)
        for number in (window, _get_stage_number(self._find_stage(move))):
            pair = counters.own.setdefault(
                (route, number), comparison.build_pair()
            )
            is_new = server.version == move.to_version
            version_counts = pair.new if is_new else pair.old
            version_counts.record(latency_s, failed)

    def build_evidence(self, wall_s: float) -> messages.EvidenceReport | None:
        """Build a message with this host's counters for other hosts.

        It has the counters of whole stages, of the current window and of the
        one before. Counters of old windows are dropped here.

        Returns:
            The message, or None if there are no counters.
        """
        entries = []
        for name, counters in self._counters.items():
            current = stages.find_window(self._moves[name], wall_s)
            for route, window in list(counters.own):
                if 0 <= window < current - RETAINED_WINDOWS:
                    del counters.own[route, window]
                    continue
                if 0 <= window < current - 1:
                    continue
                pair = counters.own[route, window]
                counts = pair.old.list_counts() + pair.new.list_counts()
                entries.append(
                    messages.Evidence(
                        move=name,
                        host=self._host,
                        incarnation=self._incarnation,
                        counts=[window + WINDOW_NUMBER_OFFSET, *counts],
                        route=route,
                    )
                )
        return messages.EvidenceReport(entries) if entries else None

    def merge_evidence(self, entries: list[messages.Evidence]) -> None:
        """Store counters of other hosts.

        Counters only grow, so that a message with a lower sum than the stored
        one is outdated and ignored.
        """
        for entry in entries:
            if entry.move not in self._moves or entry.host == self._host:
                continue
            if len(entry.counts) != 1 + 2 * comparison.COUNTS_PER_VERSION:
                continue
            counters = self._counters.setdefault(entry.move, _MoveCounters())
            window, *counts = entry.counts
            key = (
                entry.route,
                window - WINDOW_NUMBER_OFFSET,
                f"{entry.host}/{entry.incarnation}",
            )
            known = counters.remote.get(key)
            if known is None or sum(counts) >= known[0]:
                counters.remote[key] = (sum(counts), counts)

    def evaluate_moves(self, wall_s: float) -> None:
        """Evaluate running moves and publish rollbacks and new stages."""
        for move in self._moves.values():
            phase = self.find_phase(move, wall_s)
            if phase in (Phase.RUNNING, Phase.BAKING):
                self._evaluate(move, wall_s)

    def list_unrecorded_outcomes(self, wall_s: float) -> list[tuple[str, str]]:
        """Return id and outcome of ended moves that the store lacks."""
        unrecorded = []
        for move in self._moves.values():
            if self._fact_table.get_fact(OUTCOME_FACT, move.id) is not None:
                continue
            if self._is_rolled_back(move):
                unrecorded.append((move.id, ROLLED_BACK))
            elif self._is_bake_complete(move, wall_s):
                unrecorded.append((move.id, DONE))
        return unrecorded

    def publish_outcome(self, name: str, outcome: str) -> None:
        """Publish the outcome of a move that the store has recorded."""
        self._publisher.publish(facts.Fact(OUTCOME_FACT, name, 1, outcome))

    def describe_moves(self, wall_s: float) -> list[dict[str, object]]:
        """Describe all moves for the status page."""
        described: list[dict[str, object]] = []
        for move in self._moves.values():
            rollback = self._fact_table.get_fact(ROLLBACK_FACT, move.id)
            described.append(
                {
                    "id": move.id,
                    "service": move.service,
                    "from": move.from_version,
                    "to": move.to_version,
                    "phase": self.find_phase(move, wall_s).value,
                    "share": self.get_new_version_share(move, wall_s),
                    "reason": rollback.value if rollback is not None else "",
                    "recorded": self._fact_table.get_fact(
                        OUTCOME_FACT, move.id
                    )
                    is not None,
                }
            )
        return described

    def _evaluate(self, move: model.Move, wall_s: float) -> None:
        counters = self._counters.setdefault(move.id, _MoveCounters())
        stage = self._find_stage(move)
        window = stages.find_window(move, wall_s)
        counters.stage_since.setdefault(stage, wall_s)
        counters.stage_window.setdefault(stage, window)
        results = self._compare_routes(counters, stage, window)
        for (route, number), result in results.items():
            if result in (
                comparison.ComparisonResult.FAILS,
                comparison.ComparisonResult.SLOW,
            ):
                self._roll_back(
                    move, f"{result.value} route={route} window={number}"
                )
                return
        if stages.is_overdue(move, stage, wall_s):
            self._roll_back(move, "overdue")
            return
        if stage < stages.find_last_stage(move) and self._may_advance(
            move, counters, results, wall_s
        ):
            self._publisher.publish(
                facts.Fact(STAGE_FACT, move.id, stage + 1, "")
            )
            self._log.info("move_stage", move=move.id, stage=stage + 1)

    def _compare_routes(
        self, counters: _MoveCounters, stage: int, window: int
    ) -> dict[tuple[str, int], comparison.ComparisonResult]:
        """Compare the versions on each route, recently and in this stage.

        Latencies are compared within one stage only. The share is constant
        there, so that both versions were exposed to the same load in the same
        proportion. Failures of all stages are counted together.

        Returns:
            Results by route and window number.
        """
        routes = {route for route, _ in counters.own}
        routes |= {route for route, _, _ in counters.remote}
        stage_numbers = {
            _get_stage_number(number) for number in range(stage + 1)
        }
        results = {}
        for route in routes:
            stage_pair = self._sum_counts(
                counters, route, {_get_stage_number(stage)}
            )
            recent_pair = self._sum_counts(
                counters, route, {window, window - 1}
            )
            total_pair = self._sum_counts(counters, route, stage_numbers)
            results[route, _get_stage_number(stage)] = (
                comparison.compare_versions(stage_pair, total_pair)
            )
            results[route, window] = comparison.compare_versions(recent_pair)
        return results

    def _sum_counts(
        self, counters: _MoveCounters, route: str, windows: set[int]
    ) -> comparison.VersionPair:
        summed = comparison.build_pair()
        for (name, window), pair in counters.own.items():
            if name == route and window in windows:
                summed.old.add(pair.old.list_counts())
                summed.new.add(pair.new.list_counts())
        for (name, window, _), (_, counts) in counters.remote.items():
            if name == route and window in windows:
                summed.old.add(counts[: comparison.COUNTS_PER_VERSION])
                summed.new.add(counts[comparison.COUNTS_PER_VERSION :])
        return summed

    def _may_advance(
        self,
        move: model.Move,
        counters: _MoveCounters,
        results: dict[tuple[str, int], comparison.ComparisonResult],
        wall_s: float,
    ) -> bool:
        """Return whether the stage lasted long enough and a route is good."""
        stage = self._find_stage(move)
        dwell_s = stages.MIN_STAGE_WINDOWS * stages.compute_window_length(move)
        if wall_s - counters.stage_since[stage] < dwell_s:
            return False
        stage_results = [
            result
            for (_, number), result in results.items()
            if number == _get_stage_number(stage)
        ]
        return comparison.ComparisonResult.GOOD in stage_results

    def _is_bake_complete(self, move: model.Move, wall_s: float) -> bool:
        counters = self._counters.get(move.id)
        last = stages.find_last_stage(move)
        if counters is None or self._find_stage(move) < last:
            return False
        since_s = counters.stage_since.get(last)
        return since_s is not None and wall_s - since_s >= move.bake_s

    def _roll_back(self, move: model.Move, reason: str) -> None:
        self._publisher.publish(facts.Fact(ROLLBACK_FACT, move.id, 1, reason))
        self._log.warn("move_taken_back", move=move.id, reason=reason)

    def _find_stage(self, move: model.Move) -> int:
        fact = self._fact_table.get_fact(STAGE_FACT, move.id)
        reached = fact.version if fact is not None else 0
        return min(reached, stages.find_last_stage(move))

    def _is_rolled_back(self, move: model.Move) -> bool:
        outcome = self._fact_table.get_fact(OUTCOME_FACT, move.id)
        if outcome is not None:
            return outcome.value == ROLLED_BACK
        return self._fact_table.get_fact(ROLLBACK_FACT, move.id) is not None


def _get_stage_number(stage: int) -> int:
    """Return the window number of the counters of a whole stage."""
    return -1 - stage
