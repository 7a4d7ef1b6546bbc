"""Deciding what a host asks of the holders of an account."""

from __future__ import annotations

from cowslipshift.coordination import shares

RENEW_BEFORE_S = shares.LOAN_TERM_S / 2
OVERREQUEST_FACTOR = 1.5
"""How much more than its part each holder is asked for."""

IDLE_RATE_PER_S = 0.05
LOOK_AHEAD_INTERVALS = 4.0
"""Decisions ahead for which tokens must be at hand."""

RELEASE_FRACTION = 0.7
"""A loan is shrunk once demand needs less than this part of it."""


def plan_requests(
    share: shares.QuotaShare,
    holders: list[str],
    waiting: int,
    interval_s: float,
    now: float,
    exhausted: bool = False,
) -> list[tuple[str, float, float]]:
    """Decide what to ask of whom.

    Args:
        share: The asking host's part.
        holders: Hosts that hold base parts, without this one.
        waiting: Requests that wait for a token.
        interval_s: Time until the next decision.
        now: Monotonic time in seconds.
        exhausted: Whether all holders just gave what they could; loans are
            then only renewed.

    Returns:
        For each holder to ask: its name, the whole rate and the tokens.
    """
    demand = share.demand.measure(now)
    borrowed = share.list_borrowed(now)
    if not holders or (
        demand < IDLE_RATE_PER_S and not waiting and not borrowed
    ):
        return []
    at_hand = share.measure_tokens(now)
    due = share.find_due(now, RENEW_BEFORE_S)
    lacks = waiting > 0 or at_hand < demand * interval_s * LOOK_AHEAD_INTERVALS
    if exhausted or not lacks:
        return _plan_release(share, borrowed, due, now)
    rate, tokens = share.measure_shortage(now)
    tokens = max(tokens, waiting - at_hand + 1.0)
    plan = []
    for holder in holders:
        held = borrowed.get(holder, 0.0)
        wanted = held + rate * OVERREQUEST_FACTOR / len(holders)
        each = tokens * OVERREQUEST_FACTOR / len(holders)
        plan.append((holder, max(wanted, IDLE_RATE_PER_S), each))
    return plan


def _plan_release(
    share: shares.QuotaShare,
    borrowed: dict[str, float],
    due: list[str],
    now: float,
) -> list[tuple[str, float, float]]:
    """Renew the loans that are due, and shrink those not needed."""
    plan = []
    for holder, held in borrowed.items():
        needed = share.measure_needed_rate(holder, now)
        if needed < IDLE_RATE_PER_S:
            needed = 0.0
        if needed < held * RELEASE_FRACTION:
            plan.append((holder, needed, 0.0))
        elif holder in due:
            plan.append((holder, held, 0.0))
    return plan
