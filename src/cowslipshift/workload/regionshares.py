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

COMFORTABLE_UTILISATION = 0.75
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
    usual: Mapping[str, Mapping[str, float]],
) -> Mapping[str, float] | None:
    """Return the share of a region's movable requests for each region.

    The usual shares apply as long as they fill no region above the common
    level. A region above it first takes less of other regions' requests,
    then less of its own callers'; its bound requests take its room before
    that. What it leaves goes where there is room.

    Args:
        local_region: The region of the callers.
        demand: Requests per second of all callers.
        rooms: Servers by region.
        usual: For each region of callers, its shares without overload, which
            sum to one.

    Returns:
        Shares that sum to one; ``None`` if too little is known.
    """
    load = sum(room.load for room in rooms.values())
    rate = sum(demand.movable.values()) + sum(demand.bound.values())
    if load <= 0.0 or rate <= 0.0:
        return None
    work_s = load / rate
    free = {
        region: max(0.0, room.slots - work_s * demand.bound.get(region, 0.0))
        for region, room in rooms.items()
    }
    work = {
        region: work_s * demand.movable.get(region, 0.0) for region in usual
    }
    total_free = sum(free.values())
    if total_free <= 0.0 or local_region not in usual:
        return None
    level = max(COMFORTABLE_UTILISATION, sum(work.values()) / total_free)
    kept = {
        region: _compute_kept(region, level * free[region], work, usual)
        for region in rooms
    }
    spare = {
        region: max(0.0, level * free[region] - intake.usual)
        for region, intake in kept.items()
    }
    total_spare = sum(spare.values())
    shares = {
        region: share * kept[region].choose(region == local_region)
        for region, share in usual[local_region].items()
    }
    moved = 1.0 - sum(shares.values())
    if moved <= 0.0 or total_spare <= 0.0:
        return usual[local_region]
    for region, amount in spare.items():
        shares[region] = shares.get(region, 0.0) + moved * amount / total_spare
    return shares


class _Intake(msgspec.Struct, frozen=True):
    """What a region takes of the requests that usually come to it.

    Attributes:
        usual: Work that usually comes to it.
        own: Fraction of its own callers' requests that it keeps.
        foreign: Fraction of other regions' requests that it keeps.
    """

    usual: float
    own: float
    foreign: float

    def choose(self, is_own: bool) -> float:
        """Return the fraction that it keeps."""
        return self.own if is_own else self.foreign


def _compute_kept(
    region: str,
    room: float,
    work: Mapping[str, float],
    usual: Mapping[str, Mapping[str, float]],
) -> _Intake:
    """Return what a region keeps if only so much work fits."""
    own = work.get(region, 0.0) * usual.get(region, {}).get(region, 0.0)
    foreign = sum(
        amount * usual[origin].get(region, 0.0)
        for origin, amount in work.items()
        if origin != region
    )
    excess = own + foreign - room
    if excess <= 0.0:
        return _Intake(own + foreign, 1.0, 1.0)
    if excess < foreign:
        return _Intake(own + foreign, 1.0, 1.0 - excess / foreign)
    return _Intake(own + foreign, max(0.0, room) / own if own else 0.0, 0.0)


class RegionShares:
    """The shares in force for one service, which follow the target slowly.

    Args:
        initial: Shares, which sum to one, before demand is known.
        now: Present time.
    """

    __slots__ = ("_is_moving", "_reported", "_updated_s", "shares")

    def __init__(self, initial: Mapping[str, float], now: float) -> None:
        self.shares = dict(initial)
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


def normalise(shares: Mapping[str, float]) -> dict[str, float]:
    """Return shares in the same proportion that sum to one."""
    total = sum(shares.values())
    return {r: s / total for r, s in shares.items()} if total > 0.0 else {}


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
