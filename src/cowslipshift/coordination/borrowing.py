"""Planning of loan requests to the hosts that hold an account's quota."""

from __future__ import annotations

from cowslipshift.coordination import shares

RENEW_BEFORE_S = shares.LOAN_TERM_S / 2
OVERREQUEST_FACTOR = 1.5
"""Factor by which requests exceed a holder's equal part of the shortage."""

IDLE_RATE_PER_S = 0.05
"""Requests per second below which an account counts as unused."""

LOOK_AHEAD_INTERVALS = 4.0
"""Planning intervals for which tokens must be available."""

RELEASE_FRACTION = 0.7
"""A loan is reduced once demand needs less than this fraction of it."""


def plan_requests(
    share: shares.QuotaShare,
    holders: list[str],
    waiting: int,
    interval_s: float,
    now: float,
    exhausted: bool = False,
) -> list[tuple[str, float, float]]:
    """Decide which loans to request, renew or reduce.

    Args:
        share: Share of the borrowing host.
        holders: Other hosts that hold a base share.
        waiting: Number of requests that wait for a token.
        interval_s: Seconds until the next planning.
        now: Monotonic time in seconds.
        exhausted: Whether all holders have just granted all they could;
            loans are then only renewed or reduced.

    Returns:
        For each holder to ask: its name, the total rate to borrow from it,
        and the number of tokens.
    """
    demand = share.demand.measure(now)
    borrowed = share.list_borrowed(now)
    if not holders or (
        demand < IDLE_RATE_PER_S and not waiting and not borrowed
    ):
        return []
    available = share.measure_tokens(now)
    due = share.find_due(now, RENEW_BEFORE_S)
    is_short = (
        waiting > 0 or available < demand * interval_s * LOOK_AHEAD_INTERVALS
    )
    if exhausted or not is_short:
        return _plan_release(share, borrowed, due, now)
    rate, tokens = share.measure_shortage(now)
    tokens = max(tokens, waiting - available + 1.0)
    plan = []
    for holder in holders:
        held = borrowed.get(holder, 0.0)
        total = held + rate * OVERREQUEST_FACTOR / len(holders)
        tokens_each = tokens * OVERREQUEST_FACTOR / len(holders)
        plan.append((holder, max(total, IDLE_RATE_PER_S), tokens_each))
    return plan


def _plan_release(
    share: shares.QuotaShare,
    borrowed: dict[str, float],
    due: list[str],
    now: float,
) -> list[tuple[str, float, float]]:
    """Renew the loans that end soon, and reduce those not needed."""
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
