"""Which region's servers take how much of each region's requests.

Regions differ in size, and their callers come in waves at different times.
What the servers of a region cannot take goes where there is room; the rest
stays, as objects are warm there and bytes between regions are dear.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cowslipshift.workload import demand as demands

COMFORTABLE_UTILISATION = 0.65
"""Load of a region, as a fraction of its slots, up to which nothing moves."""

MAX_CHANGE_PER_S = 0.04
"""Share of a region's requests that may move to another region in a second.
What moves finds cold servers, and operators allow 0.15 in two seconds."""

REPORTED_CHANGE = 0.1
"""Change of the shares that operators are told of."""

MIN_CHANGE = 0.03
"""Smaller differences between shares are not worth the cold objects."""


class RegionRoom(msgspec.Struct, frozen=True):
    """Servers of one service in one region.

    Attributes:
        slots: Requests that they work on at the same time.
        load: Requests that run or wait there.
    """

    slots: float
    load: float


def divide_requests(
    local_region: str,
    demand: demands.Demand,
    rooms: Mapping[str, RegionRoom],
) -> dict[str, float] | None:
    """Return the share of a region's movable requests for each region.

    Fills all regions up to a common level, each with its own callers'
    requests first. A region's bound requests take its room before that.

    Args:
        local_region: The region of the callers.
        demand: Requests per second of all callers.
        rooms: Servers by region.

    Returns:
        Shares that sum to one; ``None`` if too little is known.
    """
    load = sum(room.load for room in rooms.values())
    rate = sum(demand.movable.values()) + sum(demand.bound.values())
    local_rate = demand.movable.get(local_region, 0.0)
    if load <= 0.0 or rate <= 0.0 or local_rate <= 0.0:
        return None
    work_s = load / rate
    free = {
        region: max(0.0, room.slots - work_s * demand.bound.get(region, 0.0))
        for region, room in rooms.items()
    }
    total_free = sum(free.values())
    if total_free <= 0.0:
        return None
    wanted = {
        region: work_s * demand.movable.get(region, 0.0) for region in rooms
    }
    level = max(COMFORTABLE_UTILISATION, sum(wanted.values()) / total_free)
    excess = wanted.get(local_region, 0.0) - level * free.get(
        local_region, 0.0
    )
    spare = {
        region: max(0.0, level * free[region] - wanted[region])
        for region in rooms
        if region != local_region
    }
    total_spare = sum(spare.values())
    if local_region not in rooms:
        excess = work_s * local_rate
    if excess <= 0.0 or total_spare <= 0.0:
        return {local_region: 1.0} if local_region in rooms else None
    moved = min(1.0, excess / (work_s * local_rate))
    shares = {
        region: moved * amount / total_spare
        for region, amount in spare.items()
        if amount > 0.0
    }
    if moved < 1.0:
        shares[local_region] = 1.0 - moved
    return shares


class RegionShares:
    """The shares in force for one service, which follow the target slowly.

    Args:
        initial: Shares before anything is known of demand.
        now: Present time.
    """

    __slots__ = ("_is_moving", "_reported", "_updated_s", "shares")

    def __init__(self, initial: Mapping[str, float], now: float) -> None:
        total = sum(initial.values()) or 1.0
        self.shares = {r: share / total for r, share in initial.items()}
        self._reported = self.shares
        self._updated_s = now
        self._is_moving = False

    def take_report(self) -> bool:
        """Tell whether operators are to be told of the shares again."""
        if _measure_distance(self._reported, self.shares) < REPORTED_CHANGE:
            return False
        self._reported = self.shares
        return True

    def follow(self, target: Mapping[str, float], now: float) -> bool:
        """Move towards a target as far as allowed; return whether it did.

        Args:
            target: Shares that sum to one.
            now: Present time.
        """
        passed_s = max(0.0, now - self._updated_s)
        self._updated_s = now
        distance = _measure_distance(self.shares, target)
        # Once begun, a move goes on to its end.
        if distance < (MIN_CHANGE / 4 if self._is_moving else MIN_CHANGE):
            self._is_moving = False
            return False
        self._is_moving = True
        # A pause or a late tick moves no more than a usual one.
        step = min(1.0, MAX_CHANGE_PER_S * min(passed_s, 1.0) / distance)
        shares = {}
        for region in sorted(self.shares.keys() | target.keys()):
            share = self.shares.get(region, 0.0)
            share += step * (target.get(region, 0.0) - share)
            if share > 0.0:
                shares[region] = share
        self.shares = shares
        return True


def _measure_distance(
    first: Mapping[str, float], second: Mapping[str, float]
) -> float:
    """Return the share of requests that go elsewhere in one of them."""
    return (
        sum(
            abs(first.get(region, 0.0) - second.get(region, 0.0))
            for region in first.keys() | second.keys()
        )
        / 2.0
    )
