"""The share of each rank that a service refuses, changed in small steps."""

from __future__ import annotations

import msgspec

CHANGE_PER_S = 0.5
MAX_PASSED_S = 0.5
"""Time between two requests beyond which nothing more is changed."""

HYSTERESIS = 0.15
"""Distance from the aim, as a fraction of it, at which nothing changes."""


class _State(msgspec.Struct):
    """What a service refuses of a rank."""

    updated_s: float
    refused: float = 0.0


class Restraint:
    """Refused shares by service and position of the rank.

    A share grows as long as the queues of the service are longer than the
    rank is to find there, and shrinks while they are shorter. Loads are known
    late, so that quick changes would swing to and fro.
    """

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[tuple[str, int], _State] = {}

    def update(
        self,
        service: str,
        position: int,
        queue_ratio: float,
        most: float,
        now: float,
    ) -> float:
        """Return the share that is refused now.

        Args:
            service: The service.
            position: Number of more urgent ranks there.
            queue_ratio: Mean queueing time as a multiple of what the rank is
                to find.
            most: Largest share that may be refused.
            now: Present time.
        """
        state = self._states.get((service, position))
        if state is None:
            state = self._states[service, position] = _State(now)
        passed_s = min(MAX_PASSED_S, max(0.0, now - state.updated_s))
        state.updated_s = now
        distance = max(-1.0, min(1.0, queue_ratio - 1.0))
        if abs(distance) > HYSTERESIS:
            state.refused += CHANGE_PER_S * passed_s * distance
        state.refused = max(0.0, min(most, state.refused))
        return state.refused

    def retain_services(self, services: set[str]) -> None:
        """Forget services that no route leads to any more."""
        for key in [k for k in self._states if k[0] not in services]:
            del self._states[key]
