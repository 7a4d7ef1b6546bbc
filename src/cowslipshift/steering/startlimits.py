"""How much of a quota a host grants that has just started."""

from __future__ import annotations

RESTART_FRACTION = 0.5
"""Fraction of the limit that a restarted host grants at first, as it does not
know what its predecessor admitted."""

JOIN_BLIND_S = 1.0
"""How long a host that has joined may not have heard the counts of the others;
meanwhile it grants its even share of the rate only."""


def scale_limit(limit: float, elapsed_windows: float) -> float:
    """Return the limit that a host applies after it has started.

    Args:
        limit: Requests allowed in a window.
        elapsed_windows: Time since the start, in windows.
    """
    if elapsed_windows >= 1.0:
        return limit
    return limit * (
        RESTART_FRACTION + (1.0 - RESTART_FRACTION) * elapsed_windows
    )


def compute_blind_share(
    limit: float, window_s: float, elapsed_s: float, hosts: int
) -> float | None:
    """Return what a host may admit that may not have heard the others.

    Args:
        limit: Requests allowed in a window.
        window_s: Length of the window.
        elapsed_s: Time since the start.
        hosts: Hosts that may admit requests, this one included.

    Returns:
        Requests since its start; ``None`` if it has heard the others.
    """
    if elapsed_s >= JOIN_BLIND_S or hosts <= 1:
        return None
    return limit / window_s / hosts * elapsed_s
