"""How much room the servers of a service have, as far as a host knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import backends


class Room(msgspec.Struct, frozen=True):
    """Slots and work of some servers.

    Attributes:
        slots: Requests that they work on at the same time.
        load: Requests that run or wait there.
        excess: Requests that wait although every slot of their server is
            taken, summed over the servers.
    """

    slots: int
    load: float
    excess: float

    @property
    def utilisation(self) -> float:
        """Load as a fraction of the slots; 1 if there are none."""
        return self.load / self.slots if self.slots else 1.0


def measure_room(states: Iterable[backends.BackendState], now: float) -> Room:
    """Add up the room of servers that may be used."""
    slots = 0
    load = excess = 0.0
    for state in states:
        server_load = state.estimate_load(now)
        slots += state.entry.slots
        load += server_load
        excess += max(0.0, server_load - state.entry.slots)
    return Room(slots, load, excess)
