"""Weights of regions and data centres: how much of their traffic they keep."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.config import exceptions

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.config import model

MS_PER_S = 1000
SHIFT_TOLERANCE_S = 2.0
"""Progress of a shift, in seconds, by which the weights of two documents may
differ: operators' clocks differ, and storing a change takes time.
"""


class WeightTable:
    """The latest shift of each service and place."""

    def __init__(self, shifts: Iterable[model.Shift]) -> None:
        self._latest: dict[tuple[str, str], model.Shift] = {}
        for shift in shifts:
            key = (shift.service, shift.place)
            known = self._latest.get(key)
            if known is None or _order_key(shift) > _order_key(known):
                self._latest[key] = shift

    def list_places(self) -> list[tuple[str, str]]:
        """Return each service and place that has a shift."""
        return list(self._latest)

    def compute_weight(self, service: str, place: str, wall_s: float) -> float:
        """Return the fraction of traffic that stays; 1 without shifts.

        It changes by at most the shift's ``cap_per_s`` in a second.

        Args:
            service: Name of the service.
            place: Name of the region or data centre.
            wall_s: Unix time in seconds.
        """
        shift = self._latest.get((service, place))
        if shift is None:
            return 1.0
        return compute_shift_weight(shift, wall_s)


def compute_shift_weight(shift: model.Shift, wall_s: float) -> float:
    """Return the fraction of traffic that stays at a Unix time."""
    elapsed_s = max(0.0, wall_s - shift.start_ms / MS_PER_S)
    change = shift.cap_per_s * elapsed_s
    if shift.to_weight >= shift.from_weight:
        return min(shift.to_weight, shift.from_weight + change)
    return max(shift.to_weight, shift.from_weight - change)


def compute_remaining_s(shift: model.Shift, wall_s: float) -> float:
    """Return the seconds until a shift is complete at its capped rate."""
    now = compute_shift_weight(shift, wall_s)
    return abs(shift.to_weight - now) / shift.cap_per_s


def check_transition(
    old: model.Configuration, new: model.Configuration, wall_s: float
) -> None:
    """Reject a change that would shift traffic abruptly.

    Raises:
        InvalidConfigurationError: A weight would jump by more than the cap
            allows within `SHIFT_TOLERANCE_S`.
    """
    before, after = WeightTable(old.shifts), WeightTable(new.shifts)
    cap = min(old.defaults.shift_cap_per_s, new.defaults.shift_cap_per_s)
    services = {service.name for service in new.services}
    faults = []
    for service, place in {*before.list_places(), *after.list_places()}:
        old_weight = before.compute_weight(service, place, wall_s)
        new_weight = after.compute_weight(service, place, wall_s)
        is_jump = abs(new_weight - old_weight) > cap * SHIFT_TOLERANCE_S
        if is_jump and service in services:
            faults.append(
                exceptions.Fault(
                    f"shifts[{service}/{place}]",
                    f"the weight would jump from {old_weight:.3f} to "
                    f"{new_weight:.3f}",
                    "weight_jump",
                )
            )
    if faults:
        raise exceptions.InvalidConfigurationError(faults)


def _order_key(shift: model.Shift) -> tuple[int, str]:
    return shift.start_ms, shift.id
