"""The part of a place's traffic that stays there, as shifts change it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.config import exceptions

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.config import model

MS_PER_S = 1000
SHIFT_TOLERANCE_S = 2.0
"""Seconds of a shift by which two documents may differ: operators' clocks
differ, and a change takes a moment to be stored.
"""


class WeightTable:
    """The shifts of a configuration by service and place."""

    def __init__(self, shifts: Iterable[model.Shift]) -> None:
        self._latest: dict[tuple[str, str], model.Shift] = {}
        for shift in shifts:
            key = (shift.service, shift.place)
            known = self._latest.get(key)
            if known is None or _rank(shift) > _rank(known):
                self._latest[key] = shift

    def list_places(self) -> list[tuple[str, str]]:
        """Return each service and place that a shift names."""
        return list(self._latest)

    def compute_weight(self, service: str, place: str, wall_s: float) -> float:
        """Return the part that stays at a moment, 1 without shifts.

        It moves from one value to the other at no more than the cap.
        """
        shift = self._latest.get((service, place))
        if shift is None:
            return 1.0
        return compute_shift_weight(shift, wall_s)


def compute_shift_weight(shift: model.Shift, wall_s: float) -> float:
    """Return how far a shift has come, as the part that stays."""
    elapsed_s = max(0.0, wall_s - shift.start_ms / MS_PER_S)
    change = shift.cap_per_s * elapsed_s
    if shift.to_weight >= shift.from_weight:
        return min(shift.to_weight, shift.from_weight + change)
    return max(shift.to_weight, shift.from_weight - change)


def compute_remaining_s(shift: model.Shift, wall_s: float) -> float:
    """Return the seconds until a shift is complete."""
    now = compute_shift_weight(shift, wall_s)
    return abs(shift.to_weight - now) / shift.cap_per_s


def check_transition(
    old: model.Configuration, new: model.Configuration, wall_s: float
) -> None:
    """Refuse a change that would move traffic at once.

    Raises:
        InvalidConfigurationError: A weight would jump by more than its cap.
    """
    before, after = WeightTable(old.shifts), WeightTable(new.shifts)
    cap = min(old.defaults.shift_cap_per_s, new.defaults.shift_cap_per_s)
    services = {service.name for service in new.services}
    faults = []
    for service, place in {*before.list_places(), *after.list_places()}:
        was = before.compute_weight(service, place, wall_s)
        becomes = after.compute_weight(service, place, wall_s)
        is_jump = abs(becomes - was) > cap * SHIFT_TOLERANCE_S
        if is_jump and service in services:
            faults.append(
                exceptions.Fault(
                    f"shifts[{service}/{place}]",
                    f"the weight would jump from {was:.3f} to {becomes:.3f}",
                )
            )
    if faults:
        raise exceptions.InvalidConfigurationError(faults)


def _rank(shift: model.Shift) -> tuple[int, str]:
    return shift.start_ms, shift.id
