"""Stages of a move, their traffic shares and their timing."""

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
"""Minimum length of a stage, in comparison windows."""

CONTROL_SHARE = 0.1
"""Share of the traffic that stays on the old version until the move is done.

Versions can only be compared while both run, since load and disturbances
change the latencies of both.
"""


def list_shares(move: model.Move) -> tuple[float, ...]:
    """Return the share of the new version at each stage, from 0 to 1."""
    early = move.early_share
    later = (share for share in LATER_SHARES if share > early)
    return (early, *(min(share, 1.0 - CONTROL_SHARE) for share in later))


def find_last_stage(move: model.Move) -> int:
    """Return the number of the last stage, in which the new version bakes."""
    return len(list_shares(move)) - 1


def compute_window_length(move: model.Move) -> float:
    """Return the length of a comparison window in seconds."""
    length_s = (move.end_ms - move.start_ms) / MS_PER_S
    return min(MAX_WINDOW_S, max(MIN_WINDOW_S, length_s / WINDOWS_PER_MOVE))


def find_window(move: model.Move, wall_s: float) -> int:
    """Return the number of the window at a Unix time in seconds."""
    elapsed_s = wall_s - move.start_ms / MS_PER_S
    return max(0, int(elapsed_s / compute_window_length(move)))


def is_started(move: model.Move, wall_s: float) -> bool:
    """Return whether the start time of the move has passed."""
    return wall_s * MS_PER_S >= move.start_ms


def is_overdue(move: model.Move, stage: int, wall_s: float) -> bool:
    """Return whether the move can no longer be completed by its end time."""
    left_s = move.end_ms / MS_PER_S - wall_s
    if stage < find_last_stage(move):
        return left_s <= move.bake_s
    return left_s <= 0.0
