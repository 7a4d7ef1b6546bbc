"""Other ways of choosing a server, to compare the balancer with."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from cowslipshift.workload import gates

if TYPE_CHECKING:
    from cowslipshift.steering import calls


class ClosedGate(gates.WorkGate):
    """Keeps choices as they are where nothing calls for others."""

    __slots__ = ()

    @property
    def is_open(self) -> bool:
        """Whether servers are chosen by work."""
        return False


class OpenGate(gates.WorkGate):
    """Chooses by work everywhere."""

    __slots__ = ()

    @property
    def is_open(self) -> bool:
        """Whether servers are chosen by work."""
        return True


class RandomSelector:
    """Takes any server.

    Args:
        seed: Seed of the choices.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def select(
        self, call: calls.Call, choices: list[calls.Choice], now: float
    ) -> calls.Choice | None:
        """Return any choice."""
        return self._random.choice(choices) if choices else None


class FewestInFlightSelector:
    """Takes the server with the smallest known load."""

    def select(
        self, call: calls.Call, choices: list[calls.Choice], now: float
    ) -> calls.Choice | None:
        """Return the choice of the smallest load, the first one of equals."""
        return min(choices, key=lambda choice: choice.load, default=None)
