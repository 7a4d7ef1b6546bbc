"""The stages of a move and when each may begin."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.config import model

MS_PER_S = 1000
LATER_SHARES = (0.1, 0.25, 0.5, 1.0)
WINDOWS_PER_MOVE = 24
MIN_WINDOW_S = 0.5
MAX_WINDOW_S = 10.0
MIN_STAGE_WINDOWS = 2
"""Windows that a stage lasts at least."""

CONTROL_SHARE = 0.1
"""Share of the traffic that stays on the old version until the move is done.
Versions can only be compared while both run: load and disturbances change
the times of both."""


def list_shares(move: model.Move) -> tuple[float, ...]:
    """Return the new version's share of the traffic at each stage."""
    early = move.early_share
    later = (share for share in LATER_SHARES if share > early)
    return (early, *(min(share, 1.0 - CONTROL_SHARE) for share in later))


def find_last_stage(move: model.Move) -> int:
    """Return the stage in which the new version has to prove itself."""
    return len(list_shares(move)) - 1


def compute_window_length(move: model.Move) -> float:
    """Return the seconds over which requests are compared."""
    length_s = (move.end_ms - move.start_ms) / MS_PER_S
    return min(MAX_WINDOW_S, max(MIN_WINDOW_S, length_s / WINDOWS_PER_MOVE))


def find_window(move: model.Move, wall_s: float) -> int:
    """Return the number of the window at a moment."""
    elapsed_s = wall_s - move.start_ms / MS_PER_S
    return max(0, int(elapsed_s / compute_window_length(move)))


def is_started(move: model.Move, wall_s: float) -> bool:
    """Tell whether the move has begun."""
    return wall_s * MS_PER_S >= move.start_ms


def is_overdue(move: model.Move, stage: int, wall_s: float) -> bool:
    """Tell whether the move can no longer be done by its end."""
    left_s = move.end_ms / MS_PER_S - wall_s
    if stage < find_last_stage(move):
        return left_s <= move.bake_s
    return left_s <= 0.0
