"""Rolls out new versions of services in time, or rolls them back.

All hosts follow the stage in the store. One host at a time, by rank,
evaluates the counts of all hosts and writes the next stage with a
compare-and-swap; if it does not, the next in rank does. Each host also stops
using a version on its own as soon as its own requests show a regression;
this needs no agreement.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import hashing
from cowslipshift.steering import lostanswers
from cowslipshift.store import exceptions

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import model

MS_PER_S = 1000

WATCHING = "watching"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"

RAMP_STEPS = (
    (0.0, 0.07),
    (0.50, 0.25),
    (0.57, 0.55),
    (0.64, 1.0),
)
"""Fraction of the ramp time at which a stage may begin, and the share of
requests that the new version then gets. The first stage is long, as some
versions fail late; its share is below the exposure that operators allow, a
tenth."""

COMPLETE_AT = 0.80
"""Fraction of the ramp time at which the old version may be abandoned."""

ROLL_BACK_AT = 0.93
"""Fraction of the ramp time at which a version that is not done is rolled
back, so that hosts learn of it before the deadline."""

MIN_ANSWERS = 20
"""Answers of the new version that the first step up needs."""

MIN_BAD_ANSWERS = 4
BAD_SHARE = 0.06
"""A version is rejected from this many and this share of bad answers on; sound
versions stay below half a percent."""

MIN_ERROR_RATIO = 3.0
LOCAL_MIN_BAD_ANSWERS = 3
LOCAL_BAD_SHARE = 0.2
"""Bad answers and their share at which a host stops using a version before the
counts of all hosts are evaluated."""

TAKEOVER_DELAY_S = 1.2
"""How long a host waits for each host before it in rank."""


CHECKPOINT_INTERVAL_S = 2.0
"""How often the first stage is written again with the time since the order, so
that hosts that all start anew know most of it. Times of day may jump and
differ between hosts, so none is compared."""

STORE_DELAY_S = 0.6
"""Time for a stage that was written to come back from the store."""


class Stage(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a roll-out; kept in the store.

    Attributes:
        order: Number of the order that it belongs to.
        version: The new version.
        step: Index into `RAMP_STEPS`.
        state: Watching, completed or rolled back.
        started_ms: Unix time at which the order was first seen; for operators
            only.
        elapsed_ms: Time since the order when the stage was written.
        era: Era of the store that the number of the order belongs to.
        rejected_versions: Versions that are not to be used.
        reason: Why this stage was written.
    """

    order: int
    version: str
    step: int
    state: str
    started_ms: int
    rejected_versions: tuple[str, ...] = msgspec.field(
        name="condemned", default=()
    )
    reason: str = ""
    elapsed_ms: int = 0
    era: int = 0

    @property
    def progress(self) -> tuple[bool, int, int]:
        """How far it is: of two stages of an order, the later has more.

        An order has one end. Of two that hosts wrote, the earlier one counts,
        as servers were stopped because of it.
        """
        if self.state == WATCHING:
            return False, self.step, self.elapsed_ms
        return True, -self.elapsed_ms, self.state == ROLLED_BACK

    def belongs_to(self, order: model.RolloutOrder) -> bool:
        """Tell whether it is a stage of an order.

        The number of an order changes where it was written again in a later
        era; the stage follows once it has been written again as well.
        """
        if self.version != order.version:
            return False
        return self.order == order.order or self.era < order.era


class Counts(msgspec.Struct, frozen=True):
    """Answers by version since an order, on one or all hosts."""

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def add(self, other: Counts) -> Counts:
        """Return the sums."""
        return Counts(
            self.new + other.new,
            self.new_bad + other.new_bad,
            self.old + other.old,
            self.old_bad + other.old_bad,
        )

    def shows_regression(self, min_bad: int, min_bad_share: float) -> bool:
        """Tell whether the new version is worse than chance explains.

        Args:
            min_bad: Minimum number of bad answers.
            min_bad_share: Minimum share of bad answers.
        """
        if self.new_bad < min_bad or self.new_bad < min_bad_share * self.new:
            return False
        old_share = self.old_bad / self.old if self.old else 0.0
        return self.new_bad / self.new > MIN_ERROR_RATIO * old_share


def encode_stage(stage: Stage) -> bytes:
    """Encode a stage as JSON."""
    return msgspec.json.encode(stage)


def decode_stage(raw: bytes) -> Stage:
    """Decode a stage.

    Raises:
        StoreAnswerError: The bytes are not a stage.
    """
    try:
        return msgspec.json.decode(raw, type=Stage)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise exceptions.StoreAnswerError(
            f"a stage of a roll-out is malformed: {error}"
        ) from error


class Rollout:
    """One service's roll-out as one host sees it.

    Attributes:
        order: The operators' order, or ``None``.
        stage: The stage in the store, or ``None``.
        stage_revision: Its store revision; 0 if there is none.
        rejects_new_version: Whether this host stopped using the new version.
    """

    __slots__ = (
        "_due_since_s",
        "_credit",
        "_era",
        "_is_lost",
        "_lost_answers",
        "_peers",
        "_settles_at_s",
        "_started_s",
        "rejects_new_version",
        "counts",
        "order",
        "service",
        "stage",
        "stage_revision",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.order: model.RolloutOrder | None = None
        self.stage: Stage | None = None
        self.stage_revision = 0
        self._era = 0
        self._is_lost = False
        self._settles_at_s = -math.inf
        self.counts = Counts()
        self.rejects_new_version = False
        self._peers: dict[str, Counts] = {}
        self._lost_answers = lostanswers.LostAnswers()
        self._credit = 0.0
        self._started_s = 0.0
        self._due_since_s = 0.0

    def begin_era(self, era: int, settles_at_s: float) -> None:
        """Follow a store that may have lost a part of what it held.

        Args:
            era: Era of the store.
            settles_at_s: Time until which other hosts may know more.
        """
        self._era = era
        self._settles_at_s = settles_at_s

    def set_order(self, order: model.RolloutOrder | None, now: float) -> None:
        """Apply the operators' order, or its removal."""
        if order is not None and (
            self.order is None or not order.is_same_as(self.order)
        ):
            self.counts = Counts()
            self.rejects_new_version = False
            self._peers.clear()
            self._lost_answers.clear()
            self._credit = 0.0
            self._started_s = self._due_since_s = now
        elif order is not None:
            self._renumber_stage(order)
        self.order = order
        self._apply_elapsed_time(now)

    def _renumber_stage(self, order: model.RolloutOrder) -> None:
        """Let the stage follow its order, which was written again.

        Args:
            order: The order, with another number.
        """
        stage = self.get_current_stage()
        if stage is None or stage.belongs_to(order):
            return
        self.stage = msgspec.structs.replace(
            stage, order=order.order, era=order.era
        )
        self._is_lost = True

    def set_stage(
        self, stage: Stage | None, revision: int, now: float, era: int = 0
    ) -> None:
        """Apply the stage in the store.

        A store that has come back from a copy may have an earlier one, or
        none. The one that is known stays in force as it is, and is written
        again.

        Args:
            stage: The stage; ``None`` if there is none.
            revision: Its store revision; 0 if there is none.
            now: Present time.
            era: Era of the store.
        """
        self._is_lost = self.is_behind(stage, era)
        if not self._is_lost:
            self.stage = stage
        self._era = max(self._era, era)
        self.stage_revision = revision
        self._due_since_s = now
        self._apply_elapsed_time(now)

    def is_behind(self, stage: Stage | None, era: int) -> bool:
        """Tell whether the store has lost a stage that is known.

        Args:
            stage: The stage in the store, if there is one.
            era: Era of the store.
        """
        known = self.stage
        if known is None:
            return False
        if stage is None:
            return era > 0
        is_same_version = stage.version == known.version
        if stage.era == known.era:
            if stage.era < era:
                # Both are from before the store came back.
                return (stage.order, stage.progress) < (
                    known.order,
                    known.progress,
                )
            is_same = is_same_version and stage.order == known.order
            return is_same and stage.progress[:2] < known.progress[:2]
        if is_same_version:
            return stage.progress < known.progress
        return (
            self.order is not None
            and known.belongs_to(self.order)
            and not stage.belongs_to(self.order)
        )

    def measure_elapsed(self, now: float) -> float:
        """Return the seconds since the order, as far as is known."""
        return now - self._started_s

    def _apply_elapsed_time(self, now: float) -> None:
        """Learn from the stage that more time has passed since the order."""
        stage = self.get_current_stage()
        if self.order is not None and stage is not None:
            self._record_elapsed(stage.elapsed_ms / MS_PER_S, now)

    def _record_elapsed(self, elapsed_s: float, now: float) -> None:
        self._started_s = min(self._started_s, now - elapsed_s)

    def get_current_stage(self) -> Stage | None:
        """Return the stage of the order in force."""
        if self.order is None or self.stage is None:
            return self.stage
        return self.stage if self.stage.belongs_to(self.order) else None

    def get_new_version_share(self) -> float:
        """Return the share of requests that the new version gets."""
        stage = self.get_current_stage()
        if self.order is None or stage is None or self.rejects_new_version:
            return 0.0
        if stage.state == COMPLETED:
            return 1.0
        if stage.state == ROLLED_BACK:
            return 0.0
        return RAMP_STEPS[stage.step][1]

    def choose_new_version(self) -> bool:
        """Choose whether the next request goes to the new version."""
        self._credit += self.get_new_version_share()
        if self._credit >= 1.0:
            self._credit -= 1.0
            return True
        return False

    def may_use(self, version: str, uses_new_version: bool) -> bool:
        """Tell whether a version may run a request.

        Args:
            version: Version of a backend server.
            uses_new_version: What `choose_new_version` returned for the
                request.
        """
        stage = self.get_current_stage()
        if stage is not None and stage.state == COMPLETED:
            return version == stage.version
        if self.stage is not None and version in self.stage.rejected_versions:
            return False
        if self.order is None:
            return stage is None or version != stage.version
        return (version == self.order.version) == uses_new_version

    def record_answer(self, version: str, is_bad: bool) -> bool:
        """Record an answer; return whether the version is now rejected."""
        if self.order is None:
            return False
        bad = int(is_bad)
        if version == self.order.version:
            self.counts = self.counts.add(Counts(1, bad, 0, 0))
        else:
            self.counts = self.counts.add(Counts(0, 0, 1, bad))
        stage = self.get_current_stage()
        is_in_progress = stage is None or stage.state == WATCHING
        if not self.rejects_new_version and is_in_progress:
            self.rejects_new_version = self.counts.shows_regression(
                LOCAL_MIN_BAD_ANSWERS, LOCAL_BAD_SHARE
            )
            return self.rejects_new_version
        return False

    def record_lost_answer(self, lost: lostanswers.LostAnswer) -> None:
        """Record an answer that was lost; it may count later."""
        if self.order is not None:
            self._lost_answers.add(lost)

    def record_server(self, server: str, is_gone: bool, now: float) -> None:
        """Record that a server answered, or that it is gone."""
        if is_gone:
            self._lost_answers.record_gone(server, now)
        else:
            self._lost_answers.record_answer(server, now)

    def count_lost_answers(self, now: float) -> bool:
        """Count lost answers that no gone server explains.

        Returns:
            Whether the new version is now rejected.
        """
        proven = self._lost_answers.take_proven(now)
        rejections = [
            self.record_answer(lost.version, is_bad=True) for lost in proven
        ]
        return any(rejections)

    def record_peer(
        self,
        process: str,
        order: int,
        counts: Counts,
        rejects_new_version: bool,
        elapsed_s: float,
        now: float,
        version: str = "",
    ) -> None:
        """Record another process's counts of an order.

        Args:
            process: The process.
            order: Number of the order.
            counts: What it has counted.
            rejects_new_version: Whether it has stopped using the new version.
            elapsed_s: Time since the order that it knows of.
            now: Time at which it sent this.
            version: The new version that it knows of, if it tells.
        """
        if self.order is None or self.order.order != order:
            return
        if version and version != self.order.version:
            return
        self._peers[process] = counts
        self._record_elapsed(elapsed_s, now)
        self.rejects_new_version = (
            self.rejects_new_version or rejects_new_version
        )

    def sum_counts(self) -> Counts:
        """Return the counts of all hosts."""
        total = self.counts
        for counts in self._peers.values():
            total = total.add(counts)
        return total

    def propose_stage(
        self, now: float, wall_s: float, name: str, hosts: Iterable[str]
    ) -> Stage | None:
        """Return the next stage if it is this host's turn to write it.

        Args:
            now: Present time.
            wall_s: Present Unix time, kept for operators only.
            name: This host.
            hosts: All live hosts.
        """
        proposed = self._restore(now) or self._propose_next(now, wall_s)
        if proposed is None:
            self._due_since_s = now
            return None
        ranking = hashing.rank_members(
            f"rollout|{self.service}", {*hosts, name}
        )
        if now - self._due_since_s < TAKEOVER_DELAY_S * ranking.index(name):
            return None
        return proposed

    def _restore(self, now: float) -> Stage | None:
        """Return the known stage if the store has lost it, or its era.

        A stage of the store's present era stands for what all hosts know. It
        gets that era once those who know a further one have had the time to
        write it.
        """
        known = self.stage
        if known is None:
            return None
        if self._is_settled(now):
            if known.era >= self._era and not self._is_lost:
                return None
            restored = self._renew(known)
        elif self._is_lost:
            restored = known
        else:
            return None
        return msgspec.structs.replace(restored, reason="restored")

    def _renew(self, stage: Stage) -> Stage:
        """Return a stage as one of the store's present era."""
        number = stage.order
        if self.order is not None and stage.belongs_to(self.order):
            number = self.order.order
        return msgspec.structs.replace(stage, order=number, era=self._era)

    def _is_settled(self, now: float) -> bool:
        """Tell whether what other hosts know is certainly known here."""
        return now >= self._settles_at_s

    def _propose_next(self, now: float, wall_s: float) -> Stage | None:
        stage = self.get_current_stage()
        if self.order is None:
            return None
        if stage is not None and stage.state != WATCHING:
            return None
        has_present_stage = stage is not None and stage.era >= self._era
        if not has_present_stage and not self._is_settled(now):
            return None
        return self._evaluate(stage, now, wall_s)

    def defer(self, now: float) -> None:
        """Postpone the next evaluation because a stage was just written."""
        self._due_since_s = now + STORE_DELAY_S

    def _evaluate(
        self, stage: Stage | None, now: float, wall_s: float
    ) -> Stage | None:
        assert self.order is not None
        if stage is None:
            return self._build_stage(0, WATCHING, now, wall_s, "ordered")
        elapsed_s = self.measure_elapsed(now)
        elapsed = elapsed_s / max(self.order.ramp_s, 1.0)
        total = self.sum_counts()
        if self.rejects_new_version or total.shows_regression(
            MIN_BAD_ANSWERS, BAD_SHARE
        ):
            return self._build_stage(
                stage.step,
                ROLLED_BACK,
                now,
                wall_s,
                f"{total.new_bad} of {total.new} answers bad",
            )
        last = len(RAMP_STEPS) - 1
        if stage.step == last and elapsed >= COMPLETE_AT:
            return self._build_stage(last, COMPLETED, now, wall_s, "in time")
        if elapsed >= ROLL_BACK_AT:
            return self._build_stage(
                stage.step, ROLLED_BACK, now, wall_s, "too late"
            )
        if stage.step < last and elapsed >= RAMP_STEPS[stage.step + 1][0]:
            if total.new < MIN_ANSWERS:
                return None
            return self._build_stage(
                stage.step + 1,
                WATCHING,
                now,
                wall_s,
                f"{total.new_bad} of {total.new} answers bad",
            )
        written_s = stage.elapsed_ms / MS_PER_S
        if stage.step == 0 and elapsed_s - written_s >= CHECKPOINT_INTERVAL_S:
            return self._build_stage(0, WATCHING, now, wall_s, "in progress")
        return None

    def _build_stage(
        self, step: int, state: str, now: float, wall_s: float, reason: str
    ) -> Stage:
        assert self.order is not None
        known = self.stage
        rejected_versions = (
            known.rejected_versions if known is not None else ()
        )
        current = self.get_current_stage()
        if state == ROLLED_BACK:
            rejected_versions = (*rejected_versions, self.order.version)
        elif current is None:
            # A rejected version that is ordered again gets another chance.
            rejected_versions = tuple(
                v for v in rejected_versions if v != self.order.version
            )
        started_ms = (
            current.started_ms if current is not None else int(wall_s * 1000)
        )
        return Stage(
            order=self.order.order,
            version=self.order.version,
            step=step,
            state=state,
            started_ms=started_ms,
            rejected_versions=rejected_versions,
            reason=reason,
            elapsed_ms=int(self.measure_elapsed(now) * MS_PER_S),
            era=max(self._era, self.order.era),
        )
