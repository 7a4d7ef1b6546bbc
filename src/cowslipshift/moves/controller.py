"""This host's part in version moves."""

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
    from cowslipshift.world import atlas as atlases

STAGE_FACT = "move_stage"
"""Kind of facts that tell the highest stage that a move has reached."""

ROLLBACK_FACT = "move_fault"
"""Kind of facts that tell that a new version is taken back."""

OUTCOME_FACT = "move_verdict"
"""Kind of facts that tell what the store has recorded."""

DONE = "done"
ROLLED_BACK = "taken_back"

RETAINED_WINDOWS = 4
WINDOW_NUMBER_OFFSET = 16
"""More than a move has stages. Evidence of a whole stage has a negative
number, and numbers are sent with this added."""


class Phase(enum.Enum):
    """Where a move stands in this host's view."""

    WAITING = "waiting"
    RUNNING = "running"
    BAKING = "baking"
    DONE = DONE
    ROLLED_BACK = ROLLED_BACK


class Publisher(Protocol):
    """Spreads facts."""

    def publish(self, fact: facts.Fact) -> None:
        """Take a fact that was found here and spread it."""


class _Book:
    """The evidence on one move: by route, window and host."""

    __slots__ = ("own", "stage_since", "stage_window", "theirs")

    def __init__(self) -> None:
        self.own: dict[tuple[str, int], comparison.VersionPair] = {}
        self.theirs: dict[tuple[str, int, str], tuple[int, list[int]]] = {}
        self.stage_since: dict[int, float] = {}
        self.stage_window: dict[int, int] = {}


class MoveController:
    """Assigns requests to versions, gathers evidence and judges it.

    Stages, faults and verdicts are facts that only grow, so that hosts
    agree however late they hear: a fault outranks every stage.

    Args:
        host: Name of this host.
        incarnation: Number of this process.
        fact_table: The facts.
        publisher: Spreads facts.
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
        self._books: dict[str, _Book] = {}

    def apply(self, atlas: atlases.Atlas) -> None:
        """Follow a new configuration."""
        self._moves = {m.id: m for m in atlas.configuration.moves}
        self._by_service = {m.service: m for m in self._moves.values()}
        for gone in self._books.keys() - self._moves.keys():
            del self._books[gone]

    def list_versions(
        self, service: str, route: str, unit: str, wall_s: float
    ) -> list[str]:
        """Return the versions for a request, the one to use first.

        Where no move is under way this is "", for any version.

        Args:
            service: The service.
            route: The route.
            unit: Request id or idempotency key; the same unit gets the
                same version on all hosts that know the same stage.
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
        """Tell whether a server may run a request for a version.

        What the requesting host assumed may be outdated; a version that
        was taken back gets nothing, whoever asks.
        """
        move = self._by_service.get(server.service)
        if move is None or not version:
            return True
        if server.version == move.to_version and self._is_faulty(move):
            return False
        if version == move.to_version and self._is_faulty(move):
            return server.version == move.from_version
        return server.version == version

    def get_new_version_share(self, move: model.Move, wall_s: float) -> float:
        """Return the new version's share of the traffic right now."""
        phase = self.find_phase(move, wall_s)
        if phase in (Phase.WAITING, Phase.ROLLED_BACK):
            return 0.0
        if phase is Phase.DONE:
            return 1.0
        return stages.list_shares(move)[self._find_stage(move)]

    def find_phase(self, move: model.Move, wall_s: float) -> Phase:
        """Return where a move stands."""
        verdict = self._fact_table.get_fact(OUTCOME_FACT, move.id)
        if verdict is not None:
            return Phase(verdict.value)
        if self._is_faulty(move):
            return Phase.ROLLED_BACK
        if not stages.is_started(move, wall_s):
            return Phase.WAITING
        if self._find_stage(move) == stages.find_last_stage(move):
            return Phase.BAKING
        return Phase.RUNNING

    def note_outcome(
        self,
        server: model.Server,
        route: str,
        latency_s: float,
        failed: bool,
        wall_s: float,
    ) -> None:
        """Count the outcome of one attempt."""
        move = self._by_service.get(server.service)
        if move is None or not stages.is_started(move, wall_s):
            return
        if server.version not in (move.from_version, move.to_version):
            return
        book = self._books.setdefault(move.id, _Book())
        window = stages.find_window(move, wall_s)
        for number in (window, _number_stage(self._find_stage(move))):
            pair = book.own.setdefault(
                (route, number), comparison.build_pair()
            )
            is_new = server.version == move.to_version
            tally = pair.new if is_new else pair.old
            tally.record(latency_s, failed)

    def build_evidence(self, wall_s: float) -> messages.Evidences | None:
        """Build the counters that other hosts should know."""
        rows = []
        for name, book in self._books.items():
            current = stages.find_window(self._moves[name], wall_s)
            for route, window in list(book.own):
                if 0 <= window < current - RETAINED_WINDOWS:
                    del book.own[route, window]
                    continue
                if 0 <= window < current - 1:
                    continue
                pair = book.own[route, window]
                counts = pair.old.list_counts() + pair.new.list_counts()
                rows.append(
                    messages.Evidence(
                        move=name,
                        host=self._host,
                        incarnation=self._incarnation,
                        counts=[window + WINDOW_NUMBER_OFFSET, *counts],
                        route=route,
                    )
                )
        return messages.Evidences(rows) if rows else None

    def merge_evidence(self, rows: list[messages.Evidence]) -> None:
        """Take other hosts' counters; older ones are ignored."""
        for row in rows:
            if row.move not in self._moves or row.host == self._host:
                continue
            if len(row.counts) != 1 + 2 * comparison.COUNTS_PER_VERSION:
                continue
            book = self._books.setdefault(row.move, _Book())
            window, *counts = row.counts
            key = (
                row.route,
                window - WINDOW_NUMBER_OFFSET,
                f"{row.host}/{row.incarnation}",
            )
            known = book.theirs.get(key)
            if known is None or sum(counts) >= known[0]:
                book.theirs[key] = (sum(counts), counts)

    def evaluate_moves(self, wall_s: float) -> None:
        """Judge each move, publish faults and stages that are reached."""
        for move in self._moves.values():
            phase = self.find_phase(move, wall_s)
            if phase in (Phase.RUNNING, Phase.BAKING):
                self._judge(move, wall_s)

    def list_unrecorded_outcomes(self, wall_s: float) -> list[tuple[str, str]]:
        """Return the moves whose outcome should be recorded, and it."""
        due = []
        for move in self._moves.values():
            if self._fact_table.get_fact(OUTCOME_FACT, move.id) is not None:
                continue
            if self._is_faulty(move):
                due.append((move.id, ROLLED_BACK))
            elif self._has_baked(move, wall_s):
                due.append((move.id, DONE))
        return due

    def publish_outcome(self, name: str, verdict: str) -> None:
        """Spread the outcome that the store has recorded."""
        self._publisher.publish(facts.Fact(OUTCOME_FACT, name, 1, verdict))

    def describe_moves(self, wall_s: float) -> list[dict[str, object]]:
        """Describe all moves for the status page."""
        described: list[dict[str, object]] = []
        for move in self._moves.values():
            fault = self._fact_table.get_fact(ROLLBACK_FACT, move.id)
            described.append(
                {
                    "id": move.id,
                    "service": move.service,
                    "from": move.from_version,
                    "to": move.to_version,
                    "phase": self.find_phase(move, wall_s).value,
                    "share": self.get_new_version_share(move, wall_s),
                    "reason": fault.value if fault is not None else "",
                    "recorded": self._fact_table.get_fact(
                        OUTCOME_FACT, move.id
                    )
                    is not None,
                }
            )
        return described

    def _judge(self, move: model.Move, wall_s: float) -> None:
        book = self._books.setdefault(move.id, _Book())
        stage = self._find_stage(move)
        window = stages.find_window(move, wall_s)
        book.stage_since.setdefault(stage, wall_s)
        book.stage_window.setdefault(stage, window)
        judgements = self._compare(book, stage, window)
        for (route, number), judgement in judgements.items():
            if judgement in (
                comparison.ComparisonResult.FAILS,
                comparison.ComparisonResult.SLOW,
            ):
                self._take_back(
                    move, f"{judgement.value} route={route} window={number}"
                )
                return
        if stages.is_overdue(move, stage, wall_s):
            self._take_back(move, "overdue")
            return
        if stage < stages.find_last_stage(move) and self._may_climb(
            move, book, judgements, wall_s
        ):
            self._publisher.publish(
                facts.Fact(STAGE_FACT, move.id, stage + 1, "")
            )
            self._log.info("move_stage", move=move.id, stage=stage + 1)

    def _compare(
        self, book: _Book, stage: int, window: int
    ) -> dict[tuple[str, int], comparison.ComparisonResult]:
        """Compare the versions by route, lately and in this stage.

        Times are compared within a stage only: its share is constant, so
        that both versions met the same load in the same proportion.
        Failures of all stages count together.
        """
        routes = {route for route, _ in book.own}
        routes |= {route for route, _, _ in book.theirs}
        stage_numbers = {_number_stage(number) for number in range(stage + 1)}
        judgements = {}
        for route in routes:
            whole = self._sum_pairs(book, route, {_number_stage(stage)})
            recent = self._sum_pairs(book, route, {window, window - 1})
            total = self._sum_pairs(book, route, stage_numbers)
            judgements[route, _number_stage(stage)] = (
                comparison.compare_versions(whole, total)
            )
            judgements[route, window] = comparison.compare_versions(recent)
        return judgements

    def _sum_pairs(
        self, book: _Book, route: str, windows: set[int]
    ) -> comparison.VersionPair:
        summed = comparison.build_pair()
        for (name, window), pair in book.own.items():
            if name == route and window in windows:
                summed.old.add(pair.old.list_counts())
                summed.new.add(pair.new.list_counts())
        for (name, window, _), (_, counts) in book.theirs.items():
            if name == route and window in windows:
                summed.old.add(counts[: comparison.COUNTS_PER_VERSION])
                summed.new.add(counts[comparison.COUNTS_PER_VERSION :])
        return summed

    def _may_climb(
        self,
        move: model.Move,
        book: _Book,
        judgements: dict[tuple[str, int], comparison.ComparisonResult],
        wall_s: float,
    ) -> bool:
        """Tell whether the new version has earned the next stage."""
        stage = self._find_stage(move)
        dwell_s = stages.MIN_STAGE_WINDOWS * stages.compute_window_length(move)
        if wall_s - book.stage_since[stage] < dwell_s:
            return False
        totals = [
            judgement
            for (_, number), judgement in judgements.items()
            if number == _number_stage(stage)
        ]
        return comparison.ComparisonResult.GOOD in totals

    def _has_baked(self, move: model.Move, wall_s: float) -> bool:
        book = self._books.get(move.id)
        last = stages.find_last_stage(move)
        if book is None or self._find_stage(move) < last:
            return False
        since_s = book.stage_since.get(last)
        return since_s is not None and wall_s - since_s >= move.bake_s

    def _take_back(self, move: model.Move, reason: str) -> None:
        self._publisher.publish(facts.Fact(ROLLBACK_FACT, move.id, 1, reason))
        self._log.warn("move_taken_back", move=move.id, reason=reason)

    def _find_stage(self, move: model.Move) -> int:
        fact = self._fact_table.get_fact(STAGE_FACT, move.id)
        reached = fact.version if fact is not None else 0
        return min(reached, stages.find_last_stage(move))

    def _is_faulty(self, move: model.Move) -> bool:
        verdict = self._fact_table.get_fact(OUTCOME_FACT, move.id)
        if verdict is not None:
            return verdict.value == ROLLED_BACK
        return self._fact_table.get_fact(ROLLBACK_FACT, move.id) is not None


def _number_stage(stage: int) -> int:
    """Return the number under which evidence of a whole stage is kept."""
    return -1 - stage
