"""Ranks the backend servers for an object by rendezvous hashing.

A backend server that has recently handled an object takes a fraction of the
time, so all hosts send an object to the same server. An object is mostly
requested in one region and is served there as far as the servers of the
region have capacity; the excess is spread over the regions that have more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cowslipshift.steering import backends

LOCAL_REGION_BIAS = 1.25
"""How much fuller than the other regions a region may get to serve the objects
that are requested there, as transferring bytes between regions costs more
than a short wait."""


def compute_region_shares(
    local_region: str,
    slots: Mapping[str, float],
    regions: int,
) -> dict[str, float]:
    """Return the fraction of a region's objects that each region serves.

    Args:
        local_region: The region in which the objects are requested.
        slots: Slots of a service by region.
        regions: Number of regions that clients call from; each is assumed
            to request equally much.
    """
    total = sum(slots.values())
    if total <= 0.0 or local_region not in slots:
        return dict(slots)
    demand_share = 1.0 / max(1, regions)
    local_share = min(
        1.0, LOCAL_REGION_BIAS * slots[local_region] / total / demand_share
    )
    spare = {
        region: max(0.0, count / total - demand_share)
        for region, count in slots.items()
        if region != local_region
    }
    if sum(spare.values()) <= 0.0:
        spare = {r: count for r, count in slots.items() if r != local_region}
    total_spare = sum(spare.values())
    if total_spare <= 0.0:
        return {local_region: 1.0}
    shares = {
        r: (1.0 - local_share) * count / total_spare
        for r, count in spare.items()
    }
    shares[local_region] = local_share
    return shares


def rank_backends(
    key: str,
    local_region: str,
    by_region: Mapping[str, list[backends.BackendState]],
    regions: int,
    shares: Mapping[str, float] | None = None,
) -> list[backends.BackendState]:
    """Return the servers of a service in an object's order of preference.

    Args:
        key: The service and the object.
        local_region: The region in which the object is requested.
        by_region: Servers by region.
        regions: Number of regions that clients call from.
        shares: Fraction of the region's objects that each region serves;
            ``None`` to compute them from the sizes of the regions.
    """
    if shares is None:
        shares = _share_by_size(local_region, by_region, regions)
    region_order = hashing.rank_weighted(key, shares)
    region_order += sorted(set(by_region) - set(region_order))
    ranked = []
    for region in region_order:
        states = {s.entry.id: s for s in by_region.get(region, ())}
        ranked += [states[i] for i in hashing.rank_members(key, states)]
    return ranked


def rank_evenly(
    key: str,
    local_region: str,
    by_region: Mapping[str, list[backends.BackendState]],
    regions: int,
    shares: Mapping[str, float] | None = None,
) -> list[backends.BackendState]:
    """Return the servers in an object's order, regardless of the region.

    Only the first one is chosen by region, in proportion to the slots. The
    others may be anywhere: when a server is busy because of its region's
    callers, so are its neighbours.

    Args:
        key: The service and the object.
        local_region: The region in which the object is requested.
        by_region: Servers by region.
        regions: Number of regions that clients call from.
        shares: Fraction of the region's objects that each region serves;
            ``None`` to compute them from the sizes of the regions.
    """
    if shares is None:
        shares = _share_by_size(local_region, by_region, regions)
    states = {
        state.entry.id: state
        for servers in by_region.values()
        for state in servers
    }
    ranked = [states[i] for i in hashing.rank_members(key, states)]
    present = {r: share for r, share in shares.items() if by_region.get(r)}
    for region in hashing.rank_weighted(key, present)[:1]:
        local = {state.entry.id for state in by_region[region]}
        first = next(s for s in ranked if s.entry.id in local)
        ranked.remove(first)
        ranked.insert(0, first)
    return ranked


def _share_by_size(
    local_region: str,
    by_region: Mapping[str, list[backends.BackendState]],
    regions: int,
) -> dict[str, float]:
    """Return the shares that follow from the sizes of the regions."""
    slots = {
        region: float(sum(state.entry.slots for state in servers))
        for region, servers in by_region.items()
    }
    return compute_region_shares(local_region, slots, regions)
