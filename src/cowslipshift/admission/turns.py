"""The order in which callers of one rank are admitted, equal on all hosts.

The hash of a caller is a place on a circle, and the callers that are admitted
are an arc of it. The arc moves on with the time of day, so that hosts agree
without a message: a caller that is refused here is refused next door, those
that have waited longest come next, and no caller is left out for longer than
a round.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from cowslipshift.steering import calls

ROUND_S = 2.0
"""Time in which the arc passes every caller once."""

RETURN_START = 0.2
RETURN_SPREAD = 0.4
"""Part of its turn at which a refused caller is to return, and the part over
which the returns are spread."""

MIN_WAIT_S = 0.05
"""Least time after which a caller is told to return."""


def name_caller(call: calls.Call) -> str:
    """Return what tells a caller's repeats: account, route and object.

    Requests without an object differ by their id, which is new each time.
    """
    account = call.account.name if call.account is not None else ""
    thing = call.affinity_key or call.id
    return f"{account}|{'|'.join(call.route.key)}|{thing}"


def measure_turn(caller: str, unix_s: float) -> float:
    """Return how far a caller's turn has come, from 0 to 1.

    Of a share `s` of the callers, those above `1 - s` are admitted.

    Args:
        caller: The caller, see `name_caller`.
        unix_s: Present Unix time, which all hosts share.
    """
    return (hashing.hash_fraction(caller) + unix_s / ROUND_S) % 1.0


def measure_wait(turn: float, share: float) -> float:
    """Return seconds until a caller's turn; 0 if it is now."""
    return max(0.0, 1.0 - share - turn) * ROUND_S


def choose_return(turn: float, share: float, request_id: str) -> float:
    """Return seconds after which a refused caller is to return.

    It is inside its turn, so that a slightly smaller share still admits it,
    and spread by the id of the request: many may concern one object.
    """
    spread = RETURN_SPREAD * hashing.hash_fraction(request_id)
    return measure_wait(turn, share) + (
        (RETURN_START + spread) * share * ROUND_S
    )
