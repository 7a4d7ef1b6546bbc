"""Where an object's requests go first, second, third: agreed by hashing.

A backend server that has handled an object lately takes a fraction of the
time, so all hosts send an object to the same server. Objects are asked for
in one region, mostly, and stay there as far as its servers have room for
them; what does not fit is spread over the regions that have more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cowslipshift.steering import backends

HOME_REGION_BIAS = 1.25
"""How much fuller than the others a region may be for the sake of what is
asked for there: bytes between regions cost more than a little waiting."""


def compute_region_shares(
    home: str, slots: Mapping[str, float], regions: int
) -> dict[str, float]:
    """Return the part of a region's objects that each region takes.

    Args:
        home: The region in which the objects are asked for.
        slots: Slots of a service by region.
        regions: Regions that callers come from; they are taken to ask for
            equally much.
    """
    total = sum(slots.values())
    if total <= 0.0 or home not in slots:
        return dict(slots)
    asked = 1.0 / max(1, regions)
    kept = min(1.0, HOME_REGION_BIAS * slots[home] / total / asked)
    spare = {
        region: max(0.0, part / total - asked)
        for region, part in slots.items()
        if region != home
    }
    if sum(spare.values()) <= 0.0:
        spare = {r: part for r, part in slots.items() if r != home}
    whole = sum(spare.values())
    if whole <= 0.0:
        return {home: 1.0}
    shares = {r: (1.0 - kept) * part / whole for r, part in spare.items()}
    shares[home] = kept
    return shares


def rank_backends(
    thing: str,
    home: str,
    by_region: Mapping[str, list[backends.BackendState]],
    regions: int,
) -> list[backends.BackendState]:
    """Return the servers of a service in an object's order of preference.

    Args:
        thing: The service and the object.
        home: The region in which the object is asked for.
        by_region: Servers by region.
        regions: Regions that callers come from.
    """
    slots = {
        region: float(sum(state.entry.slots for state in listed))
        for region, listed in by_region.items()
    }
    shares = compute_region_shares(home, slots, regions)
    order = hashing.rank_weighted(thing, shares)
    order += sorted(set(by_region) - set(order))
    ranked = []
    for region in order:
        states = {s.entry.id: s for s in by_region.get(region, ())}
        ranked += [states[i] for i in hashing.rank_members(thing, states)]
    return ranked
